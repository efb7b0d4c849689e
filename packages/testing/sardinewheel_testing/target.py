"""Stand-in for a target: executes requests and counts each by its id."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
from collections import Counter  # noqa: E402

import falcon  # noqa: E402
import gevent  # noqa: E402
from sardinewheel_entry import headers, wsgi  # noqa: E402

SERVICE_TIME_S = 0.01


class Target:
    """Executes requests in a number of slots.

    Attributes:
        slots: Requests executed at a time; more are shed.
        executions: How often each request id was executed.
    """

    def __init__(self, *, slots: int):
        self.slots = slots
        self.in_flight = 0
        self.executions: Counter[str] = Counter()


class WorkSink:
    """Any path: execute a request."""

    def __init__(self, target: Target):
        self.target = target

    def __call__(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Executes a request, or sheds it when all slots are taken."""
        if self.target.in_flight >= self.target.slots:
            resp.status = falcon.HTTP_503
            resp.set_header(headers.SHED, "true")
            return
        self.target.in_flight += 1
        request_id = req.get_header(headers.REQUEST_ID) or ""
        self.target.executions[request_id] += 1
        body = req.bounded_stream.read()
        gevent.sleep(SERVICE_TIME_S)
        self.target.in_flight -= 1
        resp.data = b"done " + body


class ExecutionsResource:
    """``GET /executions``: the counts, for tests."""

    def __init__(self, target: Target):
        self.target = target

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with the executions by request id."""
        resp.media = dict(self.target.executions)


def main() -> None:
    """Serves a target on the address and with the slots given."""
    target = Target(slots=int(sys.argv[2]))
    app = falcon.App()
    app.add_route("/executions", ExecutionsResource(target))
    app.add_sink(WorkSink(target))
    wsgi.server(sys.argv[1], app).serve_forever()


if __name__ == "__main__":
    main()
