"""Exchanges reports with the other entries and acts on what they say."""

from collections.abc import Callable
from random import Random

import eventlet
from attrs import Factory, define

from figfold.core.codes import Code
from figfold.core.confirmation import ConfirmationTracker
from figfold.core.crash_announcements import AnnouncementLimiter, crash_announcement_recipients
from figfold.core.membership import Membership
from figfold.core.peer_reports import (
    FetchPlan,
    MarkServersLeaving,
    QuarantineFingerprint,
    RecordReportedCrashes,
    ReportPlanMismatch,
    apply_peer_report,
    build_report,
)
from figfold.entry.clock import now_s
from figfold.entry.metrics import Metrics
from figfold.wire.client import PeerClient
from figfold.wire.messages import ErrorReply, Report

# Reports carry a few entries each; over the rounds that introduces everybody.
KNOWN_ENTRIES_LIMIT = 4
# How long one report is told to all that ask, so that it is built and encoded once for them.
REPORT_LIFE_S = 0.2


@define(eq=False)
class PeerKeeper:
    """Membership, and the conversation with the other entries.

    Attributes
    ----------
    report_parts : callable
        Returns the parts of the own report that change.
    handler_by_type : dict[type, callable]
        Answers to requests other than reports.
    random : Random
        Draws the entries of other places that are told of a plan or a crash.
    """

    membership: Membership
    confirmation: ConfirmationTracker
    client: PeerClient
    metrics: Metrics
    log: object
    timeout_s: float
    report_parts: Callable
    random: Random
    handler_by_type: dict = Factory(dict)
    on_leaving_servers: Callable | None = None
    on_quarantine: Callable | None = None
    on_strike: Callable | None = None
    on_round_trip: Callable | None = None
    on_loads: Callable | None = None
    on_later_plan: Callable | None = None
    built: Report | None = None
    built_s: float = float("-inf")
    announcement_limit: AnnouncementLimiter = Factory(AnnouncementLimiter)
    crashes_wait: bool = False

    def contact(self):
        """Begin an exchange with the peers whose turn it is."""
        report = self.own_report()
        for entry in self.membership.peers_to_contact(now_s()):
            eventlet.spawn_n(self.exchange, entry.reach_peer_address, report)

    def exchange(self, address, report):
        """Send the own report to one peer and take its report."""
        asked_at = now_s()
        answered = self.client.call(address, report, self.timeout_s)
        if answered.is_err():
            self.metrics.count_code(answered.err().code)
            return
        if isinstance(answered.ok(), Report):
            self.on_round_trip(answered.ok().report.name, now_s() - asked_at)
            self._merge(answered.ok(), asked_at)

    def announce(self):
        """Tell all known entries at once what nobody passes on: that this one leaves."""
        known = self.membership.entry_by_name.values()
        self._tell(entry for entry in known if entry.reach_peer_address)

    def announce_plan(self, version):
        """Tell some entries at once of a plan that came into force here; they tell others."""
        self._tell(self.membership.peers_to_notify(version, self.random.sample))

    def announce_crash(self):
        """Tell some entries at once of a crash, or of all that happen within a short time."""
        if not self.crashes_wait:
            self.crashes_wait = True
            eventlet.spawn_after(self.announcement_limit.reserve(now_s()), self._tell_of_crashes)

    def _tell_of_crashes(self):
        self.crashes_wait = False
        self._tell(crash_announcement_recipients(self.membership, self.random.sample))

    def _tell(self, entries):
        report = self._build_report(now_s())
        for entry in list(entries):
            eventlet.spawn_n(self.exchange, entry.reach_peer_address, report)

    def handle(self, message):
        """Answer one message of a peer."""
        if isinstance(message, Report):
            self._merge(message, None)
            return self.own_report()
        handler = self.handler_by_type.get(type(message))
        if handler is None:
            return ErrorReply(Code.PEER_MALFORMED, "not a request")
        return handler(message)

    def own_report(self):
        """Return what this entry says of itself; the same object for `REPORT_LIFE_S`."""
        now = now_s()
        if 0.0 <= now - self.built_s < REPORT_LIFE_S:
            return self.built
        return self._build_report(now)

    def _build_report(self, now):
        # The age of the plan's confirmation is told as it will be at the end of the report's life:
        # an age that is too high confirms less, one that is too low would confirm too long.
        last_told = now + REPORT_LIFE_S
        parts = self.report_parts(now)
        report = build_report(self.membership.own, self.confirmation, last_told, **parts)
        self.membership.own = report
        self.built_s = now
        self.built = Report(report, self.membership.known_entries(now, KNOWN_ENTRIES_LIMIT))
        return self.built

    def _merge(self, message, asked_at):
        self.on_loads(message.report.name, message.report.loads)
        actions = apply_peer_report(
            message.report,
            message.known_entries,
            self.membership,
            self.confirmation,
            now_s(),
            asked_at,
        )
        for action in actions:
            self._act(action)

    def _act(self, action):
        if isinstance(action, FetchPlan):
            known = self.membership.entry_by_name.get(action.peer)
            address = known.reach_peer_address if known else action.peer_address
            eventlet.spawn_n(self.on_later_plan, action.version, address)
        elif isinstance(action, MarkServersLeaving):
            for server in action.servers:
                self.on_leaving_servers(server, from_peer=True)
        elif isinstance(action, QuarantineFingerprint):
            self.on_quarantine(action.fingerprint, action.expires_in_s)
        elif isinstance(action, RecordReportedCrashes):
            for strike in action.strikes:
                self.on_strike(strike, now_s())
        elif isinstance(action, ReportPlanMismatch):
            self.metrics.count_code(Code.PLAN_CONFLICT)
            self.log.error("peer has another plan of this version", peer=action.peer)
