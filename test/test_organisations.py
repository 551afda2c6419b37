"""Organisations: API keys, homes, priorities, and keys that were withdrawn."""

import itertools
import json
import unittest
from functools import partial
from types import SimpleNamespace
from unittest.mock import Mock, patch

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger
from result import Ok

from figfold.core.codes import Code
from figfold.core.organisations.access import (
    REVOCATION_MARGIN_S,
    Access,
    KeyUse,
    are_keys_confirmed,
    decide_access,
)
from figfold.core.organisations.organisation import (
    Organisation,
    common_homes,
    key_digest,
)
from figfold.core.traffic.configuration import (
    Configuration,
    Repeatability,
    Route,
    ServiceWeight,
)
from figfold.core.traffic.fleet import Fleet, FleetUpdate
from figfold.core.traffic.splitting import ServiceSplitter
from figfold.entry.clock import use_clock
from figfold.entry.metrics import Metrics
from figfold.gateway.apps import NOT_RUN_STATUS, _status
from figfold.gateway.cluster_view import ClusterView
from figfold.gateway.process import GatewayProcess
from figfold.gateway.request_runner import RequestRunner
from figfold.gateway.requests import GatewayRequest, RequestFailure
from figfold.gateway.store_reader import StoreReader
from figfold.gateway.store_sync import StoreSync
from figfold.platform.decoding import StoredRow, decode_configuration
from figfold.platform.headers import (
    make_lookup,
    parse_request_headers,
    with_organisation,
)
from figfold.platform.rows import RowBatch
from figfold.platform.tables import decode_configuration_text, read_operator_rows
from figfold.wire.messages import KnowledgeReply

BOUND_S = 5.0
KEY = "2rrytapjsujqurtyiikd"
OTHER_KEY = "rbn4ryrbbkf83fgfwrz5"


def platform_configuration(organisations, version=7, **route_fields):
    route = {
        "host": "h",
        "prefix": "/a/",
        "kind": "safe",
        "timeoutS": 2.5,
        "service": "stock",
        "maxAttempts": 2,
    }
    value = {
        "version": f"r{version}",
        "routes": {"read": route | route_fields},
        "services": {"stock": {}},
        "limits": {},
    }
    return value if organisations is None else value | {"tenants": organisations}


def decode(organisations, **route_fields):
    return decode_configuration(platform_configuration(organisations, **route_fields)).unwrap()


def operator_row(value, version=1):
    return StoredRow("op", "config", json.dumps(value).encode(), version)


