"""Gives each scenario a small house of its own."""

import contextlib
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from sardinewheel_testing.process_cluster import ProcessCluster

CALLERS = 100


def before_scenario(context, scenario):
    context.resources = contextlib.ExitStack()
    folder = context.resources.enter_context(tempfile.TemporaryDirectory())
    context.house = ProcessCluster(Path(folder))
    context.resources.callback(context.house.stop)
    context.callers = context.resources.enter_context(
        ThreadPoolExecutor(CALLERS)
    )


def after_scenario(context, scenario):
    context.resources.close()
