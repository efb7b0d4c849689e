"""Decisions of the gateway: no sockets, no clock, no global random numbers."""
