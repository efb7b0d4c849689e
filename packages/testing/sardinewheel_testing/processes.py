"""Starts the real programs and the stand-ins as processes for tests."""

import contextlib
import json
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

BIN = Path(sys.executable).parent
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.02
# Below the ports that the kernel gives to connections and to port 0.
FIRST_PORT, LAST_PORT = 20000, 32000
PORTS_PER_BLOCK = 200


class HttpResponse(NamedTuple):
    """An HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def media(self):
        """The body, decoded as JSON."""
        return json.loads(self.body)


class PortBlocks:
    """Ports that no other test process hands out at the same time.

    The first port of a block stays bound as long as the block is in use.

    Attributes:
        claims: Bound sockets of the claimed blocks.
        ports: Ports of the latest block that were not returned yet.
    """

    def __init__(self):
        self.claims: list[socket.socket] = []
        self.ports: Iterator[int] = iter(())

    def free_port(self) -> int:
        """Returns a free port that was not returned before.

        Raises:
            OSError: All blocks are in use.
        """
        for port in self.ports:
            sock = _bound_socket(port)
            if sock:
                sock.close()
                return port
        self.ports = self._claim_block()
        return self.free_port()

    def _claim_block(self) -> Iterator[int]:
        for first in range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK):
            claim = _bound_socket(first)
            if claim:
                self.claims.append(claim)
                return iter(range(first + 1, first + PORTS_PER_BLOCK))
        raise OSError(f"all ports from {FIRST_PORT} to {LAST_PORT} are in use")


def _bound_socket(port: int) -> socket.socket | None:
    """Returns a socket bound to a loopback port; None if it is in use."""
    sock = socket.socket()
    try:
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        return None
    return sock


_blocks = PortBlocks()


def free_address() -> str:
    """Returns a loopback address with a free port, never the same twice."""
    return f"127.0.0.1:{_blocks.free_port()}"


def http(
    method: str,
    address: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 15.0,
) -> HttpResponse:
    """Sends one HTTP request and returns the response, whatever its status."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=body,
        headers=headers or {},
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return _to_response(response.status, response)
    except urllib.error.HTTPError as error:
        with error:
            return _to_response(error.code, error)


def _to_response(status: int, response) -> HttpResponse:
    headers = {k.lower(): v for k, v in response.headers.items()}
    return HttpResponse(status, headers, response.read())


def wait_until(condition, *, timeout_s: float = START_TIMEOUT_S):
    """Polls a condition and returns its first true value.

    An ``OSError``, such as a refused connection, counts as false.

    Raises:
        TimeoutError: The condition did not become true within ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            value = condition()
            if value:
                return value
        time.sleep(POLL_S)
    raise TimeoutError(f"condition not met in {timeout_s} s: {condition}")


class Process:
    """A child process that runs until it is stopped."""

    def __init__(self, arguments: list[str], *, log_file: Path):
        self.log_file = log_file
        with log_file.open("ab") as log:
            self.popen = subprocess.Popen(
                arguments, stdout=log, stderr=subprocess.STDOUT
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def stop(self) -> int:
        """Terminates the process and returns its exit status.

        Resumes it first if it is suspended; kills it if it does not end
        within ``STOP_TIMEOUT_S``.
        """
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()

    def kill(self) -> None:
        """Kills the process and waits for it."""
        self.popen.kill()
        self.popen.wait()


def start_stand_in(name: str, *arguments: str, log_file: Path) -> Process:
    """Starts a stand-in of :mod:`sardinewheel_testing` by module name."""
    module = f"sardinewheel_testing.{name}"
    command = [sys.executable, "-m", module, *arguments]
    return Process(command, log_file=log_file)


def start_entry_host(
    settings: dict, *, folder: Path, routes_file: Path | None = None
) -> Process:
    """Starts an entry host after writing its settings to a folder.

    Args:
        settings: Settings of the host.
        folder: Folder for the settings and the log.
        routes_file: File that maps addresses to relays, if connections go
            through the link stand-in.
    """
    path = folder / f"{settings['name']}.json"
    path.write_text(json.dumps(settings), encoding="utf-8")
    command = [str(BIN / "sardinewheeld"), str(path)]
    if routes_file is not None:
        module = "sardinewheel_testing.routed_entry_host"
        command = [sys.executable, "-m", module, str(routes_file), str(path)]
    return Process(command, log_file=folder / f"{settings['name']}.log")
