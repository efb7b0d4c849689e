"""The path of each gateway to the targets, which can be cut."""

from tests.platform.gateway_process import SOURCE_IP_OFFSET
from tests.platform.relays import ConnectionRelay

CUTS = ("hang", "reset", "refuse", "refuse-new")


def sender_number(source_ip):
    """Returns the number of the gateway behind a relay; None without one."""
    last = int(source_ip.rpartition(".")[2]) - SOURCE_IP_OFFSET - 1
    return last if last >= 0 else None


class TargetPath:
    """Relays between one gateway and the targets.

    Attributes:
        gateway: The gateway.
        relays: Relay to each target, by the port of the target.
        how: How the path is cut; empty while it is not.
        is_whole: Whether it is cut to all targets, also to later ones.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.relays = {}
        self.how = ""
        self.is_whole = False

    def add(self, target):
        """Adds a target that has started to listen, if it is new."""
        if target.server is None:
            # It has ended while it was added to other paths.
            return
        port = target.server.server_port
        if port in self.relays:
            return
        relay = ConnectionRelay(
            f"127.0.0.1:{port}",
            (self.gateway.relay_ip, port),
            source_ip=self.gateway.source_ip,
        )
        self.relays[port] = relay
        if self.how and self.is_whole:
            _cut(relay, self.how)

    def remove(self, port):
        """Refuses new connections to a target that has ended."""
        relay = self.relays.pop(port, None)
        if relay is not None:
            relay.refuse_new()

    def cut(self, how, *, share=1.0):
        """Cuts the gateway off from the first ``share`` of the targets.

        Args:
            how: ``hang``, ``reset`` (open connections are reset, new ones
                hang), ``refuse`` (open ones are reset, new ones refused) or
                ``refuse-new`` (open ones live on).
            share: Part of the targets.
        """
        relays = list(self.relays.values())
        self.how = how
        self.is_whole = share == 1.0
        for relay in relays[: round(share * len(relays))]:
            _cut(relay, how)

    def heal(self):
        """Ends the cut."""
        self.how = ""
        for relay in self.relays.values():
            relay.mode = "ok"
            relay.accept_new()

    def close(self):
        """Stops the relays."""
        for relay in self.relays.values():
            relay.server.close()


def _cut(relay, how):
    if how == "hang":
        relay.mode = "silent"
    if how in ("reset", "refuse"):
        relay.reset_open_connections()
    if how in ("refuse", "refuse-new"):
        relay.refuse_new()
    else:
        relay.hang_new()
