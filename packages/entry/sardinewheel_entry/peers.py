"""Messages between entry hosts: WebSocket frames of CBOR."""

from collections.abc import Callable

import cbor2
import gevent
import structlog
from gevent.queue import Full, Queue
from sardinewheel_core.codec import from_plain, to_plain
from sardinewheel_core.errors import MessageError
from sardinewheel_core.messages import PROTOCOL_VERSION, Message
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.server import Server, ServerConnection, serve

from sardinewheel_entry import addresses

MAX_MESSAGE_BYTES = 256 * 1024
MAX_QUEUED = 256
OPEN_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0

log = structlog.get_logger()


def encode(sender: str, message: Message) -> bytes:
    """Returns a message as one CBOR frame."""
    frame = {"v": PROTOCOL_VERSION, "from": sender, "body": to_plain(message)}
    return cbor2.dumps(frame)


def decode(data: bytes) -> tuple[str, Message]:
    """Returns sender and message of one CBOR frame.

    Raises:
        MessageError: The frame is malformed or of an unknown kind.
    """
    try:
        frame = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise MessageError(f"not CBOR: {error}") from error
    if not isinstance(frame, dict) or not isinstance(frame.get("from"), str):
        raise MessageError("$: expected a map with the sender's name")
    return frame["from"], from_plain(frame.get("body"), Message, "$.body")


class PeerLinks:
    """Outgoing links, one per peer address, opened when first used."""

    def __init__(self, own: str, on_message: Callable[[str, Message], None]):
        self.own = own
        self.on_message = on_message
        self.queues: dict[str, Queue] = {}

    def send(self, address: str, message: Message) -> None:
        """Queues a message; drops it when the peer does not keep up."""
        queue = self.queues.get(address)
        if queue is None:
            queue = self.queues[address] = Queue(MAX_QUEUED)
            gevent.spawn(self._pump, address, queue)
        try:
            queue.put_nowait(encode(self.own, message))
        except Full:
            log.warning("peer-queue-full", address=address)

    def serve(self, address: str) -> Server:
        """Returns a server for peers that connect to this host."""
        host, port = addresses.split(address)
        return serve(
            self._receive,
            host,
            port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
        )

    def _pump(self, address: str, queue: Queue) -> None:
        """Sends queued messages until the peer is idle or unreachable."""
        try:
            with connect(
                f"ws://{address}",
                compression=None,
                open_timeout=OPEN_TIMEOUT_S,
                max_size=MAX_MESSAGE_BYTES,
            ) as connection:
                while True:
                    connection.send(queue.get(timeout=IDLE_TIMEOUT_S))
        except (OSError, WebSocketException, gevent.queue.Empty):
            pass
        finally:
            self.queues.pop(address, None)

    def _receive(self, connection: ServerConnection) -> None:
        try:
            for data in connection:
                self.on_message(*decode(data))
        except MessageError as error:
            log.warning("peer-message-refused", error=str(error))
        except (OSError, WebSocketException):
            pass
