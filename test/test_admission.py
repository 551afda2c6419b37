"""Admission control under a shortage, without a network."""

import time
import unittest
from itertools import count
from types import SimpleNamespace
from unittest.mock import Mock, patch

import eventlet
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from bench.platform_deployment import PlatformDeployment, ServiceServers, make_configuration
from figfold.core.admission.concurrency_limit import REJECTED_FACTOR, ConcurrencyLimit
from figfold.core.admission.fair_queue import FairOrder
from figfold.core.admission.repeats import REPEAT_WINDOW_S, RepeatDetector
from figfold.core.admission.service_admission import (
    MAX_QUEUED_PER_PRIORITY,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    AdmissionRequest,
    ServiceAdmission,
    State,
)
from figfold.core.admission.shortage import (
    ENTER_SHARE,
    LEAVE_AFTER_S,
    LEAVE_SHARE,
    STALE_S,
    ShortageDetector,
    is_crowded,
)
from figfold.core.codes import Code
from figfold.core.organisations.access import Access
from figfold.core.organisations.organisation import Organisation
from figfold.core.traffic.configuration import Configuration, Repeatability, Route
from figfold.core.traffic.server_load import LoadReport
from figfold.core.traffic.splitting import ServiceSplitter
from figfold.entry.clock import now_s
from figfold.gateway.admission import AdmissionControl
from figfold.gateway.request_run import RequestRun
from figfold.gateway.request_runner import RequestRunner
from figfold.gateway.requests import CALLER_DISCONNECTED, DEADLINE_CHANGED, RequestFailure
from test.admission_load import ROUND_TRIP_S, SLOTS, Kind, Load
from test.test_gateway_run import choice_expected_in, make_run

WORK_S = 0.3
TARGET_S = 0.8
NUMBERS = count()  # Of fingerprints, each of which is used once.


def capacity_per_s(servers):
    return servers * SLOTS / (WORK_S + ROUND_TRIP_S)


def steadily(rate):
    return lambda _now_s: rate


def ask(admission, now=0.0, **changes):
    values = {
        "organisation": "",
        "priority": 0,
        "fingerprint": f"f{next(NUMBERS)}",
        "target_latency_s": 1.0,
        "deadline_s": now + 3.0,
        "expected_run_s": 0.2,
        "on_admitted": Mock(),
    }
    request = AdmissionRequest(**(values | changes))
    admission.request(request, now)
    return request


def short_admission(in_progress=1, limit=1.0, duration_s=0.2, now=0.0):
    """Return an admission during a shortage, and the requests in progress that use up its limit."""
    admission = ServiceAdmission(Mock())
    running = [ask(admission, now, fingerprint=f"running{one}") for one in range(in_progress)]
    admission.limit.observe_duration(duration_s, duration_s)
    admission.limit.value = limit
    admission.shortage.is_short = True
    admission.shortage.backlogged_s = now
    return admission, running


class BurstTest(unittest.TestCase):
    """A burst of 2.4 times the capacity fills the servers' queues, so that all answers are late."""

    SERVERS, ENTRIES = 40, 8

    def run_service(self, shares_by_priority, is_on=True):
        capacity = capacity_per_s(self.SERVERS)
        kinds = [
            Kind(f"p{priority}", steadily(2.4 * share * capacity), WORK_S, TARGET_S, 3.0, priority)
            for priority, share in shares_by_priority.items()
        ]
        return Load(kinds, self.SERVERS, self.ENTRIES, is_on).run(8.0)

    def test_more_requests_are_answered_in_time_than_without_control(self):
        for shares in ({0: 1.0}, {1: 0.6, 2: 0.4}):
            with self.subTest(shares):
                controlled = self.run_service(shares, True).tally("", 4.0, 7.0)
                free = self.run_service(shares, False).tally("", 4.0, 7.0)
                self.assertLess(free.in_time, 0.1 * free.answered)
                self.assertGreater(controlled.in_time, 0.65 * controlled.answered)

    def test_slots_stay_in_use(self):
        load = self.run_service({1: 0.6, 2: 0.4})
        answered = load.tally("", 3.0, 7.0).answered
        self.assertGreater(answered, 0.93 * 4.0 * capacity_per_s(self.SERVERS))

    def test_the_more_urgent_are_answered_more_often(self):
        load = self.run_service({0: 0.2, 1: 0.4, 2: 0.4})
        ratios = [load.tally(f"p{one}", 3.0, 7.0).ratio for one in range(3)]
        self.assertEqual(sorted(ratios, reverse=True), ratios)
        self.assertGreater(ratios[0], 0.85)

    def test_few_requests_are_sent_to_full_servers(self):
        load = self.run_service({0: 1.0})
        self.assertLess(load.rejected, 0.02 * len(load.calls))


