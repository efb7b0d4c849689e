"""Randomized soak test of the gateway program.

Gateways run as separate processes. Callers, fake targets, a fake store and the
relays between them run in the test process. Faults are injected at random and
overlap. Invariants are checked on what callers and targets observe. Run
``python -m tests.platform.soak --seed N``.
"""
