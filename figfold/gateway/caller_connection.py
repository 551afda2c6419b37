"""A caller's connection: notices its close, and reads requests that are sent ahead of an answer.

A caller may send further requests before the first is answered. Those that may be repeated and have
no body run at the same time, up to a limit; their answers wait for their turn. Any other request
waits until all before it have been answered, and nothing behind it is read before its own answer.
"""

import copy
import io
from collections import deque

import eventlet
from attrs import Factory, define
from eventlet.event import Event
from eventlet.hubs import trampoline

from figfold.entry.answer_memory import AnswerMemory, HeldMemory

# Requests of one connection that run at the same time, the first one included.
MAX_OVERLAP = 8
# Bytes of further requests that are held while none of them can be started.
AHEAD_BUFFER_BYTES = 64 << 10
# An answer that waits for its turn is held up to this size; its server then has to wait as well.
MAX_WAITING_ANSWER_BYTES = 256 << 10
# Interval at which a full buffer is looked at again.
FULL_BUFFER_POLL_S = 0.1


class AheadReader(io.RawIOBase):
    """Reads a socket, and can take in what has arrived without waiting for more."""

    def __init__(self, sock):
        self.sock = sock
        self.is_at_end = False
        self.is_waiting_allowed = True
        self._held = bytearray()

    def readable(self):
        """Return whether the stream can be read."""
        return True

    @property
    def is_full(self):
        """Whether no more is taken in until something has been read."""
        return len(self._held) >= AHEAD_BUFFER_BYTES

    def readinto(self, buffer):
        """Read what is held, else wait for data; None if waiting is not allowed."""
        if not self._held:
            if self.is_at_end:
                return 0
            if not self.is_waiting_allowed:
                return None
            count = self.sock.recv_into(buffer)
            self.is_at_end = count == 0
            return count
        count = min(len(buffer), len(self._held))
        buffer[:count] = self._held[:count]
        del self._held[:count]
        return count

    def take_in(self):
        """Hold the data that has arrived at a readable socket; return False at its end."""
        data = self.sock.recv(AHEAD_BUFFER_BYTES - len(self._held))
        self.is_at_end = not data
        self._held += data
        return not self.is_at_end


class WaitingAnswer:
    """Holds what is written of an answer until its turn on the connection.

    Parameters
    ----------
    memory : AnswerMemory or None
        Memory for all answers together; None for one of its own.
    """

    def __init__(self, memory=None):
        self._parts = []
        self._held = HeldMemory(memory or AnswerMemory())
        self._file = None
        self._turn = Event()

    @property
    def has_data(self):
        """Whether anything is held."""
        return bool(self._parts)

    def write(self, data):
        """Hold the data, or write it if it is the answer's turn."""
        if self._file is None and not self._may_hold(len(data)):
            self._turn.wait()
        if self._file is not None:
            return self._file.write(data)
        self._parts.append(bytes(data))
        self._held.grow(len(data))
        return len(data)

    def _may_hold(self, size):
        is_small = self._held.size + size <= MAX_WAITING_ANSWER_BYTES
        return is_small and self._held.may_grow(size)

    def writelines(self, lines):
        """Write each of the lines."""
        for line in lines:
            self.write(line)

    def flush(self):
        """Flush the connection, if it is the answer's turn."""
        if self._file is not None:
            self._file.flush()

    def wait_for_turn(self):
        """Wait until the answer is on its way to the caller."""
        self._turn.wait()

    def begin_turn(self, file):
        """Write what is held, and from now on write at once."""
        while self._parts:
            # More can be added while the caller does not take what is written.
            parts, self._parts = self._parts, []
            for part in parts:
                file.write(part)
            file.flush()
        self._held.release()
        self._file = file
        self._turn.send()


@define(eq=False)
class AheadRequest:
    """A request that was read ahead of an answer.

    Attributes
    ----------
    protocol : HttpProtocol
        A copy of the connection's protocol, with the state of this request.
    is_parsed : bool
        Whether it is a request that can be run; otherwise the answer is a refusal.
    thread : GreenThread or None
        Runs the request; None if it waits until all before it have been answered.
    """

    protocol: object
    is_parsed: bool = False
    thread: object = None

    def answer(self, file):
        """Write the answer to the connection's file; return whether the connection ends."""
        protocol = self.protocol
        waiting = protocol.wfile
        try:
            waiting.begin_turn(file)
            if self.thread is not None:
                self.thread.wait()
            elif self.is_parsed:
                protocol.wfile = file
                protocol.run_deferred()
        except BaseException:
            self.cancel()
            raise
        file.drains_at_close |= waiting.drains_at_close
        return bool(protocol.close_connection)

    def cancel(self):
        """End the request, whose answer nobody reads."""
        if self.thread is not None:
            self.thread.kill()


