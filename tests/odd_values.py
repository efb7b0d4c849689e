"""Values that another process may write although no step can use them."""

import json

from hypothesis import strategies as st

ODD_TEXTS = (
    "",
    "\ud800",
    "\udfff:80",
    "a\r\nb: c",
    "\x00",
    "a" * 5000,
    "a" * 70 + ".example:80",
    "a..example:80",
    "no-such-host.invalid:80",
    "127.0.0.1:0",
    "127.0.0.1:99999",
    "0.0.0.0:80",
    "1e400s",
    "nans",
    "-1ms",
)
ODD_NUMBERS = (-1, 0, 2**31, 2**64, 10**30, 10**400, -(10**400), 0.5)
ODD_FLOATS = (float("nan"), float("inf"), float("-inf"), 1e308)
ODD_VALUES = (
    *ODD_TEXTS,
    *ODD_NUMBERS,
    *ODD_FLOATS,
    None,
    True,
    [],
    {},
    [[[]]],
    {"a": ["b"]},
)
ODD_BYTES = (
    b"",
    b"\xff\xfe",
    b"[" * 50_000,
    b'{"Slots":' * 6_000,
    b"1" * 5_000,
    b"NaN",
    b"null",
    b"\xed\xa0\x80",
)
TEXT_OF_ANY_CHARACTERS = st.text(st.characters(exclude_categories=()))
ANY_VALUE = st.sampled_from(ODD_VALUES) | st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | TEXT_OF_ANY_CHARACTERS
    | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def odd_text(rng):
    """Returns a drawn text, which may not be encodable."""
    if rng.random() < 0.5:
        return rng.choice(ODD_TEXTS)
    size = rng.randint(1, 30)
    return "".join(chr(rng.randrange(0x110000)) for _ in range(size))


def odd_bytes(rng):
    """Returns drawn bytes."""
    if rng.random() < 0.5:
        return rng.choice(ODD_BYTES)
    return rng.randbytes(rng.randint(0, 1500))


def with_odd_values(rng, fields):
    """Returns the JSON text of an object in which some fields are odd."""
    changed = dict(fields)
    for _ in range(rng.randint(1, 3)):
        name = rng.choice(sorted(fields))
        if rng.random() < 0.2:
            changed.pop(name, None)
        else:
            changed[name] = rng.choice([*ODD_VALUES, odd_text(rng)])
    return json.dumps(changed).encode()
