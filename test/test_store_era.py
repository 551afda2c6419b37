"""A store restored from an older copy: what entries know stays ordered, and nothing comes back."""

import json
import random
import unittest
from types import SimpleNamespace
from unittest.mock import patch
from urllib.parse import parse_qsl, urlsplit

import eventlet
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.core.organisations.access import Access, are_keys_confirmed, decide_access
from figfold.core.organisations.organisation import key_digest
from figfold.core.store_era import (
    MAX_ERA,
    MAX_VERSION,
    REREGISTRATION_GRACE_S,
    SAME_COPY_S,
    EraTracker,
    era_of,
    era_start,
    is_era_start,
    pack_version,
)
from figfold.core.traffic.fleet import Fleet, FleetUpdate
from figfold.entry.clock import use_clock
from figfold.entry.metrics import Metrics
from figfold.gateway.cluster_view import ClusterView
from figfold.gateway.store_reader import StoreReader
from figfold.gateway.store_sync import StoreSync
from figfold.platform.answers import Answer, read_era
from figfold.platform.client import PlatformClient, may_have_taken_effect
from figfold.platform.rows import MAX_TABLE_READS, PAGE_SIZE, RowStore
from figfold.wire.codec import decode, try_encode
from figfold.wire.messages import KnowledgeReply, KnowledgeRequest
from standins.rows import RowTables
from test.test_gateway_leaving import run_fleet
from test.test_traffic_fleet import make_record

COPY_AGE_S = 5.0
# Servers and the operator write again within this time of a restore.
REWRITE_S = 2.0
REGION_BY_PLACE = {"a1": "a", "a2": "a"}
KEY = "secret-1"
BOUND_S = 5.0


class FakeHttp:
    """Calls of the store's stand-in, whose answers a test can replace.

    Attributes
    ----------
    before_call, after_call : list of callable
        Each is called once, before or after one of the next calls.
    late : list of Answer
        Answers that arrive in place of the next ones.
    """

    timeout_s = 1.0

    def __init__(self, tables):
        self.tables = tables
        self.paths, self.before_call, self.after_call, self.late = [], [], [], []

    def send(self, operation, method, path, body=None, headers=None, timeout_s=None):
        """Return Ok(Answer) with the stand-in's answer to a call."""
        self.paths.append(path)
        if self.before_call:
            self.before_call.pop(0)()
        url = urlsplit(path)
        status, value = self.tables.answer(url.path, dict(parse_qsl(url.query)), body)
        headers = {name.lower(): text for name, text in self.tables.header_by_name().items()}
        answer = Answer(status, headers, json.dumps(value).encode())
        if self.after_call:
            self.after_call.pop(0)()
        return Ok(self.late.pop(0) if self.late else answer)

    def close(self):
        """Do nothing."""


class EraTestCase(unittest.TestCase):
    def setUp(self):
        logger.remove()
        self.now_s = 100.0
        use_clock(monotonic=lambda: self.now_s)
        self.addCleanup(use_clock)
        self.tables = RowTables(era=0, clock=lambda: self.now_s)
        self.starts = 0

    def put_server(self, server_id, state="ready", sequence=1, born=0, place="a1"):
        """Write the row of a server; without ``born``, its start is not known."""
        value = {
            "info": {"service": "stock", "zone": place, "slots": 3, "version": "1"},
            "status": {"state": state, "sequence": sequence, "coldRemainingS": 0},
            "address": "10.0.0.1:80",
        }
        self.tables.put("servers", server_id, value | ({"born": born} if born else {}))

    def put_configuration(self, version, keys=(KEY,), rate=10):
        route = {"kind": "safe", "host": "h", "prefix": "/", "service": "stock", "timeoutS": 2.0}
        value = {
            "version": f"r{version}",
            "services": {"stock": {}},
            "routes": {"r": route},
            "tenants": {"t": {"apiKeys": list(keys), "ratePerS": rate, "burst": 1}},
        }
        self.tables.put("op", "config", value)

    def restore(self):
        self.tables.restore(COPY_AGE_S)


class HeaderTest(unittest.TestCase):
    def test_header_that_is_missing_or_unreadable_states_no_era(self):
        for text in (
            "",
            "x",
            "-1",
            "1.5",
            "+1",
            "5, 5",
            "1_0",
            "\u0661",
            "9" * 30,
            str(MAX_ERA + 1),
        ):
            self.assertIsNone(read_era(Answer(200, {"store-era": text})), text)
        self.assertIsNone(read_era(Answer(200, {})))
        self.assertEqual(read_era(Answer(200, {"store-era": str(MAX_ERA)})), MAX_ERA)

    # Reading no era as the era 0 would drop each answer of a proxy that strips the header.
    def test_answer_without_an_era_counts_as_one_of_the_known_era(self):
        eras = EraTracker()
        self.assertTrue(eras.record_answer(3, 0.0))
        self.assertTrue(eras.record_answer(None, 1.0))
        self.assertEqual(eras.era, 3)


