"""A host's part of its region's cap.

The accepted configuration divides each cap among the region's seats; the
shares add up to the cap. A host may lend part of its share to another host
of the region for a bounded time. The lender lowers its own limit before it
grants the loan, and raises it again only after the loan and the longest
request that may run on it have ended by its own clock. The borrower measures
the loan from the moment of its request, so it always stops first.
"""

import math
from typing import NamedTuple

from sardinewheel_core.intent import Intent

LOAN_DURATION_S = 3.0
CLOCK_MARGIN_S = 0.5
MAX_REQUEST_DURATION_S = 10.0
QUARANTINE_S = LOAN_DURATION_S + MAX_REQUEST_DURATION_S + CLOCK_MARGIN_S
MIN_RETAINED_FRACTION = 0.5
PAUSE_THRESHOLD_S = 1.0
SUPERSEDE_DETECTION_S = 3.0


def shares_of(intent: Intent, domain: str) -> dict[str, int]:
    """Returns the weight units of each seat in the region of a domain.

    The shares add up to the region's cap.

    Examples:
        >>> from sardinewheel_core.intent import Region, Seat
        >>> intent = Intent.empty()._replace(
        ...     regions={"austro": Region("austro", 5, ("taller",))},
        ...     seats={n: Seat(n, "taller") for n in ("taller-1", "taller-2")},
        ... )
        >>> shares_of(intent, "taller")
        {'taller-1': 3, 'taller-2': 2}
    """
    region = intent.region_of(domain)
    if region is None:
        return {}
    names = [seat.name for seat in intent.seats_of_region(region)]
    if not names:
        return {}
    base, rest = divmod(intent.regions[region].cap, len(names))
    return {name: base + (i < rest) for i, name in enumerate(names)}


class LoanKey(NamedTuple):
    """Identifies a loan on the lender's side.

    Attributes:
        borrower: Seat of the borrower.
        incarnation: Incarnation of the borrower.
        nonce: Number of the loan, unique in that incarnation.
    """

    borrower: str
    incarnation: int
    nonce: int


class Loan(NamedTuple):
    """Units lent or borrowed until an instant on the local clock.

    Attributes:
        units: Weight units.
        until: On the borrower's side, the end of the loan; on the lender's,
            the end of the longest request that may run on it.
        lender: Seat of the lender.
    """

    units: int
    until: float
    lender: str = ""


class Allowance:
    """Weight units that this host may have in flight in its region.

    Attributes:
        share: Units that the configuration assigns to this seat.
        in_flight: Units in use.
        lent: Loans to other hosts.
        borrowed: Loans from other hosts, by nonce.
        usable_from: Instant from which the share may be used.
    """

    def __init__(self, *, usable_from: float = 0.0):
        self.share = 0
        self.in_flight = 0
        self.lent: dict[LoanKey, Loan] = {}
        self.borrowed: dict[int, Loan] = {}
        self.usable_from = usable_from

    def is_quarantined(self, now: float) -> bool:
        """Returns whether the share may not be used yet."""
        return now < self.usable_from

    def own_limit(self, now: float) -> int:
        """Returns the units of the share that are usable and not lent."""
        if self.is_quarantined(now):
            return 0
        return self.share - self.lent_units(now)

    def lent_units(self, now: float) -> int:
        """Returns the lent units that borrowers may still be using."""
        return sum(x.units for x in self.lent.values() if x.until > now)

    def limit(self, now: float) -> int:
        """Returns the units that may be in flight now."""
        loans = self.borrowed.values()
        return self.own_limit(now) + sum(
            x.units for x in loans if x.until > now
        )

    def free_units(self, now: float) -> int:
        """Returns the units that may be acquired now."""
        return self.limit(now) - self.in_flight

    def lendable_units(self, now: float) -> int:
        """Returns the units that may be lent now.

        The host keeps ``MIN_RETAINED_FRACTION`` of its share and what is in
        flight. Borrowed units do not count: they belong to another host.
        """
        own = self.own_limit(now)
        floor = math.ceil(self.share * MIN_RETAINED_FRACTION)
        return max(0, own - max(floor, self.in_flight))

    def try_acquire(self, now: float, weight: int) -> bool:
        """Acquires units if they are free; returns whether it did."""
        if weight > self.free_units(now):
            return False
        self.in_flight += weight
        return True

    def release(self, weight: int) -> None:
        """Releases units acquired by :meth:`try_acquire`."""
        self.in_flight -= weight

    def expire(self, now: float) -> None:
        """Removes loans that have ended."""
        self.lent = {k: x for k, x in self.lent.items() if x.until > now}
        self.borrowed = {
            k: x for k, x in self.borrowed.items() if x.until > now
        }
