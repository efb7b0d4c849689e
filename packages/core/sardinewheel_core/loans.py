"""Loans of units of a region's cap between entry hosts.

A borrower measures a loan from the moment of its request, a lender from the
moment of the grant, plus the duration of the longest request that may run on
it. A loan's nonce is unique within the borrower's incarnation, and each request
for the loan has its own round number. A message that is lost, duplicated, late
or out of order therefore only leaves units unused until the loan ends.
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
HEADROOM_FRACTION = 0.1


class LoanRequest(NamedTuple):
    """A request for a loan that was not granted yet.

    Attributes:
        lender: Seat that the request was sent to.
        round: Number of the request.
        requested_at: When the request was sent, on the local clock.
    """

    lender: str
    round: int
    requested_at: float


class LoanState:
    """Loan requests of this host.

    Attributes:
        pending: Latest request by nonce of the loan.
        next_request_at: Instant before which no new loan is requested.
    """

    def __init__(self):
        self.pending: dict[int, LoanRequest] = {}
        self.next_request_at = 0.0


def on_tick(host: "EntryHost", now: float) -> None:
    """Renews, returns and requests loans."""
    host.allowance.expire(now)
    loan_state = host.loans
    loan_state.pending = {
        nonce: loan_request
        for nonce, loan_request in loan_state.pending.items()
        if loan_request.requested_at + LOAN_DURATION_S > now
    }
    for nonce, loan in list(host.allowance.borrowed.items()):
        _renew_or_return(host, now, nonce, loan)
    if host.phase is Phase.READY and now >= loan_state.next_request_at:
        _borrow(host, now)


def on_loan_wanted(
    host: "EntryHost", now: float, sender: str, message: LoanWanted
) -> None:
    """Grants a loan, or extends one that was already granted."""
    state = host.membership.states.get(sender)
    if state is None or host.phase is not Phase.READY:
        return
    if message.region != host.region or _region_of(host, state) != host.region:
        return
    key = LoanKey(sender, message.incarnation, message.nonce)
    host.allowance.expire(now)
    lent = host.allowance.lent.get(key)
    lendable_units = min(message.units, host.allowance.lendable_units(now))
    units = lent.units if lent else lendable_units
    if units <= 0:
        return
    # Lower this host's limit before the grant is sent.
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
    """Uses a granted loan, measured from when it was requested."""
    loan_request = host.loans.pending.get(message.nonce)
    if (
        loan_request is None
        or message.incarnation != host.identity.incarnation
        or message.region != host.region
        or (sender, message.round) != (loan_request.lender, loan_request.round)
        or host.is_superseded
    ):
        return
    del host.loans.pending[message.nonce]
    until = loan_request.requested_at + LOAN_DURATION_S
    if until > now:
        loan = Loan(message.units, until, sender)
        host.allowance.borrowed[message.nonce] = loan


def on_loan_returned(
    host: "EntryHost", now: float, sender: str, message: LoanReturned
) -> None:
    """Removes a loan that the borrower returned."""
    key = LoanKey(sender, message.incarnation, message.nonce)
    host.allowance.lent.pop(key, None)


def _renew_or_return(
    host: "EntryHost", now: float, nonce: int, loan: Loan
) -> None:
    """Renews a loan that is needed and returns one that is not."""
    allowance = host.allowance
    lender = host.membership.states.get(loan.lender)
    free_without_loan = allowance.free_units(now) - loan.units
    is_lender_ready = lender is not None and lender.phase is Phase.READY
    may_renew = host.phase is Phase.READY and is_lender_ready
    is_due = loan.until - now < RENEW_BEFORE_S
    if may_renew and not is_due:
        return
    if may_renew and free_without_loan < _units_needed(host, now):
        if nonce not in host.loans.pending:
            _request_loan(host, now, nonce, loan.units, lender)
    elif free_without_loan >= 0 and lender is not None:
        _return(host, nonce, lender)


def _return(host: "EntryHost", nonce: int, lender: HostState) -> None:
    """Stops using a loan, then notifies its lender."""
    del host.allowance.borrowed[nonce]
    host.loans.pending.pop(nonce, None)
    message = LoanReturned(host.region, nonce, host.identity.incarnation)
    host.emit(Send(lender.name, lender.peer_address, message))


def _borrow(host: "EntryHost", now: float) -> None:
    missing_units = _units_needed(host, now) - host.allowance.free_units(now)
    if missing_units <= 0:
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
        _request_loan(host, now, host.next_id(), missing_units, lender)


def _request_loan(
    host: "EntryHost", now: float, nonce: int, units: int, lender: HostState
) -> None:
    loan_request = LoanRequest(lender.name, host.next_id(), now)
    host.loans.pending[nonce] = loan_request
    wanted = LoanWanted(
        host.region, nonce, units, host.identity.incarnation, loan_request.round
    )
    host.emit(Send(lender.name, lender.peer_address, wanted))


def _units_needed(host: "EntryHost", now: float) -> int:
    """Returns the free units that this host needs now.

    That is the weight of the waiting requests or, if larger, a headroom of one
    unit plus ``HEADROOM_FRACTION`` of the units in flight, limited to the free
    slots of the targets. In quarantine, where the host may not use its share,
    the headroom is all free slots. An idle host needs none.
    """
    allowance = host.allowance
    waiting = sum(exchange.request.weight for exchange in host.waiting())
    slots = sum(s.free_slots(now) for s in host.targets.states.values())
    if allowance.is_quarantined(now):
        return max(waiting, slots)
    if not waiting and not allowance.in_flight:
        return 0
    spare = 1 + int(HEADROOM_FRACTION * allowance.in_flight)
    return max(waiting, min(spare, slots))


def _region_of(host: "EntryHost", state: HostState) -> str | None:
    return host.configuration.intent.region_of(state.domain)
