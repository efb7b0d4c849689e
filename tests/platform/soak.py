"""A randomized soak of the real program against stand-ins.

Gateways run as separate processes; callers, targets and the store run here.
Faults come in series and overlap. What callers and targets see is checked
against the promises. Run ``python -m tests.platform.soak --seed N``.
"""

import argparse
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import gevent
from gevent import socket

from tests.platform.gateway_process import FRONT, GatewayProcess
from tests.platform.stand_ins import Link, Store, Target, body_of

GATEWAYS = 3
TARGETS = 6
CALLERS = 8
TIMEOUT_S = 1.5
GRACE_S = 6.0
LATE_S = 2.0
START_TIMEOUT_S = 20.0
SETTLE_S = 6.0
MIN_SERVED_AFTER = 0.9
AFTER_REQUESTS = 200
AFTER_LONGEST_S = 20.0
WATCH_S = 0.05
STALL_S = 0.5
OK = 200
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


def configuration(version):
    """Returns what operators write."""
    routes = [
        {
            "Name": f"r-{kind}",
            "Host": "shop.example",
            "Prefix": f"/{kind}/",
            "Kind": kind,
            "Timeout": f"{int(TIMEOUT_S * 1000)}ms",
            "TargetLatency": "500ms",
            "Priority": 1,
            "Service": "orders",
            "MaxAttempts": 2,
            "Sticky": True,
            "HomeRegions": [],
        }
        for kind in ("idempotent", "non_idempotent")
    ]
    return {
        "CfgVersion": version,
        "Routes": routes,
        "Services": [
            {
                "Name": "orders",
                "MaxConns": 100,
                "ColdStart": "1s",
                "ColdPerS": 50,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1_000_000,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }


class Soak:
    """One run.

    Attributes:
        findings: Broken promises.
        served: Answers with success.
    """

    def __init__(self, seed, folder):
        self.rng = random.Random(seed)
        self.findings = []
        self.refused = []
        self.unsafe = []
        self.executed = {}
        self.served = 0
        self.asked = 0
        self.number = 0
        self.version = 1
        self.is_over = False
        self.faults_are_over = False
        self.late = []
        self.after = []
        self.stalls = []
        self.store = Store()
        self.link = Link(self.store.address)
        self.store.put("op", "config", configuration(1))
        self.targets = [
            Target(
                f"t{n}",
                self.store,
                self.executed,
                service="orders",
                rng=self.rng,
            )
            for n in range(TARGETS)
        ]
        self.gateways = [
            GatewayProcess(n, self.link.address, folder)
            for n in range(GATEWAYS)
        ]

    def run(self, seconds):
        """Plays faults for a while, lets all settle, and checks."""
        try:
            watch = gevent.spawn(self._watch_stalls)
            self._wait_until_ready()
            callers = [
                gevent.spawn(self._call_forever, n) for n in range(CALLERS)
            ]
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                gevent.spawn(self._fault)
                gevent.sleep(self.rng.uniform(0.3, 1.5))
            self._settle()
            self.is_over = True
            gevent.joinall(callers, timeout=10)
            watch.kill()
            self._check_end()
        finally:
            self._end_processes()
        return self.findings

    def _wait_until_ready(self):
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all(g.is_ready() for g in self.gateways):
            if time.monotonic() > deadline:
                raise AssertionError("the gateways did not become ready")
            gevent.sleep(0.1)

    def _fault(self):
        faults = [
            self._stop_gateway,
            self._kill_gateway,
            self._pause_gateway,
            self._reload_gateway,
            self._disturb_store,
            self._disturb_link,
            self._crash_target,
            self._drain_target,
            self._spoil_target,
            self._change_configuration,
            self._evacuate_nowhere,
        ]
        self.rng.choice(faults)()

    def _stop_gateway(self):
        gateway = self.rng.choice(self.gateways)
        if gateway.is_paused:
            return
        began = time.monotonic()
        popen = gateway.popen
        gateway.signal(signal.SIGTERM)
        while popen.poll() is None:
            if gateway.is_disturbed:
                return
            if time.monotonic() - began > GRACE_S:
                self._found(f"{gateway.name} runs on after its grace time")
                popen.kill()
            gevent.sleep(0.05)
        if popen is gateway.popen:
            gateway.start()

    def _kill_gateway(self):
        gateway = self.rng.choice(self.gateways)
        gateway.disturb(6.0)
        gateway.signal(signal.SIGKILL)
        gateway.is_paused = False
        popen = gateway.popen
        while popen.poll() is None:
            gevent.sleep(0.01)
        gevent.sleep(self.rng.uniform(0.1, 1.0))
        if gateway.popen is popen:
            gateway.start()

    def _pause_gateway(self):
        gateway = self.rng.choice(self.gateways)
        pause_s = self.rng.uniform(0.2, 3.0)
        gateway.disturb(pause_s + 6.0)
        gateway.is_paused = True
        gateway.signal(signal.SIGSTOP)
        gevent.sleep(pause_s)
        gateway.signal(signal.SIGCONT)
        gateway.is_paused = False

    def _reload_gateway(self):
        self.rng.choice(self.gateways).signal(signal.SIGHUP)

    def _disturb_store(self):
        self.store.mode = self.rng.choice(["busy", "silent", "reset"])
        gevent.sleep(self.rng.uniform(0.5, 4.0))
        self.store.mode = "ok"

    def _disturb_link(self):
        self.link.mode = self.rng.choice(
            ["delay", "silent", "one_way", "reset"]
        )
        gevent.sleep(self.rng.uniform(0.5, 4.0))
        self.link.mode = "ok"

    def _crash_target(self):
        target = self.rng.choice(self.targets)
        target.crash()
        gevent.sleep(self.rng.uniform(0.1, 2.0))
        target.start()

    def _drain_target(self):
        target = self.rng.choice(self.targets)
        if target.server is None:
            return
        target.drain()
        gevent.sleep(3.0)
        target.crash()
        self.store.put("servers", target.name, None)
        gevent.sleep(self.rng.uniform(0.1, 1.0))
        target.start()

    def _spoil_target(self):
        target = self.rng.choice(self.targets)
        target.fault = self.rng.choice(["lose", "shed", "extra", "half"])
        gevent.sleep(self.rng.uniform(0.5, 3.0))
        target.fault = ""

    def _change_configuration(self):
        self.version += self.rng.randint(1, 9)
        self.store.put("op", "config", configuration(self.version))

    def _evacuate_nowhere(self):
        self.store.put("op", "evacuate/south-a", {})
        gevent.sleep(1.0)
        self.store.put("op", "evacuate/south-a", None)

    def _settle(self):
        """Ends all faults and waits until everything should be well."""
        gevent.sleep(8.0)
        self.store.mode = self.link.mode = "ok"
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            if gateway.popen.poll() is not None:
                gateway.start()
        for target in self.targets:
            target.fault = ""
            target.start()
        gevent.sleep(SETTLE_S)
        self.faults_are_over = True
        end = time.monotonic() + AFTER_LONGEST_S
        while len(self._after_counted()) < AFTER_REQUESTS:
            if time.monotonic() > end:
                break
            gevent.sleep(0.5)

    def _watch_stalls(self):
        """Notes when this process, targets and store with it, stood still."""
        while True:
            began = time.monotonic()
            gevent.sleep(WATCH_S)
            ended = time.monotonic()
            if ended - began > WATCH_S + STALL_S:
                self.stalls.append((began, ended))

    def _stood_still(self, began, ended):
        return any(a < ended and began < b for a, b in self.stalls)

    def _after_counted(self):
        """Returns whether each request after all faults was served."""
        return [
            is_served
            for began, ended, is_served in self.after
            if not self._stood_still(began, ended)
        ]

    def _call_forever(self, caller):
        sock = gateway = None
        while not self.is_over:
            if sock is None:
                gateway = self.rng.choice(self.gateways)
                sock = self._connect(gateway)
            if sock is None or not self._call(sock, gateway, caller):
                if sock is not None:
                    sock.close()
                sock = None
            gevent.sleep(self.rng.uniform(0.0, 0.05))

    def _connect(self, gateway):
        try:
            sock = socket.create_connection((gateway.ip, FRONT), timeout=0.5)
        except OSError:
            gevent.sleep(0.05)
            return None
        sock.settimeout(10.0)
        return sock

    def _call(self, sock, gateway, caller):
        """Sends one request; says whether the connection may be kept."""
        self.number += 1
        request_id = f"{caller}-{self.number}"
        is_unsafe = self.rng.random() < 0.5
        kind = "non_idempotent" if is_unsafe else "idempotent"
        method = "POST" if is_unsafe else "GET"
        if is_unsafe:
            self.unsafe.append(request_id)
        counts_after = self.faults_are_over
        self.asked += 1
        began = time.monotonic()
        answer = self._exchange(
            sock,
            f"{method} /{kind}/x HTTP/1.1\r\nHost: shop.example\r\n"
            f"Sardinewheel-Attempt-Id: {request_id}\r\n"
            f"Cookie: Sardinewheel-Affinity-Key={self.rng.randint(1, 20)}\r\n"
            "Sardinewheel-Time-Remaining: 3000\r\n\r\n",
        )
        ended = time.monotonic()
        is_served = answer is not None and answer[0] == OK
        if counts_after:
            self.after.append((began, ended, is_served))
        if answer is None:
            return False
        status, headers, body = answer
        took_s = ended - began
        if took_s > TIMEOUT_S + LATE_S and not gateway.is_disturbed:
            finding = f"{request_id}: {status} after {took_s:.2f} s"
            self.late.append((began, ended, finding))
        if headers.get("sardinewheel-attempt-id", request_id) != request_id:
            self._found(f"{request_id}: got another request's answer")
        if status == 200:
            self.served += 1
            if body != body_of(request_id):
                self._found(f"{request_id}: got another body")
        elif status in PROMISES_NOT_RUN:
            self.refused.append(request_id)
        elif status in (400, 404, 500):
            self._found(f"{request_id}: {status}")
        return headers.get("connection", "").lower() != "close"

    def _exchange(self, sock, request):
        """Returns status, headers and body; nothing if none came whole."""
        try:
            sock.sendall(request.encode())
            data = b""
            while b"\r\n\r\n" not in data:
                more = sock.recv(65536)
                if not more:
                    return None
                data += more
            head, _, body = data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            pairs = (line.split(": ", 1) for line in lines[1:])
            headers = {name.lower(): value for name, value in pairs}
            length = int(headers["content-length"])
            while len(body) < length:
                more = sock.recv(65536)
                if not more:
                    return None
                body += more
            return int(lines[0].split(" ")[1]), headers, body
        except OSError:
            return None

    def _check_end(self):
        for request_id in self.unsafe:
            if self.executed.get(request_id, 0) > 1:
                self._found(f"{request_id}: executed twice")
        unsafe = set(self.unsafe)
        for request_id in self.refused:
            if request_id in unsafe and request_id in self.executed:
                self._found(f"{request_id}: refused, but executed")
        for began, ended, finding in self.late:
            if not self._stood_still(began, ended):
                self._found(finding)
        after = self._after_counted()
        asked, served = len(after), sum(after)
        if served < MIN_SERVED_AFTER * asked or asked < AFTER_REQUESTS:
            self._found(f"after all faults {served} of {asked} were served")

    def _found(self, finding):
        self.findings.append(finding)

    def _end_processes(self):
        for gateway in self.gateways:
            if gateway.popen.poll() is None:
                gateway.signal(signal.SIGCONT)
                gateway.popen.kill()
                gateway.popen.wait()


def main():
    """Runs seeds one after the other; exits with 1 if any has findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--logs", type=Path, default=None)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        folder = arguments.logs or Path(tempfile.mkdtemp(prefix="soak-"))
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, folder)
        findings = soak.run(arguments.seconds)
        failed += bool(findings)
        print(
            f"seed {seed}: {soak.served} of {soak.asked} served, "
            f"{len(findings)} findings, {len(soak.stalls)} stalls of the "
            f"harness, {len(soak.late)} late, logs in {folder}",
            flush=True,
        )
        for finding in findings[:20]:
            print(f"  {finding}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
