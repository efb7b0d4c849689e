"""A randomized soak of the real program against stand-ins.

Gateways run as separate processes; callers, targets, the store and relays
between them run here. Faults come in series and overlap. What callers and
targets see is checked against the promises. Run
``python -m tests.platform.soak --seed N``.
"""
