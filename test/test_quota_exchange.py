"""Limits of organisations at the gateway: exchange between entries, waits and refusals."""

import unittest
from collections import Counter
from types import SimpleNamespace
from unittest.mock import Mock

import eventlet
from attrs import evolve

from figfold.core.codes import Code
from figfold.core.organisations.organisation import Organisation, key_digest
from figfold.core.quotas.limiter import ADMITTED, Admission
from figfold.core.quotas.limits import BASE_DELAY_S
from figfold.core.traffic.configuration import Configuration, Repeatability, Route, ServiceWeight
from figfold.gateway.apps import _status
from figfold.gateway.quota_exchange import ASK_WAIT_S, INTERVAL_S
from figfold.gateway.request_runner import RequestRunner
from figfold.gateway.requests import RequestFailure
from test.test_gateway_run import make_run
from test.virtual import run_virtual
from test.virtual_gateway import VirtualFleet

REGION_BY_PLACE = {"a1": "a", "b1": "b", "c1": "c"}
LIMIT = {"post": {"apiKeys": ["key"], "ratePerS": 100, "burst": 50}}
SETTLED_S = BASE_DELAY_S + 2.0


def run_fleet(test, organisations=LIMIT, entries_per_place=3):
    """Run a test with a `VirtualFleet` whose entries have exchanged their shares."""

    def run(hub):
        fleet = VirtualFleet.from_places(hub, REGION_BY_PLACE, 0.055, entries_per_place, 1)
        fleet.put_configuration(2, organisations=organisations)
        eventlet.sleep(SETTLED_S)
        test(fleet)

    run_virtual(run)


def send_load(fleet, entry, per_s, duration_s):
    """Make requests at one entry; return the results, and the longest wait for one."""
    results, waits = Counter(), [0.0]
    organisation = fleet.gateway_by_entry[entry].cluster.configuration.organisation_by_name["post"]

    def send():
        started = fleet.hub.now
        admission = fleet.gateway_by_entry[entry].quota_exchange.acquire(organisation)
        results[admission.is_admitted] += 1
        waits.append(fleet.hub.now - started)

    for _ in range(int(per_s * duration_s)):
        fleet.hub.run_as(fleet.process_by_entry[entry], eventlet.spawn_n, send)
        eventlet.sleep(1.0 / per_s)
    eventlet.sleep(ASK_WAIT_S)
    return results, max(waits)


def quota_calls(fleet):
    """Return the requests that quota holders have received."""
    return sum(
        value
        for gateway in fleet.gateway_by_entry.values()
        for (name, _), value in gateway.metrics.value_by_counter.items()
        if name == "quota_requests"
    )