class NoStarvationTest(unittest.TestCase):
    """The least urgent kind has the most requests, so that a fixed share would starve it."""

    def test_no_kind_is_served_less_than_a_quarter_as_often_as_all(self):
        capacity = capacity_per_s(40)
        kinds = [
            Kind("p0", steadily(1.2 * capacity), WORK_S, TARGET_S, 3.0, 0),
            Kind("p2", steadily(6.0 * capacity), WORK_S, TARGET_S, 3.0, 2),
        ]
        load = Load(kinds, 40, 8).run(7.0)
        all_ratio = load.tally("", 2.0, 6.0).ratio
        for kind in kinds:
            self.assertGreaterEqual(load.tally(kind.name, 2.0, 6.0).ratio, 0.25 * all_ratio)


class HotOrganisationTest(unittest.TestCase):
    """One organisation at six times its usual load takes the room of all others."""

    def test_the_others_are_hardly_affected(self):
        capacity = capacity_per_s(40)
        usual = 0.8 * capacity / 10
        names = [*(f"o{one}" for one in range(9)), "hot"]

        def hot_rate(now):
            return usual if now < 4.0 else 6.0 * usual

        def run(is_on):
            kinds = [
                Kind(
                    name,
                    hot_rate if name == "hot" else steadily(usual),
                    WORK_S,
                    TARGET_S,
                    organisation=name,
                )
                for name in names
            ]
            load = Load(kinds, 40, 8, is_on)
            for admission in load.admissions:
                for _ in range(100):  # The usual demand of some minutes before.
                    for name in names:
                        admission._usual_demand.count(name, 0.0)
            load.run(13.0)
            return {name: load.tally(name, 7.0, 12.0) for name in ("", *names)}

        tallies = run(True)
        self.assertGreaterEqual(tallies["hot"].ratio, 0.25 * tallies[""].ratio)
        others = [tallies[name] for name in names[:-1]]
        in_time = sum(one.in_time for one in others) / sum(one.offered for one in others)
        self.assertGreater(in_time, 0.82)
        for one in others:
            self.assertGreater(one.ratio, 0.82)
            self.assertGreater(one.ratio, 1.1 * tallies["hot"].ratio)
        uncontrolled = run(False)
        free = [uncontrolled[name] for name in names[:-1]]
        self.assertLess(sum(one.in_time for one in free), 0.3 * sum(one.offered for one in free))

    def test_a_large_organisation_is_served_as_often_as_a_small_one(self):
        # Equal shares would answer a small part of the requests of a large organisation.
        capacity = capacity_per_s(40)
        kinds = [
            Kind(f"o{one}", steadily(0.05 * capacity), organisation=f"o{one}") for one in range(10)
        ]
        kinds.append(Kind("large", steadily(1.5 * capacity), organisation="large"))
        load = Load(kinds, 40, 8).run(10.0)
        all_ratio = load.tally("", 4.0, 9.0).ratio
        self.assertGreater(load.tally("large", 4.0, 9.0).ratio, 0.6 * all_ratio)


