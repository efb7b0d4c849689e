"""Runs parsed commands against the entry hosts."""

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
    """An operator's session with the entry hosts.

    Attributes:
        client: HTTP client of the entry hosts.
        author: Author recorded with each change.
        last_version: Version of the latest change accepted in this session,
            or 0.
        known_names: Names defined in the most recently fetched intent, used
            for suggestions.
    """

    def __init__(self, client: HostClient, *, author: str):
        self.client = client
        self.author = author
        self.last_version = 0
        self.known_names: tuple[str, ...] = ()

    def run(self, command: Command) -> Output:
        """Runs one command and returns its output.

        Raises:
            SardinewheelError: The command failed.
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
        """Submits one change that consists of one or more operations."""
        return changes.run(self, operations, options)

    def view(self) -> View:
        """Returns the view of the first host that answers.

        Also adds the addresses of all live hosts to the client.
        """
        view = from_plain(self.fetch("/v1/view"), View)
        self.client.add(tuple(h.http_address for h in view.hosts if h.alive))
        self.known_names = defined_names(view.intent)
        return view

    def views(self, view: View) -> tuple[list[View], tuple[str, ...]]:
        """Returns the views of all hosts, and the hosts that did not answer."""
        return self.fetch_each(view, "/v1/view", View)

    def headroom(self, view: View) -> list[HeadroomView]:
        """Returns the headroom reported by each host that answers."""
        return self.fetch_each(view, "/v1/headroom", HeadroomView)[0]

    def fetch(self, path: str, **parameters: str) -> Any:
        """Returns the response body of the first host that answers.

        Raises:
            AnswerRefusedError: The host returned an HTTP error status.
            UnreachableError: No host answered.
        """
        reply = self.client.get(path, **parameters)
        if reply.status >= FIRST_ERROR_STATUS:
            text = f"{reply.address} returned an HTTP error: {reply.media}"
            raise AnswerRefusedError(text, reply.media)
        return reply.media

    def fetch_each(
        self, view: View, path: str, answer_type: Any, **parameters: str
    ) -> tuple[list, tuple[str, ...]]:
        """Sends a query to every host of a view that has not left.

        Returns:
            The decoded answers, and the names of the hosts that did not
            return a valid one.
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
                answers.append(from_plain(reply.media, answer_type))
            except MessageError:
                silent.append(host.name)
        return answers, tuple(silent)


def defined_names(intent: Intent) -> tuple[str, ...]:
    """Returns the names defined by an intent, sorted."""
    names = {*intent.regions, *intent.seats, *intent.services, *intent.shifts}
    names |= {d for r in intent.regions.values() for d in r.domains}
    names |= {t for s in intent.services.values() for t in s.targets}
    return tuple(sorted(names))
