"""Starts the gateway's program so that others reach it through a relay.

Only the address that it announces differs from what ``platform/main.py``
starts.
"""

import os
import signal
import sys
from pathlib import Path

signal.signal(signal.SIGHUP, signal.SIG_IGN)
ROOT = Path(__file__).resolve().parents[2]
# This checkout's sources, also where another one is installed.
sys.path[:1] = [str(ROOT / "platform"), str(ROOT / "packages" / "gateway")]

from sardinewheel_platform import program, settings  # noqa: E402


def main():
    """Runs a gateway that announces the address of its relay."""
    found = settings.load()
    announced = found.gateway._replace(advertised_ip=os.environ["ANNOUNCED_IP"])
    program.run(found._replace(gateway=announced))


if __name__ == "__main__":
    main()
