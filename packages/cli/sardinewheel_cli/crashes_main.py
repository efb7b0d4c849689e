"""``sardinewheel-crashes``: requests that are refused for crashing targets."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from sardinewheel_cli.client import Reply, send_request
from sardinewheel_cli.errors import ExitStatus

PATH = "/v1/crashing-requests"
OK = 200


@cappa.command(name="sardinewheel-crashes")
@dataclass
class Crashes:
    """Lists the requests that are refused because they crash targets.

    With ``--lift``, one of them is allowed again, at all hosts.

        sardinewheel-crashes 127.0.0.1:8146
        sardinewheel-crashes 127.0.0.1:8146 --lift 3e62ea68f9592940
    """

    host: Annotated[str, cappa.Arg(help="control address of any gateway")]
    lift: Annotated[
        str, cappa.Arg(long=True, help="digest of a request to allow again")
    ] = ""

    def __call__(self) -> None:
        """Prints the result.

        Raises:
            cappa.Exit: The host did not respond, or refuses no such request.
        """
        if self.lift:
            reply = send_request(self.host, "DELETE", f"{PATH}/{self.lift}")
            _require_response(reply)
            if reply.status != OK:
                raise cappa.Exit(
                    f"{self.host} refuses no request {self.lift}",
                    code=ExitStatus.REFUSED,
                )
            print(f"{self.lift} is allowed again")
            return
        reply = send_request(self.host, "GET", PATH)
        _require_response(reply)
        print("digest            losses  refused s  last came s ago")
        for entry in reply.media:
            print(
                f"{entry['digest']}  {entry['losses']:6}"
                f"  {entry['refused_s']:9.1f}  {entry['asked_ago_s']:15.1f}"
            )


def _require_response(reply: Reply) -> None:
    if not reply.answered:
        raise cappa.Exit(
            f"{reply.address} did not respond: {reply.error}",
            code=ExitStatus.UNREACHABLE,
        )


def main() -> None:
    """Entry point of the ``sardinewheel-crashes`` command."""
    cappa.invoke(Crashes)
