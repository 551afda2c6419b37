"""Exchanges shares of organisations' limits with the quota holders, and admits by them."""

import eventlet
from attrs import Factory, define
from eventlet import Timeout
from eventlet.event import Event

from figfold.core.quotas.holders import HolderChoice
from figfold.core.quotas.ledger import QuotaLedger
from figfold.core.quotas.limiter import INTERVAL_SLACK_S, QuotaLimiter
from figfold.core.quotas.tolerance import Tolerance
from figfold.entry.clock import now_s
from figfold.wire.messages import QuotaReply

INTERVAL_S = 0.25
# Between two checks whether this region has to borrow, or to give back.
REGION_INTERVAL_S = 0.125
# Longest time that a request waits for tokens that the quota holder may have. The links of small
# entries delay messages by the time of large answers, a tenth of a second each.
ASK_WAIT_S = 0.4
# Shortest time between two requests to the quota holder, for all callers that wait together.
ASK_SPACING_S = 0.05
# A reply that takes longer finds its leases half over.
TIMEOUT_S = 0.4


@define(eq=False)
class QuotaExchange:
    """Loop that renews the leases of this entry and of its region, and the replies to peers.

    It runs only while an organisation has a limit.
    """

    name: str
    region: str
    region_by_place: dict
    cluster: object
    client: object
    metrics: object
    log: object
    limiter: QuotaLimiter
    ledger: QuotaLedger
    holders: HolderChoice = Factory(HolderChoice)
    is_running: bool = False
    _live: dict | None = None
    _holder: str = ""
    _is_holder_lost: bool = False
    _asked_s: float = float("-inf")
    _stepped_s: float = float("-inf")
    # Sent when the request to the quota holder that is in progress has ended; None without one.
    _exchange_ended: Event | None = None
    # Sent when the next request has ended for which callers wait.
    _asked: Event | None = None
    _regions_asked: set = Factory(set)

    @classmethod
    def from_config(cls, settings, cluster, client, metrics, log, incarnation):
        """Return an exchange without limits, whose loop does not run."""
        exchange = cls(
            settings.name,
            settings.region,
            settings.region_by_place,
            cluster,
            client,
            metrics,
            log,
            QuotaLimiter.from_config(settings.name, incarnation),
            QuotaLedger.from_config(settings.name, incarnation),
        )
        exchange.apply_settings(settings)
        return exchange

    def apply_settings(self, settings):
        """Put new settings in force."""
        self.limiter.tolerance = Tolerance(
            settings.limit_window_s, settings.limit_overshoot, settings.limit_slack
        )

    def apply_configuration(self, configuration):
        """Put the limits of a configuration in force, and run the loop if there are any."""
        now = now_s()
        self.limiter.apply_limits(configuration.organisation_by_name, now)
        self.ledger.apply_limits(configuration.organisation_by_name, now)
        if self.limiter.has_limits and not self.is_running:
            self.is_running = True
            eventlet.spawn_n(self._run)

    def handle_request(self, request):
        """Return the reply to an entry that delegates its share, or to another region."""
        self.metrics.count("quota_requests", sender="region" if request.is_region else "entry")
        return self.ledger.handle(request, now_s())

    # Requests of callers.

    def acquire(self, organisation):
        """Admit a request within its organisation's limit, or return when it would be.

        A request waits for up to `ASK_WAIT_S` if the quota holder may have tokens.

        Returns
        -------
        Admission
        """
        now = now_s()
        admission = self.limiter.try_acquire(organisation, now)
        if not admission.is_admitted and self.limiter.should_ask(organisation, now):
            self.limiter.begin_wait(organisation)
            try:
                self._ask_and_wait()
            finally:
                admission = self.limiter.end_wait(organisation, now_s())
        if not admission.is_admitted:
            self.metrics.count("over_limit")
        return admission

    def _ask_and_wait(self):
        if self._choose_holder() == self.name and self._exchange_ended is None:
            self._exchange(True)
            return
        if self._asked is None:
            self._asked = Event()
            eventlet.spawn_n(self._ask_soon, self._asked)
        with Timeout(ASK_WAIT_S, False):
            self._asked.wait()

    def _ask_soon(self, asked):
        """Ask once for all callers that have begun to wait by then."""
        try:
            eventlet.sleep(max(0.0, self._asked_s + ASK_SPACING_S - now_s()))
            while self._exchange_ended is not None:
                self._exchange_ended.wait()
            self._asked = None
            self._exchange_once(True)
        finally:
            if self._asked is asked:
                self._asked = None
            asked.send()
        if self.limiter.is_reduced:
            # The quota holder can lend the rest once it knows that the reply has arrived.
            self._exchange_once(False)

    # Loop.

    def _run(self):
        while self.limiter.has_limits:
            started = now_s()
            try:
                self._step(started)
            except Exception as error:
                self.metrics.count("loop_errors", loop="quotas")
                self.log.opt(exception=error).error("loop step failed", loop="quotas")
            eventlet.sleep(max(0.0, REGION_INTERVAL_S - (now_s() - started)))
        self.is_running = False

    def _step(self, now):
        cluster = self.cluster
        is_registered = bool(cluster.registered_entries)
        self.limiter.set_entry_count(cluster.entry_count(), is_registered, now)
        self._choose_holder()
        self.ledger.tick(now)
        for region in self.holders.regions():
            if region != self.region and region not in self._regions_asked:
                self._ask_region(region, now)
        if now - self._stepped_s >= INTERVAL_S - INTERVAL_SLACK_S:
            self._stepped_s = now
            eventlet.spawn_n(self._exchange)

    def _choose_holder(self):
        """Return the name of the quota holder of the own region, empty without one."""
        live = self.cluster.place_by_live_entry()
        if live is not self._live:
            self._live = live
            self.holders.update(
                {name: self.region_by_place.get(place, "") for name, place in live.items()}
            )
            self.ledger.forget_lenders(self.holders.regions())
        holder = self.holders.holder(self.region, now_s()) or ""
        if holder != self._holder:
            self.log.bind(holder=holder, before=self._holder).info("quota-holder-changed")
            self._holder = holder
        return holder

    # Exchange with quota holders.

    def _exchange(self, is_urgent=False):
        """Send the request that is due to the quota holder and apply its reply."""
        if self._exchange_once(is_urgent) and self.limiter.is_reduced:
            # The quota holder can lend the rest once it knows that the reply has arrived.
            self._exchange_once(False)

    def _exchange_once(self, is_urgent):
        """Send the request that is due, if any; return whether there was a reply."""
        if self._exchange_ended is not None:
            return False
        holder = self._choose_holder()
        now = now_s()
        request = self.limiter.next_request(holder, now, is_urgent) if holder else None
        if request is None:
            return False
        self._asked_s = now
        ended = self._exchange_ended = Event()
        try:
            reply = self._call(holder, request)
            if reply is None:
                self.limiter.record_failure(holder)
            else:
                self.limiter.apply_reply(holder, request, reply, now, now_s())
            self._report_reachable(holder, reply is not None)
        finally:
            self._exchange_ended = None
            ended.send()
        return reply is not None

    def _report_reachable(self, holder, is_reachable):
        if is_reachable is self._is_holder_lost:
            self._is_holder_lost = not is_reachable
            event = "quota-holder-reachable" if is_reachable else "quota-holder-lost"
            self.log.bind(holder=holder).info(event)

    def _ask_region(self, region, now):
        """Borrow from the quota holder of another region, if this region lacks shares."""
        holder = self.holders.holder(region, now)
        request = self.ledger.next_region_request(region, holder, now)
        if request is not None:
            self._regions_asked.add(region)
            eventlet.spawn_n(self._borrow, region, holder, request)

    def _borrow(self, region, holder, request):
        asked_s = now_s()
        try:
            reply = self._call(holder, request)
            if reply is None:
                self.ledger.record_region_failure(region)
            else:
                self.ledger.apply_region_reply(region, holder, request, reply, asked_s, now_s())
                self.ledger.tick(now_s())
        finally:
            self._regions_asked.discard(region)

    def _call(self, holder, request):
        """Return the reply of a quota holder, or None."""
        if holder == self.name:
            return self.ledger.handle(request, now_s())
        entry = self.cluster.membership.entry_by_name.get(holder)
        reply = None
        if entry is not None and entry.reach_peer_address:
            reply = self.client.call(entry.reach_peer_address, request, TIMEOUT_S)
        if reply is not None and reply.is_ok() and isinstance(reply.ok(), QuotaReply):
            return reply.ok()
        self.metrics.count("quota_exchange_failures")
        self.holders.record_failure(holder, now_s())
        return None