class DecodingTest(unittest.TestCase):
    def test_fields(self):
        configuration = decode(
            {
                "acme": {
                    "apiKeys": [KEY, OTHER_KEY],
                    "priority": 0,
                    "ratePerS": 461,
                    "burst": 20,
                    "homeRegions": ["syd"],
                },
                "plain": {"apiKeys": []},
            },
            allowAnonymous=True,
        )
        acme = configuration.organisation_of(key_digest(OTHER_KEY))
        self.assertEqual(
            (acme.name, acme.priority, acme.rate_per_s, acme.burst), ("acme", 0, 461, 20)
        )
        self.assertEqual(acme.home_regions, {"syd"})
        plain = configuration.organisation_by_name["plain"]
        self.assertEqual((plain.priority, plain.rate_per_s), (None, 0.0))
        self.assertTrue(configuration.route_by_name["read"].allows_anonymous)

    # A configuration that drops its last organisation would otherwise open all routes.
    def test_empty_table_of_organisations_still_demands_keys(self):
        self.assertTrue(decode({}).has_organisations)
        self.assertFalse(decode(None).has_organisations)

    def test_odd_organisation_is_left_out_alone(self):
        odd_items = (None, 3, [], {"apiKeys": "x"}, {"apiKeys": [3]}, {"apiKeys": [""]})
        odd_items += ({"ratePerS": -1}, {"ratePerS": "x"}, {"priority": True}, {"burst": 1e300})
        odd_items += ({"homeRegions": "syd"}, {"homeRegions": [1]})
        for item in odd_items:
            configuration = decode({"odd": item, "acme": {"apiKeys": [KEY]}})
            self.assertEqual(set(configuration.organisation_by_name), {"acme"}, item)
            (failure,) = configuration.failures
            self.assertIn("'odd'", failure.message)
        self.assertEqual(decode({"no name": {"apiKeys": [KEY]}}).organisation_by_name, {})
        self.assertTrue(decode_configuration(platform_configuration([])).is_err())

    def test_key_of_two_organisations_is_accepted_for_neither(self):
        configuration = decode({"acme": {"apiKeys": [KEY, OTHER_KEY]}, "other": {"apiKeys": [KEY]}})
        self.assertIsNone(configuration.organisation_of(key_digest(KEY)))
        self.assertEqual(configuration.organisation_of(key_digest(OTHER_KEY)).name, "acme")
        (failure,) = configuration.failures
        self.assertIn("acme", failure.message)
        self.assertIn("other", failure.message)
        self.assertNotIn(KEY, str(failure))

    # Entries pass the configuration on to each other.
    def test_keys_do_not_reach_peers(self):
        value = platform_configuration(
            {"acme": {"apiKeys": [KEY], "burst": 3}, "odd": {"apiKeys": [OTHER_KEY, 3]}}
        )
        update = read_operator_rows((operator_row(value),))
        self.assertNotIn(KEY.encode(), update.configuration_text)
        self.assertNotIn(OTHER_KEY.encode(), update.configuration_text)
        passed_on = decode_configuration_text(update.configuration_text).unwrap()
        self.assertEqual(passed_on.organisation_by_name, update.configuration.organisation_by_name)
        self.assertEqual(passed_on.organisation_of(key_digest(KEY)).burst, 3)
        self.assertFalse(any(OTHER_KEY in str(one) for one in update.failures))

    def test_configuration_without_organisations_passes_as_it_was_written(self):
        row = operator_row(platform_configuration(None))
        self.assertEqual(read_operator_rows((row,)).configuration_text, row.data)

    # A look through all keys would make each request dearer with each organisation.
    def test_cost_of_a_key_does_not_grow_with_the_number_of_keys(self):
        class CountingDigest(str):
            __slots__ = ("compared",)
            __hash__ = str.__hash__

            def __eq__(self, other):
                self.compared = getattr(self, "compared", 0) + 1
                return str.__eq__(self, other)

        for count in (1, 10_000):
            organisations = {
                f"o{i}": Organisation(f"o{i}", frozenset([key_digest(f"k{i}")]))
                for i in range(count)
            }
            configuration = Configuration(1, {}, {}, organisation_by_name=organisations)
            digest = CountingDigest(key_digest("k0"))
            self.assertEqual(configuration.organisation_of(digest).name, "o0")
            self.assertLessEqual(digest.compared, 2)


class HeadersTest(unittest.TestCase):
    def test_key_ends_at_the_entry_and_the_caller_names_no_organisation(self):
        sent = (("Host", "h"), ("x-api-KEY", KEY), ("tenant", "forged"), ("A", "b"))
        self.assertEqual(
            with_organisation(sent, "acme"), (("Host", "h"), ("A", "b"), ("Tenant", "acme"))
        )
        self.assertEqual(with_organisation(sent, None), (("Host", "h"), ("A", "b")))

    def test_key_is_kept_as_a_digest_alone(self):
        head = parse_request_headers({"X-Api-Key": KEY}.get)
        self.assertEqual(head.key_digest, key_digest(KEY))
        self.assertNotIn(KEY, repr(head))
        self.assertEqual(parse_request_headers({}.get).key_digest, "")

    # The last line decided, whatever stood before it.
    def test_several_lines_of_the_key_hold_no_key(self):
        digests = {key_digest(KEY), key_digest(OTHER_KEY), ""}
        for lines in ((OTHER_KEY, KEY), (KEY, OTHER_KEY), (KEY, KEY), ("", KEY), (KEY, "")):
            get = make_lookup([("x-api-key", one) for one in lines])
            self.assertNotIn(parse_request_headers(get).key_digest, digests, lines)
        for lines in ((), ("",), ("", "")):
            get = make_lookup([("X-Api-Key", one) for one in lines])
            self.assertEqual(parse_request_headers(get).key_digest, "")


