"""Shares that change with the configuration: lower before raise."""

from sardinewheel_core.allowance import QUARANTINE_S, shares_of
from sardinewheel_core.change import DefineSeat, SetCap
from sardinewheel_core.intent import Intent, Region, Seat

from tests.core.loaded_house import CAP, DOMAINS, LoadedHouse


def share(house, name):
    return house.hosts[name].allowance.share


def test_shares_add_up_to_the_cap():
    seats = {n: Seat(n, "centro") for n in "abcdefg"}
    intent = Intent.empty()._replace(
        regions={"austro": Region("austro", 16, ("centro",))}, seats=seats
    )
    assert sum(shares_of(intent, "centro").values()) == 16
    assert shares_of(intent, "elsewhere") == {}


def test_a_new_seat_waits_until_the_others_have_lowered_and_ended():
    house = LoadedHouse(seats=("a-1",))
    house.service_s = (9.9, 9.9)
    house.loaded = set(DOMAINS)
    house.run(1.0)
    assert house.in_flight() == CAP
    house.propose("a-1", "c2", DefineSeat(Seat("a-2", "centro")))
    house.run(2.0)
    assert (share(house, "a-1"), share(house, "a-2")) == (CAP // 2, 0)
    house.run(QUARANTINE_S + 2.0)
    assert share(house, "a-2") == CAP // 2
    assert house.most <= CAP


def test_a_cut_seat_that_missed_the_change_keeps_the_others_low():
    house = LoadedHouse(seats=("a-1",))
    house.loaded = set(DOMAINS)
    house.is_link_cut = lambda a, b: "a-1" in (a, b)
    house.is_platform_unreachable = lambda name: name == "a-1"
    house.propose("b-1", "c2", DefineSeat(Seat("a-2", "centro")))
    house.run(3 * QUARANTINE_S)
    assert (share(house, "a-1"), share(house, "a-2")) == (CAP, 0)
    assert house.most <= CAP
    house.is_link_cut = lambda a, b: False
    house.is_platform_unreachable = lambda name: False
    house.run(QUARANTINE_S + 5.0)
    assert (share(house, "a-1"), share(house, "a-2")) == (CAP // 2, CAP // 2)


def test_a_higher_cap_that_lowers_nobody_is_used_at_once():
    house = LoadedHouse()
    house.propose("a-1", "c2", SetCap("austro", 2 * CAP))
    house.run(2.0)
    assert [share(house, name) for name in DOMAINS] == [8, 8, 8]


def test_a_fresh_host_learns_from_others_what_is_settled():
    house = LoadedHouse()
    house.propose("a-1", "c2", SetCap("austro", CAP // 2))
    house.run(2.0)
    house.propose("a-1", "c3", SetCap("austro", CAP))
    house.run(QUARANTINE_S + 3.0)
    house.crash("b-1")
    house.run(3.0)
    assert share(house, "b-1") == CAP // 3
