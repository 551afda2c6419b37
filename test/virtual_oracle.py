"""What must hold in a deployment under mixed faults, for the state machine that provokes them."""

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
HEAL_S = 60.0
# A graceful stop takes no longer than this.
STOP_S = 12.0
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
    """Watches a deployment of five entries at three places, and heals it at the end."""

    def __init__(self):
        super().__init__()
        self.hub = new_hub()
        self.readable_s = 0.0
        self.readable_at = {1: 0.0}
        self.deployment = Deployment(self.hub, ENTRIES)
        self.world = self.deployment.world
        self.store = self.world.store
        self.store.on_write = self.note_write
        self.world.cap_of = self.cap_in_force
        self.accepted = [(self.hub.now, self.deployment.head)]
        self.verdicts = []
        self.applications = 0
        self.calm_s = 0.0
        self.isolated_since = {}
        self.version_by_process = {}
        self.started_at = dict.fromkeys(ENTRIES, self.hub.now)
        self.left_at = {}
        self.stopping = set()
        self.sent_keys = set()
        self.poisons = 0
        # Entries are known to the rules by their first names.
        self.name_by_first = {name: name for name in ENTRIES}
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

    def note_write(self, name, value):
        if name != "plan/head":
            return
        head = decode_head(value).unwrap()
        if head.version != self.accepted[-1][1].version + 1:
            self.violate("version skipped", head.version)
        self.accepted.append((self.hub.now, head))
        self.readable_at[head.version] = self.readable_s
        self.deployment.note_caps(self.store.object_by_name[f"plan-{head.digest}"])

    # The oracle.

    def violate(self, *what):
        self.world.violations.append((self.hub.now, *what))

    def is_calm(self):
        frozen = any(until > self.hub.now for until in self.hub.frozen_until.values())
        return not (frozen or self.world.cut or self.store.mode_by_entry or self.store.mode != "up")

    def watch(self):
        while True:
            eventlet.sleep(WATCH_S)
            if self.store.mode in ("up", "slow"):
                self.readable_s += WATCH_S
            self.calm_s = self.calm_s + WATCH_S if self.is_calm() else 0.0
            for name, process in list(self.world.process_by_name.items()):
                if self.hub.frozen_until.get(process, 0.0) <= self.hub.now:
                    self.watch_entry(name, process)
            self.watch_leaving()

    def watch_entry(self, name, process):
        node = self.world.node_by_name[name]
        version = node.plans.version
        if version < self.version_by_process.get(process, 0):
            self.violate("reverted", name, version)
        self.version_by_process[process] = version
        due = self.version_due()
        confirmed = node.router.is_confirmed()
        if confirmed and version < due:
            self.violate("stale plan confirmed", name, version, due)
        settled = self.hub.now - self.started_at[name] > IN_FORCE_S + 1.0
        if settled and self.calm_s > IN_FORCE_S and not (confirmed and version >= due):
            self.violate("plan not in force", name, version, due, confirmed)
        isolated_s = self.hub.now - self.isolated_since.get(name, self.hub.now)
        if isolated_s > CONFIRM_TTL_S + WATCH_S and confirmed:
            self.violate("isolated entry serves", name)

    def version_due(self):
        """Return the version that all must have: the store could be read for long enough."""
        due = [v for v, at in self.readable_at.items() if self.readable_s - at > IN_FORCE_S]
        return max(due, default=0)

    def cap_in_force(self, service, place):
        """Return the highest cap of the version that is due and of all later ones."""
        due = max(1, self.version_due())
        caps = [caps[service, place] for _, caps in self.deployment.caps_since]
        return max(caps[due - 1 :])

    def watch_leaving(self):
        for name, at in self.left_at.items():
            server = self.world.server_by_name[name]
            if at is not None and self.calm_s < self.hub.now - at:
                self.left_at[name] = None
            elif at is not None and server.last_new_s > at + LEAVING_LIMIT_S:
                self.violate("new work while leaving", name)

    @invariant()
    def promises_hold(self):
        self.world.check_claims()
        assert not self.world.violations, self.world.violations[:5]

    # The end.

    def teardown(self):
        try:
            self.heal_all()
            self.check_whole()
            self.check_operators()
            self.promises_hold()
        finally:
            self.hub.timers.clear()

    def heal_all(self):
        self.store.mode = "up"
        self.heal_network()
        self.return_servers()
        for server in self.world.server_by_name.values():
            server.fault = ""
            server.seconds = 0.05
        thawed_at = max(self.hub.frozen_until.values(), default=0.0)
        eventlet.sleep(max(0.0, thawed_at - self.hub.now) + STOP_S)
        for name in self.name_by_first.values():
            if name not in self.world.process_by_name:
                self.start(name)
            self.world.node_by_name[name].peers.report_parts = self.true_parts(name)
        self.apply_sheet(self.deployment.rows({"r1-a": 4000, "r1-b": 3000, "r2-a": 3000}))
        eventlet.sleep(HEAL_S)

    def check_whole(self):
        for place in PLACES:
            for service in ("read", "book"):
                quota = self.deployment.quota(service, place)
                if not self.least_quota(place) <= quota <= CAP:
                    self.violate("quota not whole", service, place, quota)
        for number, name in enumerate(self.name_by_first.values()):
            for target in READ_TARGETS:
                read = self.world.send(name, "read", target=target)
                if read.is_err():
                    self.violate("read refused", name, target, read.err())
            key = f"end-{number}"
            booked = self.world.send(name, "book", "POST", key, key.encode(), 4.0)
            if booked.is_err():
                self.violate("booking refused", name, booked.err())
            counters = self.world.node_by_name[name].metrics.value_by_counter
            if any(counter == "loop_errors" for counter, _ in counters):
                self.violate("loop error", name)

    def least_quota(self, place):
        """Return the permits that a place must have at the end.

        The long leases of an entry that was replaced at another address run for 5,400 s, so that
        only the short parts are sure there.
        """
        names = [name for name, at in self.place_by_name.items() if at == place]
        if all(name in ENTRIES for name in names):
            return CAP
        quota_by_part = split_cap(CAP, list_parts(place, SeatOptions().count))
        return sum(n for part, n in quota_by_part.items() if part.kind is PartKind.SHORT)

    def true_parts(self, name):
        """Return the function of an entry that gives the true parts of its reports."""
        return self.world.node_by_name[name]._report_parts

    def check_operators(self):
        head = self.accepted[-1][1]
        for name, node in self.world.node_by_name.items():
            if node.plans.version != head.version:
                self.violate("version not everywhere", name, node.plans.version, head.version)
        for operator, digest, finished in self.verdicts:
            written = [h for _, h in self.accepted if h.operator == operator]
            if len(written) > 1:
                self.violate("applied twice", operator)
            if finished.verdict in WRITTEN and [h.digest for h in written] != [digest]:
                self.violate("told accepted", operator)
            if finished.verdict in NOT_WRITTEN and written:
                self.violate("told not accepted", operator, finished.verdict)
