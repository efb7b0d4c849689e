"""Reports hosts that join or leave, and how the cluster compensates."""

from typing import TYPE_CHECKING

from sardinewheel_core.messages import HostState, Phase

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


class RepairState:
    """Hosts and adopted domains observed at the last tick.

    Attributes:
        alive: Other live hosts by name.
        adopted: Failure domains, other than its own, whose targets this host
            dispatches to.
    """

    def __init__(self):
        self.alive: dict[str, HostState] = {}
        self.adopted: set[str] = set()


def on_tick(host: "EntryHost", now: float) -> None:
    """Reports changes since the last tick."""
    observed = host.repairs
    own = host.identity.name
    alive = {s.name: s for s in host.membership.alive(now) if s.name != own}
    for name in observed.alive.keys() - alive.keys():
        _report_loss(host, now, observed.alive[name])
    for name, state in alive.items():
        _report_arrival(host, now, observed.alive.get(name), state)
    observed.alive = alive
    _report_adoptions(host, now)


def _report_loss(host: "EntryHost", now: float, before: HostState) -> None:
    state = host.membership.states.get(before.name, before)
    if state.phase in (Phase.LEAVING, Phase.GONE):
        host.report(now, "host-left", host=state.name, domain=state.domain)
        return
    silence_s = now - host.membership.last_heartbeat_at.get(state.name, now)
    host.report(
        now,
        "repair",
        cause=f"entry host {state.name} silent for {silence_s:.1f} s",
        effect="live hosts take over its targets",
        host=state.name,
        domain=state.domain,
    )


def _report_arrival(
    host: "EntryHost", now: float, before: HostState | None, state: HostState
) -> None:
    if before is None:
        host.report(now, "host-joined", host=state.name, domain=state.domain)
    elif before.incarnation != state.incarnation:
        host.report(
            now,
            "repair",
            cause=f"new incarnation in seat {state.name}",
            effect="it replaces the former one",
            host=state.name,
            domain=state.domain,
        )


def _report_adoptions(host: "EntryHost", now: float) -> None:
    observed = host.repairs
    adopted = {
        target.domain
        for _, target in host.assignment.owned
        if target.domain != host.identity.domain
    }
    for domain in sorted(adopted - observed.adopted):
        host.report(
            now,
            "repair",
            cause=f"no entry host left in failure domain {domain}",
            effect="adopts its targets, one slot each at first",
            domain=domain,
        )
    for domain in sorted(observed.adopted - adopted):
        host.report(now, "adoption-ended", domain=domain)
    observed.adopted = adopted
