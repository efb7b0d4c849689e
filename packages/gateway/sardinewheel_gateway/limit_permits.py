"""Gets permits for requests to targets that name a limit."""

from itertools import count

import gevent
from gevent.event import AsyncResult

from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip, Permit, PermitRequest
from sardinewheel_gateway.policy.announcements import Limit
from sardinewheel_gateway.policy.limit_admission import MAX_WAIT_S
from sardinewheel_gateway.policy.routing_state import RoutingState

# Holders are in the same region, so they respond within a few milliseconds
# unless they are busy or down.
PERMIT_TIMEOUT_S = 0.05


class LimitPermits:
    """Gets permits from the share held here or from other holders.

    Attributes:
        routing_state: Holds the shares of this host.
        gossip: Sends datagrams to the other hosts.
        waiting: Results that this host waits for, by number of the request.
    """

    def __init__(self, routing_state: RoutingState, gossip: Gossip):
        self.routing_state = routing_state
        self.admission = routing_state.limit_admission
        self.gossip = gossip
        self.numbers = count()
        self.waiting: dict[int, AsyncResult] = {}
        gossip.on_permit_request = self.handle_request
        gossip.on_permit = self.handle_permit

    def acquire(self, target_id: str, limit: Limit, *, is_urgent: bool) -> bool:
        """Returns whether one request may be sent to a limited target now."""
        return any(
            self._acquire_from(holder, target_id, limit, is_urgent)
            for holder in self.admission.holders(target_id)
        )

    def handle_request(self, request: PermitRequest) -> None:
        """Responds to a host that asks for a permit."""
        now = clock.steady()
        report = request.report
        self.routing_state.merge_announcement(report, now=now)
        limit = self.routing_state.announcements.limits.get(report.target_id)
        wait_s = MAX_WAIT_S
        if limit is not None:
            wait_s = self.admission.take(
                report.target_id, limit, now, is_urgent=request.is_urgent
            )
        self.gossip.send_permit(request.address, Permit(request.number, wait_s))

    def handle_permit(self, permit: Permit) -> None:
        """Passes a permit, or its refusal, to the request that waits for it."""
        result = self.waiting.get(permit.number)
        if result is not None:
            result.set(permit.wait_s)

    def _acquire_from(
        self, holder: str, target_id: str, limit: Limit, is_urgent: bool
    ) -> bool:
        now = clock.steady()
        if holder == self.gossip.host_table.own.name:
            wait_s = self.admission.take(
                target_id, limit, now, is_urgent=is_urgent
            )
            return wait_s == 0.0
        if self.admission.ask_wait_s(
            holder, target_id, now, is_urgent=is_urgent
        ):
            return False
        wait_s = self._ask(holder, target_id, is_urgent)
        if wait_s is None:
            self.admission.record_silence(holder, now=clock.steady())
            return False
        if wait_s > 0.0:
            self.admission.record_refusal(
                holder,
                target_id,
                is_urgent=is_urgent,
                wait_s=wait_s,
                now=clock.steady(),
            )
        return wait_s == 0.0

    def _ask(
        self, holder: str, target_id: str, is_urgent: bool
    ) -> float | None:
        """Returns 0 with a permit, or the wait; None without a response."""
        peer = self.gossip.host_table.peers.get(holder)
        report = self.routing_state.announcements.report(
            target_id, now=clock.steady()
        )
        if peer is None or report is None:
            return MAX_WAIT_S
        number = next(self.numbers)
        result = self.waiting[number] = AsyncResult()
        try:
            own_address = self.gossip.host_table.own.gossip
            request = PermitRequest(own_address, number, is_urgent, report)
            self.gossip.send_permit_request(peer.state, request)
            return result.get(timeout=PERMIT_TIMEOUT_S)
        except gevent.Timeout:
            return None
        finally:
            del self.waiting[number]
