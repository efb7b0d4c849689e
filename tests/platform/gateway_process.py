"""Runs the gateway program as a separate process."""

import functools
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from gevent import socket

ROOT = Path(__file__).resolve().parents[2]
GATEWAY_SCRIPT = ROOT / "platform/main.py"
RELAYED_GATEWAY_SCRIPT = ROOT / "tests/platform/announced_gateway.py"
FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT = (
    18144,
    18140,
    18146,
    18143,
)
INTERNAL_PORT = 17660
RELAY_IP_OFFSET = 100
# Not the address of the relays: a connection from it takes a port there.
SOURCE_IP_OFFSET = 200
NET_COUNT = 200
FIRST_NET = 10
# Held by the process that uses a net, on an address that no gateway has.
NET_CLAIM_IP, NET_CLAIM_PORT = 250, 18099
SEED_COUNT = 2
MIN_CPU_WAIT_S = 0.4
NANOSECONDS_PER_S = 1e9

# Sockets that hold the claims; the process keeps them until its end.
_net_claims = []

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


@functools.cache
def claimed_net():
    """Returns the loopback net that only this test process uses.

    The ports of the gateways are fixed, so that test processes which run at
    the same time need an address range each.
    """
    for step in range(NET_COUNT):
        number = (os.getpid() + step) % NET_COUNT + FIRST_NET
        sock = socket.socket()
        try:
            sock.bind((f"127.0.{number}.{NET_CLAIM_IP}", NET_CLAIM_PORT))
        except OSError:
            sock.close()
            continue
        _net_claims.append(sock)
        return f"127.0.{number}"
    raise OSError(f"all {NET_COUNT} loopback nets are in use")


class GatewayProcess:
    """One gateway process.

    Attributes:
        number: Index of the gateway.
        name: Host name.
        ip: Loopback address that it listens on.
        relay_ip: Address that it announces to other gateways, if relayed.
        source_ip: Address from which targets see its relayed connections.
        script: Python file that is run.
        has_target_relays: Whether it reaches targets at ``relay_ip``.
        is_paused: Whether it is stopped by SIGSTOP.
        is_terminating: Whether it was sent a signal that ends it.
        cpu_waits: Spans in which it was runnable but waited for a processor,
            from the kernel's scheduler statistics.
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
        self.script = RELAYED_GATEWAY_SCRIPT if is_relayed else GATEWAY_SCRIPT
        self.name = f"host-{number}"
        self.has_target_relays = False
        net = claimed_net()
        self.ip = f"{net}.{number + 1}"
        self.relay_ip = f"{net}.{RELAY_IP_OFFSET + number + 1}"
        self.source_ip = f"{net}.{SOURCE_IP_OFFSET + number + 1}"
        seeds = (f"{net}.{RELAY_IP_OFFSET + n + 1}" for n in range(SEED_COUNT))
        self.settings_path = folder / f"{self.name}.toml"
        self.settings_path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                domain=domain,
                region=region_of(domain),
                domains="\n".join(f'{x} = "{region_of(x)}"' for x in domains),
                seeds=", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in seeds),
                store=store_address,
                internal=INTERNAL_PORT,
                internal_end=INTERNAL_PORT + 9,
                front=FRONT_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                directory=DIRECTORY_PORT,
            )
        )
        self.log_path = folder / f"{self.name}.log"
        self.popen = None
        self.is_paused = False
        self.is_terminating = False
        self.disturbed_until = 0.0
        self.cpu_waits = []
        self.cpu_wait_s = 0.0

    def start(self):
        """Starts the process.

        Raises:
            RuntimeError: It runs, and would never be ended.
        """
        if self.popen is not None and self.popen.poll() is None:
            raise RuntimeError(f"{self.name} runs already")
        environment = os.environ | {
            "SARDINEWHEEL_SETTINGS": str(self.settings_path),
            "ANNOUNCED_IP": self.relay_ip,
            "TARGET_RELAY_IP": self.relay_ip if self.has_target_relays else "",
        }
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, str(self.script)],
                env=environment,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )
        self.is_terminating = False
        self.cpu_wait_s = 0.0

    def record_cpu_wait(self):
        """Records a span in which the process was runnable but did not run."""
        try:
            text = Path(f"/proc/{self.popen.pid}/schedstat").read_text()
        except OSError:
            # The process has just ended.
            return
        cpu_wait_s = int(text.split()[1]) / NANOSECONDS_PER_S
        now = time.monotonic()
        # The kernel accounts for a wait only when it is over.
        if cpu_wait_s - self.cpu_wait_s > MIN_CPU_WAIT_S:
            self.cpu_waits.append((now - (cpu_wait_s - self.cpu_wait_s), now))
        self.cpu_wait_s = cpu_wait_s

    def signal(self, number):
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def terminate(self, number):
        """Sends a signal that ends the process."""
        self.is_terminating = True
        self.is_paused = False
        self.signal(number)

    def kill_if_running(self):
        """Sends SIGKILL if the process runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    def mark_disturbed(self, seconds):
        """Records that a fault may delay or disconnect it for some seconds."""
        until = time.monotonic() + seconds
        self.disturbed_until = max(self.disturbed_until, until)

    @property
    def is_disturbed(self):
        return time.monotonic() < self.disturbed_until

    def is_ready(self):
        """Returns whether the readiness check succeeds."""
        try:
            sock = socket.create_connection((self.ip, READY_PORT), timeout=0.5)
            sock.settimeout(1.0)
            sock.sendall(
                b"GET /readiness HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n"
            )
            return sock.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def peak_memory_kb(self):
        """Returns the peak resident memory of the process, in KB."""
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        return 0


def region_of(domain):
    """Returns the region of a failure domain."""
    return domain.partition("-")[0]
