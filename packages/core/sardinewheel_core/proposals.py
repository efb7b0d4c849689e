"""Commits operators' changes to the platform's table.

A proposal ends as accepted, rejected, in conflict, or, if the platform does
not answer, unknown. The transaction that commits a change also inserts a row
for its change id, so a change id creates at most one version, no matter how
often and through which hosts it is proposed.
"""

from enum import StrEnum
from typing import TYPE_CHECKING

from sardinewheel_core import rollout
from sardinewheel_core.change import Change, apply_change
from sardinewheel_core.configuration import (
    HEAD_KEY,
    ChangeIdRow,
    change_id_key,
    change_key,
    decode_change,
    decode_change_id,
    digest_of,
    encode_change,
    encode_change_id,
)
from sardinewheel_core.effects import (
    ChangeProposed,
    ChangeStatusRequested,
    ProposalEnded,
    ProposalState,
    ReadRows,
    RowsRead,
    Transact,
    TransactionEnded,
)
from sardinewheel_core.errors import (
    ChangeRejectedError,
    Finding,
    MessageError,
)

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

PROPOSAL_TIMEOUT_S = 10.0
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
MAX_CHANGE_ID_CHARS = 128

Rows = tuple[tuple[str, int, str], ...]


class Stage(StrEnum):
    """What a proposal is waiting for."""

    READ = "read"
    COMMIT = "commit"
    RETRY = "retry"


class Proposal:
    """A proposed change, or a query about a change id, in progress.

    Attributes:
        event: Event that carries the proposal.
        deadline: Instant at which it times out.
        is_query: Whether only the outcome of the change id is requested.
        stage: What it is waiting for.
        change: Change last submitted to the table.
        has_read_table: Whether the table was read for this proposal, so that
            a rejection cannot be caused by an outdated local version.
        may_be_committed: Whether a transaction whose result was lost may have
            been committed.
        winner: Change that created the version last submitted, on a conflict.
        retry_at: Instant at which a failed call is retried.
        retry_s: Upper bound of the delay before the next retry, in seconds.
    """

    def __init__(
        self, event: ChangeProposed, *, deadline: float, is_query: bool = False
    ):
        self.event = event
        self.deadline = deadline
        self.is_query = is_query
        self.stage = Stage.READ
        self.change: Change | None = None
        self.has_read_table = False
        self.may_be_committed = False
        self.winner: Change | None = None
        self.retry_at = 0.0
        self.retry_s = INITIAL_RETRY_DELAY_S


def on_operator_event(
    host: "EntryHost", now: float, event: ChangeProposed | ChangeStatusRequested
) -> None:
    """Handles a proposal or a query of an operator."""
    if isinstance(event, ChangeProposed):
        on_proposal(host, now, event)
    else:
        on_query(host, now, event)


def on_proposal(host: "EntryHost", now: float, event: ChangeProposed) -> None:
    """Validates an operator's change and submits it to the platform's table."""
    proposal = Proposal(event, deadline=now + PROPOSAL_TIMEOUT_S)
    finding = _id_finding(event.change_id)
    if finding is not None:
        _end(host, proposal, ProposalState.REJECTED, findings=(finding,))
        return
    known = host.configuration.change_by_id(event.change_id)
    if known is not None:
        row = ChangeIdRow(known.version, digest_of(known.operations))
        _settle_by_row(host, proposal, row)
    elif event.base_version > host.configuration.version:
        _read_rows(host, proposal)
    else:
        _submit(host, proposal)


def on_query(
    host: "EntryHost", now: float, event: ChangeStatusRequested
) -> None:
    """Determines whether a change id created a version."""
    query = ChangeProposed(event.proposal_id, event.change_id, "", 0, ())
    proposal = Proposal(query, deadline=now + PROPOSAL_TIMEOUT_S, is_query=True)
    known = host.configuration.change_by_id(event.change_id)
    if known is not None:
        _end(host, proposal, ProposalState.ACCEPTED, known.version)
    else:
        _read_rows(host, proposal)


