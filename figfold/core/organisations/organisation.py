"""Organisations of a configuration, and the digests by which their API keys are known."""

from hashlib import blake2b

from attrs import frozen

DIGEST_BYTES = 16


def key_digest(api_key):
    """Return the digest of an API key, or an empty string for an empty one.

    Entries keep, compare and pass on digests alone, so that no key can reach a log or a peer.
    """
    if not api_key:
        return ""
    data = api_key.encode("utf-8", "surrogateescape")
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


@frozen
class Organisation:
    """A customer of the operator, whose callers carry one of its API keys.

    Attributes
    ----------
    key_digests : frozenset[str]
    priority : int or None
        Priority of its requests, 0 the highest; None leaves it to the route.
    rate_per_s, burst : float
        Limit of its requests over all entries, per second and on top; a rate of 0 is no limit.
    home_regions : frozenset[str]
        The only regions in which its requests may run; empty if all are allowed.
    """

    name: str
    key_digests: frozenset = frozenset()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset = frozenset()


def index_by_key(organisations):
    """Return the organisation by key digest, without the keys that several of them hold."""
    organisation_by_key = {}
    shared = {digest for digest, _ in shared_keys(organisations)}
    for organisation in organisations:
        for digest in organisation.key_digests - shared:
            organisation_by_key[digest] = organisation
    return organisation_by_key


def shared_keys(organisations):
    """Return each key digest that several organisations hold, with their sorted names."""
    names_by_key = {}
    for organisation in organisations:
        for digest in organisation.key_digests:
            names_by_key.setdefault(digest, set()).add(organisation.name)
    return [
        (digest, tuple(sorted(names))) for digest, names in names_by_key.items() if len(names) > 1
    ]


def common_homes(route_homes, organisation_homes):
    """Return the regions that both homes allow; empty for no restriction, None for no region."""
    if not route_homes or not organisation_homes:
        return route_homes or organisation_homes
    return (route_homes & organisation_homes) or None
