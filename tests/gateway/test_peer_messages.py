"""Headers between hosts are read, or refused as a whole."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway import peer_messages
from sardinewheel_gateway.messages import RequestHead
from sardinewheel_gateway.peer_messages import Origin

ORIGIN = Origin("host-1", 0.25, 7, ("t1", "t2"))
NAMES = [
    peer_messages.SENDER,
    peer_messages.AGE_MS,
    peer_messages.VERSION,
    peer_messages.TRIED,
    peer_messages.TARGET,
    peer_messages.REASON,
    peer_messages.RETRY_AFTER,
]
TEXTS = st.binary() | st.sampled_from(
    [b"9" * 5000, b"nan", b"inf", b"-1", b"1e400", b"\xb2", b""]
)


def head(headers):
    return RequestHead(b"GET", b"/", b"shop.example", headers, 100.0)


def test_the_origin_survives_a_round_trip():
    headers = peer_messages.request_headers([(b"x-a", b"b")], ORIGIN)
    restored, origin = peer_messages.parse_request(head(headers))
    assert origin == ORIGIN
    assert restored.headers == [(b"x-a", b"b")]
    assert restored.received_at == 99.75


@pytest.mark.parametrize("name", [peer_messages.AGE_MS, peer_messages.VERSION])
def test_a_number_too_large_is_refused(name):
    headers = dict(peer_messages.request_headers([], ORIGIN))
    headers[name] = b"9" * 4000
    with pytest.raises(ValueError, match="integer"):
        peer_messages.parse_request(head(list(headers.items())))


@given(st.dictionaries(st.sampled_from(NAMES), TEXTS))
def test_any_headers_of_a_request_are_read_or_refused(changes):
    headers = dict(peer_messages.request_headers([], ORIGIN)) | changes
    try:
        restored, _ = peer_messages.parse_request(head(list(headers.items())))
    except ValueError:
        return
    assert math.isfinite(restored.received_at)


@given(st.lists(st.tuples(st.sampled_from(NAMES), TEXTS)))
def test_any_headers_of_a_response_are_read_or_refused(headers):
    try:
        _, outcome = peer_messages.parse_response(headers)
    except ValueError:
        return
    assert 0.0 <= outcome.retry_after_s < math.inf
