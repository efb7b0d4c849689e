"""Signals that targets are leaving (draining), from several sources.

A target counts as leaving as soon as any source reports it. The start and end
of a drain in the intent apply at once, because the intent's version never
decreases. The other sources may be late or wrong, so a target that one of them
reported as leaving gets requests again only after that source has retracted
the signal and ``REUSE_DELAY_S`` seconds have passed.
"""

from enum import StrEnum
from typing import TYPE_CHECKING

from sardinewheel_core.intent import Intent, Subject
from sardinewheel_core.messages import HostState, Phase

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

REUSE_DELAY_S = 10.0
SIGNAL_TTL_S = 60.0
MAX_NAMES_PER_STATE = 16
LEAVING_STATES = frozenset({"leaving", "draining"})


class DrainSource(StrEnum):
    """Source of a signal that a target is leaving.

    ``INTENT``: a drain in the intent in force.
    ``TARGET``: the target's own response or probe answer.
    ``HOST_LIST``: the platform's list of hosts.
    ``NEIGHBOUR``: the state of another entry host.
    """

    INTENT = "intent"
    TARGET = "target"
    HOST_LIST = "host-list"
    NEIGHBOUR = "neighbour"


class DrainSignals:
    """Signals from all sources except the intent.

    Attributes:
        until: Expiry time of each signal, by source and target; infinity if
            it is valid until retracted.
    """

    def __init__(self):
        self.until: dict[tuple[DrainSource, str], float] = {}

    def add(
        self, source: DrainSource, target: str, *, until: float = float("inf")
    ) -> None:
        """Adds or replaces the signal of a source for a target."""
        self.until[source, target] = until

    def retract(self, now: float, source: DrainSource, target: str) -> None:
        """Makes a signal expire within ``REUSE_DELAY_S`` seconds."""
        until = self.until.get((source, target))
        if until is not None:
            self.until[source, target] = min(until, now + REUSE_DELAY_S)

    def replace(
        self, now: float, source: DrainSource, targets: set[str]
    ) -> None:
        """Replaces the set of targets that a source reports as leaving."""
        for signal_source, target in list(self.until):
            if signal_source is source and target not in targets:
                self.retract(now, source, target)
        for target in targets:
            self.add(source, target)

    def source_of(self, now: float, target: str) -> DrainSource | None:
        """Returns a source that reports a target as leaving, or ``None``."""
        for source in (
            DrainSource.TARGET,
            DrainSource.HOST_LIST,
            DrainSource.NEIGHBOUR,
        ):
            if self.until.get((source, target), now) > now:
                return source
        return None

    def locally_observed(self, now: float) -> list[str]:
        """Returns leaving targets except those that only other hosts report."""
        return sorted(
            {
                target
                for (source, target), until in self.until.items()
                if source is not DrainSource.NEIGHBOUR and until > now
            }
        )

    def drop_expired(self, now: float) -> None:
        """Drops expired signals."""
        self.until = {k: t for k, t in self.until.items() if t > now}


def source_of(host: "EntryHost", now: float, target: str) -> DrainSource | None:
    """Returns a source, the intent included, that reports a target leaving."""
    if host.configuration.intent.is_drained(Subject.TARGET, target):
        return DrainSource.INTENT
    return host.drain_signals.source_of(now, target)


def on_draining_signal(
    host: "EntryHost", now: float, target: str, *, draining: bool
) -> None:
    """Processes a target's own report of whether it is draining."""
    if draining:
        until = now + SIGNAL_TTL_S
        host.drain_signals.add(DrainSource.TARGET, target, until=until)
    else:
        host.drain_signals.retract(now, DrainSource.TARGET, target)


def on_host_list(
    host: "EntryHost", now: float, hosts: tuple[tuple[str, str], ...]
) -> None:
    """Processes the platform's host list, as a hint about leaving targets."""
    intent = host.configuration.intent
    names = {name for name, state in hosts if state in LEAVING_STATES}
    targets = {name for name in names if intent.target(name) is not None}
    host.drain_signals.replace(now, DrainSource.HOST_LIST, targets)


def on_tick(host: "EntryHost", now: float) -> None:
    """Updates the signals from other hosts and drops expired signals."""
    version = host.configuration.version
    targets: set[str] = set()
    for name, state in host.membership.states.items():
        age_s = now - host.membership.last_heartbeat_at[name]
        if state.phase is not Phase.GONE and age_s < SIGNAL_TTL_S:
            targets.update(state.leaving)
            if state.version > version:
                targets |= _drained_targets(host, state)
    host.drain_signals.replace(now, DrainSource.NEIGHBOUR, targets)
    host.drain_signals.drop_expired(now)


def announced_drains(
    host: "EntryHost", now: float
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the leaving targets and drains to announce to other hosts.

    Returns:
        Names of the targets that are leaving by their own report or by the
        platform's host list, and the intent's drains as ``subject/name``.
        At most ``MAX_NAMES_PER_STATE`` of each.
    """
    drains = host.configuration.intent.drains
    drain_names = sorted(f"{subject}/{name}" for subject, name in drains)
    observed = host.drain_signals.locally_observed(now)
    return (
        tuple(observed[:MAX_NAMES_PER_STATE]),
        tuple(drain_names[:MAX_NAMES_PER_STATE]),
    )


def _drained_targets(host: "EntryHost", state: HostState) -> set[str]:
    """Returns the targets that another host's newer intent drains."""
    targets = set()
    for entry in state.drained:
        subject, _, name = entry.partition("/")
        targets |= _targets_in(host.configuration.intent, subject, name)
    return targets


def _targets_in(intent: Intent, subject: str, name: str) -> set[str]:
    if subject == Subject.TARGET:
        return {name}
    domains: tuple[str, ...] = ()
    if subject == Subject.DOMAIN:
        domains = (name,)
    elif subject == Subject.REGION and name in intent.regions:
        domains = intent.regions[name].domains
    return {t.name for d in domains for _, t in intent.targets_of_domain(d)}