class RepeatTest(unittest.TestCase):
    """Callers who repeat a request at once take the places of those who ask for the first time."""

    def test_repeats_do_not_displace_first_attempts(self):
        capacity = capacity_per_s(40)

        def ratio_of_patient(repeat_after_s):
            kinds = [
                Kind("patient", steadily(0.6 * capacity)),
                Kind("hasty", steadily(1.0 * capacity), repeat_after_s=repeat_after_s),
            ]
            return Load(kinds, 40, 8).run(9.0).tally("patient", 4.0, 8.0).ratio

        self.assertGreater(ratio_of_patient(0.05), 0.85 * ratio_of_patient(None))

    def test_a_repeat_waits_behind_later_first_attempts(self):
        admission, running = short_admission(limit=1.0, duration_s=0.05)
        first = ask(admission, 0.0, fingerprint="a")
        repeat = ask(admission, 0.1, fingerprint="a")
        later = ask(admission, 0.2, fingerprint="b", organisation="other")
        self.assertEqual([State.WAITING] * 3, [one.state for one in (first, repeat, later)])
        admission.end(running[0], 0.3)
        admission.end(later if later.state is State.ADMITTED else first, 0.3)
        self.assertIs(State.WAITING, repeat.state)
        admission.end(later if later.state is State.ADMITTED else first, 0.3)
        self.assertIs(State.ADMITTED, repeat.state)

    def test_a_caller_who_returns_when_told_does_not_repeat(self):
        admission, _ = short_admission(duration_s=2.0)
        refused = ask(admission, 0.0, fingerprint="a")
        self.assertIs(State.REFUSED, refused.state)
        early = RepeatDetector()
        early.observe("", "a", 0.0)
        early.allow_after("", "a", 0.4)
        self.assertTrue(early.observe("", "a", 0.3))
        early.allow_after("", "a", 0.5)
        self.assertFalse(early.observe("", "a", 0.5))
        self.assertFalse(early.observe("", "a", 0.5 + REPEAT_WINDOW_S))

    def test_requests_of_two_organisations_are_not_repeats_of_each_other(self):
        repeats = RepeatDetector()
        self.assertFalse(repeats.observe("one", "a", 0.0))
        self.assertFalse(repeats.observe("other", "a", 0.1))


class LeavingCallersTest(unittest.TestCase):
    """Callers who leave while they wait would keep their places until their time is over."""

    def test_impatient_callers_leave_nothing_behind(self):
        capacity = capacity_per_s(40)
        kinds = [Kind("impatient", steadily(2.4 * capacity), patience_s=0.15)]
        load = Load(kinds, 40, 8).run(5.0)
        self.assertGreater(load.tally().gone, 0)
        load.resume(9.0)
        self.assertEqual(0, load.queued())
        self.assertEqual(0, sum(one.in_progress for one in load.admissions))

    def test_a_place_is_free_at_once(self):
        admission, running = short_admission()
        gone = ask(admission, 0.0)
        admission.end(gone, 0.05)
        self.assertEqual(0, len(admission.queue))
        admission.end(running[0], 0.1)
        gone.on_admitted.assert_not_called()
        self.assertEqual(0, admission.in_progress)


class EndOfWaveTest(unittest.TestCase):
    """A queue that outlives a wave delays requests for which there are free slots."""

    def test_the_queue_is_empty_one_target_latency_later(self):
        capacity = capacity_per_s(40)

        def wave(now):
            return (2.4 if now < 5.0 else 0.3) * capacity

        load = Load([Kind("wave", wave, WORK_S, TARGET_S)], 40, 8).run(10.0)
        self.assertGreater(load.tally("", 2.0, 5.0).refused, 0)
        again = Load([Kind("wave", wave, WORK_S, TARGET_S)], 40, 8)
        queued = []
        again.at(4.9, lambda: queued.append(again.queued()))
        again.at(5.0 + TARGET_S, lambda: queued.append(again.queued()))
        again.run(10.0)
        self.assertGreater(queued[0], 0)
        self.assertEqual(0, queued[1])
        after = again.tally("", 5.0 + TARGET_S, 9.0)
        self.assertEqual(after.offered, after.in_time)
        self.assertFalse(any(one.shortage.is_short for one in again.admissions))


