"""Frames on a green socket, each made of payload length, request id and payload."""

import socket
import struct

from attrs import frozen
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.wire.codec import MAX_MESSAGE_BYTES

_HEADER = struct.Struct("!II")
RECEIVE_BYTES = 64 * 1024


@frozen
class Frame:
    """One message on a connection; a reply carries the id of its request."""

    request_id: int
    payload: bytes


def pack_frame(frame):
    """Return the bytes of a frame."""
    return _HEADER.pack(len(frame.payload), frame.request_id) + frame.payload


def read_frame(sock, limit=MAX_MESSAGE_BYTES):
    """Read one frame; a time-out is the responsibility of the caller.

    Returns
    -------
    Result[Frame, Failure]
        `PEER_UNREACHABLE` when the connection ended between two frames, `PEER_MALFORMED` when it
        ended within one, `PEER_OVERSIZED` when the frame header gives more than ``limit`` bytes,
        in which case none of the payload is read.
    """
    header = _read_exactly(sock, _HEADER.size, at_start=True)
    if header.is_err():
        return header
    length, request_id = _HEADER.unpack(header.ok())
    if length > limit:
        return Err(
            Failure(Code.PEER_OVERSIZED, f"frame of {length} bytes, more than {limit} allowed")
        )
    payload = _read_exactly(sock, length)
    return payload.map(lambda data: Frame(request_id, data))


def write_frame(sock, frame):
    """Write one frame; an error of the socket is `PEER_UNREACHABLE`.

    Returns
    -------
    Result[None, Failure]
    """
    try:
        sock.sendall(pack_frame(frame))
    except (OSError, EOFError) as error:
        return Err(Failure(Code.PEER_UNREACHABLE, f"connection failed: {error}"))
    return Ok(None)


def close_socket(sock):
    """Shut the connection down, which wakes its readers, and close it."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # No longer connected, so it only remains to close the socket.
        pass
    sock.close()


def _read_exactly(sock, count, at_start=False):
    data = bytearray()
    while len(data) < count:
        try:
            part = sock.recv(min(count - len(data), RECEIVE_BYTES))
        except (OSError, EOFError) as error:
            # EOFError is how a green socket reports that another green thread closed it.
            return Err(Failure(Code.PEER_UNREACHABLE, f"connection failed: {error}"))
        if not part:
            return Err(_end_of_stream_failure(at_start and not data))
        data += part
    return Ok(bytes(data))


def _end_of_stream_failure(between_frames):
    if between_frames:
        return Failure(Code.PEER_UNREACHABLE, "connection closed by the peer")
    return Failure(Code.PEER_MALFORMED, "connection closed within a frame")
