"""Tests conflicts and lost responses of changes against scripted replies."""

import pytest
from sardinewheel_cli.client import Reply
from sardinewheel_cli.commands import Options
from sardinewheel_cli.errors import (
    ConflictError,
    ExitStatus,
    OutcomeUnknownError,
    StrainedError,
)
from sardinewheel_cli.session import Session
from sardinewheel_core.change import Change, SetCap, StartDrain
from sardinewheel_core.codec import to_plain
from sardinewheel_core.intent import Drain, Intent, Subject
from sardinewheel_core.operator_messages import ChangeReply, ChangeState
from sardinewheel_core.preview import Promise, Strain
from sardinewheel_core.views import View

VIEW = View("h1", "ready", 4, Intent.empty()._replace(version=4), (), ())
OPERATIONS = (SetCap("austro", 4),)
ACCEPTED = ChangeReply(ChangeState.ACCEPTED, "c", 6)
STRAINED = ChangeReply(
    ChangeState.STRAINED,
    strains=(Strain(Promise.REGION_CAP, "region austro", "units", 5, 4),),
)
LOST = Reply("a:1", error="lost")


def conflict(*operations):
    winner = Change(5, "w", "luz", operations)
    return ChangeReply(ChangeState.CONFLICT, winner=winner)


RELATED = conflict(SetCap("austro", 9))
UNRELATED = conflict(StartDrain(Drain(Subject.TARGET, "t1")))


class ScriptedClient:
    """Returns scripted replies to changes and records the requests."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.sent = []

    def get(self, path, **parameters):
        return Reply("a:1", 200, to_plain(VIEW))

    def get_each(self, addresses, path, **parameters):
        return []

    def post(self, path, media):
        self.sent.append(media)
        reply = self.replies.pop(0)
        if isinstance(reply, Reply):
            return reply
        return Reply("a:1", 200, to_plain(reply))

    def add(self, addresses):
        pass

    def demote_first(self):
        pass


def run_change(*replies, **options):
    client = ScriptedClient(*replies)
    session = Session(client, author="ana")
    try:
        output = session.change(OPERATIONS, Options(**options))
    except (ConflictError, OutcomeUnknownError, StrainedError) as error:
        return client.sent, error
    return client.sent, output


def test_change_carries_the_version_of_the_view():
    sent, output = run_change(ACCEPTED)
    assert [media["base_version"] for media in sent] == [4]
    assert output.media["change"]["version"] == 6


def test_conflict_with_a_related_change_is_raised():
    sent, error = run_change(RELATED)
    assert len(sent) == 1
    assert error.status is ExitStatus.REFUSED
    assert "set cap austro 9" in str(error)


@pytest.mark.parametrize(
    ("first", "options"), [(UNRELATED, {}), (RELATED, {"redo": True})]
)
def test_change_is_resent_on_top_of_the_winner(first, options):
    sent, output = run_change(first, ACCEPTED, **options)
    assert [media["base_version"] for media in sent] == [4, 5]
    assert "version 5 by luz came first" in output.notes[0]


def test_explicit_base_version_is_not_replaced_without_redo():
    sent, error = run_change(UNRELATED, base_version=4)
    assert len(sent) == 1
    assert isinstance(error, ConflictError)


def test_lost_response_is_queried_under_the_same_change_id(monkeypatch):
    monkeypatch.setattr("sardinewheel_cli.changes.RESOLVE_INTERVAL_S", 0)
    sent, output = run_change(LOST, LOST, ACCEPTED)
    assert len({media["change_id"] for media in sent}) == 1
    assert [media["again"] for media in sent] == [False, True, True]
    assert "outcome queried by change id: accepted" in output.notes


def test_outcome_is_unknown_if_no_host_answers(monkeypatch):
    monkeypatch.setattr("sardinewheel_cli.changes.RESOLVE_INTERVAL_S", 0)
    sent, error = run_change(*[LOST] * 6)
    assert error.status is ExitStatus.UNKNOWN
    assert f"show change {sent[0]['change_id']}" in str(error)


def test_strain_error_names_the_force_option():
    _, error = run_change(STRAINED)
    assert error.status is ExitStatus.REFUSED
    assert "--force region-cap" in str(error)
