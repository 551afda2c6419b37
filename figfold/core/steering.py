"""Chooses the places and entries for a caller by weighted rendezvous hashing over the plan."""

from collections import OrderedDict
from hashlib import blake2b
from math import log
from struct import Struct

from attrs import frozen

from figfold.core.weights import build_weights, emptying_places

CACHE_LIMIT = 64
# The most entries named by look-ups and refusals: two of the chosen place, one of the next place
# and one of another region.
ENTRY_LIMIT = 4

# One hash per caller and place gives five independent random numbers: one for the choice by
# endpoint weights, then for each weight change one that decides whether the caller leaves its
# place and one that chooses its new place.
DRAW_STRUCT = Struct("<5Q")
ENDPOINT_DRAW_INDEX = 0
LEAVE_DRAW_INDICES = (1, 3)
GAIN_DRAW_INDICES = (2, 4)
DRAW_RANGE = 2.0**64
ENTRY_HASH_BYTES = 8


@frozen
class LookupEntry:
    """An entry instance as it is named in the answer to a look-up."""

    name: str
    place: str
    address: str
    leaving: bool = False


@frozen
class PlaceExplanation:
    """Why a place was or was not chosen for a caller.

    Attributes
    ----------
    share : int
        The plan's share in hundredths of a percent.
    weight : float
        Fraction of the traffic of the caller's region that goes to the place now.
    score : float or None
        Rendezvous score at the place's weight by endpoints, where the lowest wins; None when
        that weight is zero.
    rank : int or None
        Position in the answer, from 0; None for a place that is not in it.
    """

    place: str
    region: str
    share: int
    weight: float
    score: float | None
    emptying: bool
    excluded: bool
    rank: int | None


@frozen
class Explanation:
    """How the places for a caller were chosen.

    Attributes
    ----------
    path : tuple[str, ...]
        The caller's place by endpoints alone, then by the plan's shares, then without the
        emptied and excluded places.
    chosen : tuple[str, ...]
        The answer: the chosen place, followed by the fall-backs in order.
    """

    service: str
    caller: str
    region: str
    plan_version: int
    path: tuple[str, ...]
    chosen: tuple[str, ...]
    place_by_name: dict[str, PlaceExplanation]


class SteeringCache:
    """The topology and an LRU cache of the weights of recent plans."""

    def __init__(self, topology):
        self.topology = topology
        self.weights_by_key = OrderedDict()

    @classmethod
    def from_topology(cls, topology):
        """Return an empty cache for a topology."""
        return cls(topology)


def _weights(steering, plan, service, region, now_s, excluded):
    """Return the weights for a caller's region, or None when no place serves."""
    topology = steering.topology
    unusable_places = emptying_places(plan, topology, service, now_s) | excluded
    key = (plan.version, plan.digest, service, unusable_places)
    cache = steering.weights_by_key
    weights_by_region = cache.get(key)
    if weights_by_region is None:
        weights_by_region = build_weights(plan, topology, service, unusable_places)
        cache[key] = weights_by_region
        if len(cache) > CACHE_LIMIT:
            cache.popitem(last=False)
    else:
        cache.move_to_end(key)
    return weights_by_region.get(region) or weights_by_region.get(None)


# Choosing places.


def _uniform_draws(service, caller, places):
    """Return the caller's hash for each place as five integers below ``DRAW_RANGE``."""
    prefix = f"{service}\0{caller}\0".encode("utf-8", "surrogatepass")
    draws_by_place = {}
    for place in places:
        digest = blake2b(prefix + place.encode(), digest_size=DRAW_STRUCT.size).digest()
        draws_by_place[place] = DRAW_STRUCT.unpack(digest)
    return draws_by_place


def _score(draw, weight):
    """Return the weighted rendezvous score of a draw; the place with the lowest one wins."""
    return -log((draw + 0.5) / DRAW_RANGE) / weight


def _lowest_score_place(weight_by_place, draws_by_place, index):
    best = None
    best_score = 0.0
    for place, weight in weight_by_place.items():
        if weight <= 0:
            continue
        score = _score(draws_by_place[place][index], weight)
        if best is None or score < best_score:
            best = place
            best_score = score
    return best


def _place_after_change(change, place, draws_by_place, leave, gain):
    """Return the caller's place after a change of weights.

    A caller leaves its place only when the place loses weight, and then only with the
    probability of the loss, so that no more callers move than the change demands.
    """
    stay = change.stay_fraction_by_place.get(place)
    if stay is None or draws_by_place[place][leave] / DRAW_RANGE < stay:
        return place
    return _lowest_score_place(change.gain_by_place, draws_by_place, gain) or place


def _place_path(weights, draws_by_place):
    place = _lowest_score_place(
        weights.endpoint_weight_by_place, draws_by_place, ENDPOINT_DRAW_INDEX
    )
    path = [place]
    for change, leave, gain in zip(
        weights.changes, LEAVE_DRAW_INDICES, GAIN_DRAW_INDICES, strict=True
    ):
        place = _place_after_change(change, place, draws_by_place, leave, gain)
        path.append(place)
    if not weights.weight_by_place.get(place):
        # Changes of weight below the rounding limit are ignored, which may leave a caller at a
        # place of weight zero.
        path[-1] = _lowest_score_place(weights.weight_by_place, draws_by_place, ENDPOINT_DRAW_INDEX)
    return tuple(path)


