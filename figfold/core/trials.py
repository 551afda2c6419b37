"""Schedules trials of quarantined requests, each alone at a backend server."""

from collections import Counter

from attrs import define, frozen

from figfold.core.quarantine import Quarantine
from figfold.core.servers import RESET_OUTCOMES, DispatchOutcome, Server, Servers


@frozen
class Reservation:
    """A server reserved for a trial until ``until_s``, the deadline of its request."""

    request_id: str
    server: Server
    until_s: float


@define
class TrialScheduler:
    """Schedules the trials of one service at one entry, one at a time.

    A trial runs at a server that has no other request of this entry in progress, so that a crash
    affects no other request. Until the trial ends, its server gets no other request.
    """

    quarantine: Quarantine
    servers: Servers
    counters: Counter
    _reservation: Reservation | None = None

    def must_refuse(self, request, now_s):
        """Return whether a request is quarantined and no trial of it may start now."""
        if not self.quarantine.is_quarantined(request.fingerprint, now_s):
            return False
        if self.is_reserved_for(request.id, now_s):
            return False
        if self._reservation is not None and now_s < self._reservation.until_s:
            return True
        due = self.quarantine.is_trial_due(request.fingerprint, now_s)
        return not due or not self._candidates(now_s)

    def is_reserved_for(self, request_id, now_s):
        """Return whether a server is reserved for the trial of a request."""
        reserved = self._reservation
        return (
            reserved is not None and reserved.request_id == request_id and now_s < reserved.until_s
        )

    def acquire_server(self, request, now_s):
        """Return the server for the trial of a request, or None if it has to wait.

        The server with the fewest requests in progress is reserved until the trial, so that a
        trial can start under load as well.
        """
        if not self.is_reserved_for(request.id, now_s):
            candidates = self._candidates(now_s)
            if not candidates:
                return None
            self._reserve(min(candidates, key=self._rank), request, now_s)
        server = self._reservation.server
        if server.slots <= 0 or not server.takes_work():
            self._release()
            return None
        if server.in_progress:
            return None
        self.quarantine.begin_trial(request.fingerprint, server.name, now_s)
        return server

    def end(self, attempt, outcome):
        """Record the end of an attempt if it was a trial."""
        if not attempt.dispatch.trial:
            return
        self.quarantine.end_trial(attempt.tracked.request.fingerprint)
        if self._reservation and self._reservation.request_id == attempt.dispatch.request_id:
            self._release()
        self.counters[f"trial.{_RESULT_BY_OUTCOME.get(outcome, 'undecided')}"] += 1

    def _candidates(self, now_s):
        return [
            server
            for server in self.servers.server_by_name.values()
            if server.slots > 0
            and server.takes_work()
            and now_s >= max(server.backoff_until_s, server.ejected_until_s)
            and self.quarantine.may_have_recovered(server.name, now_s)
        ]

    def _rank(self, server):
        return (
            not self.quarantine.has_recovered(server.name),
            server.in_progress,
            server.last_used,
        )

    def _reserve(self, server, request, now_s):
        self._reservation = Reservation(request.id, server, request.deadline_s)
        server.backoff_until_s = request.deadline_s
        # If the trial does not start, no server is reserved again without a pause.
        self.quarantine.postpone_trial(request.fingerprint, now_s)

    def _release(self):
        # A back-off that a failure has set in the meantime is kept.
        if self._reservation.server.backoff_until_s == self._reservation.until_s:
            self._reservation.server.backoff_until_s = float("-inf")
        self._reservation = None


_RESULT_BY_OUTCOME = {
    DispatchOutcome.OK: "passed",
    DispatchOutcome.CRASHED: "failed",
    **dict.fromkeys(RESET_OUTCOMES, "failed"),
}
