"""The service pool: a random test against a simple model, and tests of single rules."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from figfold.core.codes import Code, Outcome
from figfold.core.pool import DispatchOutcome, DispatchReport, Permits, ServerView
from test.pools import FOREVER_S, SERVERS, end, make_pool, make_request, start, warm_up

NOT_RUN = (DispatchOutcome.CONNECT_FAILED, DispatchOutcome.WITHHELD, DispatchOutcome.SHED)
OUTCOMES = st.sampled_from([DispatchOutcome.OK] * 6 + list(DispatchOutcome))
WARM_UP_REQUESTS = 100


class PoolMachine(RuleBasedStateMachine):
    """Drives a pool at random and compares it with a model that keeps plain sets of requests."""

    def __init__(self):
        super().__init__()
        self.pool = make_pool(3, 2, 6)
        self.now_s = warm_up(self.pool, WARM_UP_REQUESTS)
        self.valid_until_s = FOREVER_S
        self.quota = 6
        self.slots = dict.fromkeys(SERVERS, 2)
        self.leaving = set()
        self.request_by_id = {}
        self.waiting = set()
        self.running = {}
        self.occupied_until = []
        self.ran = set()
        self.ended = {}
        self.attempts = WARM_UP_REQUESTS
        self.hedges = 0
        self.backed_off = set()

    def end_request(self, request_id, reason):
        assert request_id not in self.ended, (request_id, self.ended[request_id], reason)
        self.ended[request_id] = reason
        self.waiting.discard(request_id)

    def occupied(self, server=None):
        held = [name for until_s, name in self.occupied_until if until_s > self.now_s]
        names = [dispatch.server for dispatch in self.running.values()] + held
        return len(names) if server is None else names.count(server)

    @rule(
        slots=st.fixed_dictionaries({name: st.integers(0, 3) for name in SERVERS}),
        quota=st.sampled_from([0, 2, 3, 4, 4]),
        valid_s=st.sampled_from([500.0, 500.0, 500.0, 2.0, 0.0]),
    )
    def change_permits(self, slots, quota, valid_s):
        self.slots, self.quota = slots, quota
        self.valid_until_s = self.now_s + valid_s
        self.pool.set_permits(Permits(slots, quota, self.valid_until_s))

    @rule(source=st.sampled_from(["list", "server", "peer"]))
    def report_leaving(self, source):
        """Report the last server as leaving; the others go on taking work."""
        name = SERVERS[-1]
        self.leaving.add(name)
        if source == "list":
            self.pool.set_servers([ServerView(n, n == name) for n in SERVERS], self.now_s)
        else:
            self.pool.mark_leaving(name, self.now_s, source == "peer")
        self.pool.set_servers([ServerView(n) for n in SERVERS], self.now_s)

    @rule(
        key=st.sampled_from(["one", "two"]),
        deadline_s=st.sampled_from([0.0, 0.5, 5.0, 60.0, 60.0, 60.0]),
        idempotent=st.booleans(),
        count=st.integers(1, 4),
    )
    def submit(self, key, deadline_s, idempotent, count):
        for _ in range(count):
            name = f"r{len(self.request_by_id)}"
            request = make_request(name, key, self.now_s + deadline_s, idempotent)
            self.request_by_id[name] = request
            if self.pool.submit(request, self.now_s).is_ok():
                self.waiting.add(name)
            else:
                self.end_request(name, "refused")
        self.process_decisions()

    def process_decisions(self):
        for dispatch in self.pool.next_dispatches(self.now_s):
            self.check_dispatch(dispatch)
            self.running[dispatch.dispatch_id] = dispatch
            assert self.occupied() <= self.quota
            assert self.occupied(dispatch.server) <= self.slots.get(dispatch.server, 0)
        for refusal in self.pool.pop_refused(self.now_s):
            assert refusal.request_id in self.waiting
            expected = Outcome.UNKNOWN if refusal.request_id in self.ran else Outcome.NOT_RUN
            assert refusal.outcome is expected
            self.end_request(refusal.request_id, "refused")
        self.check_work_conserving()

    def check_dispatch(self, dispatch):
        request = self.request_by_id[dispatch.request_id]
        assert self.now_s < self.valid_until_s
        assert self.now_s < request.deadline_s
        assert dispatch.server not in self.leaving
        assert request.id not in self.ended
        if dispatch.hedge:
            self.hedges += 1
            assert request.idempotent
            assert sum(d.request_id == request.id for d in self.running.values()) == 1
            assert self.hedges * 20 <= self.attempts
        else:
            self.attempts += 1
            assert request.id in self.waiting
            assert request.idempotent or request.id not in self.ran
            self.waiting.discard(request.id)

    def check_work_conserving(self):
        if not self.waiting or self.now_s >= self.valid_until_s:
            return
        if self.occupied() >= self.quota or self.pool._slots.long_in_progress:
            return
        for server in self.pool.servers.server_by_name.values():
            faulty = server.is_slow or server.fresh_failures or server.suspects_in_progress
            paused = max(server.backoff_until_s, server.ejected_until_s) > self.now_s
            any_suspect_waits = any(
                self.pool.quarantine.is_suspect(f"print-{name}", self.now_s)
                for name in self.waiting
            )
            if not (faulty or paused or any_suspect_waits or server.name in self.leaving):
                slots = self.slots.get(server.name, 0)
                assert server.listed_live_since_s is None or self.occupied(server.name) >= slots

    @rule(
        data=st.data(),
        advance_s=st.sampled_from([0.01, 0.01, 0.05, 0.2, 3.0]),
        ends=st.lists(st.tuples(OUTCOMES, st.booleans(), st.sampled_from([None, 2.0])), max_size=3),
    )
    def work(self, data, advance_s, ends):
        self.now_s += advance_s
        self.process_decisions()
        for outcome, fresh, hold_s in ends:
            if self.running:
                self.finish(data, outcome, fresh, hold_s)
        self.process_decisions()

    def finish(self, data, outcome, fresh, hold_s):
        dispatch = self.running.pop(data.draw(st.sampled_from(sorted(self.running))))
        name = dispatch.request_id
        if outcome not in NOT_RUN:
            self.ran.add(name)
        if outcome in (DispatchOutcome.TIMED_OUT, DispatchOutcome.CANCELLED) and hold_s:
            self.occupied_until.append((self.now_s + hold_s, dispatch.server))
        else:
            hold_s = None
        until_s = None if hold_s is None else self.now_s + hold_s
        report = DispatchReport(outcome, 0.01, fresh, until_s)
        decision = self.pool.finish(dispatch.dispatch_id, report, self.now_s)
        siblings = {i for i, d in self.running.items() if d.request_id == name}
        if name in self.ended:
            assert not decision.retry and decision.ended
        elif decision.retry:
            assert not siblings and (name not in self.ran or self.request_by_id[name].idempotent)
            self.waiting.add(name)
        elif decision.ended:
            assert outcome is DispatchOutcome.OK or not siblings
            self.end_request(name, "finished")

    @invariant()
    def load_agrees(self):
        load = self.pool.load(self.now_s)
        assert load.in_progress == self.occupied()
        assert load.room <= max(0, self.quota - load.in_progress)
        live = set(self.request_by_id) - set(self.ended)
        assert live == self.waiting | {
            d.request_id for d in self.running.values() if d.request_id not in self.ended
        }

    def teardown(self):
        self.now_s += 1000.0
        self.process_decisions()
        for dispatch_id in list(self.running):
            dispatch = self.running.pop(dispatch_id)
            decision = end(self.pool, dispatch, self.now_s)
            assert decision.ended
            if dispatch.request_id not in self.ended:
                self.end_request(dispatch.request_id, "finished")
        assert set(self.ended) == set(self.request_by_id)
        assert not self.pool._tracked_by_id and not self.pool._attempts.attempt_by_id


PoolMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=80)
TestPoolMachine = PoolMachine.TestCase


class TestServicePool(unittest.TestCase):
    def test_refusals_carry_their_codes(self):
        cases = [
            (make_pool(valid_until_s=-1.0), make_request("a"), Code.NO_PERMIT),
            (make_pool(quota=0), make_request("a"), Code.NO_PERMIT),
            (make_pool(servers=0), make_request("a"), Code.NO_SERVER),
            (make_pool(queue_limit=0), make_request("a"), Code.QUEUE_FULL),
            (make_pool(), make_request("a", deadline_s=0.0), Code.DEADLINE_PASSED),
        ]
        for pool, request, code in cases:
            with self.subTest(code=code):
                self.assertIs(pool.submit(request, 0.0).err().code, code)
                self.assertEqual(pool.counters[f"refused.{code.name}"], 1)

    def test_requests_wait_for_an_awaited_quota(self):
        pool = make_pool()
        slots = pool.permits.slots_by_server
        pool.set_permits(Permits(slots, 0, FOREVER_S, awaited_quota=1))
        self.assertTrue(pool.submit(make_request("a"), 0.0).is_ok())
        self.assertEqual([], pool.next_dispatches(0.0))
        pool.set_permits(Permits(slots, 1, FOREVER_S))
        self.assertEqual(1, len(pool.next_dispatches(0.1)))
        pool.set_permits(Permits(slots, 0, 0.1, awaited_quota=1))
        self.assertIs(pool.submit(make_request("b"), 0.2).err().code, Code.NO_PERMIT)

    def test_deadline_too_short_for_the_queue_is_refused(self):
        pool = make_pool(1, 1, 1)
        now_s = warm_up(pool, 30, "short", 0.1)
        for number in range(5):
            pool.submit(make_request(f"r{number}"), now_s)
        result = pool.submit(make_request("late", deadline_s=now_s + 0.3), now_s)
        self.assertIs(result.err().code, Code.DEADLINE_TOO_SHORT)

    def test_request_quarantined_while_queued_is_refused(self):
        pool = make_pool()
        pool.submit(make_request("a"), 0.0)
        pool.quarantine.merge_quarantined("print-a", 60.0, 0.0)
        self.assertEqual(pool.next_dispatches(0.0), [])
        (refusal,) = pool.pop_refused(0.0)
        self.assertIs(refusal.failure.code, Code.QUARANTINED)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)

    def test_requests_run_by_deadline_or_by_aging_time(self):
        pool = make_pool(1, 1, 1)
        running = start(pool, 0.0, "running")
        pool.submit(make_request("late", deadline_s=50.0), 0.0)
        pool.submit(make_request("early", deadline_s=1.5), 0.0)
        pool.submit(make_request("newer", deadline_s=2.8), 1.0)
        order = []
        for _ in range(3):
            end(pool, running, 1.2)
            (running,) = pool.next_dispatches(1.2)
            order.append(running.request_id)
        self.assertEqual(order, ["early", "late", "newer"])

    def test_one_slot_stays_free_of_long_requests(self):
        pool = make_pool(2, 2, 3)
        warm_up(pool, 30, "short", 0.01)
        for _ in range(4):
            pool._classes.record("long", 1.0)
        for number in range(6):
            pool.submit(make_request(f"long{number}", "long"), 1.0)
        self.assertEqual(len(pool.next_dispatches(1.0)), 2)
        self.assertEqual(start(pool, 1.0, "quick").request_id, "quick")

    def test_hedge_uses_another_server_and_the_slower_attempt_keeps_its_slot(self):
        pool = make_pool(2, 1, 2)
        now_s = warm_up(pool, 100, "short")
        first = start(pool, now_s)
        wakeup_s = pool.next_wakeup_s(now_s)
        self.assertAlmostEqual(wakeup_s, now_s + 0.01)
        (hedge,) = pool.next_dispatches(wakeup_s)
        self.assertTrue(hedge.hedge)
        self.assertNotEqual(hedge.server, first.server)
        self.assertTrue(end(pool, hedge, wakeup_s + 0.01).ended)
        self.assertEqual(pool.load(now_s).in_progress, 1)
        self.assertFalse(end(pool, first, now_s).retry)
        self.assertEqual(pool.load(now_s).in_progress, 0)

    def test_hedge_never_shares_the_server_of_the_first_attempt(self):
        pool = make_pool(2, 2, 4)
        now_s = warm_up(pool, 100, "short")
        first = start(pool, now_s)
        (other,) = {"a", "b"} - {first.server}
        pool.mark_leaving(other, now_s)
        self.assertEqual(pool.next_dispatches(pool.next_wakeup_s(now_s)), [])

    def test_retry_prefers_another_server_and_ends_at_the_attempt_limit(self):
        pool = make_pool(3, 1, 3)
        pool.submit(make_request("a"), 0.0)
        servers = set()
        for retry in (True, True, False):
            (dispatch,) = pool.next_dispatches(0.0)
            servers.add(dispatch.server)
            self.assertEqual(end(pool, dispatch, 0.0, DispatchOutcome.TIMED_OUT).retry, retry)
        self.assertEqual(servers, set(SERVERS))
        self.assertEqual(pool.counters["not_retried.attempts"], 1)

    def test_request_that_may_have_run_is_retried_only_if_idempotent(self):
        for outcome in DispatchOutcome:
            pool = make_pool()
            dispatch = start(pool, 0.0, idempotent=False)
            self.assertEqual(end(pool, dispatch, 0.0, outcome).retry, outcome in NOT_RUN)

    def test_retry_keeps_to_budget_and_deadline(self):
        cases = [("budget", {"retry_percent": 0, "retry_burst": 0}, 100.0), ("deadline", {}, 10.15)]
        for obstacle, options, deadline_s in cases:
            pool = make_pool(2, 1, 2, **options)
            warm_up(pool, 30, "short", 0.1)
            dispatch = start(pool, 10.0, deadline_s=deadline_s)
            decision = end(pool, dispatch, 10.1, DispatchOutcome.CONNECT_FAILED)
            self.assertEqual((decision.retry, decision.retry_reason), (False, obstacle))

    def test_next_wakeup_is_the_deadline_of_a_queued_request(self):
        pool = make_pool(1, 1, 1)
        for name in ("running", "waiting"):
            pool.submit(make_request(name, deadline_s=7.0), 0.0)
        pool.next_dispatches(0.0)
        self.assertEqual(pool.next_wakeup_s(0.0), 7.0)
        (refusal,) = pool.pop_refused(7.0)
        self.assertEqual(("waiting", Outcome.NOT_RUN), (refusal.request_id, refusal.outcome))
        self.assertIs(refusal.failure.code, Code.DEADLINE_PASSED)

    def test_poison_request_never_reaches_a_third_server(self):
        pool = make_pool(3, 1, 3)
        pool.submit(make_request("a"), 0.0)
        for now_s in (0.0, 1.0):
            (dispatch,) = pool.next_dispatches(now_s)
            decision = end(pool, dispatch, now_s, DispatchOutcome.RESET, fresh_connection=True)
        self.assertEqual(decision.retry_reason, "quarantined")
        self.assertIs(pool.submit(make_request("a"), 2.0).err().code, Code.QUARANTINED)


if __name__ == "__main__":
    unittest.main()
