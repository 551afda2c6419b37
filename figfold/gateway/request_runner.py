"""Serves requests, and holds the state that they share."""

from itertools import count
from math import inf

from attrs import Factory, define, evolve
from eventlet import Timeout
from result import Err

from figfold.core.codes import Code
from figfold.core.hedging.policy import HedgePolicy
from figfold.core.organisations.access import (
    Access,
    KeyUse,
    are_keys_confirmed,
    decide_access,
)
from figfold.core.organisations.organisation import common_homes
from figfold.core.quotas.limiter import ADMITTED
from figfold.core.quotas.limits import is_limited
from figfold.core.traffic.durations import RouteDurations
from figfold.core.traffic.limiters import OverflowLimiter, RetryBudget
from figfold.core.traffic.reset_watch import ResetWatch
from figfold.entry.clock import now_s
from figfold.gateway.admission import AdmissionControl
from figfold.gateway.region_shares import RegionShares
from figfold.gateway.request_run import RETRY_AFTER_S, RequestRun
from figfold.gateway.requests import CALLER_DISCONNECTED, DEADLINE_CHANGED, RequestFailure
from figfold.platform.headers import with_organisation

# A request that crashes servers stays in quarantine for long, so that an early retry is futile.
QUARANTINE_RETRY_AFTER_S = 2.0
# An entry has read the store about 0.3 s after it starts to listen. A caller that was refused
# meanwhile would not be served earlier than one that waits.
START_WAIT_S = 0.6
FAILURE_BY_ACCESS = {
    Access.UNKNOWN_KEY: RequestFailure(Code.UNKNOWN_API_KEY, True, "unknown-key"),
    Access.UNCONFIRMED_KEYS: RequestFailure(
        Code.KEYS_UNCONFIRMED, True, "unconfirmed-keys", RETRY_AFTER_S
    ),
}


