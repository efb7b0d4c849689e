"""Configuration versions applied on this host, and their stored form.

The platform's table holds one row with the latest version (the head), one row
per change and one row per change id. A host applies only the change that
directly follows its own version, or a snapshot of a higher version, so its
configuration version never decreases.
"""

import hashlib
import json
from typing import NamedTuple

from sardinewheel_core.change import Change, Operation, apply_change
from sardinewheel_core.codec import from_plain, load_json, to_plain
from sardinewheel_core.errors import ChangeRejectedError
from sardinewheel_core.intent import Intent

HEAD_KEY = "config/head"
MAX_CHANGES_PER_MESSAGE = 50
MAX_CHANGES_KEPT = 256
DIGEST_BYTES = 8


class ChangeIdRow(NamedTuple):
    """Stored row that maps a change id to the version it created.

    Attributes:
        version: Version that the change created.
        digest: Digest of the operations of the change.
    """

    version: int
    digest: str


def change_key(version: int) -> str:
    """Returns the key of the table row that holds a change."""
    return f"config/{version:09d}"


def change_id_key(change_id: str) -> str:
    """Returns the key of the table row that holds a change id."""
    return f"config/id/{change_id}"


def encode_change(change: Change) -> str:
    """Returns a change encoded as JSON."""
    return json.dumps(to_plain(change), separators=(",", ":"))


def decode_change(text: str) -> Change:
    """Returns the change decoded from JSON.

    Raises:
        MessageError: The text does not describe a change.
    """
    return from_plain(load_json(text), Change)


def encode_change_id(change: Change) -> str:
    """Returns the change id row of a change, encoded as JSON."""
    row = ChangeIdRow(change.version, digest_of(change.operations))
    return json.dumps(to_plain(row), separators=(",", ":"))


def decode_change_id(text: str) -> ChangeIdRow:
    """Returns the change id row decoded from JSON.

    Raises:
        MessageError: The text does not describe a change id row.
    """
    return from_plain(load_json(text), ChangeIdRow)


def encode_intent(intent: Intent) -> str:
    """Returns an intent encoded as JSON."""
    return json.dumps(to_plain(intent), separators=(",", ":"))


def decode_intent(text: str) -> Intent:
    """Returns the intent decoded from JSON.

    Raises:
        MessageError: The text does not describe an intent.
    """
    return from_plain(load_json(text), Intent)


def digest_of(operations: tuple[Operation, ...]) -> str:
    """Returns a digest for comparing two lists of operations."""
    text = json.dumps(to_plain(operations), separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


class Configuration:
    """The intent applied on this host, with the latest changes to it.

    Attributes:
        intent: Intent in force.
        changes: Latest applied changes by version, without gaps; at most
            ``MAX_CHANGES_KEPT``.
        refusal: Error of the latest attempt to apply the next change, or
            None.
    """

    def __init__(self):
        self.intent = Intent.empty()
        self.changes: dict[int, Change] = {}
        self.refusal: ChangeRejectedError | None = None

    @property
    def version(self) -> int:
        """Configuration version in force."""
        return self.intent.version

    def apply_next(self, changes: tuple[Change, ...]) -> list[Change]:
        """Applies consecutive changes that follow the version in force.

        Changes of other versions are skipped. Stops at the first change that
        is rejected and stores the error in ``refusal``.

        Returns:
            The applied changes, oldest first.
        """
        applied = []
        for change in sorted(changes, key=lambda c: c.version):
            if change.version != self.version + 1:
                continue
            try:
                self.intent = apply_change(self.intent, change)
            except ChangeRejectedError as error:
                self.refusal = error
                break
            self.refusal = None
            self._retain(change)
            applied.append(change)
        return applied

    def load_snapshot(self, intent: Intent) -> bool:
        """Replaces the intent by a newer one; returns whether it was newer."""
        if intent.version <= self.version:
            return False
        self.intent = intent
        self.changes = {}
        self.refusal = None
        return True

    def has_changes_after(self, version: int) -> bool:
        """Returns whether all changes after a version are retained."""
        return version >= self.version or version + 1 in self.changes

    def changes_after(self, version: int) -> tuple[Change, ...]:
        """Returns retained changes after a version, oldest first.

        Returns at most ``MAX_CHANGES_PER_MESSAGE`` changes; none if some of
        those after the version are no longer retained.
        """
        last = min(self.version, version + MAX_CHANGES_PER_MESSAGE)
        if version < 0 or not self.has_changes_after(version):
            return ()
        return tuple(self.changes[v] for v in range(version + 1, last + 1))

    def change_by_id(self, change_id: str) -> Change | None:
        """Returns the retained change with a change id, if any."""
        for change in self.changes.values():
            if change.change_id == change_id:
                return change
        return None

    def _retain(self, change: Change) -> None:
        self.changes[change.version] = change
        if len(self.changes) > MAX_CHANGES_KEPT:
            del self.changes[next(iter(self.changes))]
