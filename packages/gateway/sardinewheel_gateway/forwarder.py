"""Handles callers' requests: forwards or refuses each of them."""

from sardinewheel_gateway import clock, peer_messages
from sardinewheel_gateway.account_limit_exchange import AccountLimitExchange
from sardinewheel_gateway.attempts import Sender
from sardinewheel_gateway.body_buffer import BodyBuffer
from sardinewheel_gateway.caller_request import Deadlines
from sardinewheel_gateway.connection_pool import ConnectionPool
from sardinewheel_gateway.errors import BodyTooLargeError, StoppingError
from sardinewheel_gateway.exchange import Exchange
from sardinewheel_gateway.forwarding import STOPPING, Forwarding
from sardinewheel_gateway.limit_permits import LimitPermits
from sardinewheel_gateway.metrics import Metrics, Series
from sardinewheel_gateway.path_monitor import PathMonitor
from sardinewheel_gateway.peer_forwarding import PATH_LOST
from sardinewheel_gateway.peer_messages import Origin
from sardinewheel_gateway.peer_sender import PeerSender
from sardinewheel_gateway.platform_adapter import CallerInfo, PlatformAdapter
from sardinewheel_gateway.policy.account_limits import Token
from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.grace_period import GracePeriod
from sardinewheel_gateway.policy.peer_choice import PeerChoice
from sardinewheel_gateway.policy.routes import Route, common_homes
from sardinewheel_gateway.policy.routing_state import RoutingState
from sardinewheel_gateway.responder import TOO_LARGE, UNAVAILABLE

NO_CONFIGURATION_RETRY_AFTER_S = 0.5
PEER_RETRY_AFTER_S = 0.3
# Requests of other hosts handled at the same time, each of which may take a
# buffered body and two connections.
MAX_PEER_REQUESTS = 256
NO_COMMON_HOME_RETRY_AFTER_S = 5.0
BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429