class FreeSlotTest(unittest.TestCase):
    """72 entries that see the same free slot would all send a request to it."""

    def test_few_entries_take_a_slot_that_all_see(self):
        entries = []
        for number in range(72):
            admission, _ = short_admission(in_progress=3, limit=3.0 + number / 72)
            entries.append((admission, ask(admission, 0.0)))
        for admission, _ in entries:
            admission.observe_answer(0.2, 0.2, False, True, 0.1)
        taken = sum(waiting.state is State.ADMITTED for _, waiting in entries)
        self.assertGreater(taken, 0)
        self.assertLessEqual(taken, 0.3 * len(entries))

    def test_a_freed_slot_goes_to_the_entry_whose_request_ended(self):
        entries = []
        for _ in range(72):
            admission, running = short_admission(in_progress=3, limit=3.0)
            entries.append((admission, running, ask(admission, 0.0)))
        entries[0][0].end(entries[0][1][0], 0.1)
        states = [waiting.state for _, _, waiting in entries]
        self.assertEqual(1, states.count(State.ADMITTED))

    def test_many_entries_with_few_slots_neither_flood_nor_idle(self):
        capacity = capacity_per_s(40)
        load = Load([Kind("all", steadily(2.4 * capacity))], 40, 72).run(8.0)
        tally = load.tally("", 3.0, 7.0)
        self.assertGreater(tally.answered, 0.93 * 4.0 * capacity)
        self.assertGreater(tally.in_time, 0.6 * tally.answered)


class SmallServiceTest(unittest.TestCase):
    """72 entries send a service of 60 slots less than two requests a second each."""

    def run_service(self, factor, is_on):
        kind = Kind("downloads", steadily(factor * 60 / 0.444), 0.44, 0.724, 3.62)
        return Load([kind], 20, 72, is_on).run(12.0).tally("", 4.0, 11.0)

    def test_entries_with_few_requests_see_the_shortage(self):
        for factor in (1.2, 2.4):
            controlled, free = self.run_service(factor, True), self.run_service(factor, False)
            self.assertLess(free.in_time, 0.05 * free.answered)
            self.assertGreater(controlled.in_time, 0.3 * controlled.answered)
            self.assertGreater(controlled.answered, 0.88 * free.answered)

    def test_nothing_changes_without_a_shortage(self):
        controlled, free = self.run_service(0.7, True), self.run_service(0.7, False)
        self.assertGreater(controlled.in_time, 0.97 * free.in_time)
        self.assertEqual(controlled.offered, controlled.answered)


class EnoughRoomTest(unittest.TestCase):
    """Holding requests back while slots are free lowers what callers get."""

    def test_nothing_waits_while_the_service_is_not_short(self):
        capacity = capacity_per_s(40)
        kinds = [Kind("all", steadily(0.9 * capacity))]
        load = Load(kinds, 40, 8).run(8.0)
        self.assertEqual([], load.changes)
        self.assertEqual(0, load.tally().refused)

    def test_an_uneven_choice_of_servers_is_no_shortage(self):
        # Randomly chosen servers are full beside others that are free.
        kinds = [Kind("all", steadily(0.8 * capacity_per_s(40)))]
        free = Load(kinds, 40, 8, is_on=False, candidates=1).run(8.0)
        controlled = Load(kinds, 40, 8, candidates=1).run(8.0)
        self.assertGreater(controlled.tally().answered, 0.98 * free.tally().answered)

    def test_any_number_is_admitted_without_a_shortage(self):
        admission = ServiceAdmission(Mock())
        states = {ask(admission, 0.0).state for _ in range(500)}
        self.assertEqual({State.ADMITTED}, states)


