"""A gateway as a process of its own, the real program."""

import os
import subprocess
import sys
import time
from pathlib import Path

from gevent import socket

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, DIRECTORY = 18144, 18140, 18146, 18143
INTERNAL = 17660

SETTINGS = """
Node = "{name}"
IpAddr = "{ip}"
Zone = "north-a"
Region = "north"
InternalPorts = [{internal}, {internal_end}]
Seeds = [{seeds}]
Bounds = ["Grace=6s", "ttl_max=5s", "RetryRatio=0.2", "RetryWindow=10s",
  "RetrySlack=60", "ColdExcess=1.5", "ColdSlack=5"]
[Zones]
north-a = "north"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
Directory = "{ip}:{directory}"
[Limits]
LinkMbps = 1000.0
[Platform]
Address = "{store}"
"""


class GatewayProcess:
    """One gateway, the real program.

    Attributes:
        name: Its name.
        ip: Its loopback address.
        is_paused: Whether it was stopped by a signal.
    """

    def __init__(self, number, store_address, folder):
        self.name = f"host-{number}"
        self.ip = f"127.0.{os.getpid() % 200 + 10}.{number + 1}"
        net = self.ip.rpartition(".")[0]
        seeds = ", ".join(f'"{net}.{n + 1}:{CONTROL}"' for n in range(2))
        self.settings = folder / f"{self.name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                seeds=seeds,
                store=store_address,
                internal=INTERNAL,
                internal_end=INTERNAL + 9,
                front=FRONT,
                ready=READY,
                control=CONTROL,
                directory=DIRECTORY,
            )
        )
        self.log_path = folder / f"{self.name}.log"
        self.is_paused = False
        self.disturbed_until = 0.0
        self.start()

    def start(self):
        """Starts the program."""
        environment = os.environ | {"SARDINEWHEEL_SETTINGS": str(self.settings)}
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, str(ROOT / "platform/main.py")],
                env=environment,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def signal(self, number):
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def disturb(self, seconds):
        """Notes that it may be late or cut for a while."""
        until = time.monotonic() + seconds
        self.disturbed_until = max(self.disturbed_until, until)

    @property
    def is_disturbed(self):
        return time.monotonic() < self.disturbed_until

    def is_ready(self):
        """Says whether it takes requests."""
        try:
            sock = socket.create_connection((self.ip, READY), timeout=0.5)
            sock.settimeout(1.0)
            sock.sendall(
                b"GET /readiness HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n"
            )
            return sock.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False
