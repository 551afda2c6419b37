"""Encodes and decodes the messages by which entries exchange shares of limits."""

from figfold.core.quotas.messages import QuotaDemand, QuotaLease, QuotaReply, QuotaRequest
from figfold.wire.fields import FieldError, convert_items, require_name

MAX_ORGANISATIONS = 2000
MAX_AMOUNT = 1e15  # Requests per second, and tokens.
MAX_COUNT = 0xFFFF
MS_PER_S = 1000


def write_quota_request(body, message):
    """Write a `QuotaRequest` into the body of a message."""
    body.name = message.name
    body.incarnation = message.incarnation
    body.region = message.is_region
    body.whole = message.is_whole
    body.settled = message.is_settled
    body.echoIncarnation = message.echo_incarnation
    body.echoStamp = message.echo_stamp
    body.baseShare = message.base_share
    items = body.init("demands", len(message.demands))
    for item, demand in zip(items, message.demands, strict=True):
        item.organisation = demand.organisation
        item.perS = demand.per_s
        item.share = demand.share
        item.tokens = demand.tokens
        item.waiting = min(demand.waiting, MAX_COUNT)


def read_quota_request(body):
    """Return the checked `QuotaRequest` in the body of a message."""
    return QuotaRequest(
        name=require_name(body.name),
        incarnation=body.incarnation,
        is_region=body.region,
        is_whole=body.whole,
        is_settled=body.settled,
        echo_incarnation=body.echoIncarnation,
        echo_stamp=body.echoStamp,
        base_share=_require_within(body.baseShare, 1.0, "baseShare"),
        demands=convert_items(body.demands, MAX_ORGANISATIONS, _read_demand, "demands"),
    )


def _read_demand(item):
    return QuotaDemand(
        organisation=require_name(item.organisation, "organisation"),
        per_s=_require_within(item.perS, MAX_AMOUNT, "perS"),
        share=_require_within(item.share, 1.0, "share"),
        tokens=_require_within(item.tokens, MAX_AMOUNT, "tokens"),
        waiting=item.waiting,
    )


def write_quota_reply(body, message):
    """Write a `QuotaReply` into the body of a message."""
    body.incarnation = message.incarnation
    body.stamp = message.stamp
    body.durationMs = round(message.duration_s * MS_PER_S)
    body.whole = message.is_whole
    items = body.init("leases", len(message.leases))
    for item, lease in zip(items, message.leases, strict=True):
        item.organisation = lease.organisation
        item.share = lease.share
        item.tokens = lease.tokens
        item.permits = min(lease.permits, MAX_COUNT)
        item.scarce = lease.is_scarce


def read_quota_reply(body):
    """Return the checked `QuotaReply` in the body of a message."""
    return QuotaReply(
        incarnation=body.incarnation,
        stamp=body.stamp,
        duration_s=body.durationMs / MS_PER_S,
        is_whole=body.whole,
        leases=convert_items(body.leases, MAX_ORGANISATIONS, _read_lease, "leases"),
    )


def _read_lease(item):
    return QuotaLease(
        organisation=require_name(item.organisation, "organisation"),
        share=_require_within(item.share, 1.0, "share"),
        tokens=_require_within(item.tokens, MAX_AMOUNT, "tokens"),
        permits=item.permits,
        is_scarce=item.scarce,
    )


def _require_within(value, limit, name):
    """Return a number if it is from 0 to a limit, else raise `FieldError`."""
    # The comparison also fails for infinity and NaN.
    if not 0.0 <= value <= limit:
        raise FieldError(f"{name} is out of range: {value!r}")
    return value
