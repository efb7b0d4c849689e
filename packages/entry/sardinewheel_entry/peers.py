"""Messages between entry hosts, as CBOR in WebSocket frames.

One link per peer address carries messages in both directions. A link that a
peer opened is also used to send messages to that peer.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import cbor2
import gevent
import structlog
from gevent.queue import Empty, Full, Queue
from sardinewheel_core.codec import from_plain, to_compact
from sardinewheel_core.errors import MessageError
from sardinewheel_core.messages import (
    PROTOCOL_MINOR,
    PROTOCOL_VERSION,
    Message,
)
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import Server, ServerConnection, serve

from sardinewheel_entry import addresses

MAX_MESSAGE_BYTES = 256 * 1024
MAX_QUEUED_FRAMES = 256
OPEN_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.5
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 10.0
FLUSH_POLL_S = 0.01

log = structlog.get_logger()


class UnknownMessageError(MessageError):
    """A peer of a newer minor protocol version sent an unknown message."""


class Envelope(NamedTuple):
    """A message and its sender.

    Attributes:
        sender: Seat name of the sender.
        address: Peer address of the sender, or empty if it sent none.
        message: The message.
    """

    sender: str
    address: str
    message: Message


class PeerCounters:
    """Counts of frames and bytes between entry hosts, without frame headers."""

    def __init__(self):
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0
        self.received_messages = 0
        self.refused_messages = 0
        self.dropped_messages = 0

    def as_dict(self) -> dict[str, int]:
        """Returns the counts by attribute name."""
        return dict(vars(self))


def encode(sender: str, message: Message, *, address: str = "") -> bytes:
    """Returns a message as one CBOR frame."""
    frame = {
        "v": PROTOCOL_VERSION,
        "m": PROTOCOL_MINOR,
        "from": sender,
        "at": address,
        "body": to_compact(message),
    }
    return cbor2.dumps(frame)


def decode(data: bytes | str) -> Envelope:
    """Decodes one CBOR frame.

    Raises:
        UnknownMessageError: The frame has a newer minor version and an unknown
            message.
        MessageError: The frame is malformed or has another major version.
    """
    frame = _load_frame(data)
    sender, address = frame.get("from"), frame.get("at", "")
    if not isinstance(sender, str) or not isinstance(address, str):
        raise MessageError("$.from, $.at: expected strings")
    if frame.get("v") != PROTOCOL_VERSION:
        raise MessageError(f"$.v: expected protocol version {PROTOCOL_VERSION}")
    minor = frame.get("m", 0)
    if type(minor) is not int:
        raise MessageError("$.m: expected an integer minor version")
    try:
        message = from_plain(frame.get("body"), Message, "$.body")
    except MessageError as error:
        if minor > PROTOCOL_MINOR:
            raise UnknownMessageError(str(error)) from None
        raise
    return Envelope(sender, address, message)


def _load_frame(data: bytes | str) -> dict[str, Any]:
    if not isinstance(data, bytes):
        raise MessageError("expected a binary frame")
    try:
        frame = cbor2.loads(data)
    except Exception as error:  # cbor2 raises many types on bad input.
        raise MessageError(f"not CBOR: {type(error).__name__}") from error
    if not isinstance(frame, dict):
        raise MessageError("$: expected a map")
    return frame


class Link:
    """Send queue of the connection to one peer.

    Attributes:
        queue: Frames to send; ``None`` ends the link.
        is_full: Whether a frame has been dropped since the last one was
            queued; limits the warnings to one per overflow.
        lost_frames: Frames removed from the queue without being sent.
    """

    def __init__(self):
        self.queue: Queue = Queue(MAX_QUEUED_FRAMES)
        self.is_full = False
        self.lost_frames = 0

    def put(self, frame: bytes) -> bool:
        """Queues a frame; returns whether the queue had space for it."""
        try:
            self.queue.put_nowait(frame)
        except Full:
            return False
        self.is_full = False
        return True

    def close(self) -> None:
        """Ends the link once the queue is sent."""
        if self.queue.full():
            self._remove_frame()
        self.queue.put_nowait(None)

    def discard(self) -> int:
        """Empties the queue; returns how many frames were never sent."""
        while not self.queue.empty():
            self._remove_frame()
        lost, self.lost_frames = self.lost_frames, 0
        return lost

    def _remove_frame(self) -> None:
        if self.queue.get_nowait() is not None:
            self.lost_frames += 1


class PeerLinks:
    """Links to other entry hosts, opened on first use.

    Attributes:
        own_name: Seat name of this host.
        on_message: Called with the sender's seat name and each message.
        address: Peer address of this host.
        links: Links by peer address.
        counters: Counts of frames and bytes sent and received.
    """

    def __init__(
        self,
        own_name: str,
        on_message: Callable[[str, Message], None],
        *,
        address: str = "",
    ):
        self.own_name = own_name
        self.on_message = on_message
        self.address = address
        self.links: dict[str, Link] = {}
        self.counters = PeerCounters()

    def send(self, address: str, message: Message) -> None:
        """Queues a message, or drops it if the queue to the peer is full."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link()
            gevent.spawn(self._run_outgoing, address, link)
        frame = encode(self.own_name, message, address=self.address)
        if not link.put(frame):
            self.counters.dropped_messages += 1
            if not link.is_full:
                link.is_full = True
                log.warning("peer-queue-full", address=address)

    def serve(self, address: str) -> Server:
        """Returns a server that accepts connections from peers."""
        host, port = addresses.split(address)
        return serve(
            self._run_accepted,
            host,
            port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
        )

    def flush(self, timeout_s: float) -> None:
        """Waits until all send queues are empty, or until the timeout."""
        with gevent.Timeout(timeout_s, False):
            while any(link.queue.qsize() for link in self.links.values()):
                gevent.sleep(FLUSH_POLL_S)

    def _run_outgoing(self, address: str, link: Link) -> None:
        """Connects to a peer and runs the link until it ends."""
        try:
            connection = connect(
                f"ws://{address}",
                compression=None,
                max_size=MAX_MESSAGE_BYTES,
                open_timeout=OPEN_TIMEOUT_S,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
            )
        except (OSError, WebSocketException) as error:
            log.debug("peer-not-reached", address=address, error=str(error))
            self._remove_link(address, link)
            return
        reader = gevent.spawn(self._read, connection, link)
        try:
            self._write(connection, link)
        finally:
            self._remove_link(address, link)
            connection.close()
            reader.join()

    def _run_accepted(self, connection: ServerConnection) -> None:
        """Runs the link of a connection that a peer opened."""
        link = Link()
        writer = gevent.spawn(self._write, connection, link)
        try:
            self._read(connection, link, is_accepted=True)
        finally:
            for address, other in list(self.links.items()):
                if other is link:
                    del self.links[address]
            link.close()
            connection.close()
            writer.join(CLOSE_TIMEOUT_S)
            writer.kill()
            self.counters.dropped_messages += link.discard()

    def _read(
        self, connection: Connection, link: Link, *, is_accepted: bool = False
    ) -> None:
        """Handles messages until the connection ends or one is malformed."""
        try:
            for data in connection:
                self.counters.received_messages += 1
                self.counters.received_bytes += len(data)
                self._handle_frame(data, link if is_accepted else None)
        except MessageError as error:
            self.counters.refused_messages += 1
            log.warning("peer-message-refused", error=str(error)[:200])
        except (OSError, WebSocketException) as error:
            log.debug("peer-link-ended", error=str(error)[:200])
        finally:
            link.close()

    def _handle_frame(self, data: bytes | str, link: Link | None) -> None:
        try:
            envelope = decode(data)
        except UnknownMessageError as error:
            log.info("peer-message-skipped", error=str(error)[:200])
            return
        if link is not None and envelope.address:
            self.links.setdefault(envelope.address, link)
        self.on_message(envelope.sender, envelope.message)

    def _write(self, connection: Connection, link: Link) -> None:
        """Sends queued frames until the link ends or is idle for too long."""
        queue = link.queue
        try:
            while (frame := queue.get(timeout=IDLE_TIMEOUT_S)) is not None:
                connection.send(frame)
                self.counters.sent_messages += 1
                self.counters.sent_bytes += len(frame)
        except (OSError, WebSocketException, Empty):
            pass

    def _remove_link(self, address: str, link: Link) -> None:
        """Removes an ended link; counts the frames that it has not sent."""
        if self.links.get(address) is link:
            del self.links[address]
        self.counters.dropped_messages += link.discard()
