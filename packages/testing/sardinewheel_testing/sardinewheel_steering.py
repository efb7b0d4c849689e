"""Callers that use sardinewheel.

They look up entry hosts, send requests, and retry after the delay and at the
hosts that a refusal specifies.
"""

import json
import random
import time
from typing import NamedTuple

import gevent
from sardinewheel_core.lookup import LookupEntry
from sardinewheel_entry import headers
from sardinewheel_entry.http_exchange import (
    ConnectionLostError,
    HttpResponse,
    NotSentError,
)

from sardinewheel_testing.calls import AttemptOutcome, CallOutcome, CallResult
from sardinewheel_testing.steering import ActiveCall, AttemptResult, Network

OK = 200
LOOKUP_TIMEOUT_S = 1.0
LOOKUP_RETRY_S = 0.2
MIN_RETRY_S = 0.05
ATTEMPT_TIMEOUT_SHARE = 0.7
SUSPICION_S = 3.0
PENDING = "pending"
PENDING_RETRY_S = 0.2
RESOLVE_S = 6.0
RESOLVE_TIMEOUT_S = 1.5


class CachedLookup(NamedTuple):
    """Entries of a look-up and their expiry time in monotonic seconds."""

    entries: tuple[LookupEntry, ...]
    expires_at: float


class SardinewheelSteering:
    """Callers of one region, which share ``clients`` look-up caches.

    Attributes:
        network: HTTP client.
        seeds: Addresses of the entry hosts used for look-ups.
        block: Address of the callers, sent with look-ups and requests.
        clients: Number of look-up caches.
        cache: Look-ups by number of the cache and service.
        entries: Latest look-up entry of each host, by name.
        suspects: Hosts and seed addresses that did not answer, with the time
            until which others are preferred, in monotonic seconds.
    """

    def __init__(
        self,
        *,
        network: Network,
        seeds: list[str],
        block: str,
        clients: int,
        rng: random.Random,
    ):
        self.network = network
        self.seeds = seeds
        self.block = block
        self.clients = clients
        self.rng = rng
        self.cache: dict[tuple[int, str], CachedLookup] = {}
        self.entries: dict[str, LookupEntry] = {}
        self.suspects: dict[str, float] = {}

    def steer(self, active_call: ActiveCall) -> CallResult:
        """Makes a call, with retries, and returns its result."""
        preferred: tuple[str, ...] = ()
        while active_call.remaining_s > 0:
            entry = self._choose_host(active_call, preferred)
            if entry is None:
                gevent.sleep(LOOKUP_RETRY_S)
                continue
            result = self._make_attempt(active_call, entry)
            if result.outcome is AttemptOutcome.DONE:
                return active_call.to_call_result(CallOutcome.DONE, result)
            if not self._may_retry(active_call, result):
                break
            if not active_call.wait(max(MIN_RETRY_S, result.retry_after_s)):
                break
            preferred = result.retry_at
        return active_call.to_call_result(_final_outcome(active_call))

    def _make_attempt(
        self, active_call: ActiveCall, entry: LookupEntry
    ) -> AttemptResult:
        """Makes one attempt at an entry host and records its result.

        If no outcome was received for a request that must not be repeated,
        other hosts are queried for it.
        """
        repeatable = active_call.call.workload.repeatable
        request_id = active_call.next_id("" if repeatable else entry.ticket)
        timeout_s = active_call.remaining_s
        if repeatable:
            timeout_s *= ATTEMPT_TIMEOUT_SHARE
        result = self._send_request(active_call, entry, request_id, timeout_s)
        self._avoid_if_unresponsive(active_call, entry, result)
        if not repeatable:
            result = self._resolve_outcome(active_call, request_id, result)
        active_call.add(request_id, result)
        return result

    def _resolve_outcome(
        self, active_call: ActiveCall, request_id: str, result: AttemptResult
    ) -> AttemptResult:
        """Queries other hosts for the outcome, for up to ``RESOLVE_S``."""
        until = time.monotonic() + RESOLVE_S
        while (
            result.outcome is AttemptOutcome.LOST and time.monotonic() < until
        ):
            other = self._choose_host(active_call, ())
            if other is None:
                gevent.sleep(LOOKUP_RETRY_S)
                continue
            result = self._send_request(
                active_call, other, request_id, RESOLVE_TIMEOUT_S
            )
            self._avoid_if_unresponsive(active_call, other, result)
            if result.outcome is AttemptOutcome.NOT_SENT:
                result = AttemptResult(AttemptOutcome.LOST)
            elif result.reason == PENDING:
                gevent.sleep(PENDING_RETRY_S)
        return result

    def _avoid_if_unresponsive(
        self, active_call: ActiveCall, entry: LookupEntry, result: AttemptResult
    ) -> None:
        if result.reason == PENDING:
            return
        if result.outcome in (AttemptOutcome.LOST, AttemptOutcome.NOT_SENT):
            active_call.avoided.add(entry.host)
            self.suspects[entry.host] = time.monotonic() + SUSPICION_S

    def _may_retry(
        self, active_call: ActiveCall, result: AttemptResult
    ) -> bool:
        if result.outcome in (AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_SENT):
            return True
        return active_call.call.workload.repeatable

    def _send_request(
        self,
        active_call: ActiveCall,
        entry: LookupEntry,
        request_id: str,
        timeout_s: float,
    ) -> AttemptResult:
        fields = active_call.fields(request_id, timeout_s)
        fields[headers.BLOCK] = self.block
        try:
            response = self.network.send(
                "POST",
                entry.address,
                f"/v1/services/{active_call.call.workload.service}/requests",
                fields=fields,
                body=active_call.body,
                timeout_s=timeout_s,
                fresh=not active_call.call.workload.repeatable,
            )
        except NotSentError:
            return AttemptResult(AttemptOutcome.NOT_SENT)
        except ConnectionLostError as error:
            return AttemptResult(AttemptOutcome.LOST, str(error))
        return result_of_response(response)

    def _choose_host(
        self, active_call: ActiveCall, preferred: tuple[str, ...]
    ) -> LookupEntry | None:
        """Returns a host that the last refusal names, or one from a look-up."""
        for name in preferred:
            if name in self.entries and name not in active_call.avoided:
                return self.entries[name]
        entry = self._best_host(active_call, self._look_up(active_call))
        if entry is None and active_call.avoided:
            # Every host of the cached look-up failed, so refresh it.
            active_call.avoided.clear()
            entry = self._best_host(
                active_call, self._look_up(active_call, is_fresh=True)
            )
        return entry

    def _best_host(
        self, active_call: ActiveCall, entries: tuple[LookupEntry, ...]
    ) -> LookupEntry | None:
        usable = [e for e in entries if e.host not in active_call.avoided]
        now = time.monotonic()
        unsuspected = [
            e for e in usable if self.suspects.get(e.host, 0.0) < now
        ]
        return next(iter(unsuspected or usable), None)

    def _look_up(
        self, active_call: ActiveCall, *, is_fresh: bool = False
    ) -> tuple[LookupEntry, ...]:
        service = active_call.call.workload.service
        key = (active_call.call.index % self.clients, service)
        cached = self.cache.get(key)
        is_valid = cached is not None and cached.expires_at > time.monotonic()
        if is_valid and not is_fresh:
            return cached.entries
        answer = self._request_lookup(service)
        if answer is not None:
            self.cache[key] = answer
            for entry in answer.entries:
                self.entries[entry.host] = entry
            return answer.entries
        return cached.entries if cached is not None else ()

    def _request_lookup(self, service: str) -> CachedLookup | None:
        now = time.monotonic()
        unsuspected = [s for s in self.seeds if self.suspects.get(s, 0.0) < now]
        seed = self.rng.choice(unsuspected or self.seeds)
        try:
            response = self.network.send(
                "GET",
                seed,
                f"/v1/lookup?service={service}&block={self.block}",
                fields={},
                timeout_s=LOOKUP_TIMEOUT_S,
            )
        except (NotSentError, ConnectionLostError):
            self.suspects[seed] = now + SUSPICION_S
            return None
        if response.status != OK:
            return None
        plain = json.loads(response.body)
        entries = tuple(
            LookupEntry(e["host"], e["address"], e["ticket"])
            for e in plain["hosts"]
        )
        if not entries:
            return None
        ttl_s = plain["ttl_ms"] / 1000
        return CachedLookup(entries, time.monotonic() + ttl_s)