class VersionTest(EraTestCase):
    def make_store(self):
        return RowStore(FakeHttp(self.tables))

    # A store without eras may count its versions in microseconds, which need more bits.
    def test_store_without_eras_keeps_its_versions(self):
        self.tables.era, self.tables.version = None, 2**50
        self.put_server("s0")
        store = self.make_store()
        read = store.read_table("servers").unwrap()
        self.assertEqual((read.version, read.rows[0].version), (2**50 + 1, 2**50 + 1))
        self.assertTrue(store.read_changes("servers", read.version, 0.0).is_ok())
        self.assertIn(f"after={2**50 + 1}&", store.http.paths[-1])
        written = store.write("servers", "s0", b"{}", read.rows[0].version)
        self.assertEqual(written.unwrap().version, 2**50 + 2)
        self.assertFalse(store.eras.is_settling(self.now_s))

    def test_version_that_does_not_fit_beside_an_era_is_a_bad_answer(self):
        self.tables.era, self.tables.version = 1, MAX_VERSION
        self.assertTrue(self.make_store().read_table("servers").is_ok())
        self.tables.version += 1
        failure = self.make_store().read_table("servers").unwrap_err()
        self.assertEqual(failure.code, Code.STORE_BAD_ANSWER)

    # Versions of the restored store are lower than known ones, so that later rows seemed older.
    def test_versions_of_a_later_era_are_later(self):
        store = self.make_store()
        self.now_s += 10.0
        for number in range(5):
            self.put_server(f"s{number}")
        before = store.read_table("servers").unwrap()
        self.restore()
        self.assertEqual(store.read_table("servers").unwrap().rows, ())
        self.put_server("s0")
        after = store.read_table("servers").unwrap()
        self.assertLess(self.tables.version, 5)
        self.assertGreater(after.rows[0].version, max(row.version for row in before.rows))
        self.assertGreater(after.version, before.version)

    # A row of the copy seemed to be later than the one that the restore had lost.
    def test_row_of_the_copy_is_earlier_than_the_lost_one(self):
        store = self.make_store()
        self.put_server("s0")
        copied = store.read_table("servers").unwrap().rows[0]
        self.now_s += 10.0
        self.put_server("s0", "draining")
        lost = store.read_table("servers").unwrap().rows[0]
        self.restore()
        for _ in range(2):
            row = store.read_table("servers").unwrap().rows[0]
            self.assertEqual(row.version, copied.version)
            self.assertLess(row.version, lost.version)
        self.put_server("s0")
        self.assertGreater(store.read_table("servers").unwrap().rows[0].version, lost.version)

    # Rows that no server had written again after a first restore counted as rows of its era when
    # a second one followed, and were then later than the lost ones.
    def test_row_of_the_copy_stays_earlier_after_a_second_restore(self):
        store = self.make_store()
        self.put_server("s0")
        self.now_s += 10.0
        self.put_server("s0", "draining")
        lost = store.read_table("servers").unwrap().rows[0]
        self.restore()
        store.read_table("servers")
        self.now_s += 1.0
        self.restore()
        self.assertLess(store.read_table("servers").unwrap().rows[0].version, lost.version)

    def test_row_of_an_earlier_era_that_was_restored_long_ago_keeps_that_era(self):
        store = self.make_store()
        store.read_table("servers")
        self.restore()
        store.read_table("servers")
        self.now_s += SAME_COPY_S
        self.put_server("s0")
        first = store.read_table("servers").unwrap().rows[0]
        self.assertEqual(era_of(first.version), 1)
        self.now_s += 10.0
        self.restore()
        self.assertEqual(store.read_table("servers").unwrap().rows[0].version, first.version)

    # Changes after a version of the era before would have been those after another state.
    def test_changes_after_a_version_of_another_era_are_lost_history(self):
        store = self.make_store()
        self.put_server("s0")
        self.now_s += 10.0
        known = store.read_table("servers").unwrap().version
        self.restore()
        self.put_server("s1")
        self.put_server("s2")
        for calls in (1, 0):
            before = len(store.http.paths)
            failure = store.read_changes("servers", known, 0.0).unwrap_err()
            self.assertEqual(failure.code, Code.STORE_HISTORY_LOST)
            self.assertEqual(len(store.http.paths) - before, calls)
        current = store.read_table("servers").unwrap().version
        later = pack_version(7, 1)
        self.assertTrue(store.read_changes("servers", current, 0.0).is_ok())
        failure = store.read_changes("servers", later, 0.0).unwrap_err()
        self.assertEqual(failure.code, Code.STORE_HISTORY_LOST)

    # Such an answer would have been applied after those of the restored store.
    def test_late_answer_of_an_earlier_era_changes_nothing(self):
        store = self.make_store()
        self.put_server("s0")
        self.now_s += 10.0
        self.tables.era = 4
        body = json.dumps({"rows": [], "ver": 900, "nowS": 1.0}).encode()
        store.read_table("servers")
        eras = EraTracker(**{"era": store.eras.era, "seen_s": store.eras.seen_s})
        for status in (200, 410, 503):
            store.http.late = [Answer(status, {"store-era": "3"}, body)]
            failure = store.read_table("servers").unwrap_err()
            self.assertEqual(failure.code, Code.STORE_EARLIER_ERA)
        self.assertEqual((store.eras.era, store.eras.seen_s), (eras.era, eras.seen_s))
        self.assertEqual(store.read_table("servers").unwrap().version, pack_version(4, 1))

    # The first page belonged to the state before the restore, and its lost rows were taken in.
    def test_read_of_pages_begins_again_after_a_restore_between_them(self):
        for number in range(PAGE_SIZE + 20):
            self.put_server(f"s{number:04}")
        self.now_s += 10.0
        self.put_server("s0000-lost")
        store = self.make_store()
        store.http.after_call = [self.restore]
        read = store.read_table("servers").unwrap()
        self.assertEqual(len(read.rows), PAGE_SIZE + 20)
        self.assertNotIn("s0000-lost", {row.key for row in read.rows})
        self.assertEqual(era_of(read.version), 1)

    def test_store_that_is_restored_at_each_page_fails_the_read(self):
        for number in range(PAGE_SIZE + 20):
            self.put_server(f"s{number:04}")
        self.now_s += 10.0
        store = self.make_store()
        store.http.before_call = [self.restore] * 50
        self.assertEqual(store.read_table("servers").unwrap_err().code, Code.STORE_ERROR)
        self.assertEqual(len(store.http.paths), 2 * MAX_TABLE_READS)

    @given(st.lists(st.tuples(st.integers(0, MAX_ERA), st.integers(1, MAX_VERSION)), min_size=2))
    def test_packed_versions_order_by_era_then_version_and_fit_the_messages(self, found):
        packed = sorted(pack_version(*one) for one in found)
        self.assertEqual(packed, [pack_version(*one) for one in sorted(found)])
        self.assertLess(packed[-1], 2**63)
        for one in packed:
            self.assertFalse(is_era_start(one))
            self.assertLess(era_start(one), one)

    def test_largest_versions_pass_between_entries(self):
        largest = pack_version(MAX_ERA, MAX_VERSION)
        record = make_record("s0", row_version=largest)
        update = FleetUpdate(5, True, (record,), (), frozenset(), largest, largest)
        reply = decode(try_encode(KnowledgeReply(b"", update, 1, 0.1, 0.0)).unwrap()).unwrap()
        changes = reply.fleet_changes
        self.assertEqual(changes.records[0].row_version, largest)
        self.assertEqual((changes.store_version, changes.evacuations_version), (largest, largest))


