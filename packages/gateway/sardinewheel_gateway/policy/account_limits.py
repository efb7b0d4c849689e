"""Admits requests of limited accounts with tokens from the holders.

A host takes a token for each request. It asks the holder of its own failure
domain for tokens ahead, as many as it expects to need soon, and those of other
domains once that part does not suffice. Messages follow the requests: an idle
account causes none, a busy one a few datagrams in the life of a token.

Designed for callers of one account who come to all hosts, to one host or one
region, or who shift between regions within seconds; for accounts that send
several times their rate; and for many accounts that send little.
"""

import math
import random
from collections import deque
from collections.abc import Iterable
from itertools import count
from typing import NamedTuple

from sardinewheel_gateway.policy import ranking
from sardinewheel_gateway.policy.account_parts import (
    AccountParts,
    Grant,
    LimitPlan,
)
from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.hosts import HostState
from sardinewheel_gateway.policy.recent_rate import RecentRate

# Part of a token's life for which tokens are asked for ahead.
AHEAD_FRACTION = 0.6
# With fewer requests than that in this time, tokens would mostly expire unused.
MIN_AHEAD = 1.5
# Other domains are asked from this fraction of the own domain's part on.
USABLE_FRACTION = 0.7
# More is asked for if several holders are asked, as one may have too little.
ASK_EXCESS = 1.2
# Holders in other regions that are asked for a single token.
MIN_ASKED_FAR = 1
# Time for which all domains are asked after one had too few tokens.
WIDE_S = 2.0
MIN_ASK_INTERVAL_S = 0.05
MAX_ASK_INTERVAL_S = 0.5
# Answers of the own region come within a few milliseconds, those of others in
# less than 0.1 s, unless they are lost.
NEAR_ANSWER_TIMEOUT_S = 0.05
FAR_ANSWER_TIMEOUT_S = 0.12
SILENCE_WAIT_S = 0.3
# Requests may wait for tokens for ``MAX_WAIT_S``, as many as the account may
# send in that time.
MAX_WAIT_S = 0.35
MIN_WAITING = 8
IDLE_EXPIRY_S = 60.0
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 5.0
RETRY_SPREAD = 0.5


class Ask(NamedTuple):
    """A question for tokens.

    Attributes:
        number: Number of the question, unique at this host.
        holder: Name of the host to ask.
        account: Name of the account.
        wanted: Number of tokens.
    """

    number: int
    holder: str
    account: str
    wanted: int


class OpenAsk(NamedTuple):
    """A question without an answer yet.

    Attributes:
        domain: Failure domain of the holder.
        wanted: Number of tokens.
        sent_at: Time of the question; the tokens' life begins then.
        timeout_s: Seconds after which no answer is expected any more.
    """

    domain: str
    wanted: int
    sent_at: float
    timeout_s: float


class Lot(NamedTuple):
    """Tokens that expire at the same time.

    Attributes:
        expires_at: Time from which on they are not valid.
        tokens: Their number.
    """

    expires_at: float
    tokens: int


class Token(NamedTuple):
    """Admits one request.

    Attributes:
        expires_at: Time until which it may be given back; ``None`` if it is
            from the part that this host holds.
    """

    expires_at: float | None


class Demand:
    """Requests and tokens of one account at this host.

    Attributes:
        account: The account.
        lots: Tokens, in the order in which they came.
        open_asks: Questions without an answer, by number.
        ask_at: Time from which on a domain's holder is asked again.
        wide_until: Time until which the holders of all domains are asked.
        domains: Failure domains with a part, the nearest first, if computed.
        waiting: Requests that wait for a token.
        arrivals: Rate of requests.
        admitted: Rate of admitted requests.
        refused: Rate of refused requests.
        used_at: Time of the last request.
    """

    def __init__(self, account: Account):
        self.account = account
        self.lots: deque[Lot] = deque()
        self.open_asks: dict[int, OpenAsk] = {}
        self.ask_at: dict[str, float] = {}
        self.wide_until = float("-inf")
        self.domains: tuple[str, ...] | None = None
        self.waiting = 0
        self.arrivals = RecentRate()
        self.admitted = RecentRate()
        self.refused = RecentRate()
        self.used_at = float("-inf")

    def tokens(self, now: float) -> int:
        """Returns the number of valid tokens."""
        self._expire_lots(now)
        return sum(lot.tokens for lot in self.lots)

    def take(self, now: float) -> Token | None:
        """Takes the oldest token, if any."""
        self._expire_lots(now)
        if not self.lots:
            return None
        lot = self.lots.popleft()
        if lot.tokens > 1:
            self.lots.appendleft(lot._replace(tokens=lot.tokens - 1))
        return Token(lot.expires_at)

    def add(self, lot: Lot, now: float) -> None:
        """Adds tokens that have not expired."""
        if lot.tokens > 0 and lot.expires_at > now:
            self.lots.append(lot)

    def expire_asks(self, now: float) -> None:
        """Drops questions that got no answer in time."""
        for number, ask in list(self.open_asks.items()):
            if now - ask.sent_at > ask.timeout_s:
                del self.open_asks[number]
                self.ask_at[ask.domain] = now + SILENCE_WAIT_S
                self.wide_until = now + WIDE_S

    def _expire_lots(self, now: float) -> None:
        while self.lots and self.lots[0].expires_at <= now:
            self.lots.popleft()


