"""The promises, judged by what callers and targets saw."""

import time
from typing import NamedTuple

import gevent

from tests.platform.gateway_process import GatewayProcess
from tests.platform.soak.operators import TIMEOUT_S
from tests.platform.stand_ins import body_of

LATE_S = 2.0
DRAIN_S = 2.5
EVACUATION_S = 5.0
CALM_S = 4.0
MIN_SERVED_AFTER = 0.9
AFTER_REQUESTS = 200
WATCH_S = 0.05
STALL_S = 0.5
OK = 200
NOT_RUN = frozenset({408, 421, 429, 503})
NEVER_OWN = frozenset({400, 404, 500})


class Call(NamedTuple):
    """One request of a caller.

    Attributes:
        request_id: Its id.
        gateway: The gateway that it was sent to.
        began: When it was sent, on the steady clock.
        is_after_faults: Whether all faults were over then.
    """

    request_id: str
    gateway: GatewayProcess
    began: float
    is_after_faults: bool


class Promises:
    """Collects what was seen, and what broke a promise.

    Attributes:
        findings: Broken promises.
        executed: How often each request id was executed, over all targets.
        asked: Requests that callers sent.
        served: Answers with success.
        late: Call, end and text of each late answer.
        stalls: Spans in which this process, and so all stand-ins, stood
            still.
        store_harmed: Spans in which the store or the way to it was harmed;
            the last one has no end while it lasts.
    """

    def __init__(self):
        self.findings = []
        self.executed = {}
        self.asked = 0
        self.served = 0
        self.unsafe = set()
        self.refused = []
        self.late = []
        self.after = []
        self.stalls = []
        self.store_harmed = []
        self.harms_under_way = 0
        self.leaving = {}

    def found(self, finding):
        """Notes a broken promise."""
        self.findings.append(finding)

    def harm_began(self):
        """Notes that the store, or the way to it, is harmed."""
        if not self.harms_under_way:
            self.store_harmed.append((time.monotonic(), float("inf")))
        self.harms_under_way += 1

    def harm_ended(self):
        """Notes that one harm of the store has ended."""
        self.harms_under_way -= 1
        if not self.harms_under_way:
            began, _ = self.store_harmed[-1]
            self.store_harmed[-1] = (began, time.monotonic())

    def is_calm(self, since):
        """Says whether the store was well from before a time until now."""
        return not any(
            ended > since - CALM_S for _, ended in self.store_harmed
        ) and not any(ended > since for _, ended in self.stalls)

    def target_leaves(self, name):
        """Notes that the store has taken word that a target leaves."""
        self.leaving[name] = time.monotonic()

    def target_arrives(self, name):
        """Notes that a target takes work again."""
        self.leaving.pop(name, None)

    def reached(self, target, request_id, gateway, evacuated):
        """Judges a request that reached a target.

        Args:
            target: The target.
            request_id: The request.
            gateway: The gateway that took it from its caller.
            evacuated: When each evacuated domain was.
        """
        if gateway.is_disturbed:
            return
        orders = {
            "left": (self.leaving.get(target.name), DRAIN_S),
            "was evacuated": (evacuated.get(target.domain), EVACUATION_S),
        }
        for what, (since, bound_s) in orders.items():
            if since is None or not self.is_calm(since):
                continue
            late_s = time.monotonic() - since
            if late_s > bound_s:
                self.found(
                    f"{request_id}: reached {target.name} {late_s:.2f} s "
                    f"after it {what}"
                )

    def answered(self, call, answer):
        """Judges a caller's answer.

        Args:
            call: The request.
            answer: Status, headers and body; nothing if none came whole.
        """
        ended = time.monotonic()
        is_served = answer is not None and answer[0] == OK
        if call.is_after_faults:
            self.after.append((call.began, ended, is_served))
        if answer is None:
            return
        status, headers, body = answer
        request_id = call.request_id
        took_s = ended - call.began
        if took_s > TIMEOUT_S + LATE_S and not call.gateway.is_disturbed:
            finding = f"{request_id}: {status} after {took_s:.2f} s"
            self.late.append((call, ended, finding))
        if headers.get("sardinewheel-attempt-id", request_id) != request_id:
            self.found(f"{request_id}: got another request's answer")
        if is_served:
            self.served += 1
            if body != body_of(request_id):
                self.found(f"{request_id}: got another body")
        elif status in NOT_RUN:
            self.refused.append(request_id)
        elif status in NEVER_OWN:
            self.found(f"{request_id}: {status}")

    def watch_stalls(self):
        """Notes for ever when this process stood still."""
        while True:
            began = time.monotonic()
            gevent.sleep(WATCH_S)
            ended = time.monotonic()
            if ended - began > WATCH_S + STALL_S:
                self.stalls.append((began, ended))

    def after_counted(self):
        """Returns whether each request after all faults was served."""
        return [
            is_served
            for began, ended, is_served in self.after
            if not _overlaps(self.stalls, began, ended)
        ]

    def check_end(self):
        """Judges what can be judged at the end only."""
        for request_id in self.unsafe:
            if self.executed.get(request_id, 0) > 1:
                self.found(f"{request_id}: executed twice")
        for request_id in self.refused:
            if request_id in self.unsafe and request_id in self.executed:
                self.found(f"{request_id}: refused, but executed")
        for call, ended, finding in self.late:
            stalls = self.stalls + call.gateway.starved
            if not _overlaps(stalls, call.began, ended):
                self.found(finding)
        after = self.after_counted()
        asked, served = len(after), sum(after)
        if served < MIN_SERVED_AFTER * asked or asked < AFTER_REQUESTS:
            self.found(f"after all faults {served} of {asked} were served")


def _overlaps(spans, began, ended):
    return any(a < ended and began < b for a, b in spans)
