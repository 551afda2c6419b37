"""Decides for which organisation a request may run, by its API key and the age of what is known.

An entry must not admit a request by a key that was withdrawn longer ago than the revocation bound.
It cannot see a withdrawal that is later than its last reading of the operator's rows, so it stops
admitting requests with keys before that reading is as old as the bound. A request that arrives in
time was also sent in time, whatever happens to it later.
"""

from enum import Enum

from attrs import frozen

# Time by which keys are refused before the bound, for the steps between the check and the send.
REVOCATION_MARGIN_S = 0.25


class Access(Enum):
    """Whether a request may run."""

    ALLOWED = "allowed"
    UNKNOWN_KEY = "unknown-key"
    UNCONFIRMED_KEYS = "unconfirmed-keys"  # The keys may have been withdrawn meanwhile.


class KeyUse(Enum):
    """Whether a configuration of the deployment has had organisations, the one in force or not."""

    UNUSED = "unused"
    USED = "used"
    UNKNOWN = "unknown"  # The entry has not read yet what is recorded of it.


@frozen
class AccessDecision:
    """Decision on a request, and the organisation for which it runs, None for anonymous callers."""

    access: Access
    organisation: object = None


ANONYMOUS = AccessDecision(Access.ALLOWED)


def decide_access(configuration, route, digest, are_keys_confirmed, key_use=KeyUse.UNUSED):
    """Return the `AccessDecision` for a request.

    A route that allows anonymous callers needs no key, and neither does any route without
    organisations. A key that is sent has to be in force all the same: a configuration that drops
    the organisations withdraws their keys.

    Parameters
    ----------
    configuration : Configuration
    route : Route
    digest : str
        Digest of the request's API key; empty without one.
    are_keys_confirmed : bool
        See `are_keys_confirmed`.
    key_use : KeyUse
        Where keys have never been in use, their header is one like any other.
    """
    has_organisations = configuration.has_organisations
    if not has_organisations and key_use is KeyUse.UNUSED:
        return ANONYMOUS
    if not digest and (route.allows_anonymous or not has_organisations):
        return ANONYMOUS
    if not are_keys_confirmed or (not has_organisations and key_use is KeyUse.UNKNOWN):
        return AccessDecision(Access.UNCONFIRMED_KEYS)
    organisation = configuration.organisation_of(digest)
    if organisation is None:
        return AccessDecision(Access.UNKNOWN_KEY)
    return AccessDecision(Access.ALLOWED, organisation)


def are_keys_confirmed(reading_age_s, revocation_bound_s):
    """Return whether no key can have been withdrawn longer ago than the bound.

    Parameters
    ----------
    reading_age_s : float
        Age of the last reading of the operator's rows.
    revocation_bound_s : float
        Longest time for which a withdrawn key may be accepted; 0 sets no bound.
    """
    if revocation_bound_s <= 0.0:
        return True
    return reading_age_s < revocation_bound_s - REVOCATION_MARGIN_S