class ConditionalWriteTest(EraTestCase):
    def setUp(self):
        super().setUp()
        self.client = PlatformClient.from_config("http://127.0.0.1:1", "e1", "a1")
        self.http = self.client._main_http = self.client._bulk_http = FakeHttp(self.tables)

    # The version of a lost row was assigned again, and the write replaced another row than the
    # one that its condition named.
    def test_write_with_a_version_of_an_earlier_era_is_a_conflict(self):
        self.now_s += 10.0
        tag = self.client.put_row("t", "r", b"1", if_absent=True).unwrap()
        self.restore()
        self.tables.put("t", "r", 2)
        self.client.list_rows("t")
        calls = self.tables.calls
        for call in (
            lambda: self.client.put_row("t", "r", b"3", tag),
            lambda: self.client.delete_row("t", "r", tag),
        ):
            self.assertEqual(call().unwrap_err().code, Code.STORE_CONFLICT)
        self.assertEqual(self.tables.calls, calls)
        tag = self.client.get_row("t", "r").unwrap().etag
        self.assertTrue(self.client.put_row("t", "r", b"3", tag).is_ok())

    # The store had checked the condition against a row of the copy, or one written since.
    def test_write_during_which_the_store_was_restored_has_an_unknown_outcome(self):
        self.now_s += 10.0
        tag = self.client.put_row("t", "r", b"1", if_absent=True).unwrap()
        self.restore()
        self.tables.put("t", "r", 2)
        failure = self.client.put_row("t", "r", b"3", tag).unwrap_err()
        self.assertTrue(may_have_taken_effect(failure))
        self.assertEqual(self.client.get_row("t", "r").unwrap().value, b"3")

    # A row of the copy is still there; ordering it before the known ones must not bar its writes.
    def test_row_of_the_copy_can_be_written_once_it_was_read_again(self):
        known = self.client.put_row("t", "r", b"1", if_absent=True).unwrap()
        self.now_s += 10.0
        self.restore()
        row = self.client.get_row("t", "r", None).unwrap()
        self.assertNotEqual(row.etag, known)
        self.assertTrue(self.client.put_row("t", "r", b"2", row.etag).is_ok())

    def test_row_that_is_to_be_absent_may_be_so_in_any_era(self):
        self.client.list_rows("t")
        self.restore()
        self.assertTrue(self.client.put_row("t", "r", b"1", if_absent=True).is_ok())


