"""Admits, holds or refuses the requests of one entry for one service."""

from enum import Enum

from attrs import Factory, define

from figfold.core.admission.concurrency_limit import ConcurrencyLimit
from figfold.core.admission.demand import DecayedSum, DemandShares
from figfold.core.admission.fair_queue import AdmissionQueue
from figfold.core.admission.repeats import RepeatDetector
from figfold.core.admission.shortage import ShortageDetector

# Weights of the priorities from the most urgent one; lower priorities have the last weight.
PRIORITY_WEIGHTS = (4.0, 2.0, 1.0)
# A priority or an organisation gets at least this part of its share of the demand. With all parts
# raised to it, they add up to no more than 4/3, so that none is served less than a quarter as often
# as all.
MIN_PART_OF_DEMAND = 1.0 / 3.0
# Least share of an organisation, of what an equal one would be.
MIN_PART_OF_EQUAL = 0.25
# Time constants of the current and of the usual demand.
CURRENT_DEMAND_S = 2.0
USUAL_DEMAND_S = 60.0
# A request waits for no longer than what its route's target latency leaves after the usual time
# until an answer, within these parts of the target latency. The lower one rises to the upper one
# with the share of the demand that is less urgent: an entry with few slots can rarely let a request
# go ahead, and would else refuse urgent requests in favour of others.
MIN_WAIT_FRACTION = 0.2
MAX_WAIT_FRACTION = 0.5
# Most answers come within this multiple of the mean time.
DURATION_MARGIN = 1.25
MAX_QUEUED_PER_PRIORITY = 128
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 3.0
# Refused callers return spread over no more than this time.
MAX_RETRY_SPREAD_S = 2.0
REFUSALS_WINDOW_S = 1.0
# Steps of this part, modulo 1, cover an interval evenly after any number of steps.
SPREAD_STEP = 0.618034


class State(Enum):
    """State of a request at its admission."""

    NEW = "new"
    WAITING = "waiting"
    ADMITTED = "admitted"
    REFUSED = "refused"
    ENDED = "ended"


@define(eq=False)
class AdmissionRequest:
    """A request that asks for admission; times are monotonic seconds.

    Attributes
    ----------
    organisation : str
        An empty string for anonymous callers.
    priority : int
        0 is the highest.
    deadline_s : float
        When the final answer is due.
    expected_run_s : float
        Time from the admission until the answer is expected.
    on_admitted : callable
        Called without arguments when the request is admitted after it has waited.
    latest_start_s : float
        Until when it may wait.
    retry_after_s : float
        Time after which a refused caller should retry.
    reason : str
        Why it was refused.
    """

    organisation: str
    priority: int
    fingerprint: str
    target_latency_s: float
    deadline_s: float
    expected_run_s: float
    on_admitted: object
    state: State = State.NEW
    is_repeat: bool = False
    latest_start_s: float = 0.0
    retry_after_s: float = 0.0
    reason: str = ""


