"""Writes answers to callers, and gives up those of which their callers take too little.

What is written of an answer is held in memory until its caller takes it, and its server can neither
end it nor send it elsewhere.
"""

import errno

from eventlet import Timeout

from figfold.entry.answer_connection import YieldingSocket
from figfold.entry.clock import now_s

# A caller has to take so many bytes of an answer within this time of waiting for it, or within the
# shorter one while answers take up more than half of their memory.
PART_BYTES = 64 << 10
PART_S = 10.0
SHORT_MEMORY_PART_S = 2.0
# Time after which the limit in force is looked at again.
CHECK_S = 0.5


class CallerSocket(YieldingSocket):
    """A caller's socket, on which a write fails that waits for too long.

    Attributes
    ----------
    memory : AnswerMemory or None
        Memory for all answers together.
    on_given_up : callable
        Called when a write is given up.
    """

    memory = None
    _taken_bytes = 0
    _waited_s = 0.0

    def on_given_up(self):
        """Do nothing."""

    def send(self, data, flags=0):
        """Send a part of the data and return its size.

        Raises
        ------
        ConnectionResetError
            If the caller has taken too little for too long.
        """
        while True:
            try:
                sent = self.fd.send(data, flags)
            except BlockingIOError:
                self._wait()
                continue
            self._count_taken(sent)
            return sent

    def _count_taken(self, size):
        self._taken_bytes += size
        if self._taken_bytes >= PART_BYTES:
            self._taken_bytes, self._waited_s = 0, 0.0

    def _wait(self):
        """Wait until more can be sent, for as long as the limit allows."""
        left_s = self._limit_s() - self._waited_s
        if left_s <= 0.0:
            self.on_given_up()
            raise ConnectionResetError(errno.ECONNRESET, "the caller does not read its answer")
        started = now_s()
        try:
            with Timeout(min(CHECK_S, left_s), False):
                self._trampoline(self.fd, write=True)
        finally:
            self._waited_s += now_s() - started

    def _limit_s(self):
        memory = self.memory
        is_short = memory is not None and memory.held_bytes > memory.free_bytes
        return SHORT_MEMORY_PART_S if is_short else PART_S
