"""How a caller uses sardinewheel: look up, ask, follow refusals."""

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
from sardinewheel_testing.steering import Network, Told, Trail

OK = 200
LOOKUP_TIMEOUT_S = 1.0
LOOKUP_RETRY_S = 0.2
MIN_RETRY_S = 0.05
LONGEST_TRY_SHARE = 0.7
SUSPECT_S = 3.0
PENDING = "pending"
PENDING_RETRY_S = 0.2
SETTLE_S = 6.0
SETTLE_TIMEOUT_S = 1.5


class CachedLookup(NamedTuple):
    """A look-up's answer and when it expires, monotonic seconds."""

    entries: tuple[LookupEntry, ...]
    until: float


class SardinewheelSteering:
    """Callers of one region, each with its own cached look-ups.

    Attributes:
        network: Connections to the entry hosts.
        seeds: Addresses of the entry hosts that answer look-ups.
        block: Address of the callers.
        clients: Number of callers that cache look-ups on their own.
        entries: Latest entry seen of each host, by name.
        suspects: Hosts and addresses that did not answer, and until when
            others go first.
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

    def steer(self, trail: Trail) -> CallResult:
        """Makes a call and returns what became of it."""
        preferred: tuple[str, ...] = ()
        while trail.left_s > 0:
            entry = self._choose(trail, preferred)
            if entry is None:
                gevent.sleep(LOOKUP_RETRY_S)
                continue
            told = self._ask_and_settle(trail, entry)
            if told.outcome is AttemptOutcome.DONE:
                return trail.end(CallOutcome.DONE, told)
            if not self._may_ask_again(trail, told):
                break
            if not trail.wait(max(MIN_RETRY_S, told.retry_after_s)):
                break
            preferred = told.retry_at
        return trail.end(_final(trail))

    def _ask_and_settle(self, trail: Trail, entry: LookupEntry) -> Told:
        """Asks one host; asks others of an id that was left open."""
        repeatable = trail.call.rate.repeatable
        request_id = trail.next_id("" if repeatable else entry.ticket)
        timeout_s = trail.left_s
        if repeatable:
            timeout_s *= LONGEST_TRY_SHARE
        told = self._ask(trail, entry, request_id, timeout_s)
        self._avoid_if_silent(trail, entry, told)
        if not repeatable:
            told = self._settle(trail, request_id, told)
        trail.add(request_id, told)
        return told

    def _settle(self, trail: Trail, request_id: str, told: Told) -> Told:
        """Asks other hosts of an id until one says what became of it."""
        until = time.monotonic() + SETTLE_S
        while told.outcome is AttemptOutcome.LOST and time.monotonic() < until:
            other = self._choose(trail, ())
            if other is None:
                gevent.sleep(LOOKUP_RETRY_S)
                continue
            told = self._ask(trail, other, request_id, SETTLE_TIMEOUT_S)
            self._avoid_if_silent(trail, other, told)
            if told.outcome is AttemptOutcome.NOT_SENT:
                told = Told(AttemptOutcome.LOST)
            elif told.reason == PENDING:
                gevent.sleep(PENDING_RETRY_S)
        return told

    def _avoid_if_silent(
        self, trail: Trail, entry: LookupEntry, told: Told
    ) -> None:
        if told.reason == PENDING:
            return
        if told.outcome in (AttemptOutcome.LOST, AttemptOutcome.NOT_SENT):
            trail.avoided.add(entry.host)
            self.suspects[entry.host] = time.monotonic() + SUSPECT_S

    def _may_ask_again(self, trail: Trail, told: Told) -> bool:
        if told.outcome in (AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_SENT):
            return True
        return trail.call.rate.repeatable

    def _ask(
        self,
        trail: Trail,
        entry: LookupEntry,
        request_id: str,
        timeout_s: float,
    ) -> Told:
        fields = trail.fields(request_id, timeout_s)
        fields[headers.BLOCK] = self.block
        try:
            response = self.network.send(
                "POST",
                entry.address,
                f"/v1/services/{trail.call.rate.service}/requests",
                fields=fields,
                body=trail.body,
                timeout_s=timeout_s,
                fresh=not trail.call.rate.repeatable,
            )
        except NotSentError:
            return Told(AttemptOutcome.NOT_SENT)
        except ConnectionLostError as error:
            return Told(AttemptOutcome.LOST, str(error))
        return told_of(response)

    def _choose(
        self, trail: Trail, preferred: tuple[str, ...]
    ) -> LookupEntry | None:
        """Returns the host to ask: where it was told to come, or the best."""
        for name in preferred:
            if name in self.entries and name not in trail.avoided:
                return self.entries[name]
        entry = self._best(trail, self._look_up(trail))
        if entry is None and trail.avoided:
            # Every host of the cached answer failed: look up again.
            trail.avoided.clear()
            entry = self._best(trail, self._look_up(trail, is_fresh=True))
        return entry

    def _best(
        self, trail: Trail, entries: tuple[LookupEntry, ...]
    ) -> LookupEntry | None:
        usable = [e for e in entries if e.host not in trail.avoided]
        now = time.monotonic()
        sound = [e for e in usable if self.suspects.get(e.host, 0.0) < now]
        return next(iter(sound or usable), None)

    def _look_up(
        self, trail: Trail, *, is_fresh: bool = False
    ) -> tuple[LookupEntry, ...]:
        service = trail.call.rate.service
        key = (trail.call.index % self.clients, service)
        cached = self.cache.get(key)
        is_valid = cached is not None and cached.until > time.monotonic()
        if is_valid and not is_fresh:
            return cached.entries
        answer = self._ask_for_hosts(service)
        if answer is not None:
            self.cache[key] = answer
            for entry in answer.entries:
                self.entries[entry.host] = entry
            return answer.entries
        return cached.entries if cached is not None else ()

    def _ask_for_hosts(self, service: str) -> CachedLookup | None:
        now = time.monotonic()
        sound = [s for s in self.seeds if self.suspects.get(s, 0.0) < now]
        seed = self.rng.choice(sound or self.seeds)
        try:
            response = self.network.send(
                "GET",
                seed,
                f"/v1/lookup?service={service}&block={self.block}",
                fields={},
                timeout_s=LOOKUP_TIMEOUT_S,
            )
        except (NotSentError, ConnectionLostError):
            self.suspects[seed] = now + SUSPECT_S
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


def told_of(response: HttpResponse) -> Told:
    """Returns what an entry host's response says of a request id."""
    fields = response.headers
    text = fields.get(headers.OUTCOME.lower(), "")
    if text == PENDING:
        return Told(AttemptOutcome.LOST, PENDING)
    if text not in list(AttemptOutcome):
        return Told(AttemptOutcome.UNKNOWN, f"status-{response.status}")
    if text == AttemptOutcome.DONE and response.status != OK:
        # The target began to execute it and gave up, such as at its deadline.
        return Told(AttemptOutcome.UNKNOWN, f"target-{response.status}")
    after_ms = fields.get(headers.RETRY_AFTER_MS.lower(), "0")
    retry_at = fields.get(headers.RETRY_AT.lower(), "")
    return Told(
        AttemptOutcome(text),
        fields.get(headers.REASON.lower(), ""),
        response.body,
        int(after_ms) / 1000,
        tuple(name for name in retry_at.split(",") if name),
    )


def _final(trail: Trail) -> CallOutcome:
    """Returns what a caller knows when it stops asking."""
    told = [attempt.outcome for attempt in trail.attempts]
    if not told:
        return CallOutcome.UNANSWERED
    if told[-1] is AttemptOutcome.LOST and not trail.call.rate.repeatable:
        return CallOutcome.UNANSWERED
    if set(told) <= {AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_SENT}:
        return CallOutcome.REFUSED
    return CallOutcome.UNKNOWN
