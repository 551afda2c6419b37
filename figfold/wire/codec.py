"""Encodes peer messages, and decodes them with a check of every field."""

from pathlib import Path

import capnp
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.core.entries import KnownEntry
from figfold.core.members import MAX_REVISION, EntryState
from figfold.core.model import EntryReport, QuarantinedRequest, ReportedStrike, ServiceLoad
from figfold.core.peer_reports import (
    MAX_KNOWN_ENTRIES,
    MAX_LEAVING_SERVERS,
    MAX_LOADS,
    MAX_QUARANTINED,
    MAX_STRIKES,
)
from figfold.core.quotas.messages import QuotaReply, QuotaRequest
from figfold.core.regions.measurement import DemandStatement
from figfold.wire.fields import (
    KEY_PATTERN,
    MAX_ERROR_CHARS,
    MAX_STATE_CHARS,
    convert_items,
    decode_address,
    digest_hex,
    encode_address,
    require_at_most,
    require_duration,
    require_match,
    require_max_chars,
    require_name,
    require_statement,
)
from figfold.wire.knowledge_codec import (
    read_knowledge_reply,
    read_knowledge_request,
    write_knowledge_reply,
    write_knowledge_request,
)
from figfold.wire.messages import (
    ErrorReply,
    KeyQuery,
    KeyReply,
    KnowledgeReply,
    KnowledgeRequest,
    MembersReply,
    MembersRequest,
    PlanReply,
    PlanRequest,
    ProbeRequest,
    Report,
)
from figfold.wire.quota_codec import (
    read_quota_reply,
    read_quota_request,
    write_quota_reply,
    write_quota_request,
)
from figfold.wire.segment_table import WORD_BYTES, read_segment_table

# Limit of a message, both packed as it is sent and unpacked.
MAX_MESSAGE_BYTES = 256 * 1024
# Reading a message once traverses each of its words once. Pointers that lead to the same words
# again, by which a small message could cost much time, exhaust the limit.
TRAVERSAL_LIMIT_WORDS = 2 * MAX_MESSAGE_BYTES // WORD_BYTES
NESTING_LIMIT = 8
ROOT_POINTER_WORDS = 1
MAX_MEMBERS = 2000

_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


# Report.


def _write_report(body, message):
    report = message.report
    body.name = report.name
    body.place = report.place
    body.incarnation = report.incarnation
    body.address = encode_address(report.address)
    body.peerAddress = encode_address(report.peer_address)
    body.adminAddress = encode_address(report.admin_address)
    body.leaving = report.leaving
    body.planVersion = report.plan_version
    body.planDigest = bytes.fromhex(report.plan_digest)
    body.storeAgeS = report.store_age_s
    _write_loads(body.init("loads", len(report.loads)), report.loads)
    _write_quarantined(body.init("quarantined", len(report.quarantined)), report.quarantined)
    body.leavingServers = list(report.leaving_servers)
    _write_strikes(body.init("strikes", len(report.strikes)), report.strikes)
    body.revision = report.revision
    body.membersDigest = report.members_digest
    body.settledS = report.settled_s
    _write_known_entries(
        body.init("knownEntries", len(message.known_entries)), message.known_entries
    )


def _write_loads(items, loads):
    for item, load in zip(items, loads, strict=True):
        item.service = load.service
        item.inProgress = load.in_progress
        item.queued = load.queued
        item.room = load.room
        demand = load.demand
        item.requestsPerS = demand.requests_per_s
        item.runS = demand.run_s
        item.utilisation = demand.utilisation
        item.localShare = demand.local_share


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


def _write_known_entries(items, known_entries):
    for item, known in zip(items, known_entries, strict=True):
        item.name = known.name
        item.place = known.place
        item.incarnation = known.incarnation
        item.heardAgeMs = known.heard_age_ms
        item.peerAddress = encode_address(known.peer_address)
        item.address = encode_address(known.address)
        item.state = int(known.state)
        item.revision = known.revision


def _read_report(body):
    report = EntryReport(
        name=require_name(body.name),
        place=require_name(body.place, "place"),
        incarnation=body.incarnation,
        address=decode_address(body.address),
        peer_address=decode_address(body.peerAddress),
        admin_address=decode_address(body.adminAddress),
        leaving=body.leaving,
        plan_version=body.planVersion,
        plan_digest=digest_hex(body.planDigest),
        store_age_s=require_duration(body.storeAgeS, "storeAgeS"),
        loads=convert_items(body.loads, MAX_LOADS, _read_load, "loads"),
        quarantined=convert_items(
            body.quarantined, MAX_QUARANTINED, _read_quarantined, "quarantined"
        ),
        leaving_servers=convert_items(
            body.leavingServers, MAX_LEAVING_SERVERS, require_name, "leavingServers"
        ),
        strikes=convert_items(body.strikes, MAX_STRIKES, _read_strike, "strikes"),
        revision=require_at_most(body.revision, MAX_REVISION, "revision"),
        members_digest=body.membersDigest,
        settled_s=require_duration(body.settledS, "settledS"),
    )
    known = convert_items(body.knownEntries, MAX_KNOWN_ENTRIES, _read_known_entry, "knownEntries")
    return Report(report, known)


def _read_load(item):
    return ServiceLoad(
        require_name(item.service, "service"),
        item.inProgress,
        item.queued,
        item.room,
        DemandStatement(
            require_statement(item.requestsPerS, "requestsPerS"),
            require_statement(item.runS, "runS"),
            require_statement(item.utilisation, "utilisation"),
            require_statement(item.localShare, "localShare"),
        ),
    )


def _read_quarantined(item):
    fingerprint = require_match(KEY_PATTERN, item.fingerprint, "fingerprint")
    return QuarantinedRequest(fingerprint, require_duration(item.expiresInS, "expiresInS"))


