"""What requests with and without API keys get, and what their servers are told of them.

The table goes over keys, kinds of routes, and the moments at which a key may lose its force.
"""

import unittest
from math import inf
from types import SimpleNamespace
from unittest.mock import Mock, patch

import eventlet
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from figfold.core.codes import Code
from figfold.core.organisations.access import REVOCATION_MARGIN_S, KeyUse
from figfold.core.traffic.fleet import Fleet
from figfold.core.traffic.retry_decision import AttemptOutcome
from figfold.entry.metrics import Metrics
from figfold.entry.request_types import ServerAnswer
from figfold.gateway.apps import _status
from figfold.gateway.cluster_view import ClusterView
from figfold.gateway.sender import AttemptResult
from figfold.gateway.store_reader import StoreReader
from figfold.platform.headers import make_lookup, parse_request_headers
from figfold.platform.rows import ENTRY_TABLE, KEY_USE_ROW, RowStore
from standins.rows import RowTables
from test.test_hedging import FakeSelector
from test.test_organisations import BOUND_S, EntryTest, platform_configuration
from test.test_store_era import FakeHttp

KEY, SECOND_KEY, STRANGE_KEY = "key-of-club", "second-key-of-club", "key-of-nobody"
HEDGE_S, HEDGE_STEPS = 0.01, 6
CLUB = {"club": {"apiKeys": [KEY, SECOND_KEY]}, "other": {"apiKeys": []}}
# Lines of the header that a request carries, and the organisations from the moment on.
CASES = {
    "none": ((), CLUB),
    "empty": (("",), CLUB),
    "valid": ((KEY,), CLUB),
    "withdrawn": ((KEY,), {"club": {"apiKeys": [SECOND_KEY]}, "other": {"apiKeys": []}}),
    "never known": ((STRANGE_KEY,), CLUB),
    "moved": ((KEY,), {"club": {"apiKeys": [SECOND_KEY]}, "other": {"apiKeys": [KEY]}}),
    "shared": ((KEY,), {"club": {"apiKeys": [KEY]}, "other": {"apiKeys": [KEY]}}),
    "two lines": ((KEY, SECOND_KEY), CLUB),
    "no organisations, key": ((KEY,), None),
    "no organisations, none": ((), None),
}
# Status, and for each attempt the organisation that its server was told, or "-" for none. Columns:
# a route that needs a key, keys confirmed and unconfirmed; an open route, the same.
TABLE = """
at arrival | none                   | 401            | 503       | 200 -          | 200 -
at arrival | empty                  | 401            | 503       | 200 -          | 200 -
at arrival | valid                  | 200 club       | 503       | 200 club       | 503
at arrival | withdrawn              | 401            | 503       | 401            | 503
at arrival | never known            | 401            | 503       | 401            | 503
at arrival | moved                  | 200 other      | 503       | 200 other      | 503
at arrival | shared                 | 401            | 503       | 401            | 503
at arrival | two lines              | 401            | 503       | 401            | 503
at arrival | no organisations, key  | 401            | 503       | 401            | 503
at arrival | no organisations, none | 200 -          | 200 -     | 200 -          | 200 -
in a wait  | none                   | 401            | 401       | 200 -          | 200 -
in a wait  | empty                  | 401            | 401       | 200 -          | 200 -
in a wait  | valid                  | 200 club       | 503       | 200 club       | 503
in a wait  | withdrawn              | 401            | 503       | 401            | 503
in a wait  | never known            | 401            | 401       | 401            | 401
in a wait  | moved                  | 503            | 503       | 503            | 503
in a wait  | shared                 | 401            | 503       | 401            | 503
in a wait  | two lines              | 401            | 401       | 401            | 401
in a wait  | no organisations, key  | 401            | 503       | 401            | 503
in a wait  | no organisations, none | 401            | 401       | 200 -          | 200 -
at a retry | none                   | 401            | 401       | 200 - -        | 200 - -
at a retry | empty                  | 401            | 401       | 200 - -        | 200 - -
at a retry | valid                  | 200 club club  | 503 club  | 200 club club  | 503 club
at a retry | withdrawn              | 401 club       | 503 club  | 401 club       | 503 club
at a retry | never known            | 401            | 401       | 401            | 401
at a retry | moved                  | 503 club       | 503 club  | 503 club       | 503 club
at a retry | shared                 | 401 club       | 503 club  | 401 club       | 503 club
at a retry | two lines              | 401            | 401       | 401            | 401
at a retry | no organisations, key  | 401 club       | 503 club  | 401 club       | 503 club
at a retry | no organisations, none | 401            | 401       | 200 - -        | 200 - -
at a hedge | none                   | 401            | 401       | 200 - -        | 200 - -
at a hedge | empty                  | 401            | 401       | 200 - -        | 200 - -
at a hedge | valid                  | 200 club club  | 200 club  | 200 club club  | 200 club
at a hedge | withdrawn              | 200 club       | 200 club  | 200 club       | 200 club
at a hedge | never known            | 401            | 401       | 401            | 401
at a hedge | moved                  | 200 club       | 200 club  | 200 club       | 200 club
at a hedge | shared                 | 200 club       | 200 club  | 200 club       | 200 club
at a hedge | two lines              | 401            | 401       | 401            | 401
at a hedge | no organisations, key  | 200 club       | 200 club  | 200 club       | 200 club
at a hedge | no organisations, none | 401            | 401       | 200 - -        | 200 - -
"""


