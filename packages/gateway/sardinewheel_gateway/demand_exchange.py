"""Shares with the other hosts how many requests arrive in each domain."""

import random
from typing import NamedTuple

import gevent

from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Demand, Gossip
from sardinewheel_gateway.policy.demand import DemandReport, DemandTable
from sardinewheel_gateway.policy.hosts import HostState

ROUND_S = 0.5
# Every nth round also tells the estimates of all domains to one host of each
# other domain that is reached by random choice.
FULL_ROUND_EVERY = 4
DOMAIN_RECIPIENTS = 4
FULL_RECIPIENTS = 2


class Recipients(NamedTuple):
    """Hosts that receive the messages of a round."""

    same_domain: list[HostState]
    others: list[HostState]


class DemandExchange:
    """Tells the own rates in the domain, and estimates between domains.

    Attributes:
        table: The estimates.
        gossip: Sends datagrams to the other hosts.
        rng: Source of random recipients.
    """

    def __init__(
        self, table: DemandTable, gossip: Gossip, *, rng: random.Random
    ):
        self.table = table
        self.gossip = gossip
        self.rng = rng
        gossip.on_demand = self.merge

    def run(self) -> None:
        """Tells the demand in rounds; never returns."""
        number = 0
        while True:
            gevent.sleep(ROUND_S)
            self.share(is_full=number % FULL_ROUND_EVERY == 0)
            number += 1

    def share(self, *, is_full: bool) -> None:
        """Updates the estimates and tells them to a few hosts."""
        now = clock.steady()
        live = self.gossip.host_table.live(now=now)
        ready = [host for host in live if host.is_ready]
        here = [host for host in ready if host.domain == self.table.domain]
        self.table.update(max(1, len(here)), now=now)
        recipients = self._recipients(ready)
        self._send([], recipients.same_domain)
        if is_full:
            self._send(self.table.reports(now=now), recipients.others)

    def merge(self, message: Demand) -> None:
        """Applies what another host tells."""
        now = clock.steady()
        self.table.record_host(
            message.name, message.domain, message.rates, now=now
        )
        for fields in message.reports:
            self.table.merge(DemandReport(*fields), now=now)

    def _recipients(self, ready: list[HostState]) -> Recipients:
        own = self.gossip.host_table.own
        peers = [host for host in ready if host.name != own.name]
        same = [host for host in peers if host.domain == own.domain]
        others = [host for host in peers if host.domain != own.domain]
        # One of the own domain, so that it learns of the others too.
        full = self._sample(others, FULL_RECIPIENTS) + self._sample(same, 1)
        return Recipients(self._sample(same, DOMAIN_RECIPIENTS), full)

    def _sample(self, hosts: list[HostState], count: int) -> list[HostState]:
        return self.rng.sample(hosts, min(count, len(hosts)))

    def _send(
        self, reports: list[DemandReport], recipients: list[HostState]
    ) -> None:
        own = self.gossip.host_table.own
        rates = {} if self.table.own is None else self.table.own.rates
        rounded = {service: round(rate, 2) for service, rate in rates.items()}
        plain = [list(report) for report in reports]
        message = Demand(own.name, own.domain, rounded, plain)
        self.gossip.send_demand(message, recipients)
