"""Parsing of ``host:port`` addresses."""


def split(address: str) -> tuple[str, int]:
    """Splits ``host:port`` into host and port.

    Examples:
        >>> split("127.0.0.1:7000")
        ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
