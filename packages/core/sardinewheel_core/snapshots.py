"""Whole intents for hosts that are far behind.

A host that misses more changes than its neighbours keep takes a whole intent
from one of them in parts, or from the platform's object store. Snapshots in
the store are written once per version and never altered.
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
    """Parts of a snapshot that have arrived, and the read under way.

    Attributes:
        version: Version of the snapshot being put together.
        sender: Host that sends it.
        parts: Texts by index.
        read_call: Read of the object store under way, or 0.
        tried: Snapshot version last asked of the store.
    """

    def __init__(self):
        self.version = 0
        self.sender = ""
        self.parts: dict[int, str] = {}
        self.read_call = 0
        self.tried = 0

    def add(self, sender: str, part: SnapshotPart) -> str | None:
        """Takes in a part; returns the whole text once it is complete.

        Raises:
            MessageError: The part's numbers make no sense.
        """
        if not 0 <= part.part < part.parts <= MAX_PARTS:
            raise MessageError(f"part {part.part} of {part.parts}")
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
    """Returns the name of a snapshot in the object store."""
    return f"config-snapshot-{version:09d}"


def latest_snapshot(version: int) -> int:
    """Returns the highest version, up to one, that has a snapshot."""
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
    """Takes in a part; returns the intent once it is complete."""
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
    """Reads the store's latest snapshot if that saves reading changes.

    Returns:
        Whether a read is under way.
    """
    if host.snapshots.read_call:
        return True
    version = latest_snapshot(head)
    behind = version - host.configuration.version
    if behind < SNAPSHOT_INTERVAL_VERSIONS // 2:
        return False
    if version == host.snapshots.tried:
        return False
    host.snapshots.read_call = host.next_id()
    host.snapshots.tried = version
    host.emit(ReadObject(host.snapshots.read_call, object_name(version)))
    return True


def on_object(
    host: "EntryHost", now: float, event: ObjectRead
) -> Intent | None:
    """Returns the intent of a snapshot that was read."""
    if event.call_id != host.snapshots.read_call:
        return None
    host.snapshots.read_call = 0
    if event.failed:
        host.snapshots.tried = 0
        return None
    if event.text is None:
        return None
    try:
        return decode_intent(event.text)
    except MessageError as error:
        host.report(now, "snapshot-refused", sender="store", error=str(error))
        return None
