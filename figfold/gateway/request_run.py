"""Runs one request: its attempts, hedges and retries up to the final answer."""

import eventlet
from attrs import Factory, define, evolve
from eventlet.queue import Empty, LightQueue
from result import Err, Ok

from figfold.core.codes import Code
from figfold.core.hedging.policy import MIN_DELAY_S, HedgeRefusal
from figfold.core.organisations.access import Access
from figfold.core.traffic.retry_decision import (
    AttemptOutcome,
    NextStep,
    RequestProgress,
    decide_next_step,
)
from figfold.core.traffic.selection import SelectionRequest
from figfold.entry.clock import now_s
from figfold.gateway.requests import (
    CALLER_DISCONNECTED,
    DEADLINE_CHANGED,
    AttemptEnded,
    GatewayRequest,
    RequestFailure,
)
from figfold.gateway.sender import AttemptResult

# Without a hedge ratio in the settings, a hedge is sent after this multiple of the expected
# duration, but no earlier than the minimum.
HEDGE_FACTOR = 2.5
MIN_HEDGE_DELAY_S = 0.3
# Shortest time after which a caller should retry a refused request.
RETRY_AFTER_S = 0.3


@define(eq=False)
class _Attempt:
    choice: object
    started_s: float
    thread: object
    is_hedge: bool


