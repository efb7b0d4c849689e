"""Graceful shutdown of this host.

The host stops being listed in look-ups, finishes requests in flight, hands its
outcome records to a successor, releases its seat and exits.
"""

from typing import TYPE_CHECKING

from sardinewheel_core import handover, seats
from sardinewheel_core.effects import Exit, Send
from sardinewheel_core.lookup import TTL_S
from sardinewheel_core.messages import Phase

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

LINGER_S = 1.0
MAX_LINGER_S = TTL_S + 0.5


class StopState:
    """Progress of this host's shutdown.

    Attributes:
        earliest_exit_at: Instant until which the host keeps serving late
            arrivals, or ``None`` if no shutdown was ordered.
        latest_exit_at: Instant from which no cached look-up names the host;
            late arrivals do not delay the exit beyond it.
    """

    def __init__(self):
        self.earliest_exit_at: float | None = None
        self.latest_exit_at = 0.0


def on_stop(host: "EntryHost", now: float) -> None:
    """Starts the shutdown and hands outcome records to a successor."""
    if host.stop.earliest_exit_at is not None:
        return
    was_listed = host.phase is Phase.READY
    host.stop.earliest_exit_at = now + (LINGER_S if was_listed else 0.0)
    host.stop.latest_exit_at = now + MAX_LINGER_S
    _announce(host, Phase.LEAVING)
    handover.begin(host, now)
    host.report(now, "leaving", in_flight=len(host.exchanges))


def on_arrival(host: "EntryHost", now: float) -> None:
    """Delays the exit, since callers still use cached look-ups."""
    stop = host.stop
    if stop.earliest_exit_at is not None:
        stop.earliest_exit_at = max(
            stop.earliest_exit_at, min(now + LINGER_S, stop.latest_exit_at)
        )


def on_tick(host: "EntryHost", now: float) -> None:
    """Exits once nothing is in flight and late arrivals have stopped."""
    if host.phase is Phase.GONE:
        host.emit(Exit())
        return
    may_exit = host.phase is Phase.LEAVING and _is_idle(host, now)
    if may_exit and seats.release(host, now):
        _announce(host, Phase.GONE)


def _announce(host: "EntryHost", phase: Phase) -> None:
    host.membership.own = host.membership.own._replace(phase=phase)
    for peer, heartbeat in host.membership.announce():
        host.emit(Send(peer.host, peer.address, heartbeat))


def _is_idle(host: "EntryHost", now: float) -> bool:
    if now < host.stop.earliest_exit_at:
        return False
    is_working = host.exchanges or any(True for _ in host.waiting())
    return not is_working and handover.is_finished(host, now)
