"""Checks and conversions of single fields of peer messages."""

import re
from functools import lru_cache
from ipaddress import ip_address

from figfold.core.names import NAME_PATTERN

MAX_KEY_CHARS = 256
MAX_STATE_CHARS = 64 * 1024
MAX_ERROR_CHARS = 4096
MAX_DURATION_S = 1e9
PORT_BYTES = 2
DIGEST_BYTES = 32
ADDRESS_CACHE_SIZE = 4096

KEY_PATTERN = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARS}}}")


class FieldError(ValueError):
    """A field of a message is not valid; raised and caught in this package only."""


def require_match(pattern, text, name):
    """Return the text if it matches the pattern, else raise `FieldError`."""
    if not pattern.fullmatch(text):
        raise FieldError(f"{name} is not valid: {text[:40]!r}")
    return text


def require_name(text, name="name"):
    """Return the text if it is a valid name, else raise `FieldError`."""
    return require_match(NAME_PATTERN, text, name)


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def encode_address(text):
    """Return a ``host:port`` address as bytes for a message; an empty one gives no bytes."""
    if not text:
        return b""
    host, _, port = text.rpartition(":")
    number = ip_address(host.removeprefix("[").removesuffix("]"))
    return number.packed + int(port).to_bytes(PORT_BYTES)


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def decode_address(data):
    """Return the ``host:port`` text of an address in a message, empty for no bytes."""
    if not data:
        return ""
    # The length distinguishes IPv4 from IPv6; any other length is an error.
    host = ip_address(data[:-PORT_BYTES])
    port = int.from_bytes(data[-PORT_BYTES:])
    if not port:
        raise FieldError(f"an address at {host} has no port")
    return f"{host}:{port}" if host.version == 4 else f"[{host}]:{port}"


def digest_hex(data):
    """Return a digest in hexadecimal, or raise `FieldError` if it is too long."""
    if len(data) > DIGEST_BYTES:
        raise FieldError(f"digest has {len(data)} bytes")
    return data.hex()


def require_duration(value, name):
    """Return a duration in seconds if it is in range, else raise `FieldError`."""
    # The comparison also fails for infinity and NaN.
    if not 0 <= value <= MAX_DURATION_S:
        raise FieldError(f"{name} is out of range: {value!r}")
    return value


def require_statement(value, name):
    """Return a number that is not negative, or -1 for none, else raise `FieldError`."""
    if value != -1 and not 0 <= value <= MAX_DURATION_S:
        raise FieldError(f"{name} is out of range: {value!r}")
    return value


def require_at_most(value, limit, name):
    """Return an integer if it is not above the limit, else raise `FieldError`."""
    if value > limit:
        raise FieldError(f"{name} is above {int(limit)}")
    return value


def require_max_chars(text, limit, name):
    """Return the text if it is not longer than the limit, else raise `FieldError`."""
    if len(text) > limit:
        raise FieldError(f"{name} is longer than {limit} characters")
    return text


def convert_items(items, limit, convert, name):
    """Return the converted items of a list, or raise `FieldError` if it is too long."""
    if len(items) > limit:
        raise FieldError(f"{name} has more than {limit} items")
    return tuple(convert(item) for item in items)
