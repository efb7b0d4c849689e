"""Client of the platform's table service, object store and host list."""

import json
import time

import gevent
from sardinewheel_core.effects import Transact, TransactionEnded

from sardinewheel_entry import http_exchange
from sardinewheel_entry.http_exchange import (
    ConnectionLostError,
    Connections,
    NotSentError,
)

CALL_TIMEOUT_S = 2.0
OK = 200

Rows = tuple[tuple[str, int, str], ...]


class PlatformClient:
    """Calls the platform over HTTP; failures are values, not exceptions."""

    def __init__(self, address: str):
        self.address = address
        self.connections = Connections()

    def read(self, keys: tuple[str, ...]) -> Rows | None:
        """Returns rows, or nothing when the platform did not answer."""
        plain = self._call("/v1/table/read", {"keys": keys})
        return None if plain is None else _rows(plain["rows"])

    def transact(self, effect: Transact) -> TransactionEnded:
        """Runs a transaction."""
        plain = self._call(
            "/v1/table/transact",
            {
                "change_id": effect.change_id,
                "checks": effect.checks,
                "writes": effect.writes,
            },
        )
        if plain is None:
            return TransactionEnded(effect.call_id, False, failed=True)
        rows = _rows(plain["rows"])
        return TransactionEnded(effect.call_id, plain["committed"], rows)

    def _call(self, path: str, plain: dict) -> dict | None:
        body = json.dumps(plain).encode()
        head = http_exchange.head_of(
            "POST",
            path,
            self.address,
            {"Content-Type": "application/json"},
            len(body),
        )
        try:
            sock = self.connections.take(
                self.address, now=time.monotonic(), fresh=False
            )
        except NotSentError:
            return None
        keep = False
        try:
            with gevent.Timeout(CALL_TIMEOUT_S):
                http_exchange.send(sock, head, body)
                response, keep = http_exchange.receive(sock, "POST")
        except (ConnectionLostError, gevent.Timeout):
            return None
        finally:
            if keep:
                self.connections.put(self.address, sock, now=time.monotonic())
            else:
                sock.close()
        return json.loads(response.body) if response.status == OK else None


def _rows(plain: list) -> Rows:
    return tuple((row["key"], row["version"], row["value"]) for row in plain)
