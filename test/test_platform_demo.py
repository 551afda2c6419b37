"""Checks of the demo on the platform, and addresses of its entries."""

import contextlib
import io
import unittest

from bench import platform_deployment
from bench.platform_demo import PlatformDemo


class DemoChecksTest(unittest.TestCase):
    def setUp(self):
        self.demo = PlatformDemo("carrick", 1)
        self.addCleanup(self.demo.stop)
        self.endpoint = next(iter(self.demo.deployment.endpoint_by_id.values()))

    def check(self, outcome, runs):
        self.demo.failures.clear()
        self.demo._bookings = {"book-1": outcome}
        self.endpoint.runs["book-1"] = runs
        with contextlib.redirect_stdout(io.StringIO()):
            self.demo._check_bookings()
        return bool(self.demo.failures)

    def test_bookings_are_compared_with_how_often_they_ran(self):
        for outcome, runs, is_failure in (
            ("whole", 1, False),
            ("whole", 0, True),
            ("whole", 2, True),
            ("not run", 0, False),
            ("not run", 1, True),
            ("unknown", 0, False),
            ("unknown", 1, False),
            ("unknown", 2, True),
        ):
            with self.subTest(outcome=outcome, runs=runs):
                self.assertIs(is_failure, self.check(outcome, runs))

    def test_every_service_has_servers_in_every_data_centre(self):
        endpoints = self.demo.deployment.endpoint_by_id.values()
        found = {(endpoint.service, endpoint.place) for endpoint in endpoints}
        self.assertEqual(len(self.demo.services) * len(self.demo.places), len(found))


class AddressTest(unittest.TestCase):
    def test_no_address_is_returned_twice_or_used_by_outgoing_connections(self):
        addresses = [platform_deployment._free_address() for _ in range(300)]
        self.assertEqual(len(addresses), len(set(addresses)))
        for address in addresses:
            self.assertFalse(address.startswith("127.0.0.1:"))


if __name__ == "__main__":
    unittest.main()
