"""Tests of parsing the rows of the store."""

import contextlib
import json

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway.policy.accounts import key_digest
from sardinewheel_gateway.policy.targets import TargetRecord, check_record
from sardinewheel_gateway.policy.updates import (
    OperatorsUpdate,
    Update,
    from_plain,
    to_plain,
)
from sardinewheel_gateway.policy.wire import from_fields
from sardinewheel_platform import records

from tests.odd_values import ANY_VALUE

MAX_MESSAGE_CHARS = 500

TARGET = {
    "Service": "orders",
    "Address": "10.0.0.9:8080",
    "Zone": "north-a",
    "CfgVersion": "v1",
    "Slots": 3,
    "OperState": "in_service",
    "ColdLeft": "1500ms",
    "Sequence": 4,
    "born": 1_790_000_000_000,
}
CONFIGURATION = {
    "CfgVersion": 7,
    "Routes": [
        {
            "Name": "confirm",
            "Host": "Shop.example",
            "Prefix": "/confirm/",
            "Kind": "non_idempotent",
            "Timeout": "1500ms",
            "TargetLatency": "600ms",
            "Priority": 1,
            "Service": "orders",
            "MaxAttempts": 2,
            "Sticky": True,
            "HomeRegions": ["north"],
        },
        {
            "Name": "status",
            "Host": "shop.example",
            "Prefix": "/status/",
            "Kind": "idempotent",
            "TargetLatency": "0.5s",
            "Priority": 2,
            "Split": [
                {"Service": "orders", "Weight": 90},
                {"Service": "archive", "Weight": 0},
            ],
            "MaxAttempts": 1,
        },
    ],
    "Services": [
        {
            "Name": "orders",
            "HealthPath": "/health",
            "MaxConns": 390,
            "ColdStart": "3s",
            "ColdPerS": 2.7,
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    },
}


def test_target_record_is_parsed():
    record = records.parse_target("t1", json.dumps(TARGET).encode())
    assert record.target_id == "t1"
    assert record.started_ms == TARGET["born"]
    assert record.cold_left_s == 1.5
    assert not record.is_draining


@pytest.mark.parametrize(
    "change",
    [
        {"OperState": "lost"},
        {"OperState": None},
        {"Service": 7},
        {"Service": ""},
        {"Address": "nowhere"},
        {"Address": ":80"},
        {"Zone": ["north-a"]},
        {"Slots": "3"},
        {"Slots": True},
        {"Slots": 0},
        {"ColdLeft": 1500},
        {"ColdLeft": "soon"},
        {"born": "today"},
        {"born": 1.5},
        {"born": -1},
        {"born": 10**30},
        {"Service": "\ud800"},
        {"Service": "a\nb"},
        {"Service": "a" * 5000},
        {"Zone": "\ud800"},
        {"Zone": ""},
        {"Address": "\ud800:80"},
        {"Address": "a..example:80"},
        {"Address": "10.0.0.9:99999"},
        {"Address": "10.0.0.9:0"},
        {"Address": "0.0.0.0:80"},
        {"Slots": 10**400},
        {"Slots": 1e400},
        {"Slots": 3.0},
        {"ColdLeft": "infs"},
        {"ColdLeft": "nans"},
        {"ColdLeft": "-1ms"},
        {"ColdLeft": "1e300s"},
        {"OperState": []},
        {"CfgVersion": 7},
        {"CfgVersion": None},
        {"Sequence": "4"},
        {"Sequence": None},
    ],
)
def test_invalid_field_is_rejected(change):
    value = json.dumps(TARGET | change).encode()
    with pytest.raises(records.RecordError, match="t1"):
        records.parse_target("t1", value)


@pytest.mark.parametrize("name", [k for k in TARGET if k != "born"])
def test_missing_field_is_rejected(name):
    document = {k: v for k, v in TARGET.items() if k != name}
    with pytest.raises(records.RecordError):
        records.parse_target("t1", json.dumps(document).encode())


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"",
        b"[]",
        b"7",
        b"{}",
        b"[" * 60_000,
        b'{"Slots":' * 6_000,
        b"1" * 5_000,
        b"NaN",
        b"null",
    ],
)
def test_invalid_target_document_is_rejected(value):
    with pytest.raises(records.RecordError):
        records.parse_target("t1", value)


@pytest.mark.parametrize(
    "target_id", ["", "\ud800", "a,b", "a\r\nb", "a" * 201]
)
def test_an_id_that_can_not_be_sent_in_a_header_is_rejected(target_id):
    with pytest.raises(records.RecordError) as caught:
        records.parse_target(target_id, json.dumps(TARGET).encode())
    assert len(str(caught.value)) < MAX_MESSAGE_CHARS


@given(st.sampled_from(sorted(TARGET)), ANY_VALUE)
def test_a_target_with_any_value_can_be_passed_on_or_is_rejected(name, value):
    data = json.dumps(TARGET | {name: value}, default=str).encode()
    try:
        record = records.parse_target("t1", data)
    except records.RecordError as error:
        assert len(str(error)) < MAX_MESSAGE_CHARS
        return
    plain = cbor2.loads(cbor2.dumps(list(record)))
    assert check_record(from_fields(TargetRecord, plain)) == record


