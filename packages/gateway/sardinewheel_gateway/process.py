"""The gateway process: joins decisions, sockets and signals."""

import random
import signal
from collections.abc import Callable
from typing import NamedTuple

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
from sardinewheel_gateway.policy.hosts import (
    HostBook,
    HostState,
    entry_hosts,
)
from sardinewheel_gateway.policy.routes import Configuration
from sardinewheel_gateway.policy.snapshots import Positions, Snapshot
from sardinewheel_gateway.policy.targets import TargetChange, TargetRecord
from sardinewheel_gateway.relay import SNAPSHOT_PATH, Relay, encode
from sardinewheel_gateway.supervision import keep_running

TICK_S = 0.25
RELAY_INTERVAL_S = 0.5
LOOKUP_TTL_S = 2.0
MAX_LOOKUP_ADDRESSES = 64
STOP_LINGER_S = 2.5
STOP_MARGIN_S = 0.4
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
    log_level: str = "info"


class Gateway:
    """A gateway process.

    Adapters tell it about configurations, targets and evacuations through
    :meth:`configure`, :meth:`put_targets`, :meth:`replace_targets`,
    :meth:`remove_target` and :meth:`evacuate`.

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
        self.relay = Relay(self.book, self._catch_up, self.log, self.rng)
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
        keep_running("relay", self._relay_forever, self.log)

    def run(self, *, on_reload: Callable[[], None] | None = None) -> None:
        """Runs until the process was told to stop and has finished."""
        stop = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, stop.set)
        gevent.signal_handler(signal.SIGINT, stop.set)
        gevent.signal_handler(signal.SIGHUP, self._reload, on_reload)
        self.start()
        stop.wait()
        self._leave()

    def configure(self, configuration: Configuration, *, source: str) -> None:
        """Takes a configuration."""
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
        self._update_readiness()

    def replace_targets(self, records: list[TargetRecord]) -> None:
        """Takes all targets of the registry."""
        now = clock.steady()
        self._changed(self.beliefs.fleet.replace_all(records, now=now))
        self._update_readiness()

    def put_target(self, record: TargetRecord) -> None:
        """Takes what a target says of itself."""
        change = self.beliefs.fleet.put(record, now=clock.steady())
        self._changed([change] if change else [])

    def remove_target(self, target_id: str) -> None:
        """Takes the news that a target's record is missing."""
        change = self.beliefs.fleet.remove(target_id, now=clock.steady())
        self._changed([change] if change else [])

    def heard_operators(self, position: int) -> None:
        """Notes how far into the store's history operators were heard."""
        known = self.book.own.positions
        self._advance(known._replace(operators=position))

    def heard_targets(self, position: int) -> None:
        """Notes how far into the store's history targets were heard."""
        known = self.book.own.positions
        self._advance(known._replace(targets=position))

    def source_lost(self, source: str, *, reason: str) -> None:
        """Notes that a table of the store can't be read."""
        self.relay.sources_lost.add(source)
        self.log.warning("store-lost", table=source, reason=reason)

    def source_returned(self, source: str, *, away_s: float) -> None:
        """Notes that a table of the store can be read again."""
        self.relay.sources_lost.discard(source)
        self.log.info("store-regained", table=source, away_s=away_s)

    def registry_returned(self, *, away_s: float) -> None:
        """Notes that the targets' records can be read again."""
        fleet = self.beliefs.fleet
        fleet.registry_returned(away_s=away_s, now=clock.steady())

    def evacuate(self, domains: frozenset[str]) -> None:
        """Sets the failure domains whose targets get nothing."""
        if self.beliefs.fleet.evacuate(domains, now=clock.steady()):
            self.log.info("evacuations-changed", domains=",".join(domains))

    def _server(self, address: str, handler) -> HttpServer:
        host, _, port = address.rpartition(":")
        return HttpServer((host, int(port)), handler, self.log)

    def _changed(self, changes: list[TargetChange]) -> None:
        for change in changes:
            if change.event in ("gone", "restarted"):
                self.beliefs.forget_target(change.target_id)
                self.forwarder.pool.drop(change.target_id)
            self.log.info(f"target-{change.event}", target=change.target_id)

    def _advance(self, positions: Positions) -> None:
        known = self.book.own.positions
        self.gossip.advance(
            Positions(
                max(known.operators, positions.operators),
                max(known.targets, positions.targets),
            )
        )

    def _catch_up(self, snapshot: Snapshot, peer: str) -> None:
        """Takes what another host knows of the store's content."""
        own = self.book.own.positions
        theirs = snapshot.positions
        self.log.info(
            "snapshot-applied",
            peer=peer,
            operators=theirs.operators,
            targets=theirs.targets,
            operators_before=own.operators,
            targets_before=own.targets,
        )
        if theirs.operators > own.operators:
            if snapshot.configuration is not None:
                self.configure(snapshot.configuration, source=peer)
            self.evacuate(snapshot.evacuated)
        if theirs.targets > own.targets:
            self.replace_targets(list(snapshot.records))
        self._advance(theirs)

    def _snapshot(self) -> Snapshot:
        targets = self.beliefs.fleet.targets.values()
        return Snapshot(
            positions=self.book.own.positions,
            configuration=self.beliefs.configuration,
            evacuated=self.beliefs.fleet.evacuated,
            records=tuple(target.record for target in targets),
        )

    def _relay_forever(self) -> None:
        while True:
            gevent.sleep(RELAY_INTERVAL_S)
            self.relay.step()

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
            self._changed(self.beliefs.fleet.expire(now=clock.steady()))
            self.beliefs.set_hosts(self.book.names())
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
        elif path == SNAPSHOT_PATH:
            exchange.respond(OK, CBOR_HEADERS, encode(self._snapshot()))
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
    )
