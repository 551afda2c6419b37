"""Weights of the places for each region's callers, and the changes that lead to them."""

from attrs import frozen

from figfold.core.matrix import effective_shares, endpoint_shares, fractions_of_sum, stage_matrices

# Smaller changes of a weight are rounding errors.
WEIGHT_EPSILON = 1e-12


@frozen
class WeightChange:
    """A change of weights that moves only as many callers as it must.

    Attributes
    ----------
    stay_fraction_by_place : dict[str, float]
        For places that lose weight, the fraction of their callers that stay.
    gain_by_place : dict[str, float]
        For places that gain weight, the weight gained.
    """

    stay_fraction_by_place: dict[str, float]
    gain_by_place: dict[str, float]


@frozen
class RegionWeights:
    """The weights by which places are chosen for one region's callers.

    Attributes
    ----------
    endpoint_weight_by_place : dict[str, float]
        Weights by numbers of endpoints, which do not depend on the plan.
    changes : tuple[WeightChange, ...]
        From the weights by endpoints to those by the plan's shares, and from these to the
        weights without unusable places.
    weight_by_place : dict[str, float]
        Fraction of the region's traffic that goes to each place now.
    fallbacks : tuple[tuple[str, float, bool], ...]
        Usable places, their weights, and whether they lie outside the region.
    """

    endpoint_weight_by_place: dict[str, float]
    changes: tuple[WeightChange, ...]
    weight_by_place: dict[str, float]
    fallbacks: tuple[tuple[str, float, bool], ...]


def emptying_places(plan, topology, service, now_s):
    """Return the places that are being emptied of a service at Unix time ``now_s``."""
    emptying = []
    for place in topology.place_by_name:
        row = plan.row_by_key.get((service, place))
        if row is not None and row.emptying and row.is_emptying(now_s):
            emptying.append(place)
    return frozenset(emptying)


def region_matrix(plan, topology, service, now_s, excluded=frozenset()):
    """Return the fraction of each caller region's traffic that goes to each place.

    Parameters
    ----------
    plan : Plan
        The plan in force.
    topology : Topology
        Regions and places.
    service : str
        Name of the service.
    now_s : float
        Unix time in seconds.
    excluded : frozenset[str]
        Places that take no traffic, such as dead ones.

    Returns
    -------
    dict[str, dict[str, float]]
        Weights by region and place, each region's sum being one; empty when no place serves.
    """
    unusable_places = emptying_places(plan, topology, service, now_s) | excluded
    stages = _share_stages(plan, topology, service, unusable_places)
    return stage_matrices(stages, plan.demand_by_region, topology)[-1] if stages else {}


def _share_stages(plan, topology, service, unusable_places):
    """Return the shares by endpoints, by the plan, and by the plan without unusable places.

    The stages start from the endpoints, which plans do not change, so that the result depends on
    the plan in force alone and not on earlier ones. It is empty when no place serves.
    """
    current = effective_shares(plan, topology, service, unusable_places)
    if not current:
        return ()
    nominal = effective_shares(plan, topology, service, frozenset())
    return (endpoint_shares(topology, service) or nominal, nominal, current)


def _weight_change(before, after):
    stay_fraction_by_place = {}
    gain_by_place = {}
    # Sorted, so that every process gets the same result.
    for place in sorted(before.keys() | after.keys()):
        old = before.get(place, 0.0)
        new = after.get(place, 0.0)
        if old - new > WEIGHT_EPSILON:
            stay_fraction_by_place[place] = new / old
        elif new - old > WEIGHT_EPSILON:
            gain_by_place[place] = new - old
    return WeightChange(stay_fraction_by_place, gain_by_place)


def build_weights(plan, topology, service, unusable_places):
    """Return the weights by region; the key None is for callers of no known region."""
    shares = _share_stages(plan, topology, service, unusable_places)
    if not shares:
        return {}
    matrices = stage_matrices(shares, plan.demand_by_region, topology)
    stages = [
        {None: fractions_of_sum(share_by_place), **matrix}
        for share_by_place, matrix in zip(shares, matrices, strict=True)
    ]
    return {
        region: _region_weights([stage[region] for stage in stages], shares[-1], topology, region)
        for region in stages[0]
    }


def _region_weights(stages, current, topology, region):
    endpoint_weights, nominal, weight_by_place = stages
    fallbacks = tuple(
        (place, share, topology.place_by_name[place].region != region)
        for place, share in current.items()
        if share > 0
    )
    changes = (_weight_change(endpoint_weights, nominal), _weight_change(nominal, weight_by_place))
    return RegionWeights(endpoint_weights, changes, weight_by_place, fallbacks)
