"""Tells the other hosts what this host observes of targets."""

import gevent

from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.policy.routing_state import RoutingState

ROUND_S = 0.1
# A larger fleet tells nothing: traffic of each host grows with their number.
MAX_RECIPIENTS = 12


class LoadExchange:
    """Passes observations of targets' loads and objects between hosts.

    Attributes:
        loads: Loads of the targets, with the news to tell.
        known_objects: Objects that targets have handled, likewise.
        gossip: Sends datagrams to the other hosts.
    """

    def __init__(self, routing_state: RoutingState, gossip: Gossip):
        self.loads = routing_state.loads
        self.known_objects = routing_state.placer.known_objects
        self.gossip = gossip
        gossip.on_loads = self.merge

    def run(self) -> None:
        """Tells news in rounds; never returns."""
        while True:
            gevent.sleep(ROUND_S)
            self.share()

    def share(self) -> None:
        """Tells what was observed since the last round, if anything."""
        now = clock.steady()
        items = self.loads.news.take()
        objects = self.known_objects.take_unsent()
        recipients = self.gossip.host_table.live(now=now)[1:]
        if (items or objects) and len(recipients) <= MAX_RECIPIENTS:
            self.gossip.send_loads(items, objects, recipients, now=now)

    def merge(self, loads: bytes, objects: bytes) -> None:
        """Applies what another host tells.

        Raises:
            ValueError: It is not encoded as news.
        """
        now = clock.steady()
        self.loads.merge(loads, now=now)
        self.known_objects.merge(objects, now=now)
