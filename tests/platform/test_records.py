"""Tests of parsing the rows of the store."""

import json

import pytest
from sardinewheel_gateway.policy.accounts import key_digest
from sardinewheel_platform import records

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
    ],
)
def test_invalid_field_is_rejected(change):
    value = json.dumps(TARGET | change).encode()
    with pytest.raises(records.RecordError, match="t1"):
        records.parse_target("t1", value)


@pytest.mark.parametrize(
    "name", [k for k in TARGET if k not in ("CfgVersion", "Sequence", "born")]
)
def test_missing_field_is_rejected(name):
    document = {k: v for k, v in TARGET.items() if k != name}
    with pytest.raises(records.RecordError):
        records.parse_target("t1", json.dumps(document).encode())


@pytest.mark.parametrize("value", [b"\xff\xfe", b"", b"[]", b"7", b"{}"])
def test_invalid_target_document_is_rejected(value):
    with pytest.raises(records.RecordError):
        records.parse_target("t1", value)


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