@define(eq=False)
class RequestRunner:
    """Serves requests by the entry's view of the cluster.

    Attributes
    ----------
    cluster : ClusterView
        Configuration, fleet and membership.
    on_suspected_crash : callable
        Called when a request may have crashed its server.
    acquire_quota : callable
        Returns the `Admission` of a request of an organisation with a limit.
    answers_until_s : float
        When all requests have their final answer, because the entry is about to end.
    """

    cluster: object
    selector: object
    sender: object
    splitter: object
    quarantine: object
    metrics: object
    log: object
    settings: object
    on_suspected_crash: object
    region_shares: RegionShares
    admission: AdmissionControl = Factory(
        lambda self: AdmissionControl(self.metrics, self.log), takes_self=True
    )
    overflow_limiter: OverflowLimiter = Factory(OverflowLimiter)
    acquire_quota: object = lambda _organisation: ADMITTED
    reset_watch: ResetWatch = Factory(ResetWatch)
    hedging: HedgePolicy = Factory(HedgePolicy)
    answers_until_s: float = inf
    _runs: set = Factory(set)
    _durations_by_route: dict = Factory(dict)
    _retry_budget_by_service: dict = Factory(dict)
    _attempt_ids: object = Factory(lambda: count(1))

    def serve(self, request, watch_caller):
        """Serve a request; return Ok(ServerAnswer) or Err(RequestFailure).

        Parameters
        ----------
        request : GatewayRequest
        watch_caller : callable
            ``(on_disconnect) -> stop_watching``: calls ``on_disconnect`` once the caller has closed
            its connection, unless ``stop_watching`` has been called before.
        """
        if not self._has_cluster_state() and not self._wait_for_cluster_state():
            return Err(RequestFailure(Code.NO_CONFIGURATION, True, "unknown", RETRY_AFTER_S))
        configuration = self.cluster.configuration
        route = configuration.match(request.host, request.path)
        if route is None:
            return Err(RequestFailure(Code.NO_ROUTE, True, "no-route"))
        decision = self.decide_access(configuration, route, request.key_digest)
        organisation = decision.organisation
        homes = common_homes(
            route.home_regions, organisation.home_regions if organisation else frozenset()
        )
        refusal = FAILURE_BY_ACCESS.get(decision.access) or self._find_refusal(
            request, route, organisation, homes
        )
        if refusal is not None:
            return Err(refusal)
        request = self.hide_key(request, organisation)
        service = self.splitter.choose(route, request.key if route.is_sticky else "")
        if self.settings.hedge_ratio > 0.0:
            self.hedging.count_request(service, now_s())
        self.overflow_limiter.count_request(now_s())
        self.region_shares.record_request(service)
        run = RequestRun(
            self, request, route, service, configuration, organisation, home_regions=homes
        )
        if self.settings.admission:
            run.admission = self.admission.for_request(service)
        stop_watching = watch_caller(lambda: run.events.put(CALLER_DISCONNECTED))
        self._runs.add(run)
        try:
            return run.execute()
        finally:
            self._runs.discard(run)
            stop_watching()
            run.cancel_all()
            if run.admission is not None:
                run.admission.end()

    def _find_refusal(self, request, route, organisation, homes):
        """Return why a request with access is not run, as a RequestFailure, or None."""
        if homes is None:
            return RequestFailure(Code.HOMES_EXCLUDE, True, "homes-exclude")
        if self.quarantine.is_quarantined(request.fingerprint, now_s()):
            return RequestFailure(Code.QUARANTINED, True, "quarantined", QUARANTINE_RETRY_AFTER_S)
        if not route.is_repeatable and request.deadline_s(route) > self.answers_until_s:
            # It might still run when the entry ends, and its caller could not send it again.
            return RequestFailure(Code.ENTRY_LEAVING, True, "leaving", 0.0)
        if not is_limited(organisation):
            return None
        admission = self.acquire_quota(organisation)
        if admission.is_admitted:
            return None
        return RequestFailure(Code.OVER_LIMIT, True, "over-limit", admission.retry_after_s)

    def decide_access(self, configuration, route, digest):
        """Return the `AccessDecision` for a request now; see `decide_access` of the core."""
        is_confirmed = are_keys_confirmed(
            self.cluster.operator_age_s(now_s()), self.settings.revocation_bound_s
        )
        return decide_access(configuration, route, digest, is_confirmed, self.cluster.key_use)

    def hide_key(self, request, organisation):
        """Return a request with the organisation's name, if any, in place of its API key.

        Where keys have never been in use, the request is returned as it is.
        """
        if self.cluster.key_use is KeyUse.UNUSED:
            return request
        name = organisation.name if organisation is not None else None
        return evolve(request, headers=with_organisation(request.headers, name))

    def is_repeatable(self, host, path):
        """Return whether the configuration has a route for the request, which may be repeated."""
        if not self._has_cluster_state():
            return False
        route = self.cluster.configuration.match(host, path)
        return route is not None and route.is_repeatable

    def answer_until(self, until_s):
        """Give all requests, also those in progress, their final answer by a time."""
        self.answers_until_s = until_s
        for run in self._runs:
            run.events.put(DEADLINE_CHANGED)

    def _has_cluster_state(self):
        return self.cluster.configuration is not None and self.cluster.fleet.is_loaded

    def _wait_for_cluster_state(self):
        """Wait for the first read of the store after the process has started."""
        with Timeout(START_WAIT_S, False):
            while not self._has_cluster_state():
                self.cluster.change_event.wait()
        return self._has_cluster_state()

    def retain_routes(self, route_by_name):
        """Drop the state of routes that no longer exist."""
        self.splitter.retain_routes(route_by_name)
        self.hedging.retain_routes(route_by_name)
        self.admission.retain_services(
            {one.service for route in route_by_name.values() for one in route.services}
        )
        for name, service in list(self._durations_by_route):
            if name not in route_by_name:
                del self._durations_by_route[name, service]

    def retry_budget(self, service):
        """Return this entry's retry budget for a service."""
        if service not in self._retry_budget_by_service:
            settings = self.settings
            self._retry_budget_by_service[service] = RetryBudget(
                settings.retry_window_s, settings.retry_ratio, settings.retry_slack
            )
        return self._retry_budget_by_service[service]

    def apply_settings(self, settings):
        """Put new settings in force; what has been spent of the budgets stays spent."""
        self.settings = settings
        self.region_shares.apply_settings(settings)
        for budget in self._retry_budget_by_service.values():
            budget.window_s = settings.retry_window_s
            budget.ratio = settings.retry_ratio
            budget.slack = settings.retry_slack
        if not settings.admission:
            self.admission.switch_off()

    def route_durations(self, route, service):
        """Return the estimated run times of a route's requests at a service."""
        return self._durations_by_route.setdefault((route.name, service), RouteDurations())

    def next_attempt_id(self):
        """Return the id for a new attempt."""
        return next(self._attempt_ids)
