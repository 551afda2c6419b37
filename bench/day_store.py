"""The store of a day with real processes: one port for each entry, and faults by entry."""

import base64
import json
import random
import time
from urllib.parse import parse_qsl

import eventlet
from attrs import define, field
from eventlet.green.http import client as green_client

from standins.http_socket import HttpSocket, format_response
from standins.process import STATUS_LINE_BY_STATUS, address_of, listen, reset_connection
from standins.rows import RowTables

CALL_TIMEOUT_S = 5.0
# Time without a new row after which the store removes that of a server, and how often it looks.
SERVER_ROW_S = 4.5
EXPIRY_INTERVAL_S = 0.25
FOREVER_S = 3600.0


class StoreCaller:
    """Writes rows as servers and the operator do."""

    def __init__(self, address):
        self._address = address

    def put(self, table, key, value):
        """Write the JSON value of a row; return whether the store has accepted it."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": encoded}
        return self._transact({"writes": [row]})

    def remove(self, table, key):
        """Remove a row; return whether the store has accepted it."""
        return self._transact({"remove": [{"table": table, "part": "", "key": key}]})

    def _transact(self, changes):
        call = {"precondition": [], "writes": [], "remove": []} | changes
        connection = green_client.HTTPConnection(self._address, timeout=CALL_TIMEOUT_S)
        try:
            connection.request("POST", "/rows-tx", json.dumps(call))
            return connection.getresponse().status == 200
        except (OSError, green_client.HTTPException):
            return False
        finally:
            connection.close()


@define(eq=False)
class DayStore:
    """The store, which treats the calls of each entry as its faults say.

    Attributes
    ----------
    mode_by_entry : dict[str, str]
        ``busy``, ``many``, ``reset`` or ``silent``; all entries under an empty name.
    slow_s : float
        Time that each answer takes.
    lost_share : float
        Share of the writes that are done and not answered; with `is_late` they are done later.
    is_mute : bool
        Whether calls that wait for changes hear of none.
    """

    random: random.Random
    tables: RowTables = field(factory=RowTables)
    mode_by_entry: dict = field(factory=dict)
    slow_s: float = 0.004
    lost_share: float = 0.0
    is_late: bool = False
    is_mute: bool = False
    _open: set = field(factory=set)

    def open_port(self, entry):
        """Return the address at which an entry reaches the store."""
        listener = listen()
        eventlet.spawn_n(self._accept, listener, entry)
        return address_of(listener)

    def silence_connections(self, share):
        """Answer nothing more on a share of the open connections."""
        for connection in list(self._open):
            if self.random.random() < share:
                connection.is_silent = True

    def expire_servers(self):
        """Remove the rows of servers that have written none for three heartbeats."""
        written_by_key = {}
        while True:
            eventlet.sleep(EXPIRY_INTERVAL_S)
            at_s = now_s()
            for (table, key), row in list(self.tables.row_by_key.items()):
                version, since_s = written_by_key.get(key, (0, at_s))
                if table != "servers":
                    continue
                if version != row["ver"]:
                    written_by_key[key] = row["ver"], at_s
                elif at_s - since_s > SERVER_ROW_S:
                    self.tables.remove(table, key)

    def _accept(self, listener, entry):
        while True:
            sock, _ = listener.accept()
            eventlet.spawn_n(self._serve, sock, entry)

    def _serve(self, sock, entry):
        connection = HttpSocket(sock)
        connection.is_silent = False
        self._open.add(connection)
        try:
            while self._serve_call(connection, entry):
                pass
        except (OSError, ValueError):
            pass
        finally:
            self._open.discard(connection)
            sock.close()

    def _serve_call(self, connection, entry):
        request = connection.read_request()
        if request is None:
            return False
        sock = connection.sock
        mode = self.mode_by_entry.get(entry) or (entry and self.mode_by_entry.get(""))
        if mode == "reset":
            reset_connection(sock)
            return False
        if mode in ("busy", "many"):
            sock.sendall(_format(503 if mode == "busy" else 429, {}))
            return True
        if mode == "silent" or connection.is_silent:
            eventlet.sleep(FOREVER_S)
        path, _, text = request.target.partition("?")
        query = dict(parse_qsl(text))
        if path == "/rows-tx" and self.random.random() < self.lost_share:
            delay_s = self.random.uniform(1.0, 6.0) if self.is_late else 0.0
            eventlet.spawn_after(delay_s, self.tables.answer, path, query, request.body)
            eventlet.sleep(FOREVER_S)
        eventlet.sleep(self.slow_s)
        if path == "/rows-feed" and int(query.get("waitMs", 0)):
            # Whoever waits for changes hears of none until the history is gone, and is cut off.
            while self.is_mute:
                eventlet.sleep(0.02)
        status, value = self.tables.answer(path, query, request.body)
        mode = self.mode_by_entry.get(entry) or (entry and self.mode_by_entry.get(""))
        if mode == "silent" or connection.is_silent:
            eventlet.sleep(FOREVER_S)
        sock.sendall(_format(status, value))
        return True


def _format(status, value):
    line = STATUS_LINE_BY_STATUS.get(status, f"{status} Refused")
    return format_response(line, (), json.dumps(value).encode())


def now_s():
    """Return the clock that all processes of the machine share, in seconds."""
    return time.monotonic()
