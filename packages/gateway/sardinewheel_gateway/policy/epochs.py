"""Positions in the store over its epochs.

When the store comes back from a backup, it numbers changes again from that of
the backup on, in a new epoch. A position holds both numbers, so that each
position of an epoch is beyond all of earlier ones.
"""

EPOCH_SPAN = 2**48
MAX_EPOCH = 2**14


def position_of(epoch: int, version: int) -> int:
    """Returns the position of a version in an epoch.

    Examples:
        >>> position_of(0, 7)
        7
        >>> position_of(2, 3) > position_of(1, 1000)
        True
    """
    return epoch * EPOCH_SPAN + version


def epoch_of(position: int) -> int:
    """Returns the epoch of a position; -1 without a position.

    Examples:
        >>> epoch_of(position_of(2, 3)), epoch_of(-1)
        (2, -1)
    """
    return position // EPOCH_SPAN


def version_of(position: int) -> int:
    """Returns the store's version at a position."""
    return position % EPOCH_SPAN