class AccountLimits:
    """Admits requests of limited accounts at this host.

    Attributes:
        parts: The parts of accounts that this host holds.
        regions: Region of each failure domain.
        demands: Accounts with recent requests, by name.
        asked: Names of the accounts of open questions, by number.
        rng: Source of the spread of refused requests.
    """

    def __init__(
        self,
        parts: AccountParts,
        regions: dict[str, str],
        rng: random.Random,
    ):
        self.parts = parts
        self.holders = parts.holders
        self.regions = regions
        self.rng = rng
        self.demands: dict[str, Demand] = {}
        self.asked: dict[int, str] = {}
        self.numbers = count()

    def set_hosts(self, live: Iterable[HostState], *, now: float) -> None:
        """Sets the live hosts, this one included; called in short intervals."""
        self.parts.set_hosts(live, now=now)
        for name, demand in list(self.demands.items()):
            demand.expire_asks(now)
            if now - demand.used_at > IDLE_EXPIRY_S and not demand.waiting:
                del self.demands[name]
        self.asked = {
            number: name
            for number, name in self.asked.items()
            if name in self.demands and number in self.demands[name].open_asks
        }

    def demand(self, account: Account) -> Demand:
        """Returns the demand for an account.

        Tokens of an older limit are dropped.
        """
        demand = self.demands.get(account.name)
        if demand is None:
            demand = self.demands[account.name] = Demand(account)
        if demand.account is not account:
            if _limit(demand.account) != _limit(account):
                demand.lots.clear()
                demand.open_asks.clear()
                demand.domains = None
            demand.account = account
        return demand

    def arrive(self, account: Account, *, now: float) -> Token | None:
        """Counts a request; returns a token if it may run at once."""
        demand = self.demand(account)
        demand.used_at = now
        demand.arrivals.add(now)
        return None if demand.waiting else self.take(account, now=now)

    def take(self, account: Account, *, now: float) -> Token | None:
        """Takes a token for one request, if there is one."""
        demand = self.demand(account)
        token = demand.take(now)
        if token is None and self.parts.take(account, 1, now=now).tokens:
            token = Token(None)
        if token is not None:
            demand.admitted.add(now)
        return token

    def give_back(self, account: Account, token: Token, *, now: float) -> None:
        """Returns the token of a request that no target has run."""
        if token.expires_at is None:
            self.parts.give_back(account, now=now)
        elif token.expires_at > now:
            lots = self.demand(account).lots
            lots.appendleft(Lot(token.expires_at, 1))

    def may_wait(self, account: Account, *, now: float) -> bool:
        """Returns whether a request may wait for a token."""
        demand = self.demand(account)
        most = max(MIN_WAITING, account.rate_per_s * MAX_WAIT_S)
        if demand.waiting >= most:
            return False
        if demand.open_asks:
            return True
        if self.parts.wait_s(account, now=now) < MAX_WAIT_S:
            return True
        return any(
            demand.ask_at.get(domain, now) < now + MAX_WAIT_S
            for domain in self.parts.plan(account).domains
            if self._is_held_elsewhere(account.name, domain)
        )

    def asks(self, account: Account, *, now: float) -> list[Ask]:
        """Returns the questions to send now; they count as sent."""
        demand = self.demand(account)
        demand.expire_asks(now)
        plan = self.parts.plan(account)
        wanted = self._wanted(demand, plan, now)
        if wanted < 1:
            return []
        domains = self._domains_to_ask(demand, plan, now)
        if len(domains) > 1:
            is_near = self._is_near(domains[0])
            fewest = 1 if is_near else MIN_ASKED_FAR
            domains = domains[: max(fewest, wanted)]
            wanted = math.ceil(ASK_EXCESS * wanted / len(domains))
        return [self._ask(demand, domain, wanted, now) for domain in domains]

    def record_grant(self, number: int, grant: Grant, *, now: float) -> str:
        """Records the answer to a question.

        Returns:
            Name of the account; ``""`` if the question is not open any more.
        """
        name = self.asked.pop(number, "")
        demand = self.demands.get(name)
        ask = demand.open_asks.pop(number, None) if demand else None
        if demand is None or ask is None:
            return ""
        life_s = min(grant.life_s, self.parts.plan(demand.account).life_s)
        tokens = min(grant.tokens, ask.wanted)
        demand.add(Lot(ask.sent_at + life_s, tokens), now)
        if tokens < ask.wanted:
            wait_s = min(MAX_ASK_INTERVAL_S, grant.wait_s)
            demand.ask_at[ask.domain] = now + max(MIN_ASK_INTERVAL_S, wait_s)
            demand.wide_until = now + WIDE_S
        return name

    def record_refusal(self, account: Account, *, now: float) -> float:
        """Records a refused request; returns when to come again.

        Returns:
            Seconds in which this host can admit those that it has refused of
            late, spread so that they do not return at once.
        """
        demand = self.demand(account)
        demand.refused.add(now)
        least_per_s = self.parts.plan(account).part.rate_per_s
        per_s = max(least_per_s, demand.admitted.per_s(now))
        wait_s = MIN_RETRY_AFTER_S + demand.refused.count(now) / per_s
        spread = 1.0 + RETRY_SPREAD * (2.0 * self.rng.random() - 1.0)
        return min(MAX_RETRY_AFTER_S, wait_s) * spread

    def _wanted(self, demand: Demand, plan: LimitPlan, now: float) -> int:
        """Returns how many tokens to ask for.

        A host whose requests come more rarely than tokens expire asks for one
        when a request waits.
        """
        ahead_s = AHEAD_FRACTION * plan.life_s
        expected = demand.arrivals.per_s(now) * ahead_s
        if expected < MIN_AHEAD:
            expected = 0.0
        available = demand.tokens(now)
        available += sum(ask.wanted for ask in demand.open_asks.values())
        if not demand.waiting:
            available += self.parts.tokens(demand.account, now=now)
            if available >= expected / 2.0:
                return 0
        return math.ceil(expected + demand.waiting - available)

    def _domains_to_ask(
        self, demand: Demand, plan: LimitPlan, now: float
    ) -> list[str]:
        """Returns the failure domains to ask in, the nearest first."""
        domains = self._nearest_first(demand, plan)
        count_needed = len(domains)
        if now >= demand.wide_until:
            usable_per_s = USABLE_FRACTION * plan.part.rate_per_s
            needed = demand.arrivals.per_s(now) / usable_per_s
            count_needed = max(1, math.ceil(needed))
        pending = {ask.domain for ask in demand.open_asks.values()}
        name = demand.account.name
        can_ask = [
            domain
            for domain in domains
            if domain not in pending
            and now >= demand.ask_at.get(domain, now)
            and self._is_held_elsewhere(name, domain)
        ]
        near = [x for x in can_ask if x in domains[:count_needed]]
        if near or not demand.waiting or pending:
            return near
        return can_ask

    def _is_held_elsewhere(self, account: str, domain: str) -> bool:
        holder = self.holders.holder(account, domain)
        return holder not in (None, self.holders.host)

    def _nearest_first(
        self, demand: Demand, plan: LimitPlan
    ) -> tuple[str, ...]:
        if demand.domains is None:
            own = self.holders.domain
            order = ranking.ranked(self.holders.host, plan.domains)
            order.sort(key=lambda x: (x != own, not self._is_near(x)))
            demand.domains = tuple(order)
        return demand.domains

    def _is_near(self, domain: str) -> bool:
        own = self.holders.domain
        return domain == own or (
            self.regions.get(domain) == self.regions.get(own)
        )

    def _ask(self, demand: Demand, domain: str, wanted: int, now: float) -> Ask:
        number = next(self.numbers)
        name = demand.account.name
        timeout_s = FAR_ANSWER_TIMEOUT_S
        if self._is_near(domain):
            timeout_s = NEAR_ANSWER_TIMEOUT_S
        demand.open_asks[number] = OpenAsk(domain, wanted, now, timeout_s)
        self.asked[number] = name
        holder = self.holders.holder(name, domain)
        return Ask(number, holder, name, wanted)


def _limit(account: Account) -> tuple[float, float]:
    return account.rate_per_s, account.burst