class ShortageDetectorTest(unittest.TestCase):
    """A shortage that begins and ends many times a second switches the limit on and off."""

    def test_it_begins_above_one_share_and_ends_below_a_lower_one(self):
        detector = ShortageDetector()
        shares = []
        for step in range(800):
            now = step * 0.02
            is_rising = step < 300
            detector.observe(step % 2 == 0 if is_rising else False, False, now)
            share = detector.pressed_share(now)
            if detector.update(False, now):
                shares.append((detector.is_short, share))
        self.assertEqual([True, False], [is_short for is_short, _ in shares])
        self.assertGreater(shares[0][1], ENTER_SHARE)
        self.assertLess(shares[1][1], LEAVE_SHARE)

    def test_one_rejection_is_no_shortage(self):
        detector = ShortageDetector()
        detector.observe(True, False, 0.0)
        self.assertFalse(detector.update(False, 0.0))

    def test_attempts_are_forgotten(self):
        detector = ShortageDetector()
        for _ in range(20):
            detector.observe(True, False, 0.0)
        self.assertGreater(detector.pressed_share(0.0), ENTER_SHARE)
        self.assertEqual(0.0, detector.pressed_share(STALE_S + 0.1))

    def test_free_slots_count_against_full_servers(self):
        detector = ShortageDetector()
        for number in range(300):
            detector.observe(number % 3 < 2, number % 3 == 2, number * 0.01)
        self.assertLess(detector.pressed_share(3.0), ENTER_SHARE)

    def test_it_lasts_while_requests_wait_at_the_entry(self):
        detector = ShortageDetector(is_short=True, backlogged_s=0.0)
        for step in range(100):
            detector.update(True, step * 0.1)
        self.assertTrue(detector.is_short)
        detector.update(False, 10.0 + LEAVE_AFTER_S)
        self.assertFalse(detector.is_short)

    def test_a_server_is_crowded_once_its_queue_takes_up_the_time_left(self):
        # Three requests wait for three slots, which takes one run of 0.3 s.
        report = LoadReport(3, 3, 3)
        self.assertTrue(is_crowded(report, 0.3, 0.8))
        self.assertFalse(is_crowded(report, 0.3, 1.0))
        self.assertFalse(is_crowded(LoadReport(3, 1, 3), 0.3, 0.3))


class ConcurrencyLimitTest(unittest.TestCase):
    """A limit that falls with each of many rejections leaves most slots unused."""

    def test_it_falls_once_per_round_trip_time(self):
        limit = ConcurrencyLimit(16.0)
        limit.observe_duration(0.2, 0.2)
        for step in range(10):
            limit.decrease_by_rejection(1.0 + step * 0.01)
        self.assertEqual(16.0 * REJECTED_FACTOR, limit.value)
        limit.decrease_by_rejection(1.21)
        self.assertEqual(16.0 * REJECTED_FACTOR**2, limit.value)

    @given(st.lists(st.sampled_from(("answer", "free", "reject")), max_size=200))
    def test_it_is_never_below_one(self, events):
        limit = ConcurrencyLimit()
        for number, event in enumerate(events):
            if event == "reject":
                limit.decrease_by_rejection(float(number))
            else:
                limit.increase(limit.slots, event == "free")
            self.assertGreaterEqual(limit.value, 1.0)

    def test_it_does_not_rise_while_it_is_not_used(self):
        limit = ConcurrencyLimit(10.0)
        for _ in range(100):
            limit.increase(2, True)
        self.assertEqual(10.0, limit.value)


