"""Tests the operators' command line against entry hosts run as processes."""

import json
import signal
import subprocess
from concurrent.futures import ThreadPoolExecutor

import pytest
from sardinewheel_testing.process_cluster import SEATS, ProcessCluster
from sardinewheel_testing.processes import BIN, free_address, wait_until

# With tests beside it, a change is not always accepted in time.
pytestmark = pytest.mark.serial

SCRIPT = """
# A second service in a separate region.
define region austro cap 10 domains cuenca-centro
define seat cuenca-1 in cuenca-centro
define service taller
  kind issue priority 0 weight 2 reserved 20% at most once
  kind list priority 2
  target bench in cuenca-centro at 127.0.0.1:9 slots 3
"""


class Operator:
    """Runs the command line against the entry hosts of a deployment."""

    def __init__(self, deployment: ProcessCluster):
        self.deployment = deployment

    def run(
        self, *arguments: str, hosts=tuple(SEATS), stdin: str = ""
    ) -> subprocess.CompletedProcess:
        addresses = [
            self.deployment.addresses.get(name, name) for name in hosts
        ]
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
        done = self.run("--json", *arguments, **options)
        return json.loads(done.stdout)

    def version(self) -> int:
        return max(h["version"] for h in self.json("show rollout")["hosts"])


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    deployment = ProcessCluster(tmp_path_factory.mktemp("deployment"))
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.stop()


@pytest.fixture
def operator(deployment):
    return Operator(deployment)


def test_script_is_applied_as_one_change(operator, tmp_path):
    version = operator.version()
    path = tmp_path / "deployment.sw"
    path.write_text(SCRIPT)
    done = operator.run("--as-one", "--wait", "-f", str(path))
    assert done.returncode == 0, done
    expected = f"version {version + 1} is in force on {len(SEATS)} hosts"
    assert expected in done.stdout
    assert "seats with no live host" in done.stdout
    services = operator.json("show services")["services"]
    assert {s["service"] for s in services} == {"pedidos", "taller"}


def test_shown_intent_recreates_the_same_intent(operator):
    before = operator.json("show intent")
    script = "\n".join(before["commands"])
    done = operator.run("--as-one", "-f-", stdin=script)
    assert done.returncode == 0, done
    assert operator.json("show intent")["commands"] == before["commands"]


@pytest.mark.parametrize(
    "view", ["headroom", "versions", "repairs", "region costa", "seats", "help"]
)
def test_queries_succeed(operator, view):
    text = "help" if view == "help" else f"show {view}"
    assert operator.run(text).returncode == 0
    assert operator.json(text)


def test_drain_without_headroom_requires_force(operator):
    assert operator.run("drain target hides").returncode == 0
    dry = operator.json("drain domain quito-bodega --dry-run")["change"]
    assert dry["state"] == "previewed"
    promises = {strain["promise"] for strain in dry["strains"]}
    assert promises == {"drain-room"}
    refused = operator.run("drain domain quito-bodega")
    assert refused.returncode == 1, refused
    assert "--force drain-room" in refused.stderr
    drains = operator.json("show drains")["drains"]
    assert [drain["name"] for drain in drains] == ["hides"]
    forced = operator.run("drain domain quito-bodega --force drain-room")
    assert forced.returncode == 0, forced
    script = "undrain domain quito-bodega\nundrain target hides\n"
    assert operator.run("--wait", stdin=script).returncode == 0


def test_drain_waits_until_the_target_is_empty(operator):
    done = operator.run("--json", "drain target saddles within 20s --wait")
    assert done.returncode == 0, done
    assert "target saddles: empty after" in done.stderr
    drains = json.loads(done.stdout)["drains"]
    assert [(d["name"], d["is_done"]) for d in drains] == [("saddles", True)]
    assert operator.run("undrain target saddles").returncode == 0


