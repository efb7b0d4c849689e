"""``sardinewheel-explain``: why a request ended so, or where it would go."""

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from json import dumps
from pathlib import Path
from typing import Annotated

import cappa

from sardinewheel_cli import explain_now
from sardinewheel_cli.errors import ExitStatus
from sardinewheel_cli.log_lines import LogLine, read
from sardinewheel_cli.request_trace import RequestTrace


@cappa.command(name="sardinewheel-explain")
@dataclass
class Explain:
    r"""Finds a request in gateway logs and prints the cause of its outcome.

    Pass the logs of all hosts; without a file, standard input is read. With
    ``--now``, asks a running gateway where a request would go at this moment,
    and why; nothing is sent to a target. Name an account, never a key.

        sardinewheel-explain 3e62ea68f9592940 logs/*.log
        sardinewheel-explain --now 127.0.0.1:8146 --host shop.example \
            --path /orders/17 --object 17 --account cafe
    """

    request: Annotated[
        str, cappa.Arg(help="id of the request's attempt; not with --now")
    ] = ""
    logs: Annotated[
        list[Path], cappa.Arg(num_args=-1, help="files with log lines")
    ] = field(default_factory=list)
    now: Annotated[
        str, cappa.Arg(long=True, help="control address of a gateway to ask")
    ] = ""
    method: Annotated[str, cappa.Arg(long=True, help="its method")] = "GET"
    host: Annotated[str, cappa.Arg(long=True, help="its Host header")] = ""
    path: Annotated[str, cappa.Arg(long=True, help="its path")] = "/"
    object_key: Annotated[
        str, cappa.Arg(long="--object", help="key of its object, if any")
    ] = ""
    account: Annotated[
        str, cappa.Arg(long=True, help="name of the caller's account, if any")
    ] = ""
    domain: Annotated[
        str, cappa.Arg(long=True, help="the caller's failure domain, if known")
    ] = ""
    json: Annotated[
        bool, cappa.Arg(long=True, help="print the answer of --now as JSON")
    ] = False

    def __call__(self) -> None:
        """Prints what is known of the request.

        Raises:
            cappa.Exit: There is no answer, or no line of the request.
        """
        if self.now:
            self._explain_now()
        elif self.request:
            self._explain_logged()
        else:
            raise cappa.Exit(
                "name the id of a request, or a gateway with --now",
                code=ExitStatus.USAGE,
            )

    def _explain_now(self) -> None:
        names = ("method", "host", "path", "object_key", "account", "domain")
        question = {name: getattr(self, name) for name in names}
        answer = explain_now.ask(self.now, question)
        print(dumps(answer) if self.json else explain_now.as_text(answer))

    def _explain_logged(self) -> None:
        """Prints the related lines, ordered by time, and the cause."""
        trace = RequestTrace.from_lines(self.request, self._lines())
        lines = (*trace.request, *trace.context)
        for line in sorted(lines, key=lambda line: line.time):
            print(_format_line(line, is_own=line in trace.request))
        print(trace.cause())
        if not trace.request:
            raise cappa.Exit(code=ExitStatus.UNKNOWN)

    def _lines(self) -> Iterator[LogLine]:
        if not self.logs:
            yield from read(sys.stdin)
        for path in self.logs:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from read(file)


def _format_line(line: LogLine, *, is_own: bool) -> str:
    mark = "*" if is_own else " "
    pairs = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{mark} {line.time:.3f} {line.host} {line.event} {pairs}"


def main() -> None:
    """Entry point of the ``sardinewheel-explain`` command."""
    cappa.invoke(Explain)
