"""Invariants of a deployment under mixed faults, for the state machine that injects the faults."""

import eventlet
from hypothesis.stateful import RuleBasedStateMachine, invariant

from figfold.core.plan import body_digest, decode_head, encode_body
from figfold.core.plan_application import Verdict
from figfold.core.seat_parts import PartKind, list_parts, split_cap
from figfold.core.seats import SeatOptions
from figfold.ui.plan_apply import accept_plan
from figfold.ui.plan_store import PlanStore
from test.virtual import new_hub
from test.virtual_deployment import CAP, Deployment

ENTRIES = {"r1-a-1": "r1-a", "r1-a-2": "r1-a", "r1-b-1": "r1-b", "r2-a-1": "r2-a", "r2-a-2": "r2-a"}
PLACES = ("r1-a", "r1-b", "r2-a")
START_S = 8.0
RECOVERY_S = 60.0
STOP_S = 12.0  # Upper bound of the duration of a graceful stop.
WATCH_S = 0.25
IN_FORCE_S = 5.0
CONFIRM_TTL_S = 4.0
LEAVING_LIMIT_S = 3.0
READS_PER_S = 4.0
BOOKINGS_PER_S = 1.0
READ_TARGETS = ("/short", "/other")

WRITTEN = frozenset({Verdict.ACCEPTED, Verdict.SUPERSEDED})
NOT_WRITTEN = frozenset({Verdict.CONFLICT, Verdict.NOT_APPLIED})


