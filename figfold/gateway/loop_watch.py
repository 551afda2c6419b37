"""Measures how late the process runs, and whether it was at work or not given a processor."""

import os
import time

import eventlet
from attrs import define

from figfold.entry.clock import MS_PER_S, now_s

TICK_S = 0.25
# Lateness of a tick from which it is logged.
LATE_S = 0.1
SCHEDSTAT_PATH = "/proc/self/schedstat"
NS_PER_S = 1e9


class WaitingTime:
    """Time that the process has been ready to run without a processor, as the kernel counts it."""

    def __init__(self, path=SCHEDSTAT_PATH):
        try:
            self._descriptor = os.open(path, os.O_RDONLY)
        except OSError:
            # Not every kernel counts it.
            self._descriptor = None

    def read_s(self):
        """Return the seconds since the start of the process; None if they are not counted."""
        if self._descriptor is None:
            return None
        try:
            return int(os.pread(self._descriptor, 100, 0).split()[1]) / NS_PER_S
        except (OSError, ValueError, IndexError):
            return None


@define(eq=False)
class LoopWatch:
    """Sleeps for a tick again and again, and reports the ticks that end late.

    Attributes
    ----------
    waiting_time : WaitingTime
    cpu_s : callable
        Returns the processor time of the process in seconds.
    """

    metrics: object
    log: object
    waiting_time: object
    cpu_s: object = time.process_time

    def run(self):
        """Watch for ever."""
        while True:
            self.watch_tick()

    def watch_tick(self):
        """Sleep for one tick; log it if it ends late."""
        began_s, cpu_s, waited_s = now_s(), self.cpu_s(), self.waiting_time.read_s()
        eventlet.sleep(TICK_S)
        late_s = now_s() - began_s - TICK_S
        self.metrics.record("loop_late", "", late_s)
        if late_s < LATE_S:
            return
        waited_now_s = self.waiting_time.read_s()
        is_counted = None not in (waited_s, waited_now_s)
        self.log.bind(
            late_ms=round(late_s * MS_PER_S),
            cpu_ms=round((self.cpu_s() - cpu_s) * MS_PER_S),
            waited_ms=round((waited_now_s - waited_s) * MS_PER_S) if is_counted else None,
        ).warning("loop-late")
