"""Encoder that caches the last message, which may go to several peers."""

from attrs import define
from result import Result

from figfold.wire.codec import try_encode
from figfold.wire.messages import Message


@define(eq=False)
class MessageEncoder:
    """Caches the bytes of the last message, by object identity because messages never change."""

    _message: Message | None = None
    _encoded: Result | None = None

    def encode(self, message):
        """Return the bytes of a message as `try_encode` does.

        Returns
        -------
        Result[bytes, Failure]
        """
        if message is not self._message:
            self._encoded = try_encode(message)
            self._message = message
        return self._encoded
