"""The gateway process: connects routing decisions, sockets and signals."""

import random
import signal
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import cbor2
import gevent
import gevent.event

from sardinewheel_gateway import clock, crash_operations, explain_operations
from sardinewheel_gateway.account_limit_exchange import AccountLimitExchange
from sardinewheel_gateway.announcement_exchange import AnnouncementExchange
from sardinewheel_gateway.crash_exchange import CrashExchange
from sardinewheel_gateway.exchange import Exchange
from sardinewheel_gateway.forwarder import Forwarder
from sardinewheel_gateway.gateway_settings import (
    GatewaySettings,
    first_own_state,
)
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.http_server import HttpServer
from sardinewheel_gateway.limit_permits import LimitPermits
from sardinewheel_gateway.load_exchange import LoadExchange
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.metrics import Metrics
from sardinewheel_gateway.platform_adapter import PlatformAdapter
from sardinewheel_gateway.policy.entry_hosts import entry_hosts
from sardinewheel_gateway.policy.grace_period import GracePeriod
from sardinewheel_gateway.policy.hosts import HostState, HostTable
from sardinewheel_gateway.policy.peer_choice import PeerChoice
from sardinewheel_gateway.policy.reachability import PathChange
from sardinewheel_gateway.policy.routing_state import RoutingState
from sardinewheel_gateway.policy.updates import Positions, to_plain
from sardinewheel_gateway.policy.values import is_address
from sardinewheel_gateway.relay import requested_positions
from sardinewheel_gateway.store_sync import StoreSync
from sardinewheel_gateway.supervision import keep_running
from sardinewheel_gateway.update_source import UpdateSource

TICK_S = 0.25
LOOKUP_TTL_S = 2.0
MAX_LOOKUP_ADDRESSES = 64
STOP_ACCEPT_S = 2.5
STOP_MARGIN_S = 0.8
# Time in which the last responses are sent.
LAST_RESPONSES_S = 0.2
STOP_CHECK_S = 0.02
# Longer than other hosts keep idle connections.
PEER_IDLE_TIMEOUT_S = 15.0
UPDATE_CACHE_TTL_S = 0.3
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
METRICS_PATH = b"/metrics"
CBOR_HEADERS = [(b"content-type", b"application/cbor")]
JSON_HEADERS = [(b"content-type", b"application/json")]
TEXT_HEADERS = [(b"content-type", b"text/plain; version=0.0.4")]


class CachedUpdate(NamedTuple):
    """An encoded update, cached for identical requests of other hosts.

    Attributes:
        key: Positions that the update starts from and leads to.
        made_at: Time of encoding, on the monotonic clock.
        body: The encoded update.
    """

    key: tuple[Positions, Positions]
    made_at: float
    body: bytes

    def is_stale(self, key: tuple[Positions, Positions], now: float) -> bool:
        """Returns whether the update has expired or has another key."""
        return self.key != key or now - self.made_at > UPDATE_CACHE_TTL_S


