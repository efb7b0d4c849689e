"""A gateway as a process of its own, the real program."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from gevent import socket

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "platform/main.py"
RELAYED_PROGRAM = ROOT / "tests/platform/announced_gateway.py"
FRONT, READY, CONTROL, DIRECTORY = 18144, 18140, 18146, 18143
INTERNAL = 17660
FIRST_RELAY = 100
SEEDS = 2
STARVED_S = 0.4
NANOSECONDS_PER_S = 1e9

SETTINGS = """
Node = "{name}"
IpAddr = "{ip}"
Zone = "{domain}"
Region = "{region}"
InternalPorts = [{internal}, {internal_end}]
Seeds = [{seeds}]
Bounds = ["Contact=4000ms", "Grace=6s", "ttl_max=5s", "RetryRatio=0.2",
  "RetryWindow=10s", "RetrySlack=60", "ColdExcess=1.5", "ColdSlack=5"]
[Zones]
{domains}
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
        number: Its number.
        name: Its name.
        ip: Its loopback address.
        relay_ip: Address under which other gateways know it, if relayed.
        program: File that is run.
        is_paused: Whether it was stopped by a signal.
        is_ending: Whether it was told to end, or killed.
        starved: Spans in which it waited for a processor, by the kernel's
            count.
    """

    def __init__(
        self,
        number,
        store_address,
        folder,
        *,
        domain,
        domains,
        is_relayed=True,
    ):
        self.number = number
        self.program = RELAYED_PROGRAM if is_relayed else PROGRAM
        self.name = f"host-{number}"
        net = f"127.0.{os.getpid() % 200 + 10}"
        self.ip = f"{net}.{number + 1}"
        self.relay_ip = f"{net}.{FIRST_RELAY + number + 1}"
        seeds = (f"{net}.{FIRST_RELAY + n + 1}" for n in range(SEEDS))
        self.settings = folder / f"{self.name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                domain=domain,
                region=region_of(domain),
                domains="\n".join(f'{x} = "{region_of(x)}"' for x in domains),
                seeds=", ".join(f'"{seed}:{CONTROL}"' for seed in seeds),
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
        self.popen = None
        self.is_paused = False
        self.is_ending = False
        self.disturbed_until = 0.0
        self.starved = []
        self.waited_s = 0.0

    def start(self):
        """Starts the program."""
        environment = os.environ | {
            "SARDINEWHEEL_SETTINGS": str(self.settings),
            "ANNOUNCED_IP": self.relay_ip,
        }
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, str(self.program)],
                env=environment,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )
        self.is_ending = False
        self.waited_s = 0.0

    def watch_processor(self):
        """Notes a span in which it was ready to run, but didn't."""
        try:
            text = Path(f"/proc/{self.popen.pid}/schedstat").read_text()
        except OSError:
            # It has just ended.
            return
        waited_s = int(text.split()[1]) / NANOSECONDS_PER_S
        now = time.monotonic()
        # The kernel counts a wait when it is over.
        if waited_s - self.waited_s > STARVED_S:
            self.starved.append((now - (waited_s - self.waited_s), now))
        self.waited_s = waited_s

    def signal(self, number):
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def end(self, number):
        """Sends a signal that ends it."""
        self.is_ending = True
        self.is_paused = False
        self.signal(number)

    def end_now(self):
        """Ends it without grace, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

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

    def peak_kb(self):
        """Returns the most memory that the process has used, in KB."""
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        return 0


def region_of(domain):
    """Returns the region of a failure domain."""
    return domain.partition("-")[0]
