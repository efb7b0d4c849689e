"""Runs the core: passes events to it and executes the effects it returns."""

import random
import time
from collections.abc import Callable

import gevent
import structlog
from gevent.event import AsyncResult
from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.effects import (
    AttemptEnded,
    CancelArrived,
    CancelAttempt,
    ChangeProposed,
    ChangeStatusRequested,
    Dispatch,
    Effect,
    Event,
    Exit,
    Forward,
    HostListRead,
    MessageArrived,
    Probe,
    ProposalEnded,
    PutObject,
    ReadHostList,
    ReadObject,
    ReadRows,
    Reply,
    Report,
    RequestArrived,
    Send,
    Ticked,
    Transact,
)
from sardinewheel_core.host import EntryHost, Identity
from sardinewheel_core.intent import Target
from sardinewheel_core.messages import Message
from sardinewheel_core.request import Answer, Outcome, Request
from sardinewheel_core.traffic import TrafficCounter

from sardinewheel_entry.attempts import AttemptRunner
from sardinewheel_entry.http_exchange import HttpResponse
from sardinewheel_entry.metrics import Metrics
from sardinewheel_entry.payloads import Payload
from sardinewheel_entry.peers import PeerLinks
from sardinewheel_entry.platform_client import PlatformClient, PlatformEffect
from sardinewheel_entry.probes import Prober
from sardinewheel_entry.response_cache import ResponseCache

TICK_INTERVAL_S = 0.1

log = structlog.get_logger()


