"""Shares with the other hosts what targets announce in their responses."""

import random

import gevent

from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.policy.announcements import (
    Announcement,
    Change,
    Report,
)
from sardinewheel_gateway.policy.heartbeat_recipients import (
    cross_region_recipients,
    same_region_recipients,
)
from sardinewheel_gateway.policy.hosts import HEARTBEAT_INTERVAL_S
from sardinewheel_gateway.policy.routing_state import RoutingState
from sardinewheel_gateway.policy.targets import Target

# In every nth round, all announcements go out instead of recent changes only,
# also to other regions.
FULL_ROUND_EVERY = 5


class AnnouncementExchange:
    """Records announcements and passes them on.

    An announcement goes to a few random hosts, which pass it on, so that the
    traffic of a host does not grow with the fleet.

    Attributes:
        routing_state: Holds the announcements.
        gossip: Sends datagrams to the other hosts.
        rng: Source of random recipients.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        gossip: Gossip,
        log,
        rng: random.Random,
    ):
        self.routing_state = routing_state
        self.gossip = gossip
        self.log = log
        self.rng = rng
        gossip.on_announcements = self.merge

    def run(self) -> None:
        """Passes announcements on in rounds; never returns."""
        number = 0
        while True:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
            self.expire()
            self.share(is_full=number % FULL_ROUND_EVERY == 0)
            number += 1

    def record(self, target: Target, announcement: Announcement | None) -> None:
        """Records what a response announces.

        Args:
            target: Target that responded.
            announcement: None if it cannot be read.
        """
        target_id = target.record.target_id
        if announcement is None:
            if self.routing_state.announcements.is_first_invalid(target_id):
                self.log.warning(
                    "target-announcement-invalid", target=target_id
                )
            return
        change = self.routing_state.record_announcement(
            target, announcement, now=clock.steady()
        )
        if change is not None:
            self._log_change(target_id, change, "response")
            self._send(is_full=False, is_cross_region=True)

    def merge(self, reports: list[Report], name: str) -> None:
        """Applies the reports of another host."""
        now = clock.steady()
        for report in reports:
            change = self.routing_state.merge_announcement(report, now=now)
            if change is not None:
                self._log_change(report.target_id, change, name)

    def expire(self) -> None:
        """Drops announcements that no host has seen for long."""
        expired = self.routing_state.expire_announcements(now=clock.steady())
        for target_id in expired:
            self._log_limit(target_id, None, "expiry")

    def share(self, *, is_full: bool) -> None:
        """Passes on recent changes, or all announcements."""
        self._send(is_full=is_full, is_cross_region=is_full)

    def _send(self, *, is_full: bool, is_cross_region: bool) -> None:
        now = clock.steady()
        reports = self.routing_state.announcements.take_reports(
            now=now, only_news=not is_full
        )
        if not reports:
            return
        host_table = self.gossip.host_table
        recipients = same_region_recipients(host_table, self.rng, now=now)
        if is_cross_region:
            recipients += cross_region_recipients(host_table, self.rng)
        self.gossip.send_announcements(reports, recipients)

    def _log_change(self, target_id: str, change: Change, source: str) -> None:
        before, after = change
        if after.is_leaving and not before.is_leaving:
            self.log.info("target-leaving", target=target_id, source=source)
        if after.limit_per_s != before.limit_per_s:
            self._log_limit(target_id, after.limit_per_s, source)

    def _log_limit(
        self, target_id: str, limit_per_s: float | None, source: str
    ) -> None:
        if limit_per_s is None:
            self.log.info("target-limit-ended", target=target_id, source=source)
            return
        self.log.info(
            "target-limit-named",
            target=target_id,
            limit_per_s=limit_per_s,
            source=source,
        )
