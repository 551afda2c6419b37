"""Per-service pool: queues requests and assigns them to backend servers."""

from collections import Counter
from math import inf

from attrs import Factory, define
from result import Err, Ok

from figfold.core.attempt_tracker import AttemptTracker
from figfold.core.budgets import Permits, PoolOptions, SlotUse
from figfold.core.codes import Code, Failure, Outcome
from figfold.core.feedback import record_feedback
from figfold.core.latency_estimator import LatencyEstimator
from figfold.core.model import ServiceLoad
from figfold.core.quarantine import Quarantine
from figfold.core.queue import (
    Dispatch,
    PoolRequest,
    RefusedRequest,
    RequestQueue,
    RetryDecision,
    TrackedRequest,
)
from figfold.core.request_classes import RequestClasses
from figfold.core.retries import RetryPolicy
from figfold.core.servers import (
    NOT_RUN_OUTCOMES,
    DispatchOutcome,
    DispatchReport,
    Servers,
    ServerView,
)
from figfold.core.trials import TrialScheduler

__all__ = [
    "Dispatch",
    "DispatchOutcome",
    "DispatchReport",
    "Permits",
    "PoolOptions",
    "PoolRequest",
    "RefusedRequest",
    "RetryDecision",
    "ServerView",
    "ServicePool",
]


