"""A host's part of its region's cap.

The accepted configuration divides each cap among the region's seats; the
shares add up to the cap. A host may lend part of its share to another host
of the region for a bounded time. The lender lowers itself before it grants,
and takes the units back only after the loan and the longest request that may
run on it have ended on its own clock; the borrower counts the loan from the
moment it asked, so it always stops first.
"""

from typing import NamedTuple

from sardinewheel_core.intent import Intent

LOAN_S = 3.0
CLOCK_MARGIN_S = 0.5
LONGEST_REQUEST_S = 10.0
QUARANTINE_S = LOAN_S + LONGEST_REQUEST_S + CLOCK_MARGIN_S
FLOOR_SHARE = 0.5
PAUSE_S = 1.0
SUPERSEDE_S = 3.0


def share_of(intent: Intent, seat: str) -> int:
    """Returns the weight units of its region's cap that a seat holds.

    The shares of a region's seats add up to its cap.
    """
    if seat not in intent.seats:
        return 0
    region = intent.region_of(intent.seats[seat].domain)
    if region is None:
        return 0
    names = [s.name for s in intent.seats_of_region(region)]
    cap = intent.regions[region].cap
    base, rest = divmod(cap, len(names))
    return base + (1 if names.index(seat) < rest else 0)


class Loan(NamedTuple):
    """Units that are lent or borrowed until an instant on the local clock."""

    units: int
    until: float


class Allowance:
    """Weight units that this host may have in flight in its region.

    Attributes:
        share: Units that the configuration gives this seat.
        in_flight: Units in use.
        lent: Loans given, by borrower and nonce.
        borrowed: Loans taken, by nonce.
        usable_from: Instant from which the share may be used.
    """

    def __init__(self, *, usable_from: float = 0.0):
        self.share = 0
        self.in_flight = 0
        self.lent: dict[tuple[str, int], Loan] = {}
        self.borrowed: dict[int, Loan] = {}
        self.usable_from = usable_from

    def limit(self, now: float) -> int:
        """Returns the units that may be in flight now."""
        own = 0
        if now >= self.usable_from:
            lent = sum(x.units for x in self.lent.values() if x.until > now)
            own = self.share - lent
        return own + sum(
            x.units for x in self.borrowed.values() if x.until > now
        )

    def room(self, now: float) -> int:
        """Returns the units that are free now."""
        return self.limit(now) - self.in_flight

    def take(self, now: float, weight: int) -> bool:
        """Occupies units if they are free; says whether it did."""
        if weight > self.room(now):
            return False
        self.in_flight += weight
        return True

    def give_back(self, weight: int) -> None:
        """Frees units that :meth:`take` occupied."""
        self.in_flight -= weight
