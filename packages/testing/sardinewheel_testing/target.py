"""Stand-in for targets: executes requests and counts executions by id.

One process serves one target (address and slots as arguments) or several (a
JSON file as argument, see :class:`TargetGroup`).
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
    ExecutionOutcome,
    LoadReport,
    Target,
    TargetRequest,
    WeightMeter,
)

CANCELLED_STATUS = "499 Cancelled"


class TargetGroup(NamedTuple):
    """Settings of a process that serves several targets.

    Attributes:
        control_address: Address that serves ``GET /report`` over all targets.
        seed: Seed of the random service times.
        targets: For each target ``name``, ``address``, ``region`` and the
            fields of :class:`~sardinewheel_testing.execution.Behaviour`.
    """

    control_address: str
    seed: int
    targets: list[dict]


class RequestSink:
    """Any other path: executes a request, or cancels one on ``DELETE``."""

    def __init__(self, target: Target):
        self.target = target

    def __call__(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Executes, sheds or cancels a request."""
        behaviour = self.target.behaviour
        request_id = req.get_header(headers.REQUEST_ID) or ""
        if behaviour.draining and not behaviour.plain:
            resp.set_header(headers.DRAINING, "true")
        if req.method == "DELETE" and not behaviour.plain:
            was_running = self.target.cancel(request_id)
            resp.status = falcon.HTTP_204 if was_running else falcon.HTTP_404
            return
        is_chunked = req.get_header("Transfer-Encoding") is not None
        stream = req.stream if is_chunked else req.bounded_stream
        body = stream.read()
        outcome = self.target.execute(self._target_request(req, request_id))
        if not behaviour.plain:
            resp.set_header(headers.REQUEST_ID, request_id)
        if outcome is ExecutionOutcome.DONE:
            resp.data = b"done " + body
        elif outcome is ExecutionOutcome.SHED:
            resp.status = falcon.HTTP_503
            if not behaviour.plain:
                resp.set_header(headers.SHED, "true")
        elif outcome is ExecutionOutcome.CANCELLED:
            resp.status = CANCELLED_STATUS
        else:
            resp.status = falcon.HTTP_504

    def _target_request(
        self, req: falcon.Request, request_id: str
    ) -> TargetRequest:
        weight = req.get_header_as_int(headers.WEIGHT) or 1
        remaining_ms = req.get_header_as_int(headers.DEADLINE_MS)
        deadline = None
        if remaining_ms is not None and not self.target.behaviour.plain:
            deadline = time.monotonic() + remaining_ms / 1000
        kind = req.get_header(headers.KIND, default="")
        return TargetRequest(request_id, kind, weight, deadline)


class HealthResource:
    """``GET /health``."""

    def __init__(self, target: Target):
        self.target = target

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Reports whether the target is healthy and whether it is draining."""
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
        """Reports the load, as set by ``Behaviour.load_report``."""
        in_flight = self.target.reported_load()
        if self.target.behaviour.plain or in_flight is None:
            raise falcon.HTTPNotFound
        resp.media = {
            "in_flight": in_flight,
            "slots": self.target.behaviour.slots,
        }


class ExecutionsResource:
    """``GET /executions``: number of executions by request id."""

    def __init__(self, target: Target):
        self.target = target

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the number of executions by request id."""
        resp.media = dict(self.target.executions)


class ControlResource:
    """``/control``: reads the counters and sets the behaviour."""

    def __init__(self, target: Target):
        self.target = target

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns all counters."""
        resp.media = self.target.report()

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Sets the given fields of the behaviour."""
        behaviour = self.target.behaviour._replace(**req.get_media())
        report = LoadReport(behaviour.load_report)
        self.target.set_behaviour(behaviour._replace(load_report=report))


class ReportResource:
    """``GET /report``: counters of every target and region of the process."""

    def __init__(self, targets: list[Target], regions: dict[str, WeightMeter]):
        self.targets = targets
        self.regions = regions

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns all counters."""
        resp.media = {
            "targets": [t.report() for t in self.targets],
            "regions": {n: m.report() for n, m in self.regions.items()},
        }


def create_app(target: Target) -> falcon.App:
    """Returns the WSGI application of one target."""
    app = falcon.App()
    app.add_route("/executions", ExecutionsResource(target))
    app.add_route("/control", ControlResource(target))
    app.add_route("/health", HealthResource(target))
    app.add_route("/load", LoadResource(target))
    app.add_sink(RequestSink(target))
    return app


def serve_group(group: TargetGroup) -> None:
    """Serves several targets and their common report."""
    regions: dict[str, WeightMeter] = {}
    targets = []
    for target_settings in group.targets:
        fields = dict(target_settings)
        name, address = fields.pop("name"), fields.pop("address")
        region = regions.setdefault(fields.pop("region"), WeightMeter())
        behaviour = Behaviour(**fields)
        target = Target(name, behaviour, seed=group.seed, region=region)
        targets.append(target)
        servers.create_server(address, create_app(target)).start()
    app = falcon.App()
    app.add_route("/report", ReportResource(targets, regions))
    servers.create_server(group.control_address, app).serve_forever()


def main() -> None:
    """Serves one target, or the group in the given JSON file."""
    if sys.argv[1].endswith(".json"):
        text = Path(sys.argv[1]).read_text(encoding="utf-8")
        serve_group(TargetGroup(**json.loads(text)))
        return
    behaviour = Behaviour(slots=int(sys.argv[2]))
    target = Target("target", behaviour, seed=0, region=WeightMeter())
    servers.create_server(sys.argv[1], create_app(target)).start()
    gevent.wait()


if __name__ == "__main__":
    main()
