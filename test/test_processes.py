"""Kills, freezes and planned stops of real processes under load."""

import http.client
import signal
import threading
import time

from attrs import define

from bench.caller import Work
from standins.answers import find_body_error
from test.small_deployment import ProcessCase, mixed_work
from test.support import connect, wait_until

FREEZE_S = 8  # longer than both leases and their margin
SHORT_LEASES = {"seats": {"long_ttl_s": 6, "long_renew_s": 1}}
ANSWERS = 100
STOP_LIMIT_S = 30
EMPTY_WITHIN_S = 3
WATCH_EMPTY_S = 2
LARGE_BYTES = 6_000_000
CHUNK_BYTES = 65_536
READ_PAUSE_S = 0.02


class FreezeAndKillTest(ProcessCase):
    options = SHORT_LEASES

    def test_entry_paused_beyond_its_lease_keeps_to_caps(self):
        load = self.load(callers=20)
        load.wait_for_answers(ANSWERS)
        child = self.deployment.entry_by_name["bne-north-e1"].child
        child.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        child.send_signal(signal.SIGCONT)
        load.wait_for_answers(ANSWERS)
        self.assert_outcomes_match_record(load.stop(), allows_partial_answers=True)
        self.deployment.wait_until_converged()
        self.assert_no_loop_errors()

    def test_killed_entry_starts_again_at_its_addresses(self):
        self._kill_and_start("tsv-port-e1", same_addresses=True)

    def test_killed_entry_is_replaced_at_other_addresses(self):
        self._kill_and_start("tsv-port-e2", same_addresses=False)

    def _kill_and_start(self, name, same_addresses):
        before = self.deployment.entry_by_name[name].ready
        load = self.load(next_work=_booking_or_read)
        load.wait_for_answers(ANSWERS)
        self.deployment.kill_entry(name)
        load.wait_for_answers(ANSWERS)
        self.deployment.start_entry(name, before["place"], same_addresses)
        after = self.deployment.entry_by_name[name].ready
        self.assertEqual(same_addresses, before["peer_address"] == after["peer_address"])
        self.deployment.wait_until_converged()
        answered = load.tally().count_by_place[before["place"]]
        wait_until(lambda: load.tally().count_by_place[before["place"]] > answered)
        self.assert_outcomes_match_record(load.stop(), allows_partial_answers=True)
        self.assert_no_loop_errors()


def _booking_or_read(caller, number):
    if number % 2:
        return mixed_work(caller, number)
    return Work("cutdesk", "POST", "/echo/book", b"book", f"{caller.name}-key-{number}")


@define
class Stream:
    """An answer that is read slowly, with its body and the error that ended it, if any."""

    address: str
    path: str
    body: bytes = b""
    error: str = ""
    code: str = ""
    has_started: bool = False

    def read(self):
        """Send the request and read the whole answer."""
        connection = connect(self.address)
        try:
            connection.request("GET", self.path)
            answer = connection.getresponse()
            self.code = answer.getheader("Figfold-Code")
            self.has_started = True
            while chunk := answer.read(CHUNK_BYTES):
                self.body += chunk
                time.sleep(READ_PAUSE_S)
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)
        finally:
            connection.close()


class PlannedStopTest(ProcessCase):
    options = {"backend": {"mean_ms": 20}}

    def test_sigterm_cuts_off_nothing(self):
        self._stop_under_load("bne-north-e1", signal.SIGTERM)

    def test_sigint_cuts_off_nothing(self):
        self._stop_under_load("tsv-port-e1", signal.SIGINT)

    def _stop_under_load(self, name, number):
        entry = self.deployment.entry_by_name[name]
        address = entry.ready["address"]
        streams = [Stream(address, f"/s/certvault/bulk/{n}/{LARGE_BYTES}") for n in range(2)]
        streams += [Stream(address, "/s/certvault/long/1")]
        threads = [threading.Thread(target=stream.read, daemon=True) for stream in streams]
        idle = connect(address)
        self.assertEqual(200, self._read_once(idle))
        load = self.load(callers=8)
        load.wait_for_answers(ANSWERS)
        for thread in threads:
            thread.start()
        wait_until(lambda: all(stream.has_started for stream in streams[:2]))
        self.addCleanup(self._start_again, name, entry.ready["place"])
        entry.child.send_signal(number)
        self.deployment.set_state(name, "leaving")
        # A caller with an earlier look-up result still uses this entry.
        self.assertEqual(200, self._read_once(connect(address)))
        for thread in threads:
            thread.join(STOP_LIMIT_S)
        for stream in streams:
            self.assertEqual(("", "0"), (stream.error, stream.code))
            self.assertEqual("", find_body_error(stream.body, {}))
        self.assertEqual(0, entry.wait(STOP_LIMIT_S))
        self.assertRaises(OSError, self._read_once, idle)
        self.assertRaises(OSError, self._read_once, connect(address))
        load.wait_for_answers(ANSWERS)
        self.assert_outcomes_match_record(load.stop())

    def _start_again(self, name, place):
        self.deployment.entry_by_name[name].wait(STOP_LIMIT_S)
        self.deployment.start_entry(name, place)
        self.deployment.wait_until_converged()
        self.assert_no_loop_errors()

    def _read_once(self, connection):
        try:
            connection.request("GET", "/s/stockview/short/1")
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except http.client.HTTPException as error:
            raise OSError("closed") from error

    # Planned stops of backend servers.

    def test_server_leaving_by_the_list_gets_no_new_work(self):
        name = "stockview-bne-north-1"
        self._check_leaving_server(name, lambda: self.deployment.set_state(name, "leaving"))
        self.deployment.set_state(name, "live")

    def test_server_leaving_by_its_health_gets_no_new_work(self):
        name = "cutdesk-tsv-port-1"
        self._check_leaving_server(
            name, lambda: self.deployment.set_server_faults(servers=[name], leaving=True)
        )
        self.deployment.set_server_faults(servers=[name], leaving=False)

    def _check_leaving_server(self, name, show_leaving):
        load = self.load()
        load.wait_for_answers(ANSWERS)
        # Without work before the sign, the test could not show that the sign stops new work.
        wait_until(lambda: self.deployment.record()["servers"][name]["started"] > 0)
        limit_at = time.time() + EMPTY_WITHIN_S
        show_leaving()
        wait_until(lambda: time.time() > limit_at + WATCH_EMPTY_S)
        server = self.deployment.record()["servers"][name]
        self.assertLess(server["last_new_request_at"], limit_at)
        self.assertEqual((0, 0), (server["in_progress"], server["cut_off"]))
        self.assert_outcomes_match_record(load.stop())
        self.assert_no_loop_errors()