class Entry:
    """What an entry knows, read from the stand-in of the store and from other entries."""

    def __init__(self, test, name):
        self.test = test
        settings = SimpleNamespace(name=name, configuration_wait_s=0.0)
        self.cluster = ClusterView(
            name, "a1", REGION_BY_PLACE, logger, Fleet(), lambda _version: None
        )
        self.http = FakeHttp(test.tables)
        self.store = RowStore(self.http)
        self.new_eras, self.confirmed = [], []
        self.reader = StoreReader(
            self.store,
            self.cluster,
            settings,
            Metrics(),
            logger,
            on_confirmed=lambda version, started_s: self.confirmed.append(started_s),
            on_server_removed=lambda _server_id: None,
            eras=self.store.eras,
            on_new_era=lambda: self.new_eras.append(test.now_s),
        )
        test.starts += 1
        self.sync = StoreSync(
            settings, self.cluster, self.reader, None, Metrics(), logger, test.starts, None
        )
        # The stand-ins for the loops choose the source themselves.
        self.sync.source_selector = SimpleNamespace(record_failure=lambda _name, _now_s: None)

    @property
    def fleet(self):
        """The servers and evacuations that the entry knows."""
        return self.cluster.fleet

    def read(self):
        """Read the servers' and the operator's rows from the store."""
        self.reader.read_servers()
        self.reader.read_operator_changes()

    def learn_from(self, other, name="other"):
        """Ask another entry for all that it knows; return whether that was fresh."""
        configuration = self.cluster.configuration
        request = KnowledgeRequest(configuration.version if configuration else 0)
        reply = decode(try_encode(other.sync.handle_request(request)).unwrap()).unwrap()
        return self.sync._apply_reply(name, reply, self.test.now_s)

    def usable(self):
        """Return the ids of the servers that may get requests."""
        usable = self.fleet.usable_servers("stock")
        return {one.record.id for one in usable}

    def access(self):
        """Return whether a request with the key may run."""
        configuration = self.cluster.configuration
        age_s = self.cluster.operator_age_s(self.test.now_s)
        is_confirmed = are_keys_confirmed(age_s, BOUND_S)
        route = configuration.route_by_name["r"]
        return decide_access(configuration, route, key_digest(KEY), is_confirmed).access


class EntryTestCase(EraTestCase):
    def setUp(self):
        super().setUp()
        self.put_configuration(1)
        for number in range(4):
            self.put_server(f"s{number}", sequence=1)
        self.entry = Entry(self, "e1")
        self.entry.read()
        # The copy is taken here.
        self.now_s += COPY_AGE_S

    def read_and_restore(self, *entries):
        """Let entries read what is then lost, and restore the store from the copy."""
        for entry in entries or (self.entry,):
            entry.read()
        self.now_s += 0.1
        self.tables.restore(COPY_AGE_S)


class ServerTest(EntryTestCase):
    # The draining row was lost with the restore, and the copy's row made the server usable again.
    # Without a known start, nothing but the versions orders its rows.
    def test_drained_server_without_a_known_start_stays_draining(self):
        self.put_server("s0", "draining", sequence=2)
        self.read_and_restore()
        for _ in range(int(REWRITE_S / 0.2)):
            self.entry.read()
            self.assertEqual(self.entry.usable(), {"s1", "s2", "s3"})
            self.now_s += 0.2
        self.put_server("s0", "draining", sequence=3)
        self.entry.read()
        self.assertEqual(self.entry.usable(), {"s1", "s2", "s3"})

    def test_new_process_of_a_drained_server_is_used(self):
        self.put_server("s0", "draining", sequence=2)
        self.read_and_restore()
        self.entry.read()
        self.put_server("s0", sequence=1, born=7)
        self.entry.read()
        self.assertIn("s0", self.entry.usable())

    def test_removed_server_stays_removed(self):
        self.tables.remove("servers", "s0")
        self.read_and_restore()
        for _ in range(5):
            self.entry.read()
            self.assertNotIn("s0", self.entry.fleet.server_by_id)
            self.now_s += 0.5
        self.put_server("s0", sequence=1, born=9)
        self.entry.read()
        self.assertIn("s0", self.entry.usable())

    # All servers that had registered since the copy were removed at once, though they run.
    def test_servers_missing_from_the_copy_are_held_until_they_write_again(self):
        for number in range(4, 12):
            self.put_server(f"s{number}")
        self.read_and_restore()
        self.entry.read()
        self.assertEqual(len(self.entry.usable()), 12)
        self.now_s += REWRITE_S
        self.put_server("s5", sequence=2)
        self.entry.read()
        self.assertEqual(len(self.entry.usable()), 12)
        self.now_s += REREGISTRATION_GRACE_S - REWRITE_S
        self.entry.read()
        self.assertEqual(self.entry.usable(), {"s0", "s1", "s2", "s3", "s5"})

    # Rows of the copy are older than the time for which the store keeps rows of silent servers.
    def test_row_that_the_store_drops_right_after_the_restore_is_held_too(self):
        self.read_and_restore()
        self.entry.read()
        for number in range(4):
            self.tables.remove("servers", f"s{number}")
        self.entry.read()
        self.assertEqual(len(self.entry.usable()), 4)

    def test_row_that_the_store_drops_is_held_by_an_entry_that_started_after_the_restore(self):
        self.read_and_restore()
        starting = Entry(self, "e2")
        starting.read()
        for number in range(4):
            self.tables.remove("servers", f"s{number}")
        starting.read()
        self.assertEqual(len(starting.usable()), 4)

    # Such a row counts as one of the copy, since nothing tells when it was written.
    def test_row_written_before_the_first_look_waits_for_the_next_heartbeat(self):
        for sequence in range(2, 5):
            self.put_server("s1", sequence=sequence)
        self.put_server("s0", "draining", sequence=2)
        self.read_and_restore()
        self.put_server("s0", sequence=1, born=7)
        self.entry.read()
        self.assertNotIn("s0", self.entry.usable())
        self.put_server("s0", sequence=2, born=7)
        self.entry.read()
        self.assertIn("s0", self.entry.usable())

    def test_late_answer_of_an_earlier_era_does_not_count_as_an_outage(self):
        self.read_and_restore()
        body = json.dumps({"rows": [], "ver": 900, "nowS": 1.0}).encode()
        self.entry.read()
        self.entry.http.late = [Answer(200, {"store-era": "0"}, body)]
        self.assertTrue(self.entry.reader.read_servers())
        self.assertTrue(self.entry.reader.health.reachable)
        self.assertEqual(len(self.entry.usable()), 4)


