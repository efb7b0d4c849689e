"""The gateway process: joins decisions, sockets and signals."""

import random
import signal
from collections.abc import Callable
from typing import NamedTuple

import cbor2
import gevent
import gevent.event

from sardinewheel_gateway import clock
from sardinewheel_gateway.contract import Contract
from sardinewheel_gateway.forwarding import Forwarder
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.http_server import Exchange, HttpServer
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.metrics import Metrics
from sardinewheel_gateway.policy.beliefs import Beliefs, Bounds
from sardinewheel_gateway.policy.following import FollowDecision
from sardinewheel_gateway.policy.history import TargetHistory
from sardinewheel_gateway.policy.hosts import (
    HostBook,
    HostState,
    StoreAccess,
    entry_hosts,
)
from sardinewheel_gateway.policy.routes import Configuration
from sardinewheel_gateway.policy.targets import Fleet, TargetChange
from sardinewheel_gateway.policy.updates import (
    NOTHING_KNOWN,
    OperatorsUpdate,
    Positions,
    RecordChange,
    TargetsUpdate,
    Update,
    to_plain,
)
from sardinewheel_gateway.relay import Relay, asked_positions, is_ahead
from sardinewheel_gateway.supervision import keep_running

FOLLOWING = StoreAccess.FOLLOWING
TICK_S = 0.25
LOOKUP_TTL_S = 2.0
MAX_LOOKUP_ADDRESSES = 64
STOP_LINGER_S = 2.5
STOP_MARGIN_S = 0.8
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
METRICS_PATH = b"/metrics"
CBOR_HEADERS = [(b"content-type", b"application/cbor")]
JSON_HEADERS = [(b"content-type", b"application/json")]
TEXT_HEADERS = [(b"content-type", b"text/plain; version=0.0.4")]


class GatewaySettings(NamedTuple):
    """Settings of a gateway process.

    Attributes:
        name: Name of the host.
        domain: Its failure domain.
        region: Its region.
        regions: Region of each failure domain.
        front: ``host:port`` where callers send requests.
        readiness: ``host:port`` where it says whether it takes requests.
        lookup: ``host:port`` where callers ask which hosts to use.
        control: ``host:port`` that seeds of other hosts name.
        metrics: ``host:port`` where metrics are served.
        gossip: ``host:port`` where heartbeats arrive.
        seeds: Heartbeat addresses of other hosts, which may be stale.
        grace_s: Seconds from the order to stop to the end of the process.
        max_lookup_ttl_s: Seconds that callers may keep an answer at most.
        bounds: Bounds over all hosts together.
        capacity: Size of the host, for duties that go to the largest.
        log_level: Least severe level that is logged.
    """

    name: str
    domain: str
    region: str
    regions: dict[str, str]
    front: str
    readiness: str
    lookup: str
    control: str
    metrics: str
    gossip: str
    seeds: tuple[str, ...]
    grace_s: float
    max_lookup_ttl_s: float
    bounds: Bounds
    capacity: int = 0
    log_level: str = "info"


