"""How this host leaves: out of the look-ups, finish, hand on, exit."""

from typing import TYPE_CHECKING

from sardinewheel_core import handover, seats
from sardinewheel_core.effects import Exit, Send
from sardinewheel_core.messages import Phase

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

LINGER_S = 1.0


class StopState:
    """How far this host has come with leaving.

    Attributes:
        exit_from: Instant before which it serves late arrivals, or nothing
            while it stays.
    """

    def __init__(self):
        self.exit_from: float | None = None


def on_stop(host: "EntryHost", now: float) -> None:
    """Starts to leave: out of the look-ups, then finish what is in flight."""
    if host.stop.exit_from is not None:
        return
    was_listed = host.phase is Phase.READY
    host.stop.exit_from = now + (LINGER_S if was_listed else 0.0)
    _announce(host, Phase.LEAVING)
    handover.begin(host, now)
    host.report(now, "leaving", in_flight=len(host.exchanges))


def on_tick(host: "EntryHost", now: float) -> None:
    """Exits once nothing is in flight and late arrivals have ceased."""
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
    if now < host.stop.exit_from:
        return False
    is_working = host.exchanges or any(True for _ in host.waiting())
    return not is_working and handover.is_finished(host, now)
