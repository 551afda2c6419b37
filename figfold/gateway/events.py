"""Structured log lines on standard output, which never hold up a request.

Lines wait in a bounded buffer for a green thread that writes as much as the reader takes. What
does not fit is dropped, counted, and told in the next line that gets through.
"""

import json
import os
import sys
from collections import deque

import eventlet
from attrs import Factory, define
from loguru import logger

LINE_LIMIT = 4000  # Lines that wait for a reader: a minute of a busy entry.
WRITE_BYTES = 32768
WRITE_PAUSE_S = 0.1  # Between two batches, so that one system call takes many lines.
MESSAGE_ONLY = "{message}"


@define(eq=False)
class EventLog:
    """Lines on their way to standard output.

    Attributes
    ----------
    dropped : int
        Lines that were dropped since the last one that told so.
    """

    descriptor: int
    entry: str
    lines: deque = Factory(deque)
    dropped: int = 0
    total_dropped: int = 0
    _rest: bytes = b""

    @classmethod
    def from_config(cls, entry, descriptor=None):
        """Return a log for standard output, which is made non-blocking."""
        descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(descriptor, False)
        return cls(descriptor, entry)

    def start(self, level):
        """Route the lines of ``loguru`` here and write them in the background."""
        logger.remove()
        logger.add(self._take, level=level, format=MESSAGE_ONLY)
        eventlet.spawn_n(self._write_all)

    def _take(self, message):
        record = message.record
        line = {
            "time": round(record["time"].timestamp(), 3),
            "level": record["level"].name,
            "event": record["message"],
            "entry": self.entry,
        }
        line |= record["extra"]
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        self.put(line)

    def put(self, line):
        """Add a line, or count it as dropped when the reader is too slow."""
        if len(self.lines) >= LINE_LIMIT:
            self.dropped += 1
            self.total_dropped += 1
            return
        if self.dropped:
            line["dropped_before"] = self.dropped
            self.dropped = 0
        self.lines.append(line)

    def flush(self):
        """Write what the reader takes now."""
        while self._rest or self.lines:
            while self.lines and len(self._rest) < WRITE_BYTES:
                text = json.dumps(self.lines.popleft(), default=str, separators=(",", ":"))
                self._rest += text.encode() + b"\n"
            try:
                written = os.write(self.descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is no other place to say so.
                self.total_dropped += len(self.lines) + 1
                self.lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _write_all(self):
        while True:
            self.flush()
            eventlet.sleep(WRITE_PAUSE_S)
