"""Runs the core: feeds it events and carries out its effects."""

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
from sardinewheel_entry.kept_responses import KeptResponses
from sardinewheel_entry.metrics import Metrics
from sardinewheel_entry.payloads import Payload
from sardinewheel_entry.peers import PeerLinks
from sardinewheel_entry.platform_client import PlatformClient, PlatformEffect
from sardinewheel_entry.probes import Prober

TICK_S = 0.1

log = structlog.get_logger()


class Driver:
    """One entry host's core with everything that it needs to act.

    Attributes:
        host: The core.
        attempts: Sends requests to targets and peers.
        links: Connections to other entry hosts.
        platform: Client of the platform's services.
        prober: Probes targets.
        stopped: Set when the host has finished leaving.
        traffic: Counts where traffic flows.
    """

    def __init__(self, *, identity: Identity, platform: PlatformClient):
        self.rng = random.Random()
        self.host = EntryHost(
            identity=identity, rng=self.rng, now=time.monotonic()
        )
        self.attempts = AttemptRunner(
            confirm=self._confirm, on_stream=self._answer_early
        )
        self.links = PeerLinks(
            identity.name, self.on_message, address=identity.peer_address
        )
        self.platform = platform
        self.prober = Prober()
        self.stopped = AsyncResult()
        self.waiting: dict[int, AsyncResult] = {}
        self.proposals: dict[int, AsyncResult] = {}
        self.payloads: dict[int, Payload] = {}
        self.responses = KeptResponses()
        self.metrics = Metrics()
        self.last_id = 0
        self.traffic = TrafficCounter(started_at=time.monotonic())

    def run(self, *, is_quiet: Callable[[], bool] = lambda: True) -> None:
        """Ticks until the host has finished leaving.

        Args:
            is_quiet: Whether every answer was delivered; until then the host
                goes on.
        """
        while not (self.stopped.ready() and is_quiet()):
            self.feed(Ticked())
            gevent.sleep(TICK_S)

    def feed(self, event: Event) -> None:
        """Hands an event to the core and carries out the effects."""
        for effect in self.host.handle(time.monotonic(), event):
            self.carry_out(effect)

    def on_message(self, sender: str, message: Message) -> None:
        """Takes in a peer's message."""
        self.feed(MessageArrived(sender, message))

    def serve(
        self, request: Request, payload: Payload
    ) -> tuple[Answer, HttpResponse | None]:
        """Has a request executed and returns its final answer."""
        self.last_id += 1
        result = self.waiting[self.last_id] = AsyncResult()
        arrival_id = self.last_id
        self.payloads[arrival_id] = payload
        try:
            self.feed(RequestArrived(arrival_id, request))
            return result.get()
        finally:
            self.payloads.pop(arrival_id, None)

    def cancel(self, request_id: str) -> None:
        """Passes on that a caller no longer wants an answer."""
        self.feed(CancelArrived(request_id))

    def propose(
        self, event: ChangeProposed | ChangeStatusRequested
    ) -> ProposalEnded:
        """Proposes a change, or asks about one; returns how that ended."""
        self.last_id += 1
        result = self.proposals[self.last_id] = AsyncResult()
        self.feed(event._replace(proposal_id=self.last_id))
        return result.get()

    def carry_out(self, effect: Effect) -> None:
        """Carries out one effect; nothing here waits."""
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
                self._answer(arrival_id, answer)
            case Send(_, address, message):
                self.links.send(address, message)
            case ReadRows() | ReadObject() | Transact() | PutObject():
                gevent.spawn(self._call_platform, effect)
            case ReadHostList():
                gevent.spawn(self._read_host_list)
            case Probe(target):
                gevent.spawn(self._probe, target)
            case ProposalEnded():
                self.proposals.pop(effect.proposal_id).set(effect)
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
            self.responses.keep(effect.attempt_id, response)
        result: AttemptResult = result._replace(duration_s=duration_s)
        self.feed(AttemptEnded(effect.attempt_id, result))
        if effect.request.repeatable:
            self.responses.drop(effect.attempt_id)

    def _read_host_list(self) -> None:
        hosts = self.platform.hosts()
        if hosts is not None:
            self.feed(HostListRead(hosts))

    def _probe(self, target: Target) -> None:
        self.feed(self.prober.probe(target))

    def _confirm(self, attempt_id: int) -> bool:
        return self.host.may_dispatch(time.monotonic(), attempt_id)

    def _answer(
        self,
        arrival_id: int,
        answer: Answer,
        response: HttpResponse | None = None,
    ) -> None:
        """Wakes the arrival; one with a streamed response already has it."""
        waiting = self.waiting.pop(arrival_id, None)
        if waiting is not None:
            kept = response or self.responses.get(answer.attempt_id)
            waiting.set((answer, kept))

    def _answer_early(
        self, effect: Dispatch | Forward, response: HttpResponse
    ) -> None:
        answer = Answer(
            effect.request.id,
            Outcome.DONE,
            attempt_id=effect.attempt_id,
            status=response.status,
        )
        self._answer(effect.arrival_id, answer, response)

    def _call_platform(self, effect: PlatformEffect) -> None:
        event = self.platform.call(effect)
        if event is not None:
            self.feed(event)
