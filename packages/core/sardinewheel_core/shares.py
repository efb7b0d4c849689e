"""Shares by configuration version: lower before raise.

Hosts take a change at different times. A host therefore uses the smallest of
its shares over all versions that a seat of its region may still hold, and
leaves a version behind only when every seat is known to have taken a newer
one and all that was in flight before has ended. A version whose successor
lowers no share is left behind at once.
"""

from collections import deque

from sardinewheel_core.allowance import QUARANTINE_S, shares_of
from sardinewheel_core.change import apply_change
from sardinewheel_core.configuration import Configuration
from sardinewheel_core.intent import Intent
from sardinewheel_core.messages import HostState

Shares = dict[str, int]


class ShareHistory:
    """The shares of the seats of one region, by version.

    Attributes:
        seat: Seat of this host.
        domain: Failure domain of this host.
        intent: Latest intent that was taken in.
        tables: Shares by version; versions of a snapshot's past are missing.
        settled: Every seat of the region uses at most its shares of this
            version or of a newer one.
        first: Oldest version that limits this seat; never goes back.
        known: Highest version that each seat is known to have taken.
        reached: Versions that all seats have taken, each with the instant
            from which it is settled.
    """

    def __init__(self, *, seat: str, domain: str):
        self.seat = seat
        self.domain = domain
        self.intent = Intent.empty()
        self.tables: dict[int, Shares] = {0: {}}
        self.settled = 0
        self.first = 0
        self.known: dict[str, int] = {}
        self.reached: deque[tuple[int, float]] = deque()

    def take(self, configuration: Configuration) -> None:
        """Takes in the versions that lead to the one in force."""
        for version in range(self.intent.version + 1, configuration.version):
            change = configuration.changes.get(version)
            if change is None:
                break
            self._add(apply_change(self.intent, change))
        if configuration.version > self.intent.version:
            self._add(configuration.intent)
        self.known[self.seat] = self.intent.version

    def hear(self, states: tuple[HostState, ...]) -> None:
        """Learns from gossip which versions other seats have taken."""
        for state in states:
            if state.domain not in self._domains():
                continue
            self.note_version(state.name, state.version)
            self.settled = max(self.settled, state.settled)

    def note_version(self, seat: str, version: int) -> None:
        """Notes that a seat's holder uses a version or a newer one."""
        self.known[seat] = max(self.known.get(seat, 0), version)

    def seats(self) -> set[str]:
        """Returns the seats of the versions that may still be held."""
        return {name for table in self.tables.values() for name in table}

    def advance(self, now: float) -> int:
        """Leaves versions behind that nobody holds any more.

        Returns:
            The units that this seat may use.
        """
        versions = [self.known.get(name, 0) for name in self.seats()]
        lowest = min([*versions, self.intent.version])
        last = self.reached[-1][0] if self.reached else self.settled
        if lowest > last:
            self.reached.append((lowest, now + QUARANTINE_S))
        while self.reached and self.reached[0][1] <= now:
            version, _ = self.reached.popleft()
            self.settled = max(self.settled, version)
        self.first = self._first()
        self.tables = {v: t for v, t in self.tables.items() if v >= self.first}
        return self.usable()

    def usable(self) -> int:
        """Returns the units that this seat may use."""
        tables = self.live_tables()
        return min((table.get(self.seat, 0) for table in tables), default=0)

    def live_tables(self) -> list[Shares]:
        """Returns the shares of each version that may still be held.

        Empty when some of them are unknown.
        """
        first, last = self._first(), self.intent.version
        tables = [t for v, t in self.tables.items() if v >= first]
        return tables if len(tables) == last - first + 1 else []

    def _add(self, intent: Intent) -> None:
        self.intent = intent
        self.tables[intent.version] = shares_of(intent, self.domain)

    def _domains(self) -> tuple[str, ...]:
        region = self.intent.region_of(self.domain)
        return self.intent.regions[region].domains if region else ()

    def _first(self) -> int:
        """Returns the oldest version that limits this seat."""
        version = min(max(self.first, self.settled), self.intent.version)
        while version < self.intent.version and self._only_rises(version):
            version += 1
        return version

    def _only_rises(self, version: int) -> bool:
        before = self.tables.get(version)
        after = self.tables.get(version + 1)
        if before is None or after is None:
            return False
        # A seat that joins or leaves changes the parts of shifts, too.
        if before and before.keys() != after.keys():
            return False
        return all(units <= after[n] for n, units in before.items())
