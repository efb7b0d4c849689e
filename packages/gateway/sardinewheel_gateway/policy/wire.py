"""Reading of what hosts of other builds send.

Writers add fields at the end only, so a reader takes the fields that it knows
in their order: later ones are dropped, and defaults stand in for missing ones.
"""

from typing import Any, TypeVar

Fields = TypeVar("Fields", bound=tuple)


def from_fields(cls: type[Fields], plain: Any) -> Fields:
    """Returns a ``NamedTuple`` from a list of its fields.

    Args:
        cls: The class.
        plain: Its fields in order, as decoded from a message.

    Raises:
        ValueError: It is no list, or fields without a default are missing.

    Examples:
        >>> from sardinewheel_gateway.policy.routes import Share
        >>> from_fields(Share, ["orders", 1.0, "of a later build"])
        Share(service='orders', weight=1.0)
        >>> from_fields(Share, ["orders"])
        Traceback (most recent call last):
        ...
        ValueError: Share has 1 fields, expected at least 2: ['orders']
    """
    name = cls.__name__
    if not isinstance(plain, list | tuple):
        raise ValueError(f"{name} is {plain!r}, expected a list of its fields")
    needed = len(cls._fields) - len(cls._field_defaults)
    if len(plain) < needed:
        raise ValueError(
            f"{name} has {len(plain)} fields, expected at least {needed}:"
            f" {plain!r}"
        )
    return cls(*plain[: len(cls._fields)])
