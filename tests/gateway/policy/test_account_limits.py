"""The limit of an account holds over all hosts; less is rarely refused."""

import pytest
from sardinewheel_gateway.policy.account_holders import (
    TAKEOVER_WAIT_S,
    HolderTable,
)
from sardinewheel_gateway.policy.account_limits import Demand, Lot
from sardinewheel_gateway.policy.account_parts import (
    AccountParts,
    LimitPlan,
    WindowBound,
)

from tests.gateway.policy.account_limit_fleet import DOMAINS, Fleet, limited
from tests.gateway.policy.test_hosts import state

HOT = 7.0 * 0.625
USUAL = 0.6
MAX_REFUSED = 0.01
LIMITS = [limited(20.0), limited(60.0, burst=30.0)]


def shift(fleet, seconds, rate_per_s):
    """Lets callers move to another region every 1.5 s."""
    for n in range(int(seconds / 1.5)):
        fleet.load(1.5, rate_per_s, fleet.names(region=f"r{n % 3}"))


def send(fleet, where, seconds, rate_per_s):
    """Lets callers send to some of the hosts."""
    if where == "shifting":
        shift(fleet, seconds, rate_per_s)
        return
    names = {
        "all hosts": fleet.names(),
        "one host": ["d2-1"],
        "one domain": fleet.names(domain="d3"),
        "one region": fleet.names(region="r1"),
    }
    fleet.load(seconds, rate_per_s, names[where])


PLACES = ["all hosts", "one host", "one domain", "one region", "shifting"]


@pytest.mark.parametrize("account", LIMITS, ids=["20/s", "60/s"])
@pytest.mark.parametrize("where", PLACES)
def test_requests_below_the_limit_are_rarely_refused(where, account):
    fleet = Fleet(account)
    send(fleet, where, 12.0, USUAL * account.rate_per_s)
    assert fleet.refused < MAX_REFUSED * fleet.asked
    assert fleet.excess() <= 0.0


@pytest.mark.parametrize("account", LIMITS, ids=["20/s", "60/s"])
@pytest.mark.parametrize("where", PLACES)
def test_hot_account_stays_within_its_limit(where, account):
    fleet = Fleet(account)
    send(fleet, where, 3.0, USUAL * account.rate_per_s)
    began, ran_before = fleet.now, len(fleet.ran_at)
    send(fleet, where, 6.0, HOT * account.rate_per_s)
    assert fleet.excess() <= 0.0
    ran = len(fleet.ran_at) - ran_before
    assert ran > 0.8 * account.rate_per_s * (fleet.now - began)


def hot_fleet(account=LIMITS[0], **fields):
    """Returns a fleet with a hot account."""
    fleet = Fleet(account, **fields)
    fleet.load(3.0, HOT * account.rate_per_s, fleet.names())
    return fleet


def go_on(fleet, seconds=9.0):
    fleet.load(seconds, HOT * fleet.account.rate_per_s, fleet.names())


@pytest.mark.parametrize("domains", [DOMAINS[:1], DOMAINS[:2], DOMAINS[:3]])
def test_limit_holds_on_both_sides_of_a_cut(domains):
    fleet = hot_fleet()
    fleet.cut([x for domain in domains for x in fleet.names(domain=domain)])
    go_on(fleet)
    fleet.cuts.clear()
    go_on(fleet)
    assert fleet.excess() <= 0.0


def test_limit_holds_if_all_domains_are_cut_from_each_other():
    fleet = hot_fleet()
    for domain in DOMAINS:
        fleet.cut(fleet.names(domain=domain))
    go_on(fleet, seconds=12.0)
    assert fleet.excess() <= 0.0
    assert len(fleet.ran_at) > 0.8 * fleet.account.rate_per_s * 12.0


def test_domain_that_is_cut_off_serves_its_part():
    fleet = Fleet(limited(60.0))
    names = fleet.names(domain="d0")
    fleet.cut(names)
    fleet.load(10.0, 0.6 * 60.0 / 6.0, names)
    assert fleet.refused < 0.05 * fleet.asked


@pytest.mark.parametrize("per_domain", [2, 3])
def test_single_hosts_that_are_cut_off_add_nothing(per_domain):
    fleet = hot_fleet(per_domain=per_domain)
    for domain in DOMAINS:
        fleet.cut([fleet.holder(domain)])
    go_on(fleet, seconds=12.0)
    fleet.cuts.clear()
    go_on(fleet)
    assert fleet.excess() <= 0.0


