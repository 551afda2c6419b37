"""Shares in force of a region's requests, which follow the desired ones in small steps.

An object that moves to another region runs cold there once. Shares therefore change only if the
desired ones differ from the last target by more than a dead band, and by one unit per step.
"""

from statistics import median

from attrs import Factory, define, frozen

from figfold.core.regions.shares import (
    SHARE_UNITS,
    desired_shares,
    distance,
    is_tolerable,
    ordered_shares,
    quantise,
    regions_with_room,
)
from figfold.core.traffic.placement import shares_by_slots

# Shortest time between two steps of one unit. Between two windows of 2 s, two steps move 0.05 of
# the requests, which leaves most of the bound of 0.15 to requests that overflow.
STEP_S = 1.0
# Steps may come this much earlier, because timers are not exact.
STEP_TOLERANCE_S = 0.05
# A target is replaced if the desired shares send this part of the requests elsewhere.
DEAD_BAND = 0.1
# An entry takes over the median target of its region's others if the own region's shares differ by
# more, and the median is within the dead band.
AGREEMENT_BAND = 0.03
# Sets of allowed regions that are kept for each service.
MAX_REGION_SETS = 32


@frozen
class TargetChange:
    """New target of a service's shares, in parts of 1 by region.

    Attributes
    ----------
    is_fallback : bool
        Whether the target is the shares by slots, because too little is known of the load.
    """

    service: str
    before: dict
    now: dict
    is_fallback: bool


@define
class _Shares:
    """Shares of one set of regions, in units.

    Attributes
    ----------
    units, target : dict[str, int]
        In force, and towards which they change.
    ordered : tuple[tuple[str, float], ...]
        Shares in force as `Placement` uses them.
    """

    own_region: str
    units: dict
    target: dict
    ordered: tuple = ()

    def __attrs_post_init__(self):
        self.ordered = ordered_shares(self.own_region, self.units)

    def step(self):
        """Move one unit from the region that is furthest above its target to the one below it."""
        excess = {
            one: self.units.get(one, 0) - self.target.get(one, 0)
            for one in sorted({*self.units, *self.target})
        }
        if not excess:
            return
        above, below = max(excess, key=excess.get), min(excess, key=excess.get)
        if excess[above] <= 0:
            return
        self.units[above] -= 1
        self.units[below] = self.units.get(below, 0) + 1
        self.ordered = ordered_shares(self.own_region, self.units)


@define
class _ServiceShares:
    """Shares of one service: those of all regions, and those of sets of home regions.

    Attributes
    ----------
    regions : tuple[str, ...]
        All regions with slots.
    """

    regions: tuple
    shares_by_regions: dict[tuple, _Shares]
    stepped_s: float
    load_by_region: dict | None = None


