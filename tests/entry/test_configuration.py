"""Changes through real processes: in force everywhere, once, for good."""

import json
import threading
import uuid

import pytest
from sardinewheel_core.change import SetCap
from sardinewheel_core.codec import to_plain
from sardinewheel_testing.processes import http, wait_until

from tests.entry.house import JSON, House

RACES = 5


@pytest.fixture
def house(tmp_path):
    house = House(tmp_path, hosts=3)
    try:
        house.configure()
        yield house
    finally:
        house.stop()


def propose(house, name, cap, *, author="ana", base_version=0, change_id=""):
    body = {
        "author": author,
        "change_id": change_id or uuid.uuid4().hex,
        "base_version": base_version,
        "operations": [to_plain(SetCap("sierra-norte", cap))],
    }
    data = json.dumps(body).encode()
    address = house.http[name]
    return http("POST", address, "/v1/changes", body=data, headers=JSON).media


def intent(house, name):
    return http("GET", house.http[name], "/v1/status").media["intent"]


def is_in_force(house, version, names):
    return all(intent(house, name)["version"] >= version for name in names)


def test_racing_operators_have_one_winner_a_version(house):
    for cap in range(50, 50 + RACES):
        base = intent(house, "quito-1")["version"]
        wait_until(lambda b=base: is_in_force(house, b, house.names))
        ends = {}

        def race(name, cap=cap, base=base, ends=ends):
            ends[name] = propose(
                house, name, cap, author=name, base_version=base
            )

        threads = [
            threading.Thread(target=race, args=(name,))
            for name in ("quito-1", "quito-2")
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        states = sorted(end["state"] for end in ends.values())
        assert states == ["accepted", "conflict"], ends
        winner = next(n for n, e in ends.items() if e["state"] == "accepted")
        loser = next(e for n, e in ends.items() if n != winner)
        assert loser["winner"]["author"] == winner
        assert loser["winner"]["version"] == base + 1


def test_lost_answer_is_settled_and_a_retry_creates_nothing(house):
    house.control("platform", mode="lose-answers", count=2)
    ended = propose(house, "quito-1", 77, change_id="once")
    assert ended["state"] == "accepted"
    again = propose(house, "quito-2", 77, change_id="once")
    assert (again["state"], again["version"]) == ("accepted", ended["version"])
    costs = http("GET", house.http["quito-1"], "/v1/control").media
    assert costs["platform"]["writes"] >= 1
    assert costs["peers"]["sent_bytes"] > 0
    found = http("GET", house.http["quito-3"], "/v1/changes/once").media
    assert (found["state"], found["version"]) == ("accepted", ended["version"])


def test_version_outlives_a_kill_and_every_host_while_platform_is_down(house):
    house.processes["quito-2"].kill()
    version = propose(house, "quito-1", 60)["version"]
    wait_until(lambda: is_in_force(house, version, ("quito-1", "quito-3")))
    house.control("platform", mode="down")
    for name in ("quito-2", "quito-1", "quito-3"):
        house.processes[name].kill()
        house.start(name)
        wait_until(lambda n=name: http("GET", house.http[n], "/v1/status"))
        wait_until(
            lambda n=name: (
                http("GET", house.http[n], "/v1/status").media["ready"]
                and is_in_force(house, version, [n])
            )
        )
    house.control("platform", mode="lose-answers", count=1)
    for name in house.names:
        house.processes[name].kill()
        house.start(name)
        wait_until(lambda n=name: is_in_force(house, version, [n]))
    ended = propose(house, "quito-3", 61)
    assert (ended["state"], ended["version"]) == ("accepted", version + 1)
    wait_until(lambda: is_in_force(house, version + 1, house.names))
    caps = {json.dumps(intent(house, name)["regions"]) for name in house.names}
    assert len(caps) == 1
