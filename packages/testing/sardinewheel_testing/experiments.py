"""The named experiments of the bench."""

import signal
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from sardinewheel_testing.calls import Surge
from sardinewheel_testing.running import send_json
from sardinewheel_testing.scene import Scene

PEAK = 1.5
AUDIENCE_FACTOR = 3.0
AUDIENCE_S = 60.0
FREEZE_S = 10.0
COLD_REQUESTS = 30
COLD_FACTOR = 5.0
NEW_WORK_GOAL_S = 3.0
IN_FORCE_GOAL_S = 5.0


class Experiment(NamedTuple):
    """One experiment.

    Attributes:
        name: Its name.
        seconds: How long calls are made.
        events: What happens meanwhile.
        surges: Intervals with more load.
        is_routed: Whether connections between entry hosts go through relays.
        is_audience: Whether it is the audience of one minute, scaled.
    """

    name: str
    seconds: float
    events: Callable[[Scene], None]
    surges: tuple[Surge, ...] = ()
    is_routed: bool = False
    is_audience: bool = False

    def scaled(self, scale: float) -> "Experiment":
        """Returns the experiment with its audience's minute scaled."""
        if not self.is_audience:
            return self
        lasts_s = AUDIENCE_S * scale
        surge = Surge(2.0, 2.0 + lasts_s, AUDIENCE_FACTOR)
        return self._replace(seconds=4.0 + lasts_s, surges=(surge,))


def nothing(scene: Scene) -> None:
    """Lets the load run."""


def drain_targets(scene: Scene) -> None:
    """Drains one target of each region; it announces that it leaves."""
    scene.wait_until(4.0)
    drained = [scene.targets_of(region=r)[0] for r in scene.house.regions]
    ordered_at = {}
    for target in drained:
        ordered_at[target.name] = time.monotonic()
        if scene.is_product:
            place = ("target", target.name)
            scene.running.operate("drain", *place, "--force", "drain-room")
        scene.running.set_targets([target], draining=True)
    for target in drained:
        scene.watch_drain(target, ordered_at[target.name])
    for noted in scene.noted:
        if noted.name == "drain_new_work_s":
            text = f"new work for {noted.value} s after a drain was ordered"
            scene.expect(noted.value <= NEW_WORK_GOAL_S, text)


def lose_region(scene: Scene) -> None:
    """Kills all entry hosts and targets of a region at once."""
    scene.wait_until(4.0)
    region = scene.house.regions[1]
    if scene.is_product:
        scene.running.kill_region(region)
    else:
        scene.running.kill_targets(region)


def cut_domain(scene: Scene) -> None:
    """Cuts a failure domain off from the others and from the platform."""
    if not scene.is_product:
        return
    domain = scene.house.entry_hosts[0]["domain"]
    scene.wait_until(3.0)
    scene.running.routes.cut_domain(domain)
    scene.wait_until(9.0)
    scene.running.routes.restore_domain(domain)


def stop_reports(scene: Scene) -> None:
    """Stops the load endpoints of all targets."""
    scene.wait_until(2.0)
    scene.running.set_targets(scene.house.targets(), load_report="stopped")


def falsify_reports(scene: Scene) -> None:
    """Makes half of the targets report that nothing is in flight."""
    scene.wait_until(2.0)
    liars = scene.house.targets()[::2]
    scene.running.set_targets(liars, load_report="lying")


def stop_platform(scene: Scene) -> None:
    """Takes the platform down while a shift runs and a change is tried."""
    if not scene.is_product:
        return
    scene.wait_until(1.0)
    _start_shift(scene, share="30%")
    scene.wait_until(2.0)
    scene.running.set_platform(mode="down")
    region = scene.house.regions[2]
    cap = scene.house.intent.regions[region].cap
    scene.wait_until(4.0)
    state = _offer_cap(scene, region, cap - 1)
    scene.expect(state != "accepted", "a change was accepted without platform")
    scene.wait_until(9.0)
    scene.running.set_platform(mode="up")
    version = scene.running.operate("set", "cap", region, str(cap))
    seconds = scene.running.seconds_until_in_force(version)
    scene.note("in_force_everywhere_s", seconds)
    scene.expect(seconds <= IN_FORCE_GOAL_S, f"in force after {seconds:.1f} s")


