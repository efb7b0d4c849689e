"""Tests ``sardinewheel-explain --now``, against a running gateway."""

import json

import cappa
import pytest
from sardinewheel_cli.errors import ExitStatus
from sardinewheel_cli.explain_main import Explain

from tests.gateway.harness import wait_until
from tests.gateway.test_process import (
    GatewayWithTarget,
    operators,
    registered,
)

REQUEST = ["--host", "shop.example", "--path", "/orders/1", "--object", "17"]


@pytest.fixture
def gateway():
    created = GatewayWithTarget()
    created.source.updates += [operators(1, 5), registered(created.target)]
    table = created.gateway.routing_state.target_table
    wait_until(lambda: created.gateway.routing_state.version and table.targets)
    yield created.gateway
    created.close()


def explain(gateway, *options):
    control = gateway.settings.control
    cappa.invoke(Explain, argv=["--now", control, *REQUEST, *options])


def test_prints_where_a_request_would_go(gateway, capsys):
    explain(gateway)
    lines = capsys.readouterr().out.splitlines()
    assert lines[-1] == "It would go to t0 (rank-0)."
    assert any(line.split()[:2] == ["t0", "north-a"] for line in lines)


def test_prints_the_answer_as_json(gateway, capsys):
    explain(gateway, "--json")
    answer = json.loads(capsys.readouterr().out)
    assert (answer["route"], answer["target"]) == ("orders", "t0")
    assert gateway.routing_state.placer.objects.all() == []


def test_a_question_that_the_host_does_not_understand(gateway):
    with pytest.raises(cappa.Exit) as caught:
        explain(gateway, "--domain", "south-z")
    assert caught.value.code == ExitStatus.REFUSED
    assert "south-z" in str(caught.value.message)


def test_a_host_that_does_not_respond():
    with pytest.raises(cappa.Exit) as caught:
        Explain(now="127.0.0.1:1", host="shop.example")()
    assert caught.value.code == ExitStatus.UNREACHABLE


def test_neither_a_request_nor_a_host():
    with pytest.raises(cappa.Exit) as caught:
        Explain()()
    assert caught.value.code == ExitStatus.USAGE