@given(
    st.binary() | ANY_VALUE.map(lambda x: json.dumps(x, default=str).encode())
)
def test_any_bytes_are_a_record_a_configuration_or_rejected(value):
    for parse in (
        records.parse_configuration,
        lambda data: records.parse_target("t1", data),
    ):
        with contextlib.suppress(records.RecordError):
            parse(value)


def replaced(fields, path, value):
    """Returns a copy of a document with another value at a path."""
    copy = json.loads(json.dumps(fields))
    inner = copy
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = value
    return copy


CONFIGURATION_PATHS = [
    ("CfgVersion",),
    ("Routes",),
    ("Services",),
    ("Limits",),
    *(("Limits", name) for name in ("MaxHeaderBytes", "HeaderTimeout")),
    *(("Services", 0, name) for name in ("Name", "ColdStart", "ColdPerS")),
    *(("Routes", 0, name) for name in ("Name", "Host", "Prefix", "Timeout")),
    *(("Routes", 0, name) for name in ("Priority", "MaxAttempts", "Service")),
    *(("Routes", 1, "Split", 0, name) for name in ("Service", "Weight")),
    ("Routes", 0, "HomeRegions"),
]


@given(st.sampled_from(CONFIGURATION_PATHS), ANY_VALUE)
def test_a_configuration_with_any_value_can_be_passed_on_or_is_rejected(
    path, value
):
    document = replaced(CONFIGURATION, path, value) if is_json(value) else {}
    try:
        configuration = records.parse_configuration(
            json.dumps(document).encode()
        )
    except records.RecordError as error:
        assert len(str(error)) < MAX_MESSAGE_CHARS
        return
    update = Update(OperatorsUpdate(1, configuration, frozenset()))
    plain = cbor2.loads(cbor2.dumps(to_plain(update)))
    assert from_plain(plain) == update


def is_json(value):
    try:
        json.dumps(value)
    except TypeError:
        return False
    return True


def test_configuration_is_parsed():
    value = json.dumps(CONFIGURATION).encode()
    configuration = records.parse_configuration(value)
    confirm, status = configuration.routes
    assert configuration.version == 7
    assert confirm.host == "shop.example"
    assert not confirm.is_idempotent
    assert confirm.timeout_s == 1.5
    assert confirm.home_regions == {"north"}
    assert status.timeout_s is None
    assert [share.service for share in status.shares] == ["orders"]
    assert configuration.services["orders"].cold_rate_per_s == 2.7
    assert configuration.limits.idle_timeout_s == 15.0


def test_invalid_configuration_is_rejected():
    with pytest.raises(records.RecordError):
        records.parse_configuration(b"{}")


def with_accounts(*accounts):
    return json.dumps({**CONFIGURATION, "Tenants": accounts}).encode()


def test_accounts_are_parsed_with_digests_for_keys():
    (account,) = records.parse_configuration(
        with_accounts(
            {
                "Name": "cafe",
                "Keys": ["k1", "k2"],
                "Priority": 1,
                "RatePerS": 464,
                "Burst": 464,
                "HomeRegions": ["north"],
            }
        )
    ).accounts
    digests = (key_digest("k1"), key_digest("k2"))
    assert account == ("cafe", digests, 1, 464.0, 464.0, {"north"})


def test_an_account_without_limit_or_priority_has_none():
    (account,) = records.parse_configuration(
        with_accounts({"Name": "cafe", "Keys": [], "RatePerS": 0})
    ).accounts
    assert account.priority is None
    assert not account.is_limited


@pytest.mark.parametrize(
    "accounts",
    [
        [{"Keys": ["k1"]}],
        [{"Name": ""}],
        [{"Name": "cafe", "RatePerS": -1}],
        [{"Name": "cafe", "Burst": "many"}],
        [{"Name": "cafe", "Keys": [7]}],
        [{"Name": "cafe", "Keys": ["k"]}, {"Name": "shop", "Keys": ["k"]}],
    ],
)
def test_a_configuration_with_malformed_accounts_is_rejected(accounts):
    with pytest.raises(records.RecordError, match="configuration"):
        records.parse_configuration(with_accounts(*accounts))


@pytest.mark.parametrize(
    ("kind", "is_idempotent"),
    [
        ("idempotent", True),
        ("download", True),
        ("non_idempotent", False),
        ("upload", False),
        ("unknown", False),
    ],
)
def test_downloads_may_be_repeated_and_uploads_may_not(kind, is_idempotent):
    first, *others = CONFIGURATION["Routes"]
    raw = {**CONFIGURATION, "Routes": [{**first, "Kind": kind}, *others]}
    configuration = records.parse_configuration(json.dumps(raw).encode())
    assert configuration.routes[0].is_idempotent is is_idempotent
