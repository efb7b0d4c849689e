"""The chain of configuration versions in force on this host.

The platform's table holds one row with the head version, one row per change
and one row per change id. A host takes only the change that follows its own
version, or a whole intent of a higher version, so what is in force on it
never reverts.
"""

import hashlib
import json
from typing import NamedTuple

from sardinewheel_core.change import Change, Operation, apply_change
from sardinewheel_core.codec import from_plain, to_plain
from sardinewheel_core.errors import ChangeRejectedError, MessageError
from sardinewheel_core.intent import Intent

HEAD_KEY = "config/head"
MAX_CHANGES_PER_MESSAGE = 50
MAX_CHANGES_KEPT = 256
DIGEST_BYTES = 8


class ChangeIdRow(NamedTuple):
    """Row that ties a change id to the one version it created.

    Attributes:
        version: Version that the change created.
        digest: Digest of its operations.
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
    """Returns a change as JSON text."""
    return json.dumps(to_plain(change), separators=(",", ":"))


def decode_change(text: str) -> Change:
    """Returns the change that JSON text stands for.

    Raises:
        MessageError: The text does not describe a change.
    """
    return from_plain(_from_json(text), Change)


def encode_change_id(change: Change) -> str:
    """Returns the row of a change's id as JSON text."""
    row = ChangeIdRow(change.version, digest_of(change.operations))
    return json.dumps(to_plain(row), separators=(",", ":"))


def decode_change_id(text: str) -> ChangeIdRow:
    """Returns the row of a change id that JSON text stands for.

    Raises:
        MessageError: The text does not describe such a row.
    """
    return from_plain(_from_json(text), ChangeIdRow)


def encode_intent(intent: Intent) -> str:
    """Returns a whole intent as JSON text."""
    return json.dumps(to_plain(intent), separators=(",", ":"))


def decode_intent(text: str) -> Intent:
    """Returns the intent that JSON text stands for.

    Raises:
        MessageError: The text does not describe an intent.
    """
    return from_plain(_from_json(text), Intent)


def digest_of(operations: tuple[Operation, ...]) -> str:
    """Returns a digest by which two lists of operations are compared."""
    text = json.dumps(to_plain(operations), separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def _from_json(text: str):
    try:
        return json.loads(text)
    except (TypeError, ValueError, RecursionError) as error:
        raise MessageError(f"not JSON: {error}") from None


class Configuration:
    """The intent in force on this host, with the latest changes to it.

    Attributes:
        intent: Intent in force.
        changes: Latest changes in force, by version, without gaps; at most
            ``MAX_CHANGES_KEPT``.
        refusal: Why the change that follows was refused, or nothing.
    """

    def __init__(self):
        self.intent = Intent.empty()
        self.changes: dict[int, Change] = {}
        self.refusal: ChangeRejectedError | None = None

    @property
    def version(self) -> int:
        """Version in force."""
        return self.intent.version

    def offer(self, changes: tuple[Change, ...]) -> list[Change]:
        """Takes the changes that follow the version in force.

        Returns:
            The changes that came into force, oldest first.
        """
        taken = []
        for change in sorted(changes, key=lambda c: c.version):
            if change.version != self.version + 1:
                continue
            try:
                self.intent = apply_change(self.intent, change)
            except ChangeRejectedError as error:
                self.refusal = error
                break
            self.refusal = None
            self._keep(change)
            taken.append(change)
        return taken

    def load(self, intent: Intent) -> bool:
        """Takes a whole intent if it is newer; says whether it was."""
        if intent.version <= self.version:
            return False
        self.intent = intent
        self.changes = {}
        self.refusal = None
        return True

    def has_after(self, version: int) -> bool:
        """Says whether every change that follows a version is kept."""
        return version >= self.version or version + 1 in self.changes

    def after(self, version: int) -> tuple[Change, ...]:
        """Returns kept changes that follow a version, oldest first."""
        last = min(self.version, version + MAX_CHANGES_PER_MESSAGE)
        if version < 0 or not self.has_after(version):
            return ()
        return tuple(self.changes[v] for v in range(version + 1, last + 1))

    def by_id(self, change_id: str) -> Change | None:
        """Returns the kept change of that id."""
        for change in self.changes.values():
            if change.change_id == change_id:
                return change
        return None

    def _keep(self, change: Change) -> None:
        self.changes[change.version] = change
        if len(self.changes) > MAX_CHANGES_KEPT:
            del self.changes[next(iter(self.changes))]
