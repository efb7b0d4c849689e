"""Checks invariants on what callers and targets observe."""

import time
from typing import NamedTuple

import gevent

from tests.platform.fakes import expected_body
from tests.platform.gateway_process import GatewayProcess
from tests.platform.soak.operators import TIMEOUT_S

LATENCY_TOLERANCE_S = 2.0
DRAIN_DEADLINE_S = 2.5
EVACUATION_DEADLINE_S = 5.0
STORE_RECOVERY_S = 4.0
ANNOUNCEMENT_WINDOW_S = 4.5
MIN_POST_FAULT_SUCCESS_RATIO = 0.9
MIN_POST_FAULT_REQUESTS = 200
STALL_CHECK_INTERVAL_S = 0.05
MIN_STALL_S = 0.5
HTTP_OK = 200
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
UNEXPECTED_STATUSES = frozenset({400, 404, 500})


class Call(NamedTuple):
    """One request of a caller.

    Attributes:
        request_id: Identifier of the request.
        gateway: Gateway that it was sent to.
        began: Monotonic time at which it was sent.
        is_after_faults: Whether all faults were over at that time.
    """

    request_id: str
    gateway: GatewayProcess
    began: float
    is_after_faults: bool


class InvariantChecker:
    """Collects observations and records violated invariants.

    Attributes:
        violations: Descriptions of violated invariants.
        execution_counts: Executions of each request id, over all targets.
        sent: Number of requests that callers sent.
        served: Number of successful responses.
        non_idempotent_ids: Ids of requests that must execute at most once.
        refused_ids: Ids of requests answered with a status that rules out
            execution.
        late_responses: Call, end and description of each late response.
        post_fault_results: Start, end and success of each request sent after
            all faults.
        stalls: Spans in which the test process, and so every fake, did not
            run.
        store_fault_spans: Spans in which the store or the relay to it was
            faulty; an active one ends at infinity.
        active_store_faults: Number of store faults in effect.
        leaving_since: Time at which the store accepted that a target leaves,
            by target name.
    """

    def __init__(self):
        self.violations = []
        self.execution_counts = {}
        self.sent = 0
        self.served = 0
        self.non_idempotent_ids = set()
        self.refused_ids = []
        self.late_responses = []
        self.post_fault_results = []
        self.stalls = []
        self.store_fault_spans = []
        self.active_store_faults = 0
        self.leaving_since = {}

    def record_violation(self, violation):
        """Records a violated invariant."""
        self.violations.append(violation)

    def store_fault_started(self):
        """Records the start of a fault of the store or of the relay to it."""
        if not self.active_store_faults:
            self.store_fault_spans.append((time.monotonic(), float("inf")))
        self.active_store_faults += 1

    def store_fault_ended(self):
        """Records the end of one such fault."""
        self.active_store_faults -= 1
        if not self.active_store_faults:
            began, _ = self.store_fault_spans[-1]
            self.store_fault_spans[-1] = (began, time.monotonic())

    def was_healthy_since(self, since):
        """Returns whether no store fault or stall affects the time since then.

        A store fault counts until ``STORE_RECOVERY_S`` after its end.
        """
        return not any(
            ended > since - STORE_RECOVERY_S
            for _, ended in self.store_fault_spans
        ) and not any(ended > since for _, ended in self.stalls)

    def record_target_leaving(self, name):
        """Records that the store accepted a target's leaving."""
        self.leaving_since[name] = time.monotonic()

    def record_target_joining(self, name):
        """Records that a target accepts requests again."""
        self.leaving_since.pop(name, None)

    def check_target_request(self, target, request_id, gateway, evacuated):
        """Checks that a target receiving a request was still eligible.

        Args:
            target: Target that received the request.
            request_id: Identifier of the request.
            gateway: Gateway that the caller sent it to.
            evacuated: Time of evacuation by failure domain.
        """
        if gateway.is_disturbed:
            return
        exclusions = {
            "left": (self.leaving_since.get(target.name), DRAIN_DEADLINE_S),
            "was evacuated": (
                evacuated.get(target.domain),
                EVACUATION_DEADLINE_S,
            ),
        }
        for reason, (since, bound_s) in exclusions.items():
            if since is None or not self.was_healthy_since(since):
                continue
            late_s = time.monotonic() - since
            if late_s > bound_s:
                self.record_violation(
                    f"{request_id}: reached {target.name} {late_s:.2f} s "
                    f"after it {reason}"
                )

    def check_announcement(self, target, request_id, gateway, finding):
        """Records a request that ignores what its target announced.

        Requests that a stall of the test process, or a gateway's wait for a
        processor, delivered late are left out.
        """
        now = time.monotonic()
        stalls = self.stalls + gateway.cpu_waits
        if not _overlaps(stalls, now - ANNOUNCEMENT_WINDOW_S, now):
            self.record_violation(f"{request_id} at {target.name}: {finding}")

    def check_response(self, call, response):
        """Checks the response to a caller's request.

        Args:
            call: Request of the caller.
            response: Status, headers and body; ``None`` if no complete response
                arrived.
        """
        ended = time.monotonic()
        is_served = response is not None and response[0] == HTTP_OK
        if call.is_after_faults:
            self.post_fault_results.append((call.began, ended, is_served))
        if response is None:
            return
        status, headers, body = response
        request_id = call.request_id
        took_s = ended - call.began
        if (
            took_s > TIMEOUT_S + LATENCY_TOLERANCE_S
            and not call.gateway.is_disturbed
        ):
            violation = f"{request_id}: status {status} after {took_s:.2f} s"
            self.late_responses.append((call, ended, violation))
        if headers.get("sardinewheel-attempt-id", request_id) != request_id:
            self.record_violation(
                f"{request_id}: received the response of another request"
            )
        if is_served:
            self.served += 1
            if body != expected_body(request_id):
                self.record_violation(f"{request_id}: unexpected response body")
        elif status in NOT_EXECUTED_STATUSES:
            self.refused_ids.append(request_id)
        elif status in UNEXPECTED_STATUSES:
            self.record_violation(f"{request_id}: unexpected status {status}")

    def watch_stalls(self):
        """Records stalls of this process, in an endless loop."""
        while True:
            began = time.monotonic()
            gevent.sleep(STALL_CHECK_INTERVAL_S)
            ended = time.monotonic()
            if ended - began > STALL_CHECK_INTERVAL_S + MIN_STALL_S:
                self.stalls.append((began, ended))

    def counted_post_fault_results(self):
        """Returns the success of each request sent after all faults.

        Requests that overlap a stall of the test process are left out.
        """
        return [
            is_served
            for began, ended, is_served in self.post_fault_results
            if not _overlaps(self.stalls, began, ended)
        ]

    def check_final(self):
        """Checks the invariants that need the data of the whole run."""
        for request_id in self.non_idempotent_ids:
            if self.execution_counts.get(request_id, 0) > 1:
                self.record_violation(f"{request_id}: executed twice")
        for request_id in self.refused_ids:
            if (
                request_id in self.non_idempotent_ids
                and request_id in self.execution_counts
            ):
                self.record_violation(
                    f"{request_id}: refused although a target executed it"
                )
        for call, ended, violation in self.late_responses:
            stalls = self.stalls + call.gateway.cpu_waits
            if not _overlaps(stalls, call.began, ended):
                self.record_violation(violation)
        after = self.counted_post_fault_results()
        sent, served = len(after), sum(after)
        if (
            served < MIN_POST_FAULT_SUCCESS_RATIO * sent
            or sent < MIN_POST_FAULT_REQUESTS
        ):
            self.record_violation(
                f"{served} of {sent} requests succeeded after all faults"
            )


def _overlaps(spans, began, ended):
    return any(a < ended and began < b for a, b in spans)
