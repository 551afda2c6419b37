"""Probes of the other entries, and news of them, with a bounded number of messages per second."""

import eventlet
from attrs import define

from figfold.core.codes import Code
from figfold.entry.clock import now_s
from figfold.wire.messages import (
    ErrorReply,
    MembersReply,
    MembersRequest,
    ProbeRequest,
    Report,
)

PROBE_TIMEOUT_S = 0.7
# Entries that are asked to probe one that did not answer, and the time for both ways.
INDIRECT_PROBES = 2
INDIRECT_TIMEOUT_S = 1.0
# Entries to which news are sent at once, and the shortest time between two such sends.
PUSH_FANOUT = 2
PUSH_DELAY_S = 0.1
PUSH_INTERVAL_S = 0.3
# Entries that hear at once that this one has started or leaves.
ANNOUNCE_FANOUT = 4
SYNC_TIMEOUT_S = 2.0


@define(eq=False)
class EntryProber:
    """Finds out which entries are live, and tells others.

    Attributes
    ----------
    gossip : PeerGossip
        Exchanges the reports.
    members : Members
    """

    gossip: object
    members: object
    metrics: object
    log: object
    _pushed_changes: int = 0
    _pushed_at_s: float = float("-inf")
    _push_is_pending: bool = False
    _has_synced: bool = False
    _is_syncing: bool = False

    # Rounds.

    def start_round(self):
        """Probe the entries that are due."""
        report = self.gossip.own_report()
        for member in self.members.peers_to_contact(now_s()):
            eventlet.spawn_n(self._probe, member, report)
        self._schedule_push()

    def _probe(self, member, report):
        revision = member.revision
        if self.gossip.exchange(member.peer_address, report, PROBE_TIMEOUT_S):
            return
        if member.is_live and not self._is_reached_by_others(member):
            if self.members.suspect(member.name, revision, now_s()):
                self.log.bind(entry_name=member.name, place=member.place).info("entry-suspected")
                self._schedule_push()

    def _is_reached_by_others(self, member):
        helpers = self.members.others(INDIRECT_PROBES, now_s(), excluded=member.name)
        threads = [eventlet.spawn(self._probe_through, one, member.name) for one in helpers]
        return any([thread.wait() for thread in threads])

    def _probe_through(self, helper, name):
        reply = self.gossip.client.call(helper.peer_address, ProbeRequest(name), INDIRECT_TIMEOUT_S)
        if reply.is_err() or not isinstance(reply.ok(), Report):
            return False
        return reply.ok().report.name == name

    # News.

    def after_merge(self, report):
        """Pass on what was new in a report, and read the sender's view if it differs."""
        self._schedule_push()
        if self._is_syncing or not report.peer_address:
            return
        if not self._has_synced or self.members.should_sync(report, now_s()):
            self._is_syncing = True
            eventlet.spawn_n(self._sync, report.peer_address)

    def announce(self, entries=()):
        """Tell a few entries at once that this one has started or leaves; they pass it on."""
        self.members.announce_own(now_s())
        others = self.members.others(ANNOUNCE_FANOUT, now_s())
        self.gossip.send_report([*others, *entries][:ANNOUNCE_FANOUT])
        self._schedule_push()

    def corrections(self, report):
        """Return what the sender of a report has to refute, as a tuple of none or one."""
        statement = self.members.correction_for(report, now_s())
        return () if statement is None else (statement,)

    def _schedule_push(self):
        if self._push_is_pending or self.members.changes == self._pushed_changes:
            return
        self._push_is_pending = True
        due_s = max(now_s() + PUSH_DELAY_S, self._pushed_at_s + PUSH_INTERVAL_S)
        eventlet.spawn_after(due_s - now_s(), self._push)

    def _push(self):
        now = now_s()
        self._push_is_pending = False
        self._pushed_at_s, self._pushed_changes = now, self.members.changes
        self.gossip.send_report(self.members.others(PUSH_FANOUT, now))

    # Whole views.

    def _sync(self, address):
        try:
            reply = self.gossip.client.call(address, MembersRequest(), SYNC_TIMEOUT_S)
        finally:
            self._is_syncing = False
        if reply.is_err() or not isinstance(reply.ok(), MembersReply):
            # The next report leads to another try.
            return
        self._has_synced = True
        self.metrics.count("member_syncs")
        self.members.add_known_entries(reply.ok().entries, now_s())
        self._schedule_push()

    # Messages of other entries.

    def handle_probe(self, request):
        """Probe an entry for another one and return its report."""
        member = self.members.entry_by_name.get(request.name)
        if member is None or not member.peer_address:
            return ErrorReply(Code.PEER_UNREACHABLE, "not known")
        reply = self.gossip.client.call(
            member.peer_address, self.gossip.own_report(), PROBE_TIMEOUT_S
        )
        if reply.is_err():
            return ErrorReply(reply.err().code, reply.err().message)
        return reply.ok()

    def handle_members_request(self, _request):
        """Return all that is known of the entries."""
        return MembersReply(self.members.all_statements(now_s()))
