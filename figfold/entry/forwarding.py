"""Forwards requests to other entries and classifies their answers."""

from collections.abc import Callable

from attrs import define, evolve
from result import Err

from figfold.core.codes import Code, Outcome
from figfold.entry.clock import MS_PER_S, now_s
from figfold.entry.connections import Connections
from figfold.entry.link_admission import LinkAdmission
from figfold.entry.live_entry_cache import LiveEntryCache
from figfold.entry.metrics import Metrics
from figfold.entry.request_types import refuse

OUTCOME_HEADER = "figfold-outcome"
CODE_HEADER = "figfold-code"
# Time reserved for forwarding itself, taken off the request's remaining time.
HANDLING_MARGIN_S = 0.05
# Share of its remaining time in which an offered request must be answered. The rest suffices to
# serve a read here, or to look up the claim of a booking's key.
OFFER_TIME_SHARE = 0.5


@define(eq=False)
class Forwarder:
    """Sends requests to other entries within the bandwidth of the links between regions."""

    place: str
    live: LiveEntryCache
    connections: Connections
    links: LinkAdmission
    metrics: Metrics
    reused_connection_timeout_s: Callable

    def offer(self, request, offer):
        """Offer a request to another entry, which refuses it at once if it would wait too long.

        The exchange takes at most `OFFER_TIME_SHARE` of the remaining time.

        Returns
        -------
        Result[ServerAnswer, Refusal]
            The answer may be that entry's own refusal.
        """
        limit_s = OFFER_TIME_SHARE * _remaining_s(request)
        wait_ms = int(max(0.0, min(offer.wait_limit_s, limit_s)) * MS_PER_S)
        header = ("Figfold-Wait-Limit-Ms", str(wait_ms))
        return self._exchange(request, offer.entry, "spill", limit_s, (header,))

    def forward(self, request, entry, reason):
        """Forward a request to another entry with all of the remaining time.

        Parameters
        ----------
        request : CallerRequest
        entry : EntryView
        reason : str
            Why it is forwarded, for the counters.

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
        answered = self._send(request, entry, _to_wire(request, headers), limit_s)
        if answered.is_ok():
            self.links.charge(entry.place, self.place, answered.ok(), now_s())
            return answered
        self.metrics.count_code(Code.PEER_ENTRY_FAILED, service=request.service)
        outcome = Outcome.UNKNOWN if answered.err().sent else Outcome.NOT_RUN
        message = f"the entry {entry.name} did not answer"
        return Err(refuse(Code.PEER_ENTRY_FAILED, message, "send the request again", outcome))

    def _send(self, request, entry, wire, limit_s):
        address = self.live.reachable_address(entry)
        if request.key:
            # A booking is sent once, and over a new connection, which cannot be stale.
            return self.connections.exchange(address, wire, limit_s, True, entry.name)
        return self._send_with_retry(request, address, wire, limit_s, entry.name)

    def _send_with_retry(self, request, address, wire, limit_s, name):
        """Send over a reused connection, and again over a new one if that fails."""
        started = now_s()
        first_timeout_s = self.reused_connection_timeout_s(request, limit_s)
        answered = self.connections.exchange(address, wire, first_timeout_s, False, name)
        left_s = limit_s - (now_s() - started)
        if answered.is_ok() or answered.err().fresh or left_s <= 0:
            return answered
        self.metrics.count("retries", service=request.service, reason="entry_connection")
        again = self.connections.exchange(address, wire, left_s, True, name)
        if not answered.err().sent or not _certainly_not_executed(again):
            return again
        # The first attempt may have been executed, so its failure decides the outcome.
        return Err(evolve(answered.err(), sent=True))


# Classification of the other entry's answer.


def was_executed(result):
    """Return whether the other entry returned a backend server's answer."""
    return result.is_ok() and _header(result.ok(), OUTCOME_HEADER) == Outcome.RAN.value


def was_not_executed(result):
    """Return whether a forwarded request was refused and certainly not executed."""
    if result.is_err():
        return result.err().outcome is Outcome.NOT_RUN
    return _header(result.ok(), OUTCOME_HEADER) == Outcome.NOT_RUN.value


def lacked_capacity(result):
    """Return whether the other entry refused at once for lack of capacity."""
    return result.is_ok() and _header(result.ok(), CODE_HEADER) == str(int(Code.NO_ROOM))


def _certainly_not_executed(again):
    """Return whether a second attempt was not sent, or was refused without being executed."""
    if again.is_err():
        return not again.err().sent
    return _header(again.ok(), OUTCOME_HEADER) == Outcome.NOT_RUN.value


def _header(answer, header):
    return next((value for name, value in answer.headers if name.lower() == header), "")


def _remaining_s(request):
    return request.deadline_s - now_s() - HANDLING_MARGIN_S


def _to_wire(request, headers):
    """Return method, target, headers and body of a request to another entry."""
    headers = (*request.headers, ("Figfold-Hops", str(request.hops + 1)), *headers)
    if request.key:
        headers += (("Idempotency-Key", request.key),)
        headers += (("Figfold-First-Use", str(int(request.first_use))),)
    return request.method, f"/s/{request.service}{request.target}", headers, request.body
