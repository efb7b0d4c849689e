"""Where late responses lose their time, from logs with known answers."""

import subprocess
import sys

import pytest
from sardinewheel_cli.late_responses import Cause, LateResponses
from sardinewheel_cli.log_lines import read

COMMAND = "from sardinewheel_cli.late_main import main; main()"


def attempt(number, *, target="t1", load=0.0, known=True, took_s=0.2, **fields):
    values = {"choice": "rank-0", "load_age_s": 0.05, **fields}
    pairs = " ".join(f"{name}={value}" for name, value in values.items())
    return (
        f"time={100 + number}.0 level=info host=a event=attempt-ended"
        f" request=id-{number} outcome=answered target={target}"
        f" load={load} known={known} took_s={took_s} {pairs}"
    )


def answer(number, *, route="status", late=True):
    return (
        f"time={100 + number}.1 level=info host=a event=request-answered"
        f" request=id-{number} status=200 route={route} late={late}"
    )


LINES = [
    *(attempt(1, load=2.2), answer(1)),
    *(attempt(2, load=1.0, known=False), answer(2)),
    *(attempt(3), attempt(3, target="t2", choice="rank-1"), answer(3)),
    *(attempt(4), answer(4)),
    *(attempt(5, load=1.7), answer(5, late=False)),
    *(attempt(6, took_s=0.9), answer(6, route="confirm")),
    "time=107.0 level=info host=b event=request-refused reason=overload",
    "time=107.2 level=info host=b event=request-failed reason=timeout",
    "Traceback (most recent call last):",
]


@pytest.fixture
def found():
    return LateResponses.from_lines(read(reversed(LINES)))


def test_each_late_response_has_one_cause(found):
    rows = {row[0]: row[1:] for row in found.by_route().rows}
    assert rows == {"confirm": (1, 1, 0, 0, 0, 1), "status": (5, 4, 1, 1, 1, 1)}
    assert list(Cause) == ["earlier attempts", "new object", "queue", "other"]
    for _, late, *causes in rows.values():
        assert sum(causes) == late


def test_windows_add_up_to_all_requests(found):
    rows = found.by_window(3.0).rows
    assert [row[0] for row in rows] == [0.0, 3.0, 6.0]
    assert [sum(row[n] for row in rows) for n in range(1, 5)] == [6, 5, 1, 1]
    assert rows[0][-1] == f"{1 / 4:.2f}"


def test_attempts_are_grouped_by_believed_load(found):
    rows = {row[0]: row[1:] for row in found.by_load().rows}
    assert rows[0.0] == (4, 200, 900, 50)
    assert rows[1.0] == (1, 200, 200, 50)
    assert rows[1.5] == (1, 200, 200, 50)
    assert rows[2.0] == (1, 200, 200, 50)


def test_the_busiest_target_comes_first(found):
    assert [row[:2] for row in found.by_target().rows] == [("t1", 6), ("t2", 1)]


def test_refusals_are_counted_by_reason(found):
    assert found.by_refusal().rows == (("overload", 1),)


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-c", COMMAND, *map(str, arguments)],
        capture_output=True,
        text=True,
        check=False,
    )


def test_the_command_prints_the_tables(tmp_path):
    path = tmp_path / "hosts.log"
    path.write_text("\n".join(LINES))
    done = run(path, "--window", "3")
    assert done.returncode == 0
    assert "Late responses by route and cause" in done.stdout
    assert "overload" in done.stdout


@pytest.mark.parametrize(
    ("lines", "arguments", "error"),
    [
        (LINES, ["--window", "0"], "--window is 0"),
        (["nothing"], [], "no line tells of a request"),
    ],
)
def test_the_command_names_what_is_wrong(tmp_path, lines, arguments, error):
    path = tmp_path / "hosts.log"
    path.write_text("\n".join(lines))
    done = run(path, *arguments)
    assert done.returncode != 0
    assert error in done.stdout + done.stderr
