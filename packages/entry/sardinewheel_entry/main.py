"""The ``sardinewheeld`` command: runs an entry host."""

from gevent import monkey

monkey.patch_all()

import gc  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Annotated  # noqa: E402

import cappa  # noqa: E402
import gevent  # noqa: E402
import structlog  # noqa: E402
from sardinewheel_core.effects import StopOrdered  # noqa: E402
from sardinewheel_core.errors import SettingsError  # noqa: E402
from sardinewheel_core.host import Identity  # noqa: E402

from sardinewheel_entry import logs, wsgi  # noqa: E402
from sardinewheel_entry.api.app import create_app  # noqa: E402
from sardinewheel_entry.driver import Driver  # noqa: E402
from sardinewheel_entry.metrics import Metrics  # noqa: E402
from sardinewheel_entry.platform_client import PlatformClient  # noqa: E402
from sardinewheel_entry.settings import Settings  # noqa: E402

EXIT_INVALID_SETTINGS = 2
FLUSH_TIMEOUT_S = 0.5
GC_THRESHOLDS = (50_000, 20, 100)


def run(arguments: "Sardinewheeld") -> int:
    """Runs the command line.

    Returns:
        The exit status of the process.
    """
    try:
        settings = Settings.from_file(arguments.settings)
    except SettingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: ok")
        return 0
    serve(settings)
    return 0


@cappa.command(name="sardinewheeld", invoke=run)
@dataclass
class Sardinewheeld:
    """The entry host of sardinewheel.

    Attributes:
        settings: JSON file with the settings.
        check: Check the settings and exit.
    """

    settings: Annotated[Path, cappa.Arg(help="JSON file with the settings")]
    check: Annotated[
        bool, cappa.Arg(long=True, help="check the settings and exit")
    ] = False


def serve(settings: Settings) -> None:
    """Runs an entry host until its graceful shutdown is complete."""
    logs.configure(level=settings.log_level, host=settings.name)
    log = structlog.get_logger()
    identity = Identity(
        name=settings.name,
        incarnation=time.time_ns(),
        domain=settings.domain,
        http_address=settings.http_address,
        peer_address=settings.peer_address,
        seeds=settings.seeds,
    )
    platform = PlatformClient(settings.platform_address)
    driver = Driver(identity=identity, platform=platform)
    driver.metrics = Metrics.from_address(settings.statsd_address)
    http = wsgi.create_server(settings.http_address, create_app(driver))
    http.start()
    peers = driver.links.serve(settings.peer_address)
    gevent.spawn(peers.serve_forever)

    def request_stop() -> None:
        http.is_shutting_down = True
        driver.handle_event(StopOrdered())

    gevent.signal_handler(signal.SIGTERM, request_stop)
    gevent.signal_handler(signal.SIGINT, request_stop)
    log.info("started", incarnation=identity.incarnation)
    _tune_garbage_collector()
    driver.run(is_idle=lambda: http.is_idle)
    http.close()
    driver.run(is_idle=lambda: http.is_idle)
    driver.links.flush(FLUSH_TIMEOUT_S)
    log.info("stopped")


def _tune_garbage_collector() -> None:
    """Reduces how often the garbage collector scans long-lived objects."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def main() -> None:
    """Entry point of the ``sardinewheeld`` command."""
    sys.exit(cappa.invoke(Sardinewheeld))


if __name__ == "__main__":
    main()
