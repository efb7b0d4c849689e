"""Distributes accepted changes to this host and its peers."""

from typing import TYPE_CHECKING

from sardinewheel_core import dispatching, snapshots
from sardinewheel_core.change import Change
from sardinewheel_core.configuration import (
    HEAD_KEY,
    change_key,
    decode_change,
)
from sardinewheel_core.effects import (
    ObjectRead,
    ReadHostList,
    ReadRows,
    RowsRead,
    Send,
)
from sardinewheel_core.errors import MessageError
from sardinewheel_core.intent import Intent
from sardinewheel_core.messages import (
    ChangesSent,
    ChangesWanted,
    HostState,
    Phase,
    SnapshotPart,
)

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

POLL_INTERVAL_S = 1.0
HOST_LIST_INTERVAL_S = 1.5
POLL_JITTER = 0.2
MAX_POLL_INTERVAL_S = 4.0
POLL_TIMEOUT_S = 10.0
POLLERS_PER_DOMAIN = 2
ROWS_PER_POLL = 50
REQUEST_INTERVAL_S = 1.0
JOIN_WAIT_S = 1.5
UNSYNCED_JOIN_WAIT_S = 3.0
PUSH_SAME_DOMAIN = 3
PUSH_OTHER_DOMAINS = 3

Rows = tuple[tuple[str, int, str], ...]


class RolloutState:
    """Calls in progress and the schedule of the next ones.

    Attributes:
        next_poll_at: Instant of the next read of the table.
        next_list_at: Instant of the next read of the platform's host list.
        poll_interval_s: Poll interval; doubles, up to
            ``MAX_POLL_INTERVAL_S``, while reads fail.
        poll_call: Call id of the read in progress, or 0.
        poll_started_at: Instant at which that read started.
        next_request_at: Instant before which no changes are requested from
            peers.
        synced: Whether this host has reached the head version of the
            platform's table.
        started_at: Instant at which this host started.
        reads: Number of reads from the platform's services.
        writes: Number of writes to the platform's services.
        last_refused: Row or change last reported as refused.
    """

    def __init__(self, *, now: float):
        self.next_poll_at = now
        self.next_list_at = now
        self.poll_interval_s = POLL_INTERVAL_S
        self.poll_call = 0
        self.poll_started_at = now
        self.next_request_at = now
        self.synced = False
        self.started_at = now
        self.reads = 0
        self.writes = 0
        self.last_refused = ""


def poll(host: "EntryHost", now: float) -> None:
    """Reads the table if a poll is due and this host polls for its domain."""
    become_ready(host, now)
    state = host.rollout
    if now < state.next_poll_at or not _is_poller(host, now):
        return
    if state.poll_call and now - state.poll_started_at < POLL_TIMEOUT_S:
        return
    jitter = host.rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
    state.next_poll_at = now + state.poll_interval_s * jitter
    state.poll_call = host.next_id()
    state.poll_started_at = now
    state.reads += 1
    host.emit(ReadRows(state.poll_call, next_keys(host)))
    if now >= state.next_list_at:
        state.next_list_at = now + HOST_LIST_INTERVAL_S
        state.reads += 1
        host.emit(ReadHostList())


def next_keys(host: "EntryHost") -> tuple[str, ...]:
    """Returns the keys of the head row and of the next changes."""
    first = host.configuration.version + 1
    versions = range(first, first + ROWS_PER_POLL)
    return (HEAD_KEY, *(change_key(v) for v in versions))


def on_rows(host: "EntryHost", now: float, event: RowsRead) -> None:
    """Handles the result of polling the platform's table."""
    state = host.rollout
    if event.call_id != state.poll_call:
        return
    state.poll_call = 0
    if event.failed:
        doubled = 2 * state.poll_interval_s
        state.poll_interval_s = min(MAX_POLL_INTERVAL_S, doubled)
        return
    state.poll_interval_s = POLL_INTERVAL_S
    if not snapshots.fetch(host, head_version(event.rows)):
        apply_rows(host, now, event.rows)


def apply_rows(host: "EntryHost", now: float, rows: Rows) -> None:
    """Applies changes from table rows and checks if the head is reached."""
    before = host.configuration.version
    apply_changes(host, now, _changes_of(host, now, rows), "platform")
    version = host.configuration.version
    if version >= head_version(rows):
        host.rollout.synced = True
        become_ready(host, now)
    elif version > before:
        host.rollout.next_poll_at = now


def on_object(host: "EntryHost", now: float, event: ObjectRead) -> None:
    """Handles the result of reading a snapshot from the object store."""
    intent = snapshots.on_object(host, now, event)
    if intent is not None:
        apply_snapshot(host, now, intent, "store")
    host.rollout.next_poll_at = now


def on_snapshot_part(
    host: "EntryHost", now: float, sender: str, part: SnapshotPart
) -> None:
    """Handles a part of a snapshot sent by a peer."""
    if part.version <= host.configuration.version:
        return
    host.rollout.next_request_at = now + REQUEST_INTERVAL_S
    intent = snapshots.on_part(host, now, sender, part)
    if intent is not None:
        apply_snapshot(host, now, intent, sender)


def head_version(rows: Rows) -> int:
    """Returns the head version, which is the row version of the head row."""
    return next((v for key, v, _ in rows if key == HEAD_KEY), 0)


def request_changes(
    host: "EntryHost", now: float, states: tuple[HostState, ...]
) -> None:
    """Requests missing changes from the host with the highest version."""
    ahead = [
        s
        for s in states
        if s.version > host.configuration.version and s.phase is not Phase.GONE
    ]
    if not ahead or now < host.rollout.next_request_at:
        return
    host.rollout.next_request_at = now + REQUEST_INTERVAL_S
    best = max(ahead, key=lambda s: s.version)
    wanted = ChangesWanted(host.configuration.version)
    host.emit(Send(best.name, best.peer_address, wanted))


