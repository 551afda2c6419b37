"""Silent connections, crashing requests, store faults and operators, with real processes."""

import threading
import time
import unittest

from bench.caller import Verdict, Work
from figfold.core.codes import Code
from figfold.platform.client import PlatformClient
from test.small_deployment import (
    CAP,
    CONVERGENCE_LIMIT_S,
    PLACES,
    ProcessCase,
    mixed_work,
    write_sheet,
)
from test.support import exchange, start_standin, wait_until

ANSWERS = 60
BOOKINGS_AFTER_FAULT = 10
CLIENT_TIMEOUT_S = 30
CLIENT_CONNECTIONS = 4
WAITING_CALLS = 8
SILENCE_S = 5  # longer than the time after which a peer is suspected
OUTAGE_S = 5  # longer than a read of the store confirms a plan
READ_DEADLINE_S = 3
DOCUMENT_LIMIT_S = 10  # a third of the service's deadline
REPORTS_S = 2.5  # two rounds of reports between entries
STORE_UNREACHABLE = "601"
POISON = (("Figfold-Poison", "1"),)


def reads_only(_caller, number):
    """Return reads of two services in turn."""
    if number % 3:
        return Work("stockview", "GET", f"/short/{number}")
    return Work("certvault", "GET", f"/bulk/{number}/20000")


def _bookings_only(caller, number):
    return Work("cutdesk", "POST", "/echo/book", b"book", f"{caller.name}-key-{number}")


class ServerAndPeerFaultTest(ProcessCase):
    options = {"backend": {"poison_down_ms": 500}}

    def test_reads_go_on_when_all_connections_to_servers_are_silenced(self):
        load = self.load(next_work=reads_only)
        load.wait_for_answers(ANSWERS)
        self.deployment.set_server_faults(silence_connections=True)
        load.wait_for_answers(ANSWERS)
        tally = load.stop()
        self.assert_outcomes_match_record(tally)
        self.assertEqual({Verdict.WHOLE}, set(tally.count_by_verdict))
        self.assertLess(max(tally.seconds_by_service["stockview"]), READ_DEADLINE_S)
        self.assertLess(max(tally.seconds_by_service["certvault"]), DOCUMENT_LIMIT_S)
        self.assert_no_loop_errors()

    def test_entries_are_live_again_when_connections_between_them_are_silenced(self):
        load = self.load(next_work=reads_only)
        load.wait_for_answers(ANSWERS)
        for ends in (PLACES, PLACES[::-1]):
            silenced = self.deployment.network.control(
                "POST", "/silence", {"from_place": ends[0], "to_place": ends[1]}
            )
            self.assertGreater(silenced["connections"], 0)
        time.sleep(SILENCE_S)
        self.deployment.wait_until_converged()
        load.wait_for_answers(ANSWERS)
        tally = load.stop()
        self.assert_outcomes_match_record(tally)
        self.assertEqual({Verdict.WHOLE}, set(tally.count_by_verdict))
        self.assert_no_loop_errors()

    def test_request_that_crashes_servers_is_stopped_at_all_entries(self):
        load = self.load(next_work=reads_only)
        load.wait_for_answers(ANSWERS)
        codes = []
        for entry in self.deployment.entry_by_name.values():
            codes.append(self._send_poison(entry))
            time.sleep(REPORTS_S)
        servers = self.deployment.record()["servers"].values()
        self.assertLessEqual(sum(server["crashes"] for server in servers), 2)
        self.assertEqual("313", codes[-1])
        load.wait_for_answers(ANSWERS)
        self.assert_outcomes_match_record(load.stop())
        self.assert_no_loop_errors()

    def _send_poison(self, entry):
        path = "/s/stockview/short/poison"
        answer, _ = exchange(entry.ready["address"], "GET", path, headers=POISON)
        return answer.getheader("Figfold-Code")


