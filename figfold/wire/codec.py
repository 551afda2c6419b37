"""Encoding of peer messages, and decoding that checks every field."""

import re
from functools import lru_cache
from ipaddress import ip_address
from pathlib import Path

import capnp
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.core.entries import KnownEntry
from figfold.core.exchange import (
    MAX_KNOWN_ENTRIES,
    MAX_LEAVING_SERVERS,
    MAX_LOADS,
    MAX_QUARANTINED,
    MAX_STRIKES,
)
from figfold.core.model import EntryReport, QuarantinedRequest, ServiceLoad, SharedStrike
from figfold.core.traffic.fleet import FleetNews, ServerRecord
from figfold.wire.messages import (
    ErrorReply,
    KeyQuery,
    KeyReply,
    KnowledgeReply,
    KnowledgeRequest,
    PlanReply,
    PlanRequest,
    Report,
)
from figfold.wire.packing import WORD_BYTES, read_segment_table

# Limit of a message as it is sent, and again of the same message unpacked.
MAX_MESSAGE_BYTES = 256 * 1024
# A message that is read once passes over each of its words once; pointers that lead to the same
# words again use the limit up.
TRAVERSAL_LIMIT_WORDS = 2 * MAX_MESSAGE_BYTES // WORD_BYTES
NESTING_LIMIT = 8
ROOT_POINTER_WORDS = 1
MAX_NAME_CHARS = 128
MAX_SERVERS = 2000
MAX_PLACES = 1000
MAX_KEY_CHARS = 256
MAX_STATE_CHARS = 64 * 1024
MAX_ERROR_CHARS = 4096
MAX_DURATION_S = 1e9
PORT_BYTES = 2
DIGEST_BYTES = 32
ADDRESS_CACHE_SIZE = 4096

_NAME = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._:\[\]-]{{0,{MAX_NAME_CHARS - 1}}}")
_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARS}}}")
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


class FieldError(ValueError):
    """A field of a message is out of its range; raised and caught in this module only."""


# Checks of single fields.


def _matching(pattern, text, name):
    if not pattern.fullmatch(text):
        raise FieldError(f"{name} is not valid: {text[:40]!r}")
    return text


def _name(text, name="name"):
    return _matching(_NAME, text, name)


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _address_bytes(text):
    if not text:
        return b""
    host, _, port = text.rpartition(":")
    number = ip_address(host.removeprefix("[").removesuffix("]"))
    return number.packed + int(port).to_bytes(PORT_BYTES)


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _address_text(data):
    if not data:
        return ""
    # The length tells IPv4 from IPv6; any other one is an error.
    host = ip_address(data[:-PORT_BYTES])
    port = int.from_bytes(data[-PORT_BYTES:])
    if not port:
        raise FieldError(f"an address at {host} has no port")
    return f"{host}:{port}" if host.version == 4 else f"[{host}]:{port}"


def _digest(data):
    if len(data) > DIGEST_BYTES:
        raise FieldError(f"digest has {len(data)} bytes")
    return data.hex()


def _duration(value, name):
    # The comparison also fails for infinity and for NaN.
    if not 0 <= value <= MAX_DURATION_S:
        raise FieldError(f"{name} is out of range: {value!r}")
    return value


def _limited(text, limit, name):
    if len(text) > limit:
        raise FieldError(f"{name} is longer than {limit} characters")
    return text


def _tuple(items, limit, convert, name):
    if len(items) > limit:
        raise FieldError(f"{name} has more than {limit} items")
    return tuple(convert(item) for item in items)


# Report.


def _write_report(body, message):
    report = message.report
    body.name = report.name
    body.place = report.place
    body.incarnation = report.incarnation
    body.address = _address_bytes(report.address)
    body.peerAddress = _address_bytes(report.peer_address)
    body.adminAddress = _address_bytes(report.admin_address)
    body.leaving = report.leaving
    body.planVersion = report.plan_version
    body.planDigest = bytes.fromhex(report.plan_digest)
    body.storeAgeS = report.store_age_s
    _write_loads(body.init("loads", len(report.loads)), report.loads)
    _write_quarantined(body.init("quarantined", len(report.quarantined)), report.quarantined)
    body.leavingServers = list(report.leaving_servers)
    _write_strikes(body.init("strikes", len(report.strikes)), report.strikes)
    _write_known(body.init("knownEntries", len(message.known_entries)), message.known_entries)


def _write_loads(items, loads):
    for item, load in zip(items, loads, strict=True):
        item.service = load.service
        item.inProgress = load.in_progress
        item.queued = load.queued
        item.room = load.room