def send_changes(host: "EntryHost", receiver: str, after: int) -> None:
    """Sends a peer the requested changes, or a snapshot if not retained."""
    state = host.membership.states.get(receiver)
    if state is None or after >= host.configuration.version:
        return
    changes = host.configuration.changes_after(after)
    if changes:
        host.emit(Send(receiver, state.peer_address, ChangesSent(changes)))
    else:
        snapshots.send(host, state)


def on_changes(
    host: "EntryHost", now: float, sender: str, changes: tuple[Change, ...]
) -> None:
    """Applies changes from a peer and requests those still missing."""
    applied = apply_changes(host, now, changes, sender)
    state = host.membership.states.get(sender)
    highest = max((c.version for c in changes), default=0)
    version = host.configuration.version
    if state is None:
        return
    if applied and version < state.version:
        host.rollout.next_request_at = now
        request_changes(host, now, (state,))
    elif highest > version:
        request_changes(host, now, (state._replace(version=highest),))


def apply_changes(
    host: "EntryHost", now: float, changes: tuple[Change, ...], source: str
) -> list[Change]:
    """Applies the next changes in order and pushes them to peers."""
    applied = host.configuration.apply_next(changes)
    for change in applied:
        host.report(
            now,
            "change-in-force",
            version=change.version,
            change_id=change.change_id,
            source=source,
        )
    if host.configuration.refusal is not None:
        version = host.configuration.version + 1
        error = str(host.configuration.refusal)
        _report_refusal(host, now, f"version {version}", error)
    if applied:
        _push(host, now, tuple(applied))
        on_intent(host, now)
    return applied


def apply_snapshot(
    host: "EntryHost", now: float, intent: Intent, source: str
) -> None:
    """Applies a snapshot if it is newer than the version in force."""
    if host.configuration.load_snapshot(intent):
        host.report(
            now, "snapshot-in-force", version=intent.version, source=source
        )
        on_intent(host, now)


def on_intent(host: "EntryHost", now: float) -> None:
    """Updates the state of this host after the intent has changed."""
    intent = host.configuration.intent
    host.shares.add_versions(host.configuration)
    host.allowance.share = host.shares.advance(now)
    own = host.membership.own
    host.membership.own = own._replace(version=intent.version)
    _store_snapshot(host, now)
    become_ready(host, now)
    dispatching.refresh_targets(host, now)


def become_ready(host: "EntryHost", now: float) -> None:
    """Makes a joining host ready once its configuration is up to date.

    It first waits ``JOIN_WAIT_S`` for heartbeats of its peers, so that it does
    not dispatch to targets that they dispatch to; ``UNSYNCED_JOIN_WAIT_S`` if
    it has not reached the head of the platform's table.
    """
    if host.phase is not Phase.JOINING or not host.configuration.version:
        return
    known = max((s.version for s in host.membership.alive(now)), default=0)
    if host.configuration.version < known:
        return
    age_s = now - host.rollout.started_at
    if age_s < JOIN_WAIT_S:
        return
    if host.rollout.synced or age_s >= UNSYNCED_JOIN_WAIT_S:
        host.membership.own = host.membership.own._replace(phase=Phase.READY)
        host.report(now, "ready", version=host.configuration.version)


def _changes_of(
    host: "EntryHost", now: float, rows: Rows
) -> tuple[Change, ...]:
    """Returns the changes decoded from rows; reports malformed rows."""
    changes = []
    prefix = change_key(0)[:-9]
    for key, row_version, value in rows:
        if not row_version or not key.removeprefix(prefix).isdigit():
            continue
        try:
            change = decode_change(value)
        except MessageError as error:
            _report_refusal(host, now, key, str(error))
            continue
        if change_key(change.version) == key:
            changes.append(change)
        else:
            _report_refusal(host, now, key, f"holds version {change.version}")
    return tuple(changes)


def _report_refusal(
    host: "EntryHost", now: float, origin: str, error: str
) -> None:
    """Reports a refused row or change, unless it was the last one reported."""
    if host.rollout.last_refused != origin:
        host.rollout.last_refused = origin
        host.report(now, "change-refused", place=origin, error=error)


def _push(host: "EntryHost", now: float, changes: tuple[Change, ...]) -> None:
    """Sends changes immediately to a sample of the hosts that lack them."""
    version = host.configuration.version
    others = [
        s
        for s in host.membership.alive(now)
        if s.name != host.identity.name and s.version < version
    ]
    same_domain = [s for s in others if s.domain == host.identity.domain]
    other_domains = [s for s in others if s.domain != host.identity.domain]
    chosen = host.membership.sample(same_domain, PUSH_SAME_DOMAIN)
    chosen += host.membership.sample(other_domains, PUSH_OTHER_DOMAINS)
    for state in chosen:
        host.emit(Send(state.name, state.peer_address, ChangesSent(changes)))


def _store_snapshot(host: "EntryHost", now: float) -> None:
    """Stores a snapshot if one is due at this version and this host polls."""
    version = host.configuration.version
    if snapshots.latest_snapshot(version) != version:
        return
    if host.phase is Phase.READY and _is_poller(host, now):
        host.rollout.writes += 1
        snapshots.store(host)


def _is_poller(host: "EntryHost", now: float) -> bool:
    if host.phase is Phase.JOINING:
        return True
    names = [
        s.name
        for s in host.membership.alive(now)
        if s.domain == host.identity.domain and s.phase is not Phase.LEAVING
    ]
    return host.identity.name in names[:POLLERS_PER_DOMAIN]
