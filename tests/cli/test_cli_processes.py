"""The operators' command line against real entry hosts, as processes."""

import json
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from sardinewheel_testing.processes import (
    BIN,
    entry_host,
    free_address,
    http,
    stand_in,
    wait_until,
)

SCRIPT = """
# A small house.
define region sierra-norte cap 10 domains quito-bodega
define region austro cap 10 domains cuenca-centro
define seat quito-1 in quito-bodega
define seat cuenca-1 in cuenca-centro
define service pedidos
  kind confirm priority 0 weight 2 at most once
  kind status priority 2
  target t1 in quito-bodega at {target} slots 3
"""
DOMAINS = {"quito-1": "quito-bodega", "cuenca-1": "cuenca-centro"}


class House:
    """Two entry hosts, a target and the platform."""

    def __init__(self, folder: Path):
        self.folder = folder
        names = ("platform", "target", *DOMAINS)
        self.addresses = {name: free_address() for name in names}
        self.peers = {name: free_address() for name in DOMAINS}
        self.processes = {
            name: stand_in(
                name, self.addresses[name], *arguments, log_file=folder / name
            )
            for name, arguments in {"platform": (), "target": ("3",)}.items()
        }
        for name in DOMAINS:
            self.processes[name] = entry_host(
                self.settings(name), folder=folder
            )

    def settings(self, name: str) -> dict:
        return {
            "name": name,
            "domain": DOMAINS[name],
            "http_address": self.addresses[name],
            "peer_address": self.peers[name],
            "platform_address": self.addresses["platform"],
            "seeds": [self.peers[n] for n in DOMAINS if n != name],
        }

    def wait_until_up(self) -> None:
        for name in DOMAINS:
            wait_until(
                lambda name=name: http(
                    "GET", self.addresses[name], "/v1/status"
                )
            )
        wait_until(lambda: http("GET", self.addresses["platform"], "/"))

    def sardinewheel(
        self, *arguments: str, hosts=tuple(DOMAINS), stdin: str = ""
    ) -> subprocess.CompletedProcess:
        addresses = [self.addresses.get(name, name) for name in hosts]
        flags = [f"--host={address}" for address in addresses]
        return subprocess.run(
            [str(BIN / "sardinewheel"), *flags, *arguments],
            input=stdin,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def json(self, *arguments: str, **options) -> dict:
        done = self.sardinewheel("--json", *arguments, **options)
        return json.loads(done.stdout)

    def stop(self) -> None:
        for process in reversed(self.processes.values()):
            process.stop()


@pytest.fixture
def house(tmp_path):
    house = House(tmp_path)
    try:
        house.wait_until_up()
        script = SCRIPT.format(target=house.addresses["target"])
        done = house.sardinewheel("--as-one", "--wait", "-f-", stdin=script)
        assert done.returncode == 0, done
        wait_until(lambda: len(live_hosts(house)) == len(DOMAINS))
        yield house
    finally:
        house.stop()


def live_hosts(house):
    media = house.json("show rollout")
    return [h for h in media["hosts"] if h["answers"] and h["version"]]


def test_define_query_and_change(house):
    regions = house.json("show regions")["regions"]
    assert [(r["region"], r["cap"]) for r in regions] == [
        ("sierra-norte", 10),
        ("austro", 10),
    ]
    changed = house.sardinewheel("set cap austro 12 --wait")
    assert changed.returncode == 0, changed
    assert "regions.austro.cap" in changed.stdout
    assert "version 2 is in force on 2 hosts" in changed.stdout
    for view in ("services", "headroom", "traffic", "versions", "repairs"):
        assert house.sardinewheel(f"show {view}").returncode == 0, view
    intent = house.sardinewheel("show intent").stdout
    assert "define region austro cap 12 domains cuenca-centro" in intent


def test_drain_without_room_needs_force(house):
    dry = house.json("drain target t1 --dry-run")
    assert dry["change"]["state"] == "previewed"
    assert dry["change"]["strains"][0]["promise"] == "drain-room"
    refused = house.sardinewheel("drain target t1")
    assert refused.returncode == 1
    assert "--force drain-room" in refused.stderr
    assert house.json("show drains")["drains"] == []
    forced = house.sardinewheel("drain target t1 --force drain-room")
    assert forced.returncode == 0, forced
    explained = house.sardinewheel("explain target t1")
    assert explained.returncode == 0, explained


def test_loser_of_a_race_sees_the_winner(house):
    base = house.json("show rollout")["hosts"][0]["version"]
    option = f"--base-version={base}"
    first = house.sardinewheel("--author=ana", option, "set cap austro 8")
    assert first.returncode == 0, first
    second = house.sardinewheel("--author=luz", option, "set cap austro 9")
    assert second.returncode == 1, second
    assert f"version {base + 1} by ana came first" in second.stderr
    assert "set cap austro 8" in second.stderr
    redone = house.sardinewheel(option, "--redo", "set cap austro 9")
    assert redone.returncode == 0, redone


def test_two_operators_at_the_same_moment(house):
    commands = ("set cap austro 8", "set cap austro 9")
    with ThreadPoolExecutor() as pool:
        hosts = [(name,) for name in DOMAINS]
        ends = list(
            pool.map(
                lambda command, host: house.sardinewheel(
                    "--base-version=1", command, hosts=host
                ),
                commands,
                hosts,
            )
        )
    assert sorted(end.returncode for end in ends) == [0, 1], ends
    loser = max(ends, key=lambda end: end.returncode)
    assert "version 2 by" in loser.stderr
    assert len(house.json("show versions")["versions"]) == 2


def test_lost_answer_of_the_platform_is_settled(house):
    body = json.dumps({"mode": "lose-answers", "count": 1}).encode()
    headers = {"Content-Type": "application/json"}
    platform = house.addresses["platform"]
    http("PUT", platform, "/control", body=body, headers=headers)
    done = house.json("set cap austro 7")["change"]
    assert (done["state"], done["version"]) == ("accepted", 2)
    found = house.sardinewheel(f"show change {done['change_id']}")
    assert "accepted as version 2" in found.stdout
    assert "absent" in house.sardinewheel("show change c-0").stdout


def test_traffic_latency_and_explain_of_a_request(house):
    request_id = "r-1"
    reply = wait_until(
        lambda: answered(
            http(
                "POST",
                house.addresses["quito-1"],
                "/v1/services/pedidos/requests",
                body=b"x",
                headers={
                    "Sardinewheel-Request-Id": request_id,
                    "Sardinewheel-Kind": "status",
                },
            )
        )
    )
    assert reply.headers["sardinewheel-outcome"] == "done"
    explained = house.json(f"explain request {request_id}")["decisions"]
    events = [decision["event"] for decision in explained]
    assert events[-2:] == ["dispatched", "done"]
    rows = house.json("show latency service pedidos")["latency"]
    assert ("status", "done") in [(r["kind"], r["outcome"]) for r in rows]
    flows = house.json("show traffic by service")["flows"]
    done = [f for f in flows if f["outcome"] == "dispatched"]
    assert [(f["service"], f["total"]) for f in done] == [("pedidos", 1)]


def answered(reply):
    return reply if reply.status == 200 else None


def test_another_host_answers_while_one_is_down(house):
    house.processes["quito-1"].kill()
    done = house.sardinewheel("show regions", hosts=("quito-1", "cuenca-1"))
    assert done.returncode == 0, done
    room = house.json("show headroom", hosts=("quito-1", "cuenca-1"))
    assert room["silent"] == ["quito-1"]


def test_exit_statuses(house):
    assert house.sardinewheel("show regions").returncode == 0
    unknown = house.sardinewheel("drain domain cuenca-cntro")
    assert unknown.returncode == 1
    assert "\n             ^\noperations[0]" in unknown.stderr
    assert "did you mean 'cuenca-centro'?" in unknown.stderr
    usage = house.sardinewheel("show regoins")
    assert usage.returncode == 2
    assert "did you mean 'regions'?" in usage.stderr
    script = house.sardinewheel(stdin="set cap austro 9\nshow regoins\n")
    assert script.returncode == 2
    assert "line 2" in script.stderr
    down = house.sardinewheel("show regions", hosts=(free_address(),))
    assert down.returncode == 3
