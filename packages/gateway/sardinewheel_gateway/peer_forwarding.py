"""Forwards a request to hosts that reach targets when this one does not.

A request goes to one host at a time, and to another one only if the first has
not run it, or if it may be repeated. A host never forwards what another host
has forwarded to it.
"""

from typing import TYPE_CHECKING

from sardinewheel_gateway import clock
from sardinewheel_gateway.attempts import (
    Answered,
    Lost,
    NotSent,
    TimedOut,
    result_detail,
)
from sardinewheel_gateway.peer_messages import Origin
from sardinewheel_gateway.peer_sender import (
    PeerAnswered,
    PeerFailed,
    PeerRefused,
    PeerResult,
    PeerSender,
)
from sardinewheel_gateway.policy.hosts import HostState
from sardinewheel_gateway.policy.placed import Refused

if TYPE_CHECKING:
    from sardinewheel_gateway.forwarding import Forwarding

MAX_PEERS = 3
MIN_FORWARD_S = 0.1
PATH_LOST = "path-lost"
TARGETS_DOWN = "targets-down"
NOT_SENT = "not-sent"
NO_TARGET_REASONS = frozenset((PATH_LOST, TARGETS_DOWN, NOT_SENT))
# Reasons that another host may not have.
HOST_REASONS = NO_TARGET_REASONS | {
    "stopping",
    "no-configuration",
    "older-configuration",
    "host-busy",
}


class PeerForwarding:
    """Forwarding of one request to other hosts.

    Attributes:
        forwarding: The request, and what was tried on this host.
        sender: Sends it to other hosts.
        asked: Names of the hosts that it was forwarded to.
        refused: Last refusal of another host, if any.
        answered: Response that another host relayed, if any.
        lost: Set if another host got the request and did not respond.
    """

    def __init__(self, forwarding: "Forwarding", sender: PeerSender):
        self.forwarding = forwarding
        self.sender = sender
        self.asked: list[str] = []
        self.refused: Refused | None = None
        self.answered: PeerAnswered | None = None
        self.lost: Lost | None = None

    @property
    def is_allowed(self) -> bool:
        """Whether another host may still run the request."""
        forwarding = self.forwarding
        request = forwarding.request
        if forwarding.exchange.origin is not None or self.asked:
            return False
        last = forwarding.last_result
        if last is None:
            return True
        if not request.body.can_be_sent:
            return False
        if len(forwarding.tried) >= request.route.max_attempts:
            return False
        was_executed = not isinstance(last, NotSent) and not (
            isinstance(last, Answered) and not last.response_info.was_executed
        )
        return request.route.is_idempotent or not was_executed

    def run(self) -> PeerResult | None:
        """Returns the result that ends the request; None if it was not run."""
        if not self.is_allowed:
            return None
        while (peer := self._choose()) is not None:
            self.asked.append(peer.name)
            result = self._send(peer)
            if isinstance(result, Lost):
                self._record_lost(peer, result)
            elif not isinstance(result, PeerRefused | NotSent):
                return result
            if not self._may_continue(result):
                break
        return self.lost

    def close(self) -> None:
        """Closes the connection of a response that was not read completely."""
        if self.answered is not None and self.answered.exchange.is_streaming:
            self.answered.exchange.is_streaming = False
            self.answered.exchange.close()

    def _record_lost(self, peer: HostState, result: Lost) -> None:
        self.lost = result
        # An attempt like any other: the host may have sent it to a target.
        self.forwarding.tried.append(peer.name)

    def _choose(self) -> HostState | None:
        now = clock.steady()
        request = self.forwarding.request
        if len(self.asked) >= MAX_PEERS:
            return None
        if request.deadline - now < MIN_FORWARD_S:
            return None
        if not self.forwarding.has_time():
            return None
        return self.sender.choice.choose(
            self.forwarding.service,
            home_regions=request.home_regions,
            excluded=self.asked,
            now=now,
        )

    def _send(self, peer: HostState) -> PeerResult:
        forwarding = self.forwarding
        began = clock.steady()
        origin = Origin(
            host=self.sender.choice.host_table.own.name,
            age_s=forwarding.age_s,
            version=forwarding.routing_state.version,
            tried=tuple(forwarding.tried),
        )
        result = self.sender.send(forwarding.request, peer, origin)
        self._record(peer, result)
        self._log(peer, result, began)
        return result

    def _record(self, peer: HostState, result: PeerResult) -> None:
        choice, service = self.sender.choice, self.forwarding.service
        now = clock.steady()
        if isinstance(result, PeerAnswered):
            self.answered = result
        if isinstance(result, PeerAnswered | PeerFailed):
            choice.record_answer(peer.name, service, now=now)
        if not isinstance(result, PeerRefused):
            return
        self.refused = Refused(result.reason, result.retry_after_s)
        if result.reason in HOST_REASONS:
            choice.record_refusal(
                peer.name,
                service,
                has_no_target=result.reason in NO_TARGET_REASONS,
                now=now,
            )

    def _may_continue(self, result: PeerResult) -> bool:
        """Returns whether another host may get the request after a result."""
        request = self.forwarding.request
        can_resend = request.body.can_be_sent
        match result:
            case NotSent():
                return can_resend
            case PeerRefused(reason):
                return can_resend and reason in HOST_REASONS
        attempts = len(self.forwarding.tried)
        has_attempts = attempts < request.route.max_attempts
        return has_attempts and request.is_repeatable

    def _log(self, peer: HostState, result: PeerResult, began: float) -> None:
        log = self.forwarding.log
        is_answer = isinstance(result, PeerAnswered)
        (log.request if is_answer else log.info)(
            "peer-attempt-ended",
            request=self.forwarding.request.caller.request_id,
            peer=peer.name,
            outcome=type(result).__name__.lower().removeprefix("peer"),
            detail=_detail(result),
            waited_s=began - self.forwarding.exchange.head.received_at,
            took_s=clock.steady() - began,
            left_s=self.forwarding.request.deadline - clock.steady(),
        )


def _detail(result: PeerResult) -> str:
    match result:
        case PeerAnswered(response):
            return str(response.status)
        case PeerRefused(reason):
            return reason
        case PeerFailed(status, reason):
            return f"{status} {reason}"
        case TimedOut():
            return ""
    return result_detail(result)
