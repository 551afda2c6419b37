"""Encoding of what entries tell each other of the store's rows."""

from figfold.core.traffic.fleet import FleetUpdate, ServerRecord
from figfold.wire.fields import address_bytes, address_text, duration_of, name_of, tuple_of
from figfold.wire.messages import KnowledgeReply, KnowledgeRequest

MAX_SERVERS = 2000
MAX_PLACES = 1000


def write_knowledge_request(body, message):
    """Write a request into a message."""
    body.configurationVersion = message.configuration_version
    body.generation = message.generation
    body.incarnation = message.incarnation


def read_knowledge_request(body):
    """Return the checked request of a message."""
    return KnowledgeRequest(body.configurationVersion, body.generation, body.incarnation)


def write_knowledge_reply(body, message):
    """Write a reply into a message."""
    news = message.news
    body.configuration = message.configuration
    body.generation = news.generation
    body.incarnation = message.incarnation
    body.whole = news.is_snapshot
    body.removed = list(news.removed_ids)
    body.evacuated = sorted(news.evacuated_places)
    body.ageS = message.age_s
    for item, record in zip(body.init("servers", len(news.records)), news.records, strict=True):
        item.id = record.id
        item.service = record.service
        item.address = address_bytes(record.address)
        item.place = record.place
        item.slots = record.slots
        item.leaving = record.is_leaving
        item.sequence = record.sequence
        item.coldRemainingS = record.cold_remaining_s
        item.bornMs = record.started_ms


def read_knowledge_reply(body):
    """Return the checked reply of a message."""
    news = FleetUpdate(
        generation=body.generation,
        is_snapshot=body.whole,
        records=tuple_of(body.servers, MAX_SERVERS, _read_server, "servers"),
        removed_ids=tuple_of(body.removed, MAX_SERVERS, name_of, "removed"),
        evacuated_places=frozenset(tuple_of(body.evacuated, MAX_PLACES, name_of, "evacuated")),
    )
    age_s = duration_of(body.ageS, "ageS")
    return KnowledgeReply(bytes(body.configuration), news, body.incarnation, age_s)


def _read_server(item):
    return ServerRecord(
        id=name_of(item.id, "server"),
        service=name_of(item.service, "service"),
        address=address_text(item.address),
        place=name_of(item.place, "place"),
        slots=item.slots,
        is_leaving=item.leaving,
        sequence=item.sequence,
        cold_remaining_s=duration_of(item.coldRemainingS, "coldRemainingS"),
        started_ms=item.bornMs,
    )
