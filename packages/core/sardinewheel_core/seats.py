"""Seat ownership: the seat's row, quarantine, pause detection and release.

The row ``seat/<name>`` names the incarnation that holds the seat and records
whether that incarnation released it. A host that finds the seat released or
never held uses its share at once. Otherwise it waits ``QUARANTINE_S``, within
which all requests and loans of its predecessor end. The platform is not
required: if it is unreachable, the quarantine ends by the local clock.
"""

import json
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core import stopping
from sardinewheel_core.allowance import (
    PAUSE_THRESHOLD_S,
    QUARANTINE_S,
    SUPERSEDE_DETECTION_S,
)
from sardinewheel_core.codec import from_plain, load_json, to_plain
from sardinewheel_core.effects import (
    ReadRows,
    RowsRead,
    Send,
    Transact,
    TransactionEnded,
)
from sardinewheel_core.errors import MessageError
from sardinewheel_core.messages import Heartbeat

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

CHECK_INTERVAL_S = 10.0
RETRY_INTERVAL_S = 1.0
PREDECESSOR_NOTICE_INTERVAL_S = 0.5
RELEASE_TIMEOUT_S = 2.0
KEY_PREFIX = "seat/"


class SeatRow(NamedTuple):
    """Value of a seat's row.

    Attributes:
        incarnation: Incarnation that claimed the seat.
        address: Peer address of that incarnation.
        is_released: Whether it stopped with nothing in flight and no units
            lent.
    """

    incarnation: int
    address: str
    is_released: bool


class SeatState:
    """State of this host's seat.

    Attributes:
        ticked_at: Instant of the last tick.
        resumed_at: Instant at which the end of the latest pause was detected.
        exclusive_from: Instant by which all requests and loans of earlier
            holders have ended.
        successor_known_from: Instant by which gossip would have reported a
            newer holder that started during the latest pause.
        is_claimed: Whether the row names this incarnation.
        row_version: Version of the row, as last read.
        was_vacant: Whether the row, as last read, was absent or released.
        predecessor: Peer address of an earlier holder that may still run.
        read_call: Call id of the pending read, or 0.
        read_version: Configuration version in force when the read began.
        write_call: Call id of the pending transaction, or 0.
        next_read_at: When the rows are read next.
        next_notice_at: When the predecessor is next sent a heartbeat.
        release_until: When the wait for the release ends, or 0.
        is_released: Whether this host has released the seat.
    """

    def __init__(self, *, now: float):
        self.ticked_at = now
        self.resumed_at = float("-inf")
        self.exclusive_from = now + QUARANTINE_S
        self.successor_known_from = now
        self.is_claimed = False
        self.row_version = 0
        self.was_vacant = False
        self.predecessor = ""
        self.read_call = 0
        self.read_version = 0
        self.write_call = 0
        self.next_read_at = now
        self.next_notice_at = now
        self.release_until = 0.0
        self.is_released = False


def key_of(seat: str) -> str:
    """Returns the key of a seat's row."""
    return KEY_PREFIX + seat


def detect_pause(host: "EntryHost", now: float) -> None:
    """Starts a quarantine if the host did not tick for ``PAUSE_THRESHOLD_S``.

    Called before any event is handled, so that nothing is dispatched or lent
    from a share that a newer holder may already use.
    """
    state = host.seat
    gap_s = now - state.ticked_at
    if gap_s <= PAUSE_THRESHOLD_S:
        return
    state.ticked_at = now
    state.resumed_at = now
    state.successor_known_from = now + SUPERSEDE_DETECTION_S
    state.read_call = 0
    state.next_read_at = state.successor_known_from
    usable_from = max(host.allowance.usable_from, now + QUARANTINE_S)
    host.allowance.usable_from = usable_from
    host.report(now, "seat-paused", seat=host.identity.name, gap_s=gap_s)


def on_tick(host: "EntryHost", now: float) -> None:
    """Records the tick and reads the seats' rows when that is due."""
    state = host.seat
    state.ticked_at = now
    _notify_predecessor(host, now)
    if now < state.next_read_at or state.release_until:
        return
    interval_s = CHECK_INTERVAL_S if state.is_claimed else RETRY_INTERVAL_S
    state.next_read_at = now + interval_s
    state.read_call = host.next_id()
    state.read_version = host.configuration.version
    names = sorted(host.shares.seats() | {host.identity.name})
    host.emit(ReadRows(state.read_call, tuple(key_of(n) for n in names)))


def may_dispatch(host: "EntryHost", now: float, *, ordered_at: float) -> bool:
    """Checks a dispatch right before its first byte is sent.

    Args:
        host: This host.
        now: Time on the monotonic clock, in seconds.
        ordered_at: When the dispatch was decided.

    Returns:
        Whether no pause was detected since the dispatch was decided, and the
        seat is neither released nor held by a newer incarnation.
    """
    detect_pause(host, now)
    state = host.seat
    is_current = ordered_at > state.resumed_at
    return is_current and not state.is_released and not host.is_superseded


