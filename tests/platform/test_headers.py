"""The platform's headers, in both directions."""

import json

import pytest
from sardinewheel_platform.headers import PlatformContract

CONTRACT = PlatformContract()
ID = b"sardinewheel-attempt-id"
SEAL = (b"sardinewheel-server-seal", b"3e1b.07")


def test_a_callers_words_are_decoded():
    caller = CONTRACT.caller(
        [
            (ID, b"9c41"),
            (b"cookie", b"a=b; Sardinewheel-Affinity-Key=17"),
            (b"sardinewheel-time-remaining", b"3000"),
        ]
    )
    assert caller == ("9c41", 3.0, "17")


@pytest.mark.parametrize("text", [b"", b"soon", b"1 2"])
def test_an_invalid_time_is_none(text):
    headers = [(b"sardinewheel-time-remaining", text)]
    assert CONTRACT.caller(headers).remaining_s is None


def test_what_is_left_and_the_named_target_go_along():
    headers = CONTRACT.target_request_headers(
        [
            (ID, b"9c41"),
            (b"sardinewheel-time-remaining", b"3000"),
            (b"sardinewheel-target-instance", b"forged"),
        ],
        target_id="i-1",
        remaining_s=1.25,
    )
    assert headers == [
        (ID, b"9c41"),
        (b"sardinewheel-time-remaining", b"1250"),
        (b"sardinewheel-target-instance", b"i-1"),
    ]


@pytest.mark.parametrize(
    ("headers", "is_ours"),
    [
        ([(ID, b"9c41"), SEAL], True),
        ([(ID, b"other"), SEAL], False),
        ([SEAL], False),
        ([], True),
    ],
)
def test_an_answer_is_told_by_its_id(headers, is_ours):
    assert CONTRACT.is_response_to(headers, "9c41") is is_ours


@pytest.mark.parametrize(
    ("status", "headers", "is_whole", "was_executed", "is_other"),
    [
        (200, [SEAL], True, True, False),
        (200, [], False, True, False),
        (500, [SEAL], True, True, False),
        (503, [(b"sardinewheel-not-executed", b"1")], True, False, False),
        (503, [], True, True, False),
        (421, [], True, False, True),
    ],
)
def test_what_an_answer_means(
    status, headers, is_whole, was_executed, is_other
):
    response_info = CONTRACT.response_info(status, headers)
    assert response_info.is_authentic is is_whole
    assert response_info.was_executed is was_executed
    assert response_info.is_other_target is is_other


@pytest.mark.parametrize(
    ("text", "load"),
    [(b"3,0,8", (3, 0, 8)), (b"3,0", None), (b"a,b,c", None)],
)
def test_reported_load(text, load):
    headers = [(b"sardinewheel-server-load", text)]
    assert CONTRACT.response_info(200, headers).load == load


def test_a_look_up_is_read_and_answered():
    path = b"/resolution?Name=a.example&Region=north&Zone=north-a"
    assert CONTRACT.lookup(path) == ("north", "north-a")
    assert CONTRACT.lookup(b"/readiness") is None
    answer = json.loads(CONTRACT.lookup_response(["10.0.0.1:80"], ttl_s=2.0))
    assert answer == {"Addresses": ["10.0.0.1:80"], "Ttl": "2000ms"}
