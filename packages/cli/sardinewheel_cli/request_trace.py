"""Finds the cause of a request's outcome from log lines."""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from sardinewheel_cli.log_lines import LogLine

CONTEXT_BEFORE_S = 10.0
CONTEXT_AFTER_S = 10.0
MAX_FRESH_LOAD_AGE_S = 1.0
FULL_LOAD = 1.0
MAJORITY_SHARE = 0.5
SLOW_TARGET_RATIO = 1.5
END_EVENTS = frozenset(
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
        "target-ended",
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
        "target-path-lost",
        "target-path-regained",
    }
)
CRASH_EVENTS = frozenset({"crash-suspected", "crash-refused", "crash-cleared"})
GATEWAY_REASONS = {
    "no-configuration": "the host had no configuration yet",
    "stopping": "the host was shutting down and started no new requests",
    "deadline": "too little time remained for an attempt",
    "no-target": "no target of the service was usable",
    "targets-down": "every remaining target had just failed or was cold",
    "targets-limited": "its targets accept a limited rate, which was used up",
    "targets-paused": "its targets had asked this host to wait",
    "deadline-unreachable": "no target would have responded in its time",
    "path-lost": "the host reached no target, and no other host took it",
    "crashes-targets": "requests like it have crashed several targets",
    "no-route": "no route of the configuration in force allows it",
    "body-too-large": "its body is larger than the configuration allows",
    "unproved answer": "the target's answer could not be proved complete",
}


