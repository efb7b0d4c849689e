"""Where a request goes from a host that cannot execute it."""

from sardinewheel_core.effects import Forward
from sardinewheel_core.messages import HostState, Phase
from sardinewheel_core.ownership import assign

SEAT = "quito-1"


def test_host_without_targets_hands_on_although_no_room_is_announced(
    make_bench,
):
    bench = make_bench(targets=1)
    names = (f"quito-{i}" for i in range(2, 20))
    owner = next(n for n in names if assign(["t0"], [SEAT, n])["t0"] == n)
    state = HostState(
        owner, 1, 1, "quito-bodega", "p:1", "p:2", Phase.READY, 1, 0
    )
    bench.host.membership.merge_states(bench.now, (state,))
    bench.host.targets.states.clear()
    effects = bench.request("status")
    assert [e.host for e in effects if isinstance(e, Forward)] == [owner]
