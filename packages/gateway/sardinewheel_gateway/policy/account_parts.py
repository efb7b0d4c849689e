"""Hands out the part of each account's rate that a failure domain has.

All hosts compute the parts alike from the configuration, and the parts add up
to the rate. A holder hands out tokens, each for one request, which expire soon.
In any window of ``W`` seconds, requests of an account are therefore at most
those of its rate for ``W`` and the life of a token, and one burst of each part.
Life and bursts are chosen so that this stays within what the window allows.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy import ranking
from sardinewheel_gateway.policy.account_holders import HolderTable
from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.hosts import HostState
from sardinewheel_gateway.policy.limit_admission import Share, TokenBucket

# Part of the room beyond ``MIN_BURST_REQUESTS`` that the life of tokens uses;
# bursts use the rest.
LIFE_FRACTION = 0.6
MIN_BURST_REQUESTS = 16.0
MAX_LIFE_S = 1.0
# Requests of the room that stay free for a part that two hosts hold for a
# moment.
RESERVED_REQUESTS = 4.0
# Longest time until an empty part is asked for again.
MAX_WAIT_S = 0.5
# Number of buckets from which on full ones are dropped.
MAX_BUCKETS = 10_000


class WindowBound(NamedTuple):
    """What may run in a window: (rate x window + burst) x (1 + excess) + slack.

    Attributes:
        window_s: Duration of the window in seconds.
        excess: Fraction by which the limit may be exceeded.
        slack: Requests beyond that.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0


class Grant(NamedTuple):
    """Tokens that a holder hands out.

    Attributes:
        tokens: Number of requests that may run.
        wait_s: Seconds until the part has the next token.
        life_s: Seconds after which the tokens expire.
    """

    tokens: int
    wait_s: float
    life_s: float


class LimitPlan(NamedTuple):
    """How the limit of an account is kept.

    Attributes:
        part: Rate and burst of the part of one failure domain.
        domains: Failure domains that have a part.
        life_s: Seconds after which a token expires.
    """

    part: Share
    domains: tuple[str, ...]
    life_s: float

    @classmethod
    def of(
        cls, account: Account, domains: tuple[str, ...], bound: WindowBound
    ) -> "LimitPlan":
        """Returns the plan for a limited account.

        Examples:
            >>> account = Account("cafe", rate_per_s=10.0)
            >>> plan = LimitPlan.of(account, ("a", "b"), WindowBound())
            >>> plan.part.rate_per_s, round(plan.life_s, 2)
            (5.0, 0.3)
        """
        rate_per_s = account.rate_per_s
        room = (
            bound.excess * rate_per_s * bound.window_s
            + (1.0 + bound.excess) * account.burst
            + bound.slack
            - RESERVED_REQUESTS
        )
        for_life = LIFE_FRACTION * max(0.0, room - MIN_BURST_REQUESTS)
        life_s = min(MAX_LIFE_S, for_life / rate_per_s)
        burst = room - rate_per_s * life_s
        count = max(1, min(len(domains), int(burst)))
        chosen = domains
        if count < len(domains):
            chosen = tuple(ranking.ranked(account.name, domains)[:count])
        return cls(Share(rate_per_s / count, burst / count), chosen, life_s)


class AccountParts:
    """The parts that this host holds.

    Attributes:
        holders: Finds the holder of an account.
        bound: What may run in a window.
        buckets: Token buckets of accounts with requests, by name.
        plans: Cached plans, by name, with the account that they are for.
    """

    def __init__(self, holders: HolderTable, bound: WindowBound):
        self.holders = holders
        self.bound = bound
        self.buckets: dict[str, TokenBucket] = {}
        self.plans: dict[str, tuple[Account, LimitPlan]] = {}

    def plan(self, account: Account) -> LimitPlan:
        """Returns the plan for a limited account."""
        known = self.plans.get(account.name)
        if known is not None and known[0] is account:
            return known[1]
        plan = LimitPlan.of(account, self.holders.domains, self.bound)
        if len(self.plans) >= MAX_BUCKETS:
            self.plans.clear()
        self.plans[account.name] = (account, plan)
        return plan

    def set_hosts(self, live: Iterable[HostState], *, now: float) -> None:
        """Sets the live hosts, and drops what other hosts hold now."""
        holders = self.holders
        was_paused = holders.set_hosts(live, now=now)
        if was_paused or not holders.has_majority:
            self.buckets.clear()
        for name in list(self.buckets):
            if holders.holder(name, holders.domain) != holders.host:
                del self.buckets[name]

    def holds(self, account: Account, *, now: float) -> bool:
        """Returns whether this host hands out tokens of an account."""
        if self.holders.domain not in self.plan(account).domains:
            return False
        if not self.holders.holds(account.name, now=now):
            return False
        return account.name in self.buckets or now >= self.holders.settled_at

    def wait_s(self, account: Account, *, now: float) -> float:
        """Returns the seconds until the next token of the part held here."""
        if not self.holds(account, now=now):
            return math.inf
        bucket = self._bucket(account, now)
        return max(0.0, 1.0 - bucket.tokens) / bucket.share.rate_per_s

    def tokens(self, account: Account, *, now: float) -> int:
        """Returns the tokens of the part, 0 if it is not held here."""
        if not self.holds(account, now=now):
            return 0
        return int(self._bucket(account, now).tokens)

    def take(self, account: Account, wanted: int, *, now: float) -> Grant:
        """Takes up to the wanted number of tokens from the part held here."""
        if not self.holds(account, now=now):
            return Grant(0, MAX_WAIT_S, 0.0)
        bucket = self._bucket(account, now)
        tokens = min(wanted, int(bucket.tokens))
        bucket.tokens -= tokens
        missing = max(0.0, 1.0 - bucket.tokens)
        wait_s = min(MAX_WAIT_S, missing / bucket.share.rate_per_s)
        return Grant(tokens, wait_s, self.plan(account).life_s)

    def give_back(self, account: Account, *, now: float) -> None:
        """Returns a token to the part held here."""
        if self.holds(account, now=now):
            bucket = self._bucket(account, now)
            bucket.tokens = min(bucket.share.burst, bucket.tokens + 1.0)

    def _bucket(self, account: Account, now: float) -> TokenBucket:
        """Returns the up-to-date bucket of a part held here.

        A new one is empty at the time at which this host settled.
        """
        share = self.plan(account).part
        bucket = self.buckets.get(account.name)
        if bucket is None:
            self._drop_full(now)
            bucket = TokenBucket(
                share, tokens=0.0, starts_at=self.holders.settled_at
            )
            self.buckets[account.name] = bucket
        bucket.update(share, now)
        bucket.tokens = min(bucket.tokens, share.burst)
        return bucket

    def _drop_full(self, now: float) -> None:
        if len(self.buckets) < MAX_BUCKETS:
            return
        for name, bucket in list(self.buckets.items()):
            bucket.update(bucket.share, now)
            if bucket.tokens >= bucket.share.burst:
                del self.buckets[name]