class PeerTest(EntryTestCase):
    # An entry that has started from the copy named fewer servers as of a later version, and its
    # peers removed the others at once.
    def test_servers_that_a_later_era_does_not_name_are_held(self):
        for number in range(4, 10):
            self.put_server(f"s{number}")
        self.read_and_restore()
        starting = Entry(self, "e2")
        starting.read()
        self.assertEqual(len(starting.usable()), 4)
        self.entry.learn_from(starting)
        self.assertEqual(len(self.entry.usable()), 10)

    # It had read the copy's row as one of the new era.
    def test_entry_that_starts_from_the_copy_undoes_no_draining_and_learns_of_it(self):
        self.put_server("s0", "draining", sequence=2)
        self.read_and_restore()
        starting = Entry(self, "e2")
        starting.read()
        self.entry.learn_from(starting)
        self.assertNotIn("s0", self.entry.usable())
        starting.learn_from(self.entry)
        self.assertNotIn("s0", starting.usable())

    def test_removed_server_is_not_restored_by_an_entry_that_starts_from_the_copy(self):
        self.tables.remove("servers", "s0")
        self.read_and_restore()
        starting = Entry(self, "e2")
        starting.read()
        self.entry.learn_from(starting)
        self.assertNotIn("s0", self.entry.fleet.server_by_id)

    # The versions of the peer that is behind are the higher ones.
    def test_peer_of_an_earlier_era_undoes_nothing(self):
        behind = Entry(self, "e2")
        for _ in range(20):
            self.put_server("s1")
        behind.read()
        self.read_and_restore()
        self.entry.read()
        self.put_server("s0", "draining", sequence=1, born=7)
        self.entry.read()
        self.entry.learn_from(behind)
        self.assertNotIn("s0", self.entry.usable())
        behind.learn_from(self.entry)
        self.assertNotIn("s0", behind.usable())
        self.assertEqual(era_of(behind.fleet.store_version), 1)

    # It read changes after a version of the new era from a store that it took for the old one.
    def test_entry_that_learned_of_the_era_from_a_peer_reads_the_table_as_a_whole(self):
        other = Entry(self, "e2")
        other.read()
        self.read_and_restore()
        self.entry.read()
        other.learn_from(self.entry)
        self.assertEqual(other.new_eras, [self.now_s])
        self.put_server("s0", "draining", sequence=2)
        other.read()
        self.assertNotIn("s0", other.usable())
        self.assertEqual(other.store.eras.era, 1)

    # It had no history of its own since the start of the era, and asked the store for all of it.
    def test_peer_that_waits_states_no_version_to_go_on_from(self):
        other = Entry(self, "e2")
        other.read()
        self.read_and_restore()
        self.entry.read()
        other.learn_from(self.entry)
        self.assertTrue(is_era_start(other.fleet.evacuations_version))
        self.assertFalse(is_era_start(other.reader.operator_version))

    def test_entry_asks_a_peer_for_replaced_rows_after_a_restore(self):
        self.entry.cluster.membership = SimpleNamespace(live_entries=lambda _now_s: {})
        self.entry.sync.source_selector.fallback = lambda _live, _now_s: "e2"
        asked = []
        with patch.object(StoreSync, "_ask_peer", lambda _sync, name: asked.append(name) or True):
            for _ in range(5):
                self.entry.sync._ask_for_replaced_rows()
            asked.clear()
            self.read_and_restore()
            self.entry.read()
            self.entry.sync._ask_for_replaced_rows()
        self.assertEqual(asked, ["e2"])