class RequestTrace(NamedTuple):
    """Log lines related to one request.

    Attributes:
        request: Lines of the request, ordered by time.
        context: Lines about its targets and from its hosts, between
            ``CONTEXT_BEFORE_S`` before and ``CONTEXT_AFTER_S`` after the
            request, ordered by time.
        others: Attempts of all other requests, ordered by time.
    """

    request: list[LogLine]
    context: list[LogLine]
    others: list[LogLine]

    @classmethod
    def from_lines(
        cls, request_id: str, lines: Iterable[LogLine]
    ) -> "RequestTrace":
        """Selects the lines related to a request.

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
        digests = {line.fields.get("digest", "") for line in own} - {""}
        first, last = (
            own[0].time - CONTEXT_BEFORE_S,
            own[-1].time + CONTEXT_AFTER_S,
        )
        context = [
            line
            for line in lines
            if first <= line.time <= last
            and line not in own
            and (_is_relevant(line, hosts, targets) or _is_about(line, digests))
        ]
        others = [
            line
            for line in lines
            if line.event == "attempt-ended" and line not in own
        ]
        return cls(own, context, others)

    @property
    def attempts(self) -> list[LogLine]:
        """Lines of the attempts to send the request to targets."""
        return [x for x in self.request if x.event == "attempt-ended"]

    @property
    def end(self) -> LogLine | None:
        """Line of the final outcome, or ``None`` if it was not logged."""
        ends = [line for line in self.request if line.event in END_EVENTS]
        # The host that forwarded it has the final word for the caller.
        final = [line for line in ends if "origin" not in line.fields] or ends
        return final[-1] if final else None

    def cause(self) -> str:
        """Returns the cause of the outcome in one or two sentences."""
        return self._cause() + self._forwarded()

    def _forwarded(self) -> str:
        """Returns where the request was forwarded to, as further sentences."""
        return "".join(
            f" {line.host} forwarded it to {line.fields.get('peer')}: "
            f"{line.fields.get('outcome')} {line.fields.get('detail', '')} "
            f"after {line.number('took_s'):.3f} s."
            for line in self.request
            if line.event == "peer-attempt-ended"
        )

    def _cause(self) -> str:
        end = self.end
        if not self.request:
            return "No line names this request: check for log-lines-omitted."
        if end is None:
            return (
                "Its outcome was not logged: the host stopped or omitted lines."
            )
        match end.event:
            case "request-refused":
                return self._refused_cause(end)
            case "request-failed":
                return self._failed_cause(end)
            case "request-cancelled":
                return (
                    "The caller disconnected after "
                    f"{end.number('took_s'):.3f} s."
                )
            case "request-rejected":
                return f"The request was malformed: {end.fields.get('reason')}."
        return self._answered_cause(end)

    def _refused_cause(self, end: LogLine) -> str:
        reason = end.fields.get("reason", "")
        match reason:
            case "target-refused":
                return f"Not run: {self._target_refusals()}"
            case "overload":
                load = end.number("load")
                return (
                    "Not run: the load of its object's targets was "
                    f"{load:.2f} times their slots."
                )
            case "retry-budget":
                return (
                    "Not run: the service's retry budget was exhausted after "
                    f"{self._describe_first_attempt()}"
                )
        return f"Not run: {GATEWAY_REASONS.get(reason, reason)}."

    def _target_refusals(self) -> str:
        refused = [x for x in self.attempts if x.fields["outcome"] != "lost"]
        texts = []
        for line in refused:
            load, age_s = line.number("load"), line.number("load_age_s")
            text = (
                f"{line.fields.get('target')} refused it; its last known load "
                f"was {load:.2f} times its slots, {age_s:.1f} s earlier"
            )
            if load < FULL_LOAD and age_s < MAX_FRESH_LOAD_AGE_S:
                text += " (it sheds load below its slots)"
            texts.append(text)
        return "; ".join(texts) + "."

    def _failed_cause(self, end: LogLine) -> str:
        status, reason = end.fields.get("status"), end.fields.get("reason", "")
        if status == "504":
            return self._timeout_cause()
        lost = [x for x in self.attempts if x.fields["outcome"] == "lost"]
        if status == "502" and lost:
            target = lost[-1].fields.get("target", "")
            return (
                f"Unknown: {target} received it and closed the connection "
                f"({reason}); "
                f"{self._target_state_since(target, lost[-1].time)}."
            )
        return (
            f"Gateway response {status}: {GATEWAY_REASONS.get(reason, reason)}."
        )

    def _timeout_cause(self) -> str:
        if not self.attempts:
            return "Unknown: its deadline passed before the first attempt."
        line = self.attempts[-1]
        target = line.fields.get("target", "")
        silent = any(
            x.event == "target-silent" and x.fields.get("target") == target
            for x in (*self.request, *self.context)
        )
        text = f"Unknown: {target} held it for {line.number('took_s'):.3f} s"
        if not silent:
            return f"{text} and was slow; it answered other requests meanwhile."
        return (
            f"{text} and answered no requests; "
            f"{self._target_state_since(target, line.time)}."
        )

    def _target_state_since(self, target: str, since: float) -> str:
        """Returns whether a target crashed or stayed up after a time."""
        events = [
            line.event
            for line in self.context
            if line.fields.get("target") == target and line.time >= since
        ]
        if "target-gone" in events or "target-missing" in events:
            return "its record was removed afterwards, so it crashed"
        if "target-restarted" in events:
            return "it restarted afterwards, so it crashed"
        return "its record remained, so it is up and its answer was lost"

    def _answered_cause(self, end: LogLine) -> str:
        status = end.fields.get("status", "")
        target = end.fields.get("target", "")
        if not status.startswith("2"):
            return f"{target} ran it and returned status {status}."
        if end.fields.get("late") != "True":
            return "The request was answered in time."
        return f"Late: {self._late_cause(end)}"

    def _late_cause(self, end: LogLine) -> str:
        if not self.attempts:
            return "no given log has its attempts."
        line = self.attempts[-1]
        took_s = end.number("took_s")
        target = line.fields.get("target", "")
        if (
            line.number("waited_s") > MAJORITY_SHARE * took_s
            or len(self.attempts) > 1
        ):
            return (
                f"{line.number('waited_s'):.3f} of {took_s:.3f} s passed "
                f"before its last attempt: {self._describe_first_attempt()}"
            )
        if line.fields.get("cold") == "True":
            return f"{target} was cold."
        if line.number("load") > FULL_LOAD:
            load = line.number("load")
            return (
                f"it queued at {target}, whose load was {load:.2f} times its "
                "slots."
            )
        is_first = line.fields.get("choice") == "rank-0"
        if not is_first and line.fields.get("known") != "True":
            return (
                f"{target} was not its object's first-ranked target "
                f"({line.fields.get('choice')}) and did not have the object."
            )
        return self._slow_cause(line)

    def _slow_cause(self, line: LogLine) -> str:
        target = line.fields.get("target", "")
        took = f"took {line.number('took_s'):.3f} s"
        on_target = [x for x in self.others if x.fields.get("target") == target]
        if _is_first_for_object(line, on_target):
            return (
                f"{target} {took} and did not have the object: no earlier "
                "line shows the object on this target."
            )
        times = [x.number("took_s") for x in on_target]
        all_times = [x.number("took_s") for x in self.others]
        if times and median(times) > SLOW_TARGET_RATIO * median(all_times):
            return (
                f"{target} {took} and is slow: its median is "
                f"{median(times):.3f} s, that of all targets "
                f"{median(all_times):.3f} s."
            )
        return f"{target} {took}; its other responses were not slow."

    def _describe_first_attempt(self) -> str:
        if not self.attempts:
            return "no attempt."
        line = self.attempts[0]
        detail = line.fields.get("detail", "")
        return (
            f"{line.fields.get('target')} {line.fields['outcome']} {detail} "
            f"after {line.number('took_s'):.3f} s."
        )


def _is_first_for_object(line: LogLine, on_target: list[LogLine]) -> bool:
    key = line.fields.get("object", "")
    return bool(key) and not any(
        x.time < line.time and x.fields.get("object") == key for x in on_target
    )


def _is_about(line: LogLine, digests: set[str]) -> bool:
    """Returns whether a line tells of the crashes under certain requests."""
    return line.event in CRASH_EVENTS and line.fields.get("digest") in digests


def _is_relevant(line: LogLine, hosts: set[str], targets: set[str]) -> bool:
    if line.event in TARGET_EVENTS:
        return line.fields.get("target") in targets
    return line.event in HOST_EVENTS and line.host in hosts