def on_rows(host: "EntryHost", now: float, event: RowsRead) -> None:
    """Handles the rows of the region's seats."""
    state = host.seat
    if event.call_id != state.read_call:
        return
    state.read_call = 0
    if event.failed:
        state.next_read_at = now + RETRY_INTERVAL_S
        return
    for key, version, value in event.rows:
        row = _decode(value) if version else None
        name = key.removeprefix(KEY_PREFIX)
        if name == host.identity.name:
            _on_own_row(host, now, version, row)
        elif row is None or row.is_released:
            # The next holder of the seat starts at this version or later.
            host.shares.record_version(name, state.read_version)


def on_transaction(
    host: "EntryHost", now: float, event: TransactionEnded
) -> None:
    """Handles the result of a claim or a release."""
    state = host.seat
    if event.call_id != state.write_call:
        return
    state.write_call = 0
    if state.release_until:
        state.release_until = now
        return
    # After a lost answer or a conflict, reading the row shows the outcome.
    state.next_read_at = now
    if event.committed:
        if not state.is_claimed:
            state.row_version += 1
        _on_claimed(host, now)
        state.next_read_at = now + CHECK_INTERVAL_S


def on_superseded(host: "EntryHost", now: float) -> None:
    """Stops using the seat because a newer incarnation holds it."""
    if host.is_superseded:
        return
    host.is_superseded = True
    host.allowance.usable_from = float("inf")
    host.allowance.borrowed.clear()
    host.report(
        now,
        "repair",
        cause="newer incarnation in this seat",
        effect="stops dispatching and leaves",
    )
    stopping.on_stop(host, now)


def release(host: "EntryHost", now: float) -> bool:
    """Releases the seat of an idle host.

    Returns:
        Whether the release has completed, timed out or is not possible.
    """
    state = host.seat
    if state.release_until:
        return now >= state.release_until
    if not _may_release(host, now):
        return True
    state.is_released = True
    state.release_until = now + RELEASE_TIMEOUT_S
    host.allowance.usable_from = float("inf")
    _write(host, is_released=True)
    return False


def _may_release(host: "EntryHost", now: float) -> bool:
    allowance = host.allowance
    is_empty = not allowance.in_flight and not allowance.lent_units(now)
    may_use_share = not allowance.is_quarantined(now)
    return (
        host.seat.is_claimed
        and not host.is_superseded
        and is_empty
        and may_use_share
    )


def _on_own_row(
    host: "EntryHost", now: float, version: int, row: SeatRow | None
) -> None:
    state = host.seat
    own = host.identity.incarnation
    if row is not None and row.incarnation > own:
        on_superseded(host, now)
    elif row is not None and row.incarnation == own:
        state.row_version = version
        _on_claimed(host, now)
    elif not state.write_call:
        state.row_version = version
        state.was_vacant = row is None or row.is_released
        state.predecessor = "" if state.was_vacant else row.address
        state.next_notice_at = now
        _write(host, is_released=False)


def _on_claimed(host: "EntryHost", now: float) -> None:
    """Ends the quarantine as early as the row permits."""
    state = host.seat
    if not state.is_claimed:
        state.is_claimed = True
        if state.was_vacant:
            state.exclusive_from = now
    # A newer holder may have started while the platform was unreachable, so the
    # row does not prove that there is none: after a pause, wait until gossip
    # would have reported that holder.
    usable_from = max(state.exclusive_from, state.successor_known_from)
    if host.is_superseded or usable_from >= host.allowance.usable_from:
        return
    host.allowance.usable_from = usable_from
    host.report(
        now,
        "seat-held",
        seat=host.identity.name,
        after_s=round(max(0.0, usable_from - now), 3),
    )


def _notify_predecessor(host: "EntryHost", now: float) -> None:
    state = host.seat
    is_due = state.predecessor and now >= state.next_notice_at
    if is_due and host.allowance.is_quarantined(now):
        state.next_notice_at = now + PREDECESSOR_NOTICE_INTERVAL_S
        heartbeat = Heartbeat((host.membership.own,))
        host.emit(Send("", state.predecessor, heartbeat))


def _write(host: "EntryHost", *, is_released: bool) -> None:
    state = host.seat
    key = key_of(host.identity.name)
    state.write_call = host.next_id()
    identity = host.identity
    change_id = f"{key}/{identity.incarnation}/{state.write_call}"
    row = SeatRow(identity.incarnation, identity.peer_address, is_released)
    host.emit(
        Transact(
            state.write_call,
            change_id,
            checks=((key, state.row_version),),
            writes=((key, json.dumps(to_plain(row))),),
        )
    )


def _decode(value: str) -> SeatRow | None:
    """Decodes a row; a malformed one counts as held by an unknown host."""
    try:
        return from_plain(load_json(value), SeatRow)
    except MessageError:
        return SeatRow(0, "", False)