class HomesTest(unittest.TestCase):
    @given(st.frozensets(st.sampled_from("abc")), st.frozensets(st.sampled_from("abc")))
    def test_both_homes_bind(self, route_homes, organisation_homes):
        homes = common_homes(route_homes, organisation_homes)
        for region in "abc":
            is_allowed = all(not one or region in one for one in (route_homes, organisation_homes))
            self.assertEqual(homes is not None and (not homes or region in homes), is_allowed)


class AccessTest(unittest.TestCase):
    def access(self, digest, is_open=False, is_confirmed=True):
        configuration = decode({"acme": {"apiKeys": [KEY]}}, allowAnonymous=is_open)
        route = configuration.route_by_name["read"]
        decision = decide_access(configuration, route, digest, is_confirmed)
        return decision.access, decision.organisation and decision.organisation.name

    def test_key_names_its_organisation_on_every_route(self):
        self.assertEqual(self.access(key_digest(KEY)), (Access.ALLOWED, "acme"))
        self.assertEqual(self.access(key_digest(KEY), is_open=True), (Access.ALLOWED, "acme"))

    def test_missing_key_is_refused_unless_the_route_is_open(self):
        self.assertEqual(self.access(""), (Access.UNKNOWN_KEY, None))
        self.assertEqual(self.access("", is_open=True), (Access.ALLOWED, None))

    # A key that was withdrawn, or never known, went on working on open routes.
    def test_unknown_key_is_refused_on_every_route(self):
        for is_open in (False, True):
            self.assertEqual(
                self.access(key_digest("unknown"), is_open), (Access.UNKNOWN_KEY, None)
            )

    def test_open_routes_go_on_without_a_key_while_keys_are_unconfirmed(self):
        expected = (Access.UNCONFIRMED_KEYS, None)
        self.assertEqual(self.access("", is_confirmed=False), expected)
        self.assertEqual(self.access("", True, is_confirmed=False), (Access.ALLOWED, None))

    # The request of an organisation ran as that of a caller without a key.
    def test_unconfirmed_key_is_refused_on_every_route(self):
        expected = (Access.UNCONFIRMED_KEYS, None)
        for is_open in (False, True):
            self.assertEqual(self.access(key_digest(KEY), is_open, is_confirmed=False), expected)

    def test_no_bound_confirms_keys_of_any_age(self):
        self.assertTrue(are_keys_confirmed(1e6, 0.0))
        self.assertTrue(are_keys_confirmed(BOUND_S - REVOCATION_MARGIN_S - 0.01, BOUND_S))
        self.assertFalse(are_keys_confirmed(BOUND_S - REVOCATION_MARGIN_S, BOUND_S))


class FakeStore:
    """Returns prepared answers for the operator's rows, each after the time that it takes."""

    def __init__(self, clock):
        self.clock = clock
        self.rows = ()
        self.takes_s = 0.0

    def read_changes(self, _table, _after, _wait_s):
        self.clock.now_s += self.takes_s
        rows, self.rows = self.rows, ()
        return Ok(RowBatch(rows, 5, 0.0))

    def read_table(self, table):
        return self.read_changes(table, 0, 0.0)


