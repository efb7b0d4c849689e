"""How this host leaves: out of the look-ups, finish, hand on, exit."""

from typing import TYPE_CHECKING

from sardinewheel_core.effects import Exit, Send
from sardinewheel_core.messages import Phase

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def on_stop(host: "EntryHost", now: float) -> None:
    """Starts to leave: out of the look-ups, then finish what is in flight."""
    host.membership.own = host.membership.own._replace(phase=Phase.LEAVING)
    for peer, heartbeat in host.membership.announce():
        host.emit(Send(peer.host, peer.address, heartbeat))
    host.report(now, "leaving", in_flight=len(host.exchanges))


def on_tick(host: "EntryHost", now: float) -> None:
    """Exits once nothing is in flight."""
    if host.phase is Phase.LEAVING and _is_idle(host):
        host.emit(Exit())


def _is_idle(host: "EntryHost") -> bool:
    return not host.exchanges and not any(True for _ in host.waiting())
