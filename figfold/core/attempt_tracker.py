"""Attempts in progress at the backend servers of a service, including hedges."""

from collections import Counter
from math import inf

from attrs import Factory, define

from figfold.core.budgets import SlotUse, TokenBudget
from figfold.core.quarantine import Quarantine
from figfold.core.queue import Attempt, Dispatch
from figfold.core.request_classes import RequestClasses
from figfold.core.servers import DispatchOutcome, Servers


@define
class AttemptTracker:
    """Attempts in progress by dispatch id; each occupies a slot of the quota and of its server.

    A hedge is a second, concurrent attempt of an idempotent request whose first attempt exceeds
    the hedge delay of its class.
    """

    slots: SlotUse
    servers: Servers
    classes: RequestClasses
    quarantine: Quarantine
    counters: Counter
    _hedge_budget: TokenBudget
    attempt_by_id: dict[int, Attempt] = Factory(dict)
    _next_id: int = 1

    @classmethod
    def from_config(cls, options, slots, servers, classes, quarantine, counters):
        """Return a tracker without attempts, with an empty hedge budget."""
        budget = TokenBudget.from_config(options.hedge_percent, options.hedge_burst, 0)
        return cls(slots, servers, classes, quarantine, counters, budget)

    def start(self, tracked, server, is_suspect, now_s, trial=False):
        """Start an attempt of a queued request, optionally as a trial, and return its dispatch."""
        tracked.attempts += 1
        self._hedge_budget.record_dispatch()
        self.counters["dispatched"] += 1
        return self._start(tracked, server, is_suspect, False, now_s, trial)

    def start_hedges(self, now_s):
        """Start the hedges that are due and return their dispatches."""
        if not self.slots.has_room() or not self._hedge_budget.has_token():
            return []  # Hedges stay due until a slot and a token are free.
        dispatches = []
        due = [a for a in self.attempt_by_id.values() if a.hedge_at_s <= now_s]
        for attempt in sorted(due, key=lambda a: a.hedge_at_s):
            if not self._may_hedge(attempt.tracked, now_s):
                attempt.hedge_at_s = inf
                continue
            server = self._hedge_server(attempt, now_s)
            if server is not None and self._hedge_budget.try_spend():
                attempt.hedge_at_s = inf
                attempt.tracked.hedged = True
                self.counters["hedged"] += 1
                dispatches.append(self._start(attempt.tracked, server, False, True, now_s))
        return dispatches

    def end(self, dispatch_id, report, now_s):
        """Remove a finished attempt, free its slot and return it; None if it was removed before."""
        attempt = self.attempt_by_id.pop(dispatch_id, None)
        if attempt is None:
            return None
        attempt.tracked.running.remove(dispatch_id)
        self.slots.free(attempt, report.release_at_s, now_s)
        self.counters[f"ended.{report.outcome.value}"] += 1
        if attempt.dispatch.hedge and report.outcome is DispatchOutcome.OK:
            self.counters["hedge_won"] += 1
        return attempt

    def next_hedge_s(self, now_s):
        """Return when the next hedge is due, or infinity."""
        times = (a.hedge_at_s for a in self.attempt_by_id.values() if a.hedge_at_s > now_s)
        return min(times, default=inf)

    def _start(self, tracked, server, is_suspect, hedge, now_s, trial=False):
        request = tracked.request
        dispatch = Dispatch(request.id, self._next_id, server.name, hedge, trial)
        self._next_id += 1
        known = self.classes.is_known(request.class_key)
        expected_s = self.classes.expected_s(request.class_key) if known else 0.0
        hedge_at_s = inf
        if request.idempotent and not tracked.hedged and not is_suspect:
            hedge_at_s = now_s + self.classes.hedge_delay_s(tracked.is_long)
        attempt = Attempt(
            dispatch, server, tracked, tracked.is_long, is_suspect, expected_s, hedge_at_s
        )
        self.attempt_by_id[dispatch.dispatch_id] = attempt
        tracked.running.append(dispatch.dispatch_id)
        tracked.tried.add(server.name)
        self.slots.occupy(attempt)
        self.servers.record_start(server, is_suspect, now_s)
        return dispatch

    def _may_hedge(self, tracked, now_s):
        request = tracked.request
        if tracked.hedged or tracked.answered or len(tracked.running) != 1:
            return False
        if now_s >= request.deadline_s:
            return False
        return not self.quarantine.is_suspect_or_quarantined(request.fingerprint, now_s)

    def _hedge_server(self, attempt, now_s):
        if not self.slots.has_room() or not self._hedge_budget.has_token():
            return None
        if attempt.tracked.is_long and not self.slots.has_long_room():
            return None
        return self.servers.choose_hedge(now_s, attempt.tracked.tried)
