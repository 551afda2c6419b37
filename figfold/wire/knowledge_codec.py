"""Encodes and decodes the messages by which entries share the store's rows."""

import zlib
from functools import lru_cache

from figfold.core.traffic.fleet import FleetUpdate, MissingServer, ServerRecord
from figfold.wire.fields import (
    FieldError,
    convert_items,
    decode_address,
    encode_address,
    require_duration,
    require_name,
)
from figfold.wire.messages import KnowledgeReply, KnowledgeRequest

MAX_SERVERS = 2000
MAX_PLACES = 1000
MAX_CONFIGURATION_BYTES = 8 << 20
DEFLATE_LEVEL = 3
# Stated to entries of earlier versions, which do not know the order of the rows by store versions.
STALE_AGE_S = 1e6


def write_knowledge_request(body, message):
    """Write a `KnowledgeRequest` into the body of a message."""
    body.configurationVersion = message.configuration_version
    body.generation = message.generation
    body.incarnation = message.incarnation


def read_knowledge_request(body):
    """Return the checked `KnowledgeRequest` in the body of a message."""
    return KnowledgeRequest(body.configurationVersion, body.generation, body.incarnation)


def write_knowledge_reply(body, message):
    """Write a `KnowledgeReply` into the body of a message."""
    fleet_changes = message.fleet_changes
    body.deflatedConfiguration = _deflate(message.configuration)
    body.configurationVersion = message.configuration_version
    body.generation = fleet_changes.generation
    body.incarnation = message.incarnation
    body.whole = fleet_changes.is_snapshot
    body.removed = list(fleet_changes.removed_ids)
    body.evacuated = sorted(fleet_changes.evacuated_places)
    body.ageS = STALE_AGE_S
    body.serversAgeS = message.servers_age_s
    body.operatorAgeS = message.operator_age_s
    body.heldS = message.held_s
    body.storeVersion = fleet_changes.store_version
    body.evacuationsVersion = fleet_changes.evacuations_version
    for item, record in zip(
        body.init("servers", len(fleet_changes.records)), fleet_changes.records, strict=True
    ):
        item.id = record.id
        item.service = record.service
        item.address = encode_address(record.address)
        item.place = record.place
        item.slots = record.slots
        item.leaving = record.is_leaving
        item.rowVersion = record.row_version
        item.coldRemainingS = record.cold_remaining_s
        item.bornMs = record.started_ms
        item.nextSequence = 0 if record.sequence is None else record.sequence + 1
    for item, server in zip(
        body.init("missing", len(fleet_changes.missing)), fleet_changes.missing, strict=True
    ):
        item.id = server.id
        item.missingS = server.missing_s


def read_knowledge_reply(body):
    """Return the checked `KnowledgeReply` in the body of a message."""
    fleet_changes = FleetUpdate(
        generation=body.generation,
        is_snapshot=body.whole,
        records=convert_items(body.servers, MAX_SERVERS, _read_server, "servers"),
        removed_ids=convert_items(body.removed, MAX_SERVERS, require_name, "removed"),
        evacuated_places=frozenset(
            convert_items(body.evacuated, MAX_PLACES, require_name, "evacuated")
        ),
        store_version=body.storeVersion,
        evacuations_version=body.evacuationsVersion,
        missing=convert_items(body.missing, MAX_SERVERS, _read_missing, "missing"),
    )
    return KnowledgeReply(
        configuration=_inflate(body.deflatedConfiguration),
        configuration_version=body.configurationVersion,
        fleet_changes=fleet_changes,
        incarnation=body.incarnation,
        servers_age_s=require_duration(body.serversAgeS, "serversAgeS"),
        operator_age_s=require_duration(body.operatorAgeS, "operatorAgeS"),
        held_s=require_duration(body.heldS, "heldS"),
    )


def _read_server(item):
    return ServerRecord(
        id=require_name(item.id, "server"),
        service=require_name(item.service, "service"),
        address=decode_address(item.address),
        place=require_name(item.place, "place"),
        slots=_require_slots(item.slots),
        is_leaving=item.leaving,
        row_version=item.rowVersion,
        cold_remaining_s=require_duration(item.coldRemainingS, "coldRemainingS"),
        started_ms=item.bornMs,
        sequence=item.nextSequence - 1 if item.nextSequence else None,
    )


def _require_slots(count):
    if not count:
        raise FieldError("a server has no slots")
    return count


def _read_missing(item):
    return MissingServer(
        id=require_name(item.id, "missing"),
        missing_s=require_duration(item.missingS, "missingS"),
    )


@lru_cache(maxsize=2)
def _deflate(data):
    """Return the compressed data; the text of a version is sent to many peers."""
    return zlib.compress(data, DEFLATE_LEVEL) if data else b""


def _inflate(data):
    if not data:
        return b""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        raise FieldError(f"the configuration cannot be inflated: {error}") from error
    if not inflater.eof:
        raise FieldError("the configuration is incomplete or too large")
    return text
