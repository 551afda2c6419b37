"""Sends requests to backend servers and reads their answers, one attempt at a time."""

from attrs import Factory, define, frozen

from figfold.core.codes import Code
from figfold.core.traffic.retry_decision import AttemptOutcome
from figfold.entry.clock import now_s
from figfold.platform.headers import RATE_LIMIT, AnswerHeaders, parse_answer_headers

# Twice the longest round trip between regions.
CONNECT_TIMEOUT_S = 0.4
# Time without reuse of connections to a server after an answer of it that was malformed or
# belonged to another request.
NO_REUSE_S = 10.0
# Time without reuse of connections to a service, for requests that may run at most once, after one
# of its servers has refused a request without naming it.
UNNAMED_REFUSALS_S = 60.0
MIN_SERVER_ERROR_STATUS = 500


@frozen
class AttemptResult:
    """Result of one attempt.

    Attributes
    ----------
    answer : ServerAnswer or None
        The server's answer, which may be an error of its own.
    duration_s : float
        From the start of sending to the answer or the failure.
    fresh : bool
        Whether the connection was opened for this attempt.
    head : AnswerHeaders or None
        What the headers of the server's answer state; None without a valid answer.
    connection_number : int
        Number of the connection among those opened by the process; 0 if none was opened.
    """

    outcome: AttemptOutcome
    code: Code
    duration_s: float
    answer: object = None
    fresh: bool = True
    head: AnswerHeaders | None = None
    connection_number: int = 0

    @property
    def load(self):
        """Load that the server has reported in its answer, or None."""
        return self.head.load if self.head is not None else None

    @property
    def is_other_server(self):
        """Whether the address belongs to another server now, as the answer states."""
        return self.head is not None and self.head.is_other_server


