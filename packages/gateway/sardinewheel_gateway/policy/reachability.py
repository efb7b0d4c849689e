"""Judges whether this host reaches targets at all.

A failed connection tells of a target or of this host's own path to it. The path
is the more likely cause once connections to several targets have failed and
none has worked since. A round of new connections to other targets, spread over
the failure domains, then decides. While the path is lost, such rounds also show
when it is back, so no probes are sent in calm times.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy.targets import Target

# Targets whose failures in a row make the path suspect.
SUSPECT_TARGETS = 2
ROUND_TARGETS = 4
# Successful rounds in a row after which a lost path counts as regained; doubled
# each time the path is lost again soon after it was regained.
MIN_RETURN_ROUNDS = 2
MAX_RETURN_ROUNDS = 16
FLAP_WINDOW_S = 10.0
# Time over which requests return to a regained path.
RETURN_RAMP_S = 1.0


class PathChange(NamedTuple):
    """A path that was lost or regained, with the evidence.

    Attributes:
        is_lost: Whether it was lost.
        failed_targets: Targets that failed since the last one was reached.
        silent_s: Seconds since a target was last reached, or for which the
            path was lost.
    """

    is_lost: bool
    failed_targets: int
    silent_s: float


class Reachability:
    """Whether this host reaches targets.

    Attributes:
        is_lost: Whether it reaches none.
        failed: Targets that failed since the last one was reached.
        reached_at: Time at which a target was last reached.
        changed_at: Time at which the path was last lost or regained.
        good_rounds: Successful rounds in a row while the path is lost.
        return_rounds: Such rounds after which the path counts as regained.
    """

    def __init__(self, *, now: float):
        self.is_lost = False
        self.failed: set[str] = set()
        self.reached_at = now
        self.changed_at = float("-inf")
        self.good_rounds = 0
        self.return_rounds = MIN_RETURN_ROUNDS

    def record_reached(self, *, now: float) -> None:
        """Records that a target accepted a connection or responded.

        While the path is lost only rounds count: responses may still arrive
        over old connections when no new one can be opened.
        """
        self.reached_at = now
        if not self.is_lost:
            self.failed.clear()

    def record_failure(self, target_id: str) -> None:
        """Records that a connection to a target failed."""
        self.failed.add(target_id)

    def is_suspect(self, target_count: int) -> bool:
        """Returns whether a round should decide if the path is lost.

        Args:
            target_count: Number of known targets.
        """
        needed = min(SUSPECT_TARGETS, target_count)
        return not self.is_lost and 0 < needed <= len(self.failed)

    def record_round(
        self, *, reached: int, tried: int, began: float, now: float
    ) -> PathChange | None:
        """Records the result of a round; returns what changed.

        Args:
            reached: Targets that accepted a connection.
            tried: Targets to which a connection was opened.
            began: Start of the round.
            now: End of the round.
        """
        if not tried:
            return None
        if self.is_lost:
            return self._record_return(is_good=2 * reached > tried, now=now)
        if reached or self.reached_at > began:
            self.failed.clear()
            return None
        return self._lose(now)

    def silent_s(self, *, now: float) -> float:
        """Returns for how long nothing was reached on a lost path; else 0."""
        if not self.is_lost:
            return 0.0
        return now - max(self.changed_at, self.reached_at)

    def local_share(self, *, now: float) -> float:
        """Returns the share of requests to offer to targets from here."""
        if self.is_lost:
            return 0.0
        return min(1.0, (now - self.changed_at) / RETURN_RAMP_S)

    def _lose(self, now: float) -> PathChange:
        is_flapping = now - self.changed_at < FLAP_WINDOW_S
        rounds = 2 * self.return_rounds if is_flapping else MIN_RETURN_ROUNDS
        self.return_rounds = min(MAX_RETURN_ROUNDS, rounds)
        self.is_lost = True
        self.good_rounds = 0
        self.changed_at = now
        return PathChange(True, len(self.failed), now - self.reached_at)

    def _record_return(self, *, is_good: bool, now: float) -> PathChange | None:
        self.good_rounds = self.good_rounds + 1 if is_good else 0
        if self.good_rounds < self.return_rounds:
            return None
        change = PathChange(False, len(self.failed), now - self.changed_at)
        self.is_lost = False
        self.failed.clear()
        self.changed_at = now
        return change


def round_targets(
    targets: Iterable[Target], failed: set[str], rng: random.Random
) -> list[Target]:
    """Returns the targets of a round: of many domains, not yet failed first."""
    shuffled = list(targets)
    rng.shuffle(shuffled)
    shuffled.sort(key=lambda target: target.record.target_id in failed)
    seen: dict[str, int] = {}
    turns = []
    for target in shuffled:
        domain = target.record.domain
        seen[domain] = seen.get(domain, 0) + 1
        turns.append(seen[domain])
    order = sorted(range(len(shuffled)), key=lambda index: turns[index])
    return [shuffled[index] for index in order[:ROUND_TARGETS]]