def result_of_response(response: HttpResponse) -> AttemptResult:
    """Converts an entry host's response to an attempt result."""
    fields = response.headers
    text = fields.get(headers.OUTCOME.lower(), "")
    if text == PENDING:
        return AttemptResult(AttemptOutcome.LOST, PENDING)
    if text not in list(AttemptOutcome):
        return AttemptResult(
            AttemptOutcome.UNKNOWN, f"status-{response.status}"
        )
    if text == AttemptOutcome.DONE and response.status != OK:
        # The target started the request but did not complete it, for example
        # because its deadline passed.
        return AttemptResult(
            AttemptOutcome.UNKNOWN, f"target-{response.status}"
        )
    after_ms = fields.get(headers.RETRY_AFTER_MS.lower(), "0")
    retry_at = fields.get(headers.RETRY_AT.lower(), "")
    return AttemptResult(
        AttemptOutcome(text),
        fields.get(headers.REASON.lower(), ""),
        response.body,
        int(after_ms) / 1000,
        tuple(name for name in retry_at.split(",") if name),
    )


def _final_outcome(active_call: ActiveCall) -> CallOutcome:
    """Returns the outcome of a call that ended without success."""
    outcomes = [attempt.outcome for attempt in active_call.attempts]
    if not outcomes:
        return CallOutcome.UNANSWERED
    if (
        outcomes[-1] is AttemptOutcome.LOST
        and not active_call.call.workload.repeatable
    ):
        return CallOutcome.UNANSWERED
    if set(outcomes) <= {AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_SENT}:
        return CallOutcome.REFUSED
    return CallOutcome.UNKNOWN
