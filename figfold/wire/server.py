"""Server for peer messages: accepts allowed sources and passes each message to the handler."""

import socket
from collections.abc import Callable
from ipaddress import ip_address, ip_network

import eventlet
from attrs import define, field, frozen
from eventlet.greenpool import GreenPool
from eventlet.semaphore import Semaphore

from figfold.core.codes import Code
from figfold.wire.codec import decode
from figfold.wire.encoder import MessageEncoder
from figfold.wire.framing import Frame, close_socket, read_frame, write_frame
from figfold.wire.messages import ErrorReply

BACKLOG = 1024
REQUESTS_PER_CONNECTION = 32
# Pause after a failed accept, so that the loop does not spin while no file descriptors are free.
ACCEPT_RETRY_S = 0.1


@frozen
class PeerServerSettings:
    """Listening address and limits of the server.

    Attributes
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the kernel choose one.
    networks : tuple of ip_network
        Networks that may connect.
    connection_limit : int
        The most open connections.
    idle_timeout_s : float
        Time without a complete frame after which a connection is closed.
    write_timeout_s : float
        Longest time for sending one reply.
    """

    host: str
    port: int = 0
    networks: tuple = (ip_network("127.0.0.0/8"),)
    connection_limit: int = 1024
    idle_timeout_s: float = 120.0
    write_timeout_s: float = 5.0


def _ignore_failure(_kind, _cause):
    """Report nothing."""


@define
class PeerServerCounters:
    """Counts since the start of the process."""

    accepted: int = 0
    answered: int = 0
    source_refused: int = 0
    limit_refused: int = 0
    malformed: int = 0
    oversized: int = 0
    idle_closed: int = 0
    handler_failed: int = 0
    write_failed: int = 0


@define(eq=False)
class PeerServer:
    """A listener for peer messages and its open connections.

    Attributes
    ----------
    settings : PeerServerSettings
    handler : callable
        Takes a message and returns the reply.
    on_failure : callable
        Called as ``on_failure(kind, cause)`` for each message that could not be answered.
    counters : PeerServerCounters
    """

    settings: PeerServerSettings
    handler: Callable
    on_failure: Callable = _ignore_failure
    counters: PeerServerCounters = field(factory=PeerServerCounters)
    _encoder: MessageEncoder = field(factory=MessageEncoder)
    _listener: object = None
    _connections: set = field(factory=set)

    @classmethod
    def from_config(cls, settings, handler, on_failure=_ignore_failure):
        """Return a server that does not listen yet."""
        return cls(settings, handler, on_failure)

    @property
    def address(self):
        """The ``host:port`` in use, known after `start`."""
        host, port = self._listener.getsockname()[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._connections)

    def start(self):
        """Listen and serve in green threads; raises ``OSError`` if the address is in use."""
        family = socket.AF_INET6 if ":" in self.settings.host else socket.AF_INET
        address = (self.settings.host, self.settings.port)
        # With SO_REUSEPORT, which eventlet sets by default, two processes could share a port.
        self._listener = eventlet.listen(address, family=family, backlog=BACKLOG, reuse_port=False)
        eventlet.spawn(self._accept_loop, self._listener)

    def stop(self):
        """Close the listener and all connections."""
        listener, self._listener = self._listener, None
        if listener:
            close_socket(listener)
        for sock in list(self._connections):
            close_socket(sock)

    def _accept_loop(self, listener):
        while listener is self._listener:
            try:
                sock, source = listener.accept()
            except OSError:
                eventlet.sleep(ACCEPT_RETRY_S)
                continue
            self._accept(sock, source[0])

    def _accept(self, sock, host):
        if not any(ip_address(host) in network for network in self.settings.networks):
            self.counters.source_refused += 1
            close_socket(sock)
            return
        if len(self._connections) >= self.settings.connection_limit:
            self.counters.limit_refused += 1
            close_socket(sock)
            return
        self.counters.accepted += 1
        self._connections.add(sock)
        eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        pool = GreenPool(REQUESTS_PER_CONNECTION)
        write_lock = Semaphore()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while self._serve_frame(sock, pool, write_lock):
                pass
            pool.waitall()
        except OSError:
            self.counters.write_failed += 1
        finally:
            self._connections.discard(sock)
            close_socket(sock)

    def _serve_frame(self, sock, pool, write_lock):
        """Serve one frame; return whether the connection can be kept open."""
        result = None
        with eventlet.Timeout(self.settings.idle_timeout_s, False):
            result = read_frame(sock)
        if result is None:
            self.counters.idle_closed += 1
            return False
        if result.is_err():
            self._count_failure(result.err())
            return False
        frame = result.ok()
        message = decode(frame.payload)
        if message.is_err():
            failure = message.err()
            self._count_failure(failure)
            reply = ErrorReply(failure.code, failure.message)
            self._reply(sock, write_lock, frame.request_id, reply)
            return False
        pool.spawn_n(self._handle_message, sock, write_lock, frame.request_id, message.ok())
        return True

    def _handle_message(self, sock, write_lock, request_id, message):
        try:
            reply = self.handler(message)
        except (Exception, eventlet.Timeout) as error:
            # An exception in one handler call must not end the connection of a healthy peer.
            self.counters.handler_failed += 1
            cause = f"{type(error).__name__}: {error}"
            self.on_failure(type(message).__name__, cause)
            reply = ErrorReply(Code.PEER_ENTRY_FAILED, cause)
        self._reply(sock, write_lock, request_id, reply)

    def _reply(self, sock, write_lock, request_id, reply):
        encoded = self._encoder.encode(reply)
        if encoded.is_err():
            self.counters.handler_failed += 1
            failure = encoded.err()
            self.on_failure(type(reply).__name__, failure.message)
            encoded = self._encoder.encode(ErrorReply(failure.code, failure.message))
        written = None
        with eventlet.Timeout(self.settings.write_timeout_s, False), write_lock:
            written = write_frame(sock, Frame(request_id, encoded.ok()))
        if written is None or written.is_err():
            self.counters.write_failed += 1
            close_socket(sock)
            return
        self.counters.answered += 1

    def _count_failure(self, failure):
        if failure.code is Code.PEER_OVERSIZED:
            self.counters.oversized += 1
        elif failure.code is Code.PEER_MALFORMED:
            self.counters.malformed += 1
