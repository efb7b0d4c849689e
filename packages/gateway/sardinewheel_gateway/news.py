"""What this host has heard of operators and targets, and from whom.

News come from the store or from other hosts. They change what the host
believes, and are passed on to the hosts of its region.
"""

import random
from collections.abc import Callable

from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.policy.history import TargetHistory
from sardinewheel_gateway.policy.hosts import HostState, StoreAccess
from sardinewheel_gateway.policy.routes import Configuration
from sardinewheel_gateway.policy.routing_state import RoutingState
from sardinewheel_gateway.policy.store_followers import FollowDecision
from sardinewheel_gateway.policy.targets import TargetChange, TargetTable
from sardinewheel_gateway.policy.updates import (
    NO_POSITION,
    OperatorsUpdate,
    Positions,
    RecordChange,
    TargetsUpdate,
    Update,
)
from sardinewheel_gateway.relay import Relay, is_ahead

# Leaves time for the answer's delay, a new connection and the news.
FEED_WAIT_SHARE = 0.7
LONE_FEED_WAIT_SHARE = 0.375
FEED_WAIT_SPREAD = 0.3


class News:
    """Applies news and passes them on.

    Attributes:
        routing_state: What the news change.
        gossip: Datagrams to the other hosts.
        history: Last change of each target.
        following: Decides whether this host follows the store.
        relay: Asks other hosts for what was missed.
        silence_s: Seconds within which a silent store must be noticed.
        rng: Spreads waits.
        sources_lost: Tables of the store that can't be read now.
        on_change: Called after news were applied.
        on_target_gone: Called with the id of a target that has gone or
            restarted.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        gossip: Gossip,
        log,
        rng: random.Random,
        silence_s: float,
        on_change: Callable[[], None],
        on_target_gone: Callable[[str], None],
    ):
        self.routing_state = routing_state
        self.gossip = gossip
        self.log = log
        self.rng = rng
        self.silence_s = silence_s
        self.on_change = on_change
        self.on_target_gone = on_target_gone
        self.history = TargetHistory()
        self.following = FollowDecision(gossip.host_table)
        self.sources_lost: set[str] = set()
        self.relay = Relay(
            gossip,
            apply_update=self.heard_from_host,
            log=log,
            rng=rng,
            on_lag=self.store_lags,
        )
        gossip.on_update = self.heard_from_host
        gossip.on_heartbeat = self._hint_if_behind
        gossip.on_objects = routing_state.placer.objects.merge

    @property
    def positions(self) -> Positions:
        """How far into the store's history this host has heard."""
        return self.gossip.host_table.own.positions

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose targets get nothing."""
        return self.routing_state.target_table.evacuated

    def heard_from_store(self, update: Update) -> None:
        """Takes news of the store, and passes them on."""
        is_news = self._is_news(update)
        passed_on = self._as_passed_on(update)
        self._apply(update, "store")
        if is_news:
            self.relay.push(passed_on)
            self.gossip.tell_far_followers()

    def heard_from_host(self, update: Update, name: str) -> None:
        """Takes news that another host passed on."""
        if update.targets and self.history.has_gap_before(update.targets):
            self.relay.hint.set()
            update = update._replace(targets=None)
        if update.operators and self._misses(update.operators):
            self.relay.hint.set()
            update = update._replace(operators=None)
        if self._is_news(update):
            self._apply(update, name)

    def source_lost(self, source: str, *, reason: str) -> None:
        """Notes that a table of the store can't be read."""
        self.sources_lost.add(source)
        self.log.warning("store-lost", table=source, reason=reason)
        self.gossip.change(store=StoreAccess.AWAY)

    def source_returned(self, source: str, *, away_s: float) -> None:
        """Notes that a table of the store can be read again."""
        self.sources_lost.discard(source)
        self.log.info("store-regained", table=source, away_s=away_s)

    def follows_store(self) -> bool:
        """Says whether this host should follow the store now."""
        is_wanted = self.following.decide(now=clock.steady())
        if not is_wanted:
            self.gossip.change(store=StoreAccess.IDLE)
        return is_wanted

    def store_answers(self) -> None:
        """Notes that this host hears the store."""
        if not self.sources_lost:
            self.gossip.change(store=StoreAccess.FOLLOWING)

    def store_lags(self) -> None:
        """Notes that others have long heard what the store doesn't tell."""
        self.log.warning(
            "store-silent",
            operators=self.positions.operators,
            targets=self.positions.targets,
        )
        self.gossip.change(store=StoreAccess.AWAY)

    @property
    def feed_wait_s(self) -> float:
        """Seconds that the store may take to say that nothing changed.

        Connections may go silent for good, those of all hosts at once. A
        follower that hears earlier than others tells them, so the waits are
        spread; where no other region has one, they are shorter.
        """
        has_others = bool(self.gossip.host_table.cross_region_followers())
        share = FEED_WAIT_SHARE if has_others else LONE_FEED_WAIT_SHARE
        spread = 1.0 - FEED_WAIT_SPREAD * self.rng.random()
        return self.silence_s * share * spread

    def registry_returned(self, *, away_s: float) -> None:
        """Notes that the targets' records can be read again.

        Args:
            away_s: Seconds for which this host, or one that told it, could
                not read them.
        """
        now = clock.steady()
        if not self.gossip.host_table.has_settled_follower(now=now):
            self.routing_state.target_table.registry_returned(
                away_s=away_s, now=now
            )

    def expire(self) -> None:
        """Forgets targets whose record stayed missing."""
        expired = self.routing_state.target_table.expire(now=clock.steady())
        self._changed(expired, "expiry")

    def update_since(self, positions: Positions) -> Update:
        """Returns what a host that has heard so far is missing."""
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
            targets = self.history.since(positions.targets)
            targets = targets._replace(away_s=away_s)
        objects = ()
        if positions.targets == NO_POSITION:
            objects = tuple(self.routing_state.placer.objects.all())
        return Update(operators, targets, objects)

    def _hint_if_behind(self, peer: HostState) -> None:
        if is_ahead(peer.positions, self.positions):
            self.relay.hint.set()

    def _changed(self, changes: list[TargetChange], source: str) -> None:
        for change in changes:
            if change.event in ("gone", "restarted"):
                self.routing_state.forget_target(change.target_id)
                self.on_target_gone(change.target_id)
            self.log.info(
                f"target-{change.event}",
                target=change.target_id,
                position=self.positions.targets,
                source=source,
            )

    def _misses(self, update: OperatorsUpdate) -> bool:
        """Says whether this host has missed a configuration before it."""
        has_none = update.configuration is None
        return has_none and update.version > self.routing_state.version

    def _as_passed_on(self, update: Update) -> Update:
        """Returns an update as it joins what other hosts have heard."""
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

    def _is_news(self, update: Update) -> bool:
        known = self.positions
        operators, targets, _ = update
        has_operators = operators and operators.after > known.operators
        has_targets = targets and targets.after > known.targets
        return bool(has_operators or has_targets)

    def _apply(self, update: Update, source: str) -> None:
        if update.operators is not None:
            self._apply_operators(update.operators, source)
        if update.targets is not None:
            self._apply_targets(update.targets, source)
        self.routing_state.placer.objects.merge(update.objects)
        self.on_change()

    def _apply_operators(self, update: OperatorsUpdate, source: str) -> None:
        known = self.positions
        if update.configuration is not None:
            self._configure(update.configuration, source)
        if update.after < known.operators:
            return
        if self.routing_state.target_table.evacuate(
            update.evacuated, now=clock.steady()
        ):
            self.log.info(
                "evacuations-changed",
                domains=",".join(sorted(update.evacuated)),
                position=update.after,
                source=source,
            )
        self.gossip.advance(known._replace(operators=update.after))

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
        if update.away_s:
            self.registry_returned(away_s=update.away_s)
        if update.is_snapshot:
            records = [c.record for c in update.changes if c.record]
            changes = target_table.replace_all(records, now=now)
        else:
            changes = [
                _apply_change(target_table, c, now) for c in update.changes
            ]
        self.history.apply(update)
        self.gossip.advance(self.positions._replace(targets=update.after))
        self._changed([c for c in changes if c is not None], source)


def _apply_change(
    target_table: TargetTable, change: RecordChange, now: float
) -> TargetChange | None:
    if change.record is None:
        return target_table.remove(change.target_id, now=now)
    return target_table.put(change.record, now=now)
