"""Starts a gateway that other hosts reach through a relay.

Differs from ``platform/main.py`` only in the address that it announces.
"""

import os
import signal
import sys
from pathlib import Path

signal.signal(signal.SIGHUP, signal.SIG_IGN)
ROOT = Path(__file__).resolve().parents[2]
# Import the sources of this checkout even if another one is installed.
sys.path[:1] = [str(ROOT / "platform"), str(ROOT / "packages" / "gateway")]

from sardinewheel_platform import program, settings  # noqa: E402


def main():
    """Runs a gateway that announces the address of its relay."""
    loaded = settings.load()
    announced = loaded.gateway._replace(
        advertised_ip=os.environ["ANNOUNCED_IP"]
    )
    program.run(loaded._replace(gateway=announced))


if __name__ == "__main__":
    main()
