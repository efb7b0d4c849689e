"""Client accounts: keys, rate limits, homes and priority.

Only digests of keys are kept and passed on, so that no key can reach a target,
a log or another host.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy.values import (
    check_integer,
    check_number,
    check_text,
)

KEY_DIGEST_BYTES = 16


class Account(NamedTuple):
    """A client account.

    Attributes:
        name: Name of the account; targets receive it.
        key_digests: Digests of its keys.
        priority: Priority of its requests in place of that of the route; 0 is
            the highest. ``None`` if that of the route applies.
        rate_per_s: Requests per second that all hosts together admit; 0 for
            no limit.
        burst: Requests beyond that rate after an idle time.
        home_regions: Regions that may execute its requests; empty for all.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()

    @property
    def is_limited(self) -> bool:
        """Whether all hosts together limit its requests."""
        return self.rate_per_s > 0.0


def check_account(account: Account) -> None:
    """Checks that the values of an account can be used in all later steps.

    Raises:
        ValueError: A value is of another type, or out of its range.
    """
    check_text(account.name, "name of an account")
    if account.priority is not None:
        check_integer(account.priority, "priority")
    check_number(account.rate_per_s, f"rate of account {account.name!r}")
    check_number(account.burst, f"burst of account {account.name!r}")
    for region in account.home_regions:
        check_text(region, "home region")


class AccountTable:
    """Finds accounts by key digest and by name.

    Attributes:
        by_digest: Accounts by the digests of their keys.
        by_name: Accounts by name.

    Raises:
        ValueError: Two accounts have the same name, or share a key.

    Examples:
        >>> table = AccountTable([Account("cafe", (key_digest("k1"),))])
        >>> table.find(key_digest("k1")).name
        'cafe'
        >>> table.find(key_digest("k2")) is None
        True
    """

    def __init__(self, accounts: Iterable[Account] = ()):
        self.by_digest: dict[bytes, Account] = {}
        self.by_name: dict[str, Account] = {}
        for account in accounts:
            if account.name in self.by_name:
                raise ValueError(f"account {account.name!r} is listed twice")
            self.by_name[account.name] = account
            for digest in account.key_digests:
                other = self.by_digest.setdefault(digest, account)
                if other is not account:
                    raise ValueError(
                        f"accounts {other.name!r} and {account.name!r} share"
                        " a key"
                    )

    def __bool__(self) -> bool:
        """Returns whether there are accounts."""
        return bool(self.by_name)

    def find(self, digest: bytes) -> Account | None:
        """Returns the account that holds a key, or None."""
        return self.by_digest.get(digest)


def key_digest(key: str) -> bytes:
    """Returns the digest by which a key is found.

    Examples:
        >>> key_digest("k1") == key_digest("k1")
        True
    """
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=KEY_DIGEST_BYTES).digest()
