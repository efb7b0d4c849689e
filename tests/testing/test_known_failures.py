"""Tests that CI passes over the listed failures, and over no other."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parents[2] / "conftest.py"
SERIAL = ("-n", "0")
PARALLEL = ("-n", "2", "--dist", "loadgroup")
LISTED = "test_a.py::test_listed"
ENTRY = f"{LISTED} | pytest {LISTED} | assert 0 | issue 1"
TESTS = """
import pytest

@pytest.mark.xdist_group("one")
def test_listed():
    assert 0

@pytest.mark.xdist_group("one")
def test_other():
    assert {passes}
"""


def run_tests(folder, workers, *, passes):
    shutil.copy(CONFTEST, folder / "conftest.py")
    (folder / "KNOWN-RED.txt").write_text(ENTRY + "\n")
    (folder / "test_a.py").write_text(TESTS.format(passes=passes))
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"]
    return subprocess.run(
        [*command, *workers],
        check=False,
        cwd=folder,
        capture_output=True,
        text=True,
    )


@pytest.mark.parametrize("workers", [SERIAL, PARALLEL])
def test_only_listed_failures_are_passed_over_and_printed(tmp_path, workers):
    done = run_tests(tmp_path, workers, passes=1)
    assert done.returncode == 0, done.stdout
    assert "1 passed, 1 xfailed" in done.stdout
    assert f"known red: {ENTRY}" in done.stdout

    done = run_tests(tmp_path, workers, passes=0)
    assert done.returncode == 1
    assert "1 failed, 1 xfailed" in done.stdout
