"""Shares of a region's requests by the region that serves them, from demand and free capacity."""

from attrs import frozen

# Part of a region's slots that its own requests may fill before it sends a surplus elsewhere. Few
# servers with a queue of their own each make requests wait long before all slots are busy.
TARGET_UTILISATION = 0.35
# While the requests that stay in a region fill a part of its slots between these, or little more
# than all regions on average, objects stay where they are warm.
LOW_UTILISATION = 0.2
HIGH_UTILISATION = 0.65
LEVEL_TOLERANCE = 1.15
# A smaller part of a region's requests than this stays in the region, because requests that come
# and go with a wave would run cold more often than they would wait.
MIN_SURPLUS = 0.2
# Multiple of the common utilisation below which a region's slots count as free for the surplus of
# others. With a smaller one, waves of large regions turn the surplus round.
FULL_FACTOR = 2.0
# From this measured utilisation on, a region counts as full, whatever its demand accounts for.
SATURATED_UTILISATION = 0.95
# A region takes requests that another one has rejected below this utilisation.
ROOM_UTILISATION = 0.85
# Shares are multiples of one part in this number, so that entries agree on them.
SHARE_UNITS = 40


@frozen
class RegionLoad:
    """Load of one service in one region.

    Attributes
    ----------
    slots : int
        Of the usable servers in the region.
    demand_per_s : float
        Requests per second of the region's callers, wherever they run.
    run_s : float
        Mean time for which one of them takes up a slot, in seconds.
    utilisation : float
        Measured part of the region's slots that are busy, negative if it is not known.
    """

    slots: int
    demand_per_s: float
    run_s: float
    utilisation: float = -1.0

    @property
    def needed_slots(self):
        """Slots that the region's own requests fill."""
        needed = self.demand_per_s * self.run_s
        if self.utilisation >= SATURATED_UTILISATION:
            return max(needed, self.utilisation * self.slots)
        return needed


def loads_from_statements(slots_by_region, statements_by_region, entries_by_region):
    """Return the `RegionLoad` of each region, or None if too little is known.

    Parameters
    ----------
    slots_by_region : dict[str, int]
    statements_by_region : dict[str, list[DemandStatement]]
        Of entries that were heard recently. Those that are not are assumed to have as much demand.
    entries_by_region : dict[str, int]
        Number of live entries.

    Returns
    -------
    dict[str, RegionLoad] or None
        None if a region is silent, or no run time is known. All regions have the same run time:
        differences between them come from queues and cold runs, which pass.
    """
    stated = {
        region: [one for one in statements_by_region.get(region, ()) if one.requests_per_s >= 0.0]
        for region in {*slots_by_region, *entries_by_region}
    }
    if not all(stated.values()):
        return None
    run_s = _mean_run_s([one for ones in stated.values() for one in ones])
    if run_s is None:
        return None
    load_by_region = {}
    for region, statements in stated.items():
        mean_per_s = sum(one.requests_per_s for one in statements) / len(statements)
        known = [one.utilisation for one in statements if one.utilisation >= 0.0]
        load_by_region[region] = RegionLoad(
            slots_by_region.get(region, 0),
            mean_per_s * max(len(statements), entries_by_region.get(region, 0)),
            run_s,
            sum(known) / len(known) if known else -1.0,
        )
    return load_by_region


def _mean_run_s(statements):
    known = [one for one in statements if one.run_s > 0.0]
    weight = sum(one.requests_per_s for one in known)
    if not weight:
        return None
    return sum(one.requests_per_s * one.run_s for one in known) / weight


