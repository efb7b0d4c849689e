"""Stand-in for the platform: table service, object store and host list.

``PUT /control`` sets its behaviour, ``GET /control`` returns its counters.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import time  # noqa: E402
from enum import StrEnum  # noqa: E402
from typing import NamedTuple  # noqa: E402

import falcon  # noqa: E402
import gevent  # noqa: E402

from sardinewheel_testing import servers  # noqa: E402


class Mode(StrEnum):
    """How the platform handles calls.

    ``UP``: answers calls.
    ``DOWN``: drops the connection without carrying out the call.
    ``SLOW``: answers calls after a delay.
    ``LOSE_ANSWERS``: carries out writes, then drops the connection.
    """

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


class Behaviour(NamedTuple):
    """Behaviour of the platform, set by ``PUT /control``.

    Attributes:
        mode: How calls are handled.
        delay_s: Delay of each call in mode ``SLOW``, in seconds.
        count: Number of calls that the mode applies to; -1 for no limit.
        list_lag_s: Age of the host list that is served, in seconds.
    """

    mode: Mode = Mode.UP
    delay_s: float = 0.0
    count: int = -1
    list_lag_s: float = 0.0


class Table:
    """Versioned rows with atomic transactions."""

    def __init__(self):
        self.rows: dict[str, tuple[int, str]] = {}
        self.transactions: dict[str, dict] = {}

    def row(self, key: str) -> dict:
        """Returns a row; version 0 means that it does not exist."""
        version, value = self.rows.get(key, (0, ""))
        return {"key": key, "version": version, "value": value}

    def transact(self, change_id: str, checks: list, writes: list) -> dict:
        """Writes rows if all checked versions match.

        Idempotent: for a change id that was committed before, the first
        result is returned again.
        """
        if change_id in self.transactions:
            return self.transactions[change_id]
        mismatched = [k for k, v in checks if self.row(k)["version"] != v]
        if mismatched:
            return {
                "committed": False,
                "rows": [self.row(k) for k in mismatched],
            }
        for key, value in writes:
            self.rows[key] = (self.row(key)["version"] + 1, value)
        self.transactions[change_id] = {"committed": True, "rows": []}
        return self.transactions[change_id]


class HostList:
    """The list of hosts with its history, to serve it with a lag."""

    def __init__(self):
        self.history: list[tuple[float, dict[str, str]]] = []

    def put(self, hosts: dict[str, str]) -> None:
        """Replaces the list with the given states by host name."""
        self.history.append((time.monotonic(), hosts))

    def read(self, lag_s: float) -> list[dict[str, str]]:
        """Returns the list as it was ``lag_s`` seconds ago."""
        as_of = time.monotonic() - lag_s
        versions = [hosts for at, hosts in self.history if at <= as_of]
        hosts = versions[-1] if versions else {}
        return [{"name": n, "state": s} for n, s in sorted(hosts.items())]


class Platform:
    """Data, behaviour and counters of the platform's services.

    Attributes:
        reads: Number of read calls, answered or not.
        writes: Number of write calls, answered or not.
    """

    def __init__(self):
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.hosts = HostList()
        self.behaviour = Behaviour()
        self.reads = 0
        self.writes = 0

    def begin_call(self, req: falcon.Request, *, is_write: bool) -> bool:
        """Counts a call, applies the mode and returns whether to proceed."""
        if is_write:
            self.writes += 1
        else:
            self.reads += 1
        mode = self._next_mode(is_write=is_write)
        req.context.mode = mode
        if mode is Mode.SLOW:
            gevent.sleep(self.behaviour.delay_s)
        if mode is Mode.DOWN:
            servers.drop_connection(req)
        return mode is not Mode.DOWN

    def end_call(self, req: falcon.Request) -> None:
        """Drops the connection of a completed write in ``LOSE_ANSWERS``."""
        if req.context.mode is Mode.LOSE_ANSWERS:
            servers.drop_connection(req)

    def _next_mode(self, *, is_write: bool) -> Mode:
        mode, count = self.behaviour.mode, self.behaviour.count
        if mode is Mode.LOSE_ANSWERS and not is_write:
            return Mode.UP
        if count == 0:
            return Mode.UP
        if count > 0:
            self.behaviour = self.behaviour._replace(count=count - 1)
        return mode


class ReadResource:
    """``POST /v1/table/read``."""

    def __init__(self, platform: Platform):
        self.platform = platform

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the rows of the given keys."""
        keys = req.get_media()["keys"]
        if self.platform.begin_call(req, is_write=False):
            resp.media = {"rows": [self.platform.table.row(k) for k in keys]}


class TransactResource:
    """``POST /v1/table/transact``."""

    def __init__(self, platform: Platform):
        self.platform = platform

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Runs a transaction."""
        fields = req.get_media()
        if self.platform.begin_call(req, is_write=True):
            resp.media = self.platform.table.transact(**fields)
            self.platform.end_call(req)


class ObjectResource:
    """``/v1/objects/{name}``."""

    def __init__(self, platform: Platform):
        self.platform = platform

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        """Returns the bytes of an object."""
        if not self.platform.begin_call(req, is_write=False):
            return
        if name not in self.platform.objects:
            raise falcon.HTTPNotFound
        resp.content_type = "application/octet-stream"
        resp.data = self.platform.objects[name]

    def on_put(
        self, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        """Creates or replaces an object."""
        body = req.bounded_stream.read()
        if self.platform.begin_call(req, is_write=True):
            self.platform.objects[name] = body
            self.platform.end_call(req)


class HostsResource:
    """``/v1/hosts``: host list, read by the system and set by tests."""

    def __init__(self, platform: Platform):
        self.platform = platform

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the host list, ``list_lag_s`` seconds old."""
        if self.platform.begin_call(req, is_write=False):
            lag_s = self.platform.behaviour.list_lag_s
            resp.media = {"hosts": self.platform.hosts.read(lag_s)}

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Replaces the host list: ``{"hosts": [{"name", "state"}]}``."""
        hosts = {h["name"]: h["state"] for h in req.get_media()["hosts"]}
        self.platform.hosts.put(hosts)


class ControlResource:
    """``/control``: behaviour and counters."""

    def __init__(self, platform: Platform):
        self.platform = platform

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the behaviour and the counters."""
        resp.media = {
            **self.platform.behaviour._asdict(),
            "reads": self.platform.reads,
            "writes": self.platform.writes,
        }

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Sets the behaviour; omitted fields are reset to their defaults."""
        behaviour = Behaviour(**req.get_media())
        self.platform.behaviour = behaviour._replace(mode=Mode(behaviour.mode))


def create_app(platform: Platform) -> falcon.App:
    """Returns the WSGI application of the platform."""
    app = falcon.App()
    app.add_route("/v1/table/read", ReadResource(platform))
    app.add_route("/v1/table/transact", TransactResource(platform))
    app.add_route("/v1/objects/{name}", ObjectResource(platform))
    app.add_route("/v1/hosts", HostsResource(platform))
    app.add_route("/control", ControlResource(platform))
    return app


def main() -> None:
    """Serves the platform on the address in the first argument."""
    servers.create_server(sys.argv[1], create_app(Platform())).serve_forever()


if __name__ == "__main__":
    main()