class EvacuationTest(EntryTestCase):
    def places(self, entry=None):
        return set((entry or self.entry).fleet.evacuated_places)

    # The row was lost, and the whole read of the table ended the evacuation.
    def test_evacuation_holds_until_it_is_written_again(self):
        self.tables.put("op", "evacuate/a2", {})
        self.read_and_restore()
        for _ in range(4):
            self.entry.read()
            self.assertEqual(self.places(), {"a2"})
            self.now_s += REWRITE_S / 4
        self.tables.put("op", "evacuate/a2", {})
        self.entry.read()
        for _ in range(10):
            self.now_s += 0.5
            self.entry.read()
            self.assertEqual(self.places(), {"a2"})

    def test_evacuation_that_is_not_written_again_ends(self):
        self.tables.put("op", "evacuate/a2", {})
        self.read_and_restore()
        self.entry.read()
        self.now_s += REREGISTRATION_GRACE_S
        self.entry.read()
        self.assertEqual(self.places(), set())

    def test_evacuation_written_after_the_restore_holds_at_once(self):
        self.read_and_restore()
        self.entry.read()
        self.tables.put("op", "evacuate/a2", {})
        self.entry.read()
        self.assertEqual(self.places(), {"a2"})
        self.now_s += REREGISTRATION_GRACE_S
        self.entry.read()
        self.assertEqual(self.places(), {"a2"})

    # The row of the copy emptied a data centre again that the operator had given back.
    def test_evacuation_that_had_ended_does_not_come_back_with_the_copy(self):
        self.tables.put("op", "evacuate/a2", {})
        self.entry.read()
        self.now_s += COPY_AGE_S
        self.tables.remove("op", "evacuate/a2")
        self.read_and_restore()
        for _ in range(4):
            self.entry.read()
            self.assertEqual(self.places(), set())
            self.now_s += REWRITE_S / 4
        self.tables.remove("op", "evacuate/a2")
        self.now_s += REREGISTRATION_GRACE_S
        self.entry.read()
        self.assertEqual(self.places(), set())

    # An entry that had read only the copy told its peers that nothing is evacuated.
    def test_entry_that_starts_from_the_copy_ends_no_evacuation_and_learns_of_it(self):
        self.tables.put("op", "evacuate/a2", {})
        self.read_and_restore()
        behind = Entry(self, "e3")
        behind.learn_from(self.entry)
        starting = Entry(self, "e2")
        starting.read()
        for entry in (self.entry, behind):
            entry.learn_from(starting)
            self.assertEqual(self.places(entry), {"a2"})
        self.entry.read()
        starting.learn_from(self.entry)
        self.assertEqual(self.places(starting), {"a2"})

    # Two entries that told each other of an evacuation kept it for good.
    def test_entries_do_not_hold_an_evacuation_for_each_other(self):
        other = Entry(self, "e2")
        self.tables.put("op", "evacuate/a2", {})
        self.read_and_restore(self.entry, other)
        for _ in range(int(2 * REREGISTRATION_GRACE_S / 0.2)):
            self.entry.read()
            self.now_s += 0.1
            other.read()
            other.learn_from(self.entry)
            self.entry.learn_from(other)
            self.now_s += 0.1
        self.assertEqual((self.places(), self.places(other)), (set(), set()))

    # A peer that had waited for long enough, but had read less, replaced what was read since.
    def test_peer_that_has_read_less_ends_no_evacuation(self):
        settled = Entry(self, "e2")
        self.read_and_restore(self.entry, settled)
        settled.read()
        self.now_s += REREGISTRATION_GRACE_S - 0.1
        self.entry.read()
        self.now_s += 0.2
        settled.read()
        self.assertFalse(is_era_start(settled.fleet.evacuations_version))
        self.put_server("s0", sequence=5)
        self.tables.put("op", "evacuate/a2", {})
        self.entry.read()
        self.entry.learn_from(settled)
        self.assertEqual(self.places(), {"a2"})
        settled.read()
        self.entry.learn_from(settled)
        self.assertEqual(self.places(), {"a2"})


