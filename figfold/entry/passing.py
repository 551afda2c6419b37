"""Passes a request on to another entry and tells what became of it there."""

from collections.abc import Callable

from attrs import define, evolve
from result import Err

from figfold.core.codes import Code, Outcome
from figfold.entry.clock import MS_PER_S, now_s
from figfold.entry.connections import Connections
from figfold.entry.link_room import LinkRoom
from figfold.entry.live_view import LiveView
from figfold.entry.messages import refuse
from figfold.entry.metrics import Metrics

OUTCOME_HEADER = "figfold-outcome"
CODE_HEADER = "figfold-code"
# The longest that passing a request on may add to what is left of its time.
MARGIN_S = 0.05
# The part of its time in which an offered request is to be answered: after it, a read can still
# be served here, and the claim of a booking's key be asked for.
OFFER_PART = 0.5


@define(eq=False)
class Passing:
    """What an entry needs to exchange requests with others."""

    place: str
    live: LiveView
    connections: Connections
    links: LinkRoom
    metrics: Metrics
    reused_connection_timeout_s: Callable

    def offer(self, request, offer):
        """Let another entry serve a request, or refuse it at once, in part of the time left.

        Returns
        -------
        Result[ServerAnswer, Refusal]
            The answer may be that entry's own refusal.
        """
        limit_s = OFFER_PART * _remaining_s(request)
        wait_ms = int(max(0.0, min(offer.wait_limit_s, limit_s)) * MS_PER_S)
        header = ("Figfold-Wait-Limit-Ms", str(wait_ms))
        return self._exchange(request, offer.entry, "spill", limit_s, (header,))

    def pass_on(self, request, entry, reason):
        """Let another entry serve a request in all of the time that is left.

        Parameters
        ----------
        request : CallerRequest
        entry : EntryView
        reason : str
            Why it is passed on, for the counters.

        Returns
        -------
        Result[ServerAnswer, Refusal]
            The answer may be that entry's own refusal.
        """
        return self._exchange(request, entry, reason, _remaining_s(request), ())

    def _exchange(self, request, entry, reason, limit_s, headers):
        if limit_s <= 0:
            return Err(refuse(Code.DEADLINE_PASSED, "no time is left to pass it on"))
        if not self.links.admit(self.place, entry.place, request, now_s()):
            self.metrics.count_code(Code.LINK_FULL, service=request.service)
            return Err(refuse(Code.LINK_FULL, "the link has no room"))
        self.metrics.count("passed_on", service=request.service, reason=reason)
        answered = self._try(request, entry, _wire(request, headers), limit_s)
        if answered.is_ok():
            self.links.charge(entry.place, self.place, answered.ok(), now_s())
            return answered
        self.metrics.count_code(Code.PEER_ENTRY_FAILED, service=request.service)
        outcome = Outcome.UNKNOWN if answered.err().sent else Outcome.NOT_RUN
        message = f"the entry {entry.name} did not answer"
        return Err(refuse(Code.PEER_ENTRY_FAILED, message, "send the request again", outcome))

    def _try(self, request, entry, wire, limit_s):
        address = self.live.reach_address(entry)
        if request.key:
            # A booking is sent once, and over a connection that nothing can have silenced.
            return self.connections.exchange(address, wire, limit_s, True, entry.name)
        return self._try_twice(request, address, wire, limit_s, entry.name)

    def _try_twice(self, request, address, wire, limit_s, name):
        """Exchange over a used connection, and over a fresh one if the used one stays silent."""
        started = now_s()
        first_timeout_s = self.reused_connection_timeout_s(request, limit_s)
        answered = self.connections.exchange(
            address, wire, reused_connection_timeout_s, False, name
        )
        left_s = limit_s - (now_s() - started)
        if answered.is_ok() or answered.err().fresh or left_s <= 0:
            return answered
        self.metrics.count("retries", service=request.service, reason="entry_connection")
        again = self.connections.exchange(address, wire, left_s, True, name)
        if not answered.err().sent or not _did_not_run(again):
            return again
        # The first attempt may have run there, whatever becomes of the second.
        return Err(evolve(answered.err(), sent=True))


# What another entry told.


def ran(result):
    """Return whether the other entry gave a backend server's answer."""
    return result.is_ok() and _told(result.ok(), OUTCOME_HEADER) == Outcome.RAN.value


def was_not_run(result):
    """Return whether a passed-on request ended in a refusal that says that it was not run."""
    if result.is_err():
        return result.err().outcome is Outcome.NOT_RUN
    return _told(result.ok(), OUTCOME_HEADER) == Outcome.NOT_RUN.value


def had_no_room(result):
    """Return whether the other entry refused at once, before it did anything for the request."""
    return result.is_ok() and _told(result.ok(), CODE_HEADER) == str(int(Code.NO_ROOM))


def _did_not_run(again):
    """Return whether a second attempt failed before it was sent, or was refused as not run."""
    if again.is_err():
        return not again.err().sent
    return _told(again.ok(), OUTCOME_HEADER) == Outcome.NOT_RUN.value


def _told(answer, header):
    return next((value for name, value in answer.headers if name.lower() == header), "")


def _remaining_s(request):
    return request.deadline_s - now_s() - MARGIN_S


def _wire(request, headers):
    """Return a request as it is sent to another entry."""
    headers = (*request.headers, ("Figfold-Hops", str(request.hops + 1)), *headers)
    if request.key:
        headers += (("Idempotency-Key", request.key),)
        headers += (("Figfold-First-Use", str(int(request.first_use))),)
    return request.method, f"/s/{request.service}{request.target}", headers, request.body
