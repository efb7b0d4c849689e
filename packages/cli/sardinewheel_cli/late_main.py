"""``sardinewheel-late``: where late responses of a fleet lose their time."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from sardinewheel_cli.errors import ExitStatus
from sardinewheel_cli.late_responses import DEFAULT_WINDOW_S, LateResponses
from sardinewheel_cli.log_lines import LogLine, read
from sardinewheel_cli.tables import Output, render


@cappa.command(name="sardinewheel-late")
@dataclass
class Late:
    """Prints where late responses lose their time, from gateways' logs.

    Pass the logs of all hosts. The causes of a route add up to its late
    responses. Lines that hosts omitted are missing in the counts.

        sardinewheel-late logs/*.log --window 10
    """

    logs: Annotated[
        list[Path], cappa.Arg(num_args=-1, help="files with log lines")
    ] = field(default_factory=list)
    window: Annotated[
        float, cappa.Arg(long=True, help="length of a row by time, in seconds")
    ] = DEFAULT_WINDOW_S

    def __call__(self) -> None:
        """Prints the tables.

        Raises:
            cappa.Exit: No log is given, the window is not positive, or no line
                tells of a request.
        """
        if not self.logs:
            raise cappa.Exit("name at least one log", code=ExitStatus.USAGE)
        if self.window <= 0.0:
            raise cappa.Exit(
                f"--window is {self.window:g}, expected more than 0",
                code=ExitStatus.USAGE,
            )
        found = LateResponses.from_lines(self._lines())
        if not (found.answers or found.refusals or found.failures):
            raise cappa.Exit(
                "no line tells of a request", code=ExitStatus.UNKNOWN
            )
        print(render(Output(None, found.grids(self.window))))

    def _lines(self) -> Iterator[LogLine]:
        for path in self.logs:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from read(file)


def main() -> None:
    """Entry point of the ``sardinewheel-late`` command."""
    cappa.invoke(Late)
