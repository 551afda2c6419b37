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
class JoinedBody:
    """The first part of a large answer followed by its rest."""

    first: bytes
    rest: Iterator[bytes]

    def __iter__(self):
        yield self.first
        yield from self.rest

    def close(self):
        """Close the rest."""
        self.rest.close()
