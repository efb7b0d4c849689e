"""Several cores whose messages and forwarded requests a test carries."""

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
from sardinewheel_core.rollout import become_ready, take_changes

DOMAIN = "quito-bodega"
NAMES = ("quito-1", "quito-2", "quito-3")


def house() -> Change:
    targets = {n: Target(f"t-{n}", DOMAIN, n, 3) for n in NAMES}
    kinds = {"confirm": Kind("confirm", 0, repeatable=False)}
    operations = (
        DefineRegion(Region("sierra-norte", 90, (DOMAIN,))),
        *(DefineSeat(Seat(name, DOMAIN)) for name in NAMES),
        DefineService(Service("pedidos", kinds, targets)),
    )
    return Change(1, "c1", "ana", operations)


class Cluster:
    """Hosts by name; ``executions`` counts what targets were sent."""

    def __init__(self):
        self.now = 100.0
        self.hosts: dict[str, EntryHost] = {}
        self.executions: dict[str, int] = {}
        self.answers: dict[int, object] = {}
        self.open: list[tuple[str, Dispatch]] = []
        self.forwards: dict[int, tuple[str, int]] = {}
        self.transactions: list[tuple[str, Transact]] = []
        self.mail: list[tuple[str, str, object]] = []
        self.exited: set[str] = set()
        self.holds_mail = False
        self.answers_at_once = True
        self.last_arrival = 0
        for name in NAMES:
            self.start(name, incarnation=1)
        self.introduce()

    def start(self, name, *, incarnation):
        identity = Identity(name, incarnation, DOMAIN, name, name)
        host = EntryHost(
            identity=identity, rng=random.Random(incarnation), now=self.now
        )
        self.hosts[name] = host
        host.rollout.started_at -= 60.0
        host.allowance.usable_from = self.now
        take_changes(host, self.now, (house(),), "test")
        become_ready(host, self.now)
        for effect in host.handle(self.now, Ticked()):
            if isinstance(effect, Send):
                self.mail.append((name, effect.address, effect.message))

    def introduce(self):
        """Lets every host hear every other one's current state."""
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
        self.carry_out(name, self.hosts[name].handle(self.now, event))

    def tick(self, seconds=0.1):
        self.now += seconds
        for name in list(self.hosts):
            self.feed(name, Ticked())
        self.introduce()

    def ask(self, name, request_id, **fields):
        """Hands a request to a host; returns its arrival."""
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

    def carry_out(self, name, effects):
        for effect in effects:
            match effect:
                case Dispatch():
                    self._dispatch(name, effect)
                case Forward():
                    self._forward(name, effect)
                case Reply(arrival, answer):
                    self._reply(arrival, answer)
                case Send(_, address, message):
                    self.mail.append((name, address, message))
                case Transact():
                    self.transactions.append((name, effect))
                case Exit():
                    self.exited.add(name)
        if not self.holds_mail:
            self.deliver()

    def deliver(self):
        mail, self.mail = self.mail, []
        for sender, address, message in mail:
            if address in self.hosts:
                received = from_plain(to_plain(message), Message)
                self.feed(address, MessageArrived(sender, received))

    def end(self, name, attempt_id, ending=Ending.ANSWERED, **fields):
        result = AttemptResult(ending, 200)._replace(**fields)
        if name in self.hosts:
            self.feed(name, AttemptEnded(attempt_id, result))

    def _dispatch(self, name, effect):
        if not self.hosts[name].may_dispatch(self.now, effect.attempt_id):
            self.end(name, effect.attempt_id, Ending.NOT_SENT)
            return
        request_id = effect.request.id
        count = self.executions.get(request_id, 0)
        self.executions[request_id] = count + 1
        if self.answers_at_once:
            self.end(name, effect.attempt_id)
        else:
            self.open.append((name, effect))

    def _forward(self, name, effect):
        may_leave = self.hosts[name].may_dispatch(self.now, effect.attempt_id)
        if not may_leave or effect.address not in self.hosts:
            self.end(name, effect.attempt_id, Ending.NOT_SENT)
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
        self.end(name, attempt_id, ending, reason=reason)
