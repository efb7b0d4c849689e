"""Checks each specification like `make model` does."""

import subprocess
import sys
from pathlib import Path

import pytest

SPECS = Path(__file__).parents[3] / "packages" / "core" / "specs"
NAMES = sorted(p.stem for p in SPECS.glob("*.py") if p.stem != "checker")


@pytest.mark.parametrize("name", NAMES)
def test_spec_holds_and_its_broken_variants_are_refuted(name):
    command = [sys.executable, str(SPECS / f"{name}.py")]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "proved for any number of steps" in done.stdout
    assert "refuted at depth" in done.stdout