class FairOrderTest(unittest.TestCase):
    """A flow with much more to send than others gets more than its share."""

    @given(st.lists(st.sampled_from((1.0, 2.0, 4.0)), min_size=2, max_size=6))
    def test_backlogged_flows_are_served_by_their_weights(self, weights):
        order = FairOrder(lambda flow: weights[flow])
        for flow in range(len(weights)):
            order.join(flow)
        served = [0] * len(weights)
        for _ in range(300):
            flow = order.next_flow(range(len(weights)))
            order.serve(flow)
            served[flow] += 1
            normalised = [one / weight for one, weight in zip(served, weights, strict=True)]
            self.assertLessEqual(max(normalised) - min(normalised), 2.0)

    def test_an_idle_flow_gains_no_more_than_its_credit(self):
        for credit in (0, 3):
            order = FairOrder(lambda _flow: 1.0, credit)
            order.join("busy")
            for _ in range(100):
                order.serve("busy")
            served = []
            order.join("idle")
            for _ in range(20):
                flow = order.next_flow(("busy", "idle"))
                order.serve(flow)
                served.append(flow)
            self.assertLessEqual(abs(served.count("idle") - 10 - credit / 2), 1)


class RefusalTest(unittest.TestCase):
    """A caller that is refused late has no time left to try elsewhere."""

    def test_a_request_that_cannot_end_in_time_is_refused_at_once(self):
        admission, _ = short_admission()
        late = ask(admission, 0.0, deadline_s=0.15)
        self.assertIs(State.REFUSED, late.state)
        self.assertEqual("deadline", late.reason)

    def test_a_request_is_refused_at_once_if_the_backlog_drains_too_late(self):
        admission, _ = short_admission(in_progress=2, limit=2.0, duration_s=0.2)
        asked = [ask(admission, 0.0, fingerprint=str(one)) for one in range(30)]
        states = [one.state for one in asked]
        self.assertIs(State.WAITING, states[0])
        self.assertIs(State.REFUSED, states[-1])
        self.assertEqual("wait-too-long", asked[-1].reason)

    def test_the_number_of_waiting_requests_is_bounded(self):
        admission, _ = short_admission(in_progress=3, limit=3.0, duration_s=0.0001)
        asked = [ask(admission, 0.0, fingerprint=str(one)) for one in range(500)]
        self.assertEqual(MAX_QUEUED_PER_PRIORITY, len(admission.queue))
        self.assertEqual("queue-full", asked[-1].reason)

    def test_callers_do_not_return_together(self):
        admission, _ = short_admission(in_progress=4, limit=4.0, duration_s=0.4)
        asked = [ask(admission, 0.0, fingerprint=str(one)) for one in range(60)]
        times = sorted(one.retry_after_s for one in asked if one.state is State.REFUSED)
        self.assertGreaterEqual(times[0], MIN_RETRY_AFTER_S)
        self.assertLessEqual(times[-1], MAX_RETRY_AFTER_S)
        # No tenth of the time has more than three times the callers of an even spread.
        span_s = times[-1] - times[0]
        self.assertGreater(span_s, 0.5)
        counts = [0] * 10
        for one in times:
            counts[min(9, int(10 * (one - times[0]) / span_s))] += 1
        self.assertLess(max(counts), 0.3 * len(times))

    def test_a_longer_backlog_gives_a_longer_time(self):
        def retry_after_s(duration_s):
            admission, _ = short_admission(in_progress=2, limit=2.0, duration_s=duration_s)
            refused = ask(admission, 0.0, deadline_s=0.1)
            return refused.retry_after_s

        self.assertGreater(retry_after_s(4.0), retry_after_s(1.0))


