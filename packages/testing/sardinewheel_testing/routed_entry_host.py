"""Runs an entry host whose connections go through the link stand-in.

The first argument is a JSON file that maps each ``host:port`` to the address
of its relay; the others are those of ``sardinewheeld``. The program runs
unchanged, except that its sockets connect to the relays.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

from gevent import socket  # noqa: E402
from sardinewheel_entry import addresses  # noqa: E402
from sardinewheel_entry import main as entry_main  # noqa: E402


def redirect_connections(routes: dict[str, str]) -> None:
    """Patches sockets to connect to the mapped address, if there is one."""
    connect = socket.socket.connect

    def connect_to_relay(self, address):
        relay = routes.get(f"{address[0]}:{address[1]}")
        return connect(self, addresses.split(relay) if relay else address)

    socket.socket.connect = connect_to_relay


def main() -> None:
    """Reads the routes and runs ``sardinewheeld``."""
    text = Path(sys.argv[1]).read_text(encoding="utf-8")
    redirect_connections(json.loads(text))
    sys.argv = ["sardinewheeld", *sys.argv[2:]]
    entry_main.main()


if __name__ == "__main__":
    main()
