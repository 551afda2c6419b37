import random
import struct
import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from figfold.core.codes import Code
from figfold.core.entries import KnownEntry
from figfold.core.model import EntryReport, QuarantinedRequest, ReportedStrike, ServiceLoad
from figfold.core.peer_reports import MAX_KNOWN_ENTRIES
from figfold.core.quotas.messages import QuotaDemand, QuotaLease, QuotaReply, QuotaRequest
from figfold.core.regions.measurement import DemandStatement
from figfold.wire.codec import MAX_MESSAGE_BYTES, decode, encode, try_encode
from figfold.wire.encoder import MessageEncoder
from figfold.wire.messages import (
    ErrorReply,
    KeyQuery,
    KeyReply,
    PlanReply,
    PlanRequest,
    Report,
)
from figfold.wire.segment_table import read_segment_table

names = st.from_regex(r"[a-z0-9][a-zA-Z0-9._:-]{0,20}", fullmatch=True)
keys = st.text(st.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1, max_size=40)
addresses = st.sampled_from(["", "127.0.0.1:80", "10.1.2.3:65535", "[::1]:8080"])
u32 = st.integers(0, 2**32 - 1)
u64 = st.integers(0, 2**64 - 1)
u16 = st.integers(0, 2**16 - 1)
durations = st.floats(0, 1e9)
shares = st.floats(0, 1)
amounts = st.floats(0, 1e15)


def tuples(strategy, size=5):
    return st.lists(strategy, max_size=size).map(tuple)


reports = st.builds(
    EntryReport,
    name=names,
    place=names,
    incarnation=u64,
    address=addresses,
    peer_address=addresses,
    admin_address=addresses,
    leaving=st.booleans(),
    plan_version=u64,
    plan_digest=st.sampled_from(["", "0a" * 32]),
    store_age_s=durations,
    loads=tuples(st.builds(ServiceLoad, names, u32, u32, u32)),
    quarantined=tuples(st.builds(QuarantinedRequest, keys, durations)),
    leaving_servers=tuples(names),
    strikes=tuples(
        st.builds(
            ReportedStrike,
            keys,
            names,
            durations,
            st.booleans(),
            st.booleans(),
            st.integers(0, 255),
        )
    ),
)
known = st.builds(KnownEntry, names, names, u64, u64, addresses)
messages = st.one_of(
    st.builds(Report, reports, tuples(known)),
    st.builds(PlanRequest, u64),
    st.builds(PlanReply, st.booleans(), st.binary(), st.binary()),
    st.builds(KeyQuery, names, keys, names),
    st.builds(KeyReply, st.text()),
    st.builds(ErrorReply, st.sampled_from(Code), st.text()),
    st.builds(
        QuotaRequest,
        names,
        u64,
        st.booleans(),
        st.booleans(),
        st.booleans(),
        u64,
        u64,
        shares,
        tuples(st.builds(QuotaDemand, names, amounts, shares, amounts, u16)),
    ),
    st.builds(
        QuotaReply,
        u64,
        u64,
        st.integers(0, 2**16 - 1).map(lambda ms: ms / 1000),
        st.booleans(),
        tuples(st.builds(QuotaLease, names, shares, amounts, u16, st.booleans())),
    ),
)

REPORT = EntryReport(
    name="bne-1",
    place="bne-north",
    incarnation=1_700_000_000_000,
    address="10.0.0.1:8080",
    peer_address="10.0.0.1:8081",
    admin_address="10.0.0.1:8082",
    leaving=False,
    plan_version=7,
    plan_digest="0a" * 32,
    store_age_s=0.5,
    loads=(
        ServiceLoad("stockview", 3, 1, 9),
        ServiceLoad("cutdesk", 2, 0, 4, DemandStatement(14.5, 0.25, 0.75, 0.5)),
    ),
    quarantined=(QuarantinedRequest("GET:abc", 30.5),),
    leaving_servers=("stockview-3",),
)
KNOWN = (KnownEntry("tsv-1", "tsv-port", 5, 250, "10.0.1.1:8081"),)
SAMPLES = (
    Report(REPORT, KNOWN),
    PlanReply(True, b"7", b"row" * 100),
    KeyQuery("cutdesk", "key-1", "n-1"),
    ErrorReply(Code.PLAN_NONE, "no plan"),
    QuotaRequest("bne-1", 7, echo_stamp=9, demands=(QuotaDemand("post", 3.5, 0.1, 2.0, 1),)),
    QuotaReply(7, 10, 0.9, False, (QuotaLease("post", 0.25, 1.5, 1, True),)),
)


