"""All kinds of faults, mixed at random, while all guarantees are checked, in virtual time."""

import unittest

import eventlet
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    precondition,
    rule,
    run_state_machine_as_test,
)

from figfold.core.model import State
from test.false_loads import falsify_reports, report_full, report_idle, report_no_load
from test.virtual import run_virtual
from test.virtual_connections import POISON
from test.virtual_oracle import ENTRIES, IN_FORCE_S, PLACES, PromiseOracle

EXAMPLES = 8
STEPS = 14
SURGE_REQUESTS = 25
BOOKING_KEYS = 4
POISON_PAUSES_S = (0.1, 0.5, 3.0)
POISON_CRASH_LIMIT = 2

STORE_MODES = ("up", "slow", "down", "silent", "lossy", "late")
SERVER_FAULTS = ("", "reset_before", "reset_after", "short", "shed", "refuse", "silent_old")

entries = st.sampled_from(tuple(ENTRIES))
places = st.sampled_from(PLACES)


class PromiseMachine(PromiseOracle):
    """State machine whose rules are faults and traffic and whose invariants are the guarantees."""

    # Faults of the store and the network.

    @rule(mode=st.sampled_from(STORE_MODES))
    def set_store_mode(self, mode):
        if mode in ("down", "silent") and self.hub.now - self.accepted[-1][0] < IN_FORCE_S:
            # Otherwise no entry could learn of a plan that was written just before the outage.
            eventlet.sleep(IN_FORCE_S)
        self.store.mode = mode

    @rule(entry=entries, mode=st.sampled_from(STORE_MODES))
    def set_store_mode_of_one(self, entry, mode):
        self.store.mode_by_entry = {} if mode == "up" else {self.current_name_by_entry[entry]: mode}
        self.isolated_since = {}

    @rule(one=entries, other=entries)
    def cut_entries(self, one, other):
        if one != other:
            self.world.disconnected_pairs.add(
                frozenset((self.current_name_by_entry[one], self.current_name_by_entry[other]))
            )

    @rule(place=places)
    def cut_place(self, place):
        self.cut_off([name for name, at in ENTRIES.items() if at == place])

    @rule(region=st.sampled_from(("r1", "r2")))
    def cut_region(self, region):
        self.cut_off([name for name, place in ENTRIES.items() if place.startswith(region)])

    @rule(entry=entries)
    def isolate(self, entry):
        self.cut_off([entry])
        name = self.current_name_by_entry[entry]
        self.store.mode_by_entry = {name: "silent"}
        self.isolated_since = {name: self.hub.now}

    def cut_off(self, entries):
        names = [self.current_name_by_entry[entry] for entry in entries]
        for name in names:
            for other in self.current_name_by_entry.values():
                if other not in names:
                    self.world.disconnected_pairs.add(frozenset((name, other)))

    @rule()
    def heal_network(self):
        self.world.disconnected_pairs.clear()
        self.store.mode_by_entry = {}
        self.isolated_since = {}

    # Faults of entries.

    @rule(entry=entries, seconds=st.sampled_from((1.0, 2.5, 4.0, 12.0, 30.0, 60.0)))
    def freeze(self, entry, seconds):
        name = self.current_name_by_entry[entry]
        if name in self.world.process_by_name:
            self.world.freeze(name, seconds)

    @precondition(lambda self: len(self.world.process_by_name) > 2)
    @rule(entry=entries)
    def kill(self, entry):
        self.end(self.current_name_by_entry[entry])

    def end(self, name):
        if name in self.world.process_by_name:
            self.world.kill(name)
            self.stopping.discard(name)

    @rule(entry=entries)
    def restart(self, entry):
        name = self.current_name_by_entry[entry]
        self.end(name)
        eventlet.sleep(0.05)
        self.start(name)

    @rule(entry=entries, listed_s=st.sampled_from((0.0, 10.0)))
    def replace(self, entry, listed_s):
        """Kill an entry for good, and start a replacement under another name and address."""
        name = self.current_name_by_entry[entry]
        self.end(name)
        eventlet.spawn_after(listed_s, self.store.instance_by_name.pop, name, None)
        successor = f"{entry}-{len(self.place_by_name)}"
        self.current_name_by_entry[entry] = successor
        self.place_by_name[successor] = ENTRIES[entry]
        self.start(successor)

    def start(self, name):
        self.world.start_entry(name, self.place_by_name[name])
        self.started_at[name] = self.hub.now

    @rule(entry=entries, change=st.sampled_from((report_idle, report_full, report_no_load)))
    def tell_false_loads(self, entry, change):
        name = self.current_name_by_entry[entry]
        if name in self.world.process_by_name:
            falsify_reports(
                self.world.node_by_name[name].peers, change, self.true_report_parts(name)
            )

    @precondition(lambda self: len(self.world.process_by_name) > 2)
    @rule(entry=entries)
    def stop(self, entry):
        name = self.current_name_by_entry[entry]
        if name not in self.world.process_by_name or name in self.stopping:
            return
        self.stopping.add(name)
        process = self.world.process_by_name[name]
        self.hub.run_as(process, eventlet.spawn_n, self.stop_gracefully, name, process)

    def stop_gracefully(self, name, process):
        node = self.world.node_by_name[name]
        node.leave()
        eventlet.sleep(6.0)
        node.finish(5.0)
        if self.world.process_by_name.get(name) == process:
            self.end(name)
            del self.store.instance_by_name[name]

    # Faults of backend servers.

    @rule(fault=st.sampled_from(SERVER_FAULTS), number=st.integers(1, 2), place=places)
    def set_server_fault(self, fault, number, place):
        for service in ("read", "book"):
            self.world.server_by_name[f"{service}-{place}-{number}"].fault = fault

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.5)), number=st.integers(1, 2), place=places)
    def set_server_speed(self, seconds, number, place):
        for service in ("read", "book"):
            self.world.server_by_name[f"{service}-{place}-{number}"].seconds = seconds

    @rule(number=st.integers(1, 2), place=places, sign=st.sampled_from(("list", "health", "both")))
    def leave_server(self, number, place, sign):
        server = self.world.server_by_name[f"read-{place}-{number}"]
        server.leaving = sign != "health"
        self.world.publish_server(server)
        server.leaving = True
        server.health = State.LIVE if sign == "list" else None
        self.leaving_at_by_server[server.name] = self.hub.now if self.is_fault_free() else None

    @rule()
    def return_servers(self):
        for name in self.leaving_at_by_server:
            server = self.world.server_by_name[name]
            server.leaving = False
            server.health = None
            self.world.publish_server(server)
        self.leaving_at_by_server.clear()

    @rule(
        chosen=st.lists(entries, min_size=2, max_size=4),
        pause_s=st.sampled_from(POISON_PAUSES_S),
    )
    def send_poison(self, chosen, pause_s):
        """Send a request that crashes servers several times, as a retrying caller would."""
        self.poison_requests += 1
        body = f"poison-{self.poison_requests}".encode()
        was_fault_free = self.fault_free_s > IN_FORCE_S
        for entry in chosen:
            name = self.current_name_by_entry[entry]
            if name in self.world.process_by_name:
                self.world.spawn_send([], name, "read", target=POISON, body=body)
            eventlet.sleep(pause_s)
        crashes = [b for s in self.world.server_by_name.values() for _, b in s.crashes]
        if (
            was_fault_free
            and self.fault_free_s > IN_FORCE_S
            and crashes.count(body) > POISON_CRASH_LIMIT
        ):
            self.add_violation("poison", crashes.count(body))

    # Operators.

    @rule(
        share=st.integers(10, 50),
        cap=st.integers(2, 8),
        emptying=st.sampled_from(((), ("r1-a",), ("r2-a",))),
        operators=st.integers(1, 2),
        same=st.booleans(),
    )
    def apply_sheets(self, share, cap, emptying, operators, same):
        for number in range(operators):
            operator_cap = cap if same else cap + number
            shares = {"r1-a": share * 100, "r1-b": 5000, "r2-a": 5000 - share * 100}
            rows = self.deployment.rows(shares, operator_cap, emptying)
            eventlet.spawn_n(self.apply_sheet, rows)
        eventlet.sleep(0.1)

    # Traffic.

    @rule(slow=st.booleans())
    def surge(self, slow):
        for name in list(self.world.process_by_name):
            for _ in range(SURGE_REQUESTS):
                self.world.spawn_send(self.results, name, "read")
        if slow:
            eventlet.sleep(0.5)

    @rule(
        key=st.integers(0, BOOKING_KEYS - 1),
        chosen=st.lists(entries, min_size=1, max_size=4),
        body=st.sampled_from((b"x", b"x", b"x", b"y")),
        pause=st.sampled_from((0.0, 0.02, 0.5, 3.0)),
        first_use=st.booleans(),
    )
    def book(self, key, chosen, body, pause, first_use):
        name = f"key-{key}"
        is_first = first_use and name not in self.sent_keys
        for serving in (self.current_name_by_entry[entry] for entry in chosen):
            if serving in self.world.process_by_name:
                self.world.spawn_send(
                    [], serving, "book", "POST", name, body, 4.0, first_use=is_first
                )
                self.sent_keys.add(name)
                is_first = False
            eventlet.sleep(pause)

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.0, 5.0, 15.0, 30.0)))
    def pass_time(self, seconds):
        eventlet.sleep(seconds)


class MachineTest(unittest.TestCase):
    """Runs the state machine in virtual time."""

    def test_promises_hold_under_mixed_faults(self):
        machine_settings = settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        )
        run_virtual(lambda _: run_state_machine_as_test(PromiseMachine, settings=machine_settings))


if __name__ == "__main__":
    unittest.main()