class ConfigurationTest(EntryTestCase):
    # An entry that reads only the copy would admit a key that the operator had withdrawn.
    def test_withdrawn_key_of_the_copy_is_refused_where_nothing_else_is_known(self):
        self.put_configuration(2, keys=("other",))
        self.read_and_restore()
        starting = Entry(self, "e2")
        for _ in range(10):
            starting.read()
            self.assertEqual(starting.cluster.configuration.version, 1)
            self.assertEqual(starting.access(), Access.UNCONFIRMED_KEYS)
            self.now_s += REWRITE_S / 10
        self.put_configuration(2, keys=("other",))
        self.now_s += REREGISTRATION_GRACE_S - REWRITE_S + 0.01
        starting.read()
        self.assertEqual(starting.access(), Access.UNKNOWN_KEY)

    # An entry that had missed the withdrawal read the copy, which seemed to confirm the key.
    def test_reading_of_the_copy_does_not_confirm_a_key(self):
        behind = Entry(self, "e2")
        behind.read()
        read_s = self.now_s
        self.assertEqual(behind.access(), Access.ALLOWED)
        self.put_configuration(2, keys=("other",))
        self.now_s += 4.0
        self.read_and_restore()
        behind.confirmed.clear()
        for _ in range(20):
            behind.read()
            self.assertEqual(behind.cluster.operator_read_s, read_s)
            self.now_s += REREGISTRATION_GRACE_S / 20.2
        self.assertEqual(behind.access(), Access.UNCONFIRMED_KEYS)
        self.assertEqual(behind.confirmed, [])
        self.now_s += 0.1
        behind.read()
        self.assertEqual(behind.cluster.operator_read_s, self.now_s)
        self.assertEqual(behind.confirmed, [self.now_s])

    def test_withdrawn_key_and_lowered_limit_stay_where_they_are_known(self):
        self.put_configuration(2, keys=("other",), rate=3)
        self.read_and_restore()
        for _ in range(10):
            self.entry.read()
            self.assertEqual(self.entry.access(), Access.UNKNOWN_KEY)
            organisation = self.entry.cluster.configuration.organisation_by_name["t"]
            self.assertEqual(organisation.rate_per_s, 3.0)
            self.now_s += 0.4

    # A peer that waits would be passed over as stale, and all entries would read the store.
    def test_peer_that_waits_after_a_restore_is_still_a_source(self):
        self.entry.read()
        other = Entry(self, "e2")
        other.learn_from(self.entry)
        self.read_and_restore()
        self.now_s += REWRITE_S
        self.entry.read()
        self.assertTrue(other.learn_from(self.entry))

    def test_long_poll_ends_with_the_wait_after_a_restore(self):
        self.entry.reader.settings.configuration_wait_s = 3.0
        waits_s = []

        def read_changes(_table, _version, wait_s):
            waits_s.append(wait_s)
            return Err(Failure(Code.STORE_TIMEOUT, "silent"))

        self.read_and_restore()
        self.entry.reader.read_servers()
        self.now_s += 1.0
        self.entry.reader.store = SimpleNamespace(read_changes=read_changes)
        self.entry.reader.read_operator_changes()
        self.assertAlmostEqual(waits_s[0], REREGISTRATION_GRACE_S - 1.0)


class NothingComesBackTest(EraTestCase):
    """Random readings of three entries, with restores, late answers and restarts of entries.

    What an entry had known to be draining, removed or evacuated became usable there again, or a
    later configuration was replaced by an earlier one.
    """

    STEPS = 400

    def play(self, seed):
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.tables = RowTables(era=0, clock=lambda: self.now_s)
        self.state_by_server = {f"s{number}": ["ready", 1] for number in range(8)}
        self.configuration, self.evacuated, self.pending = 1, {}, []
        self.known_gone = {}
        self.known_places = {}
        self.put_configuration(1)
        for server_id in self.state_by_server:
            self.beat(server_id)
        self.entries = [Entry(self, f"e{number}") for number in range(3)]
        for entry in self.entries:
            entry.read()
        restore_s = 115.0
        for _ in range(self.STEPS):
            self.now_s += self.random.uniform(0.02, 0.2)
            self.run_pending()
            if self.now_s >= restore_s:
                self.restore_and_write_again()
                restore_s = self.now_s + self.random.choice((1.0, 4.0, 12.0))
            self.change()
            self.read()
            for entry in self.entries:
                self.check(entry, seed)
        # All agree once the store has been left alone for a while.
        self.now_s += 20.0
        self.run_pending()
        for _ in range(3):
            for server_id in self.state_by_server:
                self.beat(server_id)
            for entry in self.entries:
                entry.read()
            self.now_s += 3.0
        usable = {one for one, (state, _) in self.state_by_server.items() if state == "ready"}
        for entry in self.entries:
            self.assertEqual(entry.usable(), usable if "a1" not in self.evacuated else set(), seed)
            self.assertEqual(set(entry.fleet.evacuated_places), set(self.evacuated), seed)
            self.assertEqual(entry.cluster.configuration.version, self.configuration, seed)

    def beat(self, server_id):
        state, sequence = self.state_by_server[server_id]
        if state != "gone":
            self.state_by_server[server_id][1] += 1
            self.put_server(server_id, state, sequence + 1)

    def change(self):
        """Let a server write its next row, drain or leave, or the operator change something."""
        server_id = self.random.choice(list(self.state_by_server))
        state, _ = self.state_by_server[server_id]
        draw = self.random.random()
        if draw < 0.03 and state == "ready":
            self.state_by_server[server_id][0] = "draining"
        if draw < 0.02 and state == "draining":
            self.state_by_server[server_id][0] = "gone"
            self.tables.remove("servers", server_id)
        if draw < 0.4:
            self.beat(server_id)
        elif draw < 0.43:
            self.configuration += 1
            self.put_configuration(self.configuration)
        elif draw < 0.45:
            self.evacuated["a2"] = True
            self.tables.put("op", "evacuate/a2", {})

    def run_pending(self):
        for at_s, write in list(self.pending):
            if self.now_s >= at_s:
                self.pending.remove((at_s, write))
                write()

    def restore_and_write_again(self):
        self.restore()

        def later(write):
            self.pending.append((self.now_s + self.random.uniform(0.0, REWRITE_S), write))

        later(lambda: self.put_configuration(self.configuration))
        for place in self.evacuated:
            later(lambda place=place: self.tables.put("op", f"evacuate/{place}", {}))
        for server_id, (state, _) in self.state_by_server.items():
            if state == "gone":
                later(lambda one=server_id: self.tables.remove("servers", one))
            else:
                later(lambda one=server_id: self.beat(one))

    def read(self):
        entry, other = self.random.sample(self.entries, 2)
        draw = self.random.random()
        if draw < 0.4:
            entry.read()
        elif draw < 0.5:
            # The answer is read after others of what has happened meanwhile.
            entry.http.after_call = [lambda: other.read()]
            entry.read()
        elif draw < 0.97:
            entry.learn_from(other)
        else:
            number = self.entries.index(entry)
            self.entries[number] = Entry(self, entry.cluster.name)
            self.known_gone.pop(entry, None)
            self.entries[number].read()
            self.entries[number].learn_from(other)

    def check(self, entry, seed):
        known, seen = self.known_gone.setdefault(entry, (set(), set()))
        self.assertEqual(entry.usable() & known, set(), (seed, self.now_s))
        server_by_id = entry.fleet.server_by_id
        for server_id, (state, _) in self.state_by_server.items():
            server = server_by_id.get(server_id)
            is_known_draining = server is not None and server.record.is_leaving
            is_known_removed = server is None and server_id in seen and state == "gone"
            if is_known_draining or is_known_removed:
                known.add(server_id)
        seen |= set(server_by_id)
        places = self.known_places.setdefault(entry, set())
        self.assertLessEqual(places, set(entry.fleet.evacuated_places), (seed, self.now_s))
        places |= entry.fleet.evacuated_places

    def test_nothing_that_was_known_comes_back(self):
        for seed in range(30):
            with self.subTest(seed=seed):
                self.play(seed)


