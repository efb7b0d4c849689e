"""How configuration changes are accepted and come into force on this host."""

from typing import TYPE_CHECKING

from sardinewheel_core import allowance, dispatching
from sardinewheel_core.change import Change, apply_change
from sardinewheel_core.configuration import (
    HEAD_KEY,
    change_key,
    decode_change,
    encode_change,
)
from sardinewheel_core.effects import (
    ChangeProposed,
    ProposalEnded,
    ProposalState,
    ReadRows,
    RowsRead,
    Send,
    Transact,
    TransactionEnded,
)
from sardinewheel_core.errors import ChangeRejectedError
from sardinewheel_core.messages import (
    ChangesSent,
    ChangesWanted,
    HostState,
    Phase,
)

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

POLL_INTERVAL_S = 1.0
POLLERS_PER_DOMAIN = 2
ROWS_PER_POLL = 20


class RolloutState:
    """Calls under way and what is due when.

    Attributes:
        next_poll_at: When the table is read next.
        poll_call: Read under way, or 0.
        proposals: Proposals under way, by transaction call.
    """

    def __init__(self, *, now: float):
        self.next_poll_at = now
        self.poll_call = 0
        self.proposals: dict[int, tuple[ChangeProposed, Change]] = {}


def poll(host: "EntryHost", now: float) -> None:
    """Reads the table when that is due and this host's turn."""
    if now < host.rollout.next_poll_at or not _is_poller(host, now):
        return
    host.rollout.next_poll_at = now + POLL_INTERVAL_S
    host.rollout.poll_call = host.next_id()
    first = host.configuration.version + 1
    keys = [change_key(v) for v in range(first, first + ROWS_PER_POLL)]
    host.emit(ReadRows(host.rollout.poll_call, (HEAD_KEY, *keys)))


def on_rows(host: "EntryHost", now: float, event: RowsRead) -> None:
    """Takes in rows of the platform's table."""
    if event.call_id != host.rollout.poll_call:
        return
    host.rollout.poll_call = 0
    if event.failed:
        return
    changes = tuple(
        decode_change(value)
        for key, row_version, value in event.rows
        if row_version and key != HEAD_KEY
    )
    take_changes(host, now, changes, "platform")
    if host.phase is Phase.JOINING and host.configuration.version:
        _become_ready(host, now)


def on_proposal(host: "EntryHost", now: float, event: ChangeProposed) -> None:
    """Checks an operator's change and offers it to the platform's table."""
    intent = host.configuration.intent
    change = Change(
        intent.version + 1, event.change_id, event.author, event.operations
    )
    try:
        apply_change(intent, change)
    except ChangeRejectedError as error:
        host.emit(
            ProposalEnded(
                event.proposal_id,
                ProposalState.REJECTED,
                findings=error.findings,
            )
        )
        return
    call_id = host.next_id()
    host.rollout.proposals[call_id] = (event, change)
    head = f'{{"version":{change.version}}}'
    host.emit(
        Transact(
            call_id,
            event.change_id,
            checks=(
                (HEAD_KEY, intent.version),
                (change_key(change.version), 0),
            ),
            writes=(
                (HEAD_KEY, head),
                (change_key(change.version), encode_change(change)),
            ),
        )
    )


def on_transaction(
    host: "EntryHost", now: float, event: TransactionEnded
) -> None:
    """Learns how a transaction ended."""
    entry = host.rollout.proposals.pop(event.call_id, None)
    if entry is None:
        return
    proposal, change = entry
    if event.committed:
        take_changes(host, now, (change,), "operator")
        ended = ProposalEnded(
            proposal.proposal_id, ProposalState.ACCEPTED, change.version
        )
    elif event.failed:
        ended = ProposalEnded(proposal.proposal_id, ProposalState.UNKNOWN)
    else:
        winner = _winner(event.rows, change.version)
        ended = ProposalEnded(
            proposal.proposal_id, ProposalState.CONFLICT, winner=winner
        )
        host.rollout.next_poll_at = now
    host.emit(ended)


def ask_for_changes(host: "EntryHost", states: tuple[HostState, ...]) -> None:
    """Asks the host that is furthest ahead for what is missing here."""
    ahead = [s for s in states if s.version > host.configuration.version]
    if ahead:
        best = max(ahead, key=lambda s: s.version)
        wanted = ChangesWanted(host.configuration.version)
        host.emit(Send(best.name, best.peer_address, wanted))


def send_changes(host: "EntryHost", receiver: str, after: int) -> None:
    """Sends a peer the changes that it asked for."""
    changes = host.configuration.after(after)
    state = host.membership.states.get(receiver)
    if changes and state is not None:
        host.emit(Send(receiver, state.peer_address, ChangesSent(changes)))


def take_changes(
    host: "EntryHost", now: float, changes: tuple[Change, ...], source: str
) -> None:
    """Puts changes in force that follow the version here."""
    taken = host.configuration.offer(changes)
    for change in taken:
        host.report(
            now,
            "change-in-force",
            version=change.version,
            change_id=change.change_id,
            source=source,
        )
    if taken:
        intent = host.configuration.intent
        host.allowance.share = allowance.share_of(intent, host.identity.name)
        if host.phase is Phase.JOINING:
            _become_ready(host, now)
        dispatching.refresh_targets(host, now)


def _is_poller(host: "EntryHost", now: float) -> bool:
    names = [
        s.name
        for s in host.membership.alive(now)
        if s.domain == host.identity.domain
    ]
    return host.identity.name in names[:POLLERS_PER_DOMAIN]


def _become_ready(host: "EntryHost", now: float) -> None:
    host.membership.own = host.membership.own._replace(phase=Phase.READY)
    host.report(now, "ready", version=host.configuration.version)


def _winner(rows, version: int) -> Change | None:
    for key, row_version, value in rows:
        if key == change_key(version) and row_version:
            return decode_change(value)
    return None
