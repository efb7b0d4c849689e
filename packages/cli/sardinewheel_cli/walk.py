"""From a request's id to the cause of what its caller got, by logs alone."""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from sardinewheel_cli.log_lines import LogLine

BEFORE_S = 10.0
AFTER_S = 10.0
FRESH_LOAD_S = 1.0
FULL_LOAD = 1.0
MOST_OF = 0.5
SLOW_TARGET = 1.5
ENDS = frozenset(
    {
        "request-answered",
        "request-refused",
        "request-failed",
        "request-cancelled",
        "request-rejected",
    }
)
TARGET_EVENTS = frozenset(
    {
        "target-gone",
        "target-missing",
        "target-restarted",
        "target-draining",
        "target-failed",
        "target-silent",
        "target-joined",
    }
)
HOST_EVENTS = frozenset(
    {
        "process-started",
        "stop-ordered",
        "store-lost",
        "store-silent",
        "store-regained",
        "update-not-received",
        "configuration-applied",
        "evacuations-changed",
        "log-lines-omitted",
    }
)
OWN_REASONS = {
    "no-configuration": "the host knew no configuration yet",
    "stopping": "the host was about to end and began nothing new",
    "deadline": "too little time was left for an attempt",
    "no-target": "no target of the service was usable",
    "targets-down": "each target that was left had just failed or was cold",
    "no-route": "no route of the configuration in force allows it",
    "body-too-large": "its body is larger than the configuration allows",
    "unproved answer": "the target's answer had no proof of being whole",
}


