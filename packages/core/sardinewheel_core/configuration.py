"""The chain of configuration versions, and how it spreads.

The platform's table holds one row per change and one row with the head
version. A host takes only the change that follows its own version, so what
is in force on it never reverts.
"""

import json

from sardinewheel_core.change import Change, apply_change
from sardinewheel_core.codec import from_plain, to_plain
from sardinewheel_core.intent import Intent

HEAD_KEY = "config/head"
MAX_CHANGES_PER_MESSAGE = 50


def change_key(version: int) -> str:
    """Returns the key of the table row that holds a change."""
    return f"config/{version:09d}"


def encode_change(change: Change) -> str:
    """Returns a change as JSON text."""
    return json.dumps(to_plain(change), separators=(",", ":"))


def decode_change(text: str) -> Change:
    """Returns the change that JSON text stands for.

    Raises:
        MessageError: The text does not describe a change.
        ValueError: The text is not JSON.
    """
    return from_plain(json.loads(text), Change)


class Configuration:
    """The intent in force on this host, with the changes that led to it.

    Attributes:
        intent: Intent in force.
        changes: Every change in force, by version.
    """

    def __init__(self):
        self.intent = Intent.empty()
        self.changes: dict[int, Change] = {}

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
            self.intent = apply_change(self.intent, change)
            self.changes[change.version] = change
            taken.append(change)
        return taken

    def after(self, version: int) -> tuple[Change, ...]:
        """Returns the changes that follow a version, oldest first."""
        last = min(self.version, version + MAX_CHANGES_PER_MESSAGE)
        return tuple(self.changes[v] for v in range(version + 1, last + 1))
