"""Gets tokens for requests of limited client accounts."""

import random
from collections import deque

from gevent.event import AsyncResult

from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip, TokenRequest, Tokens
from sardinewheel_gateway.metrics import Metrics
from sardinewheel_gateway.policy.account_holders import HolderTable
from sardinewheel_gateway.policy.account_limits import (
    MAX_WAIT_S,
    AccountLimits,
    Token,
)
from sardinewheel_gateway.policy.account_parts import (
    AccountParts,
    Grant,
    WindowBound,
)
from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.routing_state import RoutingState

ASK_AGAIN_S = 0.05
# An account counts as over its limit until none was refused for so long.
OVER_LIMIT_S = 5.0
NO_TOKENS = Grant(0, MAX_WAIT_S, 0.0)


class AccountLimitExchange:
    """Admits requests of limited accounts, with tokens of other hosts.

    Attributes:
        routing_state: Holds the accounts.
        gossip: Sends datagrams to the other hosts.
        metrics: Counts admitted and refused requests.
        limits: Decides on tokens.
        waiting: Results that requests wait for, by name of the account.
        refused_at: Time of the last refusal by account over its limit.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        gossip: Gossip,
        regions: dict[str, str],
        metrics: Metrics,
        log,
        rng: random.Random,
        bound: WindowBound | None = None,
    ):
        self.routing_state = routing_state
        self.gossip = gossip
        self.metrics = metrics
        self.log = log
        own = gossip.host_table.own
        holders = HolderTable(
            own.name,
            own.domain,
            regions,
            may_be_alone=not set(gossip.protocol.seeds) - {own.gossip},
        )
        parts = AccountParts(holders, bound or WindowBound())
        self.limits = AccountLimits(parts, regions, rng)
        self.waiting: dict[str, deque[AsyncResult]] = {}
        self.refused_at: dict[str, float] = {}
        gossip.on_token_request = self.handle_request
        gossip.on_tokens = self.handle_tokens

    def tick(self) -> None:
        """Updates the live hosts; called in short intervals."""
        if not self.routing_state.account_table:
            return
        now = clock.steady()
        self.limits.set_hosts(self.gossip.host_table.live(now=now), now=now)
        for name, refused_at in list(self.refused_at.items()):
            if now - refused_at > OVER_LIMIT_S:
                del self.refused_at[name]
                self.log.info("account-within-limit", account=name)

    def acquire(self, account: Account) -> Token | float:
        """Returns a token for a request, or the seconds until it may return."""
        now = clock.steady()
        token = self.limits.arrive(account, now=now)
        if token is None and self.limits.may_wait(account, now=now):
            token = self._wait(account)
        else:
            self._send_asks(account)
        self.metrics.count_account(account.name, is_admitted=token is not None)
        return self._refuse(account) if token is None else token

    def give_back(self, account: Account, token: Token) -> None:
        """Returns the token of a request that no target has run."""
        self.limits.give_back(account, token, now=clock.steady())

    def handle_request(self, request: TokenRequest) -> None:
        """Responds to a host that asks for tokens."""
        account = self.routing_state.account_table.by_name.get(request.account)
        grant = NO_TOKENS
        if account is not None and account.is_limited and request.wanted > 0:
            grant = self.limits.parts.take(
                account, int(request.wanted), now=clock.steady()
            )
        self.gossip.send_tokens(request.address, Tokens(request.number, *grant))

    def handle_tokens(self, tokens: Tokens) -> None:
        """Passes tokens on to the requests that wait for them."""
        number, *fields = tokens
        now = clock.steady()
        name = self.limits.record_grant(number, Grant(*fields), now=now)
        account = self.routing_state.account_table.by_name.get(name)
        if account is not None and account.is_limited:
            self._serve_waiting(account)
            if self.waiting.get(name):
                self._send_asks(account)

    def _wait(self, account: Account) -> Token | None:
        """Lets a request wait for a token, for ``MAX_WAIT_S`` at most."""
        demand = self.limits.demand(account)
        queue = self.waiting.setdefault(account.name, deque())
        result = AsyncResult()
        queue.append(result)
        demand.waiting += 1
        ends_at = clock.steady() + MAX_WAIT_S
        try:
            while not result.ready() and clock.steady() < ends_at:
                self._serve_waiting(account)
                self._send_asks(account)
                result.wait(timeout=ASK_AGAIN_S)
        finally:
            demand.waiting -= 1
            if result in queue:
                queue.remove(result)
            if not queue:
                self.waiting.pop(account.name, None)
        return result.value

    def _serve_waiting(self, account: Account) -> None:
        """Gives tokens to waiting requests, the longest waiting first."""
        now = clock.steady()
        queue = self.waiting.get(account.name)
        while queue:
            token = self.limits.take(account, now=now)
            if token is None:
                return
            queue.popleft().set(token)

    def _send_asks(self, account: Account) -> None:
        host_table = self.gossip.host_table
        for ask in self.limits.asks(account, now=clock.steady()):
            holder = host_table.peers.get(ask.holder)
            if holder is None:
                continue
            request = TokenRequest(
                host_table.own.gossip, ask.number, ask.account, ask.wanted
            )
            self.gossip.send_token_request(holder.state, request)

    def _refuse(self, account: Account) -> float:
        now = clock.steady()
        if account.name not in self.refused_at:
            self.log.warning(
                "account-over-limit",
                account=account.name,
                limit_per_s=account.rate_per_s,
                burst=account.burst,
                arriving_per_s=self.limits.demand(account).arrivals.per_s(now),
            )
        self.refused_at[account.name] = now
        return self.limits.record_refusal(account, now=now)