class ExchangeTest(unittest.TestCase):
    def test_a_deployment_without_limits_exchanges_nothing(self):
        def test(fleet):
            eventlet.sleep(5.0)
            self.assertEqual(0, quota_calls(fleet))
            for gateway in fleet.gateway_by_entry.values():
                self.assertFalse(gateway.quota_exchange.is_running)

        run_fleet(test, None)
        run_fleet(test, {"post": {"apiKeys": ["key"], "priority": 1}})

    def test_the_exchange_ends_with_the_last_limit(self):
        def test(fleet):
            self.assertGreater(quota_calls(fleet), 0)
            fleet.put_configuration(3, organisations={"post": {"apiKeys": ["key"]}})
            eventlet.sleep(5.0)
            calls = quota_calls(fleet)
            eventlet.sleep(5.0)
            self.assertEqual(calls, quota_calls(fleet))

        run_fleet(test)

    def test_a_hot_entry_gets_nine_tenths_of_the_limit_and_no_request_waits_long(self):
        def test(fleet):
            send_load(fleet, "b1-e1", 150.0, 2.0)
            results, wait_s = send_load(fleet, "b1-e1", 150.0, 4.0)
            self.assertGreaterEqual(results[True], 0.9 * 400)
            self.assertLessEqual(results[True], 400 + 50)
            self.assertLessEqual(wait_s, ASK_WAIT_S + 1e-6)

        run_fleet(test)

    def test_the_first_request_at_an_entry_is_admitted(self):
        def test(fleet):
            for entry in sorted(fleet.gateway_by_entry):
                results, wait_s = send_load(fleet, entry, 1.0, 1.0)
                self.assertEqual(1, results[True], entry)
                self.assertLessEqual(wait_s, ASK_WAIT_S)

        run_fleet(test)

    def test_a_region_goes_on_after_its_quota_holder_was_killed(self):
        def test(fleet):
            holder = fleet.gateway_by_entry["a1-e0"].quota_exchange._choose_holder()
            other = next(one for one in ("a1-e0", "a1-e1", "a1-e2") if one != holder)
            send_load(fleet, other, 40.0, 2.0)
            fleet.kill(holder)
            send_load(fleet, other, 40.0, 5.0)
            results, wait_s = send_load(fleet, other, 40.0, 4.0)
            self.assertGreaterEqual(results[True], 0.9 * 160)
            self.assertLessEqual(wait_s, ASK_WAIT_S + 1e-6)

        run_fleet(test)

    def test_an_entry_that_reaches_nobody_refuses_what_its_share_does_not_bear(self):
        def test(fleet):
            fleet.isolated.add("c1-e0")
            eventlet.sleep(4.0)
            results, wait_s = send_load(fleet, "c1-e0", 50.0, 4.0)
            self.assertAlmostEqual(4 * 100 / 9, results[True], delta=8)
            self.assertLessEqual(wait_s, ASK_WAIT_S + 1e-6)

        run_fleet(test)

    def test_idle_entries_send_two_requests_a_second(self):
        def test(fleet):
            calls = quota_calls(fleet)
            eventlet.sleep(20.0)
            self.assertLessEqual(quota_calls(fleet) - calls, 9 * 20 * 0.5 / INTERVAL_S + 9)

        run_fleet(test)


class ServeTest(unittest.TestCase):
    """A request beyond the limit would reach a server or a queue, or get another status."""

    def serve(self, organisation, admission):
        services = (ServiceWeight("stock", 1.0),)
        route = Route("read", "h", "/a/", Repeatability.SAFE, services)
        configuration = Configuration(
            1,
            {"read": route},
            {},
            organisation_by_name={organisation.name: organisation},
            has_organisations=True,
        )
        self.splitter, self.acquire = Mock(), Mock(return_value=admission)
        self.splitter.choose.side_effect = RuntimeError("a service is chosen")
        runner = RequestRunner(
            cluster=Mock(configuration=configuration, operator_age_s=lambda _now: 0.0),
            selector=None,
            sender=None,
            splitter=self.splitter,
            quarantine=Mock(is_quarantined=lambda _fingerprint, _now: False),
            metrics=Mock(),
            log=Mock(),
            settings=SimpleNamespace(revocation_bound_s=0.0),
            on_suspected_crash=None,
            region_shares=Mock(),
            acquire_quota=self.acquire,
        )
        request = evolve(make_run(None).request, key_digest=key_digest("key"))
        return runner.serve(request, lambda _on_disconnect: lambda: None)

    def test_a_request_beyond_the_limit_is_refused_before_a_service_is_chosen(self):
        organisation = Organisation("post", frozenset((key_digest("key"),)), rate_per_s=1.0)
        refusal = self.serve(organisation, Admission(False, 1.25)).err()
        self.assertIs(Code.OVER_LIMIT, refusal.code)
        self.assertTrue(refusal.is_not_run)
        self.assertEqual(1.25, refusal.retry_after_s)
        self.assertEqual("429 Too Many Requests", _status(refusal))
        self.splitter.choose.assert_not_called()

    def test_each_request_is_counted_once_and_those_without_a_limit_never(self):
        limited = Organisation("post", frozenset((key_digest("key"),)), rate_per_s=1.0)
        for organisation, calls in ((limited, 1), (evolve(limited, rate_per_s=0.0), 0)):
            with self.assertRaisesRegex(RuntimeError, "a service is chosen"):
                self.serve(organisation, ADMITTED)
            self.assertEqual(calls, self.acquire.call_count)

    def test_other_refusals_keep_their_status(self):
        failure = RequestFailure(Code.KEYS_UNCONFIRMED, True, "unconfirmed-keys")
        self.assertEqual("503 Service Unavailable", _status(failure))


if __name__ == "__main__":
    unittest.main()
