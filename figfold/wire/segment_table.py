"""Reads the size of a packed Cap'n Proto message without unpacking it."""

import struct

from attrs import frozen

WORD_BYTES = 8

_SEGMENT_TABLE = struct.Struct("<II")


@frozen
class SegmentTable:
    """The first word of a message: the number of segments and the length of the first one."""

    segment_count: int
    first_words: int

    @property
    def unpacked_bytes(self):
        """Unpacked length of a message of one segment, this table included."""
        return (1 + self.first_words) * WORD_BYTES


def read_segment_table(data):
    """Return the segment table of a packed message.

    A packed word is a tag byte, whose bits mark the bytes of the word that are not zero, followed
    by those bytes.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    SegmentTable

    Raises
    ------
    ValueError
        When the data ends before the table does.
    """
    if not data or len(data) <= data[0].bit_count():
        raise ValueError("message ends within its segment table")
    nonzero_bytes = iter(data[1:])
    word = bytes(next(nonzero_bytes) if data[0] >> bit & 1 else 0 for bit in range(WORD_BYTES))
    others, first_words = _SEGMENT_TABLE.unpack(word)
    return SegmentTable(others + 1, first_words)
