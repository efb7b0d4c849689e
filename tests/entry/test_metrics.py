"""Counters and timers sent to statsd, and latency histograms by class."""

import socket

from sardinewheel_core.request import Answer, Outcome, Reason, Refusal, Request
from sardinewheel_entry.metrics import Metrics, RequestClass

REQUEST = Request("r1", "pedidos", "confirm", 5, False, 0.0)
REFUSED = Answer("r1", Outcome.NOT_RUN, refusal=Refusal(Reason.NO_ROOM))


def test_each_answer_is_counted_and_timed_by_statsd():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5.0)
        host, port = receiver.getsockname()
        metrics = Metrics.from_address(f"{host}:{port}")
        metrics.record(REQUEST, Answer("r1", Outcome.DONE, status=200), 0.25)
        lines = {receiver.recv(1024).decode() for _ in range(2)}
    assert lines == {
        "requests.pedidos.confirm.done:1|c",
        "latency.pedidos.confirm.done:250.000000|ms",
    }


def test_histograms_are_kept_by_service_kind_weight_and_outcome():
    metrics = Metrics()
    for latency_s in (0.1, 0.2, 0.3):
        metrics.record(REQUEST, REFUSED, latency_s)
    assert set(metrics.histograms) == {
        RequestClass("pedidos", "confirm", 4, "not-run")
    }
    (row,) = metrics.report()
    assert row["count"] == 3
    assert metrics.reasons == {"no-room": 3}
