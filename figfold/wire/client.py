"""Client for peer messages, with one pooled connection per peer address."""

import socket
import time

import eventlet
from attrs import define, field
from eventlet.event import Event
from eventlet.green import socket as green_socket
from eventlet.semaphore import Semaphore
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.wire.codec import decode
from figfold.wire.encoder import MessageEncoder
from figfold.wire.framing import Frame, close_socket, read_frame, write_frame
from figfold.wire.messages import ErrorReply

# Shorter than the server's idle time-out, so that no request is sent on a connection that the
# server is closing.
IDLE_LIMIT_S = 60.0
MAX_REQUEST_ID = 0xFFFFFFFF


@define
class PeerClientCounters:
    """Counts since the start of the process."""

    calls: int = 0
    connects: int = 0
    connect_failed: int = 0
    timeouts: int = 0
    closed: int = 0
    late_replies: int = 0
    malformed: int = 0
    error_replies: int = 0


@define(eq=False)
class _Connection:
    """An open connection and the events of the calls waiting on it, by request id."""

    address: str
    sock: object
    used_at: float
    write_lock: Semaphore = field(factory=Semaphore)
    event_by_id: dict = field(factory=dict)
    last_id: int = 0
    retired: bool = False
    closed: bool = False

    def next_id(self):
        self.last_id = self.last_id % MAX_REQUEST_ID + 1
        return self.last_id

    def close(self, failure):
        """Close the socket and fail all waiting calls."""
        self.closed = True
        close_socket(self.sock)
        waiting, self.event_by_id = self.event_by_id, {}
        for event in waiting.values():
            event.send(Err(failure))


@define(eq=False)
class PeerClient:
    """Calls peers by their ``host:port`` address over pooled connections.

    Attributes
    ----------
    source_host : str
        Address to connect from; empty lets the kernel choose.
    counters : PeerClientCounters
    """

    source_host: str = ""
    counters: PeerClientCounters = field(factory=PeerClientCounters)
    _encoder: MessageEncoder = field(factory=MessageEncoder)
    _connection_by_address: dict = field(factory=dict)
    _lock_by_address: dict = field(factory=dict)

    @classmethod
    def from_config(cls, source_host=""):
        """Return a client without connections."""
        return cls(source_host=source_host)

    @property
    def connection_count(self):
        """Number of pooled connections."""
        return len(self._connection_by_address)

    def call(self, address, message, timeout_s):
        """Send a message and return the reply.

        Several calls may be in progress on one connection. After a time-out the connection
        is not used for further calls, and the next call opens a new one.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        message : Message
        timeout_s : float
            Limit for connecting, sending and waiting for the reply together.

        Returns
        -------
        Result[Message, Failure]
            An error reply of the peer is an error with the peer's code.
        """
        self.counters.calls += 1
        encoded = self._encoder.encode(message)
        if encoded.is_err():
            return encoded
        result = None
        with eventlet.Timeout(timeout_s, False):
            result = self._call(address, encoded.ok())
        if result is None:
            self.counters.timeouts += 1
            return Err(Failure(Code.PEER_TIMEOUT, f"{address} did not answer in {timeout_s:g} s"))
        return result

    def drop(self, address):
        """Close the connection to a peer that no longer exists."""
        lock = self._lock_by_address.get(address)
        if lock and not lock.locked():
            del self._lock_by_address[address]
        connection = self._connection_by_address.get(address)
        if connection:
            self._close_connection(
                connection, Failure(Code.PEER_UNREACHABLE, f"{address} was dropped")
            )

    def close(self):
        """Close all connections."""
        for address in list(self._connection_by_address):
            self.drop(address)

    def _call(self, address, data):
        connected = self._get_connection(address)
        if connected.is_err():
            return connected
        connection = connected.ok()
        request_id = connection.next_id()
        event = connection.event_by_id[request_id] = Event()
        answered = False
        try:
            self._send(connection, Frame(request_id, data))
            result = event.wait()
            answered = True
            return result
        finally:
            # This also runs when the call times out.
            connection.event_by_id.pop(request_id, None)
            if not answered:
                self._retire(connection)

    def _send(self, connection, frame):
        with connection.write_lock:
            failure = Failure(Code.PEER_TIMEOUT, "connection blocked while sending")
            try:
                failure = write_frame(connection.sock, frame).err()
            finally:
                # After a partly sent frame, also one cut off by a time-out, the connection cannot
                # be used any more.
                if failure:
                    self._close_connection(connection, failure)

    def _get_connection(self, address):
        lock = self._lock_by_address.setdefault(address, Semaphore())
        with lock:
            now_s = time.monotonic()
            connection = self._connection_by_address.get(address)
            if connection and now_s - connection.used_at > IDLE_LIMIT_S:
                self._retire(connection)
                connection = None
            if connection is None:
                connected = self._connect(address, now_s)
                if connected.is_err():
                    return connected
                connection = connected.ok()
            connection.used_at = now_s
            return Ok(connection)

    def _connect(self, address, now_s):
        host, _, port = address.rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = green_socket.socket(family, socket.SOCK_STREAM)
        is_open = False
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.source_host:
                sock.bind((self.source_host, 0))
            sock.connect((host, int(port)))
            is_open = True
        except (OSError, ValueError, OverflowError) as error:
            self.counters.connect_failed += 1
            return Err(Failure(Code.PEER_UNREACHABLE, f"{address}: {error}"))
        finally:
            # This also runs when the call times out.
            if not is_open:
                sock.close()
        self.counters.connects += 1
        connection = _Connection(address, sock, used_at=now_s)
        self._connection_by_address[address] = connection
        eventlet.spawn_n(self._read_replies, connection)
        return Ok(connection)

    def _read_replies(self, connection):
        while True:
            result = read_frame(connection.sock)
            if result.is_err():
                self._close_connection(connection, result.err())
                return
            self._handle_reply(connection, result.ok())

    def _handle_reply(self, connection, frame):
        event = connection.event_by_id.pop(frame.request_id, None)
        if event is None:
            self.counters.late_replies += 1
            return
        message = decode(frame.payload)
        if message.is_err():
            self.counters.malformed += 1
        elif isinstance(message.ok(), ErrorReply):
            self.counters.error_replies += 1
            message = Err(Failure(message.ok().code, message.ok().text))
        event.send(message)
        if connection.retired and not connection.event_by_id:
            self._close_connection(connection, Failure(Code.PEER_UNREACHABLE, "connection retired"))

    def _retire(self, connection):
        """Use the connection for no further calls and close it once no call waits on it."""
        self._remove_from_pool(connection)
        connection.retired = True
        if not connection.event_by_id:
            self._close_connection(connection, Failure(Code.PEER_UNREACHABLE, "connection retired"))

    def _close_connection(self, connection, failure):
        self._remove_from_pool(connection)
        if not connection.closed:
            self.counters.closed += 1
            connection.close(failure)

    def _remove_from_pool(self, connection):
        if self._connection_by_address.get(connection.address) is connection:
            del self._connection_by_address[connection.address]
