"""Typed commands: what the operators' language says."""

from typing import NamedTuple

from sardinewheel_core.change import Operation


class Options(NamedTuple):
    """Options behind a command.

    Attributes:
        dry_run: Show the effect of a change without making it.
        wait: Wait until a change is in force on every host.
        redo: After a conflict, make the change on top of the winning one.
        json: Print JSON.
        force: Names of the strains that the operator accepts.
        base_version: Version the operator decided on, or 0 for the latest.
    """

    dry_run: bool = False
    wait: bool = False
    redo: bool = False
    json: bool = False
    force: tuple[str, ...] = ()
    base_version: int = 0

    def merged(self, other: "Options") -> "Options":
        """Returns the options that either of two sets asks for."""
        return Options(
            self.dry_run or other.dry_run,
            self.wait or other.wait,
            self.redo or other.redo,
            self.json or other.json,
            self.force + other.force,
            self.base_version or other.base_version,
        )


class Show(NamedTuple):
    """Asks for a view.

    Attributes:
        view: Name of the view, such as ``regions`` or ``service``.
        name: Name of the thing shown, or empty for all.
        by: What the rows are summed by, or empty for no sums.
    """

    view: str
    name: str = ""
    by: str = ""


class Explain(NamedTuple):
    """Asks for the decisions about something.

    Attributes:
        sort: Sort of the thing, such as ``request``.
        name: Its name or id.
    """

    sort: str
    name: str


class ChangeIntent(NamedTuple):
    """Makes a change of the intent."""

    operation: Operation


class Help(NamedTuple):
    """Asks for the list of commands."""


Statement = Show | Explain | ChangeIntent | Help


class Command(NamedTuple):
    """One statement with its options."""

    statement: Statement
    options: Options = Options()
