"""What an entry takes from another one, and what it must not."""

import unittest

from loguru import logger

from figfold.core.traffic.fleet import Fleet, FleetUpdate
from figfold.core.traffic.sync_source import SyncSourceSelector
from figfold.entry.clock import use_clock
from figfold.entry.metrics import Metrics
from figfold.gateway.cluster_view import ClusterView
from figfold.gateway.knowledge import KnowledgeKeeper
from figfold.gateway.store_watch import StoreWatch
from figfold.wire.messages import KnowledgeReply
from test.test_traffic_fleet import make_record


class KnowledgeTest(unittest.TestCase):
    def setUp(self):
        logger.remove()
        self.now_s = 100.0
        use_clock(monotonic=lambda: self.now_s)
        self.addCleanup(use_clock)
        self.cluster = ClusterView("e2", "a1", {"a1": "a"}, logger, Fleet(), lambda _version: None)
        watch = StoreWatch(
            None, self.cluster, None, Metrics(), logger, None, on_server_gone=lambda _id: None
        )
        sources = SyncSourceSelector("e2", "a", {"a1": "a"})
        self.keeper = KnowledgeKeeper(
            None, self.cluster, watch, None, Metrics(), logger, 1, sources
        )

    def take(self, name, ids, age_s, is_snapshot=True):
        records = tuple(make_record(one, sequence=9) for one in ids)
        news = FleetUpdate(5, is_snapshot, records, (), frozenset())
        return self.keeper._take(name, KnowledgeReply(b"", news, 1, age_s))

    def ids(self):
        return set(self.cluster.fleet.server_by_id)

    def test_later_knowledge_is_taken(self):
        self.assertTrue(self.take("e1", ["s0", "s1"], 0.5))
        self.now_s += 1.0
        self.assertTrue(self.take("e1", ["s0"], 0.5))
        self.assertEqual(self.ids(), {"s0"})

    def test_server_that_left_is_not_brought_back_by_an_entry_that_is_cut_off(self):
        self.take("e1", ["s0", "s1"], 0.5)
        self.now_s += 2.0
        self.take("e1", ["s0"], 0.1)
        self.now_s += 0.5
        self.assertFalse(self.take("e3", ["s0", "s1"], 1.4))
        self.assertEqual(self.ids(), {"s0"})

    def test_server_that_is_back_is_taken_from_later_knowledge(self):
        self.take("e1", ["s0", "s1"], 0.5)
        self.now_s += 2.0
        self.take("e1", ["s0"], 0.1)
        self.now_s += 2.0
        self.take("e1", ["s0", "s1"], 0.1, is_snapshot=False)
        self.assertEqual(self.ids(), {"s0", "s1"})

    def test_stale_knowledge_is_refused(self):
        self.assertFalse(self.take("e1", ["s0"], 5.0))
        self.assertEqual(self.ids(), set())


if __name__ == "__main__":
    unittest.main()
