"""Divides each region's traffic among the places so that every place gets its share in total.

A flow is the fraction of all callers that are in a given region and served at a given place.
"""

# Smaller fractions are rounding errors.
FRACTION_EPSILON = 1e-12


def effective_shares(plan, topology, service, unusable_places):
    """Return the shares of the usable places, by place.

    When none of them has a share, their caps are used instead, so that places without a share
    serve when no other place can. The result is empty when no usable place has either.

    Parameters
    ----------
    plan : Plan
        The plan in force.
    topology : Topology
        Regions and places.
    service : str
        Name of the service.
    unusable_places : frozenset[str]
        Places that take no traffic.
    """
    rows = []
    for place in topology.place_by_name:
        row = plan.row_by_key.get((service, place))
        if row is not None and place not in unusable_places:
            rows.append(row)
    share_by_place = {row.place: row.share for row in rows if row.share}
    return share_by_place or {row.place: row.cap for row in rows if row.cap}


def endpoint_shares(topology, service):
    """Return the endpoints of a service by place, for places that have any."""
    known = topology.service_by_name.get(service)
    endpoints_by_place = known.endpoints_by_place if known else {}
    return {
        place: endpoints_by_place[place]
        for place in topology.place_by_name
        if endpoints_by_place.get(place)
    }


def fractions_of_sum(amount_by_name):
    """Return each amount as a fraction of the sum; empty when the sum is zero."""
    total = sum(amount_by_name.values())
    if not total:
        return {}
    return {name: amount / total for name, amount in amount_by_name.items()}


def demand_fractions(demand_by_region, topology):
    """Return each region's fraction of the callers; equal ones when no demand is known."""
    regions = list(topology.region_by_name)
    known = {region: max(0.0, demand_by_region.get(region, 0.0)) for region in regions}
    return fractions_of_sum(known) or fractions_of_sum(dict.fromkeys(regions, 1))


def _places_by_region(topology):
    return {region: topology.places_in(region) for region in topology.region_by_name}


def fill_places(amount_by_region, room_by_place, places_by_region):
    """Return flows that assign all amounts to places and use all room, local places first.

    Each region fills its own places in proportion to their room. The remainder goes to the
    places that still have room, in proportion to it.

    Parameters
    ----------
    amount_by_region, room_by_place : dict[str, float]
        The amounts to assign and the room of the places; both have the same sum.
    places_by_region : dict[str, list[str]]
        Names of each region's places.

    Returns
    -------
    dict[str, dict[str, float]]
        Flows by region and place.
    """
    free_by_place = dict(room_by_place)
    flow_by_region = {}
    overflow_by_region = {}
    for region, amount in amount_by_region.items():
        local = {place: room_by_place.get(place, 0.0) for place in places_by_region[region]}
        filled = min(amount, sum(local.values()))
        flow = {place: part * filled for place, part in fractions_of_sum(local).items()}
        for place, part in flow.items():
            free_by_place[place] = max(0.0, free_by_place.get(place, 0.0) - part)
        flow_by_region[region] = flow
        overflow_by_region[region] = amount - filled
    free_fraction_by_place = fractions_of_sum(free_by_place)
    for region, rest in overflow_by_region.items():
        if rest > FRACTION_EPSILON:
            _add_flow(flow_by_region[region], free_fraction_by_place, rest)
    return flow_by_region


def _add_flow(flow, fraction_by_place, amount):
    for place, part in fraction_by_place.items():
        if part > 0:
            flow[place] = flow.get(place, 0.0) + part * amount


def rebalance_flows(flow_by_region, fraction_by_place, places_by_region):
    """Return flows with new totals per place, moving no more callers than necessary.

    A place that loses callers loses those of other regions first. The places that gain callers
    are filled as in ``fill_places``.

    Parameters
    ----------
    flow_by_region : dict[str, dict[str, float]]
        The present flows.
    fraction_by_place : dict[str, float]
        The new totals, with a sum of one.
    places_by_region : dict[str, list[str]]
        Names of each region's places.
    """
    total_by_place = {}
    for flow in flow_by_region.values():
        _add_flow(total_by_place, flow, 1.0)
    rebalanced = {region: dict(flow) for region, flow in flow_by_region.items()}
    gain_by_place = {}
    # Sorted, so that rounding is the same in every process.
    for place in sorted(total_by_place.keys() | fraction_by_place.keys()):
        change = fraction_by_place.get(place, 0.0) - total_by_place.get(place, 0.0)
        if change > FRACTION_EPSILON:
            gain_by_place[place] = change
        elif not fraction_by_place.get(place):
            _remove_place(rebalanced, place)
        elif change < -FRACTION_EPSILON:
            _reduce_place(rebalanced, place, -change, places_by_region)
    freed_by_region = {
        region: sum(flow_by_region[region].values()) - sum(flow.values())
        for region, flow in rebalanced.items()
    }
    for region, flow in fill_places(freed_by_region, gain_by_place, places_by_region).items():
        _add_flow(rebalanced[region], flow, 1.0)
    return rebalanced


def _remove_place(flow_by_region, place):
    for flow in flow_by_region.values():
        flow.pop(place, None)


def _reduce_place(flow_by_region, place, amount, places_by_region):
    """Reduce a place's flows by an amount, those of other regions first."""
    local_regions = [region for region in flow_by_region if place in places_by_region[region]]
    remote_regions = [region for region in flow_by_region if region not in local_regions]
    for regions in (remote_regions, local_regions):
        total = sum(flow_by_region[region].get(place, 0.0) for region in regions)
        if total <= 0:
            continue
        kept_fraction = max(0.0, 1 - amount / total)
        for region in regions:
            if place in flow_by_region[region]:
                flow_by_region[region][place] *= kept_fraction
        amount = max(0.0, amount - total)


def stage_matrices(stages, demand_by_region, topology):
    """Return the fractions of each region's traffic by place after each of several stages.

    Parameters
    ----------
    stages : sequence of dict[str, float]
        Shares by place in any unit. The first stage is assigned from scratch; each later one
        moves as few callers as possible.
    demand_by_region : dict[str, float]
        Demand in any unit.
    topology : Topology
        Regions and places.

    Returns
    -------
    list of dict[str, dict[str, float]]
        For each stage the weights by region and place; those of a region sum to one.
    """
    demand_by_region = demand_fractions(demand_by_region, topology)
    places_by_region = _places_by_region(topology)
    matrices = []
    flow_by_region = None
    for share_by_place in stages:
        fraction_by_place = fractions_of_sum(share_by_place)
        if flow_by_region is None:
            flow_by_region = fill_places(demand_by_region, fraction_by_place, places_by_region)
        else:
            flow_by_region = rebalance_flows(flow_by_region, fraction_by_place, places_by_region)
        matrices.append(
            {
                region: fractions_of_sum(flow)
                or _weights_without_demand(fraction_by_place, places_by_region[region])
                for region, flow in flow_by_region.items()
            }
        )
    return matrices


def _weights_without_demand(fraction_by_place, places):
    """Return the weights of a region without demand, whose callers go to its own places."""
    local = {place: fraction_by_place.get(place, 0.0) for place in places}
    return fractions_of_sum(local) or fraction_by_place