class WaitingRunTest(unittest.TestCase):
    """A run waits for admission on the queue of its events."""

    def setUp(self):
        self.control = AdmissionControl(Mock(), Mock())
        self.service = self.control._for_service("stock")
        self.service.limit.observe_duration(0.1, 0.1)
        self.running = ask(self.service, now_s())
        self.service.shortage.is_short = True
        self.service.shortage.backlogged_s = now_s()

    def make_run(self):
        run = make_run(choice_expected_in(0.1))
        run.runner.cluster.servers_age_s.return_value = 0.0
        run.runner.cluster.operator_age_s.return_value = 0.0
        run.runner.selector.load_by_server = {"s1": Mock()}
        run.runner.quarantine.is_quarantined.return_value = False
        run.runner.route_durations.return_value.warm_s.return_value = 0.1
        run.request = evolve(
            run.request, arrived_s=now_s(), caller_deadline_s=now_s() + 4.0, fingerprint="own"
        )
        run.admission = self.control.for_request("stock")
        return run

    def start(self, run):
        thread = eventlet.spawn(run.execute)
        eventlet.sleep(0)
        return thread

    def test_a_caller_that_disconnects_frees_its_place(self):
        run = self.make_run()
        thread = self.start(run)
        self.assertEqual(1, len(self.service.queue))
        run.events.put(CALLER_DISCONNECTED)
        failure = thread.wait().err()
        self.assertIs(Code.CALLER_GONE, failure.code)
        self.assertTrue(failure.is_not_run)
        self.assertEqual(0, len(self.service.queue))
        self.assertEqual(0, run.progress.started_attempts)

    def test_a_withdrawn_key_is_checked_again_after_the_wait(self):
        run = self.make_run()
        run.organisation = Organisation("mill")
        run.runner.decide_access.return_value = SimpleNamespace(
            access=Access.UNKNOWN_KEY, organisation=None
        )
        thread = self.start(run)
        run.runner.decide_access.assert_not_called()
        self.service.end(self.running, now_s())
        failure = thread.wait().err()
        self.assertIs(Code.UNKNOWN_API_KEY, failure.code)
        self.assertTrue(failure.is_not_run)
        self.assertEqual(0, run.progress.started_attempts)
        run.admission.end()
        self.assertEqual(0, self.service.in_progress)

    def test_a_request_that_waits_in_vain_is_refused_as_not_run(self):
        run = self.make_run()
        started = now_s()
        failure = self.start(run).wait().err()
        self.assertIs(Code.SERVICE_SHORT, failure.code)
        self.assertTrue(failure.is_not_run)
        self.assertGreaterEqual(failure.retry_after_s, MIN_RETRY_AFTER_S)
        self.assertLess(now_s() - started, run.route.target_latency_s)
        self.assertEqual(0, len(self.service.queue))

    def test_an_earlier_deadline_ends_the_wait(self):
        run = self.make_run()
        thread = self.start(run)
        started = now_s()
        run.runner.answers_until_s = now_s() + 0.15
        run.events.put(DEADLINE_CHANGED)
        self.assertIs(Code.SERVICE_SHORT, thread.wait().err().code)
        self.assertLess(now_s() - started, 0.15)

    def test_all_are_admitted_when_the_control_is_switched_off(self):
        run = self.make_run()
        run.runner.sender.send.side_effect = lambda *_: eventlet.sleep(5.0)
        thread = self.start(run)
        self.control.switch_off()
        eventlet.sleep(0.01)
        self.assertEqual(1, run.progress.started_attempts)
        thread.kill()
        run.cancel_all()


class SettingTest(unittest.TestCase):
    """With the setting off, a request must not meet any part of the admission control."""

    def setUp(self):
        cluster = Mock()
        cluster.operator_age_s.return_value = 0.0
        quarantine = Mock()
        quarantine.is_quarantined.return_value = False
        run = make_run(None)
        route = Route("read", "h", "/a/", Repeatability.SAFE, run.route.services)
        cluster.configuration = Configuration(1, {"read": route}, {})
        self.request = evolve(run.request, arrived_s=now_s(), caller_deadline_s=now_s() + 4.0)
        self.runner = RequestRunner(
            cluster=cluster,
            selector=None,
            sender=None,
            splitter=ServiceSplitter(),
            quarantine=quarantine,
            metrics=Mock(),
            log=Mock(),
            settings=self.settings(False),
            on_suspected_crash=None,
        )

    def settings(self, is_on):
        return SimpleNamespace(
            admission=is_on,
            revocation_bound_s=0.0,
            retry_window_s=10.0,
            retry_ratio=0.2,
            retry_slack=60.0,
        )

    def admission_of_a_request(self):
        found = []

        def execute(run):
            found.append(run.admission)
            return Err(RequestFailure(Code.NO_SERVER, True, "stub"))

        with patch.object(RequestRun, "execute", execute):
            self.runner.serve(self.request, lambda _on_disconnect: lambda: None)
        return found[0]

    def test_it_takes_effect_when_the_settings_are_reloaded(self):
        self.assertIsNone(self.admission_of_a_request())
        self.assertEqual([], self.runner.admission.gauges())
        self.runner.apply_settings(self.settings(True))
        self.assertIsNotNone(self.admission_of_a_request())
        self.runner.apply_settings(self.settings(False))
        self.assertIsNone(self.admission_of_a_request())
        self.assertEqual([], self.runner.admission.gauges())


