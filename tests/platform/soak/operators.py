"""Writes of operators during a soak, and when the store accepted them."""

TIMEOUT_S = 1.5
SERVICE = "orders"
ROUTE_KINDS = ("idempotent", "non_idempotent")


class Operators:
    """Writes configurations and evacuations.

    Attributes:
        version: Version of the newest configuration.
        evacuated: Time of evacuation on ``clock`` by failure domain.
    """

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.version = 0
        self.evacuated = {}
        self.configure(1)

    def configure(self, version_step):
        """Writes a configuration whose version is higher by a step."""
        self.version += version_step
        self.store.put("op", "config", configuration(self.version))

    def evacuate(self, domain):
        """Evacuates a failure domain."""
        self.store.put("op", f"evacuate/{domain}", {})
        self.evacuated[domain] = self.clock()

    def end_evacuation(self, domain):
        """Ends the evacuation of a failure domain."""
        self.evacuated.pop(domain, None)
        self.store.put("op", f"evacuate/{domain}", None)


def probe_path(version):
    """Returns the path of a route that exists in one version only."""
    return f"/only-{version}/"


def configuration(version):
    """Returns a configuration in the platform's format."""
    routes = [_route(kind, f"/{kind}/", kind) for kind in ROUTE_KINDS]
    routes.append(_route("probe", probe_path(version), ROUTE_KINDS[0]))
    service = {
        "Name": SERVICE,
        "MaxConns": 100,
        "ColdStart": "1s",
        "ColdPerS": 50,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1_000_000,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    }
    return {
        "CfgVersion": version,
        "Routes": routes,
        "Services": [service],
        "Limits": limits,
    }


def _route(name, prefix, kind):
    return {
        "Name": f"r-{name}",
        "Host": "shop.example",
        "Prefix": prefix,
        "Kind": kind,
        "Timeout": f"{int(TIMEOUT_S * 1000)}ms",
        "TargetLatency": "500ms",
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 2,
        "Sticky": True,
        "HomeRegions": [],
    }