class Gateway:
    """A gateway process.

    Adapters tell it what operators and targets wrote through
    :meth:`heard_from_store`, while :meth:`follows_store` says so.

    Attributes:
        settings: Its settings.
        beliefs: What it decides with.
        is_leaving: Whether it was told to stop.
    """

    def __init__(self, settings: GatewaySettings, contract: Contract):
        self.settings = settings
        self.contract = contract
        self.log = Log(host=settings.name, level=settings.log_level)
        self.metrics = Metrics()
        self.rng = random.Random()
        self.is_leaving = False
        self.beliefs = Beliefs(
            host=settings.name,
            bounds=settings.bounds,
            regions=settings.regions,
            rng=self.rng,
        )
        self.forwarder = Forwarder(
            beliefs=self.beliefs,
            contract=contract,
            metrics=self.metrics,
            log=self.log,
            rng=self.rng,
        )
        self.book = HostBook(_own_state(settings))
        self.gossip = Gossip(
            settings.gossip, self.book, list(settings.seeds), self.log
        )
        self.history = TargetHistory()
        self.following = FollowDecision(self.book)
        self.sources_lost: set[str] = set()
        self.relay = Relay(
            self.gossip,
            apply_update=self.heard_from_host,
            log=self.log,
            rng=self.rng,
        )
        self.gossip.on_update = self.heard_from_host
        self.gossip.on_heartbeat = self._hint_if_behind
        self.gossip.on_objects = self.beliefs.placer.objects.learn
        self.front = self._server(settings.front, self.forwarder.handle)
        self.others = [
            self._server(address, self._answer)
            for address in dict.fromkeys(
                (
                    settings.readiness,
                    settings.lookup,
                    settings.control,
                    settings.metrics,
                )
            )
            if address and address != settings.front
        ]

    def start(self) -> None:
        """Starts all servers."""
        self.log.start()
        self.log.info(
            "process-started",
            domain=self.settings.domain,
            front=self.settings.front,
            incarnation=self.book.own.incarnation,
        )
        for server in (self.front, *self.others):
            server.start()
        self.gossip.start()
        keep_running("tick", self._tick_forever, self.log)
        keep_running("relay", self.relay.run, self.log)

    def run(self, *, on_reload: Callable[[], None] | None = None) -> None:
        """Runs until the process was told to stop and has finished."""
        stop = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, stop.set)
        gevent.signal_handler(signal.SIGINT, stop.set)
        gevent.signal_handler(signal.SIGHUP, self._reload, on_reload)
        self.start()
        stop.wait()
        self._leave()

    @property
    def positions(self) -> Positions:
        """How far into the store's history this host has heard."""
        return self.book.own.positions

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose targets get nothing."""
        return self.beliefs.fleet.evacuated

    def heard_from_store(self, update: Update) -> None:
        """Takes news of the store, and passes them on."""
        is_news = self._is_news(update)
        passed_on = self._as_passed_on(update)
        self._apply(update, "store")
        if is_news:
            self.relay.push(passed_on)

    def heard_from_host(self, update: Update, name: str) -> None:
        """Takes news that another host passed on."""
        if update.targets and self.history.misses(update.targets):
            self.relay.hint.set()
            update = update._replace(targets=None)
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
            self.gossip.change(store=FOLLOWING)

    def registry_returned(self, *, away_s: float) -> None:
        """Notes that the targets' records can be read again."""
        fleet = self.beliefs.fleet
        fleet.registry_returned(away_s=away_s, now=clock.steady())

    def _server(self, address: str, handler) -> HttpServer:
        host, _, port = address.rpartition(":")
        return HttpServer((host, int(port)), handler, self.log)

    def _hint_if_behind(self, peer: HostState) -> None:
        if is_ahead(peer.positions, self.positions):
            self.relay.hint.set()

    def _changed(self, changes: list[TargetChange], source: str) -> None:
        for change in changes:
            if change.event in ("gone", "restarted"):
                self.beliefs.forget_target(change.target_id)
                self.forwarder.pool.drop(change.target_id)
            self.log.info(
                f"target-{change.event}",
                target=change.target_id,
                position=self.positions.targets,
                source=source,
            )

    def _as_passed_on(self, update: Update) -> Update:
        """Returns an update as it joins what other hosts have heard."""
        targets = update.targets
        if targets is None:
            return update
        away_s = self.beliefs.fleet.recent_absence_s(now=clock.steady())
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
        self.beliefs.placer.objects.learn(update.objects)
        self._update_readiness()

    def _apply_operators(self, update: OperatorsUpdate, source: str) -> None:
        known = self.positions
        if update.configuration is not None:
            self._configure(update.configuration, source)
        if update.after < known.operators:
            return
        if self.beliefs.fleet.evacuate(update.evacuated, now=clock.steady()):
            self.log.info(
                "evacuations-changed",
                domains=",".join(sorted(update.evacuated)),
                position=update.after,
                source=source,
            )
        self.gossip.advance(known._replace(operators=update.after))

    def _configure(self, configuration: Configuration, source: str) -> None:
        before = self.beliefs.version
        if not self.beliefs.configure(configuration):
            return
        self.front.limits = configuration.limits
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
        fleet = self.beliefs.fleet
        if update.away_s:
            fleet.registry_returned(away_s=update.away_s, now=now)
        if update.is_whole:
            records = [c.record for c in update.changes if c.record]
            changes = fleet.replace_all(records, now=now)
        else:
            changes = [_apply_change(fleet, c, now) for c in update.changes]
        self.history.apply(update)
        self.gossip.advance(self.positions._replace(targets=update.after))
        self._changed([c for c in changes if c is not None], source)

    def _update_since(self, positions: Positions) -> Update:
        """Returns what a host that has heard so far is missing."""
        own = self.positions
        operators = None
        if own.operators > positions.operators:
            operators = OperatorsUpdate(
                own.operators, self.beliefs.configuration, self.evacuated
            )
        targets = None
        if own.targets > positions.targets:
            away_s = self.beliefs.fleet.recent_absence_s(now=clock.steady())
            targets = self.history.since(positions.targets)
            targets = targets._replace(away_s=away_s)
        objects = ()
        if positions.targets == NOTHING_KNOWN:
            objects = tuple(self.beliefs.placer.objects.all())
        return Update(operators, targets, objects)

    def _update_readiness(self) -> None:
        is_ready = (
            not self.is_leaving
            and self.beliefs.configuration is not None
            and self.beliefs.fleet.has_loaded
        )
        if is_ready != self.book.own.is_ready:
            self.log.info("readiness-changed", ready=is_ready)
        self.gossip.change(is_ready=is_ready)

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            expired = self.beliefs.fleet.expire(now=clock.steady())
            self._changed(expired, "expiry")
            self.beliefs.set_hosts(self.book.names())
            self.beliefs.placer.objects.refresh()
            self.gossip.send_objects(self.beliefs.placer.objects.take_news())
            self.forwarder.pool.expire()

    def _answer(self, exchange: Exchange) -> None:
        """Answers look-ups, and questions about readiness and metrics."""
        path = exchange.head.path
        lookup = self.contract.lookup(path)
        if lookup is not None:
            addresses = entry_hosts(
                self.book.live(now=clock.steady()),
                region=lookup.region,
                limit=MAX_LOOKUP_ADDRESSES,
            )
            ttl_s = min(LOOKUP_TTL_S, self.settings.max_lookup_ttl_s)
            body = self.contract.lookup_answer(addresses, ttl_s=ttl_s)
            exchange.respond(OK, JSON_HEADERS, body)
        elif self.contract.is_readiness(path):
            is_ready = self.book.own.is_ready
            exchange.respond(OK if is_ready else UNAVAILABLE, [], b"")
        elif (positions := asked_positions(path)) is not None:
            plain = to_plain(self._update_since(positions))
            exchange.respond(OK, CBOR_HEADERS, cbor2.dumps(plain))
        elif path.startswith(METRICS_PATH):
            body = self.metrics.text(self._gauges()).encode()
            exchange.respond(OK, TEXT_HEADERS, body)
        else:
            exchange.respond(NOT_FOUND, [], b"")

    def _gauges(self) -> dict[str, float]:
        return {
            "configuration_version": self.beliefs.version,
            "targets": len(self.beliefs.fleet.targets),
            "hosts": len(self.book.live(now=clock.steady())),
            "requests_under_way": len(self.front.under_way),
            "caller_connections": len(self.front.connections),
        }

    def _reload(self, on_reload: Callable[[], None] | None) -> None:
        self.log.info("reload-ordered")
        if on_reload is not None:
            on_reload()

    def _leave(self) -> None:
        """Stops: no request that has arrived is cut."""
        began = clock.steady()
        self.is_leaving = True
        self.front.is_leaving = True
        self.log.info("stop-ordered", under_way=len(self.front.under_way))
        self._update_readiness()
        end = began + self.settings.grace_s - STOP_MARGIN_S
        while clock.steady() < end:
            lingered = clock.steady() - began > STOP_LINGER_S
            if lingered and not self.front.under_way:
                break
            gevent.sleep(0.05)
        self.front.stop_accepting()
        self.front.close_idle()
        while self.front.under_way and clock.steady() < end:
            gevent.sleep(0.02)
        self.log.info(
            "process-stopped",
            under_way=len(self.front.under_way),
            took_s=clock.steady() - began,
        )
        self.log.flush()


def _own_state(settings: GatewaySettings) -> HostState:
    return HostState(
        name=settings.name,
        incarnation=int(clock.wall() * 1000),
        sequence=0,
        front=settings.front,
        gossip=settings.gossip,
        control=settings.control,
        domain=settings.domain,
        region=settings.region,
        is_ready=False,
        capacity=settings.capacity,
    )


def _apply_change(
    fleet: Fleet, change: RecordChange, now: float
) -> TargetChange | None:
    if change.record is None:
        return fleet.remove(change.target_id, now=now)
    return fleet.put(change.record, now=now)
