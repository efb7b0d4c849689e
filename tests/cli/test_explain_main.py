"""Tests ``sardinewheel-explain``, which explains a request by its id."""

import subprocess
import sys

LINES = """\
collector: time=100.250 level=info host=a event=attempt-ended request=id-1 \
outcome=lost detail="reset by peer" target=t1 took_s=0.200
time=100.251 level=info host=a event=request-failed request=id-1 status=502 \
reason="reset by peer"
not a gateway log line
time=101.000 level=info host=b event=target-gone target=t1 source=store
time=101.000 level=info host=b event=target-gone target=t2 source=store
"""
COMMAND = "from sardinewheel_cli.explain_main import main; main()"


def explain(request_id, *files, given=None):
    return subprocess.run(
        [sys.executable, "-c", COMMAND, request_id, *map(str, files)],
        input=given,
        capture_output=True,
        text=True,
        check=False,
    )


def test_prints_lines_ordered_by_time_and_the_cause(tmp_path):
    path = tmp_path / "hosts.log"
    path.write_text(LINES)
    done = explain("id-1", path)
    shown = done.stdout.splitlines()
    assert [line[0] for line in shown[:3]] == ["*", "*", " "]
    assert "t2" not in done.stdout
    assert shown[-1].startswith(
        "Unknown: t1 received it and closed the connection (reset"
    )
    assert shown[-1].endswith("so it crashed.")
    assert done.returncode == 0


def test_reads_standard_input_without_files():
    assert "Unknown: t1" in explain("id-1", given=LINES).stdout


def test_unknown_id_exits_with_status_unknown(tmp_path):
    done = explain("id-2", given=LINES)
    assert "No line names this request" in done.stdout
    assert done.returncode == 4


def test_lines_of_the_same_time_host_and_event_are_all_printed():
    same = (
        "time=100.1 level=info host=a event=attempt-ended request=id-1 "
        "outcome=lost target={}\n"
    )
    done = explain("id-1", given=same.format("t1") + same.format("t2"))
    assert done.returncode == 0, done.stderr
    assert "t1" in done.stdout
    assert "t2" in done.stdout
