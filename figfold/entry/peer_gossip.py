"""Gossip between entries: exchanges reports and performs the actions that follow from them."""

from collections.abc import Callable
from random import Random

import eventlet
from attrs import Factory, define, evolve

from figfold.core.codes import Code
from figfold.core.confirmation import ConfirmationTracker
from figfold.core.crash_announcements import AnnouncementLimiter, crash_announcement_recipients
from figfold.core.membership import Membership
from figfold.core.peer_reports import (
    FetchPlan,
    MarkServersLeaving,
    MergeReportedStrikes,
    QuarantineFingerprint,
    ReportPlanMismatch,
    apply_peer_report,
    build_report,
)
from figfold.entry.clock import now_s
from figfold.entry.metrics import Metrics
from figfold.wire.client import PeerClient
from figfold.wire.messages import ErrorReply, Report

# Each report carries a few known entries; over several rounds, all entries learn of each other.
KNOWN_ENTRIES_LIMIT = 4
# Time for which a report is reused, so that it is built and encoded once for all its recipients.
REPORT_CACHE_S = 0.2


@define(eq=False)
class PeerGossip:
    """Keeps the membership up to date by exchanging reports with the other entries.

    Attributes
    ----------
    report_parts : callable
        Returns the fields of the own report that change over time.
    handler_by_type : dict[type, callable]
        Handlers of messages other than reports.
    random : Random
        Draws the entries of other places to which a plan or a crash is announced.
    on_merged : callable or None
        Called with each report of another entry after its merge.
    corrections : callable or None
        Returns the known entries that the reply to a report has to begin with.
    crash_recipients : callable or None
        Returns the entries to which a crash is announced, unless the membership decides it.
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
    on_merged: Callable | None = None
    corrections: Callable | None = None
    crash_recipients: Callable | None = None
    known_entries_limit: int = KNOWN_ENTRIES_LIMIT
    cached_report: Report | None = None
    cached_at_s: float = float("-inf")
    announcement_limit: AnnouncementLimiter = Factory(AnnouncementLimiter)
    crash_announcement_pending: bool = False

    def start_round(self):
        """Start the exchanges with the peers that are due."""
        report = self.own_report()
        for entry in self.membership.peers_to_contact(now_s()):
            eventlet.spawn_n(self.exchange, entry.reach_peer_address, report)

    def exchange(self, address, report, timeout_s=None):
        """Send the own report to a peer and merge its report; return whether it sent one."""
        asked_at = now_s()
        answered = self.client.call(address, report, timeout_s or self.timeout_s)
        if answered.is_err():
            self.metrics.count_code(answered.err().code)
            return False
        if not isinstance(answered.ok(), Report):
            return False
        self.on_round_trip(answered.ok().report.name, now_s() - asked_at)
        self._merge(answered.ok(), asked_at)
        return True

    def announce_leaving(self):
        """Send a report to all known entries at once, since none relays that this one leaves."""
        known = self.membership.entry_by_name.values()
        self.send_report(entry for entry in known if entry.reach_peer_address)

    def announce_plan(self, version):
        """Announce a plan that came into force here to some entries at once; they relay it."""
        self.send_report(self.membership.peers_to_notify(version, self.random.sample))

    def announce_crash(self):
        """Announce a crash to some entries, together with others that occur within a short time."""
        if not self.crash_announcement_pending:
            self.crash_announcement_pending = True
            eventlet.spawn_after(self.announcement_limit.reserve(now_s()), self._push_crash_report)

    def _push_crash_report(self):
        self.crash_announcement_pending = False
        if self.crash_recipients is not None:
            self.send_report(self.crash_recipients())
        else:
            self.send_report(crash_announcement_recipients(self.membership, self.random.sample))

    def send_report(self, entries):
        """Exchange a report that is built now with each of the entries."""
        report = self._build_report(now_s())
        for entry in list(entries):
            eventlet.spawn_n(self.exchange, entry.reach_peer_address, report)

    def handle(self, message):
        """Return the reply to one message of a peer."""
        if isinstance(message, Report):
            self._merge(message, None)
            reply = self.own_report()
            if self.corrections is None:
                return reply
            corrections = self.corrections(message.report)
            if not corrections:
                return reply
            return evolve(reply, known_entries=corrections + reply.known_entries)
        handler = self.handler_by_type.get(type(message))
        if handler is None:
            return ErrorReply(Code.PEER_MALFORMED, "not a request")
        return handler(message)

    def own_report(self):
        """Return the current report of this entry; the same object for `REPORT_CACHE_S`."""
        now = now_s()
        is_current = self.cached_report is not None and (
            self.cached_report.report is self.membership.own
        )
        if is_current and 0.0 <= now - self.cached_at_s < REPORT_CACHE_S:
            return self.cached_report
        return self._build_report(now)

    def _build_report(self, now):
        # The report states the age that the plan's confirmation will have when the cached report
        # expires: too high an age is safe, but too low a one would confirm the plan for too long.
        cache_end_s = now + REPORT_CACHE_S
        report_fields = self.report_parts(now)
        report = build_report(self.membership.own, self.confirmation, cache_end_s, **report_fields)
        self.membership.own = report
        self.cached_at_s = now
        known_entries = self.membership.known_entries(now, self.known_entries_limit)
        self.cached_report = Report(report, known_entries)
        return self.cached_report

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
            self._perform(action)
        if self.on_merged is not None:
            self.on_merged(message.report)

    def _perform(self, action):
        if isinstance(action, FetchPlan):
            known = self.membership.entry_by_name.get(action.peer)
            address = known.reach_peer_address if known else action.peer_address
            eventlet.spawn_n(self.on_later_plan, action.version, address)
        elif isinstance(action, MarkServersLeaving):
            for server in action.servers:
                self.on_leaving_servers(server, from_peer=True)
        elif isinstance(action, QuarantineFingerprint):
            self.on_quarantine(action.fingerprint, action.expires_in_s)
        elif isinstance(action, MergeReportedStrikes):
            for strike in action.strikes:
                self.on_strike(strike, now_s())
        elif isinstance(action, ReportPlanMismatch):
            self.metrics.count_code(Code.PLAN_CONFLICT)
            self.log.error("peer has another plan of this version", peer=action.peer)
