"""Requests that cannot be served now, without a network: waiting, refusals and retry times."""

import time
import unittest
from math import inf
from types import SimpleNamespace
from unittest.mock import Mock, patch

import eventlet

from figfold.core.codes import Code
from figfold.core.traffic.configuration import Configuration, Repeatability, Route, ServiceWeight
from figfold.core.traffic.selection import ServerChoice
from figfold.core.traffic.splitting import ServiceSplitter
from figfold.gateway.cluster_view import ClusterView
from figfold.gateway.request_run import RETRY_AFTER_S, RequestRun
from figfold.gateway.request_runner import START_WAIT_S, RequestRunner
from figfold.gateway.requests import GatewayRequest

TIMEOUT_S = 2.5
NOW_S = 100.0


def make_run(choice, timeout_s=TIMEOUT_S, caller_s=4.0, limit_wait_s=0.0):
    runner = Mock(answers_until_s=inf)
    runner.settings.region_balancing = False
    runner.settings.hedge_ratio = 0.0
    runner.selector.choose.return_value = choice
    runner.selector.limit_wait_s.return_value = limit_wait_s
    runner.overflow_limiter.try_acquire.return_value = False
    runner.hide_key.side_effect = lambda request, _organisation: request
    runner.cluster.regions_with_free_slots.return_value = ()
    request = GatewayRequest(
        request_id="r1",
        method="GET",
        target="/a/1",
        host="h",
        path="/a/1",
        headers=(),
        body=b"",
        arrived_s=NOW_S,
        caller_deadline_s=NOW_S + caller_s,
        key="k",
        fingerprint="f",
    )
    services = (ServiceWeight("stock", 1.0),)
    route = Route("read", "h", "/a/", Repeatability.SAFE, services, timeout_s=timeout_s)
    return RequestRun(runner, request, route, "stock", SimpleNamespace(version=1))


def choice_expected_in(expected_s):
    return ServerChoice("s1", "10.0.0.1:80", expected_s, 0.2, True, will_queue=True)


class FullServersTest(unittest.TestCase):
    """The queue of every server for the object is longer than the request's time limit."""

    def refuse(self, choice):
        with patch("figfold.gateway.request_run.now_s", lambda: NOW_S):
            return make_run(choice).execute().err()

    def test_retry_time_is_when_the_queue_will_be_short_enough(self):
        refusal = self.refuse(choice_expected_in(TIMEOUT_S + 0.9))
        self.assertIs(Code.DEADLINE_TOO_SHORT, refusal.code)
        self.assertTrue(refusal.is_not_run)
        self.assertAlmostEqual(0.9, refusal.retry_after_s, 3)

    def test_longer_queues_give_longer_retry_times(self):
        times = [
            self.refuse(choice_expected_in(TIMEOUT_S + more)).retry_after_s
            for more in (0.5, 1.0, 2.0)
        ]
        self.assertEqual(sorted(set(times)), times)

    def test_retry_time_has_a_minimum(self):
        self.assertEqual(
            RETRY_AFTER_S, self.refuse(choice_expected_in(TIMEOUT_S + 0.01)).retry_after_s
        )
        self.assertEqual(RETRY_AFTER_S, self.refuse(None).retry_after_s)

    # A request that every server's limit forbids must not wait for its timeout.
    def test_request_is_refused_at_once_until_a_limit_permits_it(self):
        with patch("figfold.gateway.request_run.now_s", lambda: NOW_S):
            refusal = make_run(None, limit_wait_s=1.4).execute().err()
        self.assertIs(Code.SERVERS_LIMITED, refusal.code)
        self.assertTrue(refusal.is_not_run)
        self.assertAlmostEqual(1.4, refusal.retry_after_s, 3)


class StartupTest(unittest.TestCase):
    """Requests reach an entry before it has read the configuration and the servers."""

    def setUp(self):
        settings = SimpleNamespace(name="e", place="a", region_by_place={"a": "r"})
        self.cluster = ClusterView.from_config(settings, Mock(), lambda _version: None)
        self.runner = RequestRunner(
            cluster=self.cluster,
            selector=None,
            sender=None,
            splitter=ServiceSplitter(),
            quarantine=Mock(),
            metrics=Mock(),
            log=Mock(),
            settings=None,
            on_suspected_crash=None,
            region_shares=Mock(),
        )
        self.request = make_run(None).request

    def serve(self):
        return self.runner.serve(self.request, lambda _on_disconnect: lambda: None)

    def test_request_waits_for_the_first_read_of_the_store(self):
        served = eventlet.spawn(self.serve)
        eventlet.sleep(0)
        self.cluster.apply_configuration(Configuration(1, {}, {}), b"", "store")
        eventlet.sleep(0)
        self.cluster.fleet.is_loaded = True
        self.cluster.notify_change()
        # NO_ROUTE shows that the request was matched against the configuration.
        self.assertIs(Code.NO_ROUTE, served.wait().err().code)

    def test_request_is_refused_if_the_store_is_not_read_in_time(self):
        started = time.monotonic()
        refusal = self.serve().err()
        self.assertIs(Code.NO_CONFIGURATION, refusal.code)
        self.assertTrue(refusal.is_not_run)
        self.assertGreaterEqual(time.monotonic() - started, START_WAIT_S - 0.1)


if __name__ == "__main__":
    unittest.main()
