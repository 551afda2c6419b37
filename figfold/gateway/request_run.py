"""One request on its way: attempts, hedges and the final answer, as events on one queue."""

import eventlet
from attrs import Factory, define, evolve
from eventlet.queue import Empty, LightQueue
from result import Err, Ok

from figfold.core.codes import Code
from figfold.core.traffic.attempts import End, Progress, Step, follow
from figfold.core.traffic.selection import Wanted
from figfold.entry.clock import now_s
from figfold.gateway.messages import CALLER_GONE, Ended, FinalRefusal, GatewayRequest
from figfold.gateway.sender import AttemptResult

# The final answer leaves this long before the caller gives up, to arrive in time.
ANSWER_MARGIN_S = 0.02
# A hedge is sent after this multiple of the expected duration, and not before the least time.
HEDGE_FACTOR = 2.5
LEAST_HEDGE_S = 0.3
# A request that no server can take now is worth trying again after this time.
RETRY_AFTER_S = 0.3


@define(eq=False)
class _Attempt:
    choice: object
    started_s: float
    thread: object
    is_hedge: bool


@define(eq=False)
class RequestRun:
    """One request on its way.

    Attributes
    ----------
    runner : Runner
        What all requests share.
    events : LightQueue
        Ends of attempts, and that the caller has gone.
    tried : set[str]
        Servers that it was sent to.
    last_code : Code
        Why the latest attempt gave no answer.
    retry_after_s : float
        After which time a refused caller may be served.
    error_answer : ServerAnswer or None
        A server's own failure, which is given when nothing better comes.
    """

    runner: object
    request: GatewayRequest
    route: object
    service: str
    configuration: object
    events: LightQueue = Factory(LightQueue)
    attempt_by_id: dict = Factory(dict)
    progress: Progress = Factory(Progress)
    tried: set = Factory(set)
    last_code: Code = Code.OK
    error_answer: object = None
    hedged: bool = False
    retry_after_s: float = RETRY_AFTER_S

    @property
    def key(self):
        """The object by which a server is chosen, or an empty string."""
        return self.request.key if self.route.is_sticky else ""

    @property
    def ends_s(self):
        """When the final answer is due, in monotonic seconds."""
        own_s = self.request.arrived_s + self.route.timeout_s
        return min(own_s, self.request.caller_ends_s - ANSWER_MARGIN_S)

    def finish(self):
        """Run the request to its final answer."""
        if not self._start(is_hedge=False):
            return self._refuse_unsent()
        while True:
            try:
                event = self.events.get(timeout=max(0.0, self._next_s() - now_s()))
            except Empty:
                if now_s() >= self.ends_s:
                    return self._end(Step.FAIL if self._is_open() else Step.REFUSE, "time", True)
                self._hedge()
                continue
            if event is CALLER_GONE:
                return self._end(Step.FAIL, "caller-gone")
            final = self._take(event)
            if final is not None:
                return final

    def cancel_all(self):
        """Close the connections of the attempts that are no longer wanted."""
        for attempt_id, attempt in list(self.attempt_by_id.items()):
            attempt.thread.kill()
            self._load(attempt).end(attempt_id)
        self.attempt_by_id.clear()

    # Attempts.

    def _start(self, is_hedge):
        choice = self._choose()
        now = now_s()
        if choice is None or choice.expected_s > self.ends_s - now:
            choice = self._choose_elsewhere(now) or choice
        if choice is None:
            return False
        if choice.expected_s > self.ends_s - now and not self.progress.sent:
            self._log(
                "too-late",
                server=choice.server_id,
                expected_ms=round(choice.expected_s * 1000),
                left_ms=round((self.ends_s - now) * 1000),
            )
            self.last_code = Code.DEADLINE_TOO_SHORT
            # The wait shrinks as time goes on, and the route's time begins anew on return.
            self.retry_after_s = max(RETRY_AFTER_S, choice.expected_s - (self.ends_s - now))
            return False
        runner = self.runner
        attempt_id = runner.next_id()
        if choice.is_cold_server:
            runner.beliefs.take_cold(choice.server_id, now)
        runner.selector.load_by_server[choice.server_id].start(attempt_id, self.key, now)
        self.tried.add(choice.server_id)
        self.progress = evolve(self.progress, sent=self.progress.sent + 1)
        self._log(
            "attempt",
            server=choice.server_id,
            key=self.request.key,
            number=self.progress.sent,
            hedge=is_hedge,
            warm=choice.is_warm,
            cold_server=choice.is_cold_server,
            expected_ms=round(choice.expected_s * 1000),
            servers_age_s=round(runner.beliefs.servers_age_s(now), 2),
        )
        thread = eventlet.spawn(self._attempt, attempt_id, choice)
        self.attempt_by_id[attempt_id] = _Attempt(choice, now, thread, is_hedge)
        return True

    def _attempt(self, attempt_id, choice):
        left_s = self.ends_s - now_s()
        try:
            result = self.runner.sender.send(self.request, choice, max(0.001, left_s))
        except Exception as error:
            self.runner.metrics.count("loop_errors", loop="attempt")
            self.runner.log.opt(exception=error).error("attempt failed unexpectedly")
            result = AttemptResult(End.FAILED, Code.ENTRY_ERROR, now_s() - self.request.arrived_s)
        self.events.put(Ended(attempt_id, result))

    def _choose_elsewhere(self, now):
        """Return a choice in another region, while only a small part of the requests goes there."""
        choice = self._choose(is_overflow=True)
        if choice is None or choice.expected_s > self.ends_s - now:
            return None
        return choice if self.runner.overflow.take(now) else None

    def _choose(self, is_overflow=False):
        runner = self.runner
        wanted = Wanted(
            self.service,
            self.key,
            frozenset(self.tried),
            self.route.home_regions,
            self.route.is_bulk,
            is_overflow,
            (
                frozenset(runner.beliefs.regions_with_room(self.service))
                if is_overflow
                else frozenset()
            ),
        )
        byte_cost = runner.beliefs.byte_cost_s if self.route.is_bulk else None
        now = now_s()
        return runner.selector.choose(
            wanted,
            runner.durations(self.route, self.service),
            now,
            lambda server: runner.beliefs.may_use_cold(server, now),
            byte_cost,
        )

    def _load(self, attempt):
        return self.runner.selector.load_of(attempt.choice.server_id)

    def _hedge(self):
        self.hedged = True
        if not self.route.is_repeatable or self.progress.sent >= self.route.max_attempts:
            return
        entries = self.runner.beliefs.entry_count()
        choice = self._choose()
        if choice is None or choice.expected_s > self.ends_s - now_s():
            return
        if self.runner.quarantine.is_suspect_or_quarantined(self.request.fingerprint, now_s()):
            return
        if self.runner.allowance(self.service).take(entries, now_s()):
            self.runner.metrics.count("retries", reason="hedge")
            self._start(is_hedge=True)

    def _next_s(self):
        if self.hedged or len(self.attempt_by_id) != 1 or not self.route.is_repeatable:
            return self.ends_s
        attempt = next(iter(self.attempt_by_id.values()))
        wait_s = max(LEAST_HEDGE_S, HEDGE_FACTOR * attempt.choice.expected_s)
        return min(self.ends_s, attempt.started_s + wait_s)

    # Ends of attempts.

    def _take(self, event):
        attempt = self.attempt_by_id.pop(event.attempt_id, None)
        if attempt is None:
            return None
        result = event.result
        self._learn(event.attempt_id, attempt, result)
        may_have_run = result.end in (End.FAILED, End.ERROR_ANSWERED)
        reached = result.end not in (End.NOT_RUN, End.NOT_SENT)
        self.progress = evolve(
            self.progress,
            reached=self.progress.reached + reached,
            may_have_run=self.progress.may_have_run or may_have_run,
        )
        if result.end is End.ERROR_ANSWERED:
            self.error_answer = result.answer
        elif result.code is not Code.OK:
            self.last_code = result.code
        now = now_s()
        step, reason = follow(
            result.end,
            self.progress,
            self.route,
            self.ends_s - now,
            self.runner.durations(self.route, self.service).warm_s(),
        )
        self._log(
            "attempt-ended",
            server=attempt.choice.server_id,
            end=result.end.value,
            code=int(result.code),
            ms=round(result.duration_s * 1000),
            step=step.value,
            reason=reason,
        )
        if step is Step.GIVE_ANSWER and result.end is End.ANSWERED:
            return Ok(result.answer)
        if self.attempt_by_id:
            return None  # Another attempt may still answer.
        if step is Step.RETRY and self._may_retry(result.end):
            if self._start(is_hedge=False):
                return None
            reason = "no-server"
        return self._end(Step.FAIL if self._is_open() else Step.REFUSE, reason)

    def _may_retry(self, end):
        now = now_s()
        runner = self.runner
        if runner.quarantine.is_quarantined(self.request.fingerprint, now):
            self.last_code = Code.QUARANTINED
            return False
        if end is End.NOT_SENT and self.last_code is not Code.CONNECT_FAILED:
            return True  # Nothing arrived anywhere.
        if not runner.allowance(self.service).take(runner.beliefs.entry_count(), now):
            runner.metrics.count("refused_retries", reason="budget")
            return False
        runner.metrics.count("retries", reason=end.value)
        return True

    def _learn(self, attempt_id, attempt, result):
        now = now_s()
        runner = self.runner
        server_id = attempt.choice.server_id
        load = self._load(attempt)
        load.end(attempt_id)
        if result.load is not None:
            load.take_report(result.load, now)
        fingerprint = self.request.fingerprint
        if result.end is End.ANSWERED:
            expected_s = max(0.001, attempt.choice.expected_s)
            load.take_success(result.duration_s, expected_s, now)
            self._learn_duration(attempt.choice, result)
            runner.quarantine.record_success(fingerprint, now, server_id)
        elif result.code is Code.SERVER_SHED:
            load.take_shed(now)
        elif result.code is Code.CONNECT_FAILED:
            load.take_failure(now, is_unreachable=True)
            runner.quarantine.record_connect_refused(server_id, now)
            runner.beliefs.note_unreachable(server_id, now)
        elif result.is_gone:
            load.take_failure(now, is_unreachable=True)
        elif result.end in (End.FAILED, End.ERROR_ANSWERED):
            load.take_failure(now, is_unreachable=False)
            if result.code in (Code.SERVER_RESET, Code.SERVER_SHORT_ANSWER):
                runner.quarantine.record_reset(server_id, fingerprint, False, now)
                runner.on_crash_sign()
        if result.code is not Code.OK:
            runner.metrics.count_code(result.code, service=self.service)

    def _learn_duration(self, choice, result):
        """Take a run time, unless the request may have waited at the server."""
        waited = choice.waits or (result.load is not None and result.load.waiting > 0)
        if waited or choice.is_cold_server:
            return
        pace = result.load.pace if result.load is not None else 1.0
        distance_s = self.runner.beliefs.distance_of(choice.server_id)
        run_s = max(0.001, result.duration_s - distance_s) / max(0.1, pace)
        self.runner.durations(self.route, self.service).add(run_s, choice.is_warm)

    # Final answers.

    def _is_open(self):
        """Return whether a backend server may have run the request, or may run it yet."""
        return self.progress.may_have_run or bool(self.attempt_by_id)

    def _refuse_unsent(self):
        if self.last_code is Code.OK:
            self.last_code = Code.NO_SERVER
        return self._end(Step.REFUSE, "no-server")

    def _end(self, step, reason, timed_out=False):
        if self.error_answer is not None:
            return Ok(self.error_answer)
        if step is Step.REFUSE:
            code = self.last_code if self.last_code is not Code.OK else Code.NO_SERVER
            return Err(FinalRefusal(code, True, reason, self.retry_after_s))
        code = Code.SERVER_TIMEOUT if timed_out else self.last_code
        if reason == "caller-gone":
            code = Code.CALLER_GONE
        return Err(FinalRefusal(code, False, reason))

    def _log(self, event, **fields):
        self.runner.log.bind(
            id=self.request.request_id,
            route=self.route.name,
            service=self.service,
            version=self.configuration.version,
            **fields,
        ).info(event)
