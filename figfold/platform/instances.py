"""The table in which the platform lists the instances, read whole or refused whole."""

from attrs import frozen
from result import Ok

from figfold.core.model import Instance, Role, State
from figfold.platform.answers import bad_answer

INSTANCE_TABLE = "instances"
MAX_NAME_CHARACTERS = 1024


@frozen
class Listing:
    """The instance list as it was read; the tag is another one after every change."""

    instances: tuple[Instance, ...]
    etag: str = ""


def listing_tag(rows):
    """Return what tells one state of the list from another: the keys and versions of its rows."""
    return ",".join(f"{row.key}={row.version}" for row in rows)


def read_instances(items):
    """Return Ok with the instances of the rows' values, all of them or an error."""
    try:
        instances = tuple(_instance(item) for item in items)
    except (KeyError, TypeError, ValueError) as error:
        return bad_answer("malformed instance in the list", repr(error))
    names = {instance.name for instance in instances}
    if len(names) < len(instances):
        return bad_answer("an instance stands twice in the list")
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