def desired_shares(own_region, load_by_region, allowed_regions):
    """Return the share of a region's requests that each region should serve.

    The own region serves them up to `TARGET_UTILISATION` of its slots, or up to the mean
    utilisation of all regions where that is higher. The other regions serve the rest in proportion
    to the slots that their own demand leaves free.

    Parameters
    ----------
    own_region : str
    load_by_region : dict[str, RegionLoad]
    allowed_regions : iterable of str
        Regions that may serve the requests; the load of each is known.

    Returns
    -------
    dict[str, float]
        The sum is 1; empty if no allowed region has slots.
    """
    allowed = {one for one in allowed_regions if load_by_region[one].slots > 0}
    if not allowed:
        return {}
    level = utilisation_level(load_by_region)
    own_share = 0.0
    if own_region in allowed:
        own = load_by_region[own_region]
        own_share = min(1.0, level * own.slots / own.needed_slots) if own.needed_slots else 1.0
        if own_share > 1.0 - MIN_SURPLUS:
            return {own_region: 1.0}
    others = sorted(allowed - {own_region})
    room_by_region = {one: _room(load_by_region[one], level) for one in others}
    total_room = sum(room_by_region.values())
    if not total_room and own_region in allowed:
        return {own_region: 1.0}
    if not total_room:
        room_by_region = {one: load_by_region[one].slots for one in others}
        total_room = sum(room_by_region.values())
    shares = {one: (1.0 - own_share) * room / total_room for one, room in room_by_region.items()}
    return shares | ({own_region: own_share} if own_region in allowed else {})


def _room(load, level):
    """Return the slots by which a region takes part in the surplus of others."""
    if load.utilisation >= SATURATED_UTILISATION:
        return 0.0
    return max(0.0, FULL_FACTOR * level * load.slots - load.needed_slots)


def is_tolerable(own_region, load_by_region, shares):
    """Return whether shares fill neither the own region nor one that serves its surplus too much.

    Parameters
    ----------
    shares : dict[str, float]
        With a part for the own region, if it may serve the requests.
    """
    level = utilisation_level(load_by_region)
    own, share = load_by_region[own_region], shares.get(own_region, 0.0)
    if not own.slots:
        return False
    utilisation = share * own.needed_slots / own.slots
    is_idle = utilisation < LOW_UTILISATION and share < 1.0
    if is_idle or utilisation > max(HIGH_UTILISATION, LEVEL_TOLERANCE * level):
        return False
    others = (one for one, part in shares.items() if part and one != own_region)
    return all(_room(load_by_region[one], level) for one in others)


def utilisation_level(load_by_region):
    """Return the utilisation up to which each region serves its own requests."""
    slots = sum(one.slots for one in load_by_region.values())
    needed = sum(one.needed_slots for one in load_by_region.values())
    return max(TARGET_UTILISATION, needed / slots) if slots else TARGET_UTILISATION


def regions_with_room(load_by_region):
    """Return the regions whose slots are not filled by their own requests, for rejected ones."""
    return {
        region
        for region, one in load_by_region.items()
        if one.needed_slots < ROOM_UTILISATION * one.slots
        and one.utilisation < SATURATED_UTILISATION
    }


def quantise(share_by_region):
    """Return shares as numbers of units, with the sum `SHARE_UNITS` (largest remainders)."""
    scaled = {one: share * SHARE_UNITS for one, share in share_by_region.items()}
    units = {one: int(value) for one, value in scaled.items()}
    by_remainder = sorted(scaled, key=lambda one: (units[one] - scaled[one], one))
    for one in by_remainder[: SHARE_UNITS - sum(units.values())]:
        units[one] += 1
    return units


def distance(first, second):
    """Return the part of the requests that two sets of shares send to different regions."""
    regions = {*first, *second}
    return 0.5 * sum(abs(first.get(one, 0) - second.get(one, 0)) for one in regions)


def ordered_shares(own_region, units_by_region):
    """Return pairs of region and share, in the order of their intervals of object positions.

    The own region's interval is between the others, so that a change of its share moves only
    objects near its two ends.
    """
    others = sorted(one for one in units_by_region if one != own_region)
    middle = len(others) // 2
    ordered = [*others[:middle], own_region, *others[middle:]]
    return tuple(
        (one, units_by_region[one] / SHARE_UNITS) for one in ordered if units_by_region.get(one)
    )