@define(eq=False)
class CallerConnection:
    """Requests in progress of one connection, and those that were read ahead.

    Attributes
    ----------
    reader : AheadReader
    file : io.BufferedReader
        From which all requests of the connection are read.
    may_overlap : bool
        Whether further requests may be started before the current ones have been answered.
    """

    sock: object
    reader: AheadReader
    file: object
    read_request: object
    may_overlap: bool = False
    _ahead: deque = Factory(deque)
    _callbacks: dict = Factory(dict)
    _thread: object = None
    _parsing: object = None
    _is_unreadable: bool = False

    @classmethod
    def from_socket(cls, sock, read_request):
        """Return a connection of which nothing has been read.

        Parameters
        ----------
        sock : GreenSocket
        read_request : callable
            Reads one request and returns an `AheadRequest`.
        """
        reader = AheadReader(sock)
        return cls(sock, reader, io.BufferedReader(reader), read_request)

    def watch(self, on_disconnect):
        """Call ``on_disconnect`` once the caller has closed the connection.

        Returns
        -------
        callable
            Ends the watch.
        """
        token = object()
        self._callbacks[token] = on_disconnect
        if self._thread is None:
            self._thread = eventlet.spawn(self._watch_socket)

        def stop():
            self._callbacks.pop(token, None)
            if not self._callbacks and self._thread is not None and self._parsing is None:
                thread, self._thread = self._thread, None
                if thread is not eventlet.getcurrent():
                    thread.kill()

        return stop

    def answer_ahead(self, file):
        """Answer the next request that was read ahead.

        Returns
        -------
        bool or None
            Whether the connection ends with the answer; None if no request was read ahead.
        """
        while self._parsing is not None:
            self._parsing.wait()
        if self._ahead:
            return self._ahead.popleft().answer(file)
        return True if self._is_unreadable else None

    def cancel_ahead(self):
        """Cancel the requests that were read ahead, since the connection ends before them."""
        self.may_overlap = False
        thread, self._thread = self._thread, None
        if thread is not None:
            thread.kill()
        while self._ahead:
            self._ahead.popleft().cancel()

    def _watch_socket(self):
        try:
            while self._callbacks:
                if self._may_read_ahead() and self._has_data():
                    self._read_ahead()
                elif self.reader.is_full:
                    eventlet.sleep(FULL_BUFFER_POLL_S)
                elif not self._take_in():
                    self._report_close()
                    return
                if self.reader.is_at_end and not self._has_data():
                    self._report_close()
                    return
        finally:
            if self._thread is eventlet.getcurrent():
                self._thread = None

    def _take_in(self):
        trampoline(self.sock, read=True)
        try:
            return self.reader.take_in()
        except OSError:
            # Reset by the caller, which is a close as well.
            return False

    def _report_close(self):
        callbacks, self._callbacks = self._callbacks, {}
        for on_disconnect in callbacks.values():
            on_disconnect()

    def _may_read_ahead(self):
        if not self.may_overlap or self._is_unreadable or len(self._ahead) + 1 >= MAX_OVERLAP:
            return False
        return not self._ahead or self._ahead[-1].thread is not None

    def _has_data(self):
        self.reader.is_waiting_allowed = False
        try:
            return bool(self.file.peek(1))
        finally:
            self.reader.is_waiting_allowed = True

    def _read_ahead(self):
        self._parsing = Event()
        # What follows a request that was read in part is not the beginning of another one.
        self._is_unreadable = True
        try:
            request = self.read_request()
            self._is_unreadable = False
            if request is not None:
                self._ahead.append(request)
        except OSError:
            # It took too long to arrive. The requests before it still get their answers.
            self.may_overlap = False
        finally:
            parsing, self._parsing = self._parsing, None
            parsing.send()


def read_ahead_request(protocol):
    """Read one request of a protocol's connection into a copy of the protocol.

    Returns
    -------
    AheadRequest or None
        None if the connection ended instead.
    """
    twin = copy.copy(protocol)
    waiting = WaitingAnswer(protocol.server.app.answer_memory)
    twin.wfile = twin.wrap_file(waiting)
    twin.ahead_request = AheadRequest(twin)
    twin.read_request()
    is_answered = twin.ahead_request.is_parsed or waiting.has_data
    return twin.ahead_request if is_answered else None
