"""An eventlet hub with virtual time, in which processes can be frozen and killed."""

import heapq
import threading
from itertools import count

from eventlet import hubs
from eventlet.hubs.hub import BaseHub
from loguru import logger

from figfold.entry import clock

START_WALL_S = 1_800_000_000.0


class VirtualHub(BaseHub):
    """An eventlet hub whose clock jumps to the next timer.

    Every timer belongs to the simulated process whose code set it. The timers of a frozen process
    are postponed, those of a killed process never fire.
    """

    def __init__(self, _clock=None):
        self.now = 1000.0
        self.process = ""
        self.frozen_until = {}
        self.killed = set()
        self._sequence = count()
        super().__init__(lambda: self.now)

    def add_timer(self, timer):
        at = self.now + max(0.0, timer.seconds)
        heapq.heappush(self.timers, (at, next(self._sequence), timer, self.process))
        return at

    def prepare_timers(self):
        pass

    def timer_canceled(self, timer):
        pass

    def sleep_until(self):
        return self.timers[0][0] if self.timers else None

    def fire_timers(self, when):
        while self.timers and self.timers[0][0] <= when:
            _, sequence, timer, process = heapq.heappop(self.timers)
            if process in self.killed:
                continue
            if self.frozen_until.get(process, 0.0) > self.now:
                entry = (self.frozen_until[process], sequence, timer, process)
                heapq.heappush(self.timers, entry)
                continue
            self.process = process
            try:
                timer()
            finally:
                self.process = ""

    def wait(self, seconds=None):
        self.now += seconds or 0.0

    def resume(self, process):
        """Resume a frozen process before its postponed timers fire."""
        del self.frozen_until[process]

    def run_as(self, process, call, *args):
        """Call a function as code of the given process."""
        before, self.process = self.process, process
        try:
            return call(*args)
        finally:
            self.process = before


def new_hub():
    """Install a hub with a new virtual clock in the current thread and return it."""
    hubs.use_hub(VirtualHub)
    hub = hubs.get_hub()
    clock.use_clock(lambda: hub.now, lambda: START_WALL_S + hub.now)
    return hub


def run_virtual(test):
    """Run a test function in a new thread with virtual time, and raise its first error."""
    failures = []

    def run():
        try:
            test(new_hub())
        except BaseException as error:
            failures.append(error)
        finally:
            clock.use_clock()

    logger.remove()
    thread = threading.Thread(target=run)
    thread.start()
    thread.join()
    if failures:
        raise failures[0]
