"""Shares in force of a region's requests, which follow the desired ones in small steps.

An object that moves to another region runs cold there once. Shares therefore change only if the
desired ones differ from the last target by more than a dead band, and by one unit per step.
"""

from attrs import Factory, define, frozen

from figfold.core.regions.shares import (
    SHARE_UNITS,
    desired_shares,
    distance,
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
DEAD_BAND = 0.05
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
    desired_local: float = -1.0


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

    def desired_local_share(self, service):
        """Return the share that the own region should serve, negative if it is not known."""
        state = self._state_by_service.get(service)
        return state.desired_local if state is not None else -1.0

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
            Shares that other entries of the region want it to serve. Their mean makes the
            region's entries agree.

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
        local = self._agreed_local(state, load_by_region, regions, stated_local)
        change = None
        slots = dict(slots_by_region)
        for own_regions, shares in state.shares_by_regions.items():
            before = shares.target
            self._set_target(shares, own_regions, slots, load_by_region, local)
            if own_regions == regions and shares.target != before:
                parts = (_to_parts(before), _to_parts(shares.target))
                change = TargetChange(service, *parts, load_by_region is None)
        if now_s - state.stepped_s >= STEP_S - STEP_TOLERANCE_S:
            state.stepped_s = now_s
            for shares in state.shares_by_regions.values():
                shares.step()
        return change

    def _agreed_local(self, state, load_by_region, regions, stated_local):
        """Return the own region's share as the region's entries agree on it, or None."""
        state.desired_local = -1.0
        if load_by_region is None:
            return None
        desired = desired_shares(self.own_region, load_by_region, regions)
        state.desired_local = desired.get(self.own_region, 0.0)
        known = [state.desired_local, *(one for one in stated_local if 0.0 <= one <= 1.0)]
        return sum(known) / len(known)

    def _set_target(self, shares, regions, slots, load_by_region, local):
        if load_by_region is None:
            pairs = tuple((one, slots[one]) for one in regions if one in slots)
            shares.target = self._units_by_slots(pairs) or shares.target
            return
        known = [one for one in regions if one in load_by_region]
        desired = desired_shares(self.own_region, load_by_region, known)
        if not desired:
            return
        units = quantise(_with_local(desired, self.own_region, local))
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
    """Return the desired shares with the agreed one of the own region."""
    own = desired.get(own_region)
    if own is None or local is None or own >= 1.0 - 1e-9 or local >= 1.0 - 1e-9:
        # No other region's part is known, by which the rest could be divided.
        return desired
    factor = (1.0 - local) / (1.0 - own)
    return {one: local if one == own_region else part * factor for one, part in desired.items()}


def _to_parts(units):
    return {one: number / SHARE_UNITS for one, number in sorted(units.items()) if number}
