"""Which targets are leaving, from whichever source says so first.

The intent in force decides at once in both directions, because its version
never falls. The other sources lag or mislead, so a target that one of them
called leaving gets work again only when the same source takes it back and
``RETURN_DELAY_S`` have passed.
"""

from enum import StrEnum
from typing import TYPE_CHECKING

from sardinewheel_core.intent import Intent, Subject
from sardinewheel_core.messages import HostState, Phase

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

RETURN_DELAY_S = 10.0
SIGN_VALID_S = 60.0
MAX_NAMES_PER_STATE = 16
LEAVING_STATES = frozenset({"leaving", "draining"})


class Source(StrEnum):
    """Where the news came from."""

    INTENT = "intent"
    TARGET = "target"
    HOST_LIST = "host-list"
    NEIGHBOUR = "neighbour"


class LeavingSigns:
    """Signs that targets are leaving, apart from the intent.

    Attributes:
        until: Instant up to which each sign holds, by source and target;
            infinity until the source takes it back.
    """

    def __init__(self):
        self.until: dict[tuple[Source, str], float] = {}

    def add(
        self, source: Source, target: str, *, until: float = float("inf")
    ) -> None:
        """Notes that a source calls a target leaving."""
        self.until[source, target] = until

    def take_back(self, now: float, source: Source, target: str) -> None:
        """Notes that a source no longer calls a target leaving."""
        until = self.until.get((source, target))
        if until is not None:
            self.until[source, target] = min(until, now + RETURN_DELAY_S)

    def replace(self, now: float, source: Source, targets: set[str]) -> None:
        """Sets all that a source calls leaving."""
        for known, target in list(self.until):
            if known is source and target not in targets:
                self.take_back(now, source, target)
        for target in targets:
            self.add(source, target)

    def source_of(self, now: float, target: str) -> Source | None:
        """Returns a source that calls a target leaving."""
        for source in (Source.TARGET, Source.HOST_LIST, Source.NEIGHBOUR):
            if self.until.get((source, target), now) > now:
                return source
        return None

    def seen_here(self, now: float) -> list[str]:
        """Returns the targets that this host itself saw leaving."""
        return sorted(
            {
                target
                for (source, target), until in self.until.items()
                if source is not Source.NEIGHBOUR and until > now
            }
        )

    def forget(self, now: float) -> None:
        """Drops signs that no longer hold."""
        self.until = {k: t for k, t in self.until.items() if t > now}


def source_of(host: "EntryHost", now: float, target: str) -> Source | None:
    """Returns a source that calls a target leaving."""
    if host.configuration.intent.is_drained(Subject.TARGET, target):
        return Source.INTENT
    return host.leaving.source_of(now, target)


def on_draining_sign(
    host: "EntryHost", now: float, target: str, *, draining: bool
) -> None:
    """Takes in what a target says of itself."""
    if draining:
        until = now + SIGN_VALID_S
        host.leaving.add(Source.TARGET, target, until=until)
    else:
        host.leaving.take_back(now, Source.TARGET, target)


def on_host_list(
    host: "EntryHost", now: float, hosts: tuple[tuple[str, str], ...]
) -> None:
    """Takes in the platform's list, as a hint about targets."""
    intent = host.configuration.intent
    names = {name for name, state in hosts if state in LEAVING_STATES}
    targets = {name for name in names if intent.target(name) is not None}
    host.leaving.replace(now, Source.HOST_LIST, targets)


def on_tick(host: "EntryHost", now: float) -> None:
    """Takes in what the neighbours say and drops what no longer holds."""
    version = host.configuration.version
    targets: set[str] = set()
    for name, state in host.membership.states.items():
        age_s = now - host.membership.heard_at[name]
        if state.phase is not Phase.GONE and age_s < SIGN_VALID_S:
            targets.update(state.leaving)
            if state.version > version:
                targets |= _drained_targets(host, state)
    host.leaving.replace(now, Source.NEIGHBOUR, targets)
    host.leaving.forget(now)


def told_to_others(
    host: "EntryHost", now: float
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the leaving targets and drained places for the own state."""
    drains = host.configuration.intent.drains
    places = sorted(f"{subject}/{name}" for subject, name in drains)
    seen = host.leaving.seen_here(now)
    return (
        tuple(seen[:MAX_NAMES_PER_STATE]),
        tuple(places[:MAX_NAMES_PER_STATE]),
    )


def _drained_targets(host: "EntryHost", state: HostState) -> set[str]:
    """Returns the targets that a newer version than this host's drains."""
    targets = set()
    for place in state.drained:
        subject, _, name = place.partition("/")
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
