"""Requests of a pool and their queue: earliest deadline first, short requests before long."""

from bisect import bisect_left, bisect_right, insort

from attrs import Factory, define, frozen

from figfold.core.codes import Failure, Outcome
from figfold.core.servers import Server


@frozen
class PoolRequest:
    """A request that needs a backend server.

    Attributes
    ----------
    id : str
        Unique within the entry.
    class_key : str
        Groups requests of similar duration, for example by method and path prefix.
    fingerprint : str
        Digest that identifies the request to the quarantine; empty if it has none.
    deadline_s : float
        When the answer is due, on the clock of ``now_s``.
    idempotent : bool
        Whether the request may run more than once.
    """

    id: str
    class_key: str
    fingerprint: str
    deadline_s: float
    idempotent: bool


@frozen
class RefusedRequest:
    """A request that was refused after it was queued; ``outcome`` says whether it may have run."""

    request_id: str
    failure: Failure
    outcome: Outcome


@frozen
class Dispatch:
    """What a pool's user needs to start one attempt; a trial must use a new connection."""

    request_id: str
    dispatch_id: int
    server: str
    hedge: bool = False
    trial: bool = False


@define
class TrackedRequest:
    """A submitted request that has not ended, with its attempts so far.

    Attributes
    ----------
    attempts : int
        Attempts started, without hedges.
    tried : set[str]
        Names of the servers that have got an attempt.
    running : list[int]
        Dispatch ids of the attempts in progress.
    hedged : bool
        Whether a hedge was started; there is at most one for each request.
    may_have_run : bool
        Whether a server may have run an attempt that has ended.
    """

    request: PoolRequest
    is_long: bool = False
    attempts: int = 0
    tried: set = Factory(set)
    running: list = Factory(list)
    hedged: bool = False
    answered: bool = False
    may_have_run: bool = False


@define
class Attempt:
    """An attempt in progress, with the state that the pool keeps of it.

    Attributes
    ----------
    is_long, is_suspect : bool
        Class of the request, and whether it was suspect, when the attempt started.
    expected_s : float
        Expected run time, zero if not known.
    hedge_at_s : float
        When a hedge is due, infinity for none.
    """

    dispatch: Dispatch
    server: Server
    tracked: TrackedRequest
    is_long: bool
    is_suspect: bool
    expected_s: float
    hedge_at_s: float


@frozen
class RetryDecision:
    """Whether a request is retried after an attempt.

    Attributes
    ----------
    retry : bool
        Whether the pool has queued the request again, for a later ``next_dispatches``.
    retry_reason : str
        Why the request is retried, or why not.
    ended : bool
        Whether the request was answered, or has neither a retry nor an attempt in progress left.
    """

    retry: bool
    retry_reason: str
    ended: bool = True


@define
class QueuedRequest:
    """A queued request with its sort key."""

    request: PoolRequest
    order_s: float
    number: int
    is_long: bool


@define
class RequestQueue:
    """Queued requests, sorted by deadline or, if earlier, by the end of the aging time.

    The sort key of a request is fixed when it is queued. A request that has waited for the aging
    time therefore precedes every request that is queued later, so that none starves.
    """

    aging_s: float
    _queued_by_id: dict[str, QueuedRequest] = Factory(dict)
    _short: list = Factory(list)
    _long: list = Factory(list)
    _by_deadline: list = Factory(list)
    _next_number: int = 0

    @classmethod
    def from_config(cls, options):
        """Return an empty queue."""
        return cls(options.aging_s)

    def __len__(self):
        return len(self._queued_by_id)

    def __contains__(self, request_id):
        return request_id in self._queued_by_id

    def count(self, is_long):
        """Return the number of queued requests of a class."""
        return len(self._long if is_long else self._short)

    def add(self, request, is_long, now_s):
        """Queue a request."""
        order_s = min(request.deadline_s, now_s + self.aging_s)
        queued = QueuedRequest(request, order_s, self._next_number, is_long)
        self._next_number += 1
        self._queued_by_id[request.id] = queued
        insort(self._lane(is_long), (order_s, queued.number, queued))
        insort(self._by_deadline, (request.deadline_s, queued.number, queued))

    def remove(self, request_id):
        """Remove a request and return whether it was queued."""
        queued = self._queued_by_id.pop(request_id, None)
        if queued is None:
            return False
        _delete(self._lane(queued.is_long), (queued.order_s, queued.number))
        _delete(self._by_deadline, (queued.request.deadline_s, queued.number))
        return True

    def move(self, queued, is_long):
        """Change the class of a queued request; its sort key stays the same."""
        _delete(self._lane(queued.is_long), (queued.order_s, queued.number))
        queued.is_long = is_long
        insort(self._lane(is_long), (queued.order_s, queued.number, queued))

    def in_order(self, with_long, now_s):
        """Yield queued requests in dispatch order; the caller may remove or move them meanwhile.

        Short requests precede long ones until a long one has waited for the aging time.
        """
        short = self._short[:]
        long = self._long[:] if with_long else []
        aged = [entry for entry in long if entry[0] <= now_s]
        first = sorted(aged + short) if aged else short
        for entry in first:
            yield entry[2]
        for entry in long[len(aged) :]:
            yield entry[2]

    def expired_ids(self, now_s):
        """Return the ids of the requests whose deadline has passed."""
        count = bisect_right(self._by_deadline, now_s, key=lambda entry: entry[0])
        return [queued.request.id for _, _, queued in self._by_deadline[:count]]

    def next_deadline_s(self):
        """Return the earliest deadline of a queued request, or None."""
        return self._by_deadline[0][0] if self._by_deadline else None

    def _lane(self, is_long):
        return self._long if is_long else self._short


def _delete(entries, key):
    del entries[bisect_left(entries, key)]