class RequestTest(EntryTest):
    """An entry that runs whole requests; its servers answer as the test says."""

    def setUp(self):
        super().setUp()
        self.sent = []
        self.runner.settings.region_balancing = False
        self.runner.sender = SimpleNamespace(send=self.send)
        self.runner.quarantine.is_suspect_or_quarantined.return_value = False
        self.cluster.membership = SimpleNamespace(known_version=1, entry_by_name={})
        for name, value in (("MIN_HEDGE_DELAY_S", HEDGE_S), ("HEDGE_FACTOR", 0.0)):
            change = patch(f"figfold.gateway.request_run.{name}", value)
            change.start()
            self.addCleanup(change.stop)

    def configure(self, organisations, version, is_open=False):
        value = platform_configuration(organisations, version, allowAnonymous=is_open)
        self.read(value=value, version=version)

    def on_first_attempt(self):
        """Return the first attempt's result; None answers it with success."""
        return None

    def send(self, request, choice, *_others):
        self.sent.append(request.headers)
        result = self.on_first_attempt() if len(self.sent) == 1 else None
        answer = ServerAnswer(200, (), b"a", choice.server_id)
        return result or AttemptResult(AttemptOutcome.ANSWERED, Code.OK, 0.01, answer)

    def request(self, key_lines):
        """Run a request; return its status, and the fields on keys of each attempt."""
        self.sent.clear()
        self.runner.selector = FakeSelector()
        lines = [("Host", "h"), ("tenant", "forged"), *(("x-api-key", one) for one in key_lines)]
        head = parse_request_headers(make_lookup(lines))
        request = self.make_request(tuple(lines), head.key_digest)
        served = self.runner.serve(request, lambda _on_gone: lambda: None)
        status = served.ok().status if served.is_ok() else int(_status(served.err()).split()[0])
        fields = [tuple(one for one in headers if one[0] != "Host") for headers in self.sent]
        return status, fields


class TableTest(RequestTest):
    def play(self, when, case, is_open, is_confirmed):
        """Return what a request gets if keys change at a moment of its run."""
        key_lines, organisations = CASES[case]
        self.configure(CLUB, 7, is_open)

        def change():
            self.configure(organisations, 8, is_open)
            if not is_confirmed:
                self.cluster.operator_read_s = -inf

        def reject():
            change()
            return AttemptResult(AttemptOutcome.NOT_RUN, Code.SERVER_SHED, 0.01)

        def delay():
            change()
            # Steps, so that a hedge comes first also where the machine is slow.
            for _ in range(HEDGE_STEPS):
                if len(self.sent) == 1:
                    eventlet.sleep(HEDGE_S)

        if when == "at arrival":
            change()
        elif when == "in a wait":
            self.runner.settings.admission = True
            waiting = Mock(**{"wait.side_effect": lambda _run: change()})
            self.runner.admission = Mock(**{"for_request.return_value": waiting})
        else:
            self.on_first_attempt = reject if when == "at a retry" else delay
        status, sent = self.request(key_lines)
        told = []
        for fields in sent:
            self.assertNotIn("x-api-key", [name.lower() for name, _ in fields])
            self.assertLessEqual(len(fields), 1, fields)
            told.append(fields[0][1] if fields else "-")
        return " ".join([str(status), *told])

    def test_answers_and_what_servers_are_told(self):
        columns = [(False, True), (False, False), (True, True), (True, False)]
        rows = [[cell.strip() for cell in row.split("|")] for row in TABLE.strip().splitlines()]
        self.assertEqual(len({(when, case) for when, case, *_ in rows}), 4 * len(CASES))
        for when, case, *expected in rows:
            for (is_open, is_confirmed), one in zip(columns, expected, strict=True):
                with self.subTest(when=when, key=case, open=is_open, confirmed=is_confirmed):
                    self.setUp()
                    self.assertEqual(self.play(when, case, is_open, is_confirmed), one)

    # The first attempt was sent before there were organisations, with what the caller had written.
    def test_headers_are_hidden_from_the_first_configuration_with_organisations_on(self):
        self.configure(None, 7)

        def reject():
            self.configure(CLUB, 8, is_open=True)
            return AttemptResult(AttemptOutcome.NOT_RUN, Code.SERVER_SHED, 0.01)

        self.on_first_attempt = reject
        forged = (("tenant", "forged"),)
        self.assertEqual(self.request(()), (200, [forged, ()]))
        self.setUp()
        self.configure(None, 7)
        self.on_first_attempt = reject
        self.assertEqual(self.request((KEY,)), (503, [(*forged, ("x-api-key", KEY))]))


