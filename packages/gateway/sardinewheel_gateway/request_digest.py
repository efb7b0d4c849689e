"""Digest by which hosts recognise a request that comes again.

A request that comes again has another id and less time left, and may have been
forwarded by another host. Everything else that a target could act on and that
names the caller is part of the digest.
"""

import hashlib

from sardinewheel_gateway.messages import RequestHead, header_value

DIGEST_BYTES = 8
# Larger bodies are not buffered, so the rest is not known before it is sent.
MAX_BODY_BYTES = 64 * 1024
SEPARATOR = b"\0"


def request_digest(head: RequestHead, object_key: str, body: bytes) -> str:
    """Returns the digest of a request, in hexadecimal digits.

    Args:
        head: Request line and headers.
        object_key: Key of the object that the request concerns, which also
            tells callers apart that name no account.
        body: The body, or its first part. Bodies that are alike in their first
            ``MAX_BODY_BYTES`` count as the same.
    """
    parts = (
        head.method,
        head.host.lower(),
        head.path,
        object_key.encode("latin-1", "replace"),
        header_value(head.headers, b"authorization") or b"",
        body[:MAX_BODY_BYTES],
    )
    data = SEPARATOR.join(parts)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