@define(eq=False)
class Sender:
    """Sends requests to backend servers, unless the fleet no longer permits it.

    Attributes
    ----------
    limits : ServerLimits
    part_of_limit : callable
        ``(server_id) -> float``, this entry's part of a server's limit.
    """

    connections: object
    fleet: object
    limits: object
    part_of_limit: object
    log: object
    _no_reuse_until_s: dict = Factory(dict)
    _unnamed_until_s_by_service: dict = Factory(dict)

    def remove_server(self, server_id):
        """Drop the state of a server that was removed from the fleet."""
        self._no_reuse_until_s.pop(server_id, None)

    def send(self, request, choice, time_left_s, service, is_repeatable, needs_fresh=False):
        """Send a request to the chosen server and return an `AttemptResult`.

        A request that may run at most once gets a new connection if servers of the service refuse
        without an id, since only there such a refusal is certain to be its own.
        """
        started = now_s()
        if not self.fleet.accepts_requests(choice.server_id):
            # Since it was chosen, it has started to leave or its data centre is being evacuated.
            return AttemptResult(AttemptOutcome.NOT_SENT, Code.NO_SERVER, 0.0)
        fresh = (
            needs_fresh
            or started < self._no_reuse_until_s.get(choice.server_id, 0.0)
            or (not is_repeatable and started < self._unnamed_until_s_by_service.get(service, 0.0))
        )
        message = (request.method, request.target, request.headers, request.body)
        result = self.connections.exchange(
            choice.address, message, time_left_s, fresh, choice.server_id
        )
        duration_s = now_s() - started
        if result.is_err():
            return _result_of_failure(result.err(), duration_s)
        answer = result.ok()
        header_by_name = {name.lower(): value for name, value in answer.headers}
        head = parse_answer_headers(
            answer.status, lambda name: header_by_name.get(name.lower()), request.request_id
        )
        if head.is_not_run and not head.is_named:
            self._unnamed_until_s_by_service[service] = now_s() + UNNAMED_REFUSALS_S
            if not is_repeatable and not _is_certain(head, answer.is_fresh, choice.server_id):
                code = Code.FOREIGN_ANSWER
                return self._reject_answer(request, choice, head, answer, code, duration_s)
        return self._result_of_answer(request, choice, head, answer, duration_s, is_repeatable)

    def _result_of_answer(self, request, choice, head, answer, duration_s, is_repeatable):
        if not head.matches_request or not head.is_intact:
            # Other data on these connections may belong to no request, or to the wrong one.
            self.connections.discard(choice.address)
            self._no_reuse_until_s[choice.server_id] = now_s() + NO_REUSE_S
            code = Code.FOREIGN_ANSWER if not head.matches_request else Code.SERVER_BAD_ANSWER
            return self._reject_answer(request, choice, head, answer, code, duration_s)
        if not head.is_other_server:
            self._apply_notices(request, choice, head)
        if head.is_not_run:
            code = Code.OTHER_SERVER if head.is_other_server else Code.SERVER_SHED
            return AttemptResult(
                AttemptOutcome.NOT_RUN,
                code,
                duration_s,
                fresh=answer.is_fresh,
                head=head,
                connection_number=answer.connection_number,
            )
        if head.is_unproven_refusal and not is_repeatable:
            # The caller would take the status for the entry's own promise and send it again.
            code = Code.UNPROVEN_REFUSAL
            return self._reject_answer(request, choice, head, answer, code, duration_s)
        failed = answer.status >= MIN_SERVER_ERROR_STATUS
        outcome = AttemptOutcome.ERROR_ANSWERED if failed else AttemptOutcome.ANSWERED
        return AttemptResult(
            outcome,
            Code.OK,
            duration_s,
            answer,
            answer.is_fresh,
            head,
            answer.connection_number,
        )

    def _reject_answer(self, request, choice, head, answer, code, duration_s):
        """Log and close an answer that is not used, and return the attempt as failed."""
        if answer.rest is not None:
            answer.rest.close()
        self.log.bind(
            id=request.request_id,
            server=choice.server_id,
            code=int(code),
            status=answer.status,
            named=head.is_named,
            not_run=head.is_not_run,
            fresh=answer.is_fresh,
            connection=answer.connection_number,
        ).info("answer-rejected")
        return AttemptResult(
            AttemptOutcome.FAILED,
            code,
            duration_s,
            fresh=answer.is_fresh,
            connection_number=answer.connection_number,
        )

    def _apply_notices(self, request, choice, head):
        """Apply what the server states about itself in an answer."""
        log = self.log.bind(id=request.request_id, server=choice.server_id)
        if head.malformed:
            log.bind(headers=head.malformed).warning("answer-header-unreadable")
        if head.is_leaving and self.fleet.mark_leaving(choice.server_id, choice.started_ms):
            log.info("server-announced-leaving")
        if head.pause_s > 0.0:
            self.limits.pause(choice.server_id, choice.started_ms, head.pause_s, now_s())
            log.bind(pause_s=head.pause_s).info("server-paused")
        if RATE_LIMIT not in head.malformed:
            self._apply_limit(choice, head.rate_limit_per_s, log)

    def _apply_limit(self, choice, per_s, log):
        part = self.part_of_limit(choice.server_id) if per_s is not None else 0.0
        known_per_s = self.limits.name_limit(
            choice.server_id, choice.started_ms, per_s, part, now_s()
        )
        if known_per_s != per_s:
            log.bind(per_s=per_s, before=known_per_s, part=round(part, 4)).info("server-limit")


def _is_certain(head, is_fresh, server_id):
    """Return whether a refusal without an id shows that the latest request was not run.

    On a used connection, it may have followed the answer to an earlier request. Another server, on
    the other hand, has run nothing that was addressed to this one.
    """
    is_other = head.is_other_server and head.answering_server not in ("", server_id)
    return is_fresh or is_other


def _result_of_failure(failure, duration_s):
    if not failure.sent:
        return AttemptResult(AttemptOutcome.NOT_SENT, failure.code, duration_s)
    return AttemptResult(
        AttemptOutcome.FAILED,
        failure.code,
        duration_s,
        fresh=failure.fresh,
        connection_number=failure.connection_number,
    )
