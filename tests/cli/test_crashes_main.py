"""Tests ``sardinewheel-crashes``, against a running gateway."""

import cappa
import pytest
from sardinewheel_cli.client import send_request
from sardinewheel_cli.crashes_main import PATH, Crashes
from sardinewheel_cli.errors import ExitStatus
from sardinewheel_gateway import clock
from sardinewheel_gateway.policy.crash_suspects import Refusal

from tests.gateway.test_process import GatewayWithTarget

DIGEST = "3e62ea68f9592940"


@pytest.fixture
def gateway():
    created = GatewayWithTarget()
    now = clock.steady()
    refusal = Refusal(now - 30.0, now - 2.0, 4)
    created.gateway.routing_state.crash_suspects.refuse(DIGEST, refusal)
    yield created.gateway
    created.close()


def test_lists_refused_requests(gateway, capsys):
    Crashes(gateway.settings.control)()
    (_, line) = capsys.readouterr().out.splitlines()
    digest, losses, refused_s, asked_ago_s = line.split()
    assert (digest, losses) == (DIGEST, "4")
    assert float(refused_s) >= 30.0
    assert float(asked_ago_s) >= 2.0


def test_allows_a_request_again(gateway, capsys):
    Crashes(gateway.settings.control, lift=DIGEST)()
    assert "allowed again" in capsys.readouterr().out
    assert not gateway.routing_state.crash_suspects.refused
    with pytest.raises(cappa.Exit) as caught:
        Crashes(gateway.settings.control, lift=DIGEST)()
    assert caught.value.code == ExitStatus.REFUSED


def test_a_host_that_does_not_respond(gateway):
    with pytest.raises(cappa.Exit) as caught:
        Crashes("127.0.0.1:1")()
    assert caught.value.code == ExitStatus.UNREACHABLE


@pytest.mark.parametrize(
    ("method", "path"), [("POST", PATH), ("DELETE", PATH), ("GET", f"{PATH}/a")]
)
def test_other_operations_are_not_allowed(gateway, method, path):
    reply = send_request(gateway.settings.control, method, path)
    assert reply.status == 405
    assert gateway.routing_state.crash_suspects.refused
