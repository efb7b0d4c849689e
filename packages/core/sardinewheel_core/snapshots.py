"""Snapshots of the intent, for hosts that lack many changes.

A host that lacks more changes than its peers retain receives the complete
intent from one of them in parts, or reads it from the platform's object store.
Snapshots in the store are written once per version and never modified.
"""

from typing import TYPE_CHECKING

from sardinewheel_core.configuration import decode_intent, encode_intent
from sardinewheel_core.effects import ObjectRead, PutObject, ReadObject, Send
from sardinewheel_core.errors import MessageError
from sardinewheel_core.intent import Intent
from sardinewheel_core.messages import HostState, SnapshotPart

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

SNAPSHOT_INTERVAL_VERSIONS = 100
PART_CHARS = 48 * 1024
MAX_PARTS = 512


class SnapshotState:
    """Received parts of a snapshot, and the object store read in progress.

    Attributes:
        version: Version of the snapshot being assembled.
        sender: Host that sends the parts.
        parts: Received texts by part index.
        read_call: Call id of the object store read in progress, or 0.
        last_read_version: Snapshot version last read from the store; 0 if
            that read failed.
    """

    def __init__(self):
        self.version = 0
        self.sender = ""
        self.parts: dict[int, str] = {}
        self.read_call = 0
        self.last_read_version = 0

    def add(self, sender: str, part: SnapshotPart) -> str | None:
        """Adds a part; returns the complete text once all parts have arrived.

        Raises:
            MessageError: The part index or the number of parts is out of
                range.
        """
        if not 0 <= part.part < part.parts <= MAX_PARTS:
            raise MessageError(
                f"snapshot part {part.part} of {part.parts} is out of range"
            )
        if part.version < self.version:
            return None
        if (part.version, sender) != (self.version, self.sender):
            self.version, self.sender, self.parts = part.version, sender, {}
        self.parts[part.part] = part.text
        if len(self.parts) < part.parts:
            return None
        text = "".join(self.parts[i] for i in sorted(self.parts))
        self.version, self.sender, self.parts = 0, "", {}
        return text


def object_name(version: int) -> str:
    """Returns the object store name of the snapshot of a version."""
    return f"config-snapshot-{version:09d}"


def latest_snapshot(version: int) -> int:
    """Returns the highest version with a snapshot that is not newer."""
    return version - version % SNAPSHOT_INTERVAL_VERSIONS


def send(host: "EntryHost", receiver: HostState) -> None:
    """Sends the intent in force to a peer, in parts."""
    text = encode_intent(host.configuration.intent)
    pieces = [
        text[start : start + PART_CHARS]
        for start in range(0, len(text), PART_CHARS)
    ]
    for index, piece in enumerate(pieces):
        part = SnapshotPart(
            host.configuration.version, index, len(pieces), piece
        )
        host.emit(Send(receiver.name, receiver.peer_address, part))


def on_part(
    host: "EntryHost", now: float, sender: str, part: SnapshotPart
) -> Intent | None:
    """Handles a received part; returns the intent once it is complete."""
    try:
        text = host.snapshots.add(sender, part)
        return None if text is None else decode_intent(text)
    except MessageError as error:
        host.report(now, "snapshot-refused", sender=sender, error=str(error))
        return None


def store(host: "EntryHost") -> None:
    """Writes the intent in force to the object store."""
    version = host.configuration.version
    text = encode_intent(host.configuration.intent)
    host.emit(PutObject(host.next_id(), object_name(version), text))


def fetch(host: "EntryHost", head: int) -> bool:
    """Reads the latest snapshot if it replaces enough single changes.

    The minimum is half of ``SNAPSHOT_INTERVAL_VERSIONS`` changes.

    Returns:
        Whether a read is in progress.
    """
    if host.snapshots.read_call:
        return True
    version = latest_snapshot(head)
    missing = version - host.configuration.version
    if missing < SNAPSHOT_INTERVAL_VERSIONS // 2:
        return False
    if version == host.snapshots.last_read_version:
        return False
    host.snapshots.read_call = host.next_id()
    host.snapshots.last_read_version = version
    host.emit(ReadObject(host.snapshots.read_call, object_name(version)))
    return True


def on_object(
    host: "EntryHost", now: float, event: ObjectRead
) -> Intent | None:
    """Returns the intent read from the object store, if any."""
    if event.call_id != host.snapshots.read_call:
        return None
    host.snapshots.read_call = 0
    if event.failed:
        host.snapshots.last_read_version = 0
        return None
    if event.text is None:
        return None
    try:
        return decode_intent(event.text)
    except MessageError as error:
        host.report(now, "snapshot-refused", sender="store", error=str(error))
        return None
