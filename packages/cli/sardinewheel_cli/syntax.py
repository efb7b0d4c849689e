"""Syntax errors of commands, with position and suggestion."""

import difflib

from sardinewheel_core.errors import CommandError, Finding

MAX_EXPECTED_SHOWN = 12


class CommandSyntaxError(CommandError):
    """A command's text does not follow the grammar.

    Attributes:
        text: The text of the command.
        position: Index in the text of the unexpected word.
        expected: Keywords or name types that are valid at the position.
        suggestion: Closest match among the expected words and the defined
            names, or empty.
    """

    def __init__(
        self,
        text: str,
        position: int,
        expected: tuple[str, ...],
        names: tuple[str, ...] = (),
    ):
        self.text = text
        self.position = min(max(position, 0), len(text))
        self.expected = expected
        word = word_at(text, self.position)
        self.suggestion = closest_match(word, (*expected, *names))
        value = repr(word) if word else "the end of the command"
        shown = ", ".join(expected[:MAX_EXPECTED_SHOWN])
        finding = Finding(
            f"column {self.column}", value, f"one of: {shown}" if shown else ""
        )
        super().__init__((finding,))

    @property
    def column(self) -> int:
        """Column within the line, starting at 1."""
        return self.position - self._line_start() + 1

    def render(self) -> str:
        """Returns the line with a caret under the error, and a suggestion."""
        lines = [mark_position(self.text, self.position), str(self)]
        if self.suggestion:
            lines.append(f"did you mean {self.suggestion!r}?")
        return "\n".join(lines)

    def _line_start(self) -> int:
        return self.text.rfind("\n", 0, self.position) + 1


def mark_position(text: str, position: int) -> str:
    """Returns the line that contains a position, with a caret under it.

    Examples:
        >>> print(mark_position("show regoins", 5))
        show regoins
             ^
    """
    start = text.rfind("\n", 0, position) + 1
    end = text.find("\n", position)
    line = text[start : end if end >= 0 else len(text)]
    return f"{line}\n{' ' * (position - start)}^"


def explain_finding(text: str, finding: Finding, names: tuple[str, ...]) -> str:
    """Formats a host's finding, with its position in the command's text.

    Args:
        text: Text of the command.
        finding: Finding of the host.
        names: Defined names, from which the closest match is suggested.
    """
    word = finding.value.strip("'\"")
    lines = [str(finding)]
    position = text.find(word) if word else -1
    if position >= 0:
        lines.insert(0, mark_position(text, position))
    suggestion = closest_match(word, names)
    if suggestion and suggestion != word:
        lines.append(f"did you mean {suggestion!r}?")
    return "\n".join(lines)


def word_at(text: str, position: int) -> str:
    """Returns the word that starts at a position, without a trailing comma.

    Examples:
        >>> word_at("show regoins now", 5)
        'regoins'
    """
    words = text[position:].split(maxsplit=1)
    return words[0].rstrip(",") if words else ""


def closest_match(word: str, choices: tuple[str, ...]) -> str:
    """Returns the choice most similar to a word, or an empty string.

    Examples:
        >>> closest_match("regoins", ("services", "regions"))
        'regions'
    """
    found = difflib.get_close_matches(word, choices, n=1)
    return found[0] if found else ""
