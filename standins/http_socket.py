"""HTTP/1.1 over a plain socket, so that faults can be injected between any two bytes."""

import socket

from attrs import Factory, define

RECEIVE_BYTES = 65536
HEAD_LIMIT_BYTES = 65536
BODY_LIMIT_BYTES = 64 << 20


class BadRequestError(Exception):
    """The received bytes are not an HTTP request that the stand-in supports."""


@define
class HttpRequest:
    """An HTTP request; header names are in lower case."""

    method: str
    target: str
    header_by_name: dict[str, str] = Factory(dict)
    body: bytes = b""

    @property
    def wants_close(self):
        """Whether the sender closes the connection after the response."""
        return self.header_by_name.get("connection", "").lower() == "close"


class HttpSocket:
    """The server side of one connection."""

    def __init__(self, sock):
        self.sock = sock
        self._buffer = b""

    def read_request(self):
        """Return the next request, or None when the peer closed the connection between requests.

        Raises
        ------
        BadRequestError
            When the bytes are malformed, or end inside a request.
        """
        head = self._read_until(b"\r\n\r\n")
        if head is None:
            return None
        request = _parse_head(head)
        if request.header_by_name.get("expect", "").lower() == "100-continue":
            self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        if request.header_by_name.get("transfer-encoding", "").lower() == "chunked":
            request.body = self._read_chunks()
        else:
            request.body = self._read_bytes(_content_length(request))
        return request

    def is_closed_by_peer(self):
        """Return whether a readable socket is at the end of the stream."""
        if self._buffer:
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def discard_byte(self):
        """Receive one byte and discard it."""
        self.sock.recv(1)

    def _receive(self):
        data = self.sock.recv(RECEIVE_BYTES)
        self._buffer += data
        return bool(data)

    def _read_until(self, delimiter):
        while delimiter not in self._buffer:
            if len(self._buffer) > HEAD_LIMIT_BYTES:
                raise BadRequestError("head too large")
            if not self._receive():
                if self._buffer:
                    raise BadRequestError("connection closed inside the head")
                return None
        head, _, self._buffer = self._buffer.partition(delimiter)
        return head

    def _read_bytes(self, size):
        if size > BODY_LIMIT_BYTES:
            raise BadRequestError("body too large")
        parts = [self._buffer]
        missing = size - len(self._buffer)
        while missing > 0:
            data = self.sock.recv(RECEIVE_BYTES)
            if not data:
                raise BadRequestError("connection closed inside the body")
            parts.append(data)
            missing -= len(data)
        received = b"".join(parts)
        self._buffer = received[size:]
        return received[:size]

    def _read_chunks(self):
        parts = []
        while True:
            line = self._read_until(b"\r\n")
            if line is None:
                raise BadRequestError("connection closed inside a chunk")
            size = _parse_size(line.split(b";")[0], 16)
            if not size:
                self._read_until(b"\r\n")
                return b"".join(parts)
            parts.append(self._read_bytes(size))
            self._read_bytes(2)


def _parse_head(head):
    try:
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _version = first.split(" ")
        pairs = [line.split(":", 1) for line in lines]
        header_by_name = {name.lower(): value.strip() for name, value in pairs}
    except ValueError as error:
        raise BadRequestError("malformed head") from error
    return HttpRequest(method, target, header_by_name)


def _content_length(request):
    return _parse_size(request.header_by_name.get("content-length", "0").encode(), 10)


def _parse_size(text, base):
    try:
        size = int(text, base)
    except ValueError as error:
        raise BadRequestError("malformed size") from error
    if size < 0:
        raise BadRequestError("negative size")
    return size


def format_response(status_line, headers, body, length=None):
    """Return the bytes of a response; ``length`` overrides the true Content-Length."""
    size = len(body) if length is None else length
    lines = [f"HTTP/1.1 {status_line}", f"Content-Length: {size}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
