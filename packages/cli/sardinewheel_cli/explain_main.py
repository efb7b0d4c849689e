"""``sardinewheel-explain``: explains the outcome of a request from logs."""

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from sardinewheel_cli.errors import ExitStatus
from sardinewheel_cli.log_lines import LogLine, read
from sardinewheel_cli.request_trace import RequestTrace


@cappa.command(name="sardinewheel-explain")
@dataclass
class Explain:
    """Finds a request in gateway logs and prints the cause of its outcome.

    Pass the logs of all hosts; without a file, standard input is read.
    """

    request: Annotated[str, cappa.Arg(help="id of the request's attempt")]
    logs: Annotated[
        list[Path], cappa.Arg(num_args=-1, help="files with log lines")
    ] = field(default_factory=list)

    def __call__(self) -> None:
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