class EntryTest(unittest.TestCase):
    """An entry with a runner whose clock, store and peers are those of the test."""

    def setUp(self):
        logger.remove()
        self.clock = SimpleNamespace(now_s=100.0)
        use_clock(monotonic=lambda: self.clock.now_s)
        self.addCleanup(use_clock)
        self.cluster = ClusterView("e1", "a1", {"a1": "a"}, logger, Fleet(), lambda _version: None)
        self.cluster.fleet.is_loaded = True
        self.store = FakeStore(self.clock)
        settings = SimpleNamespace(
            configuration_wait_s=1.0,
            revocation_bound_s=BOUND_S,
            admission=False,
            hedge_ratio=0.0,
            retry_window_s=10.0,
            retry_ratio=0.2,
            retry_slack=10.0,
        )
        self.reader = StoreReader(
            self.store,
            self.cluster,
            settings,
            Metrics(),
            logger,
            on_confirmed=lambda _version, _started_s: None,
            on_server_removed=lambda _id: None,
        )
        self.sync = StoreSync(
            settings, self.cluster, self.reader, None, Metrics(), logger, 1, Mock()
        )
        self.runner = RequestRunner(
            cluster=self.cluster,
            selector=Mock(),
            sender=None,
            splitter=ServiceSplitter(),
            quarantine=Mock(),
            metrics=Metrics(),
            log=logger,
            settings=settings,
            on_suspected_crash=None,
            region_shares=Mock(),
        )
        self.runner.quarantine.is_quarantined.return_value = False

    def read(self, organisations=None, version=7, takes_s=0.0, value=None, **route_fields):
        """Let the entry read the operator's rows, with a new version if one is given."""
        if organisations is not None:
            value = platform_configuration(organisations, version, **route_fields)
        self.store.rows = () if value is None else (operator_row(value, version),)
        self.store.takes_s = takes_s
        self.reader.read_operator_changes()

    def make_request(self, headers, digest):
        """Return a request with headers and the digest of an API key."""
        return GatewayRequest(
            request_id="r1",
            method="GET",
            target="/a/1",
            host="h",
            path="/a/1",
            headers=headers,
            body=b"",
            arrived_s=self.clock.now_s,
            caller_deadline_s=self.clock.now_s + 4.0,
            key="k",
            fingerprint="f",
            key_digest=digest,
        )

    def serve(self, api_key=KEY, step=lambda _run: None):
        """Serve a request; return the organisation that it ran for, or the failure."""
        headers = (("X-Api-Key", api_key), ("Tenant", "forged"))
        request = self.make_request(headers, key_digest(api_key))

        def execute(run):
            step(run)
            if not run._has_access():
                return run._refuse_not_sent()
            return Ok((dict(run.request.headers).get("Tenant"), run.priority, run.home_regions))

        with patch("figfold.gateway.request_run.RequestRun.execute", execute):
            served = self.runner.serve(request, lambda _on_gone: lambda: None)
        return served.ok() if served.is_ok() else served.err()

    def apply_reply(self, age_s, version, asked_s, held_s=0.0):
        update = FleetUpdate(1, False, (), (), frozenset(), 5, 5)
        reply = KnowledgeReply(b"", update, 1, age_s, age_s, held_s, version)
        self.sync._apply_reply("e2", reply, asked_s)


