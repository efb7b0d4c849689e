"""The gateway: forwards each request to a target that knows its object.

Decisions are in :mod:`sardinewheel_gateway.policy`, which has no I/O. The
modules beside it speak HTTP to callers and targets, and datagrams to the other
hosts. :class:`sardinewheel_gateway.process.Gateway` joins both.
"""
