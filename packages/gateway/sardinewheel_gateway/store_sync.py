"""Synchronization of configuration and targets with the store.

Updates come from the store or from other hosts. They are applied to the local
state, and updates from the store are forwarded to the hosts of the region.
"""

import random
from collections.abc import Callable

from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.policy.epochs import epoch_of
from sardinewheel_gateway.policy.hosts import HostState, StoreAccess
from sardinewheel_gateway.policy.routes import Configuration
from sardinewheel_gateway.policy.routing_state import RoutingState
from sardinewheel_gateway.policy.store_followers import FollowDecision
from sardinewheel_gateway.policy.target_history import TargetHistory
from sardinewheel_gateway.policy.targets import (
    RESTORE_HOLD_S,
    TargetChange,
    TargetTable,
)
from sardinewheel_gateway.policy.updates import (
    NO_POSITION,
    OperatorsUpdate,
    Positions,
    RecordChange,
    TargetsUpdate,
    Update,
)
from sardinewheel_gateway.relay import Relay, is_ahead

# Fractions of the store silence timeout. The rest is for the delay of the
# response, a new connection, and forwarding the update.
FEED_TIMEOUT_FRACTION = 0.7
SINGLE_REGION_FEED_TIMEOUT_FRACTION = 0.375
# Largest fraction by which the jitter shortens a feed timeout.
FEED_TIMEOUT_JITTER = 0.3


