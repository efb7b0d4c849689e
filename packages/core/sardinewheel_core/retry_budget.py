"""A bound on retries, so that failures do not multiply the load."""

RETRY_RATIO = 0.2
MAX_TOKENS = 20.0


class RetryBudget:
    """Retries that one service may make on this host.

    Each first attempt earns a part of a retry.

    Attributes:
        tokens: Retries that may be made now.

    Examples:
        >>> budget = RetryBudget()
        >>> budget.tokens = 1.0
        >>> budget.spend(), budget.spend()
        (True, False)
    """

    def __init__(self):
        self.tokens = MAX_TOKENS

    def earn(self) -> None:
        """Counts a first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_RATIO)

    def spend(self) -> bool:
        """Takes one retry; says whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
