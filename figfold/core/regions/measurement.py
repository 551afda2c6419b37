"""Demand, run time and utilisation of each service, as one entry measures them."""

from math import exp

from attrs import Factory, define, frozen

# Time constant of the exponential decay of what was measured.
MEASURE_DECAY_S = 4.0
# Rates are scaled up for a short time of measurement, but for no shorter one than this.
MIN_MEASURED_S = 0.5


@frozen
class DemandStatement:
    """What an entry states of one service; negative numbers stand for what it does not know.

    Attributes
    ----------
    requests_per_s : float
        Requests of this entry's callers.
    run_s : float
        Mean time for which a request takes up a slot, in seconds.
    utilisation : float
        Mean part of the slots that were busy at servers of the entry's own region.
    local_share : float
        Share of the region's requests that the entry wants its own region to serve.
    """

    requests_per_s: float = -1.0
    run_s: float = -1.0
    utilisation: float = -1.0
    local_share: float = -1.0


@define
class _DecayingSum:
    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount, now_s):
        self.value = self.current(now_s) + amount
        self.at_s = now_s

    def current(self, now_s):
        return self.value * exp(-max(0.0, now_s - self.at_s) / MEASURE_DECAY_S)


@define
class _ServiceMeter:
    started_s: float
    requests: _DecayingSum = Factory(_DecayingSum)
    run_s: _DecayingSum = Factory(_DecayingSum)
    runs: _DecayingSum = Factory(_DecayingSum)
    utilisation: _DecayingSum = Factory(_DecayingSum)
    reports: _DecayingSum = Factory(_DecayingSum)


@define
class DemandMeter:
    """Measures the services that this entry's callers use; times are monotonic seconds.

    Attributes
    ----------
    started_s : float
        When the measurement has started.
    """

    started_s: float
    _meter_by_service: dict[str, _ServiceMeter] = Factory(dict)

    def count_request(self, service, now_s):
        """Count a request of a caller."""
        self._meter(service).requests.add(1.0, now_s)

    def add_run(self, service, run_s, now_s):
        """Add the time for which a request has taken up a slot, without its wait for one."""
        meter = self._meter(service)
        meter.run_s.add(run_s, now_s)
        meter.runs.add(1.0, now_s)

    def add_load(self, service, running, slots, now_s):
        """Add the requests that run at a server of the own region, as an answer reports them."""
        meter = self._meter(service)
        meter.utilisation.add(min(1.0, running / max(1, slots)), now_s)
        meter.reports.add(1.0, now_s)

    def statement(self, service, now_s, local_share=-1.0):
        """Return the `DemandStatement` of a service."""
        meter = self._meter(service)
        measured_s = max(MIN_MEASURED_S, now_s - meter.started_s)
        # Before much more than the time constant has passed, the sum holds a part of the rate only.
        known_part = 1.0 - exp(-measured_s / MEASURE_DECAY_S)
        return DemandStatement(
            meter.requests.current(now_s) / (MEASURE_DECAY_S * known_part),
            _mean(meter.run_s, meter.runs),
            _mean(meter.utilisation, meter.reports),
            local_share,
        )

    def _meter(self, service):
        meter = self._meter_by_service.get(service)
        if meter is None:
            meter = self._meter_by_service[service] = _ServiceMeter(self.started_s)
        return meter

    def retain_services(self, services):
        """Drop the measurements of services that no longer exist."""
        for service in [one for one in self._meter_by_service if one not in services]:
            del self._meter_by_service[service]


def _mean(total, count):
    # Both decay alike, so that the mean of the latest samples stays when no more come.
    return total.value / count.value if count.value else -1.0