class ServingTest(EntryTest):
    def test_server_gets_the_organisation_and_not_the_key(self):
        self.read({"acme": {"apiKeys": [KEY]}}, priority=2)
        self.assertEqual(self.serve(), ("acme", 2, frozenset()))
        refusal = self.serve("unknown")
        self.assertIs(refusal.code, Code.UNKNOWN_API_KEY)
        self.assertTrue(refusal.is_not_run)

    def test_caller_on_an_open_route_names_no_organisation(self):
        self.read({"acme": {"apiKeys": [KEY]}}, allowAnonymous=True)
        self.assertIsNone(self.serve("")[0])
        self.assertIs(self.serve("unknown").code, Code.UNKNOWN_API_KEY)

    # It ran on an open route as that of a caller without a key, for as long as its caller liked.
    def test_withdrawn_key_is_refused_on_an_open_route(self):
        self.read({"acme": {"apiKeys": [KEY]}}, allowAnonymous=True)
        self.assertEqual(self.serve()[0], "acme")
        withdrawn = {"acme": {"apiKeys": []}}
        refusal = self.serve(step=lambda _run: self.read(withdrawn, version=8, allowAnonymous=True))
        self.assertIs(refusal.code, Code.UNKNOWN_API_KEY)
        self.assertIs(self.serve().code, Code.UNKNOWN_API_KEY)

    def test_headers_pass_where_no_organisations_are_configured(self):
        self.read(value=platform_configuration(None))
        self.assertEqual(self.serve()[0], "forged")

    # Its keys went on working, and reached the servers.
    def test_configuration_without_organisations_withdraws_all_keys(self):
        self.read({"acme": {"apiKeys": [KEY]}})
        self.read(value=platform_configuration(None, version=8), version=8)
        for api_key in (KEY, "unknown"):
            self.assertIs(self.serve(api_key).code, Code.UNKNOWN_API_KEY)
        self.assertIsNone(self.serve("")[0])
        self.clock.now_s += 2 * BOUND_S
        self.assertIs(self.serve().code, Code.KEYS_UNCONFIRMED)
        self.assertIsNone(self.serve("")[0])

    def test_key_is_unconfirmed_until_it_is_known_whether_keys_were_in_use(self):
        self.cluster.key_use = KeyUse.UNKNOWN
        self.read(value=platform_configuration(None))
        self.assertIs(self.serve().code, Code.KEYS_UNCONFIRMED)
        self.assertIsNone(self.serve("")[0])
        self.cluster.learn_key_use(is_recorded=False)
        self.assertEqual(self.serve()[0], "forged")

    # Its first attempt went to a server before there were organisations; another must not.
    def test_key_that_came_into_use_during_a_request_is_not_sent_again(self):
        for number, (keys, code) in enumerate(
            (([KEY], Code.KEY_MOVED), ([], Code.UNKNOWN_API_KEY))
        ):
            self.cluster.key_use = KeyUse.UNUSED
            version = 7 + 2 * number
            self.read(value=platform_configuration(None, version), version=version)
            appear = partial(self.read, {"acme": {"apiKeys": keys}}, version + 1)
            refusal = self.serve(step=lambda _run, appear=appear: appear())
            self.assertIs(refusal.code, code)

    def test_priority_and_homes_of_the_organisation(self):
        item = {"apiKeys": [KEY], "priority": 0, "homeRegions": ["a", "b"]}
        self.read({"acme": item}, priority=2, homeRegions=["b", "c"])
        self.assertEqual(self.serve(), ("acme", 0, {"b"}))

    # Each home alone would let the request run outside of the other one.
    def test_homes_without_a_common_region_refuse_at_once(self):
        self.read({"acme": {"apiKeys": [KEY], "homeRegions": ["a"]}}, homeRegions=["b"])
        self.assertIs(self.serve().code, Code.HOMES_EXCLUDE)

    def test_withdrawn_key_is_noticed_before_each_send(self):
        self.read({"acme": {"apiKeys": [KEY]}})
        refusal = self.serve(step=lambda _run: self.read({"acme": {"apiKeys": []}}, version=8))
        self.assertIs(refusal.code, Code.UNKNOWN_API_KEY)

    # A caller of an open route would have been told that its key is unknown, and not come back.
    def test_key_that_is_unconfirmed_before_a_send_on_an_open_route_may_come_back(self):
        self.read({"acme": {"apiKeys": [KEY]}}, allowAnonymous=True)

        def suspend(_run):
            self.clock.now_s += 2 * BOUND_S

        self.assertIs(self.serve(step=suspend).code, Code.KEYS_UNCONFIRMED)

    # The status for an unknown key tells a caller that its request was not run.
    def test_request_that_may_have_run_is_not_answered_as_unknown_key(self):
        unknown = RequestFailure(Code.UNKNOWN_API_KEY, True, "no-server")
        self.assertEqual(_status(unknown), "401 Unauthorized")
        self.assertEqual(_status(evolve(unknown, is_not_run=False)), "502 Bad Gateway")

    # Its caller was told that the key is unknown and did not come back, although it is in force.
    def test_request_may_come_back_if_its_key_moved_to_another_organisation(self):
        versions = itertools.count(7)
        for is_open in (False, True):
            give = partial(self.read, allowAnonymous=is_open)
            give({"acme": {"apiKeys": [KEY]}}, next(versions))
            move = partial(give, {"other": {"apiKeys": [KEY]}}, next(versions))
            refusal = self.serve(step=lambda _run, move=move: move())
            self.assertIs(refusal.code, Code.KEY_MOVED)
            self.assertTrue(refusal.is_not_run)
            self.assertEqual((_status(refusal), refusal.retry_after_s), (NOT_RUN_STATUS, 0.0))
            self.assertEqual(self.serve()[0], "other")


