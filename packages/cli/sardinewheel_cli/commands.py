"""Parsed commands of the operators' language."""

from typing import NamedTuple

from sardinewheel_core.change import Operation


class Options(NamedTuple):
    """Options of a command.

    Attributes:
        dry_run: Show the effect of a change without applying it.
        wait: Wait until a change is in force on every live host.
        redo: After a conflict, submit the change again on top of the winning
            one.
        json: Print JSON.
        force: Names of the promises that the change may strain.
        base_version: Version that the change is based on, or 0 for the
            latest.
    """

    dry_run: bool = False
    wait: bool = False
    redo: bool = False
    json: bool = False
    force: tuple[str, ...] = ()
    base_version: int = 0

    def merged(self, other: "Options") -> "Options":
        """Returns the union of two sets of options; this one has precedence."""
        return Options(
            self.dry_run or other.dry_run,
            self.wait or other.wait,
            self.redo or other.redo,
            self.json or other.json,
            self.force + other.force,
            self.base_version or other.base_version,
        )


class Show(NamedTuple):
    """A ``show`` query.

    Attributes:
        view: Name of the view, such as ``regions`` or ``service``.
        name: Name of the resource to show, or empty for all.
        by: Column by which rows are aggregated, or empty for no aggregation.
    """

    view: str
    name: str = ""
    by: str = ""


class Explain(NamedTuple):
    """An ``explain`` query for the decisions about a resource.

    Attributes:
        resource_type: Type of the resource, such as ``request``.
        name: Name or id of the resource.
    """

    resource_type: str
    name: str


class ChangeIntent(NamedTuple):
    """A command that applies an operation to the intent."""

    operation: Operation


class Help(NamedTuple):
    """The ``help`` command, which lists the commands."""


Statement = Show | Explain | ChangeIntent | Help


class Command(NamedTuple):
    """One statement with its options."""

    statement: Statement
    options: Options = Options()