def test_concurrent_changes_conflict(operator):
    version = operator.version()
    commands = ("set cap costa 18", "set cap costa 19")
    hosts = ("quito-1", "guayaquil-1")
    with ThreadPoolExecutor() as pool:
        completed = list(
            pool.map(
                lambda command, host: operator.run(
                    f"--base-version={version}", command, hosts=(host,)
                ),
                commands,
                hosts,
            )
        )
    assert sorted(c.returncode for c in completed) == [0, 1], completed
    loser = max(completed, key=lambda c: c.returncode)
    winner = commands[[c.returncode for c in completed].index(0)]
    assert f"version {version + 1} by" in loser.stderr
    assert winner in loser.stderr
    assert operator.version() == version + 1
    again = operator.run(f"--base-version={version}", "--redo", commands[0])
    assert again.returncode == 0, again


def test_outcome_is_known_after_a_lost_platform_answer(deployment, operator):
    version = operator.version()
    deployment.set_platform(mode="lose-answers", count=1)
    output = operator.json("set cap austro 7")
    # Says why, if the change was not accepted.
    assert "change" in output, output
    done = output["change"]
    assert (done["state"], done["version"]) == ("accepted", version + 1)
    found = operator.run(f"show change {done['change_id']}")
    assert f"accepted as version {version + 1}" in found.stdout
    assert "absent" in operator.run("show change c-0").stdout


def test_traffic_latency_and_explain_of_a_request(deployment, operator):
    request_id = deployment.new_request_id("quito-1")
    reply = deployment.request("quito-1", kind="confirm", request_id=request_id)
    assert reply.headers["sardinewheel-outcome"] == "done"
    explained = operator.json(f"explain request {request_id}")["decisions"]
    events = [decision["event"] for decision in explained]
    assert {"dispatched", "done"} <= set(events)
    rows = operator.json("show latency service pedidos")["latency"]
    assert ("confirm", "done") in [(r["kind"], r["outcome"]) for r in rows]
    flows = operator.json("show traffic by service")["flows"]
    dispatched = [f for f in flows if f["outcome"] == "dispatched"]
    assert [(f["service"], f["total"]) for f in dispatched] == [("pedidos", 1)]


def test_refusals_are_explained(deployment, operator):
    request_id = deployment.new_request_id("quito-1")
    reply = deployment.request(
        "quito-1", kind="confirm", request_id=request_id, weight=1000
    )
    assert reply.headers["sardinewheel-outcome"] == "not-run"
    explained = operator.run(f"explain request {request_id}").stdout
    assert "request-not-done" in explained
    assert "region_limit=" in explained


def test_exit_statuses(operator):
    assert operator.run("show regions").returncode == 0
    unknown = operator.run("drain domain quito-bodga")
    assert unknown.returncode == 1
    assert "\n             ^\noperations[0]" in unknown.stderr
    assert "did you mean 'quito-bodega'?" in unknown.stderr
    usage = operator.run("show regoins")
    assert usage.returncode == 2
    assert "did you mean 'regions'?" in usage.stderr
    script = operator.run(stdin="set cap costa 9\nshow regoins\n")
    assert script.returncode == 2
    assert "line 2" in script.stderr
    down = operator.run("show regions", hosts=(free_address(),))
    assert down.returncode == 3
    assert operator.run("show regions", hosts=()).returncode == 2


def test_another_host_answers_while_one_is_down(tmp_path):
    deployment = ProcessCluster(tmp_path)
    try:
        deployment.start()
        operator = Operator(deployment)
        deployment.hosts["quito-1"].kill()
        done = operator.run("show regions", hosts=("quito-1", "quito-2"))
        assert done.returncode == 0, done
        assert "as in force on quito-2" in done.stdout
        headroom = operator.json("show headroom", hosts=("quito-1", "quito-2"))
        assert headroom["silent"] == ["quito-1"]
        deployment.hosts["guayaquil-1"].signal(signal.SIGSTOP)
        frozen = operator.json(
            "show headroom", hosts=("guayaquil-1", "quito-2")
        )
        assert frozen["silent"] == ["guayaquil-1", "quito-1"]
        wait_until(
            lambda: (
                operator.json("show rollout", hosts=("quito-2",))["unseen"]
                == ["guayaquil-1", "quito-1"]
            )
        )
    finally:
        deployment.stop()
