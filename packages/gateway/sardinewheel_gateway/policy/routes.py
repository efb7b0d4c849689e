"""What operators want in force: routes, services and limits."""

from collections.abc import Iterable
from typing import NamedTuple


class Share(NamedTuple):
    """A service that takes part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the other shares of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Which requests go where, and how they may be treated.

    Attributes:
        name: Name of the route.
        host: Value of the ``Host`` header, in lower case and without port.
        prefix: Beginning of the path; begins and ends with a slash.
        is_idempotent: Whether a request may be executed more than once.
        timeout_s: Seconds after which the caller gets a final answer, or
            nothing when only the caller's own deadline counts.
        objective_s: Seconds within which an answer is in time.
        priority: Rank; 0 is the most urgent.
        shares: Services that execute the requests.
        max_attempts: Targets that one request may be sent to.
        has_affinity: Whether targets are faster on objects they know.
        home_regions: Regions that may execute the requests; empty for all.
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


class Service(NamedTuple):
    """A service and what its targets bear.

    Attributes:
        name: Name of the service.
        max_connections: Connections that a target takes from all hosts.
        cold_period_s: Seconds for which a target is cold after its start.
        cold_rate_per_s: Requests a second that a cold target bears.
    """

    name: str
    max_connections: int
    cold_period_s: float
    cold_rate_per_s: float


class Limits(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes:
        max_head_bytes: Bytes of the request line and the headers.
        max_body_bytes: Bytes of a request's body.
        head_timeout_s: Seconds for sending the head.
        idle_timeout_s: Seconds for which a connection may stay idle.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """A whole configuration.

    Attributes:
        version: Higher versions replace lower ones.
        routes: All routes.
        services: All services, by name.
        limits: Limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits


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
        """Returns the route with the longest prefix of a path.

        Args:
            host: Value of the ``Host`` header.
            path: Path, with or without query.
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
    """Divides each route's requests among its shares, evenly over time.

    Smooth weighted round robin: after any number of requests each share is
    within one request of its weight.
    """

    def __init__(self):
        self.credits: dict[tuple[str, tuple[Share, ...]], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Returns the service that takes the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        key = (route.name, route.shares)
        credit = self.credits.setdefault(key, [0.0] * len(weights))
        for index, weight in enumerate(weights):
            credit[index] += weight
        chosen = max(range(len(weights)), key=credit.__getitem__)
        credit[chosen] -= sum(weights)
        return route.shares[chosen].service

    def keep(self, routes: Iterable[Route]) -> None:
        """Forgets the shares that are no longer in force."""
        keys = {(route.name, route.shares) for route in routes}
        self.credits = {k: v for k, v in self.credits.items() if k in keys}