class StoreSync:
    """Applies updates and forwards them.

    Attributes:
        routing_state: Local state that updates are applied to.
        gossip: Sends datagrams to the other hosts.
        target_history: Last change of each target.
        follow_decision: Decides whether this host follows the store.
        relay: Requests missed updates from other hosts.
        store_silence_timeout_s: Seconds within which a silent store must be
            detected.
        rng: Source of the jitter of timeouts.
        unavailable_tables: Store tables that cannot be read at present.
        evacuated: Failure domains evacuated by the latest update.
        held_evacuations: Time until which domains stay evacuated that were so
            before the store came back from a backup, by domain.
        on_update_applied: Called after an update was applied.
        on_target_gone: Called with the id of a target that was removed or
            restarted.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        gossip: Gossip,
        log,
        rng: random.Random,
        store_silence_timeout_s: float,
        on_update_applied: Callable[[], None],
        on_target_gone: Callable[[str], None],
    ):
        self.routing_state = routing_state
        self.gossip = gossip
        self.log = log
        self.rng = rng
        self.store_silence_timeout_s = store_silence_timeout_s
        self.on_update_applied = on_update_applied
        self.on_target_gone = on_target_gone
        self.target_history = TargetHistory()
        self.follow_decision = FollowDecision(gossip.host_table)
        self.unavailable_tables: set[str] = set()
        self.evacuated: frozenset[str] = frozenset()
        self.held_evacuations: dict[str, float] = {}
        self.relay = Relay(
            gossip,
            apply_update=self.apply_host_update,
            log=log,
            rng=rng,
            on_lag=self.record_store_lag,
        )
        gossip.on_update = self.apply_host_update
        gossip.protocol.on_heartbeat = self._wake_relay_if_behind
        gossip.on_objects = routing_state.placer.objects.merge

    @property
    def positions(self) -> Positions:
        """Store positions up to which this host has applied updates."""
        return self.gossip.host_table.own.positions

    def apply_store_update(self, update: Update) -> None:
        """Applies an update from the store and forwards it if it is new."""
        is_new = self._is_new(update)
        forwarded = self._to_forward(update)
        self._apply(update, "store")
        if is_new:
            self.relay.push(forwarded)
            self.gossip.notify_cross_region_followers()

    def apply_host_update(self, update: Update, name: str) -> None:
        """Applies an update from another host, if none before it was missed."""
        if update.targets and self.target_history.has_gap_before(
            update.targets
        ):
            self.relay.wakeup.set()
            update = update._replace(targets=None)
        if update.operators and self._misses_configuration(update.operators):
            self.relay.wakeup.set()
            update = update._replace(operators=None)
        if self._is_new(update):
            self._apply(update, name)

    def record_table_failure(self, table: str, *, reason: str) -> None:
        """Records that a store table cannot be read."""
        self.unavailable_tables.add(table)
        self.log.warning("store-lost", table=table, reason=reason)
        self.gossip.update_own_state(store=StoreAccess.AWAY)

    def record_table_recovery(self, table: str, *, away_s: float) -> None:
        """Records that a store table can be read again."""
        self.unavailable_tables.discard(table)
        self.log.info("store-regained", table=table, away_s=away_s)

    def should_follow_store(self) -> bool:
        """Returns whether this host should follow the store now."""
        is_wanted = self.follow_decision.decide(now=clock.steady())
        if not is_wanted:
            self.gossip.update_own_state(store=StoreAccess.IDLE)
        return is_wanted

    def record_store_response(self) -> None:
        """Records that this host receives responses from the store."""
        if not self.unavailable_tables:
            self.gossip.update_own_state(store=StoreAccess.FOLLOWING)

    def record_store_lag(self) -> None:
        """Records that the store has not sent changes that other hosts have."""
        self.log.warning(
            "store-silent",
            operators=self.positions.operators,
            targets=self.positions.targets,
        )
        self.gossip.update_own_state(store=StoreAccess.AWAY)

    @property
    def feed_timeout_s(self) -> float:
        """Timeout in seconds of a poll of the store.

        The open connections of all hosts may go silent at once, permanently.
        The first follower to reconnect notifies the others, so the timeouts
        have jitter. They are shorter if no other region has a follower.
        """
        has_others = bool(self.gossip.host_table.cross_region_followers())
        fraction = (
            FEED_TIMEOUT_FRACTION
            if has_others
            else SINGLE_REGION_FEED_TIMEOUT_FRACTION
        )
        jitter = 1.0 - FEED_TIMEOUT_JITTER * self.rng.random()
        return self.store_silence_timeout_s * fraction * jitter

    def record_registry_recovery(self, *, away_s: float) -> None:
        """Records that the registry can be read again.

        Args:
            away_s: Seconds for which this host, or the one that sent the
                update, could not read it.
        """
        available_since = self.gossip.host_table.store_available_since(
            now=clock.steady()
        )
        self.routing_state.target_table.record_registry_recovery(
            away_s=away_s, now=available_since
        )

    def expire(self) -> None:
        """Ends what has lasted for its time.

        Targets whose records have been missing for too long are removed, and
        evacuations that are only held end.
        """
        self._end_held_evacuations()
        expired = self.routing_state.target_table.expire(now=clock.steady())
        self._handle_target_changes(expired, "expiry")

    def update_since(self, positions: Positions) -> Update:
        """Returns the update for a host at the given positions."""
        own = self.positions
        operators = None
        if own.operators > positions.operators:
            operators = OperatorsUpdate(
                own.operators, self.routing_state.configuration, self.evacuated
            )
        targets = None
        if own.targets > positions.targets:
            away_s = self.routing_state.target_table.recent_outage_s(
                now=clock.steady()
            )
            targets = self.target_history.since(positions.targets)
            targets = targets._replace(away_s=away_s)
        objects = ()
        if positions.targets == NO_POSITION:
            objects = tuple(self.routing_state.placer.objects.all())
        return Update(operators, targets, objects)

    def _wake_relay_if_behind(self, peer: HostState) -> None:
        if is_ahead(peer.positions, self.positions):
            self.relay.wakeup.set()

    def _handle_target_changes(
        self, changes: list[TargetChange], source: str
    ) -> None:
        for change in changes:
            if change.event in ("gone", "restarted"):
                self.routing_state.forget_target(change.target_id)
                self.on_target_gone(change.target_id)
            elif change.event == "cold":
                self.routing_state.forget_objects(change.target_id)
            self.log.info(
                f"target-{change.event}",
                target=change.target_id,
                position=self.positions.targets,
                source=source,
            )

    def _misses_configuration(self, update: OperatorsUpdate) -> bool:
        """Returns whether this host lacks the configuration of the update."""
        has_none = update.configuration is None
        return has_none and update.version > self.routing_state.version

    def _to_forward(self, update: Update) -> Update:
        """Returns an update with the data that other hosts need to apply it."""
        if update.operators is not None:
            operators = update.operators._replace(
                version=self.routing_state.version
            )
            update = update._replace(operators=operators)
        targets = update.targets
        if targets is None:
            return update
        away_s = self.routing_state.target_table.recent_outage_s(
            now=clock.steady()
        )
        before = min(targets.before, self.positions.targets)
        return update._replace(
            targets=targets._replace(before=before, away_s=away_s)
        )

    def _is_new(self, update: Update) -> bool:
        own = self.positions
        operators, targets, _ = update
        has_operators = operators and operators.after > own.operators
        has_targets = targets and targets.after > own.targets
        return bool(has_operators or has_targets)

    def _apply(self, update: Update, source: str) -> None:
        if update.operators is not None:
            self._apply_operators(update.operators, source)
        if update.targets is not None:
            self._apply_targets(update.targets, source)
        self.routing_state.placer.objects.merge(update.objects)
        self.on_update_applied()

    def _apply_operators(self, update: OperatorsUpdate, source: str) -> None:
        own = self.positions
        if update.configuration is not None:
            self._configure(update.configuration, source)
        if update.after < own.operators:
            return
        if _is_restored(own.operators, update.after):
            self._hold_evacuations(update.evacuated)
        self.evacuated = update.evacuated
        self.gossip.set_positions(own._replace(operators=update.after))
        self._evacuate(source)

    def _evacuate(self, source: str) -> None:
        """Applies the evacuations of the latest update, and those held."""
        evacuated = self.evacuated.union(self.held_evacuations)
        if self.routing_state.target_table.evacuate(
            evacuated, now=clock.steady()
        ):
            self.log.info(
                "evacuations-changed",
                domains=",".join(sorted(evacuated)),
                position=self.positions.operators,
                source=source,
            )

    def _hold_evacuations(self, evacuated: frozenset[str]) -> None:
        """Keeps evacuations that a backup of the store may lack."""
        until = clock.steady() + RESTORE_HOLD_S
        lacking = self.evacuated - evacuated
        self.held_evacuations.update(dict.fromkeys(lacking, until))
        self.log.warning(
            "store-restored",
            table="operators",
            held=",".join(sorted(lacking)),
        )

    def _end_held_evacuations(self) -> None:
        now = clock.steady()
        ended = [
            x for x, until in self.held_evacuations.items() if until <= now
        ]
        for domain in ended:
            del self.held_evacuations[domain]
        if ended:
            self._evacuate("expiry")

    def _configure(self, configuration: Configuration, source: str) -> None:
        before = self.routing_state.version
        if not self.routing_state.configure(configuration):
            return
        self.log.info(
            "configuration-applied",
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
            source=source,
        )

    def _apply_targets(self, update: TargetsUpdate, source: str) -> None:
        if update.after < self.positions.targets:
            return
        now = clock.steady()
        target_table = self.routing_state.target_table
        if _is_restored(self.positions.targets, update.after):
            gone = list(self.target_history.gone.values())
            target_table.record_restore(gone, now=now)
            self.log.warning("store-restored", table="targets", held=len(gone))
        if update.away_s:
            self.record_registry_recovery(away_s=update.away_s)
        if update.is_snapshot:
            records = [c.record for c in update.changes if c.record]
            changes = target_table.replace_all(records, now=now)
        else:
            changes = [
                _apply_change(target_table, c, now) for c in update.changes
            ]
        self.target_history.apply(update)
        self.gossip.set_positions(self.positions._replace(targets=update.after))
        self._handle_target_changes(
            [c for c in changes if c is not None], source
        )


def _is_restored(before: int, after: int) -> bool:
    """Returns whether the store came back from a backup between positions."""
    return before != NO_POSITION and epoch_of(after) > epoch_of(before)


def _apply_change(
    target_table: TargetTable, change: RecordChange, now: float
) -> TargetChange | None:
    if change.record is None:
        return target_table.remove(change.target_id, now=now)
    return target_table.put(change.record, now=now)
