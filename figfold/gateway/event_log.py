"""Structured log lines on standard output, written without blocking requests.

Lines wait in a bounded queue for a green thread that writes as much as the reader accepts. Lines
that do not fit are dropped; the next line that is queued states their number.
"""

import json
import os
import sys
from collections import deque

import eventlet
from attrs import Factory, define
from loguru import logger

MAX_QUEUED_LINES = 4000  # The lines of a busy entry in one minute.
WRITE_BATCH_BYTES = 32768
WRITE_INTERVAL_S = 0.1  # Between two batches, so that one system call writes many lines.
MESSAGE_FORMAT = "{message}"


@define(eq=False)
class EventLog:
    """Queue of log lines and their writer.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last line that stated their number.
    """

    descriptor: int
    entry: str
    lines: deque = Factory(deque)
    dropped: int = 0
    total_dropped: int = 0
    _unwritten: bytes = b""

    @classmethod
    def from_config(cls, entry, descriptor=None):
        """Return a log that writes to standard output, or to a descriptor, made non-blocking."""
        descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(descriptor, False)
        return cls(descriptor, entry)

    def start(self, level):
        """Send the messages of ``loguru`` to this log, and write them in the background."""
        logger.remove()
        # Diagnosed tracebacks would hold the values of variables, such as callers' API keys.
        logger.add(
            self._queue_message,
            level=level,
            format=MESSAGE_FORMAT,
            backtrace=False,
            diagnose=False,
        )
        eventlet.spawn_n(self._write_forever)

    def _queue_message(self, message):
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
        """Queue a line, or count it as dropped if the queue is full."""
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            self.total_dropped += 1
            return
        if self.dropped:
            line["dropped_before"] = self.dropped
            self.dropped = 0
        self.lines.append(line)

    def flush(self):
        """Write as many lines as the reader accepts without blocking."""
        while self._unwritten or self.lines:
            while self.lines and len(self._unwritten) < WRITE_BATCH_BYTES:
                text = json.dumps(self.lines.popleft(), default=str, separators=(",", ":"))
                self._unwritten += text.encode() + b"\n"
            try:
                written = os.write(self.descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to report that.
                self.total_dropped += len(self.lines) + 1
                self.lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _write_forever(self):
        while True:
            self.flush()
            eventlet.sleep(WRITE_INTERVAL_S)
