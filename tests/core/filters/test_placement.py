"""Placement of requests on a host that cannot execute them."""

from sardinewheel_core.effects import Forward
from sardinewheel_core.messages import HostState, Phase
from sardinewheel_core.ownership import assign

SEAT = "quito-1"


def test_host_without_targets_forwards_even_if_no_capacity_is_announced(
    make_harness,
):
    harness = make_harness(targets=1)
    names = (f"quito-{i}" for i in range(2, 20))
    owner = next(n for n in names if assign(["t0"], [SEAT, n])["t0"] == n)
    state = HostState(
        owner, 1, 1, "quito-bodega", "p:1", "p:2", Phase.READY, 1, 0
    )
    harness.host.membership.merge_states(harness.now, (state,))
    harness.host.targets.states.clear()
    effects = harness.request("status")
    assert [e.host for e in effects if isinstance(e, Forward)] == [owner]
