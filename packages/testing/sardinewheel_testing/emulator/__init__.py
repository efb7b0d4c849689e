"""An emulator of gateways and targets in simulated time.

Gateways decide with the product's own policy; targets, callers and the network
are models. Runs of the same seed repeat. ``python -m
sardinewheel_testing.emulator`` compares ways to place requests.
"""
