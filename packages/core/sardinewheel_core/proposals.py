"""Operators' changes on their way into the platform's table.

A proposal ends as accepted, rejected, in conflict, or, when the platform
stays away, unknown. The transaction that accepts a change also inserts a row
for its change id, so a change id creates at most one version, whichever
hosts it is proposed through and however often.
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
FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 2.0
MAX_CHANGE_ID_CHARS = 128

Rows = tuple[tuple[str, int, str], ...]


class Stage(StrEnum):
    """What a proposal waits for."""

    READ = "read"
    COMMIT = "commit"
    RETRY = "retry"


class Proposal:
    """One change, or a question about one, on its way.

    Attributes:
        event: What the operator proposed.
        deadline: Instant at which it is given up.
        question: Whether only the outcome of the change id is asked for.
        stage: What it waits for.
        change: Change last offered to the table.
        has_read: Whether the table was read for it, so that a finding is
            not due to this host being behind.
        lost: Whether a transaction may have taken effect unnoticed.
        winner: Change that took the version that was offered last.
        retry_at: When a call that failed is repeated.
        retry_s: Delay before the next repetition.
    """

    def __init__(
        self, event: ChangeProposed, *, deadline: float, question: bool = False
    ):
        self.event = event
        self.deadline = deadline
        self.question = question
        self.stage = Stage.READ
        self.change: Change | None = None
        self.has_read = False
        self.lost = False
        self.winner: Change | None = None
        self.retry_at = 0.0
        self.retry_s = FIRST_RETRY_S


def on_operator(
    host: "EntryHost", now: float, event: ChangeProposed | ChangeStatusRequested
) -> None:
    """Takes in what an operator proposes or asks."""
    if isinstance(event, ChangeProposed):
        on_proposal(host, now, event)
    else:
        on_question(host, now, event)


def on_proposal(host: "EntryHost", now: float, event: ChangeProposed) -> None:
    """Checks an operator's change and offers it to the platform's table."""
    proposal = Proposal(event, deadline=now + PROPOSAL_TIMEOUT_S)
    finding = _id_finding(event.change_id)
    if finding is not None:
        _end(host, proposal, ProposalState.REJECTED, findings=(finding,))
        return
    known = host.configuration.by_id(event.change_id)
    if known is not None:
        row = ChangeIdRow(known.version, digest_of(known.operations))
        _settle(host, proposal, row)
    elif event.base_version > host.configuration.version:
        _read(host, proposal)
    else:
        _offer(host, proposal)


def on_question(
    host: "EntryHost", now: float, event: ChangeStatusRequested
) -> None:
    """Finds out whether a change id created a version."""
    asked = ChangeProposed(event.proposal_id, event.change_id, "", 0, ())
    proposal = Proposal(asked, deadline=now + PROPOSAL_TIMEOUT_S, question=True)
    known = host.configuration.by_id(event.change_id)
    if known is not None:
        _end(host, proposal, ProposalState.ACCEPTED, known.version)
    else:
        _read(host, proposal)


def on_transaction(
    host: "EntryHost", now: float, event: TransactionEnded
) -> None:
    """Learns how a transaction ended."""
    proposal = host.proposals.pop(event.call_id, None)
    if proposal is None:
        return
    if event.failed:
        proposal.lost = True
        _retry_later(host, now, proposal)
    elif event.committed:
        rollout.take_changes(host, now, (proposal.change,), "operator")
        _end(host, proposal, ProposalState.ACCEPTED, proposal.change.version)
    else:
        _on_conflict(host, now, proposal, event.rows)


def on_rows(host: "EntryHost", now: float, event: RowsRead) -> None:
    """Goes on with a proposal whose rows were read."""
    proposal = host.proposals.pop(event.call_id, None)
    if proposal is None:
        return
    if event.failed:
        _retry_later(host, now, proposal)
        return
    proposal.has_read = True
    rollout.take_rows(host, now, event.rows)
    if _settled_by(host, now, proposal, event.rows):
        return
    if proposal.question:
        _end(host, proposal, ProposalState.ABSENT)
    elif _is_behind(host, event.rows):
        _read(host, proposal)
    elif proposal.event.base_version > host.configuration.version:
        finding = Finding(
            "base_version",
            str(proposal.event.base_version),
            f"at most {host.configuration.version}",
        )
        _end(host, proposal, ProposalState.REJECTED, findings=(finding,))
    else:
        _offer(host, proposal)


def on_tick(host: "EntryHost", now: float) -> None:
    """Repeats calls that failed and gives up proposals past their deadline."""
    for call_id, proposal in list(host.proposals.items()):
        if now >= proposal.deadline:
            del host.proposals[call_id]
            _give_up(host, proposal)
        elif proposal.stage is Stage.RETRY and now >= proposal.retry_at:
            del host.proposals[call_id]
            _read(host, proposal)


def _offer(host: "EntryHost", proposal: Proposal) -> None:
    """Offers the change on top of the base, or of the version in force."""
    event, intent = proposal.event, host.configuration.intent
    base = event.base_version or intent.version
    change = Change(base + 1, event.change_id, event.author, event.operations)
    if base == intent.version:
        try:
            apply_change(intent, change)
        except ChangeRejectedError as error:
            if proposal.has_read:
                _end_unappliable(host, proposal, error)
            else:
                _read(host, proposal)
            return
    proposal.change = change
    proposal.stage = Stage.COMMIT
    call_id = host.next_id()
    host.proposals[call_id] = proposal
    host.rollout.writes += 1
    host.emit(_transaction(call_id, change))


def _transaction(call_id: int, change: Change) -> Transact:
    """Returns the transaction that accepts a change.

    Its own id names the version and the content too, because a platform may
    answer a repeated id with the end of the first transaction.
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
    if _settled_by(host, now, proposal, rows):
        return
    proposal.winner = _winner(rows, proposal.change.version)
    if proposal.event.base_version:
        _end(host, proposal, ProposalState.CONFLICT, winner=proposal.winner)
        host.rollout.next_poll_at = now
    else:
        _read(host, proposal)


