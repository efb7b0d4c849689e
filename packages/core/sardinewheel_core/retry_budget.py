"""Token bucket that limits retries, so that failures do not amplify load."""

RETRY_RATIO = 0.2
MAX_TOKENS = 20.0


class RetryBudget:
    """Retry budget of one service on this host.

    Each first attempt adds ``RETRY_RATIO`` of a token; a retry costs one.

    Attributes:
        tokens: Number of retries available now.

    Examples:
        >>> budget = RetryBudget()
        >>> budget.tokens = 1.0
        >>> budget.spend(), budget.spend()
        (True, False)
    """

    def __init__(self):
        self.tokens = MAX_TOKENS

    def earn(self) -> None:
        """Credits the budget for a first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_RATIO)

    def spend(self) -> bool:
        """Spends one token; returns whether one was available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
