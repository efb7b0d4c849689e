"""The gateway: forwards each request to a target that has cached its object.

:mod:`sardinewheel_gateway.policy` makes the decisions and does no I/O. The
other modules handle HTTP to callers and targets, and UDP datagrams between
hosts. :class:`sardinewheel_gateway.process.Gateway` connects the two.
"""
