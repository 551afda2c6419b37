"""Baseline of the measurements: backend servers asked directly, in plain round robin."""

import time
from collections import Counter

import eventlet
from attrs import Factory, define

from bench.caller import ANSWER_TIMEOUT_S, HTTP_OK, Verdict
from bench.sender import MS_PER_S, BrokenError, Ending, format_request
from standins.answers import find_body_error


@define
class DirectRoute:
    """Sends requests to the servers of the caller's place, without queue, hedge or class.

    Attributes
    ----------
    servers_by_group : dict[str, list[list[str]]]
        Name and address of the backend servers by ``service/place``.
    """

    lookups: object
    channels: object
    servers_by_group: dict[str, list[list[str]]]
    fixed_targets: tuple = ()
    _turn_by_group: Counter = Factory(Counter)

    def prepare(self, caller):
        """Look up the place of a caller; later requests only use the place."""
        self.lookups.renew(caller)

    def send(self, caller, work, _deadline_s, name):
        """Send a request to the next server of the caller's place, once."""
        targets = self.fixed_targets or self.lookups.targets(caller)
        place = targets[0].place
        server, address = self._next_server(f"{work.service}/{place}")
        delay_s = self.lookups.network.delay_s(caller.region, place)
        headers = [("Figfold-Nonce", name)]
        if work.key:
            headers.append(("Idempotency-Key", work.key))
        request = format_request(work.method, work.path, headers, work.body)
        ending = Ending(place=place, server=server, attempts=1)
        eventlet.sleep(delay_s)
        sent_at = time.monotonic()
        try:
            answer = self.channels.exchange(address, request, ANSWER_TIMEOUT_S)
        except OSError:
            return ending
        except BrokenError:
            ending.verdict = Verdict.UNKNOWN
            return ending
        ending.exchange_ms = (time.monotonic() - sent_at) * MS_PER_S
        ending.run_ms = float(answer.getheader("Figfold-Run-Ms", "0"))
        ending.verdict = _judge(answer, work, name)
        eventlet.sleep(delay_s)
        return ending

    def _next_server(self, group):
        servers = self.servers_by_group[group]
        turn = self._turn_by_group[group]
        self._turn_by_group[group] += 1
        return servers[turn % len(servers)]


def _judge(answer, work, nonce):
    if answer.status != HTTP_OK:
        return Verdict.NOT_RUN
    expected = {"service": work.service, "path": work.path, "nonce": nonce}
    return Verdict.WRONG if find_body_error(answer.body, expected) else Verdict.WHOLE
