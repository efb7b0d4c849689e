"""Logging to standard error: one logfmt line (key=value) per event."""

import logging
import sys

import structlog


def configure(*, level: str, host: str) -> None:
    """Configures logging for the process.

    Args:
        level: Minimum level that is logged.
        host: Name of the entry host, added to every line.
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "host", "event"],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)
