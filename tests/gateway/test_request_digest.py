"""Digests of requests that come again."""

import pytest
from sardinewheel_gateway.messages import RequestHead
from sardinewheel_gateway.request_digest import (
    MAX_BODY_BYTES,
    request_digest,
)


def head(**fields):
    """Returns the head of a request, with the given fields replaced."""
    values = {
        "method": b"POST",
        "path": b"/orders/7?all=1",
        "host": b"shop.example",
        "headers": [(b"x-id", b"id-1"), (b"x-remaining", b"3.0")],
        "received_at": 1.0,
    }
    return RequestHead(**values | fields)


DIGEST = request_digest(head(), "o7", b"body")


def test_a_request_that_comes_again_has_the_same_digest():
    again = head(
        headers=[(b"x-id", b"id-2"), (b"x-remaining", b"1.5")],
        received_at=9.0,
        host=b"Shop.example",
    )
    assert request_digest(again, "o7", b"body") == DIGEST


@pytest.mark.parametrize(
    "other",
    [
        (head(method=b"PUT"), "o7", b"body"),
        (head(path=b"/orders/7"), "o7", b"body"),
        (head(host=b"other.example"), "o7", b"body"),
        (head(headers=[(b"authorization", b"x")]), "o7", b"body"),
        (head(), "o8", b"body"),
        (head(), "o7", b"other"),
        (head(), "o", b"7body"),
    ],
)
def test_other_requests_have_other_digests(other):
    assert request_digest(*other) != DIGEST


def test_only_the_first_part_of_a_large_body_counts():
    start = b"x" * MAX_BODY_BYTES
    assert request_digest(head(), "", start) == request_digest(
        head(), "", start + b"y"
    )
