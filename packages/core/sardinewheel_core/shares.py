"""Shares by configuration version: shares are lowered before others rise.

Hosts apply a change at different times. A host therefore uses the smallest of
its shares over all versions that a seat of its region may still use. It drops
a version only when every seat is known to have applied a newer one and all
requests that were in flight before have ended. A version whose successor
lowers no share is dropped at once.
"""

from collections import deque

from sardinewheel_core.allowance import QUARANTINE_S, shares_of
from sardinewheel_core.change import apply_change
from sardinewheel_core.configuration import Configuration
from sardinewheel_core.intent import Intent
from sardinewheel_core.messages import HostState

Shares = dict[str, int]


class ShareHistory:
    """Shares of the seats of one region, by version.

    Attributes:
        seat: Seat of this host.
        domain: Failure domain of this host.
        intent: Latest intent that was added.
        shares_by_version: Shares by version; versions that a snapshot skipped
            are missing.
        settled: Version such that every seat of the region uses at most its
            shares of this version or of a newer one.
        oldest_limiting: Oldest version that limits this seat; never decreases.
        applied_versions: Highest version that each seat is known to have
            applied.
        settling: Versions that all seats have applied, each with the instant
            from which it is settled.
    """

    def __init__(self, *, seat: str, domain: str):
        self.seat = seat
        self.domain = domain
        self.intent = Intent.empty()
        self.shares_by_version: dict[int, Shares] = {0: {}}
        self.settled = 0
        self.oldest_limiting = 0
        self.applied_versions: dict[str, int] = {}
        self.settling: deque[tuple[int, float]] = deque()

    def add_versions(self, configuration: Configuration) -> None:
        """Adds the versions up to the one in force."""
        for version in range(self.intent.version + 1, configuration.version):
            change = configuration.changes.get(version)
            if change is None:
                break
            self._add_version(apply_change(self.intent, change))
        if configuration.version > self.intent.version:
            self._add_version(configuration.intent)
        self.applied_versions[self.seat] = self.intent.version

    def record_states(self, states: tuple[HostState, ...]) -> None:
        """Records which versions other seats have applied, from gossip."""
        for state in states:
            if state.domain not in self._domains():
                continue
            self.record_version(state.name, state.version)
            self.settled = max(self.settled, state.settled)

    def record_version(self, seat: str, version: int) -> None:
        """Records that a seat's current or next host has a version or newer."""
        self.applied_versions[seat] = max(
            self.applied_versions.get(seat, 0), version
        )

    def seats(self) -> set[str]:
        """Returns the seats of all versions that may still be in use."""
        return {
            name
            for shares in self.shares_by_version.values()
            for name in shares
        }

    def advance(self, now: float) -> int:
        """Drops versions that no seat uses any more.

        Returns:
            The units that this seat may use.
        """
        versions = [self.applied_versions.get(name, 0) for name in self.seats()]
        lowest = min([*versions, self.intent.version])
        last = self.settling[-1][0] if self.settling else self.settled
        if lowest > last:
            self.settling.append((lowest, now + QUARANTINE_S))
        while self.settling and self.settling[0][1] <= now:
            version, _ = self.settling.popleft()
            self.settled = max(self.settled, version)
        self.oldest_limiting = self._oldest_limiting()
        self.shares_by_version = {
            v: s
            for v, s in self.shares_by_version.items()
            if v >= self.oldest_limiting
        }
        return self.usable_units()

    def usable_units(self) -> int:
        """Returns the units that this seat may use."""
        limiting = self.limiting_shares()
        return min((shares.get(self.seat, 0) for shares in limiting), default=0)

    def limiting_shares(self) -> list[Shares]:
        """Returns the shares of each version that may still be in use.

        Empty when the shares of some of these versions are unknown.
        """
        first, last = self._oldest_limiting(), self.intent.version
        limiting = [s for v, s in self.shares_by_version.items() if v >= first]
        return limiting if len(limiting) == last - first + 1 else []

    def _add_version(self, intent: Intent) -> None:
        self.intent = intent
        self.shares_by_version[intent.version] = shares_of(intent, self.domain)

    def _domains(self) -> tuple[str, ...]:
        region = self.intent.region_of(self.domain)
        return self.intent.regions[region].domains if region else ()

    def _oldest_limiting(self) -> int:
        """Returns the oldest version that limits this seat."""
        version = min(
            max(self.oldest_limiting, self.settled), self.intent.version
        )
        while version < self.intent.version and self._lowers_no_share(version):
            version += 1
        return version

    def _lowers_no_share(self, version: int) -> bool:
        before = self.shares_by_version.get(version)
        after = self.shares_by_version.get(version + 1)
        if before is None or after is None:
            return False
        # An added or removed seat also changes how shift caps are divided.
        if before and before.keys() != after.keys():
            return False
        return all(units <= after[n] for n, units in before.items())
