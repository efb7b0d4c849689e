"""Selects the targets of this host, and the hosts that look-ups may list."""

from typing import TYPE_CHECKING

from sardinewheel_core import drain_signals
from sardinewheel_core.intent import Intent, Subject, Target
from sardinewheel_core.messages import HostState
from sardinewheel_core.ownership import owned_targets
from sardinewheel_core.targets import SLOW_START_SLOTS, TargetState

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


ADOPT_AFTER_S = 5.0


class Assignment:
    """Cached assignment of targets to this host.

    Attributes:
        intent: Intent that the assignment was computed from.
        hosts: Names and failure domains of the hosts that share the targets.
        may_adopt: Whether targets of other failure domains may be taken over.
        owned: The assigned targets, with their services.
        logged_sources: Source by which each leaving target was last logged as
            leaving, by target name.
    """

    def __init__(self):
        self.intent: Intent | None = None
        self.hosts: tuple[tuple[str, str], ...] = ()
        self.may_adopt = False
        self.owned: list[tuple[str, Target]] = []
        self.logged_sources: dict[str, drain_signals.DrainSource] = {}

    def refresh(
        self,
        intent: Intent,
        hosts: list[HostState],
        own_name: str,
        may_adopt: bool,
    ) -> list[tuple[str, Target]]:
        """Returns the targets of a host, recomputed if the inputs changed."""
        key = tuple((s.name, s.domain) for s in hosts)
        cached = (self.intent, self.hosts, self.may_adopt)
        if cached[0] is not intent or cached[1:] != (key, may_adopt):
            self.intent, self.hosts, self.may_adopt = intent, key, may_adopt
            self.owned = owned_targets(
                intent, own_name, hosts, may_adopt=may_adopt
            )
        return self.owned


def refresh_targets(host: "EntryHost", now: float) -> None:
    """Updates the targets of this host, and which of them are leaving."""
    intent = host.configuration.intent
    hosts = dispatching_hosts(intent, host.membership.ready(now))
    may_adopt = now - host.rollout.started_at >= ADOPT_AFTER_S
    owned = host.assignment.refresh(
        intent, hosts, host.identity.name, may_adopt
    )
    host.targets.set_owned(owned)
    names = {target.name for _, target in owned}
    for name, state in host.targets.states.items():
        source = drain_signals.source_of(host, now, name)
        _report_leaving_change(host, now, state, source)
        state.leaving = source is not None or name not in names


def dispatching_hosts(
    intent: Intent, ready: list[HostState]
) -> list[HostState]:
    """Returns the hosts that dispatch to targets: those not drained.

    If every host of a region is drained, all of them keep dispatching, since
    no host of another region may dispatch to its targets.
    """
    drained = {
        name for subject, name in intent.drains if subject is Subject.ENTRY_HOST
    }
    if not drained:
        return ready
    served = {
        intent.region_of(s.domain) for s in ready if s.name not in drained
    }
    return [
        s
        for s in ready
        if s.name not in drained or intent.region_of(s.domain) not in served
    ]


def lookup_hosts(intent: Intent, ready: list[HostState]) -> list[HostState]:
    """Returns the hosts that look-ups may list.

    Hosts of drained domains and regions are omitted while others remain.
    """
    hosts = dispatching_hosts(intent, ready)
    others = [
        s for s in hosts if not intent.is_drained(Subject.DOMAIN, s.domain)
    ]
    return others or hosts


def _report_leaving_change(
    host: "EntryHost",
    now: float,
    state: TargetState,
    source: drain_signals.DrainSource | None,
) -> None:
    name, logged_sources = state.target.name, host.assignment.logged_sources
    if source is not None and name not in logged_sources:
        logged_sources[name] = source
        host.report(
            now,
            "target-leaving",
            target=name,
            source=str(source),
            in_flight=state.in_flight,
        )
    elif source is None and name in logged_sources:
        del logged_sources[name]
        state.limit = SLOW_START_SLOTS
        state.answers = 0
        host.report(now, "target-returned", target=name)
