"""Rules by which the end of an HTTP message is found (RFC 9112, 5 and 6).

What two recipients frame differently can hide a request within the body of another one, so that
whatever is not framed for certain is refused.
"""

import re

from attrs import frozen

HTTP_NO_CONTENT = 204
HTTP_BAD_REQUEST = 400
HTTP_NOT_IMPLEMENTED = 501
CHUNKED = "chunked"
# What follows the data of a chunk.
CHUNK_END = b"\r\n"
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# A name, a colon and a value without control characters other than tabs.
FIELD_LINE = re.compile(TOKEN + rb":[^\x00-\x08\x0a-\x1f\x7f]*\r?\n")
LENGTH = re.compile("[0-9]+")
# A size and its extensions (RFC 9112, 7.1); white space may stand around their separators only.
QUOTED_STRING = rb'"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"'
CHUNK_EXTENSION = (
    rb"[ \t]*;[ \t]*" + TOKEN + rb"(?:[ \t]*=[ \t]*(?:" + TOKEN + rb"|" + QUOTED_STRING + rb"))?"
)
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:" + CHUNK_EXTENSION + rb")*\r\n")
# The space before an empty reason may be missing (RFC 9112, 4).
STATUS_LINE = re.compile(rb"(HTTP/1\.[0-9]) ([0-9]{3})(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?\r?\n")
# No request asks for another protocol, so that an answer that switches to one is a fault.
HTTP_SWITCHING_PROTOCOLS = 101
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
WHITE_SPACE = " \t"
# From this version on, a message may have a transfer coding.
FIRST_VERSION_WITH_CODINGS = "HTTP/1.1"


@frozen
class StatusLine:
    """Status line of an answer.

    Attributes
    ----------
    version : str
        Such as ``HTTP/1.1``.
    status : int
        From 100 to 599, but not 101.
    """

    version: str
    status: int
    reason: str

    @property
    def is_interim(self):
        """Whether another answer to the same request follows this one."""
        return self.status < FIRST_FINAL_STATUS


def parse_status_line(line):
    """Return the `StatusLine` in the bytes of a line with its end, or None if it is not valid."""
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        return None
    status = int(match[2])
    if not FIRST_STATUS <= status <= LAST_STATUS or status == HTTP_SWITCHING_PROTOCOLS:
        return None
    return StatusLine(match[1].decode("ascii"), status, (match[3] or b"").decode("latin-1"))


def is_field_line(line):
    """Return whether the bytes are one line of a head that all recipients read alike.

    Lines that are folded, have no colon or have white space before it are not.
    """
    return FIELD_LINE.fullmatch(line) is not None


def parse_chunk_size(line):
    """Return the size in the bytes of the line before a chunk with its end, or None if not valid.

    Chunk extensions count for nothing, but have to be well formed.
    """
    match = CHUNK_LINE.fullmatch(line)
    return None if match is None else int(match[1], 16)


def find_framing_fault(version, codings, lengths):
    """Return why the end of a request cannot be found for certain, or None.

    Parameters
    ----------
    version : str
        As in the request line, such as ``HTTP/1.1``.
    codings, lengths : list[str]
        Values of all lines ``Transfer-Encoding`` and ``Content-Length``.

    Returns
    -------
    tuple[int, str] or None
        Status and reason of the refusal.
    """
    if len(lengths) > 1:
        return HTTP_BAD_REQUEST, "more than one Content-Length"
    if any(not LENGTH.fullmatch(one.strip(WHITE_SPACE)) for one in lengths):
        return HTTP_BAD_REQUEST, "Content-Length is no number"
    if not codings:
        return None
    if lengths:
        return HTTP_BAD_REQUEST, "Content-Length and Transfer-Encoding"
    if version < FIRST_VERSION_WITH_CODINGS:
        return HTTP_BAD_REQUEST, f"Transfer-Encoding in {version}"
    names = [one.strip(WHITE_SPACE).lower() for line in codings for one in line.split(",")]
    if names == [CHUNKED]:
        return None
    if names[-1] != CHUNKED or names.count(CHUNKED) > 1:
        return HTTP_BAD_REQUEST, "the body does not end with its last chunk"
    return HTTP_NOT_IMPLEMENTED, "transfer coding is not known"


def find_answer_framing_fault(status_line, codings, lengths):
    """Return why the end of an answer cannot be found for certain, or None.

    The rules are those of `find_framing_fault`, except where RFC 9112, 6.3, lets the recipient of
    an answer go on: equal lengths count as one, and a length beside chunks does not count. An
    answer without either field ends with its connection.

    Parameters
    ----------
    status_line : StatusLine
    codings, lengths : list[str]
        Values of all lines ``Transfer-Encoding`` and ``Content-Length``.

    Returns
    -------
    str or None
    """
    if len(set(lengths)) > 1:
        return "Content-Length with different values"
    if codings and (status_line.is_interim or status_line.status == HTTP_NO_CONTENT):
        return f"Transfer-Encoding with status {status_line.status}"
    fault = find_framing_fault(status_line.version, (), lengths[:1])
    fault = fault or find_framing_fault(status_line.version, codings, ())
    return None if fault is None else fault[1]