@define(eq=False)
class ServiceAdmission:
    """Admission of one entry's requests for one service.

    Attributes
    ----------
    on_change : callable
        ``(ServiceAdmission, now_s)``, called when a shortage begins or ends.
    in_progress : int
        Admitted requests that have not ended.
    """

    on_change: object
    in_progress: int = 0
    shortage: ShortageDetector = Factory(ShortageDetector)
    limit: ConcurrencyLimit = Factory(ConcurrencyLimit)
    queue: AdmissionQueue = Factory(
        lambda self: AdmissionQueue(self._priority_weight, self._organisation_weight),
        takes_self=True,
    )
    _now_s: float = 0.0
    _repeats: RepeatDetector = Factory(RepeatDetector)
    _demand_by_priority: DemandShares = Factory(lambda: DemandShares(CURRENT_DEMAND_S))
    _current_demand: DemandShares = Factory(lambda: DemandShares(CURRENT_DEMAND_S))
    _usual_demand: DemandShares = Factory(lambda: DemandShares(USUAL_DEMAND_S))
    _refusals: DecayedSum = Factory(lambda: DecayedSum(REFUSALS_WINDOW_S))
    _spread: float = 0.0

    # Requests.

    def request(self, request, now_s):
        """Admit, hold or refuse a request, as its ``state`` then says."""
        self._now_s = now_s
        request.priority = max(0, min(request.priority, len(PRIORITY_WEIGHTS) - 1))
        organisation = request.organisation
        request.is_repeat = self._repeats.observe(organisation, request.fingerprint, now_s)
        if not request.is_repeat:
            self._demand_by_priority.count(request.priority, now_s)
            self._current_demand.count(organisation, now_s)
            self._usual_demand.count(organisation, now_s)
        self._update(now_s)
        if not self.shortage.is_short or (not self.queue and self._has_room()):
            self._admit(request)
            return
        max_wait_s = self._max_wait_s(request, now_s)
        wait_s = self._expected_wait_s(request)
        if max_wait_s <= 0.0:
            self.refuse(request, "deadline", wait_s, now_s)
        elif self.queue.count(request.priority) >= MAX_QUEUED_PER_PRIORITY:
            self.refuse(request, "queue-full", wait_s, now_s)
        elif wait_s > max_wait_s:
            self.refuse(request, "wait-too-long", wait_s - max_wait_s, now_s)
        else:
            request.state = State.WAITING
            request.latest_start_s = now_s + max_wait_s
            self.queue.add(request)

    def refuse(self, request, reason, wait_s, now_s):
        """Refuse a request, which has left the queue, with the time when it should return.

        Parameters
        ----------
        wait_s : float
            Time until the backlog has drained far enough for the request.
        """
        self._refusals.add(1.0, now_s)
        backlog = len(self.queue) + self._refusals.value(now_s)
        spread_s = min(MAX_RETRY_SPREAD_S, backlog / self.limit.drain_per_s)
        self._spread = (self._spread + SPREAD_STEP) % 1.0
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s) + self._spread * spread_s
        request.retry_after_s = min(MAX_RETRY_AFTER_S - self._spread, retry_after_s)
        request.reason = reason
        request.state = State.REFUSED
        self._repeats.allow_after(
            request.organisation, request.fingerprint, now_s + request.retry_after_s
        )

    def give_up(self, request, now_s):
        """Refuse a request that has waited as long as it may."""
        self._now_s = now_s
        self.queue.remove(request)
        self.refuse(request, "waited-in-vain", self._expected_wait_s(request), now_s)
        self._update(now_s)

    def end(self, request, now_s):
        """Record that a request has ended, or that its caller has left, in whatever state."""
        self._now_s = now_s
        if request.state is State.ADMITTED:
            self.in_progress -= 1
        elif request.state is State.WAITING:
            self.queue.remove(request)
        request.state = State.ENDED
        self._update(now_s)

    def refresh(self, now_s):
        """Update whether the service is short, also if no request comes."""
        self._now_s = now_s
        self._update(now_s)

    def admit_all(self):
        """Admit all waiting requests, because admission control is switched off."""
        while self.queue:
            self._admit_next()

    # Attempts.

    def observe_attempt(self, is_pressed, has_free_slot, now_s):
        """Count an attempt; see `ShortageDetector`."""
        self._now_s = now_s
        self.shortage.observe(is_pressed, has_free_slot, now_s)
        self._update(now_s)

    def observe_rejection(self, now_s):
        """Lower the limit after a server has rejected a request as full."""
        if self.shortage.pressed_share(now_s) > 0.0:
            self.limit.decrease_by_rejection(now_s)

    def observe_answer(self, run_s, duration_s, is_crowded, has_free_slot, now_s):
        """Adapt the limit to an answer.

        Parameters
        ----------
        run_s, duration_s : float
            Usual run time of the request, and time until its answer came.
        is_crowded, has_free_slot : bool
            Whether the server reported too many waiting requests, or a free slot.
        """
        self._now_s = now_s
        self.limit.observe_duration(run_s, duration_s)
        if not self.shortage.is_short:
            return
        if is_crowded:
            if self.shortage.pressed_share(now_s) > 0.0:
                self.limit.decrease_by_crowding(now_s)
            return
        self.limit.increase(self.in_progress, has_free_slot)
        self._update(now_s)

    # Internal.

    def _update(self, now_s):
        if self.shortage.update(bool(self.queue), now_s):
            if self.shortage.is_short:
                self.limit.start(self.in_progress, now_s)
            self.on_change(self, now_s)
        while self.queue and self._has_room():
            self._admit_next()

    def _has_room(self):
        return self.in_progress < self.limit.slots

    def _admit_next(self):
        request = self.queue.pop()
        self._admit(request)
        request.on_admitted()

    def _admit(self, request):
        request.state = State.ADMITTED
        self.in_progress += 1

    def _max_wait_s(self, request, now_s):
        target_s = request.target_latency_s
        less_urgent = sum(
            self._demand_by_priority.share(one, now_s)
            for one in range(request.priority + 1, len(PRIORITY_WEIGHTS))
        )
        fraction = MIN_WAIT_FRACTION + less_urgent * (MAX_WAIT_FRACTION - MIN_WAIT_FRACTION)
        wait_s = max(fraction * target_s, target_s - DURATION_MARGIN * self.limit.mean_duration_s)
        left_s = request.deadline_s - now_s - request.expected_run_s
        return min(MAX_WAIT_FRACTION * target_s, wait_s, left_s)

    def _expected_wait_s(self, request):
        """Return the expected wait of a request that is about to join the queue."""
        # On average, the next of the requests in progress ends after half of the usual interval.
        ahead = self.queue.ahead_of(request) + 0.5
        weights = {one: self._priority_weight(one) for one in self.queue.priorities()}
        weights[request.priority] = self._priority_weight(request.priority)
        share = weights[request.priority] / sum(weights.values())
        return min(ahead / share, len(self.queue) + 0.5) / self.limit.drain_per_s

    def _priority_weight(self, priority):
        part = PRIORITY_WEIGHTS[priority] / sum(PRIORITY_WEIGHTS)
        demand = self._demand_by_priority.share(priority, self._now_s)
        return max(part, MIN_PART_OF_DEMAND * demand)

    def _organisation_weight(self, organisation):
        usual = self._usual_demand.share(organisation, self._now_s)
        current = self._current_demand.share(organisation, self._now_s)
        equal = 1.0 / self._usual_demand.name_count()
        return max(usual, MIN_PART_OF_DEMAND * current, MIN_PART_OF_EQUAL * equal)
