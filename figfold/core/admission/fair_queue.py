"""Queue of waiting requests: fair between priorities, and between organisations within each."""

from attrs import Factory, define

# Requests that an organisation may be ahead of its share after it was idle. An entry gets less than
# one request a second of most organisations, and two that come together are no overload.
ORGANISATION_CREDIT = 4.0
# Tags beyond this number are checked for those that no longer matter.
MAX_TAGS = 1000


@define
class FairOrder:
    """Start-time fair queueing between flows, each request with the same cost.

    Attributes
    ----------
    weight : callable
        ``(flow) -> float``, its share of what is served.
    credit : float
        Requests that a flow may send ahead of the others after it was idle.
    virtual_time : float
        Highest start tag of a request that was served.
    """

    weight: object
    credit: float = 0.0
    virtual_time: float = 0.0
    _finish_by_flow: dict = Factory(dict)
    _start_by_flow: dict = Factory(dict)

    def join(self, flow):
        """Add a flow that has become backlogged."""
        self._start_by_flow.setdefault(flow, self.start_tag(flow))

    def leave(self, flow):
        """Remove a flow that is no longer backlogged."""
        self._start_by_flow.pop(flow, None)

    def next_flow(self, flows):
        """Return the backlogged flow whose first request has the least start tag."""
        return min(flows, key=self._start_by_flow.__getitem__)

    def serve(self, flow):
        """Record that a request of a backlogged flow is served."""
        start = self._start_by_flow[flow]
        self.virtual_time = max(self.virtual_time, start)
        finish = start + 1.0 / self.weight(flow)
        self._finish_by_flow[flow] = self._start_by_flow[flow] = finish
        if len(self._finish_by_flow) > MAX_TAGS:
            self._finish_by_flow = {
                one: tag for one, tag in self._finish_by_flow.items() if tag > self.virtual_time
            }

    def start_tag(self, flow):
        """Return the start tag of a flow's next request."""
        if flow in self._start_by_flow:
            return self._start_by_flow[flow]
        earliest = self.virtual_time - self.credit / self.weight(flow)
        return max(earliest, self._finish_by_flow.get(flow, earliest))


@define
class _PriorityQueue:
    """Waiting requests of one priority by organisation, in the order of their arrival."""

    order: FairOrder
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
    _order: FairOrder = Factory(lambda self: FairOrder(self.priority_weight), takes_self=True)
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
        queue = self._queue_by_priority.get(request.priority)
        if queue is None:
            order = FairOrder(self.organisation_weight, ORGANISATION_CREDIT)
            queue = self._queue_by_priority[request.priority] = _PriorityQueue(order)
        waiting = queue.lane(request.is_repeat).setdefault(request.organisation, {})
        waiting[id(request)] = request
        self._order.join(request.priority)
        queue.order.join(request.organisation)
        queue.count += 1
        self._count += 1

    def remove(self, request):
        """Remove a request; return whether it waited."""
        queue = self._queue_by_priority.get(request.priority)
        lane = queue.lane(request.is_repeat) if queue else {}
        waiting = lane.get(request.organisation, {})
        if waiting.pop(id(request), None) is None:
            return False
        organisation = request.organisation
        if not waiting:
            del lane[organisation]
        if organisation not in queue.first_attempts and organisation not in queue.repeats:
            queue.order.leave(organisation)
        queue.count -= 1
        if not queue.count:
            self._order.leave(request.priority)
        self._count -= 1
        return True

    def pop(self):
        """Remove and return the request that is next."""
        priority = self._order.next_flow(self.priorities())
        self._order.serve(priority)
        queue = self._queue_by_priority[priority]
        lane = queue.first_attempts or queue.repeats
        organisation = queue.order.next_flow(lane)
        queue.order.serve(organisation)
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
        lane, order, organisation = queue.first_attempts, queue.order, request.organisation
        own = len(lane.get(organisation, ()))
        tag = order.start_tag(organisation) + own / order.weight(organisation)
        others = sum(
            min(len(waiting), 1.0 + (tag - order.start_tag(name)) * order.weight(name))
            for name, waiting in lane.items()
            if name != organisation and order.start_tag(name) <= tag
        )
        return own + others
