"""Decodes the platform's list of instances; one malformed item invalidates the whole list."""

from attrs import frozen
from result import Ok

from figfold.core.model import Instance, Role, State
from figfold.platform.answers import bad_answer

INSTANCE_TABLE = "instances"
MAX_NAME_CHARACTERS = 1024


@frozen
class Listing:
    """Snapshot of the instance list; its entity tag differs after every change."""

    instances: tuple[Instance, ...]
    etag: str = ""


def listing_tag(rows):
    """Return the entity tag of the list, made of the keys and versions of its rows."""
    return ",".join(f"{row.key}={row.version}" for row in rows)


def read_instances(items):
    """Return Ok(tuple of Instance) from the rows' values, or an error if any is malformed."""
    try:
        instances = tuple(_instance(item) for item in items)
    except (KeyError, TypeError, ValueError) as error:
        return bad_answer("malformed instance in the list", repr(error))
    names = {instance.name for instance in instances}
    if len(names) < len(instances):
        return bad_answer("two instances of the list have the same name")
    return Ok(instances)


def _instance(item):
    return Instance(
        name=_text(item, "name"),
        role=Role(item["role"]),
        place=_text(item, "place"),
        state=State(item["state"]),
        service=_text(item, "service", required=False),
        address=_address(item, "address"),
        peer_address=_address(item, "peer_address"),
        admin_address=_address(item, "admin_address"),
    )


def _text(item, name, required=True):
    value = item[name] if required else item.get(name, "")
    if not isinstance(value, str):
        raise TypeError(f"{name} {value!r}")
    if len(value) > MAX_NAME_CHARACTERS or (required and not value):
        raise ValueError(f"{name} of {len(value)} characters")
    return value


def _address(item, name):
    value = _text(item, name, required=False)
    if not value:
        return ""
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 1 << 16:
        raise ValueError(f"{name} {value!r}")
    return value
