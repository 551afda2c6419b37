"""Limits the memory that answers of backend servers take up until callers have them."""

from attrs import Factory, define, field

# Used where the settings give no other limit.
ANSWER_MEMORY_BYTES = 80 << 20


class AnswerMemoryError(ValueError):
    """An answer needs more memory than there is for it now."""


@define(eq=False)
class AnswerMemory:
    """Memory for all answers together.

    One answer may take up as much as all together leave free. So few answers can be large, and many
    large ones, as of servers that send without end, still leave room for small ones.
    """

    limit_bytes: int = ANSWER_MEMORY_BYTES
    held_bytes: int = 0

    @property
    def free_bytes(self):
        """Memory that is not taken up."""
        return self.limit_bytes - self.held_bytes


@define(eq=False)
class HeldMemory:
    """The memory of one answer.

    It is released with the last reference to it, because an answer can be dropped at many places:
    as that of a hedge, before a retry, or when its caller has left.
    """

    memory: AnswerMemory = Factory(AnswerMemory)
    size: int = field(default=0, init=False)

    def may_grow(self, count):
        """Return whether the answer may take up more memory, as a number of bytes."""
        return self.size + count <= self.memory.free_bytes - count

    def grow(self, count):
        """Take up more memory.

        Raises
        ------
        AnswerMemoryError
            If the answer may not take up as much.
        """
        if not self.may_grow(count):
            raise AnswerMemoryError(f"no room for {count} more than {self.size} bytes")
        self._add(count)

    def hold(self, count):
        """Take up more memory, whether or not there is room, for a small part on its way."""
        self._add(count)

    def shrink(self, count):
        """Release a part of the memory."""
        self._add(-count)

    def release(self):
        """Release all of the memory."""
        self._add(-self.size)

    def _add(self, count):
        self.size += count
        self.memory.held_bytes += count

    def __del__(self):
        self.release()
