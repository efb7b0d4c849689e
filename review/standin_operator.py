"""The operator: configurations of a small deployment."""

from typing import NamedTuple

from standin_store import Store

HOST_NAME = "ficu95.example"
ORDERS = "pedidos"
WORKSHOP = "taller"
IDLE_ROUTES = 8


class RouteKind(NamedTuple):
    """A kind of request of the deployment."""

    name: str
    service: str
    kind: str
    timeout_ms: int
    objective_ms: int
    priority: int


VIEWER = "visor"
RECEPTION = "recepcion"

ORDER_KINDS = (
    RouteKind("estado-pedido", ORDERS, "idempotent", 1200, 500, 2),
    RouteKind("confirmar-encargo", ORDERS, "non_idempotent", 1500, 600, 1),
    RouteKind("lista-corte", WORKSHOP, "idempotent", 2500, 1000, 2),
    RouteKind("entrega-cuero", WORKSHOP, "non_idempotent", 1000, 400, 2),
)
UPLOAD_KINDS = (
    RouteKind("pista-lectura", VIEWER, "idempotent", 1200, 476, 2),
    RouteKind("carga-master", RECEPTION, "upload", 4000, 717, 1),
)


def prefix_of(name: str) -> str:
    """Returns the prefix of a route."""
    return f"/{name}/"


def configuration(
    version: int,
    *,
    kinds: tuple[RouteKind, ...] = ORDER_KINDS,
    idle_routes: int = IDLE_ROUTES,
    services: dict[str, str] | None = None,
) -> dict:
    """Returns a configuration in full.

    Args:
        version: Its version.
        kinds: The kinds of request.
        idle_routes: Number of routes beside those of the deployment's kinds.
        services: Services of routes that have moved, by route.
    """
    moved = services or {}
    routes = [
        _route(kind, kind.name, moved.get(kind.name, kind.service))
        for kind in kinds
    ]
    first = kinds[0]
    routes += [
        _route(first, f"ruta-{n}", first.service) for n in range(idle_routes)
    ]
    return {
        "CfgVersion": version,
        "Routes": routes,
        "Services": [
            _service(name) for name in sorted({x.service for x in kinds})
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }


def _route(kind: RouteKind, name: str, service: str) -> dict:
    return {
        "Name": f"r-{name}",
        "Host": HOST_NAME,
        "Prefix": prefix_of(name),
        "Kind": kind.kind,
        "Timeout": f"{kind.timeout_ms}ms",
        "TargetLatency": f"{kind.objective_ms}ms",
        "Priority": kind.priority,
        "Service": service,
        "MaxAttempts": 2,
        "Sticky": True,
        "HomeRegions": [],
    }


def _service(name: str) -> dict:
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConns": 390,
        "Protocol": "h1",
        "Tls": False,
        "ColdStart": "3s",
        "ColdPerS": 2.7,
    }


class Operator:
    """Writes to the store.

    Attributes:
        version: Version of the newest configuration.
        kinds: The kinds of request in it.
        idle_routes: Routes in it beside those of the deployment's kinds.
    """

    def __init__(
        self,
        store: Store,
        *,
        kinds: tuple[RouteKind, ...] = ORDER_KINDS,
        idle_routes: int = IDLE_ROUTES,
    ):
        self.store = store
        self.kinds = kinds
        self.idle_routes = idle_routes
        self.version = 0
        self.newest: dict = {}

    def configure(
        self, step: int = 1, *, services: dict[str, str] | None = None
    ) -> int:
        """Writes a configuration; returns its version."""
        self.version += step
        self.newest = configuration(
            self.version,
            kinds=self.kinds,
            idle_routes=self.idle_routes,
            services=services,
        )
        self.store.put_json("op", "config", self.newest)
        return self.version

    def write_again(self) -> None:
        """Writes the newest configuration once more."""
        self.store.put_json("op", "config", self.newest)

    def evacuate(self, zone: str) -> None:
        """Asks that nothing more be sent to the workers of a zone."""
        self.store.put_json("op", f"evacuate/{zone}", {})