def _rank_places(weights, first, draws_by_place):
    """Return the chosen place and then the fall-backs, those in the caller's region first."""
    ranked = sorted(
        (distant, _score(draws_by_place[place][ENDPOINT_DRAW_INDEX], weight), place)
        for place, weight, distant in weights.fallbacks
        if place != first
    )
    return (first, *(place for _, _, place in ranked))


def choose_places(steering, plan, service, caller, region, now_s, excluded=frozenset()):
    """Return the places that a caller should use, best first.

    Parameters
    ----------
    steering : SteeringCache
        Topology and cache.
    plan : Plan
        The plan in force.
    service, caller : str
        Name of the service, and what identifies the caller.
    region : str or None
        The caller's region; a caller of an unknown region is placed by the plan's shares alone.
    now_s : float
        Unix time in seconds.
    excluded : frozenset[str]
        Places that take no traffic, such as dead ones.

    Returns
    -------
    tuple[str, ...]
        Names of places; empty when no place serves.
    """
    weights = _weights(steering, plan, service, region, now_s, excluded)
    if weights is None:
        return ()
    draws_by_place = _uniform_draws(service, caller, steering.topology.place_by_name)
    return _rank_places(weights, _place_path(weights, draws_by_place)[-1], draws_by_place)


# Choosing entries.


def choose_entries(entries, service, caller, places, limit=ENTRY_LIMIT, place_by_name=None):
    """Return the entries that a caller should use, best first.

    Parameters
    ----------
    entries : iterable of LookupEntry
        The known entries; those that are leaving are skipped.
    service, caller : str
        Name of the service, and what identifies the caller.
    places : sequence of str
        The result of ``choose_places``.
    limit : int
        The most entries to return.
    place_by_name : dict[str, Place] or None
        The topology's places; without them all places count as one region.

    Returns
    -------
    tuple[LookupEntry, ...]
        Entries of the first place that has any, at least one of the next such place and, if the
        limit allows, one of the next such place in another region; the rest of the limit is
        filled in the order of the places.
    """
    entries_by_place = {}
    for entry in entries:
        if not entry.leaving:
            entries_by_place.setdefault(entry.place, []).append(entry)
    usable = [place for place in places if place in entries_by_place]
    if not usable:
        return ()
    reserved = _reserved_places(usable, place_by_name or {})
    ordered_by_place = {
        place: _rank_entries(entries_by_place[place], service, caller)
        for place in (usable[0], *reserved)
    }
    chosen = ordered_by_place[usable[0]][: max(1, limit - len(reserved))]
    chosen.extend(ordered_by_place[place][0] for place in reserved)
    for place in usable[1:]:
        if len(chosen) >= limit:
            break
        if place in reserved:
            chosen.extend(ordered_by_place[place][1:])
        else:
            chosen.extend(_rank_entries(entries_by_place[place], service, caller))
    return tuple(chosen[:limit])


def _reserved_places(usable, place_by_name):
    """Return the places that get one position each in case the first place or its region fails."""
    if not place_by_name or len(usable) == 1:
        return usable[1:2]
    own_region = place_by_name[usable[0]].region
    distant = (place for place in usable[1:] if place_by_name[place].region != own_region)
    return list(dict.fromkeys((usable[1], next(distant, usable[1]))))


def _rank_entries(entries, service, caller):
    prefix = f"{service}\0{caller}\0".encode("utf-8", "surrogatepass")

    def rank(entry):
        data = prefix + entry.name.encode()
        return blake2b(data, digest_size=ENTRY_HASH_BYTES).digest()

    return sorted(entries, key=rank)


# Explaining a choice.


def explain(steering, plan, service, caller, region, now_s, excluded=frozenset()):
    """Return the ``Explanation`` of what ``choose_places`` returns for the same arguments."""
    weights = _weights(steering, plan, service, region, now_s, excluded)
    topology = steering.topology
    draws_by_place = _uniform_draws(service, caller, topology.place_by_name)
    path = _place_path(weights, draws_by_place) if weights else ()
    chosen = _rank_places(weights, path[-1], draws_by_place) if weights else ()
    emptying = emptying_places(plan, topology, service, now_s)

    def explain_place(place):
        row = plan.row_by_key.get((service, place.name))
        endpoint_weight = weights.endpoint_weight_by_place.get(place.name, 0.0) if weights else 0.0
        draw = draws_by_place[place.name][ENDPOINT_DRAW_INDEX]
        return PlaceExplanation(
            place=place.name,
            region=place.region,
            share=row.share if row else 0,
            weight=weights.weight_by_place.get(place.name, 0.0) if weights else 0.0,
            score=_score(draw, endpoint_weight) if endpoint_weight > 0 else None,
            emptying=place.name in emptying,
            excluded=place.name in excluded,
            rank=chosen.index(place.name) if place.name in chosen else None,
        )

    return Explanation(
        service=service,
        caller=caller,
        region=region or "",
        plan_version=plan.version,
        path=path,
        chosen=chosen,
        place_by_name={
            name: explain_place(place) for name, place in topology.place_by_name.items()
        },
    )
