"""One attempt at a backend server: every request to one passes here."""

from attrs import Factory, define, frozen

from figfold.core.codes import Code
from figfold.core.traffic.attempts import End
from figfold.entry.clock import now_s
from figfold.platform.headers import parse_answer_headers

# A connection to a server that does not answer in this time is taken as failed: the longest way
# there and back between regions, twice.
CONNECT_TIMEOUT_S = 0.4
# After an answer that belongs to another request, used connections to the server are doubtful.
DOUBT_S = 10.0
SERVER_ERROR = 500


@frozen
class AttemptResult:
    """How one attempt ended.

    Attributes
    ----------
    answer : ServerAnswer or None
        The server's answer, a failure of its own included.
    duration_s : float
        From the choice of the server to its answer.
    is_gone : bool
        Whether the server is no longer at its address.
    """

    end: End
    code: Code
    duration_s: float
    answer: object = None
    load: object = None
    is_gone: bool = False
    fresh: bool = True


@define(eq=False)
class Sender:
    """Sends requests to backend servers that may be sent one at that very moment."""

    connections: object
    fleet: object
    _doubt_until_s: dict = Factory(dict)

    def forget(self, server_id):
        """Forget a server that is gone."""
        self._doubt_until_s.pop(server_id, None)

    def send(self, request, choice, time_left_s, fresh=False):
        """Send a request to the chosen server and return an `AttemptResult`."""
        started = now_s()
        if not self.fleet.may_send(choice.server_id):
            # It began to leave, or its data centre is being evacuated, since it was chosen.
            return AttemptResult(End.NOT_SENT, Code.NO_SERVER, 0.0)
        fresh = fresh or started < self._doubt_until_s.get(choice.server_id, 0.0)
        wire = (request.method, request.target, request.headers, request.body)
        result = self.connections.exchange(
            choice.address, wire, time_left_s, fresh, choice.server_id
        )
        duration_s = now_s() - started
        if result.is_err():
            return _of_failure(result.err(), duration_s)
        return self._of_answer(request, choice, result.ok(), duration_s)

    def _of_answer(self, request, choice, answer, duration_s):
        header_by_name = {name.lower(): value for name, value in answer.headers}
        head = parse_answer_headers(
            answer.status, lambda name: header_by_name.get(name.lower()), request.request_id
        )
        if not head.matches_request or not head.is_intact:
            # What else is on its way on these connections belongs to no request either.
            self.connections.discard(choice.address)
            self._doubt_until_s[choice.server_id] = now_s() + DOUBT_S
            if answer.rest is not None:
                answer.rest.close()
            code = Code.FOREIGN_ANSWER if not head.matches_request else Code.SERVER_BAD_ANSWER
            return AttemptResult(End.FAILED, code, duration_s)
        if head.is_not_run:
            code = Code.OTHER_SERVER if head.is_other_server else Code.SERVER_SHED
            return AttemptResult(
                End.NOT_RUN, code, duration_s, None, head.load, head.is_other_server
            )
        failed = answer.status >= SERVER_ERROR
        end = End.ERROR_ANSWERED if failed else End.ANSWERED
        return AttemptResult(end, Code.OK, duration_s, answer, head.load)


def _of_failure(failure, duration_s):
    if not failure.sent:
        return AttemptResult(End.NOT_SENT, failure.code, duration_s)
    return AttemptResult(End.FAILED, failure.code, duration_s, fresh=failure.fresh)
