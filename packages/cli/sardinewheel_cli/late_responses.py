"""Finds where late responses of a fleet lose their time, from its log lines.

Each late response has one cause, the first that applies: earlier attempts, an
object that its target did not know, a queue at its target, or none of these. So
the causes of a route add up to its late responses.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from sardinewheel_cli.log_lines import LogLine
from sardinewheel_cli.tables import Grid

DEFAULT_WINDOW_S = 5.0
# Requests at a target by slots from which a new one waits for a slot.
FULL_LOAD = 1.0
LOAD_BANDS = (0.0, 0.5, 1.0, 1.5, 2.0, 3.0)
FIRST_CHOICE = "rank-0"


class Cause(StrEnum):
    """Why a response was late."""

    ATTEMPTS = "earlier attempts"
    NEW_OBJECT = "new object"
    QUEUE = "queue"
    OTHER = "other"


class Answer(NamedTuple):
    """A response of a target to a caller.

    Attributes:
        line: Line of the response.
        attempts: Lines of its attempts, ordered by time.
    """

    line: LogLine
    attempts: list[LogLine]

    @property
    def route(self) -> str:
        """Name of its route."""
        return self.line.fields.get("route", "")

    @property
    def is_late(self) -> bool:
        """Whether it came after the latency objective of its route."""
        return self.line.fields.get("late") == "True"

    @property
    def cause(self) -> Cause:
        """Why it was late, if it was."""
        if len(self.attempts) > 1:
            return Cause.ATTEMPTS
        if not self.attempts:
            return Cause.OTHER
        attempt = self.attempts[0]
        if attempt.fields.get("known") == "False":
            return Cause.NEW_OBJECT
        if attempt.number("load") >= FULL_LOAD:
            return Cause.QUEUE
        return Cause.OTHER


class LateResponses(NamedTuple):
    """The responses, attempts and refusals in the logs of a fleet.

    Attributes:
        answers: Responses of targets, ordered by time.
        attempts: All attempts that targets answered, ordered by time.
        refusals: Lines of refused requests, ordered by time.
        failures: Lines of requests that failed, ordered by time.
    """

    answers: list[Answer]
    attempts: list[LogLine]
    refusals: list[LogLine]
    failures: list[LogLine]

    @classmethod
    def from_lines(cls, lines: Iterable[LogLine]) -> "LateResponses":
        """Selects what counts from the lines of all hosts, in any order."""
        events: dict[str, list[LogLine]] = defaultdict(list)
        for line in sorted(lines, key=lambda line: line.time):
            events[line.event].append(line)
        attempts: dict[str, list[LogLine]] = defaultdict(list)
        for line in events["attempt-ended"]:
            attempts[line.fields.get("request", "")].append(line)
        answers = [
            Answer(line, attempts[line.fields.get("request", "")])
            for line in events["request-answered"]
        ]
        answered = [
            line
            for line in events["attempt-ended"]
            if line.fields.get("outcome") == "answered"
        ]
        return cls(
            answers,
            answered,
            events["request-refused"],
            events["request-failed"],
        )

    def grids(self, window_s: float = DEFAULT_WINDOW_S) -> tuple[Grid, ...]:
        """Returns the tables to print."""
        return (
            self.by_window(window_s),
            self.by_route(),
            self.by_load(),
            self.by_target(),
            self.by_refusal(),
        )

    def by_window(self, window_s: float) -> Grid:
        """Returns what became of requests, by window of time."""
        ends = [x.line for x in self.answers] + self.refusals + self.failures
        lines = self.attempts + ends
        begin = min((line.time for line in lines), default=0.0)

        def count(found: Iterable[LogLine]) -> Counter[int]:
            return Counter(int((x.time - begin) // window_s) for x in found)

        answered = count(x.line for x in self.answers)
        late = count(x.line for x in self.answers if x.is_late)
        refused, failed = count(self.refusals), count(self.failures)
        attempts = count(self.attempts)
        second = count(
            x for x in self.attempts if x.fields.get("choice") != FIRST_CHOICE
        )
        windows = sorted({*answered, *refused, *failed})
        columns = ("from s", "answered", "late", "refused", "failed", "second")
        rows = tuple(
            (
                n * window_s,
                answered[n],
                late[n],
                refused[n],
                failed[n],
                f"{second[n] / max(1, attempts[n]):.2f}",
            )
            for n in windows
        )
        return Grid("Requests by time", columns, rows)

    def by_route(self) -> Grid:
        """Returns the causes of late responses, by route."""
        answered = Counter(answer.route for answer in self.answers)
        causes: dict[str, Counter[Cause]] = defaultdict(Counter)
        for answer in self.answers:
            if answer.is_late:
                causes[answer.route][answer.cause] += 1
        columns = ("route", "answered", "late", *(str(x) for x in Cause))
        rows = tuple(
            (
                route,
                answered[route],
                causes[route].total(),
                *(causes[route][cause] for cause in Cause),
            )
            for route in sorted(answered)
        )
        return Grid("Late responses by route and cause", columns, rows)

    def by_load(self) -> Grid:
        """Returns the time that attempts took, by the load believed before."""
        bands: dict[float, list[LogLine]] = defaultdict(list)
        for line in self.attempts:
            load = line.number("load")
            bands[max(x for x in LOAD_BANDS if x <= max(0.0, load))].append(
                line
            )
        columns = ("load from", "attempts", "p50 ms", "p90 ms", "age p50 ms")
        rows = tuple(
            (
                band,
                len(lines),
                _quantile_ms(lines, "took_s", 0.5),
                _quantile_ms(lines, "took_s", 0.9),
                _quantile_ms(lines, "load_age_s", 0.5),
            )
            for band, lines in sorted(bands.items())
        )
        return Grid("Attempts by believed load", columns, rows)

    def by_target(self) -> Grid:
        """Returns requests and work of the targets, the busiest first."""
        lines: dict[str, list[LogLine]] = defaultdict(list)
        for line in self.attempts:
            lines[line.fields.get("target", "")].append(line)
        rows = tuple(
            (
                target,
                len(found),
                sum(line.number("took_s") for line in found),
                _quantile_ms(found, "took_s", 0.5),
            )
            for target, found in sorted(
                lines.items(), key=lambda item: (-len(item[1]), item[0])
            )
        )
        columns = ("target", "attempts", "time s", "p50 ms")
        return Grid("Attempts by target", columns, rows)

    def by_refusal(self) -> Grid:
        """Returns the refused attempts, by reason.

        A caller's next attempt has an id of its own, so what became of the
        caller is not in the logs.
        """
        reasons = Counter(x.fields.get("reason", "") for x in self.refusals)
        return Grid(
            "Refusals by reason",
            ("reason", "refused"),
            tuple(sorted(reasons.items())),
        )


def _quantile_ms(lines: list[LogLine], name: str, part: float) -> int:
    """Returns a quantile of a field in seconds, in milliseconds."""
    values = sorted(line.number(name) for line in lines)
    return round(1000 * values[min(len(values) - 1, int(part * len(values)))])
