"""A snapshot survives its way through the codec."""

import cbor2
import pytest
from sardinewheel_gateway.policy.routes import Configuration, Limits, Share
from sardinewheel_gateway.policy.snapshots import (
    Positions,
    Snapshot,
    from_plain,
    to_plain,
)

from tests.gateway.house import ORDERS
from tests.gateway.policy.test_routes import route
from tests.gateway.policy.test_targets import record

SNAPSHOT = Snapshot(
    Positions(7, 9),
    Configuration(
        3,
        (
            route(
                shares=(Share("orders", 90), Share("b", 10)),
                home_regions=frozenset({"north"}),
                timeout_s=None,
            ),
        ),
        {"orders": ORDERS},
        Limits(),
    ),
    frozenset({"north-a"}),
    (record("t1"), record("t2", is_draining=True)),
)


@pytest.mark.parametrize(
    "snapshot", [SNAPSHOT, SNAPSHOT._replace(configuration=None)]
)
def test_a_snapshot_arrives_as_it_was_sent(snapshot):
    data = cbor2.dumps(to_plain(snapshot))
    assert from_plain(cbor2.loads(data)) == snapshot


@pytest.mark.parametrize("plain", [[], {}, [1, 2, 3, 4], None, "abcd"])
def test_anything_else_is_refused(plain):
    with pytest.raises(ValueError):
        from_plain(plain)
