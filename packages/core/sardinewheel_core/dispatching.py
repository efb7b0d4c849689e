"""Which targets this host dispatches to, and which hosts take requests."""

from typing import TYPE_CHECKING

from sardinewheel_core import leaving
from sardinewheel_core.intent import Intent, Subject, Target
from sardinewheel_core.messages import HostState
from sardinewheel_core.ownership import owned_targets
from sardinewheel_core.targets import SLOW_START_SLOTS, TargetState

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


ADOPT_AFTER_S = 5.0


class Assignment:
    """The targets that this host dispatches to, until something changes.

    Attributes:
        intent: Intent that they were assigned by.
        hosts: Names and domains of the hosts that they are divided among.
        may_adopt: Whether targets of other failure domains may be taken over.
        owned: The targets with their services.
        sources: What says that a target is leaving, as last reported.
    """

    def __init__(self):
        self.intent: Intent | None = None
        self.hosts: tuple[tuple[str, str], ...] = ()
        self.may_adopt = False
        self.owned: list[tuple[str, Target]] = []
        self.sources: dict[str, leaving.Source] = {}

    def refresh(
        self, intent: Intent, hosts: list[HostState], own: str, may_adopt: bool
    ) -> list[tuple[str, Target]]:
        """Returns the targets of a host, assigned anew if need be."""
        key = tuple((s.name, s.domain) for s in hosts)
        known = (self.intent, self.hosts, self.may_adopt)
        if known[0] is not intent or known[1:] != (key, may_adopt):
            self.intent, self.hosts, self.may_adopt = intent, key, may_adopt
            self.owned = owned_targets(intent, own, hosts, may_adopt=may_adopt)
        return self.owned


def refresh_targets(host: "EntryHost", now: float) -> None:
    """Takes over and gives up targets as hosts come and go."""
    intent = host.configuration.intent
    hosts = serving(intent, host.membership.ready(now))
    may_adopt = now - host.rollout.started_at >= ADOPT_AFTER_S
    owned = host.assignment.refresh(
        intent, hosts, host.identity.name, may_adopt
    )
    host.targets.own(owned)
    names = {target.name for _, target in owned}
    for name, state in host.targets.states.items():
        source = leaving.source_of(host, now, name)
        _report_change(host, now, state, source)
        state.leaving = source is not None or name not in names


def serving(intent: Intent, ready: list[HostState]) -> list[HostState]:
    """Returns the hosts that dispatch: in each region those not drained.

    Where every host of a region is drained, all of them go on, since no other
    host may dispatch there.
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


def listed(intent: Intent, ready: list[HostState]) -> list[HostState]:
    """Returns the hosts that look-ups lead to.

    Hosts of drained domains and regions are left out while others remain.
    """
    hosts = serving(intent, ready)
    others = [
        s for s in hosts if not intent.is_drained(Subject.DOMAIN, s.domain)
    ]
    return others or hosts


def _report_change(
    host: "EntryHost",
    now: float,
    state: TargetState,
    source: leaving.Source | None,
) -> None:
    name, sources = state.target.name, host.assignment.sources
    if source is not None and name not in sources:
        sources[name] = source
        host.report(
            now,
            "target-leaving",
            target=name,
            source=str(source),
            in_flight=state.in_flight,
        )
    elif source is None and name in sources:
        del sources[name]
        state.limit = SLOW_START_SLOTS
        state.answers = 0
        host.report(now, "target-returned", target=name)
