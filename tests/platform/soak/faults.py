"""Faults and planned changes of a soak, injected from outside the gateways."""

import signal
import time

import gevent

from tests.platform.soak import callers
from tests.platform.soak.announced import Leaving, NamedLimit, Pause
from tests.platform.soak.crashes import CONTACT_S
from tests.platform.soak.invariants import STORE_RECOVERY_S
from tests.platform.soak.odd_faults import OddFaults
from tests.platform.soak.operators import probe_path
from tests.platform.target_paths import CUTS

GRACE_S = 6.0
CONFIG_PROPAGATION_S = 2.5
START_TOLERANCE_S = 6.0
PHASE_S = 12.0
FAULTS_PER_PHASE = 3
PLANNED_CHANGE_PROBABILITY = 0.5
HTTP_NOT_FOUND = 404
CRASHING_S = 9.0
CRASHING_PER_S = 4.0


class FaultInjector:
    """Injects changes and faults; several may overlap.

    Most invariants with a time bound hold only while the store is available,
    so each phase is limited to a few kinds of faults besides the planned
    changes.

    Attributes:
        soak: The soak whose processes, relays and fakes are disrupted.
        rng: Source of all random choices.
        planned_changes: Routine actions of operators and targets.
        fault_kinds: All kinds of faults.
        phase_faults: Kinds of faults in the current phase.
        phase_ends_at: Monotonic time at which the next phase starts.
        datagrams_disrupted_until: Monotonic time until which hosts may not
            have told each other what they know.
    """

    def __init__(self, soak, rng):
        self.soak = soak
        self.rng = rng
        self.checker = soak.checker
        self.planned_changes = [
            self.reload_gateway,
            self.drain_target,
            self.change_configuration,
            self.evacuate,
        ]
        self.fault_kinds = [
            self.stop_gateway,
            self.kill_gateway,
            self.kill_many,
            self.pause_gateway,
            self.disrupt_store,
            self.disrupt_store_relay,
            self.silence_store_connections,
            self.drop_datagrams_one_way,
            self.disrupt_datagrams,
            self.disrupt_control_connections,
            self.crash_target,
            self.inject_target_fault,
            self.silence_target_connections,
            self.name_limit,
            self.announce_leaving,
            self.ask_to_wait,
            self.send_crashing_request,
            *OddFaults(soak, rng).kinds(),
        ]
        if soak.target_paths:
            self.fault_kinds += [
                self.cut_target_paths,
                self.cut_part_of_targets,
                self.disrupt_peer_connections,
            ]
        self.phase_faults = self.fault_kinds
        self.phase_ends_at = 0.0
        self.datagrams_disrupted_until = 0.0

    def inject_one(self):
        """Injects one change or fault and reverts it."""
        if self.rng.random() < PLANNED_CHANGE_PROBABILITY:
            self.rng.choice(self.planned_changes)()
            return
        if time.monotonic() >= self.phase_ends_at:
            self.phase_ends_at = time.monotonic() + PHASE_S
            self.phase_faults = self.rng.sample(
                self.fault_kinds, FAULTS_PER_PHASE
            )
        self.rng.choice(self.phase_faults)()

    def stop_gateway(self):
        """Sends SIGTERM; the gateway must exit within its grace period."""
        gateway = self.rng.choice(self.soak.gateways)
        if gateway.is_paused or gateway.is_terminating:
            return
        began = time.monotonic()
        popen = gateway.popen
        gateway.terminate(signal.SIGTERM)
        while True:
            # Taken first, as this process may stall before the next line.
            checked_at = time.monotonic()
            if popen.poll() is not None:
                break
            if gateway.is_disturbed:
                return
            if checked_at - began > GRACE_S:
                self.checker.record_violation(
                    f"{gateway.name} did not exit within its grace period"
                )
                popen.kill()
            gevent.sleep(0.05)
        if popen is gateway.popen:
            gateway.start()
            gateway.mark_disturbed(START_TOLERANCE_S)

    def kill_gateway(self):
        """Sends SIGKILL to one gateway and restarts it."""
        self._kill(self.rng.choice(self.soak.gateways))

    def kill_many(self):
        """Kills between about half and all of the gateways at once."""
        gateways = self.soak.gateways
        count = self.rng.randint(len(gateways) // 2, len(gateways))
        chosen = self.rng.sample(gateways, count)
        gevent.joinall([gevent.spawn(self._kill, x) for x in chosen])

    def pause_gateway(self):
        """Pauses a gateway by SIGSTOP for up to 3 s."""
        gateway = self.rng.choice(self.soak.gateways)
        pause_s = self.rng.uniform(0.2, 3.0)
        gateway.mark_disturbed(pause_s + START_TOLERANCE_S)
        gateway.is_paused = True
        gateway.signal(signal.SIGSTOP)
        gevent.sleep(pause_s)
        gateway.signal(signal.SIGCONT)
        gateway.is_paused = False

    def reload_gateway(self):
        """Sends SIGHUP to one gateway."""
        self.rng.choice(self.soak.gateways).signal(signal.SIGHUP)

    def disrupt_store(self):
        """Makes the store fail for all gateways."""
        self.checker.store_fault_started()
        self.soak.store.mode = self.rng.choice(["busy", "silent", "reset"])
        gevent.sleep(self.rng.uniform(0.5, 4.0))
        self.soak.store.mode = "ok"
        self.checker.store_fault_ended()

    def disrupt_store_relay(self):
        """Makes the relay to the store fail."""
        self.checker.store_fault_started()
        self.soak.store_relay.mode = self.rng.choice(
            ["delay", "silent", "one_way", "reset"]
        )
        gevent.sleep(self.rng.uniform(0.5, 4.0))
        self.soak.store_relay.mode = "ok"
        self.checker.store_fault_ended()

    def silence_store_connections(self):
        """Drops all data of open store connections; new ones work."""
        self.checker.store_fault_started()
        self.soak.store_relay.silence_open_connections()
        gevent.sleep(STORE_RECOVERY_S)
        self.checker.store_fault_ended()

    def drop_datagrams_one_way(self):
        """Drops datagrams between two gateways in one direction."""
        self._disrupt_datagrams_between("cut", pairs=1)

    def disrupt_datagrams(self):
        """Drops or delays datagrams between several pairs of gateways."""
        mode = self.rng.choice(["cut", "lossy", "delay"])
        self._disrupt_datagrams_between(mode, pairs=self.rng.randint(2, 6))

    def disrupt_control_connections(self):
        """Makes connections of other gateways to one gateway fail."""
        relay = self.rng.choice(self.soak.control_relays)
        relay.mode = self.rng.choice(["delay", "silent", "one_way", "reset"])
        gevent.sleep(self.rng.uniform(0.5, 4.0))
        relay.mode = "ok"

    def disrupt_peer_connections(self):
        """Makes requests that are forwarded to one gateway fail."""
        relay = self.rng.choice(self.soak.peer_relays)
        relay.mode = self.rng.choice(["delay", "silent", "one_way", "reset"])
        gevent.sleep(self.rng.uniform(0.5, 4.0))
        relay.mode = "ok"

    def cut_target_paths(self):
        """Cuts some or all of the gateways off from all targets."""
        paths = [path for path in self.soak.target_paths if not path.how]
        chosen = self.rng.sample(paths, self.rng.randint(0, len(paths)))
        how = self.rng.choice(CUTS)
        for path in chosen:
            path.cut(how)
        gevent.sleep(self.rng.uniform(1.0, 6.0))
        for path in chosen:
            path.heal()

    def cut_part_of_targets(self):
        """Cuts one gateway off from some of the targets."""
        path = self.rng.choice(self.soak.target_paths)
        if path.how:
            return
        path.cut(self.rng.choice(CUTS), share=self.rng.uniform(0.2, 0.8))
        gevent.sleep(self.rng.uniform(1.0, 6.0))
        path.heal()

    def crash_target(self):
        """Stops a target without deregistration and restarts it."""
        target = self.rng.choice(self.soak.targets)
        target.crash()
        gevent.sleep(self.rng.uniform(0.1, 2.0))
        self.soak.start_target(target)

    def send_crashing_request(self):
        """Repeats a request that crashes targets, at random gateways."""
        kind = self.rng.choice(["idempotent", "non_idempotent"])
        path = f"/{kind}/crash/{len(self.soak.crashing)}"
        self.soak.add_crashing(path)
        end = time.monotonic() + CRASHING_S
        while time.monotonic() < end:
            gevent.spawn(self._send_crashing, path)
            gevent.sleep(self.rng.expovariate(CRASHING_PER_S))

    def _send_crashing(self, path):
        gateway = self.rng.choice(self.soak.gateways)
        sock = callers.connect(gateway)
        if sock is not None:
            request_id = f"{path}-{gateway.number}"
            callers.exchange(
                sock, callers.request("GET", path, request_id, key=7)
            )
            sock.close()

    @property
    def are_datagrams_disrupted(self):
        """Whether hosts may not know yet what others know."""
        return time.monotonic() < self.datagrams_disrupted_until

    def drain_target(self):
        """Drains a target, or deletes its record, and restarts it."""
        target = self.rng.choice(self.soak.targets)
        if target.server is None or target.name in self.checker.leaving_since:
            return
        if self.rng.random() < 0.5:
            target.drain()
        else:
            self.soak.store.put("servers", target.name, None)
        self.checker.record_target_leaving(target.name)
        gevent.sleep(4.0)
        target.crash()
        self.soak.store.put("servers", target.name, None)
        gevent.sleep(self.rng.uniform(0.1, 1.0))
        self.soak.start_target(target)

    def inject_target_fault(self):
        """Makes a target lose, reject, duplicate or truncate responses."""
        target = self.rng.choice(self.soak.targets)
        target.fault = self.rng.choice(["lose", "shed", "extra", "half"])
        gevent.sleep(self.rng.uniform(0.5, 3.0))
        target.fault = ""

    def silence_target_connections(self):
        """Makes a target ignore its open connections; new ones work."""
        self.rng.choice(self.soak.targets).silence_open_connections()

    def name_limit(self):
        """Lets a target name a limit for some time."""
        limit_per_s = self.rng.choice([0, 0.5, 2, 5, 20])
        limit = NamedLimit(limit_per_s, is_excused=self._is_disturbed)
        self._announce(limit, self.rng.uniform(1.0, 8.0))

    def ask_to_wait(self):
        """Lets a target refuse all requests and ask each host to wait."""
        pause_s = self.rng.uniform(0.5, 3.0)
        pause = Pause(pause_s, is_excused=self._is_disturbed)
        self._announce(pause, self.rng.uniform(0.5, 4.0))

    def announce_leaving(self):
        """Lets a target announce that it leaves, and restarts it."""
        leaving = Leaving(is_excused=self._is_disturbed)
        target = self._announce(leaving, self.rng.uniform(4.0, 8.0))
        if target is not None:
            target.crash()
            self.soak.start_target(target)

    def change_configuration(self):
        """Writes a new version; undisturbed gateways must apply it in time."""
        operators = self.soak.operators
        operators.configure(self.rng.randint(1, 9))
        version, since = operators.version, time.monotonic()
        gevent.sleep(CONFIG_PROPAGATION_S)
        for gateway in self.soak.gateways:
            if operators.version != version:
                return
            if gateway.is_disturbed or gateway.is_terminating:
                continue
            if self.checker.was_healthy_since(since):
                self._probe(gateway, version)

    def evacuate(self):
        """Evacuates a failure domain and ends the evacuation."""
        operators = self.soak.operators
        domain = self.rng.choice(self.soak.domains)
        if operators.evacuated:
            return
        operators.evacuate(domain)
        gevent.sleep(self.rng.uniform(1.0, 7.0))
        operators.end_evacuation(domain)

    def _announce(self, announced, seconds):
        """Lets a target announce something; returns the target, if any."""
        target = self.rng.choice(self.soak.targets)
        if target.announced is not None:
            return None
        target.announced = announced
        gevent.sleep(seconds)
        if target.announced is announced:
            target.announced = None
        return target

    def _is_disturbed(self, number):
        return self.soak.gateways[number].is_disturbed

    def _kill(self, gateway):
        gateway.mark_disturbed(START_TOLERANCE_S)
        gateway.terminate(signal.SIGKILL)
        popen = gateway.popen
        while popen.poll() is None:
            gevent.sleep(0.01)
        gevent.sleep(self.rng.uniform(0.1, 1.0))
        if gateway.popen is popen:
            gateway.start()

    def _disrupt_datagrams_between(self, mode, *, pairs):
        chosen = [
            tuple(self.rng.sample(range(len(self.soak.gateways)), 2))
            for _ in range(pairs)
        ]
        for sender, receiver in chosen:
            ip = self.soak.gateways[sender].ip
            self.soak.datagram_relays[receiver].modes[ip] = mode
        duration_s = self.rng.uniform(0.5, 6.0)
        self.datagrams_disrupted_until = max(
            self.datagrams_disrupted_until,
            time.monotonic() + duration_s + CONTACT_S,
        )
        gevent.sleep(duration_s)
        for sender, receiver in chosen:
            ip = self.soak.gateways[sender].ip
            self.soak.datagram_relays[receiver].modes.pop(ip, None)

    def _probe(self, gateway, version):
        sock = callers.connect(gateway)
        if sock is None:
            return
        request_id = f"probe-{version}-{gateway.number}"
        path = probe_path(version)
        response = callers.exchange(
            sock, callers.request("GET", path, request_id, key=1)
        )
        sock.close()
        is_valid_probe = (
            response is not None
            and not gateway.is_disturbed
            and self.soak.operators.version == version
        )
        if is_valid_probe and response[0] == HTTP_NOT_FOUND:
            self.checker.record_violation(
                f"{gateway.name} has not applied version {version} in time"
            )
