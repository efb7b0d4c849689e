"""Entry hosts in one process, with a faulty network and platform.

Time is simulated: :meth:`FakeCluster.run` advances it, sends every host a tick
and executes the effects that hosts return. All random choices come from one
seeded generator.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from sardinewheel_core.change import Operation
from sardinewheel_core.effects import (
    ChangeProposed,
    Effect,
    Event,
    MessageArrived,
    ObjectRead,
    ProposalEnded,
    PutObject,
    ReadObject,
    ReadRows,
    Report,
    RowsRead,
    Send,
    Ticked,
    Transact,
    TransactionEnded,
)
from sardinewheel_core.host import EntryHost, Identity

TICK_S = 0.1
CALL_TIMEOUT_S = 1.0
START_S = 1000.0


class FakePlatform:
    """An in-memory table and object store.

    Attributes:
        rows: Version and value by key.
        objects: Text by name.
        is_down: Whether calls fail without taking effect.
        lost_responses: Number of upcoming transactions that take effect but
            are reported as failed, as if the response was lost.
        holds_transactions: Whether transactions are reported as failed and
            take effect only when :meth:`release` is called.
        held: Transactions waiting for :meth:`release`.
    """

    def __init__(self):
        self.rows: dict[str, tuple[int, str]] = {}
        self.objects: dict[str, str] = {}
        self.is_down = False
        self.lost_responses = 0
        self.holds_transactions = False
        self.held: list[Transact] = []

    def answer(self, effect: Effect) -> Event | None:
        """Executes a platform call and returns its result event, if any."""
        match effect:
            case ReadRows(call_id, keys):
                rows = tuple((k, *self.rows.get(k, (0, ""))) for k in keys)
                if self.is_down:
                    return RowsRead(call_id, (), failed=True)
                return RowsRead(call_id, rows)
            case ReadObject(call_id, name):
                if self.is_down:
                    return ObjectRead(call_id, failed=True)
                return ObjectRead(call_id, self.objects.get(name))
            case PutObject(_, name, text):
                if not self.is_down:
                    self.objects[name] = text
                return None
            case Transact():
                return self.transact(effect)
        return None

    def release(self) -> None:
        """Runs the held transactions."""
        held, self.held = self.held, []
        for effect in held:
            self.transact(effect)

    def transact(self, effect: Transact) -> TransactionEnded:
        """Runs or holds a transaction and returns its result."""
        if self.holds_transactions:
            self.held.append(effect)
        if self.is_down or self.holds_transactions:
            return TransactionEnded(effect.call_id, False, failed=True)
        mismatched = tuple(
            (key, *self.rows.get(key, (0, "")))
            for key, version in effect.checks
            if self.rows.get(key, (0, ""))[0] != version
        )
        if mismatched:
            return TransactionEnded(effect.call_id, False, mismatched)
        for key, value in effect.writes:
            self.rows[key] = (self.rows.get(key, (0, ""))[0] + 1, value)
        if self.lost_responses > 0:
            self.lost_responses -= 1
            return TransactionEnded(effect.call_id, False, failed=True)
        return TransactionEnded(effect.call_id, True)


class Delivery(NamedTuple):
    """An event scheduled for delivery to a host, ordered by time."""

    at: float
    order: int
    host: str
    incarnation: int
    event: Event


class FakeCluster:
    """Entry hosts by name, with simulated time.

    Attributes:
        hosts: Running hosts.
        ended: Results of proposals, by proposal id.
        reports: Reports of all hosts, as host name and report.
        sent: Messages sent by all hosts, as host name and effect.
        loss_rate: Probability that a message is lost.
        duplication_rate: Probability that a message is sent twice.
        max_delay_s: Maximum delay of a message in seconds.
        is_link_cut: Function that returns whether messages from one host to
            another are lost.
        is_platform_unreachable: Function that returns whether platform calls
            of a host fail.
    """

    def __init__(self, *, seed: int = 1):
        self.rng = random.Random(seed)
        self.now = START_S
        self.platform = FakePlatform()
        self.hosts: dict[str, EntryHost] = {}
        self.ended: dict[int, ProposalEnded] = {}
        self.reports: list[tuple[str, Report]] = []
        self.sent: list[tuple[str, Send]] = []
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.max_delay_s = 0.05
        self.is_link_cut: Callable[[str, str], bool] = lambda a, b: False
        self.is_platform_unreachable: Callable[[str], bool] = lambda host: False
        self._queue: list[Delivery] = []
        self._order = itertools.count()
        self._proposals = itertools.count(1)

    def start(
        self, name: str, domain: str, seeds: tuple[str, ...] = ()
    ) -> EntryHost:
        """Starts a host; replaces a running host of the same name."""
        identity = Identity(
            name=name,
            incarnation=int(self.now * 1e9) + next(self._order),
            domain=domain,
            http_address=f"http.{name}",
            peer_address=f"peer.{name}",
            seeds=tuple(f"peer.{seed}" for seed in seeds),
        )
        rng = random.Random(self.rng.random())
        self.hosts[name] = EntryHost(identity=identity, rng=rng, now=self.now)
        return self.hosts[name]

    def kill(self, name: str) -> None:
        """Removes a host without a shutdown."""
        del self.hosts[name]

    def feed(self, name: str, event: Event) -> list[Effect]:
        """Passes an event to a host and executes the resulting effects."""
        host = self.hosts[name]
        effects = host.handle(self.now, event)
        for effect in effects:
            self._execute(name, host, effect)
        return effects

    def propose(
        self,
        name: str,
        change_id: str,
        *operations: Operation,
        author: str = "ana",
        base_version: int = 0,
    ) -> int:
        """Proposes a change through a host; returns the proposal's id."""
        number = next(self._proposals)
        self.feed(
            name,
            ChangeProposed(number, change_id, author, base_version, operations),
        )
        return number

    def run(self, seconds: float) -> None:
        """Advances simulated time in steps of ``TICK_S``."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self._deliver()
            for name in list(self.hosts):
                self.feed(name, Ticked())

    def reports_of(self, event: str) -> list[tuple[str, dict]]:
        """Returns host name and fields of each report with an event name."""
        return [
            (name, dict(report.fields))
            for name, report in self.reports
            if report.event == event
        ]

    def _execute(self, name: str, host: EntryHost, effect: Effect) -> None:
        match effect:
            case Send(_, address, message):
                self.sent.append((name, effect))
                event = MessageArrived(name, message)
                self._send(name, address.removeprefix("peer."), event)
            case ProposalEnded():
                self.ended[effect.proposal_id] = effect
            case Report():
                self.reports.append((name, effect))
            case ReadRows() | ReadObject() | Transact() | PutObject():
                self._call(name, host, effect)

    def _call(self, name: str, host: EntryHost, effect: Effect) -> None:
        was_down = self.platform.is_down
        self.platform.is_down = was_down or self.is_platform_unreachable(name)
        event = self.platform.answer(effect)
        self.platform.is_down = was_down
        if event is not None:
            failed = getattr(event, "failed", False)
            delay_s = CALL_TIMEOUT_S if failed else 0.01
            self._push(delay_s, name, host.identity.incarnation, event)

    def _send(self, sender: str, receiver: str, event: Event) -> None:
        if self.is_link_cut(sender, receiver) or receiver not in self.hosts:
            return
        incarnation = self.hosts[receiver].identity.incarnation
        copies = 1 + (self.rng.random() < self.duplication_rate)
        for _ in range(copies):
            if self.rng.random() >= self.loss_rate:
                delay_s = self.rng.uniform(0.0, self.max_delay_s)
                self._push(delay_s, receiver, incarnation, event)

    def _push(
        self, delay_s: float, name: str, incarnation: int, event: Event
    ) -> None:
        at, order = self.now + delay_s, next(self._order)
        delivery = Delivery(at, order, name, incarnation, event)
        heapq.heappush(self._queue, delivery)

    def _deliver(self) -> None:
        while self._queue and self._queue[0].at <= self.now:
            delivery = heapq.heappop(self._queue)
            host = self.hosts.get(delivery.host)
            if host and host.identity.incarnation == delivery.incarnation:
                self.feed(delivery.host, delivery.event)
