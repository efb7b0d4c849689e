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
    """A command failed; carries what ``--json`` prints.

    Attributes:
        status: Exit status.
        media: The failure as plain values.
    """

    status = ExitStatus.REFUSED

    def __init__(self, text: str, media: Any = None):
        super().__init__(text)
        self.media = media


class UnreachableError(OperatorError):
    """No entry host answered."""

    status = ExitStatus.UNREACHABLE


class AnswerRefusedError(OperatorError):
    """An entry host refused to answer a query."""


class NotReachedError(OperatorError):
    """A change was accepted, and its effect was not reached in time."""


class ChangeError(OperatorError):
    """A change did not come into force.

    Attributes:
        reply: How it ended.
    """

    def __init__(self, reply: ChangeReply):
        super().__init__(self.explain(reply), to_plain(reply))
        self.reply = reply

    def explain(self, reply: ChangeReply) -> str:
        """Returns why, for people."""
        lines = ["rejected:"]
        lines += [f"  {finding}" for finding in reply.findings]
        return "\n".join(lines)


class RefusedError(ChangeError):
    """An entry host rejected a change."""


class StrainedError(ChangeError):
    """A change would strain promises that were not forced."""

    def explain(self, reply: ChangeReply) -> str:
        """Returns which promises, and how to force them."""
        lines = ["refused, because it would strain:"]
        lines += [f"  {strain}" for strain in reply.strains]
        names = dict.fromkeys(str(s.promise) for s in reply.strains)
        force = " ".join(f"--force {name}" for name in names)
        lines.append(f"to make it nevertheless: {force}")
        return "\n".join(lines)


class ConflictError(ChangeError):
    """Another operator's change came first."""

    def explain(self, reply: ChangeReply) -> str:
        """Returns the winning change and how to go on."""
        winner = reply.winner
        if winner is None:
            return "conflict: another change came first; look and try again"
        author = winner.author or "unknown"
        lines = [f"conflict: version {winner.version} by {author} came first:"]
        lines += [f"  {format_operation(o)}" for o in winner.operations]
        lines += [f"  {finding}" for finding in reply.findings]
        lines.append("to make yours on top of it: --redo")
        return "\n".join(lines)


class OutcomeUnknownError(ChangeError):
    """A change was sent, and nobody can say whether it was accepted."""

    status = ExitStatus.UNKNOWN

    def explain(self, reply: ChangeReply) -> str:
        """Returns how to find out later."""
        return (
            "unknown: the platform did not answer in time; the change may"
            " still come into force once.\n"
            f"to find out: show change {reply.change_id}"
        )