def _settled_by(
    host: "EntryHost", now: float, proposal: Proposal, rows: Rows
) -> bool:
    """Ends a proposal whose change id already created a version."""
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
    _settle(host, proposal, row)
    host.rollout.next_poll_at = now
    return True


def _settle(host: "EntryHost", proposal: Proposal, row: ChangeIdRow) -> None:
    same = row.digest == digest_of(proposal.event.operations)
    if proposal.question or same:
        _end(host, proposal, ProposalState.ACCEPTED, row.version)
        return
    finding = Finding(
        "change_id",
        repr(proposal.event.change_id),
        f"an id not in use; version {row.version} has it",
    )
    _end(host, proposal, ProposalState.REJECTED, findings=(finding,))


def _read(host: "EntryHost", proposal: Proposal) -> None:
    """Reads the row of the change id and what is missing here."""
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
    proposal.retry_s = min(LONGEST_RETRY_S, 2 * proposal.retry_s)
    host.proposals[host.next_id()] = proposal


def _give_up(host: "EntryHost", proposal: Proposal) -> None:
    may_have_run = proposal.lost or proposal.stage is Stage.COMMIT
    if may_have_run or proposal.question:
        _end(host, proposal, ProposalState.UNKNOWN)
        return
    finding = Finding(
        "platform", "no answer", f"an answer within {PROPOSAL_TIMEOUT_S:g} s"
    )
    _end(host, proposal, ProposalState.REJECTED, findings=(finding,))


def _end_unappliable(
    host: "EntryHost", proposal: Proposal, error: ChangeRejectedError
) -> None:
    """Ends a change that does not apply to the version in force."""
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
    """Says whether the rows led to progress but not to the head."""
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
