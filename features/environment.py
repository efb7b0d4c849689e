"""Sets up a separate small cluster for each scenario."""

import contextlib
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from sardinewheel_testing.process_cluster import ProcessCluster

MAX_CALLERS = 100


def before_scenario(context, scenario):
    context.resources = contextlib.ExitStack()
    folder = context.resources.enter_context(tempfile.TemporaryDirectory())
    context.cluster = ProcessCluster(Path(folder))
    context.resources.callback(context.cluster.stop)
    context.callers = context.resources.enter_context(
        ThreadPoolExecutor(MAX_CALLERS)
    )


def after_scenario(context, scenario):
    context.resources.close()