def _read_strike(item):
    return ReportedStrike(
        fingerprint=require_match(KEY_PATTERN, item.fingerprint, "fingerprint"),
        server=require_name(item.server, "server"),
        age_s=require_duration(item.ageS, "ageS"),
        confirmed=item.confirmed,
        fresh=item.fresh,
        doublings=item.doublings,
    )


def _read_known_entry(item):
    return KnownEntry(
        name=require_name(item.name),
        place=require_name(item.place, "place"),
        incarnation=item.incarnation,
        heard_age_ms=item.heardAgeMs,
        peer_address=decode_address(item.peerAddress),
        address=decode_address(item.address),
        state=require_at_most(item.state, max(EntryState), "state"),
        revision=require_at_most(item.revision, MAX_REVISION, "revision"),
    )


# Membership.


def _write_probe_request(body, message):
    body.name = message.name


def _read_probe_request(body):
    return ProbeRequest(require_name(body.name))


def _write_members_request(_body, _message):
    """Write nothing: the kind of the message says it all."""


def _read_members_request(_body):
    return MembersRequest()


def _write_members_reply(body, message):
    _write_known_entries(body.init("entries", len(message.entries)), message.entries)


def _read_members_reply(body):
    return MembersReply(convert_items(body.entries, MAX_MEMBERS, _read_known_entry, "entries"))


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


# Idempotency keys and errors.


def _write_key_query(body, message):
    body.service = message.service
    body.key = message.key
    body.nonce = message.nonce


def _read_key_query(body):
    key = require_match(KEY_PATTERN, body.key, "key")
    return KeyQuery(require_name(body.service, "service"), key, require_name(body.nonce, "nonce"))


def _write_key_reply(body, message):
    body.state = message.state


def _read_key_reply(body):
    return KeyReply(require_max_chars(body.state, MAX_STATE_CHARS, "state"))


def _write_error(body, message):
    body.code = int(message.code)
    # Texts of exceptions may contain lone surrogates, which UTF-8 cannot encode.
    body.text = message.text[:MAX_ERROR_CHARS].encode("utf-8", "replace").decode("utf-8")


def _read_error(body):
    return ErrorReply(Code(body.code), require_max_chars(body.text, MAX_ERROR_CHARS, "text"))


_WRITER_BY_TYPE = {
    Report: ("report", _write_report),
    PlanRequest: ("planRequest", _write_plan_request),
    PlanReply: ("planReply", _write_plan_reply),
    KeyQuery: ("keyQuery", _write_key_query),
    KeyReply: ("keyReply", _write_key_reply),
    ErrorReply: ("error", _write_error),
    KnowledgeRequest: ("knowledgeRequest", write_knowledge_request),
    KnowledgeReply: ("knowledgeReply", write_knowledge_reply),
    ProbeRequest: ("probeRequest", _write_probe_request),
    MembersRequest: ("membersRequest", _write_members_request),
    MembersReply: ("membersReply", _write_members_reply),
    QuotaRequest: ("quotaRequest", write_quota_request),
    QuotaReply: ("quotaReply", write_quota_reply),
}
_READER_BY_KIND = {
    "report": _read_report,
    "planRequest": _read_plan_request,
    "planReply": _read_plan_reply,
    "keyQuery": _read_key_query,
    "keyReply": _read_key_reply,
    "error": _read_error,
    "knowledgeRequest": read_knowledge_request,
    "knowledgeReply": read_knowledge_reply,
    "probeRequest": _read_probe_request,
    "membersRequest": _read_members_request,
    "membersReply": _read_members_reply,
    "quotaRequest": read_quota_request,
    "quotaReply": read_quota_reply,
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
    return _pack(message, _build(message))


def _pack(message, root):
    data = root.to_bytes_packed()
    if read_segment_table(data).segment_count == 1:
        return data
    # The message did not fit into the library's default first segment: build it again with a first
    # segment that is large enough.
    words = ROOT_POINTER_WORDS + root.total_size.word_count
    return _build(message, num_first_segment_words=words).to_bytes_packed()


def _build(message, **options):
    kind, write = _WRITER_BY_TYPE[type(message)]
    root = _schema.PeerMessage.new_message(**options)
    write(root.init(kind), message)
    return root


def try_encode(message):
    """Return the bytes of a message, or a `Failure` when it cannot be encoded or is too large.

    Returns
    -------
    Result[bytes, Failure]
    """
    try:
        root = _build(message)
        # Packing can make a message larger than its words. The library then throws, and on arm64
        # its trace of a green thread's stack can end the process, so that this is checked first.
        size = (1 + ROOT_POINTER_WORDS + root.total_size.word_count) * WORD_BYTES
        if size > MAX_MESSAGE_BYTES:
            return Err(_oversized(size))
        data = _pack(message, root)
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
        Malformed input gives a `Failure` and never raises an exception.
    """
    try:
        return _check_size(data).and_then(lambda _: _decode_message(data))
    except (ValueError, capnp.KjException) as error:
        return Err(Failure(Code.PEER_MALFORMED, f"malformed message: {error}"[:200]))


def _check_size(data):
    """Check the packed and the unpacked size, and that the message has one segment.

    The library reads further segments only on demand. When the data ends within one of them, the
    library throws in a destructor, which terminates the process.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        return Err(_oversized(len(data)))
    table = read_segment_table(data)
    if table.segment_count != 1:
        raise ValueError(f"message has {table.segment_count} segments")
    if table.unpacked_bytes > MAX_MESSAGE_BYTES:
        return Err(_oversized(table.unpacked_bytes))
    return Ok(None)


def _decode_message(data):
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
