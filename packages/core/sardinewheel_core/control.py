"""Handling of ticks, peers' messages and the platform's answers."""

from typing import TYPE_CHECKING

from sardinewheel_core import (
    claims,
    dispatching,
    drain_signals,
    drains,
    handover,
    loans,
    probing,
    proposals,
    repairs,
    rollout,
    seats,
    shift,
    stopping,
)
from sardinewheel_core.effects import (
    HostListRead,
    MessageArrived,
    ObjectRead,
    ProbeCompleted,
    RowsRead,
    Send,
    TransactionEnded,
)
from sardinewheel_core.filters.admission import immediate_capacity
from sardinewheel_core.messages import (
    ChangesSent,
    ChangesWanted,
    Heartbeat,
    LoanGranted,
    LoanReturned,
    LoanWanted,
    Message,
    OutcomesHandedOn,
    OutcomesTaken,
    Phase,
    SnapshotPart,
    StatesWanted,
)

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


MAX_SERVICES_PER_STATE = 16


def on_tick(host: "EntryHost", now: float) -> None:
    """Runs all periodic work that is due."""
    host.membership.on_tick(now)
    host.outcome_store.advance(now)
    is_scan_due = host.membership.is_scan_due(now)
    if is_scan_due:
        drain_signals.on_tick(host, now)
    host.delegations.advance(now)
    seats.on_tick(host, now)
    handover.on_tick(host, now)
    host.allowance.share = host.shares.advance(now)
    loans.on_tick(host, now)
    shift.on_tick(host, now)
    _refresh_own_state(host, now)
    for peer, heartbeat in host.membership.gossip(now):
        host.emit(Send(peer.host, peer.address, heartbeat))
    rollout.poll(host, now)
    proposals.on_tick(host, now)
    if is_scan_due:
        dispatching.refresh_targets(host, now)
        repairs.on_tick(host, now)
    drains.on_tick(host, now)
    probing.on_tick(host, now)
    stopping.on_tick(host, now)


def on_message(host: "EntryHost", now: float, event: MessageArrived) -> None:
    """Handles a message from a peer."""
    match event.message:
        case Heartbeat(states, beats):
            host.membership.merge_states(now, states)
            unknown = host.membership.merge_heartbeat_counters(now, beats)
            _send_unless_empty(
                host, event.sender, StatesWanted(unknown), unknown
            )
            _send_heartbeat_if_joining(host, now, event.sender)
            if host.membership.is_superseded(states):
                seats.on_superseded(host, now)
            host.shares.record_states(states)
            handover.record_successors(host, states)
            rollout.request_changes(host, now, states)
        case StatesWanted(beat_ids):
            found = host.membership.find_states(beat_ids)
            _send_unless_empty(host, event.sender, Heartbeat(found), found)
        case ChangesWanted(after):
            rollout.send_changes(host, event.sender, after)
        case ChangesSent(changes):
            rollout.on_changes(host, now, event.sender, changes)
        case SnapshotPart():
            rollout.on_snapshot_part(host, now, event.sender, event.message)
        case LoanWanted() as message:
            loans.on_loan_wanted(host, now, event.sender, message)
        case LoanGranted() as message:
            loans.on_loan_granted(host, now, event.sender, message)
        case LoanReturned() as message:
            loans.on_loan_returned(host, now, event.sender, message)
        case OutcomesHandedOn() as message:
            handover.on_outcomes_handed_on(host, now, event.sender, message)
        case OutcomesTaken() as message:
            handover.on_outcomes_taken(host, now, message)


def _send_unless_empty(
    host: "EntryHost", receiver: str, message: Message, content: tuple
) -> None:
    """Sends a reply to a known peer unless its content is empty."""
    state = host.membership.states.get(receiver)
    if content and state is not None:
        host.emit(Send(receiver, state.peer_address, message))


def _send_heartbeat_if_joining(
    host: "EntryHost", now: float, sender: str
) -> None:
    """Answers a joining host with a heartbeat, so that it learns its peers."""
    state = host.membership.states.get(sender)
    if state is not None and state.phase is Phase.JOINING:
        heartbeat = host.membership.heartbeat(now)
        host.emit(Send(sender, state.peer_address, heartbeat))


def on_platform(
    host: "EntryHost",
    now: float,
    event: RowsRead | TransactionEnded | ObjectRead,
) -> None:
    """Handles an answer of the platform.

    Each module ignores answers to calls of other modules.
    """
    match event:
        case RowsRead():
            rollout.on_rows(host, now, event)
            proposals.on_rows(host, now, event)
            seats.on_rows(host, now, event)
        case TransactionEnded():
            proposals.on_transaction(host, now, event)
            claims.on_transaction(host, now, event)
            seats.on_transaction(host, now, event)
        case ObjectRead():
            rollout.on_object(host, now, event)


def on_host_list(host: "EntryHost", now: float, event: HostListRead) -> None:
    """Uses the platform's list of hosts as a hint about leaving targets."""
    drain_signals.on_host_list(host, now, event.hosts)
    dispatching.refresh_targets(host, now)


def on_load_report(
    host: "EntryHost", now: float, event: ProbeCompleted
) -> None:
    """Handles the end of a probe of a target."""
    probing.on_load_report(host, now, event)
    dispatching.refresh_targets(host, now)


def _refresh_own_state(host: "EntryHost", now: float) -> None:
    services = host.configuration.intent.services
    leaving_targets, drained = drain_signals.announced_drains(host, now)
    free_slots = [
        (name, immediate_capacity(host, now, name)) for name in services
    ]
    free_slots = [(name, count) for name, count in free_slots if count > 0]
    host.membership.own = host.membership.own._replace(
        version=host.configuration.version,
        epoch=host.outcome_store.epoch,
        rooms=tuple(host.membership.sample(free_slots, MAX_SERVICES_PER_STATE)),
        leaving=leaving_targets,
        drained=drained,
        spare=host.allowance.lendable_units(now),
        settled=host.shares.settled,
        positions=host.shifts.positions(),
        strains=host.targets.strains(now),
    )