@define
class RegionBalancer:
    """Shares by target region of the requests of one region's callers.

    Attributes
    ----------
    own_region : str
    regions : tuple[str, ...]
        All regions of the deployment, sorted.
    """

    own_region: str
    regions: tuple
    _state_by_service: dict[str, _ServiceShares] = Factory(dict)

    def shares(self, service, slots_by_region):
        """Return the shares in force as ordered pairs, or None before the first update.

        Parameters
        ----------
        slots_by_region : tuple[tuple[str, int], ...]
            Of the usable servers that the request may use, sorted.
        """
        state = self._state_by_service.get(service)
        if state is None:
            return None
        regions = tuple(one for one, _ in slots_by_region)
        shares = state.shares_by_regions.get(regions)
        if shares is None:
            shares = self._add_regions(state, slots_by_region)
        return shares.ordered

    def local_target(self, service):
        """Return the share that the own region is to serve, negative if it is not known."""
        state = self._state_by_service.get(service)
        if state is None or state.load_by_region is None:
            return -1.0
        target = state.shares_by_regions[state.regions].target
        return target.get(self.own_region, 0) / SHARE_UNITS

    def regions_with_room(self, service):
        """Return the regions with room for rejected requests, or None if it is not known."""
        state = self._state_by_service.get(service)
        if state is None or state.load_by_region is None:
            return None
        return regions_with_room(state.load_by_region)

    def shares_in_force(self):
        """Return the shares of all regions' servers by service, as ordered pairs."""
        return {
            service: state.shares_by_regions[state.regions].ordered
            for service, state in self._state_by_service.items()
            if state.regions in state.shares_by_regions
        }

    def retain_services(self, services):
        """Drop the shares of services that no longer exist."""
        for service in [one for one in self._state_by_service if one not in services]:
            del self._state_by_service[service]

    def update(self, service, slots_by_region, load_by_region, stated_local, now_s):
        """Set the targets from the load and take a step towards them if one is due.

        Parameters
        ----------
        slots_by_region : tuple[tuple[str, int], ...]
            Of all usable servers of the service, sorted.
        load_by_region : dict[str, RegionLoad] or None
            None if too little is known, so that the shares by slots are the target.
        stated_local : list[float]
            Local targets of other entries of the region, so that they agree.

        Returns
        -------
        TargetChange or None
        """
        regions = tuple(one for one, _ in slots_by_region)
        state = self._state_by_service.get(service)
        if state is None:
            shares = self._initial(slots_by_region)
            state = _ServiceShares(regions, {regions: shares}, now_s)
            self._state_by_service[service] = state
        elif state.regions != regions:
            self._replace_regions(state, slots_by_region)
        state.load_by_region = load_by_region
        change = None
        slots = dict(slots_by_region)
        for own_regions, shares in state.shares_by_regions.items():
            before = shares.target
            self._set_target(shares, own_regions, slots, load_by_region)
            if own_regions == regions and load_by_region is not None:
                self._agree(shares, regions, load_by_region, stated_local)
            if own_regions == regions and shares.target != before:
                parts = (_to_parts(before), _to_parts(shares.target))
                change = TargetChange(service, *parts, load_by_region is None)
        if now_s - state.stepped_s >= STEP_S - STEP_TOLERANCE_S:
            state.stepped_s = now_s
            for shares in state.shares_by_regions.values():
                shares.step()
        return change

    def _agree(self, shares, regions, load_by_region, stated_local):
        """Take over the target of the region's other entries if they differ and it fits as well."""
        known = [one for one in stated_local if 0.0 <= one <= 1.0]
        if not known:
            return
        local = median(known)
        if abs(local - shares.target.get(self.own_region, 0) / SHARE_UNITS) <= AGREEMENT_BAND:
            return
        desired = desired_shares(self.own_region, load_by_region, regions)
        units = quantise(_with_local(desired, self.own_region, local))
        if distance(units, quantise(desired)) <= DEAD_BAND * SHARE_UNITS:
            shares.target = units

    def _set_target(self, shares, regions, slots, load_by_region):
        if load_by_region is None:
            pairs = tuple((one, slots[one]) for one in regions if one in slots)
            shares.target = self._units_by_slots(pairs) or shares.target
            return
        known = [one for one in regions if one in load_by_region]
        desired = desired_shares(self.own_region, load_by_region, known)
        if not desired:
            return
        if is_tolerable(self.own_region, load_by_region, _to_parts(shares.target)):
            return
        units = quantise(desired)
        if distance(units, shares.target) > DEAD_BAND * SHARE_UNITS:
            shares.target = units

    def _initial(self, slots_by_region):
        units = self._units_by_slots(slots_by_region)
        return _Shares(self.own_region, units, dict(units))

    def _units_by_slots(self, slots_by_region):
        shares = shares_by_slots(self.own_region, self.regions, slots_by_region)
        return quantise(dict(shares))

    def _replace_regions(self, state, slots_by_region):
        """Go on with other regions: one that is new starts without a share."""
        shares = self._restricted(state, slots_by_region)
        state.regions = tuple(one for one, _ in slots_by_region)
        state.shares_by_regions = {state.regions: shares}

    def _add_regions(self, state, slots_by_region):
        shares = self._restricted(state, slots_by_region)
        if len(state.shares_by_regions) < MAX_REGION_SETS:
            state.shares_by_regions[tuple(one for one, _ in slots_by_region)] = shares
        return shares

    def _restricted(self, state, slots_by_region):
        """Return the shares of all regions, divided among some of them."""
        known = state.shares_by_regions[state.regions].units
        kept = {one: known.get(one, 0) for one, _ in slots_by_region}
        total = sum(kept.values())
        if not total:
            return self._initial(slots_by_region)
        units = quantise({one: value / total for one, value in kept.items()})
        return _Shares(self.own_region, units, dict(units))


def _with_local(desired, own_region, local):
    """Return the desired shares with another one of the own region."""
    own = desired.get(own_region)
    if own is None or own >= 1.0 - 1e-9:
        # No other region's part is known, by which the rest could be divided.
        return desired
    factor = (1.0 - local) / (1.0 - own)
    return {one: local if one == own_region else part * factor for one, part in desired.items()}


def _to_parts(units):
    return {one: number / SHARE_UNITS for one, number in sorted(units.items()) if number}