class WithdrawnKeyTest(EntryTest):
    """An entry that cannot see whether a key was withdrawn."""

    def setUp(self):
        super().setUp()
        self.read({"acme": {"apiKeys": [KEY]}})

    def assert_refuses_keys(self):
        refusal = self.serve()
        self.assertIs(refusal.code, Code.KEYS_UNCONFIRMED)
        self.assertTrue(refusal.is_not_run)
        self.assertGreater(refusal.retry_after_s, 0.0)

    def test_entry_that_is_cut_off_refuses_before_the_bound(self):
        self.clock.now_s += BOUND_S - REVOCATION_MARGIN_S - 0.1
        self.assertEqual(self.serve()[0], "acme")
        self.clock.now_s += 0.1
        self.assert_refuses_keys()

    def test_entry_that_is_cut_off_serves_an_open_route_without_a_key_only(self):
        self.read({"acme": {"apiKeys": [KEY]}}, version=8, allowAnonymous=True)
        self.clock.now_s += 2 * BOUND_S
        self.assert_refuses_keys()
        self.assertIsNone(self.serve("")[0])

    # Suspension for 6 s: requests that were sent meanwhile wait in the entry's sockets.
    def test_entry_that_was_frozen_refuses_until_it_has_read_again(self):
        self.clock.now_s += 6.0
        self.assert_refuses_keys()
        self.read()
        self.assertEqual(self.serve()[0], "acme")

    def test_peer_in_touch_with_the_store_keeps_the_entry_serving(self):
        for _ in range(10):
            asked_s = self.clock.now_s
            self.clock.now_s += 1.0
            self.apply_reply(0.5, version=7, asked_s=asked_s, held_s=0.5)
        self.assertEqual(self.serve()[0], "acme")

    # Two entries that are cut off from the store would otherwise keep each other's keys in force.
    def test_age_of_a_reading_grows_with_each_peer_that_passes_it_on(self):
        for _ in range(20):
            asked_s = self.clock.now_s
            age_s = self.cluster.operator_age_s(asked_s)
            self.clock.now_s += 0.3
            self.apply_reply(age_s, version=7, asked_s=asked_s)
        self.assert_refuses_keys()

    def test_reply_that_was_long_on_its_way_counts_from_the_request(self):
        asked_s = self.clock.now_s
        self.clock.now_s += BOUND_S
        self.apply_reply(0.0, version=7, asked_s=asked_s)
        self.assert_refuses_keys()

    def test_peer_with_an_earlier_configuration_confirms_nothing(self):
        self.clock.now_s += BOUND_S
        self.apply_reply(0.0, version=6, asked_s=self.clock.now_s)
        self.assert_refuses_keys()

    # The store may have written its answer at the start of the call, before the withdrawal.
    def test_answer_with_a_change_counts_from_the_start_of_the_call(self):
        self.clock.now_s += 0.1
        self.read({"acme": {"apiKeys": [KEY]}}, version=8, takes_s=0.9)
        self.assertAlmostEqual(self.cluster.operator_age_s(self.clock.now_s), 0.9)

    def test_answer_without_a_change_counts_from_the_end_of_the_wait(self):
        self.clock.now_s += 0.1
        self.read(takes_s=1.2)
        self.assertAlmostEqual(self.cluster.operator_age_s(self.clock.now_s), 0.2)
        self.read(takes_s=0.3)
        self.assertAlmostEqual(self.cluster.operator_age_s(self.clock.now_s), 0.3)

    # The keys of the configuration in force may have been withdrawn in the unreadable one.
    def test_unreadable_configuration_confirms_no_key(self):
        self.read(value={"version": "r8"}, version=8)
        for _ in range(6):
            self.clock.now_s += 1.0
            self.read()
        self.assert_refuses_keys()
        self.read({"acme": {"apiKeys": [KEY]}}, version=9)
        self.assertEqual(self.serve()[0], "acme")


