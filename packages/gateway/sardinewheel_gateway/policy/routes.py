"""Configuration set by operators: routes, services and limits."""

from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy.accounts import Account, check_account
from sardinewheel_gateway.policy.values import (
    MAX_SECONDS,
    check_integer,
    check_number,
    check_text,
)


class Share(NamedTuple):
    """A service that receives a portion of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Relative weight among the shares of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Matches requests and defines how they are forwarded.

    Attributes:
        name: Name of the route.
        host: Value of the ``Host`` header, in lower case and without port.
        prefix: Path prefix; begins and ends with a slash.
        is_idempotent: Whether a request may be executed more than once.
        timeout_s: Seconds after which the caller gets a final response, or
            ``None`` if only the caller's own deadline applies.
        objective_s: Latency objective in seconds.
        priority: Priority; 0 is the highest.
        shares: Services that execute the requests.
        max_attempts: Maximum number of targets that a request is sent to.
        has_affinity: Whether targets are faster on objects that they have
            already handled.
        home_regions: Regions that may execute the requests; empty for all.
        is_open: Whether callers need no key although there are accounts.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_s: float | None
    objective_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    has_affinity: bool
    home_regions: frozenset[str]
    is_open: bool = False


class Service(NamedTuple):
    """A service and the limits of its targets.

    Attributes:
        name: Name of the service.
        max_connections: Connections that a target accepts from all hosts.
        cold_period_s: Seconds for which a target is cold after its start.
        cold_rate_per_s: Requests per second that a cold target can handle.
    """

    name: str
    max_connections: int
    cold_period_s: float
    cold_rate_per_s: float


class Limits(NamedTuple):
    """Size and time limits for requests of callers.

    Attributes:
        max_head_bytes: Maximum size of the request line and headers.
        max_body_bytes: Maximum size of a request body.
        head_timeout_s: Seconds within which the request line and headers must
            arrive.
        idle_timeout_s: Seconds after which an idle connection is closed.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """A complete configuration.

    Attributes:
        version: Version number; higher versions replace lower ones.
        routes: All routes.
        services: All services, by name.
        limits: Limits on requests of callers.
        accounts: All client accounts; without any, callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    accounts: tuple[Account, ...] = ()


def check_configuration(configuration: Configuration) -> Configuration:
    """Returns a configuration whose values can be used in all later steps.

    Raises:
        ValueError: A value is of another type, or out of its range.
    """
    check_integer(configuration.version, "version")
    for route in configuration.routes:
        _check_route(route)
    for service in configuration.services.values():
        check_text(service.name, "name of a service")
        check_integer(service.max_connections, "connections")
        _check_seconds(service.cold_period_s, "cold period")
        check_number(service.cold_rate_per_s, "cold rate")
    limits = configuration.limits
    check_integer(limits.max_head_bytes, "size of heads", minimum=1)
    check_integer(limits.max_body_bytes, "size of bodies")
    _check_seconds(limits.head_timeout_s, "timeout of heads")
    _check_seconds(limits.idle_timeout_s, "idle timeout")
    for account in configuration.accounts:
        check_account(account)
    return configuration


def _check_route(route: Route) -> None:
    check_text(route.name, "name of a route")
    for value in (route.host, route.prefix, *route.home_regions):
        check_text(value, f"text of route {route.name!r}")
    if route.timeout_s is not None:
        _check_seconds(route.timeout_s, "timeout")
    _check_seconds(route.objective_s, "latency objective")
    check_integer(route.priority, "priority")
    check_integer(route.max_attempts, "attempts", minimum=1)
    if not route.shares:
        raise ValueError(f"route {route.name!r} has no service")
    for share in route.shares:
        check_text(share.service, "service of a route")
        check_number(share.weight, "weight")


def _check_seconds(value: float, name: str) -> None:
    check_number(value, name, maximum=MAX_SECONDS)


def common_homes(route: Route, account: Account | None) -> frozenset[str]:
    """Returns the regions that may execute an account's requests on a route.

    Returns:
        Empty for all regions.

    Raises:
        ValueError: The homes of the route and of the account have no region in
            common.
    """
    if account is None or not account.home_regions:
        return route.home_regions
    if not route.home_regions:
        return account.home_regions
    common = route.home_regions & account.home_regions
    if not common:
        raise ValueError(
            f"route {route.name!r} and account {account.name!r} have no home"
            " region in common"
        )
    return common


class RouteTable:
    """Finds the route of a request by host and longest prefix.

    Examples:
        >>> table = RouteTable([])
        >>> table.find("shop.example", "/orders/1") is None
        True
    """

    def __init__(self, routes: Iterable[Route]):
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches a path.

        Args:
            host: Value of the ``Host`` header.
            path: Request path, with or without query.
        """
        prefixes = self.by_host.get(normalize_host(host))
        if prefixes is None:
            return None
        end = len(path.partition("?")[0])
        while (end := path.rfind("/", 0, end) + 1) > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None


def normalize_host(host: str) -> str:
    """Returns a host name in lower case, without its port.

    Examples:
        >>> normalize_host("Shop.Example:8080")
        'shop.example'
    """
    name, _, port = host.partition(":")
    return name.lower() if port.isdecimal() or not port else host.lower()


class SplitChooser:
    """Distributes each route's requests among its shares by weight.

    Uses smooth weighted round robin: after any number of requests, each share
    is within one request of its weight.
    """

    def __init__(self):
        self.credits: dict[tuple[str, tuple[Share, ...]], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credit = self._next_credit(route)
        chosen = max(range(len(credit)), key=credit.__getitem__)
        credit[chosen] -= sum(share.weight for share in route.shares)
        self.credits[route.name, route.shares] = credit
        return route.shares[chosen].service

    def peek(self, route: Route) -> str:
        """Returns what :meth:`choose` would, and changes nothing."""
        credit = self._next_credit(route)
        chosen = max(range(len(credit)), key=credit.__getitem__)
        return route.shares[chosen].service

    def _next_credit(self, route: Route) -> list[float]:
        """Returns the credit of each share once the next request counts."""
        key = (route.name, route.shares)
        credit = self.credits.get(key, [0.0] * len(route.shares))
        weighed = zip(credit, route.shares, strict=True)
        return [left + share.weight for left, share in weighed]

    def keep(self, routes: Iterable[Route]) -> None:
        """Drops the state of splits that are not in ``routes``."""
        keys = {(route.name, route.shares) for route in routes}
        self.credits = {k: v for k, v in self.credits.items() if k in keys}