class StoreAndOperatorTest(ProcessCase):
    def setUp(self):
        self.addCleanup(self.deployment.set_store_faults)

    def test_outage_leaves_reads_and_refuses_bookings_openly(self):
        self._check_outage({"mode": "down"})

    def test_silent_store_leaves_reads_and_refuses_bookings_openly(self):
        self._check_outage({"mode": "silent"})

    def test_lost_answers_lose_and_double_no_booking(self):
        load = self.load(next_work=_bookings_only)
        self.deployment.set_store_faults({"mode": "lose_answers", "probability": 0.3})
        load.wait_for_answers(ANSWERS)
        self.deployment.set_store_faults()
        load.wait_for_answers(BOOKINGS_AFTER_FAULT)
        self.assert_outcomes_match_record(load.stop())
        self.assert_no_loop_errors()

    def test_entry_that_starts_in_an_outage_takes_the_plan_from_its_peers(self):
        name = "bne-north-e2"
        version = self._version()
        self.deployment.set_store_faults({"mode": "down"})
        self.deployment.kill_entry(name)
        self.deployment.start_entry(name, "bne-north", same_addresses=True)
        wait_until(
            lambda: self.deployment.status(name)["plan_version"] == version, CONVERGENCE_LIMIT_S
        )
        self.assertIn("'source': 'peer'", self.deployment.log_path(name).read_text())
        self.deployment.set_store_faults()
        self.deployment.wait_until_converged()

    def _check_outage(self, fault):
        load = self.load(next_work=mixed_work)
        load.wait_for_answers(ANSWERS)
        self.deployment.set_store_faults(fault)
        time.sleep(OUTAGE_S)
        first_uses = {"Figfold-First-Use": "1"}
        self.assertEqual((STORE_UNREACHABLE, "unknown"), self._book("outage-1"))
        self.assertEqual((STORE_UNREACHABLE, "not-run"), self._book("outage-2", first_uses))
        reads = load.tally().answer_count("stockview")
        wait_until(lambda: load.tally().answer_count("stockview") > reads, CONVERGENCE_LIMIT_S)
        self.deployment.set_store_faults()
        self.deployment.wait_until_converged()
        wait_until(lambda: self._book("outage-1") == ("0", "ran"), CONVERGENCE_LIMIT_S)
        booked = load.tally().answer_count("cutdesk")
        wait_until(lambda: load.tally().answer_count("cutdesk") > booked, CONVERGENCE_LIMIT_S)
        self.assert_outcomes_match_record(load.stop())
        self.assertNotIn(self._key("outage-2"), self.deployment.record()["runs_by_key"])
        self.assert_no_loop_errors()

    def _key(self, name):
        return f"{self._testMethodName}-{name}"

    def _book(self, key, headers=None):
        address = self.deployment.entry_by_name["bne-north-e1"].ready["address"]
        headers = {"Idempotency-Key": self._key(key)} | (headers or {})
        answer, _ = exchange(address, "POST", "/s/cutdesk/echo/book", b"book", headers)
        return answer.getheader("Figfold-Code"), answer.getheader("Figfold-Outcome")

    # Operators.

    def test_same_sheet_twice_at_once_is_one_plan(self):
        version = self._version()
        self._write("same", (60, 40))
        results = self._apply_at_once("same", "same")
        self.assertEqual([0, 0], [status for status, _, _ in results], results)
        self.assert_everywhere(version + 1)

    def test_of_two_sheets_at_once_one_is_refused_with_the_winning_version(self):
        version = self._version()
        self._write("first", (70, 30))
        self._write("second", (30, 70))
        results = self._apply_at_once("first", "second", expected=version)
        refused = [output for status, output, _ in results if status]
        self.assertEqual(1, len(refused), results)
        self.assertIn(str(version + 1), refused[0])
        self.assert_everywhere(version + 1)

    def test_lost_answer_of_the_accepting_write_is_one_plan(self):
        version = self._version()
        self._write("lost", (20, 80))
        fault = {"mode": "lose_answers", "count": 1, "tables": ["plan"]}
        self.deployment.set_store_faults(fault)
        status, output, _ = self.deployment.apply_sheet("lost")
        self.assertEqual(0, status, output)
        self.assert_everywhere(version + 1)

    def test_truncated_sheet_changes_nothing(self):
        version = self._version()
        self._write("whole", (10, 90))
        path = self.deployment.examples / "small-whole.csv"
        lines = path.read_text(encoding="utf-8").splitlines()
        cut = self.deployment.examples / "small-cut.csv"
        cut.write_text("\n".join(lines[:-1]) + "\n", encoding="utf-8")
        status, output, _ = self.deployment.apply_sheet("cut")
        self.assertNotEqual(0, status)
        self.assertIn("E203", output)
        self.assert_everywhere(version)

    def assert_everywhere(self, version):
        versions = {self.deployment.status(name)["plan_version"] for name in self._names()}
        self.assertEqual({version}, versions)

    def _names(self):
        return self.deployment.entry_by_name

    def _version(self):
        return max(self.deployment.status(name)["plan_version"] for name in self._names())

    def _write(self, sheet, shares):
        write_sheet(self.deployment.examples / f"small-{sheet}.csv", CAP, shares)

    def _apply_at_once(self, *sheets, expected=None):
        results = []
        options = () if expected is None else ("--expect", str(expected))

        def apply(sheet):
            results.append(self.deployment.apply_sheet(sheet, *options))

        threads = [threading.Thread(target=apply, args=(sheet,)) for sheet in sheets]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results


class ClientConnectionsTest(unittest.TestCase):
    def test_bookings_that_wait_for_the_store_do_not_hold_up_the_plan(self):
        threads = []
        # The calls end when the platform is stopped; its cleanup runs before this one.
        self.addCleanup(lambda: [thread.join() for thread in threads])
        platform = start_standin("platform")
        self.addCleanup(platform.stop)
        platform.control("POST", "/faults", {"mode": "silent", "tables": ["bookings"]})
        client = PlatformClient.from_config(
            platform.ready["url"],
            "e1",
            PLACES[0],
            CLIENT_TIMEOUT_S,
            CLIENT_CONNECTIONS,
            bulk_prefixes=("bookings",),
        )
        for number in range(WAITING_CALLS):
            arguments = ("bookings", str(number))
            threads.append(threading.Thread(target=client.get_row, args=arguments, daemon=True))
            threads[-1].start()
        reserved = CLIENT_CONNECTIONS // 2
        wait_until(lambda: _silent_calls(platform) >= CLIENT_CONNECTIONS - reserved)
        self.assertEqual(Code.STORE_MISSING, client.get_row("plan", "head").unwrap_err().code)


def _silent_calls(platform):
    return platform.control("GET", "/counters")["fault_hits"]["silent"]
