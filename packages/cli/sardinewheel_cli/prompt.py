"""Interactive prompt with history and completion."""

from collections.abc import Iterable, Iterator
from pathlib import Path

from lark.exceptions import UnexpectedInput
from prompt_toolkit import PromptSession
from prompt_toolkit.completion import CompleteEvent, Completer, Completion
from prompt_toolkit.document import Document
from prompt_toolkit.history import FileHistory, History, InMemoryHistory
from sardinewheel_core.errors import SardinewheelError
from sardinewheel_core.intent import Intent
from sardinewheel_core.preview import Promise

from sardinewheel_cli import runner
from sardinewheel_cli.commands import Options
from sardinewheel_cli.errors import ExitStatus
from sardinewheel_cli.parser import describe_terminal, grammar
from sardinewheel_cli.session import Session

PROMPT = "sardinewheel> "
HISTORY_FILE = Path("~/.sardinewheel_history")
EXIT_WORDS = frozenset({"exit", "quit"})


class CommandCompleter(Completer):
    """Completes keywords and the names of an intent.

    Attributes:
        intent: Intent whose names are suggested.
    """

    def __init__(self, intent: Intent):
        self.intent = intent

    def get_completions(
        self, document: Document, complete_event: CompleteEvent
    ) -> Iterator[Completion]:
        """Yields the completions of the word at the cursor."""
        before = document.text_before_cursor
        word = document.get_word_before_cursor(WORD=True)
        text = before[: len(before) - len(word)]
        for choice in choices(text, self.intent):
            if choice.startswith(word):
                yield Completion(choice, start_position=-len(word))


def choices(text: str, intent: Intent) -> list[str]:
    """Returns the words that can follow a text, sorted.

    Examples:
        >>> choices("show latency ", Intent.empty())[-1]
        'service'
    """
    parser = grammar().parse_interactive(text)
    try:
        parser.exhaust_lexer()
    except UnexpectedInput:
        return []
    found: set[str] = set()
    for terminal in parser.accepts():
        names = names_for_terminal(intent, terminal)
        word = describe_terminal(terminal)
        if names:
            found.update(names)
        elif not word.startswith("<") and " " not in word:
            found.add(word)
    return sorted(found)


def names_for_terminal(intent: Intent, terminal: str) -> Iterable[str]:
    """Returns the names of an intent that match a grammar terminal."""
    match terminal:
        case "SERVICE":
            return intent.services
        case "REGION":
            return intent.regions
        case "HOST":
            return intent.seats
        case "SHIFT":
            return intent.shifts
        case "DOMAIN":
            return (d for r in intent.regions.values() for d in r.domains)
        case "TARGET":
            return (t for s in intent.services.values() for t in s.targets)
        case "STRAIN":
            return (str(promise) for promise in Promise)
    return ()


def run(session: Session, options: Options) -> ExitStatus:
    """Prompts for commands until the operator exits."""
    prompt_session = PromptSession(history=_history())
    while True:
        completer = CommandCompleter(_intent(session))
        try:
            text = prompt_session.prompt(PROMPT, completer=completer)
        except KeyboardInterrupt:
            continue
        except EOFError:
            return ExitStatus.OK
        if text.strip() in EXIT_WORDS:
            return ExitStatus.OK
        if text.strip():
            runner.run_command(session, text, options)


def _intent(session: Session) -> Intent:
    try:
        return session.view().intent
    except SardinewheelError:
        return Intent.empty()


def _history() -> History:
    path = HISTORY_FILE.expanduser()
    try:
        path.touch(mode=0o600)
    except OSError:
        return InMemoryHistory()
    return FileHistory(str(path))