@pytest.mark.parametrize("per_domain", [2, 3])
def test_killed_holder_is_replaced(per_domain):
    fleet = Fleet(LIMITS[1], per_domain=per_domain)
    killed = fleet.holder("d2")
    rest = [name for name in fleet.names() if name != killed]
    fleet.load(3.0, USUAL * 60.0, rest)
    fleet.hosts[killed].is_down = True
    fleet.load(10.0, USUAL * 60.0, rest)
    assert fleet.refused < MAX_REFUSED * fleet.asked
    fleet.load(6.0, HOT * 60.0, rest)
    assert fleet.excess() <= 0.0


def test_limit_holds_if_all_holders_restart_at_once():
    fleet = hot_fleet()
    for domain in DOMAINS:
        fleet.restart(fleet.holder(domain))
    go_on(fleet)
    assert fleet.excess() <= 0.0


def test_limit_holds_if_hosts_restart_again_and_again():
    fleet = hot_fleet(per_domain=3)
    for _ in range(8):
        for domain in DOMAINS:
            fleet.restart(fleet.holder(domain))
        go_on(fleet, seconds=2.5)
    assert fleet.excess() <= 0.0


@pytest.mark.parametrize("pause_s", [0.5, 2.0, 5.0, 8.0])
def test_limit_holds_if_holders_are_paused(pause_s):
    fleet = hot_fleet(per_domain=3)
    holders = [fleet.hosts[fleet.holder(domain)] for domain in DOMAINS]
    for host in holders:
        host.is_paused = True
    go_on(fleet, seconds=pause_s)
    for host in holders:
        host.is_paused = False
    go_on(fleet)
    assert fleet.excess() <= 0.0


def test_lowered_limit_binds_after_three_seconds():
    fleet = hot_fleet(limited(60.0, burst=60.0))
    fleet.set_limit(limited(10.0))
    lowered_at = fleet.now
    go_on(fleet, seconds=12.0)
    assert fleet.excess(since=lowered_at + 3.0) <= 0.0


def test_idle_account_causes_no_messages():
    fleet = Fleet(LIMITS[0])
    fleet.load(5.0, 10.0, fleet.names())
    fleet.run(1.0)
    fleet.reset()
    fleet.run(60.0)
    assert fleet.messages == 0


def test_parts_add_up_to_the_limit():
    account = limited(90.0, burst=12.0)
    plan = LimitPlan.of(account, DOMAINS, WindowBound())
    assert plan.part.rate_per_s * len(plan.domains) == pytest.approx(90.0)
    most = 90.0 * (5.0 + plan.life_s) + plan.part.burst * len(plan.domains)
    assert most < (90.0 * 5.0 + 12.0) * 1.1 + 20.0


def test_refused_callers_return_spread_over_time():
    fleet = hot_fleet(limited(30.0))
    limits = fleet.hosts["d0-0"].limits
    waits_s = [
        limits.record_refusal(fleet.account, now=fleet.now) for _ in range(50)
    ]
    assert max(waits_s) > 2.0 * min(waits_s)


def lone_holder():
    """Returns the parts of a host that is the only one, from 0 s on."""
    holders = HolderTable("a", "north-a", (), may_be_alone=True)
    parts = AccountParts(holders, WindowBound())
    parts.set_hosts([state("a")], now=0.0)
    return parts


def tokens_at(parts, now):
    """Returns how many tokens a holder hands out, with a fresh view."""
    parts.set_hosts([state("a")], now=now)
    return parts.take(limited(10.0), 100, now=now).tokens


def test_new_holder_waits_and_starts_empty():
    parts = lone_holder()
    assert tokens_at(parts, TAKEOVER_WAIT_S - 0.1) == 0
    assert tokens_at(parts, TAKEOVER_WAIT_S + 0.25) == 2


def test_holder_without_a_recent_view_hands_out_nothing():
    parts = lone_holder()
    assert tokens_at(parts, 2.9) > 0
    assert parts.take(limited(10.0), 1, now=4.0).tokens == 0


def test_holder_that_was_paused_waits_again():
    parts = lone_holder()
    assert tokens_at(parts, 2.9) > 0
    assert tokens_at(parts, 6.5) == 0
    assert tokens_at(parts, 7.5) == 0


def test_tokens_expire():
    demand = Demand(limited(10.0))
    demand.add(Lot(expires_at=1.0, tokens=2), now=0.5)
    assert demand.take(0.9) is not None
    assert demand.take(1.0) is None