def freeze_host(scene: Scene) -> None:
    """Freezes an entry host for a while and wakes it."""
    if not scene.is_product:
        return
    scene.wait_until(3.0)
    process = next(iter(scene.running.hosts.values()))
    process.signal(signal.SIGSTOP)
    scene.wait_until(3.0 + FREEZE_S)
    process.signal(signal.SIGCONT)


def silence_connections(scene: Scene) -> None:
    """Makes the open connections of a domain silent; new ones work."""
    if not scene.is_product:
        return
    scene.wait_until(4.0)
    domain = scene.house.entry_hosts[0]["domain"]
    scene.running.routes.silence_domain(domain)


def race_operators(scene: Scene) -> None:
    """Offers two changes of one cap at the same moment, on two hosts."""
    if not scene.is_product:
        return
    scene.wait_until(3.0)
    region = scene.house.regions[0]
    cap = scene.house.intent.regions[region].cap
    names = sorted(scene.running.hosts)
    base = scene.running.status(names[0])["intent"]["version"]
    states: dict[int, str] = {}

    def offer(index: int) -> None:
        name = names[-index]
        states[index] = _offer_cap(
            scene, region, cap - index, name=name, base_version=base
        )

    threads = [threading.Thread(target=offer, args=(i,)) for i in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    scene.note("race", "/".join(sorted(states.values())))
    accepted = list(states.values()).count("accepted")
    scene.expect(accepted == 1, f"{accepted} of two racing changes accepted")
    seconds = scene.running.seconds_until_in_force(base + 1)
    scene.note("in_force_everywhere_s", seconds)
    intents = {str(scene.running.status(name)["intent"]) for name in names}
    scene.expect(len(intents) == 1, "entry hosts disagree about the intent")


def shift_to_cold(scene: Scene) -> None:
    """Shifts half of a region's traffic to a region with cold targets."""
    cold = scene.targets_of(region=scene.house.regions[1])
    scene.running.set_targets(
        cold, cold_requests=COLD_REQUESTS, cold_factor=COLD_FACTOR
    )
    if scene.is_product:
        scene.wait_until(1.0)
        _start_shift(scene, share="50%")


def _start_shift(scene: Scene, *, share: str) -> None:
    service = next(iter(scene.house.intent.services))
    source, destination = scene.house.regions[:2]
    bounds = f"share {share} cap 80 per 2s over 4s --force region-cap"
    route = ("from", source, "to", destination)
    scene.running.operate("shift", service, *route, *bounds.split())


def _offer_cap(
    scene: Scene,
    region: str,
    cap: int,
    *,
    name: str = "",
    base_version: int = 0,
) -> str:
    """Offers a change of a cap once; returns how that ended."""
    settings = scene.running.settings_of(
        name or next(iter(scene.running.hosts))
    )
    operation = {"type": "SetCap", "region": region, "cap": cap}
    plain = {
        "author": "bench",
        "base_version": base_version,
        "operations": [operation],
    }
    try:
        reply = send_json(
            "POST", settings["http_address"], "/v1/changes", plain
        )
    except OSError:
        return "no-answer"
    return reply.media.get("state", str(reply.status))


PEAK_LOAD = (Surge(0.0, 60.0, PEAK),)

EXPERIMENTS = (
    Experiment("steady", 10.0, nothing),
    Experiment("show-opens", 0.0, nothing, is_audience=True),
    Experiment("drain-at-peak", 10.0, drain_targets, PEAK_LOAD),
    Experiment("region-lost-at-peak", 12.0, lose_region, PEAK_LOAD),
    Experiment("domain-cut", 13.0, cut_domain, is_routed=True),
    Experiment("load-reports-stopped", 9.0, stop_reports, PEAK_LOAD),
    Experiment("load-reports-lying", 9.0, falsify_reports, PEAK_LOAD),
    Experiment("platform-down", 13.0, stop_platform),
    Experiment("entry-host-frozen", 17.0, freeze_host),
    Experiment("connections-silent", 10.0, silence_connections, is_routed=True),
    Experiment("two-operators", 8.0, race_operators),
    Experiment("cold-region-shift", 12.0, shift_to_cold),
)
