"""Tests of parsing and building the platform's headers."""

import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway.policy.accounts import key_digest
from sardinewheel_gateway.policy.values import MAX_SECONDS, check_identifier
from sardinewheel_platform.headers import HttpPlatformAdapter

ADAPTER = HttpPlatformAdapter()
ATTEMPT_ID = b"sardinewheel-attempt-id"
SERVER_SEAL = (b"sardinewheel-server-seal", b"3e1b.07")


def test_caller_headers_are_decoded():
    caller = ADAPTER.caller(
        [
            (ATTEMPT_ID, b"9c41"),
            (b"cookie", b"a=b; Sardinewheel-Affinity-Key=17"),
            (b"sardinewheel-time-remaining", b"3000"),
        ]
    )
    assert caller == ("9c41", 3.0, "17", b"")


@pytest.mark.parametrize("text", [b"", b"soon", b"1 2"])
def test_invalid_remaining_time_is_none(text):
    headers = [(b"sardinewheel-time-remaining", text)]
    assert ADAPTER.caller(headers).remaining_s is None


@pytest.mark.parametrize("text", [b"inf", b"1e400", b"9" * 400])
def test_an_endless_remaining_time_is_bounded(text):
    headers = [(b"sardinewheel-time-remaining", text)]
    assert ADAPTER.caller(headers).remaining_s == MAX_SECONDS


@pytest.mark.parametrize("text", [b"nan", b"-1", b"0"])
def test_a_remaining_time_without_time_is_zero(text):
    headers = [(b"sardinewheel-time-remaining", text)]
    assert ADAPTER.caller(headers).remaining_s == 0.0


@pytest.mark.parametrize(
    "key", [b"a" * 5000, b"\xed\xa0\x80", b"a\tb", b"\x80"]
)
def test_an_odd_object_key_stands_for_the_same_object_each_time(key):
    headers = [(b"cookie", b"Sardinewheel-Affinity-Key=" + key)]
    found = ADAPTER.caller(headers).object_key
    assert found == ADAPTER.caller(headers).object_key
    assert check_identifier(found, "key")


NAMES = st.sampled_from(
    [
        ATTEMPT_ID,
        b"cookie",
        b"authorization",
        b"retry-after",
        b"server-limit",
        b"server-leaving",
        b"sardinewheel-server-load",
        b"sardinewheel-not-executed",
        b"sardinewheel-time-remaining",
    ]
)


@given(st.integers(100, 999), st.lists(st.tuples(NAMES, st.binary())))
def test_any_headers_are_read(status, headers):
    caller = ADAPTER.caller(headers)
    assert caller.remaining_s is None or caller.remaining_s <= MAX_SECONDS
    info = ADAPTER.response_info(status, headers)
    assert math.isfinite(info.pause_s)
    assert info.load is None or math.isfinite(sum(info.load))
    ADAPTER.is_response_to(headers, caller.request_id)


@given(st.binary())
def test_any_path_is_a_lookup_or_none(path):
    ADAPTER.lookup(b"/resolution?" + path)


def test_remaining_time_and_target_replace_the_callers_headers():
    headers = ADAPTER.target_request_headers(
        [
            (ATTEMPT_ID, b"9c41"),
            (b"sardinewheel-time-remaining", b"3000"),
            (b"sardinewheel-target-instance", b"forged"),
        ],
        target_id="i-1",
        remaining_s=1.25,
    )
    assert headers == [
        (ATTEMPT_ID, b"9c41"),
        (b"sardinewheel-time-remaining", b"1250"),
        (b"sardinewheel-target-instance", b"i-1"),
    ]


@pytest.mark.parametrize(
    ("headers", "belongs_to_request"),
    [
        ([(ATTEMPT_ID, b"9c41"), SERVER_SEAL], True),
        ([(ATTEMPT_ID, b"other"), SERVER_SEAL], False),
        ([SERVER_SEAL], False),
        ([(b"sardinewheel-not-executed", b"1")], False),
        ([], False),
    ],
)
def test_response_is_matched_by_request_id(headers, belongs_to_request):
    assert ADAPTER.is_response_to(headers, "9c41") is belongs_to_request


@pytest.mark.parametrize(
    (
        "status",
        "headers",
        "expected_authentic",
        "expected_executed",
        "expected_other_target",
    ),
    [
        (200, [SERVER_SEAL], True, True, False),
        (200, [], False, True, False),
        (500, [SERVER_SEAL], True, True, False),
        (503, [(b"sardinewheel-not-executed", b"1")], True, False, False),
        (503, [], True, True, False),
        (421, [], True, False, True),
    ],
)
def test_response_is_classified_by_status_and_headers(
    status,
    headers,
    expected_authentic,
    expected_executed,
    expected_other_target,
):
    response_info = ADAPTER.response_info(status, headers)
    assert response_info.is_authentic is expected_authentic
    assert response_info.was_executed is expected_executed
    assert response_info.is_other_target is expected_other_target


