"""The shipped settings of both houses fit together."""

from pathlib import Path

import pytest
from sardinewheel_entry.settings import check
from sardinewheel_testing.house import House

SETTINGS = Path(__file__).parents[2] / "settings"


@pytest.mark.parametrize(
    ("name", "hosts", "targets"),
    [
        ("vallejo", 11, {"pedidos": 20, "taller": 15}),
        ("patelvara", 10, {"packroom": 20, "secretariat": 10}),
    ],
)
def test_sizes_of_today(name, hosts, targets):
    house = House.from_folder(SETTINGS / name)
    assert len(house.entry_hosts) == hosts
    assert {h["name"] for h in house.entry_hosts} == set(house.intent.seats)
    assert {
        s.name: len(s.targets) for s in house.intent.services.values()
    } == targets
    for host in house.entry_hosts:
        assert check(host, place=host["name"]) == ()
        assert house.intent.seats[host["name"]].domain == host["domain"]
