"""Stand-in for targets: executes requests and counts each by its id.

One process serves one target (address and slots as arguments) or many (a
JSON file as argument, see :class:`Group`).
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import NamedTuple  # noqa: E402

import falcon  # noqa: E402
import gevent  # noqa: E402
from sardinewheel_entry import headers  # noqa: E402

from sardinewheel_testing import servers  # noqa: E402
from sardinewheel_testing.execution import (  # noqa: E402
    Behaviour,
    Ending,
    LoadReport,
    Meter,
    Target,
    Work,
)

CANCELLED_STATUS = "499 Cancelled"


class Group(NamedTuple):
    """The targets of one process.

    Attributes:
        control_address: Address of ``GET /report``, over all of them.
        seed: Seed of the service times.
        targets: For each target ``name``, ``address``, ``region`` and the
            fields of :class:`~sardinewheel_testing.execution.Behaviour`.
    """

    control_address: str
    seed: int
    targets: list[dict]


class WorkSink:
    """Any path: execute a request, or cancel one with ``DELETE``."""

    def __init__(self, target: Target):
        self.target = target

    def __call__(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Executes a request, or sheds it when there is no room."""
        behaviour = self.target.behaviour
        request_id = req.get_header(headers.REQUEST_ID) or ""
        if behaviour.draining and not behaviour.plain:
            resp.set_header(headers.DRAINING, "true")
        if req.method == "DELETE" and not behaviour.plain:
            found = self.target.cancel(request_id)
            resp.status = falcon.HTTP_204 if found else falcon.HTTP_404
            return
        is_chunked = req.get_header("Transfer-Encoding") is not None
        stream = req.stream if is_chunked else req.bounded_stream
        body = stream.read()
        ending = self.target.execute(self._work(req, request_id))
        if not behaviour.plain:
            resp.set_header(headers.REQUEST_ID, request_id)
        if ending is Ending.DONE:
            resp.data = b"done " + body
        elif ending is Ending.SHED:
            resp.status = falcon.HTTP_503
            if not behaviour.plain:
                resp.set_header(headers.SHED, "true")
        elif ending is Ending.CANCELLED:
            resp.status = CANCELLED_STATUS
        else:
            resp.status = falcon.HTTP_504

    def _work(self, req: falcon.Request, request_id: str) -> Work:
        weight = req.get_header_as_int(headers.WEIGHT) or 1
        left_ms = req.get_header_as_int(headers.DEADLINE_MS)
        deadline = None
        if left_ms is not None and not self.target.behaviour.plain:
            deadline = time.monotonic() + left_ms / 1000
        kind = req.get_header(headers.KIND, default="")
        return Work(request_id, kind, weight, deadline)


class HealthResource:
    """``GET /health``."""

    def __init__(self, target: Target):
        self.target = target

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Says whether the target is healthy and whether it is leaving."""
        behaviour = self.target.behaviour
        if behaviour.plain:
            raise falcon.HTTPNotFound
        if behaviour.draining:
            resp.set_header(headers.DRAINING, "true")
        resp.media = {
            "healthy": behaviour.healthy,
            "draining": behaviour.draining,
        }


class LoadResource:
    """``GET /load``."""

    def __init__(self, target: Target):
        self.target = target

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Says what is in flight, as far as the target is truthful."""
        in_flight = self.target.reported_load()
        if self.target.behaviour.plain or in_flight is None:
            raise falcon.HTTPNotFound
        resp.media = {
            "in_flight": in_flight,
            "slots": self.target.behaviour.slots,
        }


class ExecutionsResource:
    """``GET /executions``: the counts, for tests."""

    def __init__(self, target: Target):
        self.target = target

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with the executions by request id."""
        resp.media = dict(self.target.executions)


class ControlResource:
    """``/control``: the counts and how the target behaves."""

    def __init__(self, target: Target):
        self.target = target

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with everything that was counted."""
        resp.media = self.target.report()

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Changes the named fields of the behaviour."""
        behaviour = self.target.behaviour._replace(**req.get_media())
        report = LoadReport(behaviour.load_report)
        self.target.set_behaviour(behaviour._replace(load_report=report))


class ReportResource:
    """``GET /report``: every target and region of the process."""

    def __init__(self, targets: list[Target], regions: dict[str, Meter]):
        self.targets = targets
        self.regions = regions

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with everything that was counted."""
        resp.media = {
            "targets": [t.report() for t in self.targets],
            "regions": {n: m.report() for n, m in self.regions.items()},
        }


def create_app(target: Target) -> falcon.App:
    """Returns the application of one target."""
    app = falcon.App()
    app.add_route("/executions", ExecutionsResource(target))
    app.add_route("/control", ControlResource(target))
    app.add_route("/health", HealthResource(target))
    app.add_route("/load", LoadResource(target))
    app.add_sink(WorkSink(target))
    return app


def serve_group(group: Group) -> None:
    """Serves many targets and their common report."""
    regions: dict[str, Meter] = {}
    targets = []
    for plain in group.targets:
        fields = dict(plain)
        name, address = fields.pop("name"), fields.pop("address")
        region = regions.setdefault(fields.pop("region"), Meter())
        behaviour = Behaviour(**fields)
        target = Target(name, behaviour, seed=group.seed, region=region)
        targets.append(target)
        servers.server(address, create_app(target)).start()
    app = falcon.App()
    app.add_route("/report", ReportResource(targets, regions))
    servers.server(group.control_address, app).serve_forever()


def main() -> None:
    """Serves a target on the address and with the slots given, or a group."""
    if sys.argv[1].endswith(".json"):
        text = Path(sys.argv[1]).read_text(encoding="utf-8")
        serve_group(Group(**json.loads(text)))
        return
    behaviour = Behaviour(slots=int(sys.argv[2]))
    target = Target("target", behaviour, seed=0, region=Meter())
    servers.server(sys.argv[1], create_app(target)).start()
    gevent.wait()


if __name__ == "__main__":
    main()
