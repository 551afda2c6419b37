"""Large answers, whose rest is passed on while it arrives."""

from collections.abc import Callable, Iterator

from attrs import define


@define(eq=False)
class LargeBody:
    """Iterates over the rest of an answer and tells once whether it came whole.

    A plain generator would not do: one that is closed before its first step runs no clean-up.
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
        """End the iteration; the answer counts as cut off unless it had ended."""
        self.parts.close()
        self._end(False)

    def _end(self, whole):
        if not self.ended:
            self.ended = True
            self.on_end(whole)


@define(eq=False)
class JoinedBody:
    """The first part of a large answer and then its rest, closed together."""

    first: bytes
    rest: Iterator[bytes]

    def __iter__(self):
        yield self.first
        yield from self.rest

    def close(self):
        """Close the rest."""
        self.rest.close()
