"""Waiting for a drain."""

from types import SimpleNamespace

import pytest
from sardinewheel_cli import drain_progress
from sardinewheel_cli.errors import NotReachedError
from sardinewheel_core.intent import Drain, Subject

WITHIN_S = 2.0


class Clock:
    """Monotonic time that passes only in ``sleep``."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


@pytest.fixture
def wait(monkeypatch):
    """Waits for a drain that is done a time after it began."""
    clock = Clock()
    began = clock.now
    monkeypatch.setattr(drain_progress, "time", clock)
    monkeypatch.setattr(drain_progress, "drains", lambda session: "done")

    def run(done_after_s):
        def entries(view, answers):
            is_done = clock.now - began >= done_after_s
            return [
                drain_progress.PlaceProgress(
                    Subject.TARGET, "t", 1.0, 0, 0.0, 0.0, is_done, 0.0, (), ()
                )
            ]

        monkeypatch.setattr(drain_progress, "combine", entries)
        session = SimpleNamespace(
            view=lambda: None, fetch_each=lambda *args: ((), ())
        )
        drain = Drain(Subject.TARGET, "t", WITHIN_S)
        return drain_progress.wait(session, drain)

    return run


def test_drain_that_is_done_at_the_last_poll_has_succeeded(wait):
    allowed_s = WITHIN_S + drain_progress.WAIT_MARGIN_S
    assert wait(allowed_s - drain_progress.WAIT_INTERVAL_S) == "done"


def test_drain_that_is_done_too_late_has_timed_out(wait):
    with pytest.raises(NotReachedError):
        wait(WITHIN_S + drain_progress.WAIT_MARGIN_S + 0.1)