class Forwarder:
    """Forwards requests.

    Attributes:
        routing_state: Configuration in force and state of the targets.
        adapter: Parses and builds the platform's headers.
        permits: Gets permits for requests to targets that name a limit.
        account_limits: Gets tokens for requests of limited accounts.
        path_monitor: Finds out whether this host reaches targets.
        sender: Sends requests to targets.
        peer_sender: Sends requests to other hosts.
        peer_requests: Requests of other hosts under way.
        metrics: Counters and histograms.
        bodies: Bodies that are read before their requests are forwarded.
        grace_period: What is left for requests, once this host stops.
        is_refusing: Whether new requests are refused because of shutdown.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        permits: LimitPermits,
        account_limits: AccountLimitExchange,
        adapter: PlatformAdapter,
        peer_choice: PeerChoice,
        metrics: Metrics,
        log,
    ):
        self.routing_state = routing_state
        self.permits = permits
        self.account_limits = account_limits
        self.adapter = adapter
        self.metrics = metrics
        self.log = log
        self.path_monitor = PathMonitor(
            routing_state, ConnectionPool(), routing_state.rng, log
        )
        self.sender = Sender(
            routing_state, adapter, metrics, self.path_monitor, log
        )
        self.path_monitor.on_silence = self.sender.give_up_connections
        self.peer_sender = PeerSender(peer_choice)
        self.peer_requests = 0
        self.bodies = BodyBuffer()
        self.grace_period: GracePeriod | None = None
        self.is_refusing = False

    def start_grace_period(self, grace_period: GracePeriod) -> None:
        """Forwards from now on only requests that end before this host."""
        self.grace_period = grace_period

    def refuse_new_requests(self) -> None:
        """Refuses new requests, and those too late for the grace period."""
        self.is_refusing = True
        self.bodies.give_up(due_after=self.grace_period.ends_at)

    def handle(self, exchange: Exchange) -> None:
        """Handles one request of a caller."""
        caller = self.adapter.caller(exchange.head.headers)
        if self.is_refusing:
            self._refuse_stopping(exchange, caller)
            return
        route = self._route(exchange, caller)
        if route is None:
            return
        account = self.routing_state.account_table.find(caller.key_digest)
        if not self._admit_account(exchange, caller, route, account):
            return
        if account is None or not account.is_limited or exchange.origin:
            self._forward(exchange, caller, route, account)
            return
        token = self.account_limits.acquire(account)
        if not isinstance(token, Token):
            self.respond(
                exchange,
                caller,
                TOO_MANY_REQUESTS,
                "account-over-limit",
                retry_after_s=token,
                account=account.name,
            )
            return
        if not self._forward(exchange, caller, route, account):
            self.account_limits.give_back(account, token)

    def _forward(
        self,
        exchange: Exchange,
        caller: CallerInfo,
        route: Route,
        account: Account | None,
    ) -> bool:
        """Forwards a request; returns whether a target may have run it."""
        deadlines = Deadlines.from_head(exchange.head, caller, route)
        try:
            body = self.bodies.read(exchange, deadlines.response)
        except BodyTooLargeError:
            self.respond(exchange, caller, TOO_LARGE, "body-too-large")
            return False
        except StoppingError:
            self._refuse_stopping(exchange, caller)
            return False
        forwarding = Forwarding(
            self, exchange, caller, route, account, body, deadlines
        )
        forwarding.run()
        return not forwarding.was_refused

    def _refuse_stopping(self, exchange: Exchange, caller: CallerInfo) -> None:
        self.respond(
            exchange,
            caller,
            UNAVAILABLE,
            STOPPING.reason,
            retry_after_s=STOPPING.retry_after_s,
        )

    def handle_peer(self, exchange: Exchange) -> None:
        """Handles one request that another host forwards."""
        try:
            head, origin = peer_messages.parse_request(exchange.head)
        except ValueError as error:
            self.log.warning("peer-request-invalid", reason=str(error))
            exchange.respond(BAD_REQUEST, [], b"")
            return
        exchange.head = head
        exchange.origin = origin
        reason = self._peer_refusal(origin)
        if reason:
            self.respond(
                exchange,
                self.adapter.caller(head.headers),
                UNAVAILABLE,
                reason,
                retry_after_s=PEER_RETRY_AFTER_S,
            )
            return
        self.peer_requests += 1
        try:
            self.handle(exchange)
        finally:
            self.peer_requests -= 1

    def _peer_refusal(self, origin: Origin) -> str:
        """Returns why a request of another host is refused, or ``""``."""
        if origin.version > self.routing_state.version:
            return "older-configuration"
        if self.peer_requests >= MAX_PEER_REQUESTS:
            return "host-busy"
        if self.path_monitor.reachability.is_lost:
            return PATH_LOST
        return ""

    def _route(self, exchange: Exchange, caller: CallerInfo) -> Route | None:
        if self.routing_state.configuration is None:
            self.respond(
                exchange,
                caller,
                UNAVAILABLE,
                "no-configuration",
                retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
            )
            return None
        head = exchange.head
        route = self.routing_state.route(
            head.host.decode("latin-1"), head.path.decode("latin-1")
        )
        if route is None:
            self.respond(
                exchange,
                caller,
                NOT_FOUND,
                "no-route",
                authority=head.host,
                path=head.path.partition(b"?")[0],
            )
        return route

    def _admit_account(
        self,
        exchange: Exchange,
        caller: CallerInfo,
        route: Route,
        account: Account | None,
    ) -> bool:
        """Returns whether a caller may use a route; responds if not."""
        needs_key = self.routing_state.account_table and not route.is_open
        if account is None and needs_key:
            self.respond(exchange, caller, UNAUTHORIZED, "unknown-key")
            return False
        try:
            common_homes(route, account)
        except ValueError as error:
            self.log.warning("homes-contradict", reason=str(error))
            self.respond(
                exchange,
                caller,
                UNAVAILABLE,
                "no-common-home",
                retry_after_s=NO_COMMON_HOME_RETRY_AFTER_S,
            )
            return False
        return True

    def respond(
        self,
        exchange: Exchange,
        caller: CallerInfo,
        status: int,
        reason: str,
        *,
        retry_after_s: float | None = None,
        metric_reason: str | None = None,
        **fields,
    ) -> None:
        """Sends a response that this host creates.

        Args:
            exchange: The caller's request.
            caller: Metadata that the caller sent.
            status: HTTP status.
            reason: Why this host responds; logged.
            retry_after_s: Seconds after which the caller may retry.
            metric_reason: Label of the metric if ``reason`` is the text of an
                error, which takes too many values.
            **fields: Further fields of the log line.
        """
        headers = self.adapter.local_response_headers(exchange.head.headers)
        if exchange.origin is not None:
            headers = peer_messages.own_response_headers(
                headers, metric_reason or reason
            )
            fields["origin"] = exchange.origin.host
        if retry_after_s is not None:
            value = f"{retry_after_s:.2f}".encode()
            headers = [*headers, (b"retry-after", value)]
        took_s = clock.steady() - exchange.head.received_at
        series = Series("own", metric_reason or reason, str(status))
        self.metrics.observe_request(series, took_s)
        self.log.info(
            "request-refused" if status == UNAVAILABLE else "request-failed",
            request=caller.request_id,
            status=status,
            reason=reason,
            took_s=took_s,
            retry_after_s=retry_after_s or 0.0,
            config=self.routing_state.version,
            **fields,
        )
        exchange.respond(status, headers, b"")