def on_transaction(
    host: "EntryHost", now: float, event: TransactionEnded
) -> None:
    """Handles the result of a transaction."""
    proposal = host.proposals.pop(event.call_id, None)
    if proposal is None:
        return
    if event.failed:
        proposal.may_be_committed = True
        _retry_later(host, now, proposal)
    elif event.committed:
        rollout.apply_changes(host, now, (proposal.change,), "operator")
        _end(host, proposal, ProposalState.ACCEPTED, proposal.change.version)
    else:
        _on_conflict(host, now, proposal, event.rows)


def on_rows(host: "EntryHost", now: float, event: RowsRead) -> None:
    """Resumes the proposal for which table rows were read."""
    proposal = host.proposals.pop(event.call_id, None)
    if proposal is None:
        return
    if event.failed:
        _retry_later(host, now, proposal)
        return
    proposal.has_read_table = True
    rollout.apply_rows(host, now, event.rows)
    if _try_settle(host, now, proposal, event.rows):
        return
    if proposal.is_query:
        _end(host, proposal, ProposalState.ABSENT)
    elif _is_behind(host, event.rows):
        _read_rows(host, proposal)
    elif proposal.event.base_version > host.configuration.version:
        finding = Finding(
            "base_version",
            str(proposal.event.base_version),
            f"at most {host.configuration.version}",
        )
        _end(host, proposal, ProposalState.REJECTED, findings=(finding,))
    else:
        _submit(host, proposal)


def on_tick(host: "EntryHost", now: float) -> None:
    """Retries failed calls and ends proposals past their deadline."""
    for call_id, proposal in list(host.proposals.items()):
        if now >= proposal.deadline:
            del host.proposals[call_id]
            _expire(host, proposal)
        elif proposal.stage is Stage.RETRY and now >= proposal.retry_at:
            del host.proposals[call_id]
            _read_rows(host, proposal)


def _submit(host: "EntryHost", proposal: Proposal) -> None:
    """Submits the change based on the base version or the one in force."""
    event, intent = proposal.event, host.configuration.intent
    base = event.base_version or intent.version
    change = Change(base + 1, event.change_id, event.author, event.operations)
    if base == intent.version:
        try:
            apply_change(intent, change)
        except ChangeRejectedError as error:
            if proposal.has_read_table:
                _end_inapplicable(host, proposal, error)
            else:
                _read_rows(host, proposal)
            return
    proposal.change = change
    proposal.stage = Stage.COMMIT
    call_id = host.next_id()
    host.proposals[call_id] = proposal
    host.rollout.writes += 1
    host.emit(_transaction(call_id, change))


def _transaction(call_id: int, change: Change) -> Transact:
    """Returns the transaction that commits a change.

    The transaction id includes the version and the digest, because a platform
    may answer a repeated id with the result of the first transaction.
    """
    version, digest = change.version, digest_of(change.operations)
    rows = (
        (HEAD_KEY, version - 1, f'{{"version":{version}}}'),
        (change_key(version), 0, encode_change(change)),
        (change_id_key(change.change_id), 0, encode_change_id(change)),
    )
    return Transact(
        call_id,
        f"{change.change_id}/{version}/{digest}/{change.author}",
        checks=tuple((key, row_version) for key, row_version, _ in rows),
        writes=tuple((key, value) for key, _, value in rows),
    )


def _on_conflict(
    host: "EntryHost", now: float, proposal: Proposal, rows: Rows
) -> None:
    if _try_settle(host, now, proposal, rows):
        return
    proposal.winner = _winner(rows, proposal.change.version)
    if proposal.winner is not None:
        rollout.apply_changes(host, now, (proposal.winner,), "platform")
    if proposal.event.base_version:
        _end(host, proposal, ProposalState.CONFLICT, winner=proposal.winner)
        host.rollout.next_poll_at = now
    else:
        _read_rows(host, proposal)


