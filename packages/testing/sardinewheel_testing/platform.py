"""Stand-in for the platform: table service, object store and host list.

``PUT /control`` sets how it behaves, ``GET /control`` reads what it counted.
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
    """How the platform behaves.

    ``LOSE_ANSWERS``: writes take effect, then the connection breaks.
    """

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


class Behaviour(NamedTuple):
    """What ``PUT /control`` sets.

    Attributes:
        mode: How calls are answered.
        delay_s: Seconds that each call takes when slow.
        count: Calls that the mode applies to; -1 for all that follow.
        list_lag_s: Seconds by which the list of hosts is behind.
    """

    mode: Mode = Mode.UP
    delay_s: float = 0.0
    count: int = -1
    list_lag_s: float = 0.0


class Table:
    """Rows with versions, and transactions that apply at once or not."""

    def __init__(self):
        self.rows: dict[str, tuple[int, str]] = {}
        self.settled: dict[str, dict] = {}

    def row(self, key: str) -> dict:
        """Returns a row; version 0 means that it is absent."""
        version, value = self.rows.get(key, (0, ""))
        return {"key": key, "version": version, "value": value}

    def transact(self, change_id: str, checks: list, writes: list) -> dict:
        """Writes rows if the checked versions hold.

        A change id that was committed before gets its first outcome again.
        """
        if change_id in self.settled:
            return self.settled[change_id]
        wrong = [k for k, v in checks if self.row(k)["version"] != v]
        if wrong:
            return {"committed": False, "rows": [self.row(k) for k in wrong]}
        for key, value in writes:
            self.rows[key] = (self.row(key)["version"] + 1, value)
        self.settled[change_id] = {"committed": True, "rows": []}
        return self.settled[change_id]


class HostList:
    """The list of hosts, as it was some time ago."""

    def __init__(self):
        self.history: list[tuple[float, dict[str, str]]] = []

    def put(self, hosts: dict[str, str]) -> None:
        """Sets the state of every host, by name."""
        self.history.append((time.monotonic(), hosts))

    def read(self, lag_s: float) -> list[dict[str, str]]:
        """Returns the list as it was ``lag_s`` seconds ago."""
        until = time.monotonic() - lag_s
        known = [hosts for at, hosts in self.history if at <= until]
        hosts = known[-1] if known else {}
        return [{"name": n, "state": s} for n, s in sorted(hosts.items())]


class Platform:
    """The services' data, with how they behave at present.

    Attributes:
        reads: Calls that read, answered or not.
        writes: Calls that write, answered or not.
    """

    def __init__(self):
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.hosts = HostList()
        self.behaviour = Behaviour()
        self.reads = 0
        self.writes = 0

    def begin(self, req: falcon.Request, *, is_write: bool) -> bool:
        """Counts a call; says whether it is carried out."""
        if is_write:
            self.writes += 1
        else:
            self.reads += 1
        mode = self._take_mode(is_write=is_write)
        req.context.mode = mode
        if mode is Mode.SLOW:
            gevent.sleep(self.behaviour.delay_s)
        if mode is Mode.DOWN:
            servers.drop_connection(req)
        return mode is not Mode.DOWN

    def end(self, req: falcon.Request) -> None:
        """Loses the answer to a write that was carried out, if so set."""
        if req.context.mode is Mode.LOSE_ANSWERS:
            servers.drop_connection(req)

    def _take_mode(self, *, is_write: bool) -> Mode:
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
        """Answers with rows."""
        keys = req.get_media()["keys"]
        if self.platform.begin(req, is_write=False):
            resp.media = {"rows": [self.platform.table.row(k) for k in keys]}


class TransactResource:
    """``POST /v1/table/transact``."""

    def __init__(self, platform: Platform):
        self.platform = platform

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Runs a transaction."""
        plain = req.get_media()
        if self.platform.begin(req, is_write=True):
            resp.media = self.platform.table.transact(**plain)
            self.platform.end(req)


class ObjectResource:
    """``/v1/objects/{name}``."""

    def __init__(self, platform: Platform):
        self.platform = platform

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        """Answers with an object's bytes."""
        if not self.platform.begin(req, is_write=False):
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
        if self.platform.begin(req, is_write=True):
            self.platform.objects[name] = body
            self.platform.end(req)


class HostsResource:
    """``/v1/hosts``: the list that the system reads and a test writes."""

    def __init__(self, platform: Platform):
        self.platform = platform

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with the hosts as they were some time ago."""
        if self.platform.begin(req, is_write=False):
            lag_s = self.platform.behaviour.list_lag_s
            resp.media = {"hosts": self.platform.hosts.read(lag_s)}

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Sets the hosts of today: ``{"hosts": [{"name", "state"}]}``."""
        hosts = {h["name"]: h["state"] for h in req.get_media()["hosts"]}
        self.platform.hosts.put(hosts)


class ControlResource:
    """``/control``."""

    def __init__(self, platform: Platform):
        self.platform = platform

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with the behaviour and the counted calls."""
        resp.media = {
            **self.platform.behaviour._asdict(),
            "reads": self.platform.reads,
            "writes": self.platform.writes,
        }

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Sets the behaviour; what is not named takes its default."""
        behaviour = Behaviour(**req.get_media())
        self.platform.behaviour = behaviour._replace(mode=Mode(behaviour.mode))


def create_app(platform: Platform) -> falcon.App:
    """Returns the application of the platform."""
    app = falcon.App()
    app.add_route("/v1/table/read", ReadResource(platform))
    app.add_route("/v1/table/transact", TransactResource(platform))
    app.add_route("/v1/objects/{name}", ObjectResource(platform))
    app.add_route("/v1/hosts", HostsResource(platform))
    app.add_route("/control", ControlResource(platform))
    return app


def main() -> None:
    """Serves the platform on the address given as first argument."""
    servers.server(sys.argv[1], create_app(Platform())).serve_forever()


if __name__ == "__main__":
    main()