class Walk(NamedTuple):
    """What the logs tell of one request.

    Attributes:
        request: Lines that name the request, by time.
        context: Lines around it on its targets and on its host, by time.
        others: Attempts of all other requests, by time.
    """

    request: list[LogLine]
    context: list[LogLine]
    others: list[LogLine]

    @classmethod
    def from_lines(cls, request_id: str, lines: Iterable[LogLine]) -> "Walk":
        """Returns what lines tell of a request.

        Args:
            request_id: Id of the request.
            lines: Lines of all hosts, in any order.
        """
        lines = sorted(lines, key=lambda line: line.time)
        own = [x for x in lines if x.fields.get("request") == request_id]
        if not own:
            return cls([], [], [])
        hosts = {line.host for line in own}
        targets = {line.fields.get("target", "") for line in own}
        first, last = own[0].time - BEFORE_S, own[-1].time + AFTER_S
        context = [
            line
            for line in lines
            if first <= line.time <= last
            and line not in own
            and _concerns(line, hosts, targets)
        ]
        others = [
            line
            for line in lines
            if line.event == "attempt-ended" and line not in own
        ]
        return cls(own, context, others)

    @property
    def attempts(self) -> list[LogLine]:
        """Lines of the attempts at targets."""
        return [x for x in self.request if x.event == "attempt-ended"]

    @property
    def end(self) -> LogLine | None:
        """Line of the final answer, if it was logged."""
        ends = [line for line in self.request if line.event in ENDS]
        return ends[-1] if ends else None

    def cause(self) -> str:
        """Returns why the caller got what it got, in a sentence or two."""
        end = self.end
        if not self.request:
            return "No line names this request: look for log-lines-omitted."
        if end is None:
            return "Its end was not logged: the host ended, or omitted lines."
        match end.event:
            case "request-refused":
                return self._refused(end)
            case "request-failed":
                return self._failed(end)
            case "request-cancelled":
                return f"The caller left after {end.number('took_s'):.3f} s."
            case "request-rejected":
                return f"It could not be read: {end.fields.get('reason')}."
        return self._answered(end)

    def _refused(self, end: LogLine) -> str:
        reason = end.fields.get("reason", "")
        match reason:
            case "target-refused":
                return f"Not run: {self._refusals()}"
            case "overload":
                load = end.number("load")
                return (
                    f"Not run: the targets of its object held {load:.2f} "
                    "times their slots."
                )
            case "retry-budget":
                return (
                    "Not run: the service's retries were used up, after "
                    f"{self._first_attempt()}"
                )
        return f"Not run: {OWN_REASONS.get(reason, reason)}."

    def _refusals(self) -> str:
        refused = [x for x in self.attempts if x.fields["outcome"] != "lost"]
        texts = []
        for line in refused:
            load, age_s = line.number("load"), line.number("load_age_s")
            text = (
                f"{line.fields.get('target')} refused it, believed to hold "
                f"{load:.2f} times its slots {age_s:.1f} s before"
            )
            if load < FULL_LOAD and age_s < FRESH_LOAD_S:
                text += " (it sheds below its slots)"
            texts.append(text)
        return "; ".join(texts) + "."

    def _failed(self, end: LogLine) -> str:
        status, reason = end.fields.get("status"), end.fields.get("reason", "")
        if status == "504":
            return self._timed_out()
        lost = [x for x in self.attempts if x.fields["outcome"] == "lost"]
        if status == "502" and lost:
            target = lost[-1].fields.get("target", "")
            return (
                f"Unknown: {target} had it and broke off ({reason}); "
                f"{self._fate(target, lost[-1].time)}."
            )
        return f"Own answer {status}: {OWN_REASONS.get(reason, reason)}."

    def _timed_out(self) -> str:
        if not self.attempts:
            return "Unknown: its time ran out before an attempt."
        line = self.attempts[-1]
        target = line.fields.get("target", "")
        silent = any(
            x.event == "target-silent" and x.fields.get("target") == target
            for x in (*self.request, *self.context)
        )
        had = f"Unknown: {target} had it for {line.number('took_s'):.3f} s"
        if not silent:
            return f"{had} and was slow; it answered others meanwhile."
        return f"{had} and answered nobody; {self._fate(target, line.time)}."

    def _fate(self, target: str, since: float) -> str:
        """Returns what became of a target after a time."""
        events = [
            line.event
            for line in self.context
            if line.fields.get("target") == target and line.time >= since
        ]
        if "target-gone" in events or "target-missing" in events:
            return "its record went after that, so it had died"
        if "target-restarted" in events:
            return "it started again after that, so it had died"
        return "its record stayed, so it lives, and the answer was lost"

    def _answered(self, end: LogLine) -> str:
        status = end.fields.get("status", "")
        target = end.fields.get("target", "")
        if not status.startswith("2"):
            return f"{target} ran it and answered {status} itself."
        if end.fields.get("late") != "True":
            return "It was answered in time."
        return f"Late: {self._why_late(end)}"

    def _why_late(self, end: LogLine) -> str:
        line = self.attempts[-1]
        took_s = end.number("took_s")
        target = line.fields.get("target", "")
        if line.number("waited_s") > MOST_OF * took_s or len(self.attempts) > 1:
            return (
                f"{line.number('waited_s'):.3f} of {took_s:.3f} s were gone "
                f"before its last attempt: {self._first_attempt()}"
            )
        if line.fields.get("cold") == "True":
            return f"{target} was cold."
        if line.number("load") > FULL_LOAD:
            load = line.number("load")
            return f"it queued at {target}, at {load:.2f} times its slots."
        if line.fields.get("choice") != "rank-0":
            return (
                f"{target} was not its object's first target "
                f"({line.fields.get('choice')}) and did not know the object."
            )
        return self._why_slow(line)

    def _why_slow(self, line: LogLine) -> str:
        target = line.fields.get("target", "")
        took = f"took {line.number('took_s'):.3f} s"
        there = [x for x in self.others if x.fields.get("target") == target]
        if _is_first_of_its_object(line, there):
            return (
                f"{target} {took} and did not know the object: no earlier "
                "line has the object there."
            )
        times = [x.number("took_s") for x in there]
        all_times = [x.number("took_s") for x in self.others]
        if times and median(times) > SLOW_TARGET * median(all_times):
            return (
                f"{target} {took} and is slow: {median(times):.3f} s is its "
                f"median, {median(all_times):.3f} s that of all targets."
            )
        return f"{target} {took}; its other answers were not slow."

    def _first_attempt(self) -> str:
        if not self.attempts:
            return "no attempt."
        line = self.attempts[0]
        detail = line.fields.get("detail", "")
        return (
            f"{line.fields.get('target')} {line.fields['outcome']} {detail} "
            f"after {line.number('took_s'):.3f} s."
        )


def _is_first_of_its_object(line: LogLine, there: list[LogLine]) -> bool:
    key = line.fields.get("object", "")
    return bool(key) and not any(
        x.time < line.time and x.fields.get("object") == key for x in there
    )


def _concerns(line: LogLine, hosts: set[str], targets: set[str]) -> bool:
    if line.event in TARGET_EVENTS:
        return line.fields.get("target") in targets
    return line.event in HOST_EVENTS and line.host in hosts
