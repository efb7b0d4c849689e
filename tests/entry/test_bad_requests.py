"""Property tests: arbitrary input from callers gets a typed response."""

from types import SimpleNamespace

import falcon.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from sardinewheel_core.effects import RequestArrived
from sardinewheel_core.host import EntryHost, Identity
from sardinewheel_core.request import Answer, Outcome
from sardinewheel_entry import headers
from sardinewheel_entry.api.app import create_app
from sardinewheel_entry.metrics import Metrics
from sardinewheel_entry.response_cache import ResponseCache

NAMES = [
    getattr(headers, name)
    for name in dir(headers)
    if name.isupper() and name != "DRAINING"
]
LATIN = st.text(st.characters(max_codepoint=255), max_size=300)
NUMBERS = st.integers().map(str)
VALUES = LATIN | NUMBERS | st.sampled_from(["true", "false", "²", "-", ""])


class FakeDriver:
    """Answers each request with "unknown" and records it."""

    def __init__(self):
        identity = Identity("quito-1", 1, "quito-bodega", "a:1", "a:2")
        self.host = EntryHost(identity=identity, rng=None, now=0.0)
        self.platform = SimpleNamespace(
            read=lambda effect: SimpleNamespace(rows=())
        )
        self.responses = ResponseCache()
        self.metrics = Metrics()
        self.arrived = []

    def serve(self, request, payload):
        self.arrived.append(RequestArrived(1, request))
        return Answer(request.id, Outcome.UNKNOWN), None

    def cancel(self, request_id):
        self.arrived.append(request_id)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.dictionaries(st.sampled_from(NAMES), VALUES), st.binary(max_size=20))
def test_headers_are_accepted_or_rejected(fields, body):
    driver = FakeDriver()
    client = falcon.testing.TestClient(create_app(driver))
    path = "/v1/services/pedidos/requests"
    response = client.simulate_post(path, headers=fields, body=body)
    assert response.status_code in (400, 504)
    if response.status_code == 400:
        assert response.json["findings"]
        assert not driver.arrived
    else:
        ((_, request),) = driver.arrived
        assert request.weight >= 1
        assert len(request.id) <= 200
        assert request.hops >= 0


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.text(max_size=300), st.sampled_from(["GET", "DELETE"]))
def test_outcome_query_accepts_any_id(request_id, method):
    client = falcon.testing.TestClient(create_app(FakeDriver()))
    path = "/v1/requests/" + falcon.uri.encode_value(request_id)
    response = client.simulate_request(method, path)
    assert response.status_code in (400, 404, 503, 504)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.binary(max_size=200) | st.just(b'{"lookups": [[], {}, null]}'))
def test_malformed_lookup_batches_are_rejected(body):
    client = falcon.testing.TestClient(create_app(FakeDriver()))
    json_type = {"Content-Type": "application/json"}
    response = client.simulate_post("/v1/lookups", body=body, headers=json_type)
    assert response.status_code == 400


def test_number_whose_first_digits_are_in_range_is_rejected():
    driver = FakeDriver()
    client = falcon.testing.TestClient(create_app(driver))
    weight = "0" * 99 + "1" + "9" * 20
    response = client.simulate_post(
        "/v1/services/pedidos/requests",
        headers={"Sardinewheel-Weight": weight},
    )
    assert response.status_code == 400
    assert not driver.arrived