@define(eq=False)
class RequestRun:
    """Run of one request, which handles the events of its queue one by one.

    Attributes
    ----------
    runner : RequestRunner
        State that all requests share.
    events : LightQueue
        `AttemptEnded`, `ADMITTED`, `CALLER_DISCONNECTED` and `DEADLINE_CHANGED`.
    tried : set[str]
        Servers that the request was sent to.
    tried_addresses : set[str]
        Their addresses. Two servers may have the same one, if it was used again.
    last_code : Code
        Reason for which the latest attempt gave no answer.
    retry_after_s : float
        Time after which a refused caller should retry.
    error_answer : ServerAnswer or None
        Error answer of a server, which is returned if no attempt succeeds.
    hedge_decided : bool
        Whether a hedge was sent or ruled out.
    hedge_not_before_s : float
        Earliest time of a hedge after a refusal that may pass.
    organisation : Organisation or None
        Whose API key the request carries; None for an anonymous caller.
    home_regions : frozenset[str]
        The only regions in which the request may run; empty if all are allowed.
    admission : RequestAdmission or None
        Admission control of the service; None if it is off.
    """

    runner: object
    request: GatewayRequest
    route: object
    service: str
    configuration: object
    organisation: object = None
    home_regions: frozenset = frozenset()
    admission: object = None
    events: LightQueue = Factory(LightQueue)
    attempt_by_id: dict = Factory(dict)
    progress: RequestProgress = Factory(RequestProgress)
    tried: set = Factory(set)
    tried_addresses: set = Factory(set)
    last_code: Code = Code.OK
    error_answer: object = None
    hedge_decided: bool = False
    hedge_not_before_s: float = 0.0
    retry_after_s: float = RETRY_AFTER_S

    @property
    def key(self):
        """The object that determines the choice of a server, or an empty string."""
        return self.request.key if self.route.is_sticky else ""

    @property
    def priority(self):
        """Priority, 0 the highest; an organisation's own goes before that of the route."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority

    @property
    def deadline_s(self):
        """When the final answer is due, in monotonic seconds."""
        return min(self.request.deadline_s(self.route), self.runner.answers_until_s)

    def execute(self):
        """Run the request; return Ok(ServerAnswer) or Err(RequestFailure)."""
        failure = self.admission.wait(self) if self.admission is not None else None
        if failure is not None:
            return Err(failure)
        # Requests that are refused while they wait for admission earn no retries.
        self.runner.retry_budget(self.service).count_request(now_s())
        if not self._start_attempt(is_hedge=False):
            return self._refuse_not_sent()
        while True:
            try:
                event = self.events.get(timeout=max(0.0, self._next_timer_s() - now_s()))
            except Empty:
                if now_s() >= self.deadline_s:
                    return self._finish(
                        NextStep.FAIL if self._may_run() else NextStep.REFUSE, "time", True
                    )
                self._try_hedge()
                continue
            if event is DEADLINE_CHANGED:
                continue
            if event is CALLER_DISCONNECTED:
                return self._finish(NextStep.FAIL, "caller-gone")
            final = self._handle_attempt_end(event)
            if final is not None:
                return final

    def reason_not_to_start(self):
        """Return why the request may no longer start after a wait, as a RequestFailure, or None."""
        runner = self.runner
        if runner.quarantine.is_quarantined(self.request.fingerprint, now_s()):
            return RequestFailure(Code.QUARANTINED, True, "quarantined")
        if not self.route.is_repeatable and (
            self.request.deadline_s(self.route) > runner.answers_until_s
        ):
            # It might still run when the entry ends, and its caller could not send it again.
            return RequestFailure(Code.ENTRY_LEAVING, True, "leaving", 0.0)
        return None

    def cancel_all(self):
        """Cancel all attempts in progress and close their connections."""
        for attempt_id, attempt in list(self.attempt_by_id.items()):
            attempt.thread.kill()
            self._load_of(attempt).end(attempt_id)
            self._observe_duration(attempt, now_s() - attempt.started_s, is_answered=False)
        self.attempt_by_id.clear()
        self._close_unused_answers()

    def _close_unused_answers(self):
        """Close the answers that came after the final one, whose rest is still to be read."""
        while not self.events.empty():
            event = self.events.get_nowait()
            answer = event.result.answer if isinstance(event, AttemptEnded) else None
            if answer is not None and answer.rest is not None:
                answer.rest.close()

    # Attempts.

    def _start_attempt(self, is_hedge, choice=None):
        if not self._has_access():
            return False
        # API keys may have come into use while the request waited.
        self.request = self.runner.hide_key(self.request, self.organisation)
        choice = choice or self._choose()
        now = now_s()
        choice = self._choose_elsewhere(choice, is_hedge, now) or choice
        if choice is None:
            self._explain_missing_choice(now)
            return False
        if self.admission is not None:
            self.admission.observe_start(choice, self.route, now)
        if choice.expected_s > self.deadline_s - now and not self.progress.started_attempts:
            self._log(
                "too-late",
                server=choice.server_id,
                expected_ms=round(choice.expected_s * 1000),
                left_ms=round((self.deadline_s - now) * 1000),
            )
            self.last_code = Code.DEADLINE_TOO_SHORT
            self.runner.hedging.record_rejection(self.service, now)
            # By then the queue has shrunk by that time, and a retry has the route's whole time.
            self.retry_after_s = max(RETRY_AFTER_S, choice.expected_s - (self.deadline_s - now))
            return False
        runner = self.runner
        attempt_id = runner.next_attempt_id()
        if choice.is_cold_server:
            runner.cluster.record_cold_request(choice.server_id, now)
        runner.selector.limits.record_request(choice.server_id, now)
        runner.selector.load_by_server[choice.server_id].start(
            attempt_id, self.key, now, len(self.request.body)
        )
        self.tried.add(choice.server_id)
        self.progress = evolve(self.progress, started_attempts=self.progress.started_attempts + 1)
        self._log(
            "attempt",
            server=choice.server_id,
            key=self.request.key,
            number=self.progress.started_attempts,
            hedge=is_hedge,
            warm=choice.is_warm,
            cold_server=choice.is_cold_server,
            expected_ms=round(choice.expected_s * 1000),
            servers_age_s=round(runner.cluster.servers_age_s(now), 2),
            operator_age_s=round(runner.cluster.operator_age_s(now), 2),
        )
        # A late answer to an earlier attempt would name the same request.
        needs_fresh = choice.address in self.tried_addresses
        self.tried_addresses.add(choice.address)
        thread = eventlet.spawn(self._run_attempt, attempt_id, choice, needs_fresh)
        self.attempt_by_id[attempt_id] = _Attempt(choice, now, thread, is_hedge)
        return True

    def _run_attempt(self, attempt_id, choice, needs_fresh):
        left_s = self.deadline_s - now_s()
        try:
            result = self.runner.sender.send(
                self.request,
                choice,
                max(0.001, left_s),
                self.service,
                self.route.is_repeatable,
                needs_fresh,
            )
        except Exception as error:
            self.runner.metrics.count("loop_errors", loop="attempt")
            self.runner.log.opt(exception=error).error("attempt failed unexpectedly")
            result = AttemptResult(
                AttemptOutcome.FAILED, Code.ENTRY_ERROR, now_s() - self.request.arrived_s
            )
        self.events.put(AttemptEnded(attempt_id, result))

    def _has_access(self):
        """Return whether the request's API key, if any, still allows it; else set the code."""
        if self.organisation is None and not self.request.key_digest:
            return True
        configuration = self.runner.cluster.configuration
        decision = self.runner.decide_access(configuration, self.route, self.request.key_digest)
        code, retry_after_s = Code.UNKNOWN_API_KEY, self.retry_after_s
        if decision.access is Access.UNCONFIRMED_KEYS:
            code = Code.KEYS_UNCONFIRMED
        elif decision.access is not Access.UNKNOWN_KEY:
            if _name_of(decision.organisation) == _name_of(self.organisation):
                return True
            # Homes, priority and limits of the other organisation hold from the next arrival on.
            code, retry_after_s = Code.KEY_MOVED, 0.0
        self._log("key-withdrawn", code=int(code))
        if not self.attempt_by_id:
            # An attempt in progress has an end of its own.
            self.last_code, self.retry_after_s = code, retry_after_s
        return False

    def _choose_elsewhere(self, choice, is_hedge, now):
        """Return a choice outside the object's region that is preferred to the one there, if any.

        Parameters
        ----------
        choice : ServerChoice or None
            The choice in the object's region.
        """
        left_s = self.deadline_s - now
        is_late = choice is None or choice.expected_s > left_s
        if is_hedge or not self.runner.settings.region_balancing:
            return self._choose_overflow(now, left_s) if is_late else None
        # A server that has rejected the request was full, and those beside it often are as well.
        is_queued_again = bool(self.tried) and not is_late and choice.will_queue
        if is_late or is_queued_again:
            other = self._choose_overflow(now, left_s)
            return other or self._choose_last_resort(now, left_s)
        target_left_s = self.request.arrived_s + self.route.target_latency_s - now
        if choice.will_queue and choice.expected_s > target_left_s:
            return self._choose_overflow(now, target_left_s)
        return None

    def _choose_overflow(self, now, left_s):
        """Return a choice in another region that is in time, if the limiter allows one."""
        choice = self._choose(is_overflow=True)
        if choice is None or choice.expected_s > left_s:
            return None
        return choice if self.runner.overflow_limiter.try_acquire(now) else None

    def _choose_last_resort(self, now, left_s):
        """Return a choice in any region for a request that would be refused otherwise."""
        limiter = self.runner.overflow_limiter
        if not limiter.has_room(now, is_last_resort=True):
            return None
        choice = self._choose(is_overflow=True, is_last_resort=True)
        if choice is None or choice.expected_s > left_s:
            return None
        limiter.try_acquire(now, is_last_resort=True)
        self.runner.metrics.count("last_resorts", service=self.service)
        return choice

    def _explain_missing_choice(self, now):
        """Set what a refusal says if it is the servers' limits that leave no choice."""
        wait_s = self.runner.selector.limit_wait_s(self._selection_request(), now)
        if wait_s > 0.0:
            self._log("servers-limited", wait_ms=round(wait_s * 1000))
            self.retry_after_s = max(RETRY_AFTER_S, wait_s)
            if self.last_code is Code.OK:
                self.last_code = Code.SERVERS_LIMITED

    def _selection_request(self, is_overflow=False, is_last_resort=False, needs_free_slot=False):
        regions = ()
        if is_last_resort:
            regions = self.runner.selector.placement.regions()
        elif is_overflow:
            regions = self.runner.cluster.regions_with_free_slots(self.service)
        return SelectionRequest(
            self.service,
            self.key,
            frozenset(self.tried),
            self.home_regions,
            is_overflow,
            frozenset(regions),
            is_last_resort,
            needs_free_slot,
            len(self.request.body),
        )

    def _choose(self, is_overflow=False, is_last_resort=False, needs_free_slot=False):
        runner = self.runner
        transfer_cost = runner.cluster.transfer_cost_s if self.route.is_bulk else None
        now = now_s()
        return runner.selector.choose(
            self._selection_request(is_overflow, is_last_resort, needs_free_slot),
            runner.route_durations(self.route, self.service),
            now,
            lambda server: runner.cluster.may_use_cold_server(server, now),
            transfer_cost,
        )

    def _load_of(self, attempt):
        return self.runner.selector.load_by_id(attempt.choice.server_id)

    def _try_hedge(self):
        self.hedge_decided = True
        if (
            not self.route.is_repeatable
            or self.progress.started_attempts >= self.route.max_attempts
        ):
            return
        if self.runner.settings.hedge_ratio > 0.0:
            self._try_limited_hedge()
            return
        entries = self.runner.cluster.entry_count()
        choice = self._choose()
        if choice is None or choice.expected_s > self.deadline_s - now_s():
            return
        if self.runner.quarantine.is_suspect_or_quarantined(self.request.fingerprint, now_s()):
            return
        if not self._has_access():
            return
        if self.runner.retry_budget(self.service).try_acquire(entries, now_s()):
            self.runner.metrics.count("retries", reason="hedge")
            self._start_attempt(is_hedge=True)

    def _try_limited_hedge(self):
        """Send an extra attempt if the policy, the servers and both budgets allow one."""
        runner, now = self.runner, now_s()
        room = runner.selector.known_room(self._selection_request(), now)
        refusal = runner.hedging.find_refusal(self.service, runner.settings.hedge_ratio, room, now)
        choice = None
        if refusal is None:
            choice = self._choose(needs_free_slot=True)
            refusal = self._find_hedge_refusal(choice, now)
        if refusal is not None:
            runner.metrics.count("refused_hedges", reason=refusal.value)
            self.hedge_decided = refusal.is_final
            started_s = next(iter(self.attempt_by_id.values())).started_s
            self.hedge_not_before_s = now + max(MIN_DELAY_S, now - started_s)
            return
        runner.hedging.record_hedge(self.service, now)
        runner.metrics.count("retries", reason="hedge")
        runner.metrics.count("hedges", result="sent")
        self._start_attempt(is_hedge=True, choice=choice)

    def _find_hedge_refusal(self, choice, now):
        """Return why an extra attempt must not be sent to the chosen server, or None."""
        if choice is None:
            return HedgeRefusal.NO_SERVER
        if choice.expected_s > self.deadline_s - now:
            return HedgeRefusal.TIME
        runner = self.runner
        if runner.quarantine.is_suspect_or_quarantined(self.request.fingerprint, now):
            return HedgeRefusal.SUSPECT
        if not self._has_access():
            return HedgeRefusal.KEY
        if not runner.retry_budget(self.service).try_acquire(runner.cluster.entry_count(), now):
            return HedgeRefusal.RETRY_BUDGET
        return None

    def _hedge_delay_s(self, expected_s):
        hedge_ratio = self.runner.settings.hedge_ratio
        if hedge_ratio > 0.0:
            return self.runner.hedging.delay_s(
                self.route.name, self.service, expected_s, hedge_ratio, now_s()
            )
        return max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * expected_s)

    def _observe_duration(self, attempt, duration_s, is_answered):
        """Add the duration of an attempt to those that the delay of hedges goes by."""
        if self.runner.settings.hedge_ratio > 0.0 and self.route.is_repeatable:
            hedging = self.runner.hedging
            observe = hedging.observe_answer if is_answered else hedging.observe_unfinished
            expected_s = attempt.choice.expected_s
            observe(self.route.name, self.service, duration_s, expected_s, now_s())

    def _next_timer_s(self):
        if self.hedge_decided or len(self.attempt_by_id) != 1 or not self.route.is_repeatable:
            return self.deadline_s
        attempt = next(iter(self.attempt_by_id.values()))
        wait_s = self._hedge_delay_s(attempt.choice.expected_s)
        hedge_s = max(attempt.started_s + wait_s, self.hedge_not_before_s)
        return min(self.deadline_s, hedge_s)

    # Handling of ended attempts.

    def _handle_attempt_end(self, event):
        attempt = self.attempt_by_id.pop(event.attempt_id, None)
        if attempt is None:
            return None
        result = event.result
        self._update_estimates(event.attempt_id, attempt, result)
        self._observe_for_admission(attempt, result)
        may_have_run = result.outcome in (AttemptOutcome.FAILED, AttemptOutcome.ERROR_ANSWERED)
        reached = result.outcome not in (AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_SENT)
        self.progress = evolve(
            self.progress,
            reached_attempts=self.progress.reached_attempts + reached,
            may_have_run=self.progress.may_have_run or may_have_run,
        )
        if result.outcome is AttemptOutcome.ERROR_ANSWERED:
            self.error_answer = result.answer
        elif result.code is not Code.OK:
            self.last_code = result.code
        now = now_s()
        step, reason = decide_next_step(
            result.outcome,
            self.progress,
            self.route,
            self.deadline_s - now,
            self.runner.route_durations(self.route, self.service).warm_s(),
        )
        self._log(
            "attempt-ended",
            server=attempt.choice.server_id,
            end=result.outcome.value,
            code=int(result.code),
            ms=round(result.duration_s * 1000),
            step=step.value,
            reason=reason,
            fresh=result.fresh,
            connection=result.connection_number,
            **_stated(result.head),
        )
        if step is NextStep.GIVE_ANSWER and result.outcome is AttemptOutcome.ANSWERED:
            if attempt.is_hedge and self.runner.settings.hedge_ratio > 0.0:
                self.runner.metrics.count("hedges", result="won")
            return Ok(result.answer)
        if self.attempt_by_id:
            return None  # Another attempt is in progress and may still answer.
        if step is NextStep.RETRY and self._may_retry(result.outcome):
            if self._start_attempt(is_hedge=False):
                return None
            reason = "no-server"
        return self._finish(NextStep.FAIL if self._may_run() else NextStep.REFUSE, reason)

    def _may_retry(self, outcome):
        now = now_s()
        runner = self.runner
        if runner.quarantine.is_quarantined(self.request.fingerprint, now):
            self.last_code = Code.QUARANTINED
            return False
        if not self._has_access():
            return False
        if outcome is AttemptOutcome.NOT_SENT and self.last_code is not Code.CONNECT_FAILED:
            return True  # Nothing was sent, so that the attempt costs no retry budget.
        if not runner.retry_budget(self.service).try_acquire(runner.cluster.entry_count(), now):
            runner.metrics.count("refused_retries", reason="budget")
            return False
        runner.metrics.count("retries", reason=outcome.value)
        return True

    def _update_estimates(self, attempt_id, attempt, result):
        now = now_s()
        runner = self.runner
        server_id = attempt.choice.server_id
        load = self._load_of(attempt)
        load.end(attempt_id)
        if result.load is not None:
            load.observe_report(result.load, now)
            runner.region_shares.record_load(self.service, server_id, result.load, now)
        fingerprint = self.request.fingerprint
        if result.outcome is AttemptOutcome.ANSWERED:
            expected_s = max(0.001, attempt.choice.expected_s)
            load.observe_success(result.duration_s, expected_s, now)
            self._add_run_time(attempt.choice, result)
            self._observe_duration(attempt, result.duration_s, is_answered=True)
            runner.quarantine.record_success(fingerprint, now, server_id)
        elif result.code is Code.SERVER_SHED:
            load.observe_shed(now)
            runner.hedging.record_rejection(self.service, now)
        elif result.code is Code.CONNECT_FAILED:
            load.observe_failure(now, is_unreachable=True)
            runner.quarantine.record_connect_refused(server_id, now)
            runner.cluster.record_unreachable(server_id, now)
        elif result.is_other_server:
            load.observe_failure(now, is_unreachable=True)
        elif result.outcome in (AttemptOutcome.FAILED, AttemptOutcome.ERROR_ANSWERED):
            load.observe_failure(now, is_unreachable=False)
            if result.code in (Code.SERVER_RESET, Code.SERVER_SHORT_ANSWER):
                self._record_reset(server_id, result.fresh, now)
        if result.code is not Code.OK:
            runner.metrics.count_code(result.code, service=self.service)

    def _observe_for_admission(self, attempt, result):
        if self.admission is not None:
            warm_s = self.runner.route_durations(self.route, self.service).warm_s()
            self.admission.observe_end(attempt.choice, self.route, warm_s, result, now_s())

    def _record_reset(self, server_id, is_fresh, now):
        runner = self.runner
        fingerprint = self.request.fingerprint
        is_by_network = runner.reset_watch.record(server_id, now)
        if is_by_network and not runner.quarantine.is_suspect(fingerprint, now):
            return
        runner.quarantine.record_reset(server_id, fingerprint, is_fresh, now)
        runner.on_suspected_crash()

    def _add_run_time(self, choice, result):
        """Add the run time to the route's, unless a wait or a cold start may be included."""
        waited = choice.will_queue or (result.load is not None and result.load.waiting > 0)
        if waited or choice.is_cold_server:
            return
        slowdown = result.load.slowdown if result.load is not None else 1.0
        round_trip_s = self.runner.cluster.server_round_trip_s(choice.server_id)
        slot_s = max(0.001, result.duration_s - round_trip_s)
        self.runner.region_shares.record_run(self.service, slot_s)
        run_s = slot_s / max(0.1, slowdown)
        self.runner.route_durations(self.route, self.service).add(run_s, choice.is_warm)

    # Final answers.

    def _may_run(self):
        """Return whether a backend server may have run the request or may still run it."""
        return self.progress.may_have_run or bool(self.attempt_by_id)

    def _refuse_not_sent(self):
        if self.last_code is Code.OK:
            self.last_code = Code.NO_SERVER
        return self._finish(NextStep.REFUSE, "no-server")

    def _finish(self, step, reason, timed_out=False):
        if self.error_answer is not None:
            return Ok(self.error_answer)
        if step is NextStep.REFUSE:
            code = self.last_code if self.last_code is not Code.OK else Code.NO_SERVER
            return Err(RequestFailure(code, True, reason, self.retry_after_s))
        code = Code.SERVER_TIMEOUT if timed_out else self.last_code
        if reason == "caller-gone":
            code = Code.CALLER_GONE
        return Err(RequestFailure(code, False, reason))

    def _log(self, event, **fields):
        self.runner.log.bind(
            id=self.request.request_id,
            route=self.route.name,
            service=self.service,
            version=self.configuration.version,
            **fields,
        ).info(event)


def _stated(head):
    """Return what a server has stated in an answer, for the log."""
    if head is None:
        return {}
    load = head.load
    return {
        "status": head.status,
        "named": head.is_named,
        "not_run": head.is_not_run,
        "running": load.running if load else None,
        "waiting": load.waiting if load else None,
        "leaving": head.is_leaving,
        "limit_per_s": head.rate_limit_per_s,
        "pause_s": head.pause_s,
    }


def _name_of(organisation):
    return organisation.name if organisation is not None else None
