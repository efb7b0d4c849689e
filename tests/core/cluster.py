"""In-process cluster of entry hosts with direct message delivery."""

import random

from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.change import (
    Change,
    DefineRegion,
    DefineSeat,
    DefineService,
)
from sardinewheel_core.codec import from_plain, to_plain
from sardinewheel_core.effects import (
    AttemptEnded,
    Dispatch,
    Exit,
    Forward,
    MessageArrived,
    Reply,
    RequestArrived,
    Send,
    StopOrdered,
    Ticked,
    Transact,
)
from sardinewheel_core.host import EntryHost, Identity
from sardinewheel_core.intent import Kind, Region, Seat, Service, Target
from sardinewheel_core.messages import Heartbeat, Message
from sardinewheel_core.request import Outcome, Request
from sardinewheel_core.rollout import apply_changes, become_ready

DOMAIN = "quito-bodega"
NAMES = ("quito-1", "quito-2", "quito-3")


def initial_change() -> Change:
    targets = {n: Target(f"t-{n}", DOMAIN, n, 3) for n in NAMES}
    kinds = {"confirm": Kind("confirm", 0, repeatable=False)}
    operations = (
        DefineRegion(Region("sierra-norte", 90, (DOMAIN,))),
        *(DefineSeat(Seat(name, DOMAIN)) for name in NAMES),
        DefineService(Service("pedidos", kinds, targets)),
    )
    return Change(1, "c1", "ana", operations)


class Cluster:
    """Entry hosts that exchange messages and forwarded requests directly.

    Attributes:
        now: Simulated time in seconds.
        hosts: Live hosts, by name.
        executions: Number of dispatches to targets, by request id.
        answers: Answer to each answered arrival, by arrival id.
        open_dispatches: Host name and dispatch of each attempt without a
            result; filled while ``answers_immediately`` is false.
        forwards: Host name and attempt id of each forwarded arrival.
        transactions: Host name and call of each platform transaction.
        undelivered: Sender, address and message of each message in transit.
        exited: Names of hosts that exited.
        holds_messages: Whether messages stay in transit until delivered by
            hand.
        answers_immediately: Whether targets answer each dispatch at once.
        last_arrival: Arrival id of the latest request.
    """

    def __init__(self):
        self.now = 100.0
        self.hosts: dict[str, EntryHost] = {}
        self.executions: dict[str, int] = {}
        self.answers: dict[int, object] = {}
        self.open_dispatches: list[tuple[str, Dispatch]] = []
        self.forwards: dict[int, tuple[str, int]] = {}
        self.transactions: list[tuple[str, Transact]] = []
        self.undelivered: list[tuple[str, str, object]] = []
        self.exited: set[str] = set()
        self.holds_messages = False
        self.answers_immediately = True
        self.last_arrival = 0
        for name in NAMES:
            self.start(name, incarnation=1)
        self.exchange_heartbeats()

    def start(self, name, *, incarnation):
        identity = Identity(name, incarnation, DOMAIN, name, name)
        host = EntryHost(
            identity=identity, rng=random.Random(incarnation), now=self.now
        )
        self.hosts[name] = host
        host.rollout.started_at -= 60.0
        host.allowance.usable_from = self.now
        apply_changes(host, self.now, (initial_change(),), "test")
        become_ready(host, self.now)
        for effect in host.handle(self.now, Ticked()):
            if isinstance(effect, Send):
                self.undelivered.append((name, effect.address, effect.message))

    def exchange_heartbeats(self):
        """Delivers the current state of all hosts to every host."""
        states = []
        for host in self.hosts.values():
            membership = host.membership
            own = membership.own._replace(beat=membership.own.beat + 1)
            membership.own = own
            states.append(own)
        for name in self.hosts:
            message = MessageArrived("x", Heartbeat(tuple(states)))
            self.feed(name, message)

    def feed(self, name, event):
        self.apply_effects(name, self.hosts[name].handle(self.now, event))

    def tick(self, seconds=0.1):
        self.now += seconds
        for name in list(self.hosts):
            self.feed(name, Ticked())
        self.exchange_heartbeats()

    def submit(self, name, request_id, **fields):
        """Hands a request to a host; returns its arrival id."""
        request = Request(
            request_id, "pedidos", "confirm", 1, False, self.now + 5.0
        )._replace(**fields)
        self.last_arrival += 1
        arrival = self.last_arrival
        self.feed(name, RequestArrived(arrival, request))
        return arrival

    def outcome(self, arrival) -> Outcome | None:
        answer = self.answers.get(arrival)
        return answer.outcome if answer else None

    def stop(self, name):
        self.feed(name, StopOrdered())

    def kill(self, name):
        del self.hosts[name]

    def apply_effects(self, name, effects):
        for effect in effects:
            match effect:
                case Dispatch():
                    self._dispatch(name, effect)
                case Forward():
                    self._forward(name, effect)
                case Reply(arrival, answer):
                    self._reply(arrival, answer)
                case Send(_, address, message):
                    self.undelivered.append((name, address, message))
                case Transact():
                    self.transactions.append((name, effect))
                case Exit():
                    self.exited.add(name)
        if not self.holds_messages:
            self.deliver()

    def deliver(self):
        undelivered, self.undelivered = self.undelivered, []
        for sender, address, message in undelivered:
            if address in self.hosts:
                received = from_plain(to_plain(message), Message)
                self.feed(address, MessageArrived(sender, received))

    def end_attempt(self, name, attempt_id, ending=Ending.ANSWERED, **fields):
        result = AttemptResult(ending, 200)._replace(**fields)
        if name in self.hosts:
            self.feed(name, AttemptEnded(attempt_id, result))

    def _dispatch(self, name, effect):
        if not self.hosts[name].may_dispatch(self.now, effect.attempt_id):
            self.end_attempt(name, effect.attempt_id, Ending.NOT_SENT)
            return
        request_id = effect.request.id
        count = self.executions.get(request_id, 0)
        self.executions[request_id] = count + 1
        if self.answers_immediately:
            self.end_attempt(name, effect.attempt_id)
        else:
            self.open_dispatches.append((name, effect))

    def _forward(self, name, effect):
        may_send_first_byte = self.hosts[name].may_dispatch(
            self.now, effect.attempt_id
        )
        if not may_send_first_byte or effect.address not in self.hosts:
            self.end_attempt(name, effect.attempt_id, Ending.NOT_SENT)
            return
        self.last_arrival += 1
        self.forwards[self.last_arrival] = (name, effect.attempt_id)
        event = RequestArrived(self.last_arrival, effect.request)
        self.feed(effect.address, event)

    def _reply(self, arrival, answer):
        assert arrival not in self.answers
        self.answers[arrival] = answer
        if arrival not in self.forwards:
            return
        name, attempt_id = self.forwards[arrival]
        reason = answer.refusal.reason if answer.refusal else answer.reason
        ending = {
            Outcome.DONE: Ending.ANSWERED,
            Outcome.NOT_RUN: Ending.REFUSED,
        }.get(answer.outcome, Ending.LOST)
        self.end_attempt(name, attempt_id, ending, reason=reason)
