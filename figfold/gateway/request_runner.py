"""Serves requests with what the entry knows, and keeps what all of them share."""

from itertools import count

from attrs import Factory, define
from eventlet import Timeout
from result import Err

from figfold.core.codes import Code
from figfold.core.traffic.durations import RouteDurations
from figfold.core.traffic.limiters import OverflowLimiter, RetryBudget
from figfold.entry.clock import now_s
from figfold.gateway.request_run import RETRY_AFTER_S, RequestRun
from figfold.gateway.requests import CALLER_DISCONNECTED, RequestFailure

# A request that crashes servers is held back for long; its caller need not hurry.
QUARANTINE_RETRY_AFTER_S = 2.0
# An entry has read the store some 0.3 s after it listens; a caller that is refused meanwhile would
# come back about as late.
START_WAIT_S = 0.6


@define(eq=False)
class RequestRunner:
    """Serves requests with what the entry knows; shared by all of them.

    Attributes
    ----------
    cluster : ClusterView
        The configuration, the fleet and the other entries.
    """

    cluster: object
    selector: object
    sender: object
    splitter: object
    quarantine: object
    metrics: object
    log: object
    settings: object
    on_crash_sign: object
    overflow: OverflowLimiter = Factory(OverflowLimiter)
    in_progress: int = 0
    _durations_by_route: dict = Factory(dict)
    _retry_budget_by_service: dict = Factory(dict)
    _ids: object = Factory(lambda: count(1))

    def serve(self, request, watch_caller):
        """Serve a request and return Ok(ServerAnswer) or Err(RequestFailure).

        Parameters
        ----------
        request : GatewayRequest
        watch_caller : callable
            ``(on_gone) -> callable``: calls ``on_gone`` once the caller has closed its connection,
            until the returned function is called.
        """
        if not self._is_informed() and not self._wait_until_informed():
            return Err(RequestFailure(Code.NO_CONFIGURATION, True, "unknown", RETRY_AFTER_S))
        configuration = self.cluster.configuration
        route = configuration.match(request.host, request.path)
        if route is None:
            return Err(RequestFailure(Code.NO_ROUTE, True, "no-route"))
        if self.quarantine.is_quarantined(request.fingerprint, now_s()):
            return Err(
                RequestFailure(Code.QUARANTINED, True, "quarantined", QUARANTINE_RETRY_AFTER_S)
            )
        service = self.splitter.choose(route, request.key if route.is_sticky else "")
        self.retry_budget(service).count_request(now_s())
        self.overflow.count_request(now_s())
        run = RequestRun(self, request, route, service, configuration)
        stop_watching = watch_caller(lambda: run.events.put(CALLER_DISCONNECTED))
        self.in_progress += 1
        try:
            return run.finish()
        finally:
            self.in_progress -= 1
            stop_watching()
            run.cancel_all()

    def _is_informed(self):
        return self.cluster.configuration is not None and self.cluster.fleet.is_loaded

    def _wait_until_informed(self):
        """Wait for what a process that has just started may yet have to read."""
        with Timeout(START_WAIT_S, False):
            while not self._is_informed():
                self.cluster.change_event.wait()
        return self._is_informed()

    def retain_routes(self, route_by_name):
        """Forget what was learned of routes that no longer exist."""
        self.splitter.retain_routes(route_by_name)
        for name, service in list(self._durations_by_route):
            if name not in route_by_name:
                del self._durations_by_route[name, service]

    def retry_budget(self, service):
        """Return this entry's part of the service's second sends."""
        if service not in self._retry_budget_by_service:
            settings = self.settings
            self._retry_budget_by_service[service] = RetryBudget(
                settings.retry_window_s, settings.retry_ratio, settings.retry_slack
            )
        return self._retry_budget_by_service[service]

    def apply_settings(self, settings):
        """Put other settings in force; budgets that are spent stay spent."""
        self.settings = settings
        for budget in self._retry_budget_by_service.values():
            budget.window_s = settings.retry_window_s
            budget.ratio = settings.retry_ratio
            budget.slack = settings.retry_slack

    def durations(self, route, service):
        """Return the run times of a route's requests at a service."""
        return self._durations_by_route.setdefault((route.name, service), RouteDurations())

    def next_id(self):
        """Return a number for an attempt."""
        return next(self._ids)
