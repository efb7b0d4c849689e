"""The retry budget holds over all hosts without communication."""

from sardinewheel_gateway.policy.retries import RetryBound, RetryBudget

BOUND = RetryBound(ratio=0.2, slack=62.0, window_s=10.0)


def test_hosts_together_stay_below_the_bound():
    budgets = [RetryBudget(BOUND) for _ in range(11)]
    granted = 0
    requests = 0
    for budget in budgets:
        budget.hosts = len(budgets)
        for _ in range(40):
            budget.count_request(1.0)
            requests += 1
        while budget.try_acquire(2.0):
            granted += 1
    assert 0 < granted <= BOUND.ratio * requests + BOUND.slack


def test_budget_is_restored_after_its_window():
    budget = RetryBudget(BOUND)
    while budget.try_acquire(0.0):
        pass
    assert not budget.try_acquire(9.0)
    assert budget.try_acquire(10.1)
