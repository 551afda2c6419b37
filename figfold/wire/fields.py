"""Checks of single fields of peer messages."""

import re
from functools import lru_cache
from ipaddress import ip_address

MAX_NAME_CHARS = 128
MAX_KEY_CHARS = 256
MAX_STATE_CHARS = 64 * 1024
MAX_ERROR_CHARS = 4096
MAX_DURATION_S = 1e9
PORT_BYTES = 2
DIGEST_BYTES = 32
ADDRESS_CACHE_SIZE = 4096

NAME = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._:\[\]-]{{0,{MAX_NAME_CHARS - 1}}}")
KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARS}}}")


class FieldError(ValueError):
    """A field of a message is out of its range; raised and caught in this package only."""


def matching(pattern, text, name):
    """Return a text that fits a pattern, or raise `FieldError`."""
    if not pattern.fullmatch(text):
        raise FieldError(f"{name} is not valid: {text[:40]!r}")
    return text


def name_of(text, name="name"):
    """Return a text that is a name."""
    return matching(NAME, text, name)


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def address_bytes(text):
    """Return the bytes of an address as it is sent."""
    if not text:
        return b""
    host, _, port = text.rpartition(":")
    number = ip_address(host.removeprefix("[").removesuffix("]"))
    return number.packed + int(port).to_bytes(PORT_BYTES)


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def address_text(data):
    """Return ``host:port`` of the bytes of an address."""
    if not data:
        return ""
    # The length tells IPv4 from IPv6; any other one is an error.
    host = ip_address(data[:-PORT_BYTES])
    port = int.from_bytes(data[-PORT_BYTES:])
    if not port:
        raise FieldError(f"an address at {host} has no port")
    return f"{host}:{port}" if host.version == 4 else f"[{host}]:{port}"


def digest_of(data):
    """Return a digest in hexadecimal."""
    if len(data) > DIGEST_BYTES:
        raise FieldError(f"digest has {len(data)} bytes")
    return data.hex()


def duration_of(value, name):
    """Return a time span that is in range."""
    # The comparison also fails for infinity and for NaN.
    if not 0 <= value <= MAX_DURATION_S:
        raise FieldError(f"{name} is out of range: {value!r}")
    return value


def limited(text, limit, name):
    """Return a text that is not too long."""
    if len(text) > limit:
        raise FieldError(f"{name} is longer than {limit} characters")
    return text


def tuple_of(items, limit, convert, name):
    """Return the converted items of a list that is not too long."""
    if len(items) > limit:
        raise FieldError(f"{name} has more than {limit} items")
    return tuple(convert(item) for item in items)
