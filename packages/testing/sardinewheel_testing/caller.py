"""Simulates the callers of one region: open-loop load on a schedule.

The argument is a JSON file with the fields of :class:`CallerSettings`.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import NamedTuple  # noqa: E402

import gevent  # noqa: E402

from sardinewheel_testing.baselines import (  # noqa: E402
    DirectSteering,
    LeastLoad,
    ListedTarget,
    RoundRobin,
)
from sardinewheel_testing.calls import (  # noqa: E402
    Call,
    CallOutcome,
    CallResult,
    Surge,
    Workload,
    result_to_plain,
    schedule,
)
from sardinewheel_testing.sardinewheel_steering import (  # noqa: E402
    SardinewheelSteering,
)
from sardinewheel_testing.steering import (  # noqa: E402
    ActiveCall,
    Network,
    Steering,
)

GRACE_S = 8.0
PROGRESS_INTERVAL_S = 1.0


class CallerSettings(NamedTuple):
    """Settings of the callers of one region.

    Attributes:
        region: Region of the callers.
        block: Address of the callers.
        steering: ``sardinewheel``, ``round-robin``, ``least-load`` or
            ``no-admission`` (round robin, with targets that queue excess
            requests instead of refusing them).
        entry_hosts: Pairs of address and region of each entry host.
        targets: Fields of each listed target.
        rates: Fields of each :class:`~sardinewheel_testing.calls.Workload`.
        surges: Fields of each :class:`~sardinewheel_testing.calls.Surge`.
        start_at: Start of the load, monotonic seconds.
        seconds: Duration of the load.
        seed: Seed of the schedule.
        output: Path of the JSON file for the results.
        clients: Number of look-up caches that callers share.
    """

    region: str
    block: str
    steering: str
    entry_hosts: list[list[str]]
    targets: list[list[str]]
    rates: list[list]
    surges: list[list]
    start_at: float
    seconds: float
    seed: int
    output: str
    clients: int = 200


def create_steering(settings: CallerSettings) -> Steering:
    """Returns the steering strategy that the settings name."""
    targets = [ListedTarget(*fields) for fields in settings.targets]
    regions = dict(settings.entry_hosts)
    regions.update((t.address, t.region) for t in targets)
    network = Network(region=settings.region, regions=regions)
    rng = random.Random(f"{settings.seed}/{settings.region}")
    if settings.steering == "sardinewheel":
        near = [a for a, r in settings.entry_hosts if r == settings.region]
        far = [a for a, r in settings.entry_hosts if r != settings.region]
        return SardinewheelSteering(
            network=network,
            seeds=near + far[::2],
            block=settings.block,
            clients=settings.clients,
            rng=rng,
        )
    policies = {
        "round-robin": RoundRobin,
        "no-admission": RoundRobin,
        "least-load": lambda: LeastLoad(
            network=network, targets=targets, rng=rng
        ),
    }
    policy = policies[settings.steering]()
    return DirectSteering(
        network=network, targets=targets, policy=policy, rng=rng
    )


class Caller:
    """Makes the calls of a schedule, each at its scheduled time.

    Attributes:
        results: Results so far, by the index of the call.
    """

    def __init__(self, settings: CallerSettings):
        self.settings = settings
        self.steering = create_steering(settings)
        self.results: dict[int, CallResult] = {}
        self.calls = schedule(
            [Workload(*fields) for fields in settings.rates],
            [Surge(*fields) for fields in settings.surges],
            seconds=settings.seconds,
            seed=settings.seed,
        )
        self.prefix = f"{settings.region}.{settings.seed}"

    def run(self) -> list[CallResult]:
        """Makes all calls and returns their results in order.

        Calls that have not ended ``GRACE_S`` after the longest deadline count
        as unanswered.
        """
        reporter = gevent.spawn(self._report_progress)
        greenlets = []
        for call in self.calls:
            due_at = self.settings.start_at + call.at_s
            gevent.sleep(max(0.0, due_at - time.monotonic()))
            greenlets.append(gevent.spawn(self._make_call, call, due_at))
        max_deadline_s = max(
            [0.0, *(c.workload.deadline_s for c in self.calls)]
        )
        gevent.joinall(greenlets, timeout=max_deadline_s + GRACE_S)
        reporter.kill()
        self._write_progress()
        return [self._result(call) for call in self.calls]

    def _make_call(self, call: Call, due_at: float) -> None:
        active_call = ActiveCall(call, prefix=self.prefix, due_at=due_at)
        self.results[call.index] = self.steering.steer(active_call)

    def _result(self, call: Call) -> CallResult:
        unanswered = CallResult(call, CallOutcome.UNANSWERED, 0.0, ())
        return self.results.get(call.index, unanswered)

    def _report_progress(self) -> None:
        while True:
            gevent.sleep(PROGRESS_INTERVAL_S)
            self._write_progress()

    def _write_progress(self) -> None:
        counts = dict.fromkeys(CallOutcome, 0)
        for result in list(self.results.values()):
            counts[result.outcome] += 1
        path = Path(self.settings.output + ".progress")
        part = path.with_suffix(".part")
        part.write_text(json.dumps(counts), encoding="utf-8")
        part.replace(path)


def main() -> None:
    """Runs the load that a settings file describes and writes the results."""
    text = Path(sys.argv[1]).read_text(encoding="utf-8")
    settings = CallerSettings(**json.loads(text))
    results = Caller(settings).run()
    plain = [result_to_plain(result) for result in results]
    Path(settings.output).write_text(json.dumps(plain), encoding="utf-8")


if __name__ == "__main__":
    main()
