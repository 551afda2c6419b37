"""What the store's rows say of the configuration, evacuations, backend servers and entries."""

import json

from attrs import frozen
from result import Err

from figfold.core.codes import Code, Failure
from figfold.core.traffic.configuration import Configuration
from figfold.core.traffic.fleet import ServerRecord
from figfold.platform.decoding import read_configuration, read_server
from figfold.platform.rows import CONFIGURATION_KEY, EVACUATION_PREFIX


@frozen
class OperatorNews:
    """What changed of the operator's rows, in the store's order.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration, if its row was among them and could be read.
    evacuation_by_place : dict[str, bool]
        Whether a data centre is being evacuated, for each one that was named.
    configuration_text : bytes
        The same as the operator wrote it, for other entries.
    failures : tuple[Failure, ...]
        Rows that could not be read.
    """

    configuration: Configuration | None
    configuration_text: bytes
    evacuation_by_place: dict
    failures: tuple = ()


@frozen
class ServerNews:
    """What changed of the backend servers' rows."""

    records: tuple[ServerRecord, ...]
    removed_ids: tuple[str, ...]
    failures: tuple = ()


@frozen
class EntryRow:
    """Where another entry may be reached by its peers, and by the operators' command."""

    name: str
    place: str
    peer_address: str
    metrics_address: str = ""


def read_operator_rows(rows):
    """Return the `OperatorNews` of rows of the operator's table."""
    configuration, text, evacuation_by_place, failures = None, b"", {}, []
    for row in rows:
        if row.key == CONFIGURATION_KEY and not row.is_removed:
            read = read_configuration(row.value)
            if read.is_err():
                failures.append(read.err())
            else:
                configuration = read.ok()
                text = json.dumps(row.value, separators=(",", ":")).encode()
        elif row.key.startswith(EVACUATION_PREFIX):
            evacuation_by_place[row.key[len(EVACUATION_PREFIX) :]] = not row.is_removed
    return OperatorNews(configuration, text, evacuation_by_place, tuple(failures))


def read_configuration_text(text):
    """Return Ok(Configuration) of what another entry has passed on of the operator's row."""
    try:
        value = json.loads(text)
    except ValueError as error:
        return Err(Failure(Code.PEER_MALFORMED, f"the configuration is no JSON: {error}"))
    return read_configuration(value)


def read_server_rows(rows, known_services=None):
    """Return the `ServerNews` of rows of the servers' table.

    A row that cannot be read names no server to use, as one that was removed.
    """
    record_by_id, removed, failures = {}, {}, []
    for row in rows:
        read = None if row.is_removed else read_server(row.key, row.value, known_services)
        if read is None or read.is_err():
            record_by_id.pop(row.key, None)
            removed[row.key] = True
            if read is not None:
                failures.append(read.err())
        else:
            removed.pop(row.key, None)
            record_by_id[row.key] = read.ok()
    return ServerNews(tuple(record_by_id.values()), tuple(removed), tuple(failures))


def read_entry_rows(rows):
    """Return the entries that registered themselves; unreadable rows name none."""
    entries = []
    for row in rows:
        value = row.value if isinstance(row.value, dict) else {}
        place, address = value.get("place"), value.get("peer_address")
        metrics = value.get("metrics_address", "")
        metrics = metrics if isinstance(metrics, str) else ""
        if isinstance(place, str) and isinstance(address, str) and place and address:
            entries.append(EntryRow(row.key, place, address, metrics))
    return tuple(entries)