class LookUpTest(unittest.TestCase):
    def make_view(self, names):
        cluster = ClusterView("e1", "a1", {"a1": "a", "b1": "b"}, logger, Fleet(), None)
        live = {one: SimpleNamespace(place=place, address=one) for one, place in names.items()}
        cluster.membership = SimpleNamespace(live_entries=lambda _now_s: live)
        return cluster

    def test_entry_that_serves_no_keys_names_others(self):
        cluster = self.make_view({"e1": "a1", "e2": "a1", "e3": "b1"})
        self.assertEqual(cluster.entry_addresses("a1", "a"), ["e1", "e2"])
        self.assertEqual(cluster.entry_addresses("a1", "a", without="e1"), ["e2"])
        self.assertEqual(self.make_view({"e1": "a1"}).entry_addresses("a1", "a", "e1"), [])
        far = self.make_view({"e1": "a1", "e3": "b1"})
        self.assertEqual(far.entry_addresses("a1", "a", without="e1"), ["e3"])

    # The metric told operators that keys were confirmed wherever one route was open.
    def test_open_route_keeps_an_entry_in_look_ups_and_confirms_no_key(self):
        cluster = self.make_view({})
        cluster.key_use = KeyUse.USED
        process = SimpleNamespace(
            cluster=cluster, settings=SimpleNamespace(revocation_bound_s=BOUND_S)
        )
        process._confirms_keys = lambda: GatewayProcess._confirms_keys(process)
        for is_open in (False, True):
            cluster.configuration = decode({"acme": {"apiKeys": [KEY]}}, allowAnonymous=is_open)
            self.assertFalse(process._confirms_keys())
            self.assertEqual(GatewayProcess._serves_keys(process), is_open)
        cluster.configuration = decode(None)
        for key_use in KeyUse:
            cluster.key_use = key_use
            self.assertEqual(process._confirms_keys(), key_use is KeyUse.UNUSED)
            self.assertTrue(GatewayProcess._serves_keys(process))


class LogTest(unittest.TestCase):
    # The log library can add the values of variables to the traceback of an exception.
    def test_exception_shows_no_variables(self):
        from figfold.gateway.event_log import EventLog

        log = EventLog(0, "e1")
        with patch("figfold.gateway.event_log.eventlet"):
            log.start("INFO")
        self.addCleanup(logger.remove)
        api_key = KEY
        try:
            raise ValueError(len(api_key))
        except ValueError as error:
            logger.opt(exception=error).error("failed")
        self.assertNotIn(KEY, repr(list(log.lines)))


def make_route(**fields):
    return Route("r", "h", "/", Repeatability.SAFE, (ServiceWeight("s", 1.0),), **fields)


class RunWithoutOrganisationsTest(unittest.TestCase):
    def test_access_is_not_looked_at(self):
        configuration = Configuration(1, {}, {})
        decision = decide_access(configuration, make_route(), "", are_keys_confirmed=False)
        self.assertEqual((decision.access, decision.organisation), (Access.ALLOWED, None))
