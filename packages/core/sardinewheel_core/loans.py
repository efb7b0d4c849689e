"""Loans of a region's units between entry hosts.

A borrower counts a loan from the moment it asked, a lender from the moment it
granted, plus the longest request. Loans have numbers that repeat in no other
incarnation and rounds that repeat in no other ask, so a message that is lost,
doubled, late or out of order wastes room for a while and does nothing else.
"""

from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core.allowance import (
    LOAN_DURATION_S,
    QUARANTINE_S,
    Loan,
    LoanKey,
)
from sardinewheel_core.effects import Send
from sardinewheel_core.messages import (
    HostState,
    LoanGranted,
    LoanReturned,
    LoanWanted,
    Phase,
)

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

REQUEST_INTERVAL_S = 0.2
RENEW_BEFORE_S = 1.5
HEADROOM_SHARE = 0.1


class LoanRequest(NamedTuple):
    """A loan that was asked for and not granted yet.

    Attributes:
        lender: Seat that was asked.
        round: Number of the ask.
        requested_at: When it was asked for, on the local clock.
    """

    lender: str
    round: int
    requested_at: float


class LoanState:
    """Asks under way.

    Attributes:
        pending: Latest ask by nonce of the loan.
        next_request_at: Instant before which nobody is asked.
    """

    def __init__(self):
        self.pending: dict[int, LoanRequest] = {}
        self.next_request_at = 0.0


def on_tick(host: "EntryHost", now: float) -> None:
    """Renews, returns and asks for loans."""
    host.allowance.expire(now)
    book = host.loans
    book.pending = {
        nonce: ask
        for nonce, ask in book.pending.items()
        if ask.requested_at + LOAN_DURATION_S > now
    }
    for nonce, loan in list(host.allowance.borrowed.items()):
        _renew_or_return(host, now, nonce, loan)
    if host.phase is Phase.READY and now >= book.next_request_at:
        _borrow(host, now)


def on_loan_wanted(
    host: "EntryHost", now: float, sender: str, message: LoanWanted
) -> None:
    """Lends units, or lends the same units for longer."""
    state = host.membership.states.get(sender)
    if state is None or host.phase is not Phase.READY:
        return
    if message.region != host.region or _region_of(host, state) != host.region:
        return
    key = LoanKey(sender, message.incarnation, message.nonce)
    host.allowance.expire(now)
    lent = host.allowance.lent.get(key)
    lendable = min(message.units, host.allowance.lendable(now))
    units = lent.units if lent else lendable
    if units <= 0:
        return
    # Lowered before the grant leaves.
    host.allowance.lent[key] = Loan(units, now + QUARANTINE_S)
    granted = LoanGranted(
        message.region,
        message.nonce,
        units,
        LOAN_DURATION_S,
        message.incarnation,
        message.round,
    )
    host.emit(Send(sender, state.peer_address, granted))


def on_loan_granted(
    host: "EntryHost", now: float, sender: str, message: LoanGranted
) -> None:
    """Takes a loan, counted from when it was asked for."""
    ask = host.loans.pending.get(message.nonce)
    if (
        ask is None
        or message.incarnation != host.identity.incarnation
        or message.region != host.region
        or (sender, message.round) != (ask.lender, ask.round)
        or host.is_superseded
    ):
        return
    del host.loans.pending[message.nonce]
    until = ask.requested_at + LOAN_DURATION_S
    if until > now:
        loan = Loan(message.units, until, sender)
        host.allowance.borrowed[message.nonce] = loan


def on_loan_returned(
    host: "EntryHost", now: float, sender: str, message: LoanReturned
) -> None:
    """Takes lent units back."""
    key = LoanKey(sender, message.incarnation, message.nonce)
    host.allowance.lent.pop(key, None)


def _renew_or_return(
    host: "EntryHost", now: float, nonce: int, loan: Loan
) -> None:
    """Renews a loan that is needed and returns one that is not."""
    allowance = host.allowance
    lender = host.membership.states.get(loan.lender)
    room_without = allowance.free_units(now) - loan.units
    is_staying = lender is not None and lender.phase is Phase.READY
    is_kept = host.phase is Phase.READY and is_staying
    is_due = loan.until - now < RENEW_BEFORE_S
    if is_kept and not is_due:
        return
    if is_kept and room_without < _units_needed(host, now):
        if nonce not in host.loans.pending:
            _request_loan(host, now, nonce, loan.units, lender)
    elif room_without >= 0 and lender is not None:
        _return(host, nonce, lender)


def _return(host: "EntryHost", nonce: int, lender: HostState) -> None:
    """Stops using a loan, then tells its lender."""
    del host.allowance.borrowed[nonce]
    host.loans.pending.pop(nonce, None)
    message = LoanReturned(host.region, nonce, host.identity.incarnation)
    host.emit(Send(lender.name, lender.peer_address, message))


def _borrow(host: "EntryHost", now: float) -> None:
    missing = _units_needed(host, now) - host.allowance.free_units(now)
    if missing <= 0:
        return
    lenders = [
        s
        for s in host.membership.ready(now)
        if s.name != host.identity.name
        and s.spare > 0
        and _region_of(host, s) == host.region
    ]
    if lenders:
        lender = max(lenders, key=lambda s: s.spare * host.rng.random())
        host.loans.next_request_at = now + REQUEST_INTERVAL_S
        _request_loan(host, now, host.next_id(), missing, lender)


def _request_loan(
    host: "EntryHost", now: float, nonce: int, units: int, lender: HostState
) -> None:
    ask = LoanRequest(lender.name, host.next_id(), now)
    host.loans.pending[nonce] = ask
    wanted = LoanWanted(
        host.region, nonce, units, host.identity.incarnation, ask.round
    )
    host.emit(Send(lender.name, lender.peer_address, wanted))


def _units_needed(host: "EntryHost", now: float) -> int:
    """Returns the free units that work at hand calls for."""
    allowance = host.allowance
    waiting = sum(exchange.request.weight for exchange in host.waiting())
    slots = sum(s.free(now) for s in host.targets.states.values())
    if allowance.is_quarantined(now):
        return max(waiting, slots)
    if not waiting and not allowance.in_flight:
        return 0
    spare = 1 + int(HEADROOM_SHARE * allowance.in_flight)
    return max(waiting, min(spare, slots))


def _region_of(host: "EntryHost", state: HostState) -> str | None:
    return host.configuration.intent.region_of(state.domain)
