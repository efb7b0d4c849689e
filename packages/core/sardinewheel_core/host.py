"""State machine of one entry host, without I/O.

A driver passes events with the time on a monotonic clock to
:meth:`EntryHost.handle` and carries out the effects that it returns. The real
process, the tests and benchmarks run the same code.
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
from sardinewheel_core.drain_signals import DrainSignals
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
from sardinewheel_core.exchange import Exchange, HeldOccupancy
from sardinewheel_core.filters import at_most_once
from sardinewheel_core.handover import HandoverState
from sardinewheel_core.intent import Block, Intent
from sardinewheel_core.loans import LoanState
from sardinewheel_core.lookup import LookupAnswer, LookupIndex
from sardinewheel_core.membership import Membership
from sardinewheel_core.messages import HostState, Phase
from sardinewheel_core.outcomes import DelegatedAttempts, OutcomeStore
from sardinewheel_core.probing import ProbeSchedule
from sardinewheel_core.queueing import WaitQueue
from sardinewheel_core.repairs import RepairState
from sardinewheel_core.request import Answer
from sardinewheel_core.seats import SeatState
from sardinewheel_core.shares import ShareHistory
from sardinewheel_core.shift import ShiftTracker
from sardinewheel_core.snapshots import SnapshotState
from sardinewheel_core.targets import TargetPool
from sardinewheel_core.ticket import SEPARATOR, Owner, Ticket


class Identity(NamedTuple):
    """Identity of this host, from its settings.

    Attributes:
        name: Seat that the host occupies.
        incarnation: Start time of the process, in nanoseconds.
        domain: Failure domain of the host.
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
    """State and decisions of one entry host.

    Attributes:
        identity: Identity of this host.
        membership: Entry hosts known to this host.
        configuration: Intent in force and the changes that led to it.
        allowance: This host's part of its region's cap.
        shares: Shares of the region's seats, by configuration version.
        loans: Loans requested by this host.
        seat: Ownership of this host's seat.
        shifts: Traffic that this host moves to other regions.
        outcome_store: Outcomes of non-repeatable requests whose ids this
            incarnation owns.
        targets: Targets to which this host dispatches.
        assignment: Division of the targets among the hosts.
        drain_signals: Signals that targets are leaving (draining).
        drains: Drains that affect requests of this host.
        probes: Schedule of target probes.
        queues: Waiting requests, by service.
        exchanges: Requests being executed or forwarded, by attempt id.
        in_progress: Requests in progress, by request id.
        owned: Requests in progress whose ids this host owns, by request id.
        lost_attempts: Capacity that attempts without an answer may still use.
        delegations: Forwarded attempts that arrived recently, to refuse
            copies of them.
        claims: Request ids without a ticket that are being claimed.
        handover: Outcome records received from and sent to other hosts.
        repairs: State last seen of other hosts, to report changes.
        stop: Progress of this host's shutdown.
        is_superseded: Whether a newer incarnation occupies this seat.
        decisions: Latest decisions, for explanations to operators.
        effects: Effects of the event being handled.
        rollout: State of fetching configuration changes.
        snapshots: Snapshot being received or read.
        proposals: Configuration changes being proposed, by proposal id.
        last_id: Number last returned by :meth:`next_id`.
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
        self.shifts = ShiftTracker(now=now)
        self.outcome_store = OutcomeStore(started_at=now)
        self.targets = TargetPool(rng=rng)
        self.assignment = dispatching.Assignment()
        self.drain_signals = DrainSignals()
        self.drains = drains.DrainTracker()
        self.probes = ProbeSchedule()
        self.queues: dict[str, WaitQueue] = {}
        self.exchanges: dict[int, Exchange] = {}
        self.in_progress: dict[str, Exchange] = {}
        self.owned: dict[str, Exchange] = {}
        self.lost_attempts: list[HeldOccupancy] = []
        self.delegations = DelegatedAttempts()
        self.claims = ClaimQueue()
        self.handover = HandoverState()
        self.stop = stopping.StopState()
        self.repairs = RepairState()
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
        """Handles an event.

        Args:
            now: Time on a monotonic clock, in seconds; never decreases.
            event: Event to handle.

        Returns:
            The effects that the driver must carry out, in order.
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
                proposals.on_operator_event(self, now, event)
            case HostListRead():
                control.on_host_list(self, now, event)
            case ProbeCompleted():
                control.on_load_report(self, now, event)
            case StopOrdered():
                stopping.on_stop(self, now)
        request_decisions.record(self, now)
        return self.effects

    def look_up(self, now: float, *, service: str, block: str) -> LookupAnswer:
        """Returns the entry hosts that a caller should use.

        Args:
            now: Time on the monotonic clock, in seconds.
            service: Service that the caller requests.
            block: Caller block.
        """
        intent = self.configuration.intent
        if not self._lookup_index.is_valid(intent, now):
            ready = self.membership.ready(now)
            hosts = dispatching.lookup_hosts(intent, ready)
            self._lookup_index = LookupIndex(intent, hosts, now=now)
        return self._lookup_index.look_up(
            service=service,
            region=self.region_of_block(block),
            rng=self.rng,
        )

    def may_dispatch(self, now: float, attempt_id: int) -> bool:
        """Returns whether an attempt may still be sent.

        The driver calls this right before it sends the first byte.

        Args:
            now: Time on the monotonic clock, in seconds.
            attempt_id: Attempt that is about to be sent.
        """
        return pipeline.may_send_first_byte(self, now, attempt_id)

    def drain_progress(self, now: float) -> list[DrainProgress]:
        """Returns the progress of each drain on this host."""
        return drains.progress(self, now)

    def find_outcome(self, now: float, request_id: str) -> Answer | HostState:
        """Returns the outcome of a request id, or the host that has it."""
        return at_most_once.find_outcome(self, now, request_id)

    def live_owner(self, now: float, owner: Owner) -> HostState | None:
        """Returns the live host responsible for an owner's request ids."""
        return at_most_once.live_owner(self, now, owner)

    def new_request_id(self, suffix: str) -> str:
        """Returns a request id that this host owns.

        Args:
            suffix: Text that makes the id unique within the ticket's epoch.
        """
        ticket = Ticket(*self.owner, self.outcome_store.epoch)
        return f"{ticket}{SEPARATOR}{suffix}"

    @property
    def owner(self) -> Owner:
        """This incarnation, as the owner of request ids."""
        return Owner(self.identity.name, self.identity.incarnation)

    @property
    def region(self) -> str | None:
        """Region of this host, or ``None`` if its domain is in no region."""
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

    def queue(self, service: str) -> WaitQueue:
        """Returns the queue of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = WaitQueue()
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
        """Adds an effect for the driver to carry out."""
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
