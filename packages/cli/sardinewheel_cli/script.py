"""Splits a script into commands.

A line continues the previous command if it starts with whitespace or if the
line before it ends with a backslash. ``#`` starts a comment.
"""

from typing import NamedTuple


class ScriptCommand(NamedTuple):
    """One command of a script.

    Attributes:
        line: Number of its first line, starting at 1.
        text: Text of the command, including line breaks.
    """

    line: int
    text: str


def split(text: str) -> list[ScriptCommand]:
    r"""Returns the commands of a script.

    Examples:
        >>> [c.text for c in split("show regions # all\n\nset cap a \\\n40")]
        ['show regions # all', 'set cap a \n40']
    """
    commands: list[ScriptCommand] = []
    continues = False
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.rstrip()
        if not line or line.lstrip().startswith("#"):
            continue
        is_continued = line.endswith("\\")
        line = line.removesuffix("\\")
        if commands and (continues or line[:1].isspace()):
            first = commands[-1]
            joined = f"{first.text}\n{line}"
            commands[-1] = first._replace(text=joined)
        else:
            commands.append(ScriptCommand(number, line))
        continues = is_continued
    return commands