def _write_quarantined(items, quarantined):
    for item, request in zip(items, quarantined, strict=True):
        item.fingerprint = request.fingerprint
        item.expiresInS = request.expires_in_s


def _write_strikes(items, strikes):
    for item, strike in zip(items, strikes, strict=True):
        item.fingerprint = strike.fingerprint
        item.server = strike.server
        item.ageS = strike.age_s
        item.confirmed = strike.confirmed
        item.fresh = strike.fresh
        item.doublings = strike.doublings


def _write_known(items, known_entries):
    for item, known in zip(items, known_entries, strict=True):
        item.name = known.name
        item.place = known.place
        item.incarnation = known.incarnation
        item.heardAgeMs = known.heard_age_ms
        item.peerAddress = _address_bytes(known.peer_address)


def _read_report(body):
    report = EntryReport(
        name=_name(body.name),
        place=_name(body.place, "place"),
        incarnation=body.incarnation,
        address=_address_text(body.address),
        peer_address=_address_text(body.peerAddress),
        admin_address=_address_text(body.adminAddress),
        leaving=body.leaving,
        plan_version=body.planVersion,
        plan_digest=_digest(body.planDigest),
        store_age_s=_duration(body.storeAgeS, "storeAgeS"),
        loads=_tuple(body.loads, MAX_LOADS, _read_load, "loads"),
        quarantined=_tuple(body.quarantined, MAX_QUARANTINED, _read_quarantined, "quarantined"),
        leaving_servers=_tuple(body.leavingServers, MAX_LEAVING_SERVERS, _name, "leavingServers"),
        strikes=_tuple(body.strikes, MAX_STRIKES, _read_strike, "strikes"),
    )
    known = _tuple(body.knownEntries, MAX_KNOWN_ENTRIES, _read_known, "knownEntries")
    return Report(report, known)


def _read_load(item):
    return ServiceLoad(_name(item.service, "service"), item.inProgress, item.queued, item.room)


def _read_quarantined(item):
    fingerprint = _matching(_KEY, item.fingerprint, "fingerprint")
    return QuarantinedRequest(fingerprint, _duration(item.expiresInS, "expiresInS"))


def _read_strike(item):
    return SharedStrike(
        fingerprint=_matching(_KEY, item.fingerprint, "fingerprint"),
        server=_name(item.server, "server"),
        age_s=_duration(item.ageS, "ageS"),
        confirmed=item.confirmed,
        fresh=item.fresh,
        doublings=item.doublings,
    )


def _read_known(item):
    return KnownEntry(
        name=_name(item.name),
        place=_name(item.place, "place"),
        incarnation=item.incarnation,
        heard_age_ms=item.heardAgeMs,
        peer_address=_address_text(item.peerAddress),
    )


# Plans.


def _write_plan_request(body, message):
    body.version = message.version


def _read_plan_request(body):
    return PlanRequest(body.version)


def _write_plan_reply(body, message):
    body.found = message.found
    body.head = message.head
    body.body = message.body


def _read_plan_reply(body):
    return PlanReply(body.found, bytes(body.head), bytes(body.body))


# Keys and errors.


def _write_key_query(body, message):
    body.service = message.service
    body.key = message.key
    body.nonce = message.nonce


def _read_key_query(body):
    key = _matching(_KEY, body.key, "key")
    return KeyQuery(_name(body.service, "service"), key, _name(body.nonce, "nonce"))


def _write_key_reply(body, message):
    body.state = message.state


def _read_key_reply(body):
    return KeyReply(_limited(body.state, MAX_STATE_CHARS, "state"))


def _write_error(body, message):
    body.code = int(message.code)
    # Texts of exceptions may hold lone surrogates, which have no encoding.
    body.text = message.text[:MAX_ERROR_CHARS].encode("utf-8", "replace").decode("utf-8")


def _read_error(body):
    return ErrorReply(Code(body.code), _limited(body.text, MAX_ERROR_CHARS, "text"))


# What entries know of the store's rows.


def _write_knowledge_request(body, message):
    body.configurationVersion = message.configuration_version
    body.generation = message.generation
    body.incarnation = message.incarnation


def _read_knowledge_request(body):
    return KnowledgeRequest(body.configurationVersion, body.generation, body.incarnation)


def _write_knowledge_reply(body, message):
    news = message.news
    body.configuration = message.configuration
    body.generation = news.generation
    body.incarnation = message.incarnation
    body.whole = news.is_whole
    body.removed = list(news.removed_ids)
    body.evacuated = sorted(news.evacuated_places)
    body.ageS = message.age_s
    for item, record in zip(body.init("servers", len(news.records)), news.records, strict=True):
        item.id = record.id
        item.service = record.service
        item.address = _address_bytes(record.address)
        item.place = record.place
        item.slots = record.slots
        item.leaving = record.is_leaving
        item.sequence = record.sequence
        item.coldRemainingS = record.cold_remaining_s
        item.bornMs = record.born_ms


