"""What a later build appends is left out, and the rest is read."""

import contextlib
import math
import random

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway.policy import announcements, crash_news, membership
from sardinewheel_gateway.policy.accounts import Account, key_digest
from sardinewheel_gateway.policy.announcements import Report
from sardinewheel_gateway.policy.crash_news import Completion, Loss, Refused
from sardinewheel_gateway.policy.crash_suspects import Refusal, Run, TargetStart
from sardinewheel_gateway.policy.hosts import HostTable, StoreAccess
from sardinewheel_gateway.policy.membership import MembershipProtocol
from sardinewheel_gateway.policy.routes import Share
from sardinewheel_gateway.policy.targets import TargetRecord, check_record
from sardinewheel_gateway.policy.updates import from_plain, to_plain
from sardinewheel_gateway.policy.wire import decode_cbor, from_fields

from tests.gateway.policy.test_hosts import state
from tests.gateway.policy.test_updates import UPDATE
from tests.odd_values import ANY_VALUE

LATER = "field of a later build"
ACCOUNT = Account("cafe", (key_digest("k1"),), home_regions=frozenset("n"))
(ROUTE,) = UPDATE.operators.configuration.routes
CONFIGURATION = UPDATE.operators.configuration._replace(
    routes=(ROUTE._replace(is_open=True),), accounts=(ACCOUNT,)
)
FULL_UPDATE = UPDATE._replace(
    operators=UPDATE.operators._replace(configuration=CONFIGURATION)
)
# Where a list of fields is in an update, as indices of the nested lists.
PLACES = {
    "Update": (),
    "OperatorsUpdate": (0,),
    "Configuration": (0, 1),
    "Route": (0, 1, 1, 0),
    "Share": (0, 1, 1, 0, 7, 0),
    "Service": (0, 1, 2, 0),
    "Limits": (0, 1, 3),
    "Account": (0, 1, 4, 0),
    "TargetsUpdate": (1,),
    "RecordChange": (1, 2, 0),
    "TargetRecord": (1, 2, 0, 2),
    "ObjectUse": (2, 0),
}
NEWS = [
    Loss("a" * 16, Run(TargetStart("t1", 5), 97.0, 98.0)),
    Completion("b" * 16, 98.0),
    Refused("c" * 16, Refusal(90.0, 95.0, 3)),
]


def plain_update():
    # Through CBOR, as a receiver gets lists and not tuples.
    return cbor2.loads(cbor2.dumps(to_plain(FULL_UPDATE)))


def protocol():
    return MembershipProtocol(HostTable(state("a")), [], random.Random(1))


@pytest.mark.parametrize("place", PLACES.values(), ids=PLACES)
def test_an_update_with_one_more_field_is_read(place):
    plain = plain_update()
    fields = plain
    for index in place:
        fields = fields[index]
    fields.append(LATER)
    assert from_plain(plain) == FULL_UPDATE


def test_an_invalid_record_does_not_drop_the_other_changes():
    plain = plain_update()
    plain[1][2][0][2] = ["t1"]
    first, second = from_plain(plain).targets.changes
    assert first.record is None
    assert second == FULL_UPDATE.targets.changes[1]


def test_an_announcement_with_one_more_field_is_read():
    report = Report("t1", 5, 2.0, False, 0.5)
    plain = [[*fields, LATER] for fields in announcements.to_plain([report])]
    assert announcements.from_plain(plain) == [report]


def test_news_with_one_more_field_or_of_a_later_kind_are_read():
    plain = crash_news.to_plain(NEWS, 100.0)
    later = [[99, "d" * 16, LATER], *([*fields, LATER] for fields in plain)]
    assert crash_news.from_plain(later, 100.0) == NEWS


def test_states_with_more_fields_are_read():
    receiver = protocol()
    positions = [3, 4, LATER]
    later = state("b")._replace(positions=positions, store=7)
    message = [membership.STATES, [[0.5, [*later, LATER], LATER]], LATER]
    receiver.handle(message, now=1.0)
    known = receiver.host_table.peers["b"].state
    assert known.positions == (3, 4)
    assert known.store is StoreAccess.IDLE


