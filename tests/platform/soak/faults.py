"""Faults that a soak brings about, each from outside of the gateways."""

import signal
import time

import gevent

from tests.platform.soak import callers
from tests.platform.soak.operators import probe_path
from tests.platform.soak.promises import CALM_S

GRACE_S = 6.0
CONFIG_APPLY_S = 2.5
AFTER_START_S = 6.0
PHASE_S = 12.0
KINDS_IN_PHASE = 3
PLANNED_SHARE = 0.5
NOT_FOUND = 404


class Faults:
    """Brings about one change or fault at a time; several may overlap.

    Most promises with a bound in time hold only while the store is well, so
    each phase plays a few kinds of faults beside the planned changes.

    Attributes:
        house: All that can be harmed.
        rng: Chooses.
        planned: What operators and targets do on any day.
        kinds: All kinds of faults.
        in_phase: Kinds that are played now.
        phase_ends_at: When other kinds are chosen, on the steady clock.
    """

    def __init__(self, house, rng):
        self.house = house
        self.rng = rng
        self.promises = house.promises
        self.planned = [
            self.reload_gateway,
            self.drain_target,
            self.change_configuration,
            self.evacuate,
        ]
        self.kinds = [
            self.stop_gateway,
            self.kill_gateway,
            self.kill_many,
            self.pause_gateway,
            self.disturb_store,
            self.disturb_link,
            self.forget_store_connections,
            self.cut_hosts_one_way,
            self.disturb_datagrams,
            self.disturb_control,
            self.crash_target,
            self.spoil_target,
            self.forget_target_connections,
        ]
        self.in_phase = self.kinds
        self.phase_ends_at = 0.0

    def bring_one(self):
        """Brings about one change or fault, and ends it again."""
        if self.rng.random() < PLANNED_SHARE:
            self.rng.choice(self.planned)()
            return
        if time.monotonic() >= self.phase_ends_at:
            self.phase_ends_at = time.monotonic() + PHASE_S
            self.in_phase = self.rng.sample(self.kinds, KINDS_IN_PHASE)
        self.rng.choice(self.in_phase)()

    def stop_gateway(self):
        """SIGTERM; it must end within its grace time."""
        gateway = self.rng.choice(self.house.gateways)
        if gateway.is_paused or gateway.is_ending:
            return
        began = time.monotonic()
        popen = gateway.popen
        gateway.end(signal.SIGTERM)
        while popen.poll() is None:
            if gateway.is_disturbed:
                return
            if time.monotonic() - began > GRACE_S:
                self.promises.found(f"{gateway.name} outlives its grace time")
                popen.kill()
            gevent.sleep(0.05)
        if popen is gateway.popen:
            gateway.start()
            gateway.disturb(AFTER_START_S)

    def kill_gateway(self):
        """SIGKILL, and a start soon after."""
        self._kill(self.rng.choice(self.house.gateways))

    def kill_many(self):
        """Kills most gateways at the same moment."""
        gateways = self.house.gateways
        count = self.rng.randint(len(gateways) // 2, len(gateways))
        chosen = self.rng.sample(gateways, count)
        gevent.joinall([gevent.spawn(self._kill, x) for x in chosen])

    def pause_gateway(self):
        """SIGSTOP for a while."""
        gateway = self.rng.choice(self.house.gateways)
        pause_s = self.rng.uniform(0.2, 3.0)
        gateway.disturb(pause_s + AFTER_START_S)
        gateway.is_paused = True
        gateway.signal(signal.SIGSTOP)
        gevent.sleep(pause_s)
        gateway.signal(signal.SIGCONT)
        gateway.is_paused = False

    def reload_gateway(self):
        """SIGHUP."""
        self.rng.choice(self.house.gateways).signal(signal.SIGHUP)

    def disturb_store(self):
        """The store misbehaves towards everyone."""
        self.promises.harm_began()
        self.house.store.mode = self.rng.choice(["busy", "silent", "reset"])
        gevent.sleep(self.rng.uniform(0.5, 4.0))
        self.house.store.mode = "ok"
        self.promises.harm_ended()

    def disturb_link(self):
        """The way to the store misbehaves."""
        self.promises.harm_began()
        self.house.link.mode = self.rng.choice(
            ["delay", "silent", "one_way", "reset"]
        )
        gevent.sleep(self.rng.uniform(0.5, 4.0))
        self.house.link.mode = "ok"
        self.promises.harm_ended()

    def forget_store_connections(self):
        """Open connections to the store go silent; new ones work."""
        self.promises.harm_began()
        self.house.link.forget()
        gevent.sleep(CALM_S)
        self.promises.harm_ended()

    def cut_hosts_one_way(self):
        """Datagrams from one gateway to another are lost, not back."""
        self._harm_datagrams("cut", pairs=1)

    def disturb_datagrams(self):
        """Datagrams between several gateways are lost or late."""
        mode = self.rng.choice(["cut", "lossy", "delay"])
        self._harm_datagrams(mode, pairs=self.rng.randint(2, 6))

    def disturb_control(self):
        """Connections of other gateways to one are harmed."""
        link = self.rng.choice(self.house.control_links)
        link.mode = self.rng.choice(["delay", "silent", "one_way", "reset"])
        gevent.sleep(self.rng.uniform(0.5, 4.0))
        link.mode = "ok"

    def crash_target(self):
        """A target ends without a word, and starts again."""
        target = self.rng.choice(self.house.targets)
        target.crash()
        gevent.sleep(self.rng.uniform(0.1, 2.0))
        self.house.start_target(target)

    def drain_target(self):
        """A target says that it leaves, or its record is dropped."""
        target = self.rng.choice(self.house.targets)
        if target.server is None or target.name in self.promises.leaving:
            return
        if self.rng.random() < 0.5:
            target.drain()
        else:
            self.house.store.put("servers", target.name, None)
        self.promises.target_leaves(target.name)
        gevent.sleep(4.0)
        target.crash()
        self.house.store.put("servers", target.name, None)
        gevent.sleep(self.rng.uniform(0.1, 1.0))
        self.house.start_target(target)

    def spoil_target(self):
        """A target loses, sheds, doubles or halves answers."""
        target = self.rng.choice(self.house.targets)
        target.fault = self.rng.choice(["lose", "shed", "extra", "half"])
        gevent.sleep(self.rng.uniform(0.5, 3.0))
        target.fault = ""

    def forget_target_connections(self):
        """Open connections to a target go silent; new ones work."""
        self.rng.choice(self.house.targets).forget()

    def change_configuration(self):
        """A new version; all calm gateways must follow it in time."""
        operators = self.house.operators
        operators.configure(self.rng.randint(1, 9))
        version, since = operators.version, time.monotonic()
        gevent.sleep(CONFIG_APPLY_S)
        for gateway in self.house.gateways:
            if operators.version != version:
                return
            if gateway.is_disturbed or gateway.is_ending:
                continue
            if self.promises.is_calm(since):
                self._probe(gateway, version)

    def evacuate(self):
        """Empties a domain and gives it back."""
        operators = self.house.operators
        domain = self.rng.choice(self.house.domains)
        if operators.evacuated:
            return
        operators.evacuate(domain)
        gevent.sleep(self.rng.uniform(1.0, 7.0))
        operators.give_back(domain)

    def _kill(self, gateway):
        gateway.disturb(AFTER_START_S)
        gateway.end(signal.SIGKILL)
        popen = gateway.popen
        while popen.poll() is None:
            gevent.sleep(0.01)
        gevent.sleep(self.rng.uniform(0.1, 1.0))
        if gateway.popen is popen:
            gateway.start()

    def _harm_datagrams(self, mode, *, pairs):
        chosen = [
            tuple(self.rng.sample(range(len(self.house.gateways)), 2))
            for _ in range(pairs)
        ]
        for sender, receiver in chosen:
            ip = self.house.gateways[sender].ip
            self.house.datagrams[receiver].modes[ip] = mode
        gevent.sleep(self.rng.uniform(0.5, 6.0))
        for sender, receiver in chosen:
            ip = self.house.gateways[sender].ip
            self.house.datagrams[receiver].modes.pop(ip, None)

    def _probe(self, gateway, version):
        sock = callers.connect(gateway)
        if sock is None:
            return
        request_id = f"probe-{version}-{gateway.number}"
        path = probe_path(version)
        answer = callers.exchange(
            sock, callers.request("GET", path, request_id, key=1)
        )
        sock.close()
        is_judged = (
            answer is not None
            and not gateway.is_disturbed
            and self.house.operators.version == version
        )
        if is_judged and answer[0] == NOT_FOUND:
            self.promises.found(
                f"{gateway.name} does not know version {version} in time"
            )
