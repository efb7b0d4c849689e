"""How this host leaves: out of the look-ups, finish, hand on, exit."""

from typing import TYPE_CHECKING

from sardinewheel_core import handover
from sardinewheel_core.effects import Exit, Send
from sardinewheel_core.messages import Phase

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def on_stop(host: "EntryHost", now: float) -> None:
    """Starts to leave: out of the look-ups, then finish what is in flight."""
    host.membership.own = host.membership.own._replace(phase=Phase.LEAVING)
    for peer, heartbeat in host.membership.announce():
        host.emit(Send(peer.host, peer.address, heartbeat))
    handover.begin(host, now)
    host.report(now, "leaving", in_flight=len(host.exchanges))


def on_tick(host: "EntryHost", now: float) -> None:
    """Exits once nothing is in flight."""
    if host.phase is Phase.LEAVING and _is_idle(host, now):
        host.emit(Exit())


def _is_idle(host: "EntryHost", now: float) -> bool:
    is_working = host.exchanges or any(True for _ in host.waiting())
    return not is_working and handover.is_finished(host, now)