def mutate(rng, data):
    data = bytearray(data)
    mutation = rng.randrange(5)
    if mutation == 0:
        return rng.randbytes(rng.randrange(400))
    if mutation == 1:
        return bytes(data[: rng.randrange(len(data))])
    if mutation == 2:
        # Replaced words that look like pointers get further into the decoder than single bytes.
        at = rng.randrange(len(data) // 8) * 8
        data[at : at + 8] = struct.pack("<II", rng.getrandbits(32), rng.choice([0, 1, 2**31]))
        return bytes(data)
    if mutation == 3:
        at = rng.randrange(len(data))
        return bytes(data[:at] + data[rng.randrange(len(data)) :])
    for _ in range(rng.randrange(1, 9)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data)


def unpack(packed):
    """Return the unpacked bytes of a packed message."""
    data, at = bytearray(), 0
    while at < len(packed):
        tag, at = packed[at], at + 1
        for bit in range(8):
            data.append(packed[at] if tag >> bit & 1 else 0)
            at += tag >> bit & 1
        if tag in (0, 0xFF):
            size, at = 8 * packed[at], at + 1
            data += packed[at : at + size] if tag else bytes(size)
            at += size if tag else 0
    return bytes(data)


def pack(data):
    """Pack any words; runs of zero words and of literal words have length one."""
    packed = bytearray()
    for at in range(0, len(data), 8):
        word = data[at : at + 8].ljust(8, b"\0")
        tag = sum(1 << bit for bit in range(8) if word[bit])
        packed += bytes([tag]) + word.replace(b"\0", b"") + bytes(tag in (0, 0xFF))
    return bytes(packed)


class CodecTest(unittest.TestCase):
    @given(messages)
    def test_round_trip(self, message):
        self.assertEqual(message, decode(encode(message)).ok())

    def test_mutated_words_are_an_error_or_a_valid_message(self):
        originals = [unpack(encode(sample)) for sample in SAMPLES]
        for sample, words in zip(SAMPLES, originals, strict=True):
            self.assertEqual(sample, decode(pack(words)).ok())
        self.check_mutated(lambda rng: pack(mutate(rng, rng.choice(originals))))

    def test_mutated_input_is_an_error_or_a_valid_message(self):
        originals = [encode(sample) for sample in SAMPLES]
        self.check_mutated(lambda rng: mutate(rng, rng.choice(originals)))

    def check_mutated(self, make):
        rng = random.Random(20261204)
        refused = 0
        for _ in range(12_000):
            data = make(rng)
            result = decode(data)
            if result.is_ok():
                self.assertEqual(result, decode(encode(result.ok())))
                continue
            refused += 1
            if result.err().code is Code.PEER_OVERSIZED:
                self.assertGreater(read_segment_table(data).unpacked_bytes, MAX_MESSAGE_BYTES)
            else:
                self.assertIs(Code.PEER_MALFORMED, result.err().code)
        self.assertGreater(refused, 4000)

    def test_missing_segments_are_an_error(self):
        words = unpack(encode(SAMPLES[1]))
        size = len(words) // 8 - 1
        for table in ((1, size, 9, 0), (2, size, 9, 9), (511, size, 9, 0), (2**32 - 1, 0, 0, 0)):
            result = decode(pack(struct.pack("<4I", *table) + words[8:]))
            self.assertIs(Code.PEER_MALFORMED, result.err().code)

    def test_small_input_that_unpacks_beyond_the_limit_is_refused(self):
        limit = MAX_MESSAGE_BYTES // 8 - 1
        zeros = b"\0\xff" * 2000
        for size, code in ((limit, 701), (limit + 1, 702), (2**32 - 1, 702)):
            result = decode(pack(struct.pack("<II", 0, size)) + zeros)
            self.assertIs(Code(code), result.err().code)

    def test_large_messages_have_one_segment(self):
        rng = random.Random(20261204)
        for size in (0, 8_000, 9_000, 100_000, MAX_MESSAGE_BYTES - 1024):
            message = PlanReply(True, rng.randbytes(9), rng.randbytes(size))
            data = encode(message)
            self.assertEqual(1, read_segment_table(data).segment_count)
            self.assertEqual(message, decode(data).ok())
        many = Report(
            evolve(REPORT, quarantined=(QuarantinedRequest("k" * 200, 1.0),) * 256), KNOWN
        )
        self.assertEqual(many, decode(encode(many)).ok())

    def test_fields_out_of_range_are_refused(self):
        bad_parts = [
            {"name": ""},
            {"name": "a b"},
            {"name": "x" * 129},
            {"place": "bne\n"},
            {"address": "localhost:80"},
            {"address": "10.0.0.1:0"},
            {"peer_address": "10.0.0.1:70000"},
            {"plan_digest": "XYZ"},
            {"store_age_s": float("nan")},
            {"store_age_s": float("inf")},
            {"store_age_s": -1.0},
            {"quarantined": (QuarantinedRequest("fp", float("nan")),)},
            {"loads": (ServiceLoad("s", 0, 0, 0),) * 257},
            {"leaving_servers": ("",)},
        ]
        for parts in bad_parts:
            with self.subTest(**parts):
                result = try_encode(Report(evolve(REPORT, **parts))).and_then(decode)
                self.assertIs(Code.PEER_MALFORMED, result.err().code)
        result = decode(encode(Report(REPORT, KNOWN * (MAX_KNOWN_ENTRIES + 1))))
        self.assertIs(Code.PEER_MALFORMED, result.err().code)

    def test_shares_out_of_range_are_refused(self):
        demand, lease = QuotaDemand("post", 1.0), QuotaLease("post", 0.5)
        request, reply = QuotaRequest("bne-1", 7), QuotaReply(7, 9, 0.9, False)
        for number in (-0.1, float("nan"), float("inf")):
            for part in ("per_s", "share", "tokens"):
                bad = evolve(request, demands=(evolve(demand, **{part: number}),))
                self.assertIs(Code.PEER_MALFORMED, decode(encode(bad)).err().code)
            for part in ("share", "tokens"):
                bad = evolve(reply, leases=(evolve(lease, **{part: number}),))
                self.assertIs(Code.PEER_MALFORMED, decode(encode(bad)).err().code)
        for bad in (
            evolve(request, base_share=1.1),
            evolve(request, name=""),
            evolve(request, demands=(evolve(demand, organisation="a b"),)),
            evolve(request, demands=(demand,) * 2001),
            evolve(reply, leases=(evolve(lease, share=1.1),)),
            evolve(reply, leases=(lease,) * 2001),
        ):
            self.assertIs(Code.PEER_MALFORMED, decode(encode(bad)).err().code)

    def test_addresses_and_digests_out_of_range_are_refused_by_the_receiver(self):
        # The names are shortened so that no text has the length of an address.
        report, known = evolve(REPORT, name="bne"), evolve(KNOWN[0], name="tsv")
        words = unpack(encode(Report(report, (known,))))
        for number in (b"\x0a\0\0\1\x1f\x90", b"\x0a\0\0\1\x1f\x92", b"\x0a\0\1\1\x1f\x91"):
            self.assert_refused(words.replace(number, number[:4] + b"\0\0"))
        for length, other_lengths in ((6, (1, 2, 3, 5, 7, 8)), (32, (33, 40))):
            # Upper half of a list pointer: the number of elements, and 2 for elements of one byte.
            pointer = struct.pack("<I", length << 3 | 2)
            at = [at for at in range(4, len(words), 8) if words[at : at + 4] == pointer]
            self.assertEqual(4 if length == 6 else 1, len(at))
            for start in at:
                for other_length in other_lengths:
                    changed = struct.pack("<I", other_length << 3 | 2)
                    self.assert_refused(words[:start] + changed + words[start + 4 :])

    def assert_refused(self, words):
        self.assertIs(Code.PEER_MALFORMED, decode(pack(words)).err().code)

    def test_sizes_are_limited(self):
        self.assertIs(Code.PEER_OVERSIZED, decode(bytes(MAX_MESSAGE_BYTES + 8)).err().code)
        large = PlanReply(True, b"", bytes(MAX_MESSAGE_BYTES))
        self.assertIs(Code.PEER_OVERSIZED, try_encode(large).err().code)
        whole = PlanReply(True, b"", bytes(MAX_MESSAGE_BYTES - 128))
        self.assertEqual(whole, decode(encode(whole)).ok())

    def test_one_message_is_encoded_once(self):
        encoder = MessageEncoder()
        first = encoder.encode(SAMPLES[0])
        self.assertIs(first, encoder.encode(SAMPLES[0]))
        for sample in (evolve(SAMPLES[0], known_entries=()), *SAMPLES, SAMPLES[0], "text"):
            self.assertEqual(try_encode(sample), encoder.encode(sample))

    def test_values_that_do_not_fit_are_errors(self):
        for message in (PlanRequest(-1), PlanRequest(2**64), KeyReply("\ud800"), "text"):
            with self.subTest(message=message):
                self.assertIs(Code.PEER_MALFORMED, try_encode(message).err().code)
        self.assertTrue(try_encode(ErrorReply(Code.OK, "\ud800")).is_ok())


if __name__ == "__main__":
    unittest.main()
