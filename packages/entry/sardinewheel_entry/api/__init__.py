"""The HTTP interface of an entry host, for callers, peers and operators."""