def test_state_of_a_build_with_fewer_fields_is_read():
    receiver = protocol()
    earlier = list(state("b"))[:9]
    receiver.handle([membership.STATES, [[0.5, earlier]]], now=1.0)
    assert receiver.host_table.peers["b"].state == state("b")


@pytest.mark.parametrize("kind", [membership.HEARTBEAT, membership.STATES])
def test_a_heartbeat_or_state_request_with_one_more_field_is_read(kind):
    sender, receiver = protocol(), protocol()
    sender.host_table.own = state("b")
    sender.host_table.own_id = HostTable(state("b")).own_id
    sender.host_table.record_heartbeat(state("a"), now=0.0)
    (datagram, *_) = sender.announce([state("a")])
    message = cbor2.loads(datagram.data)
    (request, *_) = receiver.handle([*message, LATER], now=1.0)
    if kind == membership.STATES:
        asked = [*cbor2.loads(request.data), LATER]
        (states, *_) = sender.handle(asked, now=1.0)
        receiver.handle([*cbor2.loads(states.data), LATER], now=1.1)
        assert "b" in receiver.host_table.peers


@pytest.mark.parametrize("plain", [["orders"], [], "ab", None, 7])
def test_what_is_no_list_of_the_fields_is_named(plain):
    with pytest.raises(ValueError, match="Share"):
        from_fields(Share, plain)


def test_a_missing_field_without_default_is_named():
    with pytest.raises(ValueError, match="TargetRecord has 1 fields"):
        from_fields(TargetRecord, ["t1"])


WRONG_FIELDS = st.sampled_from(
    [None, True, -1, 10**30, float("nan"), float("inf"), "\n", b"x", [], {}, 7]
)


def replace_one(draw, plain):
    """Returns a copy of nested lists in which one value is another one."""
    copy = cbor2.loads(cbor2.dumps(plain))
    fields = copy
    while True:
        index = draw(st.integers(0, len(fields) - 1))
        inner = fields[index]
        if isinstance(inner, list) and inner and draw(st.integers(0, 3)):
            fields = inner
            continue
        fields[index] = draw(WRONG_FIELDS | ANY_VALUE)
        return copy


@given(st.data())
def test_an_update_with_any_value_can_be_passed_on_or_is_refused(data):
    plain = replace_one(data.draw, plain_update())
    try:
        update = from_plain(plain)
    except ValueError:
        return
    assert from_plain(cbor2.loads(cbor2.dumps(to_plain(update)))) == update
    changes = () if update.targets is None else update.targets.changes
    for record in (x.record for x in changes if x.record is not None):
        assert check_record(record) == record


@given(ANY_VALUE)
def test_any_value_is_an_update_or_refused(plain):
    with contextlib.suppress(ValueError):
        from_plain(plain)


@given(st.binary() | st.none() | st.integers())
def test_any_bytes_are_decoded_or_refused(data):
    with contextlib.suppress(ValueError):
        decode_cbor(data)


# Tags for a date, a shared value and a regular expression.
@pytest.mark.parametrize(
    "text", ["c11b7fffffffffffffff", "d81d187f", "d8236128"]
)
def test_tags_that_can_not_be_read_are_refused(text):
    with pytest.raises(ValueError, match="not decodable"):
        decode_cbor(bytes.fromhex(text))


@given(st.data())
def test_a_heartbeat_with_any_value_leaves_numbers_in_the_state(data):
    sender, receiver = protocol(), protocol()
    sender.host_table.own = state("b")
    receiver.host_table.record_heartbeat(state("b"), now=0.0)
    (introduction,) = sender._introduce(["a:81"])
    (heartbeat, *_) = sender._send_digest([state("a")], [])
    message = cbor2.loads(
        data.draw(st.sampled_from([introduction, heartbeat])).data
    )
    with contextlib.suppress(ValueError, TypeError, LookupError):
        receiver.handle(replace_one(data.draw, message), now=1.0)
    for peer in receiver.host_table.peers.values():
        assert all(type(x) is int for x in peer.state.positions)
        assert math.isfinite(peer.last_heartbeat_at)
    assert cbor2.dumps([list(x) for x in receiver.host_table.live(now=1.0)])