class ProcessTest(unittest.TestCase):
    """An entry process whose callers ask for several times what its servers can run."""

    CALLERS = 60
    LOAD_S = 3.0
    WAIT_S = 15.0

    def setUp(self):
        route = {"kind": "safe", "timeoutS": 1.0, "service": "stock", "prefix": "/any/"}
        configuration = make_configuration(1, {"any": route | {"sticky": False}})
        servers = (ServiceServers("stock", "bne-north", 3),)
        self.deployment = PlatformDeployment({"bne-north": "bne"}, servers, configuration)
        self.addCleanup(self.deployment.stop)
        for endpoint in self.deployment.endpoint_by_id.values():
            endpoint.cold_s = endpoint.warm_s = 0.1
            endpoint.queue_limit = 9
        self.entry = self.deployment.start_entry("entry-1", "bne-north", admission="on")
        self.status_by_id = {}
        self.headers_by_id = {}

    def call_until(self, caller, end_s):
        for number in count():
            if time.monotonic() >= end_s:
                return
            request_id = f"c{caller}-{number}"
            status, headers, _ = self.entry.request(
                request_id, path=f"/any/{request_id}", key=request_id, deadline_ms=1000
            )
            self.status_by_id[request_id] = status
            self.headers_by_id[request_id] = headers
            if status != 200:
                eventlet.sleep(0.2)

    def wait_for_event(self, name):
        end_s = time.monotonic() + self.WAIT_S
        while time.monotonic() < end_s:
            if any(one["event"] == name for one in self.entry.events()):
                return True
            self.entry.get("metrics", "/metrics")
            eventlet.sleep(0.2)
        return False

    def test_requests_are_held_or_refused_as_not_run_until_the_shortage_ends(self):
        end_s = time.monotonic() + self.LOAD_S
        callers = [eventlet.spawn(self.call_until, one, end_s) for one in range(self.CALLERS)]
        for caller in callers:
            caller.wait()
        self.assertTrue(self.wait_for_event("service-short"))
        self.assertTrue(self.wait_for_event("service-not-short"))
        refused = [one for one in self.entry.events() if one.get("code") == Code.SERVICE_SHORT]
        self.assertTrue(refused)
        for event in refused:
            self.assertEqual("refused", event["event"])
            self.assertEqual(503, self.status_by_id[event["id"]])
            self.assertGreater(float(self.headers_by_id[event["id"]]["Retry-After"]), 0.0)
            self.assertEqual(0, self.deployment.runs(event["id"]))
        self.assertIn(200, self.status_by_id.values())
        metrics = self.entry.get("metrics", "/metrics")[2].decode()
        self.assertIn('figfold_admission_refusals_total{reason="', metrics)
        self.assertIn('figfold_admission_wait_seconds{quantile="0.5",service="stock"}', metrics)
        self.assertIn('figfold_service_short{service="stock"} 0', metrics)
        self.assertIn('figfold_admission_queued{service="stock"} 0', metrics)


if __name__ == "__main__":
    unittest.main()