class DeploymentTest(unittest.TestCase):
    """Entries with their loops, in virtual time."""

    def run_with_eras(self, test):
        def start(fleet):
            eventlet.sleep(10.0)
            test(fleet)

        run_fleet(start, store_era=0)

    # A restored store has lost the entries that had registered since the copy, so that those that
    # start later do not find them.
    def test_each_entry_writes_its_row_again_once(self):
        def test(fleet):
            fleet.start_entry("a1-e9", "a1")
            eventlet.sleep(3.0)
            fleet.tables.restore(COPY_AGE_S)
            keys = {key for table, key in fleet.tables.row_by_key if table == "figfold-entries"}
            self.assertNotIn("a1-e9", keys)
            after = fleet.tables.version
            eventlet.sleep(REWRITE_S)
            changes = [row for row in fleet.tables.changes if row["ver"] > after]
            written = [row["key"] for row in changes if row["table"] == "figfold-entries"]
            self.assertEqual(sorted(written), sorted(fleet.process_by_entry))
            for gateway in fleet.gateway_by_entry.values():
                gateway.event_log = SimpleNamespace(total_dropped=0)
                self.assertIn("figfold_store_era 1", gateway._render())

        self.run_with_eras(test)

    def test_what_was_written_holds_at_all_entries_through_a_restore(self):
        def test(fleet):
            fleet.put_server("a1-s0", "a1", "draining")
            fleet.tables.remove("servers", "b1-s0")
            fleet.tables.put("op", "evacuate/b2", {})
            eventlet.sleep(3.0)
            fleet.tables.restore(COPY_AGE_S)
            gone = ["a1-s0", "b1-s0", *(f"b2-s{number}" for number in range(4))]
            for step in range(60):
                if step == 19:
                    fleet.put_server("a1-s0", "a1", "draining")
                    fleet.tables.remove("servers", "b1-s0")
                    fleet.tables.put("op", "evacuate/b2", {})
                eventlet.sleep(0.1)
                for server_id in gone:
                    self.assertEqual(fleet.users_of(server_id), [], (step, server_id))
                self.assertEqual(len(fleet.users_of("a2-s0")), len(fleet.process_by_entry))

        self.run_with_eras(test)

    # Whole reads of the table by all entries would load the store in the worst moment.
    def test_a_restore_costs_the_store_few_calls(self):
        def test(fleet):
            before = fleet.tables.calls
            eventlet.sleep(4.0)
            usual = fleet.tables.calls - before
            fleet.tables.restore(COPY_AGE_S)
            before = fleet.tables.calls
            eventlet.sleep(4.0)
            self.assertLess(fleet.tables.calls - before, usual + 4 * len(fleet.process_by_entry))

        self.run_with_eras(test)


if __name__ == "__main__":
    unittest.main()
