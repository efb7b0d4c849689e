"""Decides which host of a failure domain divides an account's rate.

Each failure domain has a part of the rate of each limited account. One live,
ready host of the domain, the holder, hands it out. Designed for domains of a
few large hosts, which callers use, and many small ones, and for single hosts
that are killed, paused or cut off: a host that is in touch with less than half
of its domain holds nothing, and a new holder waits until the former one must
have stopped.
"""

from collections.abc import Iterable

from sardinewheel_gateway.policy import ranking
from sardinewheel_gateway.policy.hosts import HostState

# Time for which a new holder waits, so that a former one knows of it too.
TAKEOVER_WAIT_S = 2.0
# A holder that was paused for longer hands out nothing before it has looked
# which hosts are live.
MAX_VIEW_AGE_S = 1.0
# After a longer pause others may have taken over.
MAX_PAUSE_S = 3.0
# Time for which a silent host counts as a member of its domain.
MEMBER_EXPIRY_S = 300.0
# The largest hosts of a domain are holders: this part of them, but at least
# ``MIN_CANDIDATES``.
CANDIDATE_FRACTION = 0.125
MIN_CANDIDATES = 2
MAX_CACHED_HOLDERS = 20_000


class HolderTable:
    """Finds the holders of accounts.

    Attributes:
        host: Name of this host.
        domain: Failure domain of this host.
        domains: All failure domains.
        may_be_alone: Whether this host may hold parts without knowing any
            other host.
        candidates: Hosts that may be holders, by failure domain.
        members: Time at which each host of this domain was last live.
        has_majority: Whether this host is in touch with more than half of its
            domain.
        settled_at: Time from which on the hosts of this domain know of the
            last change among them.
        updated_at: Time of the last update.
        known_holders: Cached holders by account and failure domain.
    """

    def __init__(
        self,
        host: str,
        domain: str,
        domains: Iterable[str],
        *,
        may_be_alone: bool = False,
    ):
        self.host = host
        self.domain = domain
        self.domains = tuple(sorted({domain, *domains}))
        self.may_be_alone = may_be_alone
        self.candidates: dict[str, tuple[str, ...]] = {}
        self.members: dict[str, float] = {}
        self.has_majority = False
        self.settled_at = float("inf")
        self.updated_at = float("-inf")
        self.known_holders: dict[tuple[str, str], str | None] = {}

    def set_hosts(self, live: Iterable[HostState], *, now: float) -> bool:
        """Sets the live hosts, this one included.

        Returns:
            Whether this host was paused, so that others may have taken over
            what it held.
        """
        live = list(live)
        before = self._own_view()
        was_paused = now - self.updated_at > MAX_PAUSE_S
        self.updated_at = now
        self._set_members(live, now)
        candidates = _candidates(live)
        if candidates != self.candidates:
            self.candidates = candidates
            self.known_holders.clear()
        if was_paused or self._own_view() != before:
            self.settled_at = now + TAKEOVER_WAIT_S
        return was_paused

    def holder(self, account: str, domain: str) -> str | None:
        """Returns the holder of a domain's part of an account, if any."""
        key = (account, domain)
        if key not in self.known_holders:
            if len(self.known_holders) >= MAX_CACHED_HOLDERS:
                self.known_holders.clear()
            names = self.candidates.get(domain, ())
            first = ranking.ranked(account, names)[0] if names else None
            self.known_holders[key] = first
        return self.known_holders[key]

    def holds(self, account: str, *, now: float) -> bool:
        """Returns whether this host is its domain's holder of an account.

        A new holder waits until ``settled_at`` besides.
        """
        is_current = now - self.updated_at <= MAX_VIEW_AGE_S
        is_first = self.holder(account, self.domain) == self.host
        return is_current and self.has_majority and is_first

    def _own_view(self) -> tuple[bool, tuple[str, ...] | None]:
        return self.has_majority, self.candidates.get(self.domain)

    def _set_members(self, live: list[HostState], now: float) -> None:
        own = {host.name for host in live if host.domain == self.domain}
        self.members = {
            name: last_live_at
            for name, last_live_at in self.members.items()
            if now - last_live_at < MEMBER_EXPIRY_S
        }
        self.members.update(dict.fromkeys(own, now))
        is_in_touch = len(live) > 1 or self.may_be_alone
        self.has_majority = is_in_touch and 2 * len(own) > len(self.members)


def _candidates(live: list[HostState]) -> dict[str, tuple[str, ...]]:
    """Returns the largest ready hosts of each failure domain."""
    by_domain: dict[str, list[HostState]] = {}
    for host in live:
        if host.is_ready:
            by_domain.setdefault(host.domain, []).append(host)
    candidates = {}
    for domain, hosts in by_domain.items():
        count = max(MIN_CANDIDATES, int(len(hosts) * CANDIDATE_FRACTION))
        hosts.sort(key=lambda host: (-host.capacity, host.name))
        candidates[domain] = tuple(host.name for host in hosts[:count])
    return candidates
