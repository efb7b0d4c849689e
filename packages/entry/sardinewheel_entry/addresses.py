"""Network addresses as text."""


def split(address: str) -> tuple[str, int]:
    """Returns host and port of ``host:port``.

    Examples:
        >>> split("127.0.0.1:7000")
        ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
