"""API keys at entries as processes: what callers get, and what backend servers are told."""

import unittest

import eventlet

from bench.platform_deployment import PlatformDeployment, ServiceServers, make_configuration

REGION_BY_PLACE = {"bne-north": "bne", "tsv-port": "tsv"}
BOUND_S = 3.0
# Longest wait of an entry for a change, which the store answers although it is down by then.
FEED_WAIT_S = 1.0
# Time after which a change is in force at an entry that hears of it from a peer.
IN_FORCE_S = 1.5
KEY, KEPT_KEY, OTHER_KEY, UNKNOWN_KEY = "key-1", "key-2", "key-3", "key-4"
CLUB = {"club": {"apiKeys": [KEY, KEPT_KEY]}, "other": {"apiKeys": [OTHER_KEY]}}
PATHS = {"closed": "/closed/1", "open": "/open/1"}


class KeyProcessesTest(unittest.TestCase):
    def setUp(self):
        servers = [ServiceServers("stockview", place, 2) for place in REGION_BY_PLACE]
        self.version = self.requests = 0
        self.deployment = PlatformDeployment(REGION_BY_PLACE, servers, self.configuration(CLUB))
        self.addCleanup(self.deployment.stop)
        for place in REGION_BY_PLACE:
            self.start_entry(place)

    def start_entry(self, place):
        name = f"{place}-{len(self.deployment.entries)}"
        return self.deployment.start_entry(name, place, revocation_bound_s=BOUND_S)

    def configuration(self, organisations):
        self.version += 1
        common = {"service": "stockview", "kind": "safe", "timeoutS": 2.0}
        routes = {
            "open": common | {"prefix": "/open/", "allowAnonymous": True},
            "closed": common | {"prefix": "/closed/"},
        }
        return make_configuration(self.version, routes, organisations)

    def change(self, organisations):
        self.deployment.rows.put("op", "config", self.configuration(organisations))
        eventlet.sleep(IN_FORCE_S)

    def ask(self, entry, path, fields):
        """Return the status of a request, and the headers on keys that its server got."""
        self.requests += 1
        request_id = f"r{self.requests}"
        headers = {"Tenant": "forged"}
        # Names in different cases are different ones for the library of the tests.
        headers |= {
            name: value for name, value in zip(("X-Api-Key", "x-api-key"), fields, strict=False)
        }
        status, _, _ = entry.request(request_id, path=path, **headers)
        told = {
            name: value
            for endpoint in self.deployment.endpoint_by_id.values()
            for _, sent, _ in endpoint.heads
            if sent.get("attempt-id") == request_id
            for name, value in sent.items()
            if name in ("tenant", "x-api-key")
        }
        return status, told

    def check(self, expected_by_keys):
        """Check status and organisation of requests by the values of the key's header."""
        for entry in self.deployment.entries:
            if entry.child.poll() is not None:
                continue
            for fields, expected in expected_by_keys.items():
                for (name, path), (status, organisation) in zip(
                    PATHS.items(), expected, strict=True
                ):
                    with self.subTest(entry=entry.name, fields=fields, route=name):
                        told = {} if organisation is None else {"tenant": organisation}
                        self.assertEqual(self.ask(entry, path, fields), (status, told))

    # Such requests ran as those of callers without a key wherever the route was open.
    def test_keys_that_are_withdrawn_moved_unknown_or_repeated(self):
        refused, as_club = [(401, None)] * 2, [(200, "club")] * 2
        without_key = [(401, None), (200, None)]
        self.check({(KEY,): as_club, (): without_key, ("",): without_key, (UNKNOWN_KEY,): refused})
        self.change({"club": {"apiKeys": [KEPT_KEY]}, "other": {"apiKeys": []}})
        self.check({(KEY,): refused, (OTHER_KEY,): refused, (KEPT_KEY,): as_club, (): without_key})
        self.change({"club": {"apiKeys": []}, "other": {"apiKeys": [KEPT_KEY]}})
        self.check({(KEPT_KEY,): [(200, "other")] * 2, (KEY, KEPT_KEY): refused, (): without_key})

    # The requests of an organisation ran as those of callers without a key.
    def test_keys_that_cannot_be_confirmed(self):
        self.deployment.rows.is_down = True
        eventlet.sleep(FEED_WAIT_S + BOUND_S)
        unconfirmed = [(503, None)] * 2
        without_key = [(503, None), (200, None)]
        self.check({(KEY,): unconfirmed, (UNKNOWN_KEY,): unconfirmed, (): without_key})
        self.deployment.rows.is_down = False
        eventlet.sleep(IN_FORCE_S)
        self.check({(KEY,): [(200, "club")] * 2, (UNKNOWN_KEY,): [(401, None)] * 2})

    # Requests with keys that were taken away ran, and their servers got the keys.
    def test_keys_after_a_configuration_without_organisations(self):
        self.change(None)
        refused, without_key = [(401, None)] * 2, [(200, None)] * 2
        self.check({(KEY,): refused, (UNKNOWN_KEY,): refused, (): without_key})
        self.deployment.entries[0].kill()
        self.start_entry("bne-north")
        self.check({(KEY,): refused, (): without_key})


if __name__ == "__main__":
    unittest.main()
