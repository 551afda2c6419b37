"""Estimates of queue wait and run time for the next request of a pool."""

from math import inf

from attrs import define

from figfold.core.budgets import SlotUse
from figfold.core.queue import RequestQueue
from figfold.core.request_classes import RequestClasses
from figfold.core.servers import Servers

# Upper bound of the expected run time, as a fraction of the service's deadline.
DEADLINE_FRACTION = 0.5


@define
class LatencyEstimator:
    """Estimates from the observed durations and the current load of a pool.

    Attributes
    ----------
    limit_s : float
        Bound on expected run times. It lies below the service's deadline, so that an idle pool
        admits every request and updates its estimates, however long the last requests took.
    """

    classes: RequestClasses
    queue: RequestQueue
    slots: SlotUse
    servers: Servers
    limit_s: float

    @classmethod
    def from_config(cls, service, classes, queue, slots, servers):
        """Return the estimator of a service's pool."""
        return cls(classes, queue, slots, servers, DEADLINE_FRACTION * service.deadline_s)

    def duration_s(self, class_key):
        """Return the expected run time of requests with this class key, in seconds."""
        return min(self.classes.expected_s(class_key), self.limit_s)

    def wait_s(self, is_long, slots):
        """Return the expected wait for one of ``slots`` slots, in seconds."""
        waiting = self.queue.count(is_long)
        if not waiting and self.slots.in_progress < slots:
            return 0.0
        if is_long:
            class_slots = min(slots, self.slots.long_limit())
        else:
            class_slots = max(1, slots - self.slots.long_in_progress)
        return (waiting + 1) * self.classes.class_mean_s(is_long) / class_slots

    def healthy_wait_s(self, class_key, quota, now_s):
        """Return the expected wait for a healthy server in seconds, infinity without any."""
        slots = min(quota, self.servers.healthy_slots(now_s))
        if slots <= 0:
            return inf
        is_long = self.classes.is_long(class_key)
        has_room = self.slots.has_long_room() if is_long else self.slots.has_room()
        if not len(self.queue) and has_room and self.servers.free_healthy_slots(now_s):
            return 0.0
        return (self.queue.count(is_long) + 1) * self.classes.class_mean_s(is_long) / slots