def _read_knowledge_reply(body):
    news = FleetNews(
        generation=body.generation,
        is_whole=body.whole,
        records=_tuple(body.servers, MAX_SERVERS, _read_server, "servers"),
        removed_ids=_tuple(body.removed, MAX_SERVERS, _name, "removed"),
        evacuated_places=frozenset(_tuple(body.evacuated, MAX_PLACES, _name, "evacuated")),
    )
    age_s = _duration(body.ageS, "ageS")
    return KnowledgeReply(bytes(body.configuration), news, body.incarnation, age_s)


def _read_server(item):
    return ServerRecord(
        id=_name(item.id, "server"),
        service=_name(item.service, "service"),
        address=_address_text(item.address),
        place=_name(item.place, "place"),
        slots=item.slots,
        is_leaving=item.leaving,
        sequence=item.sequence,
        cold_remaining_s=_duration(item.coldRemainingS, "coldRemainingS"),
        born_ms=item.bornMs,
    )


_WRITER_BY_TYPE = {
    Report: ("report", _write_report),
    PlanRequest: ("planRequest", _write_plan_request),
    PlanReply: ("planReply", _write_plan_reply),
    KeyQuery: ("keyQuery", _write_key_query),
    KeyReply: ("keyReply", _write_key_reply),
    ErrorReply: ("error", _write_error),
    KnowledgeRequest: ("knowledgeRequest", _write_knowledge_request),
    KnowledgeReply: ("knowledgeReply", _write_knowledge_reply),
}
_READER_BY_KIND = {
    "report": _read_report,
    "planRequest": _read_plan_request,
    "planReply": _read_plan_reply,
    "keyQuery": _read_key_query,
    "keyReply": _read_key_reply,
    "error": _read_error,
    "knowledgeRequest": _read_knowledge_request,
    "knowledgeReply": _read_knowledge_reply,
}


def encode(message):
    """Return the bytes of a message, packed and in one segment.

    Parameters
    ----------
    message : Message

    Returns
    -------
    bytes

    Raises
    ------
    ValueError, capnp.KjException
        When a field does not fit its type in the schema.
    """
    root = _build(message)
    data = root.to_bytes_packed()
    if read_segment_table(data).segments == 1:
        return data
    # What did not fit the library's first segment is written anew into one that holds it all.
    words = ROOT_POINTER_WORDS + root.total_size.word_count
    return _build(message, num_first_segment_words=words).to_bytes_packed()


def _build(message, **options):
    kind, write = _WRITER_BY_TYPE[type(message)]
    root = _schema.PeerMessage.new_message(**options)
    write(root.init(kind), message)
    return root


def try_encode(message):
    """Return the bytes of a message as a result, with failures as numbered errors.

    Returns
    -------
    Result[bytes, Failure]
    """
    try:
        data = encode(message)
        return _check_size(data).map(lambda _: data)
    except (ValueError, TypeError, LookupError, ArithmeticError, capnp.KjException) as error:
        return Err(Failure(Code.PEER_MALFORMED, f"message cannot be encoded: {error}"))


def decode(data):
    """Return the message in ``data``, checked field by field.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    Result[Message, Failure]
        Any malformed input is an error, never an exception.
    """
    try:
        return _check_size(data).and_then(lambda _: _unpack(data))
    except (ValueError, capnp.KjException) as error:
        return Err(Failure(Code.PEER_MALFORMED, f"malformed message: {error}"[:200]))


def _check_size(data):
    """Check the size before and after unpacking, and that the message is one segment.

    The library reads further segments only on demand. When the data ends within one of them, its
    destructor throws, which ends the process.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        return Err(_oversized(len(data)))
    table = read_segment_table(data)
    if table.segments != 1:
        raise ValueError(f"message has {table.segments} segments")
    if table.unpacked_bytes > MAX_MESSAGE_BYTES:
        return Err(_oversized(table.unpacked_bytes))
    return Ok(None)


def _unpack(data):
    root = _schema.PeerMessage.from_bytes_packed(
        data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS, nesting_limit=NESTING_LIMIT
    )
    kind = root.which()
    reader = _READER_BY_KIND.get(str(kind))
    if reader is None:
        return Err(Failure(Code.PEER_MALFORMED, f"message kind {kind} is not known"))
    return Ok(reader(getattr(root, str(kind))))


def _oversized(size):
    return Failure(
        Code.PEER_OVERSIZED, f"message of {size} bytes, more than {MAX_MESSAGE_BYTES} allowed"
    )
