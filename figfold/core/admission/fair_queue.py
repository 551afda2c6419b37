"""Queue of waiting requests: fair between priorities, and between organisations within each."""

from attrs import Factory, define

# Tags beyond this number are checked for those that no longer matter.
MAX_TAGS = 1000


@define
class FairOrder:
    """Start-time fair queueing between flows, each request with the same cost.

    Attributes
    ----------
    virtual_time : float
        Start tag of the request that was served last.
    """

    virtual_time: float = 0.0
    _finish_by_flow: dict = Factory(dict)

    def next_flow(self, flows):
        """Return the backlogged flow whose first request has the least start tag."""
        return min(flows, key=self._start_tag)

    def serve(self, flow, weight):
        """Record that a request of a flow is served."""
        self.virtual_time = self._start_tag(flow)
        self._finish_by_flow[flow] = self.virtual_time + 1.0 / weight
        if len(self._finish_by_flow) > MAX_TAGS:
            self._finish_by_flow = {
                one: tag for one, tag in self._finish_by_flow.items() if tag > self.virtual_time
            }

    def _start_tag(self, flow):
        return max(self.virtual_time, self._finish_by_flow.get(flow, 0.0))


@define
class _PriorityQueue:
    """Waiting requests of one priority by organisation, in the order of their arrival."""

    order: FairOrder = Factory(FairOrder)
    first_attempts: dict = Factory(dict)
    repeats: dict = Factory(dict)
    count: int = 0

    def lane(self, is_repeat):
        return self.repeats if is_repeat else self.first_attempts


@define
class AdmissionQueue:
    """Waiting requests of a service.

    Attributes
    ----------
    priority_weight, organisation_weight : callable
        ``(priority) -> float`` and ``(organisation) -> float``, their shares of what is served.
    """

    priority_weight: object
    organisation_weight: object
    _order: FairOrder = Factory(FairOrder)
    _queue_by_priority: dict = Factory(dict)
    _count: int = 0

    def __len__(self):
        return self._count

    def count(self, priority):
        """Return the number of waiting requests of a priority."""
        queue = self._queue_by_priority.get(priority)
        return queue.count if queue else 0

    def priorities(self):
        """Return the priorities of which requests wait."""
        return [one for one, queue in self._queue_by_priority.items() if queue.count]

    def add(self, request):
        """Add a request, behind those of its organisation and, as a repeat, all first attempts."""
        queue = self._queue_by_priority.setdefault(request.priority, _PriorityQueue())
        waiting = queue.lane(request.is_repeat).setdefault(request.organisation, {})
        waiting[id(request)] = request
        queue.count += 1
        self._count += 1

    def remove(self, request):
        """Remove a request; return whether it waited."""
        queue = self._queue_by_priority.get(request.priority)
        lane = queue.lane(request.is_repeat) if queue else {}
        waiting = lane.get(request.organisation, {})
        if waiting.pop(id(request), None) is None:
            return False
        if not waiting:
            del lane[request.organisation]
        queue.count -= 1
        self._count -= 1
        return True

    def pop(self):
        """Remove and return the request that is next."""
        priority = self._order.next_flow(self.priorities())
        self._order.serve(priority, self.priority_weight(priority))
        queue = self._queue_by_priority[priority]
        lane = queue.first_attempts or queue.repeats
        organisation = queue.order.next_flow(lane)
        queue.order.serve(organisation, self.organisation_weight(organisation))
        request = next(iter(lane[organisation].values()))
        self.remove(request)
        return request

    def ahead_of(self, request):
        """Return the number of requests of its priority that a new request waits for."""
        queue = self._queue_by_priority.get(request.priority)
        if queue is None:
            return 0.0
        if request.is_repeat:
            return float(queue.count)
        lane = queue.first_attempts
        own = len(lane.get(request.organisation, ()))
        rounds = (own + 1) / self.organisation_weight(request.organisation)
        others = sum(
            min(len(waiting), rounds * self.organisation_weight(name))
            for name, waiting in lane.items()
            if name != request.organisation
        )
        return own + others