class Gateway:
    """A gateway process.

    Attributes:
        settings: Settings of the process.
        adapter: Parses and builds the platform's headers.
        source: Source of configuration and target updates.
        routing_state: State that decisions are based on.
        account_limits: Keeps the rate limits of client accounts.
        announcement_exchange: Shares what targets announce.
        crash_exchange: Shares which requests crash targets.
        load_exchange: Shares the loads of targets.
        sync: Applies and forwards updates of operators and targets.
        is_shutting_down: Whether the process is shutting down.
        cached_update: Last update sent to another host.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: PlatformAdapter,
        source: UpdateSource,
    ):
        self.settings = settings
        self.adapter = adapter
        self.source = source
        self.log = Log(host=settings.name, level=settings.log_level)
        self.metrics = Metrics()
        self.rng = random.Random()
        self.is_shutting_down = False
        self.cached_update: CachedUpdate | None = None
        self.routing_state = RoutingState(
            host=settings.name,
            domain=settings.domain,
            bounds=settings.bounds,
            regions=settings.regions,
            rng=self.rng,
        )
        self.host_table = HostTable(first_own_state(settings))
        self.gossip = Gossip(
            settings.gossip, self.host_table, list(settings.seeds), self.log
        )
        self.account_limits = AccountLimitExchange(
            routing_state=self.routing_state,
            gossip=self.gossip,
            regions=settings.regions,
            metrics=self.metrics,
            log=self.log,
            rng=self.rng,
            bound=settings.bounds.accounts,
        )
        self.forwarder = Forwarder(
            routing_state=self.routing_state,
            permits=LimitPermits(self.routing_state, self.gossip),
            account_limits=self.account_limits,
            adapter=adapter,
            peer_choice=PeerChoice(self.host_table, self.rng),
            metrics=self.metrics,
            log=self.log,
        )
        self.forwarder.path_monitor.on_change = self._handle_path_change
        self.announcement_exchange = AnnouncementExchange(
            routing_state=self.routing_state,
            gossip=self.gossip,
            log=self.log,
            rng=self.rng,
        )
        self.forwarder.sender.on_announcement = (
            self.announcement_exchange.record
        )
        self.crash_exchange = CrashExchange(
            self.routing_state.crash_suspects,
            self.gossip,
            log=self.log,
            rng=self.rng,
        )
        sender = self.forwarder.sender
        sender.end_monitor.on_loss = self.crash_exchange.record_loss
        sender.on_completion = self.crash_exchange.record_completion
        self.crash_exchange.on_refused = sender.give_up_requests
        self.crash_exchange.on_synced = self._update_readiness
        self.load_exchange = LoadExchange(self.routing_state, self.gossip)
        self.sync = StoreSync(
            routing_state=self.routing_state,
            gossip=self.gossip,
            log=self.log,
            rng=self.rng,
            store_silence_timeout_s=settings.store_silence_timeout_s,
            on_update_applied=self._handle_update_applied,
            on_target_gone=sender.forget_target,
        )
        self.front = self._server(settings.front, self.forwarder.handle)
        self.peer_server = self._server(
            settings.gossip, self.forwarder.handle_peer
        )
        self.internal_servers = [
            self._server(address, self._handle_internal)
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
        """Starts all servers and background tasks."""
        self.log.start()
        self.log.info(
            "process-started",
            domain=self.settings.domain,
            front=self.settings.front,
            incarnation=self.host_table.own.incarnation,
        )
        for server in (
            self.front,
            self.peer_server,
            *self.internal_servers,
        ):
            server.start()
        self.gossip.start()
        keep_running("tick", self._tick_forever, self.log)
        keep_running("announce", self.announcement_exchange.run, self.log)
        keep_running("crashes", self.crash_exchange.run, self.log)
        keep_running("loads", self.load_exchange.run, self.log)
        keep_running("relay", self.sync.relay.run, self.log)
        path_monitor = self.forwarder.path_monitor
        keep_running("path", path_monitor.run, self.log)
        keep_running("follow", partial(self.source.run, self.sync), self.log)

    def run(self, *, on_reload: Callable[[], None] | None = None) -> None:
        """Runs until a stop signal arrives and the shutdown is complete."""
        stop = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, stop.set)
        gevent.signal_handler(signal.SIGINT, stop.set)
        gevent.signal_handler(signal.SIGHUP, self._reload, on_reload)
        self.start()
        stop.wait()
        self._shut_down()

    def _server(self, address: str, handler) -> HttpServer:
        host, _, port = address.rpartition(":")
        return HttpServer((host, int(port)), handler, self.log)

    def _handle_update_applied(self) -> None:
        if self.routing_state.configuration is not None:
            limits = self.routing_state.configuration.limits
            self.front.limits = limits
            self.peer_server.limits = limits._replace(
                idle_timeout_s=PEER_IDLE_TIMEOUT_S
            )
        self._update_readiness()

    def _handle_path_change(self, change: PathChange) -> None:
        """Tells other hosts, and forgets what the lost path made of targets."""
        if not change.is_lost:
            self.routing_state.loads.forget_failures()
        self.gossip.update_own_state(reaches_targets=not change.is_lost)

    def _update_readiness(self) -> None:
        is_ready = (
            not self.is_shutting_down
            and self.routing_state.configuration is not None
            and self.routing_state.target_table.has_loaded
            and self.crash_exchange.is_synced
        )
        if is_ready != self.host_table.own.is_ready:
            self.log.info("readiness-changed", ready=is_ready)
        self.gossip.update_own_state(is_ready=is_ready)

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            self.sync.expire()
            self.routing_state.set_hosts(self.host_table.names())
            now = clock.steady()
            self.routing_state.limit_admission.set_hosts(
                self.host_table.ready_by_domain(now=now), now=now
            )
            self.account_limits.tick()
            self.routing_state.placer.objects.rebalance()
            self.gossip.send_objects(
                self.routing_state.placer.objects.take_unsent()
            )
            self.forwarder.sender.pool.expire()
            self.forwarder.peer_sender.pool.expire()
            self.forwarder.peer_sender.choice.expire(now=now)

    def _handle_internal(self, exchange: Exchange) -> None:
        """Handles all requests but those that are meant for targets."""
        path = exchange.head.path
        lookup = self.adapter.lookup(path)
        if lookup is not None:
            addresses = entry_hosts(
                self._reachable_hosts(),
                region=lookup.region,
                limit=MAX_LOOKUP_ADDRESSES,
            )
            ttl_s = min(LOOKUP_TTL_S, self.settings.max_lookup_ttl_s)
            body = self.adapter.lookup_response(addresses, ttl_s=ttl_s)
            exchange.respond(OK, JSON_HEADERS, body)
        elif self.adapter.is_readiness(path):
            is_ready = self.host_table.own.is_ready
            exchange.respond(OK if is_ready else UNAVAILABLE, [], b"")
        elif (positions := requested_positions(path)) is not None:
            body = self._update_since(positions)
            exchange.respond(OK, CBOR_HEADERS, body)
        elif crash_operations.is_crash_operation(path):
            crash_operations.handle(exchange, self.crash_exchange)
        elif explain_operations.is_explain_operation(path):
            explain_operations.handle(exchange, self.routing_state)
        elif path.startswith(METRICS_PATH):
            body = self.metrics.text(
                self._gauges(), self.log.events, self._known_hosts()
            )
            exchange.respond(OK, TEXT_HEADERS, body)
        else:
            exchange.respond(NOT_FOUND, [], b"")

    def _reachable_hosts(self) -> list[HostState]:
        """Returns the live hosts whose address callers can connect to."""
        live = self.host_table.live(now=clock.steady())
        return [host for host in live if is_address(host.front)]

    def _update_since(self, positions: Positions) -> bytes:
        """Returns the encoded update for a host at the given positions.

        It is cached, since many hosts may request the same update, such as
        all hosts of a region that start at once.
        """
        now = clock.steady()
        key = (positions, self.sync.positions)
        if self.cached_update is None or self.cached_update.is_stale(key, now):
            plain = to_plain(self.sync.update_since(positions))
            self.cached_update = CachedUpdate(key, now, cbor2.dumps(plain))
        return self.cached_update.body

    def _gauges(self) -> dict[str, float]:
        return {
            "configuration_version": self.routing_state.version,
            "targets": len(self.routing_state.target_table.targets),
            "reaches_targets": float(
                not self.forwarder.path_monitor.reachability.is_lost
            ),
            "limited_targets": len(self.routing_state.announcements.limits),
            "suspected_requests": len(self.routing_state.crash_suspects.runs),
            "crashing_requests": len(self.routing_state.crash_suspects.refused),
            "updates_behind_seconds": self.sync.relay.behind_s(),
            "hosts": len(self.host_table.live(now=clock.steady())),
            "requests_under_way": self._requests_under_way(),
            "peer_requests": self.forwarder.peer_requests,
            "caller_connections": len(self.front.connections),
        }

    def _requests_under_way(self) -> int:
        return len(self.front.in_progress) + len(self.peer_server.in_progress)

    def _known_hosts(self) -> dict[str, int]:
        """Returns the number of live hosts by region."""
        live = self.host_table.live(now=clock.steady())
        return dict(Counter(host.region for host in live))

    def _reload(self, on_reload: Callable[[], None] | None) -> None:
        self.log.info("reload-ordered")
        if on_reload is not None:
            on_reload()

    def _shut_down(self) -> None:
        """Shuts down without cancelling requests that have arrived.

        New requests are accepted while callers may still have look-ups cached
        that name this host, if they can end in time, and refused after that,
        so that the requests in progress can complete.
        """
        began = clock.steady()
        self.is_shutting_down = True
        servers = (self.front, self.peer_server)
        for server in servers:
            server.is_shutting_down = True
        self.log.info("stop-ordered", under_way=self._requests_under_way())
        self._update_readiness()
        end = began + self.settings.grace_s - STOP_MARGIN_S
        accept_s = min(STOP_ACCEPT_S, self.settings.grace_s / 2)
        grace_period = GracePeriod(began + accept_s, end - LAST_RESPONSES_S)
        self.forwarder.start_grace_period(grace_period)
        gevent.sleep(accept_s)
        self.forwarder.refuse_new_requests()
        for server in servers:
            server.stop_accepting()
            server.close_idle()
        while self._requests_under_way() and (now := clock.steady()) < end:
            if now >= grace_period.ends_at:
                for server in servers:
                    server.give_up_bodies()
            gevent.sleep(STOP_CHECK_S)
        self.log.info(
            "process-stopped",
            under_way=self._requests_under_way(),
            took_s=clock.steady() - began,
        )
        self.log.flush()
