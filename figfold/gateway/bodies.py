"""Reads callers' request bodies into memory, of which all of them together may take up a part.

A request may be sent to a second server, so its body is kept until it has ended.
"""

from attrs import define

from figfold.core.codes import Code
from figfold.gateway.messages import FinalRefusal

PIECE_BYTES = 64 << 10
# An entry has 300 MB on the smallest instances at hand, of which a process at rest takes up 50.
ALL_BODIES_BYTES = 128 << 20
# A body that finds no room now may find some once others have ended.
NO_ROOM_RETRY_AFTER_S = 1.0


@define
class BodyMemory:
    """The bytes that all request bodies take up at the moment."""

    limit_bytes: int = ALL_BODIES_BYTES
    held_bytes: int = 0

    def take(self, size):
        """Take up memory for some bytes; return whether there was room."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def give_back(self, size):
        """Free the memory of some bytes."""
        self.held_bytes -= size


def read_body(environ, limit_bytes, memory):
    """Return the body of a WSGI request, or a `FinalRefusal`.

    The memory of a body that is returned stays taken, that of a refused one does not.

    Parameters
    ----------
    environ : dict
    limit_bytes : int
        The most that one body may have.
    memory : BodyMemory
    """
    declared = environ.get("CONTENT_LENGTH", "")
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if declared and not declared.isdigit():
        return FinalRefusal(Code.BAD_REQUEST, True, "bad-length")
    if declared and int(declared) > limit_bytes:
        return FinalRefusal(Code.BODY_TOO_LARGE, True, "body-too-large")
    if not declared and not chunked:
        return b""
    expected = None if chunked else int(declared)
    return _read_pieces(environ["wsgi.input"], expected, limit_bytes, memory)


def _read_pieces(stream, expected, limit_bytes, memory):
    pieces, size = [], 0
    refusal = None
    try:
        while refusal is None and size != expected:
            wanted = PIECE_BYTES if expected is None else min(PIECE_BYTES, expected - size)
            piece = stream.read(wanted)
            if not piece:
                break
            if not memory.take(len(piece)):
                refusal = FinalRefusal(Code.NO_MEMORY, True, "no-memory", NO_ROOM_RETRY_AFTER_S)
                break
            pieces.append(piece)
            size += len(piece)
            if size > limit_bytes:
                refusal = FinalRefusal(Code.BODY_TOO_LARGE, True, "body-too-large")
    except (OSError, ValueError):
        refusal = FinalRefusal(Code.BAD_REQUEST, True, "body-incomplete")
    if refusal is None and expected is not None and size < expected:
        refusal = FinalRefusal(Code.BAD_REQUEST, True, "body-incomplete")
    if refusal is not None:
        memory.give_back(size)
        return refusal
    return b"".join(pieces)