class Driver:
    """The core of one entry host, with the I/O that executes its effects.

    Attributes:
        host: The core.
        attempts: Sends requests to targets and peers.
        links: Message links to other entry hosts.
        platform: Client of the platform's services.
        prober: Probes targets for health and load.
        stopped: Set when the graceful shutdown of the core is complete.
        pending_arrivals: Results that callers wait for, by arrival id.
        pending_proposals: Results that operators wait for, by proposal id.
        payloads: Request bodies and paths, by arrival id.
        responses: Complete responses, by attempt id.
        metrics: Counts and latencies of answered requests.
        last_id: Latest arrival or proposal id assigned.
        traffic: Request counts by source and destination region.
    """

    def __init__(self, *, identity: Identity, platform: PlatformClient):
        self.rng = random.Random()
        self.host = EntryHost(
            identity=identity, rng=self.rng, now=time.monotonic()
        )
        self.attempts = AttemptRunner(
            may_send=self._may_send, on_stream=self._answer_streamed
        )
        self.links = PeerLinks(
            identity.name, self.on_message, address=identity.peer_address
        )
        self.platform = platform
        self.prober = Prober()
        self.stopped = AsyncResult()
        self.pending_arrivals: dict[int, AsyncResult] = {}
        self.pending_proposals: dict[int, AsyncResult] = {}
        self.payloads: dict[int, Payload] = {}
        self.responses = ResponseCache()
        self.metrics = Metrics()
        self.last_id = 0
        self.traffic = TrafficCounter(started_at=time.monotonic())

    def run(self, *, is_idle: Callable[[], bool] = lambda: True) -> None:
        """Sends ticks to the core until the graceful shutdown is complete.

        Args:
            is_idle: Returns whether every answer has been sent to its caller;
                ticks continue until it returns true.
        """
        while not (self.stopped.ready() and is_idle()):
            self.handle_event(Ticked())
            gevent.sleep(TICK_INTERVAL_S)

    def handle_event(self, event: Event) -> None:
        """Passes an event to the core and executes the resulting effects."""
        for effect in self.host.handle(time.monotonic(), event):
            self.execute_effect(effect)

    def on_message(self, sender: str, message: Message) -> None:
        """Passes a message from a peer to the core."""
        self.handle_event(MessageArrived(sender, message))

    def serve(
        self, request: Request, payload: Payload
    ) -> tuple[Answer, HttpResponse | None]:
        """Executes a request and returns its final answer.

        Returns:
            The answer, and its response if it is streamed or cached.
        """
        self.last_id += 1
        result = self.pending_arrivals[self.last_id] = AsyncResult()
        arrival_id = self.last_id
        self.payloads[arrival_id] = payload
        try:
            self.handle_event(RequestArrived(arrival_id, request))
            return result.get()
        finally:
            self.payloads.pop(arrival_id, None)

    def cancel(self, request_id: str) -> None:
        """Cancels a request on behalf of its caller."""
        self.handle_event(CancelArrived(request_id))

    def propose(
        self, event: ChangeProposed | ChangeStatusRequested
    ) -> ProposalEnded:
        """Proposes a change or queries its state; waits for the result."""
        self.last_id += 1
        result = self.pending_proposals[self.last_id] = AsyncResult()
        self.handle_event(event._replace(proposal_id=self.last_id))
        return result.get()

    def execute_effect(self, effect: Effect) -> None:
        """Executes one effect without blocking."""
        self.traffic.observe(time.monotonic(), self.host, effect)
        match effect:
            case Dispatch():
                payload = self.payloads[effect.arrival_id]
                gevent.spawn(self._run_attempt, effect, payload)
            case Forward():
                payload = self.payloads[effect.arrival_id]
                gevent.spawn(self._run_attempt, effect, payload)
            case CancelAttempt(attempt_id):
                self.attempts.cancel(attempt_id)
            case Reply(arrival_id, answer):
                self._deliver_answer(arrival_id, answer)
            case Send(_, address, message):
                self.links.send(address, message)
            case ReadRows() | ReadObject() | Transact() | PutObject():
                gevent.spawn(self._call_platform, effect)
            case ReadHostList():
                gevent.spawn(self._read_host_list)
            case Probe(target):
                gevent.spawn(self._probe, target)
            case ProposalEnded():
                self.pending_proposals.pop(effect.proposal_id).set(effect)
            case Report(event, fields):
                log.info(event, **dict(fields))
            case Exit():
                if not self.stopped.ready():
                    self.stopped.set(True)

    def _run_attempt(self, effect: Dispatch | Forward, payload: Payload):
        started_at = time.monotonic()
        result, response = self.attempts.run(effect, payload)
        duration_s = time.monotonic() - started_at
        if response is not None and result.ending is Ending.ANSWERED:
            self.responses.store(effect.attempt_id, response)
        result: AttemptResult = result._replace(duration_s=duration_s)
        self.handle_event(AttemptEnded(effect.attempt_id, result))
        if effect.request.repeatable:
            self.responses.drop(effect.attempt_id)

    def _read_host_list(self) -> None:
        hosts = self.platform.hosts()
        if hosts is not None:
            self.handle_event(HostListRead(hosts))

    def _probe(self, target: Target) -> None:
        self.handle_event(self.prober.probe(target))

    def _may_send(self, attempt_id: int) -> bool:
        return self.host.may_dispatch(time.monotonic(), attempt_id)

    def _deliver_answer(
        self,
        arrival_id: int,
        answer: Answer,
        response: HttpResponse | None = None,
    ) -> None:
        """Passes an answer to the waiting caller, unless it already has one.

        It has one if the response was streamed before the attempt ended.
        """
        pending = self.pending_arrivals.pop(arrival_id, None)
        if pending is not None:
            available = response or self.responses.get(answer.attempt_id)
            pending.set((answer, available))

    def _answer_streamed(
        self, effect: Dispatch | Forward, response: HttpResponse
    ) -> None:
        answer = Answer(
            effect.request.id,
            Outcome.DONE,
            attempt_id=effect.attempt_id,
            status=response.status,
        )
        self._deliver_answer(effect.arrival_id, answer, response)

    def _call_platform(self, effect: PlatformEffect) -> None:
        event = self.platform.call(effect)
        if event is not None:
            self.handle_event(event)