organisations = st.fixed_dictionaries(
    {
        name: st.fixed_dictionaries({"apiKeys": st.lists(st.sampled_from("abc"), unique=True)})
        for name in ("o1", "o2")
    }
)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("configure"), st.none() | organisations, st.booleans()),
        st.tuples(st.just("read")),
        st.tuples(st.just("pass"), st.sampled_from((0.5, 2.0, BOUND_S))),
        st.tuples(st.just("request"), st.sampled_from(("", "a", "b", "c", "d"))),
    ),
    max_size=25,
)


class SequenceTest(RequestTest):
    """Configurations that the entry reads at once, late, or not at all."""

    @given(steps)
    def test_no_sequence_of_configurations_lets_a_key_pass_or_refuses_a_caller_without_one(
        self, drawn
    ):
        self.setUp()
        self.history = [(self.clock.now_s, CLUB, False)]
        self.configure(CLUB, 1)
        self.known, self.known_s = 0, self.clock.now_s
        for name, *arguments in drawn:
            if name == "configure":
                self.history.append((self.clock.now_s, *arguments))
            elif name == "read":
                self.read_newest()
            elif name == "pass":
                self.clock.now_s += arguments[0]
            else:
                self.check_request(*arguments)

    def read_newest(self):
        _, found, is_open = self.history[-1]
        if self.known < len(self.history) - 1:
            self.known = len(self.history) - 1
            self.configure(found, self.known + 1, is_open)
        else:
            self.read()
        self.known_s = self.clock.now_s

    @staticmethod
    def holders(found, key):
        return [name for name, one in (found or {}).items() if key in one["apiKeys"]]

    def check_request(self, key):
        status, sent = self.request((key,) if key else ())
        _, found, is_open = self.history[self.known]
        age_s = self.clock.now_s - self.known_s
        is_confirmed = age_s < BOUND_S - REVOCATION_MARGIN_S
        needs_key = found is not None and not is_open
        holders = self.holders(found, key)
        if not key and not needs_key:
            self.assertEqual((status, sent), (200, [()]))
        elif not is_confirmed:
            self.assertEqual((status, sent), (503, []))
        elif len(holders) == 1:
            self.assertEqual((status, sent), (200, [(("Tenant", holders[0]),)]))
        else:
            self.assertEqual((status, sent), (401, []))
        if status == 200 and key:
            self.assert_held_within_the_bound(key, sent[0][0][1])

    def assert_held_within_the_bound(self, key, organisation):
        """Check that the organisation held the key in the store, the bound ago or later."""
        ends_s = [since_s for since_s, *_ in self.history[1:]] + [inf]
        earliest_s = self.clock.now_s - BOUND_S
        self.assertTrue(
            any(
                end_s >= earliest_s and organisation in self.holders(found, key)
                for (_, found, _), end_s in zip(self.history, ends_s, strict=True)
            )
        )


class KeyUseRecordTest(unittest.TestCase):
    """An entry that starts while the configuration has no organisations."""

    def setUp(self):
        logger.remove()
        self.tables = RowTables(era=0)

    def start(self, organisations):
        self.tables.put("op", "config", platform_configuration(organisations, self.tables.version))
        cluster = ClusterView("e1", "a1", {"a1": "a"}, logger, Fleet(), lambda _version: None)
        cluster.key_use = KeyUse.UNKNOWN
        store = RowStore(FakeHttp(self.tables))
        reader = StoreReader(
            store,
            cluster,
            SimpleNamespace(configuration_wait_s=0.0),
            Metrics(),
            logger,
            on_confirmed=lambda _version, _started_s: None,
            on_server_removed=lambda _id: None,
            eras=store.eras,
        )
        reader.read_operator_changes()
        self.assertFalse(reader.lacks_key_use_record())
        self.assertEqual(reader.register("e1", {}), ())
        return cluster, reader

    def test_it_is_told_that_there_were_organisations(self):
        _, reader = self.start(CLUB)
        self.assertTrue(reader.lacks_key_use_record())
        reader.record_key_use()
        self.assertFalse(reader.lacks_key_use_record())
        cluster, reader = self.start(None)
        self.assertIs(cluster.key_use, KeyUse.USED)
        self.assertFalse(reader.lacks_key_use_record())

    def test_it_is_told_that_there_were_none(self):
        cluster, reader = self.start(None)
        self.assertIs(cluster.key_use, KeyUse.UNUSED)
        self.assertFalse(reader.lacks_key_use_record())

    def test_record_is_written_again_after_the_store_refused_it_or_lost_it(self):
        _, reader = self.start(CLUB)
        self.tables.is_down = True
        reader.record_key_use()
        self.assertTrue(reader.lacks_key_use_record())
        self.tables.is_down = False
        reader.record_key_use()
        self.tables.restore(3600.0)
        self.assertNotIn((ENTRY_TABLE, KEY_USE_ROW), self.tables.row_by_key)
        reader.read_servers()
        self.assertTrue(reader.lacks_key_use_record())
        reader.record_key_use()
        self.assertIn((ENTRY_TABLE, KEY_USE_ROW), self.tables.row_by_key)


if __name__ == "__main__":
    unittest.main()