@pytest.mark.parametrize(
    ("text", "load"),
    [
        (b"3,0,8", (3, 0, 8, 1.0)),
        (b"3,0,8,250", (3, 0, 8, 2.5)),
        (b"3,0", None),
        (b"3,0,8,250,1", None),
        (b"a,b,c", None),
        (b"3,0,8,x", None),
        (b"9" * 5000 + b",0,8", None),
        (b"3,0,9999999", None),
        (b"\xb2,0,8", None),
    ],
)
def test_reported_load_is_decoded(text, load):
    headers = [(b"sardinewheel-server-load", text)]
    assert ADAPTER.response_info(200, headers).load == load


def test_lookup_is_parsed_and_answered():
    path = b"/resolution?Name=a.example&Region=north&Zone=north-a"
    assert ADAPTER.lookup(path) == ("north", "north-a")
    assert ADAPTER.lookup(b"/readiness") is None
    body = json.loads(ADAPTER.lookup_response(["10.0.0.1:80"], ttl_s=2.0))
    assert body == {"Addresses": ["10.0.0.1:80"], "Ttl": "2000ms"}


@pytest.mark.parametrize(
    ("values", "limit_per_s"),
    [
        ([], None),
        ([b"2.7"], 2.7),
        ([b"0"], 0.0),
        ([b" 12 "], 12.0),
        ([b"3", b"3"], 3.0),
        ([b"2.6999999999999997"], 2.6999999999999997),
        ([b"4."], 4.0),
        ([b".5"], 0.5),
    ],
)
def test_announced_limit_is_decoded(values, limit_per_s):
    headers = [(ATTEMPT_ID, b"9c41")]
    headers += [(b"server-limit", value) for value in values]
    announcement = ADAPTER.response_info(200, headers).announcement
    assert announcement == (limit_per_s, False)


@pytest.mark.parametrize(
    "values",
    [
        [b""],
        [b"-1"],
        [b"many"],
        [b"nan"],
        [b"inf"],
        [b"1e3"],
        [b"."],
        [b"1" + b"." + b"0" * 400],
        [b"9" * 400],
        [b"2", b"3"],
    ],
)
def test_unreadable_limit_is_not_taken_for_no_limit(values):
    headers = [(ATTEMPT_ID, b"9c41")]
    headers += [(b"server-limit", value) for value in values]
    assert ADAPTER.response_info(200, headers).announcement is None


@pytest.mark.parametrize(
    ("values", "announcement"),
    [
        ([b"1"], (None, True)),
        ([b"0"], (None, False)),
        ([b"yes"], None),
        ([b""], None),
        ([b"0", b"1"], None),
    ],
)
def test_announced_leaving_is_decoded(values, announcement):
    headers = [(ATTEMPT_ID, b"9c41")]
    headers += [(b"server-leaving", value) for value in values]
    assert ADAPTER.response_info(200, headers).announcement == announcement


@pytest.mark.parametrize(
    ("status", "values", "pause_s"),
    [
        (503, [b"2.5"], 2.5),
        (503, [b"1.8734523452345234"], 1.8734523452345234),
        (503, [b"1", b"3"], 3.0),
        (503, [], 0.0),
        (503, [b"-1"], 0.0),
        (503, [b"soon"], 0.0),
        (503, [b"9" * 400], 0.0),
        (503, [b"999999999"], 0.0),
        (200, [b"2"], 0.0),
        (421, [b"2"], 0.0),
    ],
)
def test_pause_of_a_refusing_target_is_decoded(status, values, pause_s):
    headers = [(b"retry-after", value) for value in values]
    assert ADAPTER.response_info(status, headers).pause_s == pause_s


def test_a_response_without_the_id_of_its_request_announces_nothing():
    assert ADAPTER.response_info(200, []).announcement is None
    headers = [(b"server-limit", b"2")]
    assert ADAPTER.response_info(200, headers).announcement is None


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (b"Bearer k1", "k1"),
        (b"bearer  k1 ", "k1"),
        (b"Basic k1", None),
        (b"Bearer ", None),
        (b"k1", None),
    ],
)
def test_the_key_of_a_caller_is_read_as_its_digest(text, key):
    caller = ADAPTER.caller([(b"authorization", text)])
    assert caller.key_digest == (key_digest(key) if key else b"")


@pytest.mark.parametrize(
    ("account", "expected"),
    [
        ("cafe", [(b"sardinewheel-tenant-name", b"cafe")]),
        ("", []),
        (
            None,
            [
                (b"authorization", b"Bearer k1"),
                (b"sardinewheel-tenant-name", b"forged"),
            ],
        ),
    ],
)
def test_with_accounts_the_name_replaces_key_and_forged_name(account, expected):
    headers = ADAPTER.target_request_headers(
        [
            (b"authorization", b"Bearer k1"),
            (b"sardinewheel-tenant-name", b"forged"),
        ],
        target_id="i-1",
        remaining_s=1.0,
        account=account,
    )
    assert headers[:-2] == expected
