"""Keeps the shares of requests between regions up to date from the reports of the entries."""

from collections import Counter

from attrs import define

from figfold.core.regions.balancer import RegionBalancer
from figfold.core.regions.measurement import DemandMeter, DemandStatement
from figfold.core.regions.shares import loads_from_statements
from figfold.entry.clock import now_s


@define(eq=False)
class RegionShares:
    """Measures this entry's demand and puts the shares in force, while the setting is on.

    Attributes
    ----------
    cluster : ClusterView
    placement : Placement
        Uses the shares in force.
    """

    region: str
    cluster: object
    placement: object
    log: object
    meter: DemandMeter | None = None
    balancer: RegionBalancer | None = None

    @classmethod
    def from_config(cls, settings, cluster, placement, log):
        """Return the shares of an entry, in force if the settings say so."""
        shares = cls(settings.region, cluster, placement, log)
        shares.apply_settings(settings)
        return shares

    @property
    def is_on(self):
        """Whether the setting is on."""
        return self.balancer is not None

    def apply_settings(self, settings):
        """Start or stop balancing; what was measured before is dropped."""
        if settings.region_balancing == self.is_on:
            return
        if settings.region_balancing:
            self.meter = DemandMeter(now_s())
            self.balancer = RegionBalancer(self.region, self.placement.regions())
            self.placement.balanced_shares = self.balancer.shares
            self.cluster.regions_with_room = self.balancer.regions_with_room
        else:
            self.meter = self.balancer = None
            self.placement.balanced_shares = self.cluster.regions_with_room = None

    # Measurements.

    def record_request(self, service):
        """Count a request of a caller."""
        if self.meter is not None:
            self.meter.count_request(service, now_s())

    def record_run(self, service, run_s):
        """Record the time for which a request has taken up a slot."""
        if self.meter is not None:
            self.meter.add_run(service, run_s, now_s())

    def record_load(self, service, server_id, load, now):
        """Record the load that an answer of a server reports."""
        if self.meter is None:
            return
        server = self.cluster.fleet.server_by_id.get(server_id)
        if server is not None and self._region_of(server.record.place) == self.region:
            self.meter.add_load(service, load.running, load.slots, now)

    def statement(self, service, now):
        """Return what this entry states to the others of a service."""
        if self.meter is None:
            return DemandStatement()
        return self.meter.statement(service, now, self.balancer.desired_local_share(service))

    # Shares.

    def update(self):
        """Set the shares of all services from the latest reports."""
        configuration = self.cluster.configuration
        if self.balancer is None or configuration is None:
            return
        services = configuration.service_by_name
        self.meter.retain_services(services)
        self.balancer.retain_services(services)
        for service in services:
            self._update_service(service, now_s())

    def _update_service(self, service, now):
        slots_by_region = self.cluster.ranking.roster(service).slots_by_region
        if not slots_by_region:
            return
        statements_by_region = {self.region: [self.statement(service, now)]}
        for place, load in self.cluster.membership.recent_loads(service, now):
            statements_by_region.setdefault(self._region_of(place), []).append(load.demand)
        local = [one.local_share for one in statements_by_region[self.region][1:]]
        load_by_region = loads_from_statements(
            dict(slots_by_region),
            statements_by_region,
            Counter(self.cluster.live_entry_regions()),
        )
        change = self.balancer.update(service, slots_by_region, load_by_region, local, now)
        if change is not None:
            self.log.bind(
                service=service,
                before=change.before,
                now=change.now,
                fallback=change.is_fallback,
                load=_to_log(load_by_region),
            ).info("region-shares-changed")

    def gauges(self):
        """Yield name, labels and value of the shares in force."""
        shares_by_service = self.balancer.shares_in_force() if self.balancer is not None else {}
        for service, shares in shares_by_service.items():
            for region, share in shares:
                yield "region_share", {"service": service, "region": region}, share

    def _region_of(self, place):
        return self.cluster.region_by_place.get(place, "")


def _to_log(load_by_region):
    """Return slots, needed slots and utilisation of each region, for a log line."""
    if load_by_region is None:
        return None
    return {
        region: [one.slots, round(one.needed_slots, 1), round(one.utilisation, 2)]
        for region, one in sorted(load_by_region.items())
    }
