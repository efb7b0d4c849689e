"""One entry host: the decisions, without I/O.

A driver passes events with the time on a monotonic clock to
:meth:`EntryHost.handle` and carries out the effects it gets back. The same
code runs under the real process, the tests and any bench.
"""

import random
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from sardinewheel_core import (
    control,
    dispatching,
    drains,
    pipeline,
    proposals,
    request_decisions,
    rollout,
    seats,
    stopping,
)
from sardinewheel_core.allowance import QUARANTINE_S, Allowance
from sardinewheel_core.blocks import BlockTable
from sardinewheel_core.claims import ClaimQueue
from sardinewheel_core.configuration import Configuration
from sardinewheel_core.decisions import Decision, DecisionLog
from sardinewheel_core.drains import DrainProgress
from sardinewheel_core.effects import (
    AttemptEnded,
    CancelArrived,
    ChangeProposed,
    ChangeStatusRequested,
    Effect,
    Event,
    HostListRead,
    MessageArrived,
    ObjectRead,
    ProbeCompleted,
    Report,
    RequestArrived,
    RowsRead,
    StopOrdered,
    Ticked,
    TransactionEnded,
)
from sardinewheel_core.exchange import Exchange, HeldRoom
from sardinewheel_core.filters import at_most_once
from sardinewheel_core.handover import HandoverState
from sardinewheel_core.intent import Block, Intent
from sardinewheel_core.leaving import LeavingSigns
from sardinewheel_core.loans import LoanState
from sardinewheel_core.lookup import LookupAnswer, LookupIndex
from sardinewheel_core.membership import Membership
from sardinewheel_core.messages import HostState, Phase
from sardinewheel_core.outcomes import AttemptLog, OutcomeBook
from sardinewheel_core.probing import ProbeSchedule
from sardinewheel_core.queueing import WaitingLine
from sardinewheel_core.repairs import RepairWatch
from sardinewheel_core.request import Answer
from sardinewheel_core.seats import SeatState
from sardinewheel_core.shares import ShareHistory
from sardinewheel_core.shift import ShiftBook
from sardinewheel_core.snapshots import SnapshotState
from sardinewheel_core.targets import TargetPool
from sardinewheel_core.ticket import SEPARATOR, Owner, Ticket


class Identity(NamedTuple):
    """Who this host is, from its settings.

    Attributes:
        name: Seat that it occupies.
        incarnation: Start of the process, in nanoseconds.
        domain: Failure domain in which it stands.
        http_address: ``host:port`` for callers.
        peer_address: ``host:port`` for other entry hosts.
        seeds: Peer addresses of some other entry hosts.
    """

    name: str
    incarnation: int
    domain: str
    http_address: str
    peer_address: str
    seeds: tuple[str, ...] = ()