@define
class ServicePool:
    """Queue, attempts in progress and backend servers of one service at one entry.

    The pool only makes decisions; its user performs the attempts and reports their results with
    ``finish``. A slot is occupied from the dispatch until ``finish``, or until the
    ``release_at_s`` of the report.
    """

    service: str
    options: PoolOptions
    quarantine: Quarantine
    counters: Counter
    servers: Servers
    _classes: RequestClasses
    _queue: RequestQueue
    _slots: SlotUse
    _estimator: LatencyEstimator
    _attempts: AttemptTracker
    _retry_policy: RetryPolicy
    _trials: TrialScheduler
    permits: Permits = Permits({}, 0, -inf)
    _tracked_by_id: dict[str, TrackedRequest] = Factory(dict)
    _refused: list = Factory(list)
    _latest_s: float = -inf

    @classmethod
    def from_config(cls, service, options=None, quarantine=None):
        """Return an empty pool. All pools of an entry should share one quarantine."""
        options = options or PoolOptions()
        quarantine = Quarantine.from_config() if quarantine is None else quarantine
        counters = Counter()
        servers = Servers.from_config(options)
        classes = RequestClasses.from_config(options)
        queue = RequestQueue.from_config(options)
        slots = SlotUse.from_config(options)
        estimator = LatencyEstimator.from_config(service, classes, queue, slots, servers)
        return cls(
            service.name,
            options,
            quarantine,
            counters,
            servers,
            classes,
            queue,
            slots,
            estimator,
            AttemptTracker.from_config(options, slots, servers, classes, quarantine, counters),
            RetryPolicy.from_config(options, quarantine, estimator),
            TrialScheduler(quarantine, servers, counters),
        )

    def expected_s(self, class_key):
        """Return the expected run time of requests with this class key, in seconds."""
        return self._estimator.duration_s(class_key)

    # Permits and servers.

    def set_permits(self, permits):
        """Replace the permits; requests in progress are not interrupted."""
        self.permits = permits
        self._slots.quota = permits.quota
        self.servers.set_slots(permits.slots_by_server)

    def quota(self, now_s):
        """Return the number of requests that may be in progress now."""
        return self.permits.quota if now_s < self.permits.valid_until_s else 0

    def set_servers(self, servers, now_s=None):
        """Update the servers from the instance list."""
        self.servers.set_servers(servers, self._latest_s if now_s is None else now_s)
        self.servers.set_slots(self.permits.slots_by_server)

    def mark_leaving(self, name, now_s, from_peer=False):
        """Stop dispatching to a server that is reported as leaving."""
        self.servers.mark_leaving(name, now_s, first_hand=not from_peer)

    def mark_live(self, name, now_s):
        """Record that a server answered a health probe as live."""
        self.servers.mark_live(name, now_s)

    def leaving_servers(self):
        """Return the servers that this entry itself saw leaving, for its reports to peers."""
        return self.servers.leaving_names()

    # Admission.

    def submit(self, request, now_s):
        """Queue a request, or return the failure with which it is refused."""
        self._latest_s = now_s
        self._slots.release_expired(now_s)
        is_long = self._classes.is_long(request.class_key)
        failure = self._admission_failure(request, is_long, now_s)
        if failure is not None:
            self.counters[f"refused.{failure.code.name}"] += 1
            return Err(failure)
        self._tracked_by_id[request.id] = TrackedRequest(request, is_long)
        self._queue.add(request, is_long, now_s)
        self.counters["submitted"] += 1
        return Ok(None)

    def _admission_failure(self, request, is_long, now_s):
        if request.id in self._tracked_by_id:
            return Failure(Code.BAD_REQUEST, "a request with this id is in progress")
        if now_s >= request.deadline_s:
            return Failure(Code.DEADLINE_PASSED, "the deadline has passed")
        if self._trials.must_refuse(request, now_s):
            return Failure(Code.QUARANTINED, "servers crashed while they ran this request")
        awaited = self.permits.awaited_quota if now_s < self.permits.valid_until_s else 0
        slots = min(max(self.quota(now_s), awaited), self.servers.usable_slots())
        if slots <= 0:
            if not self.servers.any_takes_work():
                return Failure(Code.NO_SERVER, "no backend server takes work")
            return Failure(Code.NO_PERMIT, "this entry has no permit for the service")
        if len(self._queue) >= self.options.queue_limit:
            return Failure(Code.QUEUE_FULL, "the queue is full")
        needed_s = self._estimator.wait_s(is_long, slots)
        needed_s += self._estimator.duration_s(request.class_key)
        if now_s + needed_s > request.deadline_s:
            return Failure(
                Code.DEADLINE_TOO_SHORT, f"an answer is expected to take {needed_s:.3f} s"
            )
        return None

    def expected_wait_s(self, class_key, now_s):
        """Return the expected wait for a healthy server of this place, in seconds.

        It is infinite while this entry has no permit or no healthy server.
        """
        self._slots.release_expired(now_s)
        return self._estimator.healthy_wait_s(class_key, self.quota(now_s), now_s)

    # Dispatch.

    def next_dispatches(self, now_s, may_dispatch=True):
        """Return the attempts to start now, counted as in progress from this call on.

        ``may_dispatch`` is false while the plan is unconfirmed; nothing is started then.
        """
        self._latest_s = now_s
        self._slots.release_expired(now_s)
        self._expire(now_s)
        if not may_dispatch or now_s >= self.permits.valid_until_s:
            return []
        dispatches = []
        while self._slots.has_room():
            dispatch = self._next_dispatch(now_s)
            if dispatch is None:
                break
            dispatches.append(dispatch)
        dispatches.extend(self._attempts.start_hedges(now_s))
        return dispatches

    def _next_dispatch(self, now_s):
        for queued in self._queue.in_order(self._slots.has_long_room(), now_s):
            request = queued.request
            if self._trials.must_refuse(request, now_s):
                self._refuse_queued(request.id, Code.QUARANTINED, "quarantined while it was queued")
                continue
            if now_s + self.expected_s(request.class_key) > request.deadline_s:
                # It would time out and take a slot from requests that can still meet theirs.
                self._refuse_queued(
                    request.id,
                    Code.DEADLINE_TOO_SHORT,
                    "too little time is left after the wait in the queue",
                )
                continue
            self._reclassify(queued)
            if queued.is_long and not self._slots.has_long_room():
                continue
            tracked = self._tracked_by_id[request.id]
            if self.quarantine.is_quarantined(request.fingerprint, now_s):
                server = self._trials.acquire_server(request, now_s)
                if server is None:
                    continue
                return self._start_attempt(tracked, server, True, now_s)
            is_suspect = self.quarantine.is_suspect(request.fingerprint, now_s)
            server = self.servers.choose(
                now_s, tracked.tried, request.idempotent, is_suspect, len(self._queue)
            )
            if server is not None:
                return self._start_attempt(tracked, server, is_suspect, now_s)
            if not is_suspect:
                return None  # Only a suspect can lack a server while another request finds one.
        return None

    def _reclassify(self, queued):
        is_long = self._classes.is_long(queued.request.class_key)
        if queued.is_long != is_long:
            self._queue.move(queued, is_long)
            self._tracked_by_id[queued.request.id].is_long = is_long

    def _start_attempt(self, tracked, server, is_suspect, now_s):
        self._queue.remove(tracked.request.id)
        trial = self._trials.is_reserved_for(tracked.request.id, now_s)
        self._retry_policy.budget.record_dispatch()
        return self._attempts.start(tracked, server, is_suspect, now_s, trial)

    def pop_refused(self, now_s):
        """Remove and return the queued requests refused since the last call."""
        self._expire(now_s)
        refused, self._refused = self._refused, []
        return refused

    def _expire(self, now_s):
        for request_id in self._queue.expired_ids(now_s):
            message = "the deadline passed while the request was queued"
            self._refuse_queued(request_id, Code.DEADLINE_PASSED, message)

    def _refuse_queued(self, request_id, code, message):
        self._queue.remove(request_id)
        tracked = self._tracked_by_id.pop(request_id)
        outcome = Outcome.UNKNOWN if tracked.may_have_run else Outcome.NOT_RUN
        self._refused.append(RefusedRequest(request_id, Failure(code, message), outcome))
        self.counters[f"refused.{code.name}"] += 1

    # Ends of attempts.

    def finish(self, dispatch_id, report, now_s):
        """Record the end of an attempt and return whether the request is retried.

        Repeated reports of one attempt are ignored.
        """
        self._latest_s = now_s
        attempt = self._attempts.end(dispatch_id, report, now_s)
        if attempt is None:
            return RetryDecision(False, "the attempt has already finished")
        tracked = attempt.tracked
        tracked.answered = tracked.answered or report.outcome is DispatchOutcome.OK
        tracked.may_have_run = tracked.may_have_run or report.outcome not in NOT_RUN_OUTCOMES
        record_feedback(attempt, report, self.servers, self._classes, self.quarantine, now_s)
        self._trials.end(attempt, report.outcome)
        return self._decide_retry(tracked, report.outcome, now_s)

    def _decide_retry(self, tracked, outcome, now_s):
        if tracked.answered:
            if not tracked.running:
                del self._tracked_by_id[tracked.request.id]
            return RetryDecision(False, "answered")
        if tracked.running:
            return RetryDecision(False, "another attempt is in progress", ended=False)
        obstacle = self._retry_policy.admit(tracked, outcome, now_s)
        if obstacle:
            self.counters[f"not_retried.{obstacle}"] += 1
            del self._tracked_by_id[tracked.request.id]
            return RetryDecision(False, obstacle)
        self.counters[f"retry.{outcome.value}"] += 1
        tracked.is_long = self._classes.is_long(tracked.request.class_key)
        self._queue.add(tracked.request, tracked.is_long, now_s)
        return RetryDecision(True, outcome.value, ended=False)

    # Timers and load reports.

    def next_wakeup_s(self, now_s):
        """Return when the pool next has to be polled, or infinity."""
        times = [self._slots.next_release_s(), self._attempts.next_hedge_s(now_s)]
        if len(self._queue):
            times.append(self._queue.next_deadline_s())
            times.append(self.servers.next_available_s(now_s))
        return min(times)

    def load(self, now_s):
        """Return the load that is reported to peers."""
        self._slots.release_expired(now_s)
        usable = min(self.quota(now_s), self.servers.usable_slots())
        room = max(0, usable - self._slots.in_progress)
        # Slots of slow servers are not offered to other entries, which look for a short wait.
        room = min(room, self.servers.free_healthy_slots(now_s))
        return ServiceLoad(self.service, self._slots.in_progress, len(self._queue), room)
