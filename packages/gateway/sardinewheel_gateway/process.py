"""The gateway process: joins decisions, sockets and signals."""

import random
import signal
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import cbor2
import gevent
import gevent.event

from sardinewheel_gateway import clock
from sardinewheel_gateway.contract import Contract
from sardinewheel_gateway.exchange import Exchange
from sardinewheel_gateway.forwarder import Forwarder
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.http_server import HttpServer
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.metrics import Metrics
from sardinewheel_gateway.news import News
from sardinewheel_gateway.policy.hosts import (
    HostState,
    HostTable,
    entry_hosts,
)
from sardinewheel_gateway.policy.routing_state import Bounds, RoutingState
from sardinewheel_gateway.policy.updates import Positions, to_plain
from sardinewheel_gateway.relay import asked_positions
from sardinewheel_gateway.sources import Source
from sardinewheel_gateway.supervision import keep_running

TICK_S = 0.25
LOOKUP_TTL_S = 2.0
MAX_LOOKUP_ADDRESSES = 64
STOP_LINGER_S = 2.5
STOP_MARGIN_S = 0.8
KEEP_TOLD_S = 0.3
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
        silence_s: Seconds within which a silent store must be noticed.
        bounds: Bounds over all hosts together.
        capacity: Size of the host, for duties that go to the largest.
        log_level: Least severe level that is logged.
        announced_ip: Address under which other hosts reach ``gossip`` and
            ``control``, if a relay stands between; empty if none does.
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
    silence_s: float
    bounds: Bounds
    capacity: int = 0
    log_level: str = "info"
    announced_ip: str = ""


class Told(NamedTuple):
    """An encoded update, kept while others ask for the same.

    Attributes:
        key: From which position it leads to which one.
        made_at: When it was made, on the steady clock.
        body: The update.
    """

    key: tuple[Positions, Positions]
    made_at: float
    body: bytes

    def is_stale(self, key: tuple[Positions, Positions], now: float) -> bool:
        """Says whether another one must be made."""
        return self.key != key or now - self.made_at > KEEP_TOLD_S


