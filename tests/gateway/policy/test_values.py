"""Whatever another process wrote is usable in all later steps, or refused."""

import contextlib
import json
import math

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway.policy import values

from tests.odd_values import ANY_VALUE, TEXT_OF_ANY_CHARACTERS


@given(ANY_VALUE)
def test_a_text_can_be_encoded_and_logged_on_one_line(value):
    try:
        text = values.check_text(value, "x")
    except ValueError as error:
        str(error).encode()
    else:
        assert cbor2.loads(cbor2.dumps(text)) == text
        assert "\n" not in text


@given(ANY_VALUE | st.text())
def test_an_identifier_can_be_put_into_headers(value):
    try:
        text = values.check_identifier(value, "x")
    except ValueError as error:
        str(error).encode()
    else:
        assert text.encode("ascii").strip() == text.encode("ascii")
        assert "," not in text


@given(ANY_VALUE)
def test_a_number_is_finite_and_an_integer_small(value):
    for check in (values.check_number, values.check_integer):
        try:
            assert math.isfinite(float(check(value, "x")))
        except ValueError as error:
            str(error).encode()


@pytest.mark.parametrize(
    "address",
    [
        "",
        "10.0.0.1",
        ":80",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1:8.0",
        "10.0.0.1:\u0661\u0662",
        "10.0.0.1: 80",
        "0.0.0.0:80",
        "224.0.0.1:80",
        "255.255.255.255:80",
        "localhost:80",
        "a..example:80",
        "a" * 70 + ".example:80",
        "\ud800:80",
        "[::1]:80",
        7,
        None,
    ],
)
def test_an_address_that_needs_a_lookup_or_has_no_port_is_refused(address):
    with pytest.raises(ValueError, match="address"):
        values.check_address(address, "address")


@given(TEXT_OF_ANY_CHARACTERS)
def test_any_text_is_split_into_an_address_or_refused(text):
    try:
        host, port = values.split_address(text)
    except ValueError as error:
        str(error).encode("ascii", "backslashreplace")
    else:
        assert f"{host}:{port:0{len(text) - len(host) - 1}}" == text


@pytest.mark.parametrize("depth", [1, 10**5])
def test_nested_json_is_decoded_or_refused(depth):
    data = b"[" * depth + b"]" * depth
    try:
        assert json.dumps(values.decode_json(data))
    except ValueError:
        assert depth > 1


@given(st.binary())
def test_any_bytes_are_json_or_refused(data):
    with contextlib.suppress(ValueError):
        values.decode_json(data)
