"""Keeps the beliefs fresh: one entry of each region reads the store, the others ask that one."""

import eventlet
from attrs import define, field
from eventlet import Timeout

from figfold.core.traffic.fleet import NEWS_DELAY_S
from figfold.core.traffic.sources import STALE_S, KnowledgeSource
from figfold.entry.clock import now_s
from figfold.platform.tables import decode_configuration_text
from figfold.wire.messages import KnowledgeReply, KnowledgeRequest

# An entry that is asked waits this long for a change before it answers that there is none.
REPLY_WAIT_S = 0.5
# Time for asking another entry: its wait, and the way to another region and back.
ASK_TIMEOUT_S = 0.9
ROLE_POLL_S = 0.2  # Between two looks at whether this entry reads for its region.
ERROR_PAUSE_S = 0.4
WHOLE_INTERVAL_S = 4.0  # Between two answers with all servers, about 3 KB at 40 servers.
# What the operator's rows may be older than the wait for their next change.
OPERATOR_SLACK_S = 1.5
UNKNOWN_AGE_S = 1e6


@define(eq=False)
class KnowledgeKeeper:
    """The loops that read the store or ask other entries.

    Attributes
    ----------
    incarnation : int
        Of this process; generations of another one mean nothing.
    """

    settings: object
    beliefs: object
    watch: object
    client: object
    metrics: object
    log: object
    incarnation: int
    sources: KnowledgeSource
    _known_generation: dict = field(factory=dict)
    _last_source: str = ""
    _whole_s: float = float("-inf")

    @classmethod
    def from_config(cls, settings, beliefs, watch, client, metrics, log, incarnation):
        """Return a keeper whose loops do not run yet."""
        sources = KnowledgeSource(settings.name, settings.region, settings.region_by_place)
        return cls(settings, beliefs, watch, client, metrics, log, incarnation, sources)

    def start(self):
        """Start the loops."""
        eventlet.spawn_n(self._run, "configuration", self._read_operator)
        eventlet.spawn_n(self._run, "servers", self._refresh)

    def answer(self, request):
        """Answer another entry, once there is news for it or after a short wait."""
        generation = request.generation if request.incarnation == self.incarnation else 0
        if not self._has_news(request, generation):
            with Timeout(REPLY_WAIT_S, False):
                self.beliefs.changed.wait()
        now = now_s()
        text = b""
        if self._version() > request.configuration_version:
            text = self.beliefs.configuration_text
        news = self.beliefs.fleet.news_since(generation, now)
        return KnowledgeReply(text, news, self.incarnation, self._age_s(now))

    def _has_news(self, request, generation):
        if self._version() > request.configuration_version:
            return True
        return generation != self.beliefs.fleet.generation

    def _version(self):
        configuration = self.beliefs.configuration
        return configuration.version if configuration else 0

    def _age_s(self, now):
        beliefs = self.beliefs
        if beliefs.configuration is None or not beliefs.fleet.is_known:
            return UNKNOWN_AGE_S
        operator_age_s = now - beliefs.operator_read_s
        if operator_age_s <= self.settings.configuration_wait_s + OPERATOR_SLACK_S:
            operator_age_s = 0.0
        return min(UNKNOWN_AGE_S, max(beliefs.servers_age_s(now), operator_age_s))

    # Loops.

    def _run(self, name, step):
        while True:
            try:
                pause_s = step()
            except Exception as error:
                self.metrics.count("loop_errors", loop=name)
                self.log.opt(exception=error).error("loop step failed", loop=name)
                pause_s = ERROR_PAUSE_S
            eventlet.sleep(pause_s)

    def _read_operator(self):
        if self._source() != self.settings.name:
            return ROLE_POLL_S
        return self.watch.read_operator()

    def _refresh(self):
        started = now_s()
        source = self._source()
        if source != self._last_source:
            self.log.bind(source=source, before=self._last_source).info("source-changed")
            self._last_source = source
        if source != self.settings.name:
            if self._ask(source):
                return 0.0
            self._read_all()
            return ROLE_POLL_S
        if self.watch.read_servers():
            return max(0.0, self.settings.server_read_interval_s - (now_s() - started))
        self._ask_substitute()
        return ERROR_PAUSE_S

    def _read_all(self):
        """Read the store although another entry should have told what is in it."""
        if not self.watch.read_servers():
            self._ask_substitute()
            return
        if now_s() - self.beliefs.operator_read_s > STALE_S:
            self.watch.read_operator_again()

    def _ask_substitute(self):
        name = self.sources.substitute(self._places(), now_s())
        if name:
            self._ask(name)

    def _source(self):
        return self.sources.choose(self._places(), now_s())

    def _places(self):
        live = self.beliefs.membership.live_entries(now_s())
        return {name: entry.place for name, entry in live.items()}

    # Asking another entry.

    def _ask(self, name):
        entry = self.beliefs.membership.entry_by_name.get(name)
        if entry is None:
            return False
        if now_s() - self._whole_s >= WHOLE_INTERVAL_S:
            # Whatever was missed or taken wrongly is mended after this time.
            self._known_generation.pop(name, None)
            self._whole_s = now_s()
        incarnation, generation = self._known_generation.get(name, (0, 0))
        request = KnowledgeRequest(self._version(), generation, incarnation)
        reply = self.client.call(entry.reach_peer_address, request, ASK_TIMEOUT_S)
        if reply.is_err() or not isinstance(reply.ok(), KnowledgeReply):
            self._fail(name, "no-answer")
            return False
        return self._take(name, reply.ok())

    def _take(self, name, reply):
        if reply.age_s > STALE_S:
            self._fail(name, "stale", round(reply.age_s, 2))
            return False
        read_s = now_s() - reply.age_s
        if read_s < self.beliefs.servers_read_s - NEWS_DELAY_S:
            # What is known here was read later: it must not go back.
            self._fail(name, "older", round(reply.age_s, 2))
            return False
        self._known_generation[name] = (reply.incarnation, reply.news.generation)
        if reply.configuration:
            read = decode_configuration_text(reply.configuration)
            if read.is_ok():
                self.beliefs.take_configuration(read.ok(), reply.configuration, name)
            else:
                self.metrics.count_code(read.err().code)
        self.watch.take_evacuated(reply.news.evacuated_places, name)
        news = reply.news
        fleet = self.beliefs.fleet
        records = [one for one in news.records if not fleet.is_revival(one, read_s)]
        if len(records) < len(news.records):
            # They may be back all the same; then the next whole answer tells so.
            self._known_generation.pop(name, None)
        self.watch.take_servers(records, news.removed_ids, news.is_whole, False, name)
        self.beliefs.servers_read_s = max(self.beliefs.servers_read_s, read_s)
        self.beliefs.operator_read_s = max(self.beliefs.operator_read_s, read_s)
        return True

    def _fail(self, name, why, age_s=None):
        self.sources.note_failed(name, now_s())
        self.metrics.count("sources_failed", why=why)
        self.log.bind(source=name, why=why, age_s=age_s).info("source-passed-over")
