"""HTTP client of the entry hosts' operator interface."""

import json
import urllib.parse
from typing import Any, NamedTuple

import gevent.pool
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from sardinewheel_core.codec import load_json
from sardinewheel_core.errors import MessageError

from sardinewheel_cli.errors import UnreachableError

CONNECT_TIMEOUT_S = 2.0
QUERY_TIMEOUT_S = 3.0
CHANGE_TIMEOUT_S = 15.0
MAX_CONCURRENT_CALLS = 32
JSON_HEADERS = {"Content-Type": "application/json"}


class Reply(NamedTuple):
    """Response of one entry host.

    Attributes:
        address: ``host:port`` of the host.
        status: HTTP status, or 0 when the host did not answer.
        media: Body, decoded from JSON.
        error: Reason why there is no response, or empty.
        sent: Whether the request may have reached the host.
    """

    address: str
    status: int = 0
    media: Any = None
    error: str = ""
    sent: bool = True

    @property
    def answered(self) -> bool:
        """Whether the host answered."""
        return self.status != 0


class HostClient:
    """Sends queries and changes to entry hosts; any host can serve them.

    Attributes:
        addresses: Addresses in the order in which they are tried.
    """

    def __init__(self, addresses: tuple[str, ...]):
        self.addresses = list(addresses)

    def get(
        self,
        path: str,
        *,
        timeout_s: float = QUERY_TIMEOUT_S,
        **parameters: str,
    ) -> Reply:
        """Returns the response of the first host that answers.

        Args:
            path: Path of the resource.
            timeout_s: Seconds to wait for each host.
            **parameters: Query parameters; empty ones are omitted.

        Raises:
            UnreachableError: No host answered.
        """
        errors = []
        for address in list(self.addresses):
            full = _path(path, parameters)
            reply = send_request(address, "GET", full, timeout_s=timeout_s)
            if reply.answered:
                self.prefer(address)
                return reply
            errors.append(f"{address}: {reply.error}")
        raise UnreachableError("no entry host answered; " + "; ".join(errors))

    def get_each(
        self, addresses: tuple[str, ...], path: str, **parameters: str
    ) -> list[Reply]:
        """Sends a query to several hosts concurrently."""
        pool = gevent.pool.Pool(MAX_CONCURRENT_CALLS)
        full = _path(path, parameters)
        return pool.map(
            lambda address: send_request(address, "GET", full), addresses
        )

    def post(self, path: str, media: Any) -> Reply:
        """Sends a request to the first host that accepts the connection.

        Once the request may have reached a host, no other host is tried;
        :attr:`Reply.sent` is then true.

        Raises:
            UnreachableError: No host accepted the connection.
        """
        errors = []
        for address in list(self.addresses):
            reply = send_request(
                address, "POST", path, media, timeout_s=CHANGE_TIMEOUT_S
            )
            if reply.answered or reply.sent:
                return reply
            errors.append(f"{address}: {reply.error}")
        raise UnreachableError("no entry host answered; " + "; ".join(errors))

    def add(self, addresses: tuple[str, ...]) -> None:
        """Appends addresses that are not in the list yet."""
        self.addresses += [a for a in addresses if a not in self.addresses]

    def demote_first(self) -> None:
        """Moves the first address to the end of the list."""
        self.addresses.append(self.addresses.pop(0))

    def prefer(self, address: str) -> None:
        """Moves an address to the front of the list."""
        self.addresses.remove(address)
        self.addresses.insert(0, address)


def send_request(
    address: str,
    method: str,
    path: str,
    media: Any = None,
    *,
    timeout_s: float = QUERY_TIMEOUT_S,
) -> Reply:
    """Sends one HTTP request; errors are returned in the reply."""
    host, _, port = address.rpartition(":")
    body = b"" if media is None else json.dumps(media).encode()
    try:
        client = HTTPClient(
            host,
            int(port),
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=timeout_s,
        )
    except ValueError as error:
        return Reply(address, error=f"invalid address: {error}", sent=False)
    try:
        response = client.request(method, path, body, JSON_HEADERS)
        return Reply(address, response.status_code, load_json(response.read()))
    except ConnectionRefusedError as error:
        return Reply(address, error=str(error), sent=False)
    except (OSError, HTTPParseError, ValueError, MessageError) as error:
        return Reply(address, error=f"{type(error).__name__}: {error}")
    finally:
        client.close()


def _path(path: str, parameters: dict[str, str]) -> str:
    given = {name: value for name, value in parameters.items() if value}
    return f"{path}?{urllib.parse.urlencode(given)}" if given else path
