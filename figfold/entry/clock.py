"""Clocks of the daemon."""

import time
from collections.abc import Callable

from attrs import define

MS_PER_S = 1000.0


@define
class _Sources:
    """Functions that return the current time; tests replace them by virtual time."""

    monotonic: Callable
    wall: Callable


def _boot_time_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_sources = _Sources(_boot_time_s, time.time)


def now_s():
    """Return monotonic seconds, including time in which the instance was suspended.

    The expiry of leases is checked against this clock, so it must not stop during a pause.
    """
    return _sources.monotonic()


def wall_s():
    """Return Unix time in seconds, for the dates in a plan."""
    return _sources.wall()


def use_clock(monotonic=_boot_time_s, wall=time.time):
    """Replace the clocks; without arguments, restore those of the system."""
    _sources.monotonic = monotonic
    _sources.wall = wall