class PromiseOracle(RuleBasedStateMachine):
    """Checks a deployment of five entries at three places, and its recovery at the end.

    Attributes
    ----------
    store_readable_s : float
        Total time for which the store could be read.
    accepted_readable_s_by_version : dict[int, float]
        Value of ``store_readable_s`` at which each plan version was accepted.
    accepted : list[tuple[float, Head]]
        Accepted plans, each with the time.
    verdicts : list
        Operator, plan digest and result of each finished application of a sheet.
    fault_free_s : float
        For how long no fault has been active.
    leaving_at_by_server : dict[str, float | None]
        Time at which each server started leaving; None when a fault excludes it from the check.
    """

    def __init__(self):
        super().__init__()
        self.hub = new_hub()
        self.store_readable_s = 0.0
        self.accepted_readable_s_by_version = {1: 0.0}
        self.deployment = Deployment(self.hub, ENTRIES)
        self.world = self.deployment.world
        self.store = self.world.store
        self.store.on_write = self.record_write
        self.world.cap_of = self.cap_in_force
        self.accepted = [(self.hub.now, self.deployment.head)]
        self.verdicts = []
        self.applications = 0
        self.fault_free_s = 0.0
        self.isolated_since = {}
        self.version_by_process = {}
        self.started_at = dict.fromkeys(ENTRIES, self.hub.now)
        self.leaving_at_by_server = {}
        self.stopping = set()
        self.sent_keys = set()
        self.poison_requests = 0
        # Rules use the original names; a replaced entry has a new one.
        self.current_name_by_entry = {name: name for name in ENTRIES}
        self.place_by_name = dict(ENTRIES)
        eventlet.sleep(START_S)
        self.results = self.deployment.load(READS_PER_S)
        self.deployment.load(BOOKINGS_PER_S, "book", method="POST")
        eventlet.spawn_n(self.watch)

    # Operators.

    def apply_sheet(self, rows):
        self.applications += 1
        operator = f"operator-{self.applications}"
        body = encode_body(rows, {"r1": 60.0, "r2": 40.0})
        client = PlanStore(self.store.client(operator))
        finished = accept_plan(client, body, operator)
        self.verdicts.append((operator, body_digest(body), finished))
        if finished.verdict in (Verdict.ACCEPTED, Verdict.ALREADY_IN_FORCE):
            for name, process in self.world.process_by_name.items():
                refresh = self.world.node_by_name[name].plans.refresh
                self.hub.run_as(process, eventlet.spawn_n, refresh)

    def record_write(self, name, value):
        if name != "plan/head":
            return
        head = decode_head(value).unwrap()
        if head.version != self.accepted[-1][1].version + 1:
            self.add_violation("version skipped", head.version)
        self.accepted.append((self.hub.now, head))
        self.accepted_readable_s_by_version[head.version] = self.store_readable_s
        self.deployment.record_caps(self.store.object_by_name[f"plan-{head.digest}"])

    # Checks during the run.

    def add_violation(self, *what):
        self.world.violations.append((self.hub.now, *what))

    def is_fault_free(self):
        frozen = any(until > self.hub.now for until in self.hub.frozen_until.values())
        return not (
            frozen
            or self.world.disconnected_pairs
            or self.store.mode_by_entry
            or self.store.mode != "up"
        )

    def watch(self):
        while True:
            eventlet.sleep(WATCH_S)
            if self.store.mode in ("up", "slow"):
                self.store_readable_s += WATCH_S
            self.fault_free_s = self.fault_free_s + WATCH_S if self.is_fault_free() else 0.0
            for name, process in list(self.world.process_by_name.items()):
                if self.hub.frozen_until.get(process, 0.0) <= self.hub.now:
                    self.watch_entry(name, process)
            self.watch_leaving()

    def watch_entry(self, name, process):
        node = self.world.node_by_name[name]
        version = node.plans.version
        if version < self.version_by_process.get(process, 0):
            self.add_violation("reverted", name, version)
        self.version_by_process[process] = version
        due = self.version_due()
        confirmed = node.router.is_confirmed()
        if confirmed and version < due:
            self.add_violation("stale plan confirmed", name, version, due)
        settled = self.hub.now - self.started_at[name] > IN_FORCE_S + 1.0
        if settled and self.fault_free_s > IN_FORCE_S and not (confirmed and version >= due):
            self.add_violation("plan not in force", name, version, due, confirmed)
        isolated_s = self.hub.now - self.isolated_since.get(name, self.hub.now)
        if isolated_s > CONFIRM_TTL_S + WATCH_S and confirmed:
            self.add_violation("isolated entry serves", name)

    def version_due(self):
        """Return the plan version that all entries must have.

        A version is due once the store could be read for `IN_FORCE_S` since it was accepted.
        """
        due = [
            version
            for version, accepted_at in self.accepted_readable_s_by_version.items()
            if self.store_readable_s - accepted_at > IN_FORCE_S
        ]
        return max(due, default=0)

    def cap_in_force(self, service, place):
        """Return the highest cap of the due version and all later ones."""
        due = max(1, self.version_due())
        caps = [caps[service, place] for _, caps in self.deployment.cap_history]
        return max(caps[due - 1 :])

    def watch_leaving(self):
        for name, at in self.leaving_at_by_server.items():
            server = self.world.server_by_name[name]
            if at is not None and self.fault_free_s < self.hub.now - at:
                self.leaving_at_by_server[name] = None
            elif at is not None and server.last_request_at_s > at + LEAVING_LIMIT_S:
                self.add_violation("new work while leaving", name)

    @invariant()
    def promises_hold(self):
        self.world.check_claims()
        assert not self.world.violations, self.world.violations[:5]

    # Recovery and final checks.

    def teardown(self):
        try:
            self.remove_faults()
            self.check_recovery()
            self.check_operators()
            self.promises_hold()
        finally:
            self.hub.timers.clear()

    def remove_faults(self):
        self.store.mode = "up"
        self.heal_network()
        self.return_servers()
        for server in self.world.server_by_name.values():
            server.fault = ""
            server.seconds = 0.05
        thawed_at = max(self.hub.frozen_until.values(), default=0.0)
        eventlet.sleep(max(0.0, thawed_at - self.hub.now) + STOP_S)
        for name in self.current_name_by_entry.values():
            if name not in self.world.process_by_name:
                self.start(name)
            self.world.node_by_name[name].peers.report_parts = self.true_report_parts(name)
        self.apply_sheet(self.deployment.rows({"r1-a": 4000, "r1-b": 3000, "r2-a": 3000}))
        eventlet.sleep(RECOVERY_S)

    def check_recovery(self):
        for place in PLACES:
            for service in ("read", "book"):
                quota = self.deployment.quota(service, place)
                if not self.least_quota(place) <= quota <= CAP:
                    self.add_violation("quota out of range", service, place, quota)
        for number, name in enumerate(self.current_name_by_entry.values()):
            for target in READ_TARGETS:
                read = self.world.send(name, "read", target=target)
                if read.is_err():
                    self.add_violation("read refused", name, target, read.err())
            key = f"end-{number}"
            booked = self.world.send(name, "book", "POST", key, key.encode(), 4.0)
            if booked.is_err():
                self.add_violation("booking refused", name, booked.err())
            counters = self.world.node_by_name[name].metrics.value_by_counter
            if any(counter == "loop_errors" for counter, _ in counters):
                self.add_violation("loop error", name)

    def least_quota(self, place):
        """Return the least quota that a place must have at the end.

        The long leases of an entry that was replaced at another address last 5,400 s, so that only
        the short parts are certain to be held there.
        """
        names = [name for name, at in self.place_by_name.items() if at == place]
        if all(name in ENTRIES for name in names):
            return CAP
        quota_by_part = split_cap(CAP, list_parts(place, SeatOptions().count))
        return sum(n for part, n in quota_by_part.items() if part.kind is PartKind.SHORT)

    def true_report_parts(self, name):
        """Return the function of an entry that builds the true parts of its reports."""
        return self.world.node_by_name[name]._report_parts

    def check_operators(self):
        head = self.accepted[-1][1]
        for name, node in self.world.node_by_name.items():
            if node.plans.version != head.version:
                self.add_violation("version not everywhere", name, node.plans.version, head.version)
        for operator, digest, finished in self.verdicts:
            written = [h for _, h in self.accepted if h.operator == operator]
            if len(written) > 1:
                self.add_violation("applied twice", operator)
            if finished.verdict in WRITTEN and [h.digest for h in written] != [digest]:
                self.add_violation("wrongly reported as accepted", operator)
            if finished.verdict in NOT_WRITTEN and written:
                self.add_violation("wrongly reported as not accepted", operator, finished.verdict)