def _try_settle(
    host: "EntryHost", now: float, proposal: Proposal, rows: Rows
) -> bool:
    """Ends a proposal if its change id has a row; returns whether it has."""
    key = change_id_key(proposal.event.change_id)
    text = next((v for k, version, v in rows if k == key and version), None)
    if text is None:
        return False
    try:
        row = decode_change_id(text)
    except MessageError as error:
        host.report(now, "platform-row-refused", key=key, error=str(error))
        _end(host, proposal, ProposalState.UNKNOWN)
        return True
    _settle_by_row(host, proposal, row)
    host.rollout.next_poll_at = now
    return True


def _settle_by_row(
    host: "EntryHost", proposal: Proposal, row: ChangeIdRow
) -> None:
    is_same_change = row.digest == digest_of(proposal.event.operations)
    if proposal.is_query or is_same_change:
        _end(host, proposal, ProposalState.ACCEPTED, row.version)
        return
    finding = Finding(
        "change_id",
        repr(proposal.event.change_id),
        f"an unused id; version {row.version} was created with it",
    )
    _end(host, proposal, ProposalState.REJECTED, findings=(finding,))


def _read_rows(host: "EntryHost", proposal: Proposal) -> None:
    """Reads the row of the change id and the changes missing on this host."""
    proposal.stage = Stage.READ
    call_id = host.next_id()
    host.proposals[call_id] = proposal
    host.rollout.reads += 1
    keys = rollout.next_keys(host)
    own_key = change_id_key(proposal.event.change_id)
    host.emit(ReadRows(call_id, (*keys, own_key)))


def _retry_later(host: "EntryHost", now: float, proposal: Proposal) -> None:
    proposal.stage = Stage.RETRY
    proposal.retry_at = now + proposal.retry_s * host.rng.uniform(0.5, 1.0)
    proposal.retry_s = min(MAX_RETRY_DELAY_S, 2 * proposal.retry_s)
    host.proposals[host.next_id()] = proposal


def _expire(host: "EntryHost", proposal: Proposal) -> None:
    may_have_committed = (
        proposal.may_be_committed or proposal.stage is Stage.COMMIT
    )
    if may_have_committed or proposal.is_query:
        _end(host, proposal, ProposalState.UNKNOWN)
        return
    finding = Finding(
        "platform", "no answer", f"an answer within {PROPOSAL_TIMEOUT_S:g} s"
    )
    _end(host, proposal, ProposalState.REJECTED, findings=(finding,))


def _end_inapplicable(
    host: "EntryHost", proposal: Proposal, error: ChangeRejectedError
) -> None:
    """Ends a proposal that cannot be applied to the version in force."""
    if proposal.winner is None:
        state = ProposalState.REJECTED
    else:
        state = ProposalState.CONFLICT
    _end(
        host,
        proposal,
        state,
        findings=error.findings,
        winner=proposal.winner,
    )


def _end(
    host: "EntryHost",
    proposal: Proposal,
    state: ProposalState,
    version: int = 0,
    *,
    findings: tuple[Finding, ...] = (),
    winner: Change | None = None,
) -> None:
    host.emit(
        ProposalEnded(
            proposal.event.proposal_id, state, version, findings, winner
        )
    )


def _is_behind(host: "EntryHost", rows: Rows) -> bool:
    """Returns whether the rows advanced this host, but not up to the head."""
    head = rollout.head_version(rows)
    return host.configuration.version < head and any(
        key == change_key(host.configuration.version) for key, _, _ in rows
    )


def _winner(rows: Rows, version: int) -> Change | None:
    key = change_key(version)
    text = next((v for k, found, v in rows if k == key and found), None)
    try:
        return None if text is None else decode_change(text)
    except MessageError:
        return None


def _id_finding(change_id: str) -> Finding | None:
    if 0 < len(change_id) <= MAX_CHANGE_ID_CHARS and change_id.isprintable():
        return None
    expected = f"1 to {MAX_CHANGE_ID_CHARS} printable characters"
    return Finding("change_id", repr(change_id)[:80], expected)
