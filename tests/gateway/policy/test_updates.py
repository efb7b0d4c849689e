"""Updates survive a round trip through the codec."""

import cbor2
import pytest
from sardinewheel_gateway.policy.objects import ObjectUse
from sardinewheel_gateway.policy.routes import Configuration, Limits, Share
from sardinewheel_gateway.policy.updates import (
    OperatorsUpdate,
    RecordChange,
    TargetsUpdate,
    Update,
    from_plain,
    to_plain,
)

from tests.gateway.harness import ORDERS
from tests.gateway.policy.test_routes import route
from tests.gateway.policy.test_targets import record

CONFIGURATION = Configuration(
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
)
UPDATE = Update(
    OperatorsUpdate(7, CONFIGURATION, frozenset({"north-a"})),
    TargetsUpdate(
        3,
        9,
        (RecordChange("t1", 8, record("t1")), RecordChange("t2", 9, None)),
        away_s=4.5,
    ),
    (ObjectUse("orders", "status", "17"),),
)


@pytest.mark.parametrize(
    "update",
    [
        UPDATE,
        Update(operators=UPDATE.operators),
        Update(targets=UPDATE.targets),
        Update(OperatorsUpdate(7, None, frozenset())),
    ],
)
def test_update_survives_a_round_trip(update):
    data = cbor2.dumps(to_plain(update))
    assert from_plain(cbor2.loads(data)) == update


@pytest.mark.parametrize("plain", [[], {}, [1, 2], None, "ab", [[1], None]])
def test_invalid_lists_raise_value_error(plain):
    with pytest.raises(ValueError):
        from_plain(plain)
