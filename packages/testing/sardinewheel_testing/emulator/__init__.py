"""Discrete-event emulator of gateways and targets.

Gateways use the production placement policy; targets, callers and the network
are models. Runs with the same seed are identical. ``python -m
sardinewheel_testing.emulator`` compares dispatch strategies.
"""