class EntryHost:
    """The state of one entry host and the decisions it takes.

    Attributes:
        identity: Who this host is.
        membership: Entry hosts that it knows of.
        configuration: Intent in force and the changes behind it.
        allowance: Its part of its region's cap.
        shares: Its share by configuration version.
        loans: Loans that it asked for.
        seat: Its hold on its seat.
        shifts: What it moves to other regions.
        book: Outcomes of requests that may not be repeated.
        targets: Targets that it dispatches to.
        assignment: How the targets are divided among the hosts.
        leaving: Signs that targets are leaving.
        drains: Drains that it has a part in.
        probes: Probes of its targets.
        queues: Waiting requests, by service.
        exchanges: Requests under way, by attempt id.
        owned: Owned requests in progress, by request id.
        lost_attempts: Room of lost attempts.
        claims: Ids without a ticket, on their way to the platform's table.
        handover: Records taken from hosts that left, and given when leaving.
        repairs: What it last saw of others, to report changes.
        stop: How far it has come with leaving.
        is_superseded: Whether a newer incarnation occupies this seat.
        decisions: Latest decisions, to explain them.
        effects: Effects of the event being handled.
    """

    def __init__(self, *, identity: Identity, rng: random.Random, now: float):
        self.identity = identity
        self.rng = rng
        self.membership = Membership(
            own=_initial_state(identity), seeds=identity.seeds, rng=rng
        )
        self.configuration = Configuration()
        self.allowance = Allowance(usable_from=now + QUARANTINE_S)
        self.shares = ShareHistory(seat=identity.name, domain=identity.domain)
        self.loans = LoanState()
        self.seat = SeatState(now=now)
        self.shifts = ShiftBook(now=now)
        self.book = OutcomeBook(started_at=now)
        self.targets = TargetPool(rng=rng)
        self.assignment = dispatching.Assignment()
        self.leaving = LeavingSigns()
        self.drains = drains.DrainBook()
        self.probes = ProbeSchedule()
        self.queues: dict[str, WaitingLine] = {}
        self.exchanges: dict[int, Exchange] = {}
        self.in_progress: dict[str, Exchange] = {}
        self.owned: dict[str, Exchange] = {}
        self.lost_attempts: list[HeldRoom] = []
        self.delegations = AttemptLog()
        self.claims = ClaimQueue()
        self.handover = HandoverState()
        self.stop = stopping.StopState()
        self.repairs = RepairWatch()
        self.is_superseded = False
        self.decisions = DecisionLog()
        self.effects: list[Effect] = []
        self.rollout = rollout.RolloutState(now=now)
        self.snapshots = SnapshotState()
        self.proposals: dict[int, proposals.Proposal] = {}
        self.last_id = 0
        self._blocks_indexed: Mapping[str, Block] = {}
        self._block_table = BlockTable()
        self._lookup_index = LookupIndex(Intent.empty(), [], now=now)

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Takes in an event and returns what the driver is to do.

        Args:
            now: Time on a monotonic clock, in seconds; never goes back.
            event: What happened.
        """
        self.effects = []
        seats.detect_pause(self, now)
        match event:
            case RequestArrived():
                stopping.on_arrival(self, now)
                pipeline.on_request(self, now, event)
            case AttemptEnded():
                pipeline.on_attempt_ended(self, now, event)
            case CancelArrived():
                pipeline.on_cancel(self, now, event)
            case Ticked():
                control.on_tick(self, now)
                pipeline.on_tick(self, now)
            case MessageArrived():
                control.on_message(self, now, event)
            case RowsRead() | TransactionEnded() | ObjectRead():
                control.on_platform(self, now, event)
            case ChangeProposed() | ChangeStatusRequested():
                proposals.on_operator(self, now, event)
            case HostListRead():
                control.on_host_list(self, now, event)
            case ProbeCompleted():
                control.on_load(self, now, event)
            case StopOrdered():
                stopping.on_stop(self, now)
        request_decisions.record(self, now)
        return self.effects

    def look_up(self, now: float, *, service: str, block: str) -> LookupAnswer:
        """Returns the entry hosts that a caller should use.

        Args:
            now: Time on the monotonic clock, in seconds.
            service: Service the caller wants.
            block: Caller block.
        """
        intent = self.configuration.intent
        if not self._lookup_index.is_valid(intent, now):
            ready = self.membership.ready(now)
            hosts = dispatching.listed(intent, ready)
            self._lookup_index = LookupIndex(intent, hosts, now=now)
        return self._lookup_index.look_up(
            service=service,
            region=self.region_of_block(block),
            rng=self.rng,
        )

    def may_dispatch(self, now: float, attempt_id: int) -> bool:
        """Says whether an attempt may still leave; asked right before it does.

        Args:
            now: Time on the monotonic clock, in seconds.
            attempt_id: Attempt whose first byte is about to leave.
        """
        return pipeline.may_leave(self, now, attempt_id)

    def drain_progress(self, now: float) -> list[DrainProgress]:
        """Returns how far each drain has come on this host."""
        return drains.progress(self, now)

    def find_outcome(self, now: float, request_id: str) -> Answer | HostState:
        """Returns what became of an id, or the host to ask."""
        return at_most_once.find_outcome(self, now, request_id)

    def live_owner(self, now: float, owner: Owner) -> HostState | None:
        """Returns the live host that decides about an owner's ids."""
        return at_most_once.live_owner(self, now, owner)

    def new_request_id(self, suffix: str) -> str:
        """Returns an id that this host owns, with a unique suffix."""
        ticket = Ticket(*self.owner, self.book.epoch)
        return f"{ticket}{SEPARATOR}{suffix}"

    @property
    def owner(self) -> Owner:
        """This incarnation, as the owner of ids."""
        return Owner(self.identity.name, self.identity.incarnation)

    @property
    def region(self) -> str | None:
        """Region in which this host stands, as far as it is configured."""
        return self.configuration.intent.region_of(self.identity.domain)

    def region_of_block(self, block: str) -> str | None:
        """Returns the region of a caller block; this host's if unknown."""
        blocks = self.configuration.intent.blocks
        if self._blocks_indexed is not blocks:
            self._blocks_indexed = blocks
            self._block_table = BlockTable.from_blocks(blocks.values())
        return self._block_table.region_of(block) or self.region

    @property
    def phase(self) -> Phase:
        """Phase of this host."""
        return self.membership.own.phase

    def queue(self, service: str) -> WaitingLine:
        """Returns the waiting line of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = WaitingLine()
        return queue

    def waiting(self) -> Iterator[Exchange]:
        """Yields every waiting exchange, most urgent first per service."""
        for queue in self.queues.values():
            yield from queue.in_order()

    def next_id(self) -> int:
        """Returns a number that was not used before."""
        self.last_id += 1
        return self.last_id

    def emit(self, effect: Effect) -> None:
        """Adds an effect for the driver."""
        self.effects.append(effect)

    def report(self, now: float, event: str, **fields: str | int | float):
        """Logs a decision and keeps it for explanations."""
        pairs = tuple(fields.items())
        version = self.configuration.version
        self.decisions.add(Decision(now, event, version, pairs))
        self.emit(Report(event, pairs))


def _initial_state(identity: Identity) -> HostState:
    return HostState(
        name=identity.name,
        incarnation=identity.incarnation,
        beat=0,
        domain=identity.domain,
        http_address=identity.http_address,
        peer_address=identity.peer_address,
        phase=Phase.JOINING,
        version=0,
        epoch=0,
    )
