"""Starts a gateway that other hosts reach through a relay.

Differs from ``platform/main.py`` only in the address that it announces and, if
there are relays to the targets, in the address at which it reaches these.
"""

import os
import signal
import sys
from pathlib import Path

signal.signal(signal.SIGHUP, signal.SIG_IGN)
ROOT = Path(__file__).resolve().parents[2]
# Import the sources of this checkout even if another one is installed.
sys.path[:1] = [str(ROOT / "platform"), str(ROOT / "packages" / "gateway")]

from gevent import socket  # noqa: E402
from sardinewheel_platform import program, settings  # noqa: E402

TARGET_IP = "127.0.0.1"


def use_target_relays(relay_ip, store):
    """Connects to targets through the relays at ``relay_ip``."""
    connect = socket.socket.connect

    def connect_through_relay(sock, address):
        host, port = address
        if host == TARGET_IP and f"{host}:{port}" != store:
            address = (relay_ip, port)
        return connect(sock, address)

    socket.socket.connect = connect_through_relay


def main():
    """Runs a gateway that announces the address of its relay."""
    loaded = settings.load()
    announced = loaded.gateway._replace(
        advertised_ip=os.environ["ANNOUNCED_IP"]
    )
    if relay_ip := os.environ["TARGET_RELAY_IP"]:
        use_target_relays(relay_ip, loaded.store)
    program.run(loaded._replace(gateway=announced))


if __name__ == "__main__":
    main()
