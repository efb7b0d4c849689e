"""Runs typed commands against the entry hosts."""

from typing import Any

from sardinewheel_core.change import Operation
from sardinewheel_core.codec import from_plain
from sardinewheel_core.errors import MessageError
from sardinewheel_core.intent import Intent
from sardinewheel_core.messages import Phase
from sardinewheel_core.views import HeadroomView, View

from sardinewheel_cli import changes, explanations, queries
from sardinewheel_cli.client import HostClient
from sardinewheel_cli.commands import (
    ChangeIntent,
    Command,
    Explain,
    Help,
    Options,
    Show,
)
from sardinewheel_cli.errors import AnswerRefusedError
from sardinewheel_cli.help import help_output
from sardinewheel_cli.tables import Output

FIRST_ERROR_STATUS = 400


class Session:
    """An operator's work with the entry hosts.

    Attributes:
        client: Client of the entry hosts.
        author: Name under which changes are made.
        last_version: Version of the latest change made here, or 0.
        names: Names in force, as last seen.
    """

    def __init__(self, client: HostClient, *, author: str):
        self.client = client
        self.author = author
        self.last_version = 0
        self.names: tuple[str, ...] = ()

    def run(self, command: Command) -> Output:
        """Runs one command and returns its answer.

        Raises:
            SardinewheelError: The command could not be carried out.
        """
        match command.statement:
            case ChangeIntent(operation):
                return self.change((operation,), command.options)
            case Show() as show:
                return queries.show(self, show)
            case Explain() as explain:
                return explanations.explain(self, explain)
            case Help():
                return help_output()
        raise TypeError(f"unknown statement {command.statement!r}")

    def change(
        self, operations: tuple[Operation, ...], options: Options
    ) -> Output:
        """Makes one change of one or more operations."""
        return changes.run(self, operations, options)

    def view(self) -> View:
        """Returns what is in force on the first host that answers."""
        view = from_plain(self.fetch("/v1/view"), View)
        self.client.add(tuple(h.http_address for h in view.hosts if h.alive))
        self.names = names_of(view.intent)
        return view

    def views(self, view: View) -> tuple[list[View], tuple[str, ...]]:
        """Returns the view of each host, and who did not answer."""
        return self.ask_each(view, "/v1/view", View)

    def headroom(self, view: View) -> list[HeadroomView]:
        """Returns the room that each host that answers sees."""
        return self.ask_each(view, "/v1/headroom", HeadroomView)[0]

    def fetch(self, path: str, **parameters: str) -> Any:
        """Returns the answer of the first host that answers.

        Raises:
            AnswerRefusedError: The host refused to answer.
            UnreachableError: No host answered.
        """
        reply = self.client.get(path, **parameters)
        if reply.status >= FIRST_ERROR_STATUS:
            text = f"{reply.address} refused to answer: {reply.media}"
            raise AnswerRefusedError(text, reply.media)
        return reply.media

    def ask_each(
        self, view: View, path: str, kind: Any, **parameters: str
    ) -> tuple[list, tuple[str, ...]]:
        """Asks every host of a view.

        Returns:
            The typed answers, and the names of the hosts without one.
        """
        hosts = [h for h in view.hosts if h.phase != Phase.GONE]
        addresses = tuple(host.http_address for host in hosts)
        replies = self.client.get_each(addresses, path, **parameters)
        answers, silent = [], []
        for host, reply in zip(hosts, replies, strict=True):
            if not reply.answered or reply.status >= FIRST_ERROR_STATUS:
                silent.append(host.name)
                continue
            try:
                answers.append(from_plain(reply.media, kind))
            except MessageError:
                silent.append(host.name)
        return answers, tuple(silent)


def names_of(intent: Intent) -> tuple[str, ...]:
    """Returns the names that an intent defines."""
    names = {*intent.regions, *intent.seats, *intent.services, *intent.shifts}
    names |= {d for r in intent.regions.values() for d in r.domains}
    names |= {t for s in intent.services.values() for t in s.targets}
    return tuple(sorted(names))
