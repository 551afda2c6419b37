"""Detects with hysteresis whether a service is short of room for this entry's requests."""

from math import exp, inf

from attrs import define

# Time constant with which attempts lose their weight.
WINDOW_S = 1.0
# Most weight that they lose with the next attempt. An entry may send a small service only one or
# two requests a second, and then goes by the last four or so.
MAX_LOSS = 0.25
# Time without attempts after which nothing is known.
STALE_S = 5.0
# Share of pressed attempts above which a service is short, and below which it no longer is.
ENTER_SHARE = 0.3
LEAVE_SHARE = 0.1
# Attempts at servers with free slots count this many times against pressed ones. If some servers
# are full beside others that are not, the choice of servers is uneven. A limit would leave free
# slots unused then: with randomly chosen servers, a third of the capacity at a load of 0.9.
FREE_SLOT_WEIGHT = 2.0
# Least weight of recent attempts that shows a shortage, which takes three attempts.
MIN_ATTEMPTS = 2.3
# Time for which nothing must have waited at the entry before a shortage ends. An entry with few
# requests often has an empty queue while the service is still short.
LEAVE_AFTER_S = 2.0
# Waiting requests below this number never count as a crowded server, because a server with an
# empty queue leaves slots unused between two requests.
MIN_CROWDED_WAITING = 2
# A server is crowded if the wait for a slot takes up more than this part of what the target latency
# leaves after the run. The rest is left for the wait at the entry.
CROWDED_FRACTION = 0.5


@define
class ShortageDetector:
    """Whether a service is short of room, from the recent attempts; times are monotonic seconds.

    An attempt is pressed if the server rejected it as full, or if its queue takes up too much of
    what the target latency leaves.

    Attributes
    ----------
    backlogged_s : float
        When requests last waited at the entry, or the shortage began.
    """

    is_short: bool = False
    backlogged_s: float = -inf
    _attempts: float = 0.0
    _excess: float = 0.0
    _observed_s: float = -inf

    def observe(self, is_pressed, has_free_slot, now_s):
        """Count an attempt, with whether its server reported a free slot."""
        age_s = max(0.0, now_s - self._observed_s)
        kept = 0.0 if age_s > STALE_S else max(1.0 - MAX_LOSS, exp(-age_s / WINDOW_S))
        self._attempts = kept * self._attempts + 1.0
        excess = 1.0 if is_pressed else -FREE_SLOT_WEIGHT * has_free_slot
        self._excess = kept * self._excess + excess
        self._observed_s = now_s

    def pressed_share(self, now_s):
        """Return by how much pressed attempts exceed those at servers with free slots.

        The result is a share of all attempts, and 0 if there are too few to tell.
        """
        if self._attempts < MIN_ATTEMPTS or now_s - self._observed_s > STALE_S:
            return 0.0
        return max(0.0, self._excess) / self._attempts

    def update(self, is_backlogged, now_s):
        """Update ``is_short``; return whether it changed.

        Parameters
        ----------
        is_backlogged : bool
            Whether requests wait at this entry. Attempts that a limit holds down show no shortage,
            so that a service stays short until nothing has waited for a while.
        """
        if is_backlogged:
            self.backlogged_s = now_s
        share = self.pressed_share(now_s)
        if self.is_short:
            is_short = now_s - self.backlogged_s < LEAVE_AFTER_S or share > LEAVE_SHARE
        else:
            is_short = share > ENTER_SHARE
        if is_short == self.is_short:
            return False
        self.is_short = is_short
        self.backlogged_s = now_s
        return True


def has_free_slot(report):
    """Return whether a server reports a slot that no request waits for."""
    return report.waiting == 0 and report.running < report.slots


def is_crowded(report, run_s, target_latency_s):
    """Return whether the wait at a server takes up too much of what the target latency leaves.

    Parameters
    ----------
    report : LoadReport
    run_s : float
        Usual run time of the request on a machine at usual speed.
    """
    if report.waiting < MIN_CROWDED_WAITING:
        return False
    run_s *= max(1.0, report.slowdown)
    wait_s = report.waiting * run_s / max(1, report.slots)
    return wait_s > CROWDED_FRACTION * (target_latency_s - run_s)
