"""The seal on an endpoint's response: a digest over everything in it that must not change in transit.

A proxy or client that receives a response with an invalid seal treats it as lost.
"""

import hashlib

# A changed outcome or id is as harmful as a changed body, so these headers are sealed too.
SEALED_HEADERS = ('zt-id', 'zt-attempt', 'zt-inc', 'zt-outcome')
SEAL_HEADER = 'zt-digest'


def digest(status: int, headers: dict[str, str], body: bytes) -> str:
    """Return the SHA-256 digest of a response, in hexadecimal."""
    sealed = [str(status), *[headers.get(name, '') for name in SEALED_HEADERS], '']
    sha = hashlib.sha256('\n'.join(sealed).encode())
    sha.update(body)
    return sha.hexdigest()


def add(status: int, headers: dict[str, str], body: bytes) -> dict[str, str]:
    """Add the seal to a response's headers, and return them."""
    headers[SEAL_HEADER] = digest(status, headers, body)
    return headers


def is_intact(status: int, headers: dict[str, str], body: bytes) -> bool:
    """True if a response is the same as when it was sealed."""
    return headers.get(SEAL_HEADER) == digest(status, headers, body)