class Gateway:
    """A gateway process.

    Attributes:
        settings: Its settings.
        contract: Reads and writes the platform's headers.
        source: Where operators and targets write to.
        routing_state: What it decides with.
        news: What it has heard of operators and targets.
        is_leaving: Whether it was told to stop.
        told: The last update that another host asked for.
    """

    def __init__(
        self, settings: GatewaySettings, contract: Contract, source: Source
    ):
        self.settings = settings
        self.contract = contract
        self.source = source
        self.log = Log(host=settings.name, level=settings.log_level)
        self.metrics = Metrics()
        self.rng = random.Random()
        self.is_leaving = False
        self.told: Told | None = None
        self.routing_state = RoutingState(
            host=settings.name,
            bounds=settings.bounds,
            regions=settings.regions,
            rng=self.rng,
        )
        self.forwarder = Forwarder(
            routing_state=self.routing_state,
            contract=contract,
            metrics=self.metrics,
            log=self.log,
        )
        self.host_table = HostTable(_own_state(settings))
        self.gossip = Gossip(
            settings.gossip, self.host_table, list(settings.seeds), self.log
        )
        self.news = News(
            routing_state=self.routing_state,
            gossip=self.gossip,
            log=self.log,
            rng=self.rng,
            silence_s=settings.silence_s,
            on_change=self._news_applied,
            on_target_gone=self.forwarder.sender.pool.drop,
        )
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
            incarnation=self.host_table.own.incarnation,
        )
        for server in (self.front, *self.others):
            server.start()
        self.gossip.start()
        keep_running("tick", self._tick_forever, self.log)
        keep_running("relay", self.news.relay.run, self.log)
        keep_running("follow", partial(self.source.run, self.news), self.log)

    def run(self, *, on_reload: Callable[[], None] | None = None) -> None:
        """Runs until the process was told to stop and has finished."""
        stop = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, stop.set)
        gevent.signal_handler(signal.SIGINT, stop.set)
        gevent.signal_handler(signal.SIGHUP, self._reload, on_reload)
        self.start()
        stop.wait()
        self._leave()

    def _server(self, address: str, handler) -> HttpServer:
        host, _, port = address.rpartition(":")
        return HttpServer((host, int(port)), handler, self.log)

    def _news_applied(self) -> None:
        if self.routing_state.configuration is not None:
            self.front.limits = self.routing_state.configuration.limits
        self._update_readiness()

    def _update_readiness(self) -> None:
        is_ready = (
            not self.is_leaving
            and self.routing_state.configuration is not None
            and self.routing_state.target_table.has_loaded
        )
        if is_ready != self.host_table.own.is_ready:
            self.log.info("readiness-changed", ready=is_ready)
        self.gossip.change(is_ready=is_ready)

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            self.news.expire()
            self.routing_state.set_hosts(self.host_table.names())
            self.routing_state.placer.objects.rebalance()
            self.gossip.send_objects(
                self.routing_state.placer.objects.take_unsent()
            )
            self.forwarder.sender.pool.expire()

    def _answer(self, exchange: Exchange) -> None:
        """Answers look-ups, and questions about readiness and metrics."""
        path = exchange.head.path
        lookup = self.contract.lookup(path)
        if lookup is not None:
            addresses = entry_hosts(
                self.host_table.live(now=clock.steady()),
                region=lookup.region,
                limit=MAX_LOOKUP_ADDRESSES,
            )
            ttl_s = min(LOOKUP_TTL_S, self.settings.max_lookup_ttl_s)
            body = self.contract.lookup_answer(addresses, ttl_s=ttl_s)
            exchange.respond(OK, JSON_HEADERS, body)
        elif self.contract.is_readiness(path):
            is_ready = self.host_table.own.is_ready
            exchange.respond(OK if is_ready else UNAVAILABLE, [], b"")
        elif (positions := asked_positions(path)) is not None:
            body = self._update_since(positions)
            exchange.respond(OK, CBOR_HEADERS, body)
        elif path.startswith(METRICS_PATH):
            body = self.metrics.text(self._gauges(), self.log.events)
            exchange.respond(OK, TEXT_HEADERS, body)
        else:
            exchange.respond(NOT_FOUND, [], b"")

    def _update_since(self, positions: Positions) -> bytes:
        """Returns what a host is missing, encoded.

        Many hosts may ask for the same: all of a region that start at once.
        """
        now = clock.steady()
        key = (positions, self.news.positions)
        if self.told is None or self.told.is_stale(key, now):
            plain = to_plain(self.news.update_since(positions))
            self.told = Told(key, now, cbor2.dumps(plain))
        return self.told.body

    def _gauges(self) -> dict[str, float]:
        return {
            "configuration_version": self.routing_state.version,
            "targets": len(self.routing_state.target_table.targets),
            "hosts": len(self.host_table.live(now=clock.steady())),
            "requests_under_way": len(self.front.under_way),
            "caller_connections": len(self.front.connections),
        }

    def _reload(self, on_reload: Callable[[], None] | None) -> None:
        self.log.info("reload-ordered")
        if on_reload is not None:
            on_reload()

    def _leave(self) -> None:
        """Stops: no request that has arrived is cut.

        New requests are taken while callers may still hold look-ups that name
        this host, and refused after that, so that those under way can end.
        """
        began = clock.steady()
        self.is_leaving = True
        self.front.is_leaving = True
        self.log.info("stop-ordered", under_way=len(self.front.under_way))
        self._update_readiness()
        end = began + self.settings.grace_s - STOP_MARGIN_S
        gevent.sleep(min(STOP_LINGER_S, self.settings.grace_s / 2))
        self.forwarder.is_stopping = True
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
        gossip=_announced(settings.gossip, settings),
        control=_announced(settings.control, settings),
        domain=settings.domain,
        region=settings.region,
        is_ready=False,
        capacity=settings.capacity,
    )


def _announced(address: str, settings: GatewaySettings) -> str:
    """Returns the address that other hosts use for one of this host."""
    if not settings.announced_ip or not address:
        return address
    return f"{settings.announced_ip}:{address.rpartition(':')[2]}"
