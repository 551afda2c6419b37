"""Bodies of large answers, which are streamed to the caller while they arrive."""

from collections.abc import Callable, Iterator

from attrs import define


@define(eq=False)
class LargeBody:
    """Iterates over the rest of an answer, then reports once whether it was complete.

    This is no generator, because a generator that is closed before its first step runs no
    clean-up.
    """

    parts: Iterator[bytes]
    on_end: Callable[[bool], None]
    ended: bool = False

    def __iter__(self):
        return self

    def __next__(self):
        try:
            return next(self.parts)
        except StopIteration:
            self._end(True)
            raise
        except BaseException:
            self._end(False)
            raise

    def close(self):
        """End the iteration; the answer counts as incomplete unless it had ended before."""
        self.parts.close()
        self._end(False)

    def _end(self, is_complete):
        if not self.ended:
            self.ended = True
            self.on_end(is_complete)


@define(eq=False)
class AnswerBody:
    """Iterates over the body of an answer, and releases the memory of what has been written.

    Attributes
    ----------
    first : bytes
    rest : iterator of bytes or None
        What follows of a large answer.
    held : HeldMemory
        The memory that ``first`` takes up.
    """

    first: bytes
    rest: Iterator[bytes] | None
    held: object

    @classmethod
    def of(cls, answer):
        """Return the body of a `ServerAnswer`."""
        return cls(answer.body, answer.rest, answer.held)

    def __iter__(self):
        first, self.first = self.first, b""
        yield first
        del first
        self.held.release()
        if self.rest is not None:
            yield from self.rest

    def close(self):
        """Close the rest."""
        if self.rest is not None:
            self.rest.close()
