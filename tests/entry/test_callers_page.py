"""Runs the examples of docs/CALLERS.md unchanged and in order."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

from tests.entry.cluster import Cluster

PAGE = Path(__file__).parents[2] / "docs" / "CALLERS.md"
PATH = f"{Path(sys.executable).parent}:/usr/bin:/bin"
EXPECTED = (
    ('"ticket": "quito-',),
    ('"answers": [', '"ttl_ms": '),
    ("HTTP/1.1 200 OK", "Sardinewheel-Outcome: done", "done two saddles"),
    ("Sardinewheel-Weight", "Sardinewheel-Deadline-Ms", "findings"),
    ("HTTP/1.1 200 OK", "Sardinewheel-Outcome: done", "done two saddles"),
    ("Sardinewheel-Outcome: done",),
)


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(tmp_path)
    try:
        cluster.configure()
        yield cluster
    finally:
        cluster.stop()


def test_examples_run(cluster):
    text = PAGE.read_text(encoding="utf-8")
    examples = re.findall(r"```sh\n(.*?)```", text, re.DOTALL)
    assert len(examples) == len(EXPECTED)
    script = "echo; echo ---;".join(examples)
    result = subprocess.run(
        ["bash", "-euc", script],
        capture_output=True,
        text=True,
        check=True,
        env={"ENTRY": cluster.http_addresses["quito-1"], "PATH": PATH},
    )
    outputs = result.stdout.split("---")
    for output, expected in zip(outputs, EXPECTED, strict=True):
        for part in expected:
            assert part.lower() in output.lower(), output
