"""Errors of the command line, each with its exit status."""

from enum import IntEnum
from typing import Any

from sardinewheel_core.codec import to_plain
from sardinewheel_core.errors import SardinewheelError
from sardinewheel_core.operator_messages import ChangeReply

from sardinewheel_cli.formatter import format_operation


class ExitStatus(IntEnum):
    """Exit statuses of ``sardinewheel``."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


class OperatorError(SardinewheelError):
    """Base class of errors that end a command.

    The name of the class is the value of ``error`` in the JSON output.

    Attributes:
        status: Exit status.
        media: Details of the error as JSON-compatible values, for ``--json``.
    """

    status = ExitStatus.REFUSED

    def __init__(self, text: str, media: Any = None):
        super().__init__(text)
        self.media = media


class UnreachableError(OperatorError):
    """No entry host answered."""

    status = ExitStatus.UNREACHABLE


class AnswerRefusedError(OperatorError):
    """An entry host rejected a query, or a named resource does not exist."""


class NotReachedError(OperatorError):
    """A change was accepted but did not take full effect in time."""


class ChangeError(OperatorError):
    """A change did not come into force.

    Attributes:
        reply: Reply of the entry host.
    """

    def __init__(self, reply: ChangeReply):
        super().__init__(self.explain(reply), to_plain(reply))
        self.reply = reply

    def explain(self, reply: ChangeReply) -> str:
        """Returns the human-readable error message."""
        lines = ["rejected:"]
        lines += [f"  {finding}" for finding in reply.findings]
        return "\n".join(lines)


class RefusedError(ChangeError):
    """An entry host rejected a change."""


class StrainedError(ChangeError):
    """A change would strain promises that the operator did not force."""

    def explain(self, reply: ChangeReply) -> str:
        """Returns the strained promises and the options that force them."""
        lines = ["refused, because the change would strain:"]
        lines += [f"  {strain}" for strain in reply.strains]
        names = dict.fromkeys(str(s.promise) for s in reply.strains)
        force = " ".join(f"--force {name}" for name in names)
        lines.append(f"to apply it anyway: {force}")
        return "\n".join(lines)


class ConflictError(ChangeError):
    """Another change was accepted since the base version."""

    def explain(self, reply: ChangeReply) -> str:
        """Returns the winning change and how to submit this one again."""
        winner = reply.winner
        if winner is None:
            return (
                "conflict: another change came first; review it and try again"
            )
        author = winner.author or "unknown"
        lines = [f"conflict: version {winner.version} by {author} came first:"]
        lines += [f"  {format_operation(o)}" for o in winner.operations]
        lines += [f"  {finding}" for finding in reply.findings]
        lines.append("to apply your change on top of it: --redo")
        return "\n".join(lines)


class OutcomeUnknownError(ChangeError):
    """A change was sent, but it is unknown whether it was accepted."""

    status = ExitStatus.UNKNOWN

    def explain(self, reply: ChangeReply) -> str:
        """Returns the command that queries the outcome later."""
        return (
            "unknown: the platform did not answer in time; the change may"
            " still come into force, at most once.\n"
            f"to query its outcome: show change {reply.change_id}"
        )
