"""Connects the admission control of each service with the runs of requests."""

from attrs import Factory, define
from eventlet.queue import Empty

from figfold.core.admission.service_admission import AdmissionRequest, ServiceAdmission, State
from figfold.core.admission.shortage import has_free_slot, is_crowded
from figfold.core.codes import Code
from figfold.core.traffic.retry_decision import AttemptOutcome
from figfold.entry.clock import now_s
from figfold.gateway.requests import ADMITTED, CALLER_DISCONNECTED, RequestFailure


@define(eq=False)
class RequestAdmission:
    """Admission of one request, and what its attempts show of the service's load.

    Attributes
    ----------
    control : AdmissionControl
    service : ServiceAdmission
    asked : AdmissionRequest or None
        What was asked for; None before.
    """

    control: object
    service: ServiceAdmission
    asked: AdmissionRequest | None = None

    def wait(self, run):
        """Wait until the request is admitted; return why it is not, as a RequestFailure, or None.

        Events of the run other than the admission and the caller's disconnection only change until
        when the request may wait.
        """
        started = now_s()
        asked = self.asked = _admission_request(run)
        self.service.request(asked, started)
        if asked.state is State.ADMITTED:
            return None
        failure = None
        if asked.state is State.WAITING:
            failure = self._wait_for_event(run, asked)
            self.control.metrics.record("admission_wait", run.service, now_s() - started)
        if asked.state is State.REFUSED:
            failure = RequestFailure(Code.SERVICE_SHORT, True, asked.reason, asked.retry_after_s)
            self.control.metrics.count(
                "admission_refusals", service=run.service, reason=asked.reason
            )
        return failure or run.reason_not_to_start()

    def _wait_for_event(self, run, asked):
        while True:
            latest_s = min(asked.latest_start_s, run.deadline_s - asked.expected_run_s)
            try:
                event = run.events.get(timeout=max(0.0, latest_s - now_s()))
            except Empty:
                if asked.state is State.ADMITTED:
                    continue  # The event is in the queue.
                self.service.give_up(asked, now_s())
                return None
            if event is ADMITTED:
                return None
            if event is CALLER_DISCONNECTED:
                self.end()
                return RequestFailure(Code.CALLER_GONE, True, "caller-gone")

    def end(self):
        """Record the end of the request."""
        if self.asked is not None:
            self.service.end(self.asked, now_s())

    def observe_start(self, choice, route, now):
        """Record the expectation of an attempt that starts, or that would end too late to start."""
        if choice.will_queue and choice.expected_s > route.target_latency_s:
            self.service.observe_attempt(True, False, now)

    def observe_end(self, choice, route, warm_s, result, now):
        """Record the end of an attempt.

        Parameters
        ----------
        warm_s : float
            Expected run time of the route's requests at a warm server.
        """
        was_expected_late = choice.will_queue and choice.expected_s > route.target_latency_s
        is_rejected = result.code is Code.SERVER_SHED
        is_answered = result.outcome is AttemptOutcome.ANSWERED
        if not is_rejected and not is_answered:
            return
        report = result.load
        crowded = report is not None and is_crowded(report, warm_s, route.target_latency_s)
        is_free = report is not None and has_free_slot(report)
        if not was_expected_late:
            self.service.observe_attempt(is_rejected or crowded, is_free, now)
        if is_rejected:
            self.service.observe_rejection(now)
            return
        self.service.observe_answer(
            choice.run_s,
            result.duration_s,
            crowded,
            is_free,
            now,
        )


@define(eq=False)
class AdmissionControl:
    """Admission control of an entry, by service."""

    metrics: object
    log: object
    _admission_by_service: dict = Factory(dict)

    def for_request(self, service):
        """Return the `RequestAdmission` of a new request."""
        return RequestAdmission(self, self._for_service(service))

    def is_short(self, service):
        """Return whether a service is short of room."""
        admission = self._admission_by_service.get(service)
        return admission is not None and admission.shortage.is_short

    def retain_services(self, names):
        """Drop the state of services that no longer exist and have no requests."""
        for service, admission in list(self._admission_by_service.items()):
            if service not in names and not admission.in_progress and not admission.queue:
                del self._admission_by_service[service]

    def switch_off(self):
        """Admit all waiting requests, and forget the state of the services."""
        for admission in self._admission_by_service.values():
            admission.admit_all()
        self._admission_by_service.clear()

    def gauges(self):
        """Return the current values for the metrics."""
        for admission in self._admission_by_service.values():
            admission.refresh(now_s())
        return [
            (name, {"service": service}, value)
            for service, one in self._admission_by_service.items()
            for name, value in (
                ("admission_queued", len(one.queue)),
                ("admission_limit", round(one.limit.value, 2) if one.shortage.is_short else 0),
                ("service_short", int(one.shortage.is_short)),
            )
        ]

    def _for_service(self, service):
        if service not in self._admission_by_service:
            self._admission_by_service[service] = ServiceAdmission(
                lambda admission, now: self._log_change(service, admission, now)
            )
        return self._admission_by_service[service]

    def _log_change(self, service, admission, now):
        shortage = admission.shortage
        self.log.bind(
            service=service,
            pressed=round(shortage.pressed_share(now), 2),
            in_progress=admission.in_progress,
            limit=admission.limit.slots,
        ).info("service-short" if shortage.is_short else "service-not-short")


def _admission_request(run):
    organisation = run.organisation
    return AdmissionRequest(
        organisation.name if organisation is not None else "",
        run.priority,
        run.request.fingerprint,
        run.route.target_latency_s,
        run.deadline_s,
        run.runner.route_durations(run.route, run.service).warm_s(),
        lambda: run.events.put(ADMITTED),
    )
