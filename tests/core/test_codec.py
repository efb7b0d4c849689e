"""Plain and compact encodings, version skew and malformed input."""

import contextlib

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sardinewheel_core.change import Change, SetCap, StartDrain
from sardinewheel_core.codec import from_plain, to_compact, to_plain
from sardinewheel_core.errors import MessageError
from sardinewheel_core.intent import Drain, Intent, Subject
from sardinewheel_core.messages import (
    ChangesSent,
    Heartbeat,
    HostState,
    LoanGranted,
    Message,
    Phase,
)
from sardinewheel_core.ticket import Owner

STATE = HostState("a-1", 7, 3, "a", "h", "p", Phase.READY, 2, 0)
CHANGE = Change(
    1, "c", "ana", (SetCap("r", 4), StartDrain(Drain(Subject.TARGET, "t")))
)
DECODED_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
    | st.sampled_from(["Heartbeat", "ChangesSent", "type", "states", "SetCap"]),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(
            st.sampled_from(["type", "states", "changes", "after", "name"]),
            inner,
            max_size=5,
        )
    ),
    max_leaves=20,
)


@pytest.mark.parametrize("encode", [to_plain, to_compact])
@pytest.mark.parametrize(
    "message", [Heartbeat((STATE,)), ChangesSent((CHANGE,))]
)
def test_both_encodings_round_trip(encode, message):
    assert from_plain(encode(message), Message) == message


@pytest.mark.parametrize("encode", [to_plain, to_compact])
def test_intent_round_trips(encode):
    drain = Drain(Subject.TARGET, "t")
    intent = Intent.empty()._replace(
        version=9, drains={(Subject.TARGET, "t"): drain}
    )
    assert from_plain(encode(intent), Intent) == intent


def test_fields_of_a_newer_version_are_dropped():
    newer = [*to_compact(STATE)]
    left_out = HostState._fields[len(newer) - 1 :]
    newer += [HostState._field_defaults[name] for name in left_out]
    newer.append("new")
    assert from_plain(newer, HostState) == STATE
    assert from_plain({**to_plain(STATE), "new": 1}, HostState) == STATE


@pytest.mark.parametrize(
    "plain",
    [
        ["LoanGranted", "r", 1, 2, float("nan")],
        ["LoanGranted", "r", 1, 2, float("inf")],
        ["LoanGranted", "r", 2**70, 2, 1.0],
        ["LoanGranted", b"r", 1, 2, 1.0],
        ["LoanGranted", "r", True, 2, 1.0],
        ["LoanGranted", "r"],
        ["HostState"],
        ["Change", 1],
        [["Heartbeat"]],
        [],
        {"type": "Heartbeat", "states": [["SetCap", "r", 4]]},
        {"type": ["Heartbeat"]},
        None,
    ],
)
def test_malformed_values_raise_message_errors(plain):
    with pytest.raises(MessageError):
        from_plain(plain, Message)


def test_deep_nesting_raises_a_message_error():
    plain = []
    for _ in range(100_000):
        plain = [plain]
    for cls in (Message, Change, LoanGranted, Intent):
        with pytest.raises(MessageError):
            from_plain(plain, cls)
        with pytest.raises(MessageError):
            from_plain(["Heartbeat", plain], Message)
    while plain:
        plain = plain[0]


@settings(derandomize=True, max_examples=500, deadline=None)
@given(DECODED_VALUES)
def test_decoding_raises_only_message_errors(plain):
    for cls in (Message, Intent, Change):
        with contextlib.suppress(MessageError):
            from_plain(plain, cls)


def test_state_that_answers_for_stopped_hosts_round_trips():
    state = STATE._replace(answers_for=(Owner("quito-1", 7),))
    assert from_plain(to_compact(state), HostState) == state
    assert from_plain(to_plain(state), HostState) == state


@pytest.mark.parametrize("text", ["\ud800", "a\udfff"])
def test_text_that_no_message_can_hold_raises_a_message_error(text):
    with pytest.raises(MessageError, match="encoded"):
        from_plain({"region": text, "cap": 40}, SetCap)


@given(st.text(st.characters(exclude_categories=())))
def test_decoded_text_can_be_sent_to_other_hosts(text):
    with contextlib.suppress(MessageError):
        cbor2.dumps(to_compact(from_plain({"region": text, "cap": 1}, SetCap)))
