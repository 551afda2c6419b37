"""Baseline of the measurements: direct requests to backend servers, in plain round robin."""

import time
from collections import Counter

import eventlet
from attrs import Factory, define

from bench.caller import ANSWER_TIMEOUT_S, HTTP_OK, Verdict
from bench.sender import MS_PER_S, IncompleteAnswerError, RequestResult, format_request
from standins.answers import find_body_error


@define
class DirectRoute:
    """Sends requests to the servers of the caller's place, without queues, hedging or classes.

    Attributes
    ----------
    servers_by_group : dict[str, list[list[str]]]
        Name and address of the backend servers by ``service/place``.
    """

    lookups: object
    connection_pool: object
    servers_by_group: dict[str, list[list[str]]]
    fixed_targets: tuple = ()
    _position_by_group: Counter = Factory(Counter)

    def prepare(self, caller):
        """Look up the place of a caller, which is all that later requests use of the result."""
        self.lookups.renew(caller)

    def send(self, caller, work, _deadline_s, name):
        """Send a request to the next server of the caller's place, without retries."""
        targets = self.fixed_targets or self.lookups.targets(caller)
        place = targets[0].place
        server, address = self._next_server(f"{work.service}/{place}")
        delay_s = self.lookups.network.delay_s(caller.region, place)
        headers = [("Figfold-Nonce", name)]
        if work.key:
            headers.append(("Idempotency-Key", work.key))
        request = format_request(work.method, work.path, headers, work.body)
        request_result = RequestResult(place=place, server=server, attempts=1)
        eventlet.sleep(delay_s)
        sent_at = time.monotonic()
        try:
            answer = self.connection_pool.exchange(address, request, ANSWER_TIMEOUT_S)
        except OSError:
            return request_result
        except IncompleteAnswerError:
            request_result.verdict = Verdict.UNKNOWN
            return request_result
        request_result.exchange_ms = (time.monotonic() - sent_at) * MS_PER_S
        request_result.run_ms = float(answer.getheader("Figfold-Run-Ms", "0"))
        request_result.verdict = _classify_answer(answer, work, name)
        eventlet.sleep(delay_s)
        return request_result

    def _next_server(self, group):
        servers = self.servers_by_group[group]
        position = self._position_by_group[group]
        self._position_by_group[group] += 1
        return servers[position % len(servers)]


def _classify_answer(answer, work, nonce):
    if answer.status != HTTP_OK:
        return Verdict.NOT_RUN
    expected = {"service": work.service, "path": work.path, "nonce": nonce}
    return Verdict.WRONG if find_body_error(answer.body, expected) else Verdict.WHOLE
