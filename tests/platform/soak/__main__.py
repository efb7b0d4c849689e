"""Runs the soak for several seeds; exits with 1 on any violation."""

import argparse
import sys
import tempfile
from pathlib import Path

from tests.platform.soak.soak import Soak

MAX_PRINTED_VIOLATIONS = 20


def main():
    """Parses the arguments and runs the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--regions", type=int, default=1)
    parser.add_argument("--targets", type=int, default=6)
    parser.add_argument("--callers", type=int, default=8)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        failed += bool(run_seed(seed, arguments))
    sys.exit(1 if failed else 0)


def run_seed(seed, arguments):
    """Runs one seed, prints a summary and returns the violations."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(
        seed,
        folder,
        gateways=arguments.gateways,
        regions=arguments.regions,
        targets=arguments.targets,
        callers=arguments.callers,
    )
    violations = soak.run(arguments.seconds)
    checker = soak.checker
    waits = sum(len(gateway.cpu_waits) for gateway in soak.gateways)
    print(
        f"seed {seed}: {checker.served} of {checker.sent} served, "
        f"{len(violations)} violations, {len(checker.stalls)} stalls of the "
        f"test process, {waits} waits of gateways for a processor, "
        f"{len(checker.late_responses)} late responses, "
        f"peak {soak.peak_memory_kb} KB, logs in {folder}",
        flush=True,
    )
    for violation in violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"  {violation}", flush=True)
    return violations


if __name__ == "__main__":
    main()
