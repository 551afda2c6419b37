"""Runs bookings at most once: claims the key, dispatches, and stores the answer for repeats."""

from collections.abc import Callable, Iterator

import eventlet
from attrs import define, evolve
from result import Err, Ok

from figfold.core.bookings import (
    ClaimDecision,
    ClaimRegistry,
    ClaimRow,
    ClaimState,
    ClaimStep,
    KeptAnswer,
    decide_after_holder,
    decide_after_insert,
    decide_after_read,
)
from figfold.core.codes import Code, Failure, Outcome
from figfold.entry.claim_finalizer import TABLE, ClaimFinalizer, FinalClaim, object_name, row_name
from figfold.entry.clock import now_s
from figfold.entry.metrics import Metrics
from figfold.entry.request_types import CallerRequest, Refusal, ServerAnswer, refuse
from figfold.platform.client import PlatformClient
from figfold.wire.client import PeerClient
from figfold.wire.messages import KeyQuery, KeyReply

RETRY_PAUSE_S = 0.05
MAX_CLAIM_STEPS = 64
# A claim is abandoned this long before the request's deadline, to leave time for its dispatch.
DISPATCH_RESERVE_S = 0.05
FINAL_STEPS = frozenset((ClaimStep.DISPATCH, ClaimStep.REPLAY, ClaimStep.REFUSE))


@define(eq=False)
class _ClaimAttempt:
    """A claim that is being made; ``maybe_written`` says whether a write of it may take effect."""

    request: CallerRequest
    own: ClaimRow
    maybe_written: bool = False

    @property
    def name(self):
        """Return the name of the key's row."""
        return row_name(self.request.service, self.request.key)


@define(eq=False)
class BookingRunner:
    """Claims the keys of bookings and runs each booking at most once.

    Attributes
    ----------
    run : callable
        ``(CallerRequest) -> Result[ServerAnswer, Refusal]``, the dispatcher's method.
    nonces : iterator of int
        Numbers that make this process's claims distinct.
    """

    store: PlatformClient
    peers: PeerClient
    run: Callable
    metrics: Metrics
    entry_name: str
    peer_address: str
    incarnation: int
    claim_timeout_s: float
    kept_answer_limit_bytes: int
    peer_timeout_s: float
    ledger: ClaimRegistry
    nonces: Iterator[int]
    finalizer: ClaimFinalizer

    def serve(self, request):
        """Run a booking at most once.

        Returns
        -------
        Result[ServerAnswer, Refusal]
            The refusal's outcome is ``not-run`` only if this request was never sent to a backend
            server; ``key_settled`` says whether that holds for all requests with its key.
        """
        # The incarnation alone is ambiguous: two processes may start in the same millisecond.
        nonce = f"{self.entry_name}.{self.incarnation:x}.{next(self.nonces):x}"
        service, key = request.service, request.key
        begun = self.ledger.begin(service, key, request.fingerprint, nonce)
        if begun.is_err():
            return Err(_refusal_of(begun.err()))
        own = ClaimRow(
            request.fingerprint, self.entry_name, self.peer_address, self.incarnation, nonce
        )
        attempt = _ClaimAttempt(request, own)
        decision = self._claim(attempt)
        if decision is None:
            self._abandon_claim(attempt)
            return Err(
                refuse(
                    Code.STORE_UNREACHABLE,
                    "the booking's key could not be claimed, so it was not sent",
                    "send it again with the same key",
                )
            )
        if decision.step is ClaimStep.DISPATCH:
            return self._dispatch(request, own, decision.etag)
        self.ledger.discard(service, key)
        if decision.step is ClaimStep.REPLAY:
            return self._replay(decision.row)
        return Err(_refusal_of(decision.failure))

    def answer_query(self, query):
        """Return the state of one of this process's claims to a peer that asks for it."""
        state = self.ledger.state_of(query.service, query.key, query.nonce)
        return KeyReply("" if state is None else state.value)

    # Steps of a claim.

    def _claim(self, attempt):
        """Return the final decision on the claim, or None if the time limit was reached."""
        limit_s = min(
            now_s() + self.claim_timeout_s, attempt.request.deadline_s - DISPATCH_RESERVE_S
        )
        with eventlet.Timeout(max(0.0, limit_s - now_s()), False):
            return self._run_steps(attempt, limit_s)
        return None

    def _run_steps(self, attempt, limit_s):
        decision = ClaimDecision(ClaimStep.INSERT)
        for _ in range(MAX_CLAIM_STEPS):
            # After a pause of the process, the limit may be over before the timer fires.
            if now_s() >= limit_s:
                return None
            decision = self._run_step(attempt, decision)
            if decision.step in FINAL_STEPS:
                return decision
        return None

    def _run_step(self, attempt, decision):
        if decision.step is ClaimStep.READ:
            return self._read_claim(attempt)
        if decision.step is ClaimStep.ASK_HOLDER:
            return self._ask_holder(attempt.request, decision)
        return self._write_claim(attempt, decision)

    def _write_claim(self, attempt, decision):
        value = attempt.own.encode()
        maybe_written_before = attempt.maybe_written
        attempt.maybe_written = True
        if decision.step is ClaimStep.TAKE_OVER:
            written = self.store.put_row(TABLE, attempt.name, value, if_match=decision.etag)
        else:
            written = self.store.put_row(TABLE, attempt.name, value, if_absent=True)
        if written.is_err() and written.err().code is Code.STORE_UNREACHABLE:
            attempt.maybe_written = maybe_written_before
        following = decide_after_insert(written, attempt.own)
        if following.step is not ClaimStep.INSERT:
            return following
        self.metrics.count("retries", service=attempt.request.service, reason="claim_unsettled")
        eventlet.sleep(RETRY_PAUSE_S)
        # The write may have taken effect or not, so the row is read before the next attempt.
        return ClaimDecision(ClaimStep.READ)

    def _read_claim(self, attempt):
        read = self.store.get_row(TABLE, attempt.name)
        if read.is_err():
            if read.err().code is Code.STORE_MISSING:
                return ClaimDecision(ClaimStep.INSERT)
            eventlet.sleep(RETRY_PAUSE_S)
            return ClaimDecision(ClaimStep.READ)
        row = ClaimRow.decode(read.ok().value)
        if row.is_err():
            return ClaimDecision(ClaimStep.REFUSE, failure=row.err())
        dead = self.ledger.abandoned_nonces(attempt.request.service, attempt.request.key)
        return decide_after_read(row.ok(), read.ok().etag, attempt.own, dead)

    def _ask_holder(self, request, decision):
        row = decision.row
        query = KeyQuery(request.service, request.key, row.nonce)
        asked = self.peers.call(row.address, query, self.peer_timeout_s)
        state = None
        if asked.is_ok() and isinstance(asked.ok(), KeyReply):
            state = _state_of(asked.ok().state)
        return decide_after_holder(state, decision)

    # Dispatch and final state of a claim.

    def _dispatch(self, request, own, etag):
        result = self.run(request)
        service, key = request.service, request.key
        if result.is_ok():
            return Ok(self._record_done(request, own, etag, result.ok()))
        refusal = result.err()
        if refusal.outcome is Outcome.NOT_RUN:
            result = Err(evolve(refusal, key_settled=True))
            self.ledger.record_end(service, key, ClaimState.NOT_RUN)
            self._finalize_later(request, evolve(own, state=ClaimState.NOT_RUN), etag)
        else:
            self.ledger.record_end(service, key, ClaimState.UNKNOWN)
            self._finalize_later(request, evolve(own, state=ClaimState.UNKNOWN), etag)
        return result

    def _abandon_claim(self, attempt):
        """Record that a claim is never dispatched, although its write may still take effect."""
        request = attempt.request
        self.ledger.record_end(request.service, request.key, ClaimState.NOT_RUN)
        if attempt.maybe_written:
            self._finalize_later(request, evolve(attempt.own, state=ClaimState.NOT_RUN), "")

    def _record_done(self, request, own, etag, answer):
        self.ledger.record_end(request.service, request.key, ClaimState.DONE)
        done = evolve(own, state=ClaimState.DONE)
        if answer.rest is None and len(answer.body) <= self.kept_answer_limit_bytes:
            done = evolve(done, answer=_kept_answer(answer))
        self._finalize_later(request, done, etag, answer.body if done.answer else None)
        return answer

    def _finalize_later(self, request, row, etag, body=None):
        name = row_name(request.service, request.key)
        self.finalizer.add(FinalClaim(name, row, etag, body))

    # Replay of stored answers to repeated keys.

    def _replay(self, row):
        self.metrics.count("replays")
        if row.answer is None:
            return Err(_answer_not_kept())
        read = self.store.get_object(row.answer.body_object)
        if read.is_err() or object_name(read.ok()) != row.answer.body_object:
            return Err(_answer_not_kept())
        body = read.ok()
        headers = (("Content-Type", row.answer.content_type), ("Figfold-Replayed", "1"))
        return Ok(
            ServerAnswer(row.answer.status, headers, body, row.answer.server, None, len(body))
        )


def _kept_answer(answer):
    types = [value for name, value in answer.headers if name.lower() == "content-type"]
    content_type = types[0] if types else "application/octet-stream"
    return KeptAnswer(answer.status, content_type, object_name(answer.body), answer.server)


def _state_of(text):
    try:
        return ClaimState(text)
    except ValueError:
        return None


def _refusal_of(failure):
    unknown = (Code.KEY_IN_PROGRESS, Code.KEY_UNKNOWN_OUTCOME)
    outcome = Outcome.UNKNOWN if failure.code in unknown else Outcome.NOT_RUN
    return Refusal(failure, outcome, key_settled=failure.code is Code.KEY_REUSED)


def _answer_not_kept():
    failure = Failure(
        Code.ANSWER_NOT_KEPT,
        "the booking ran before, but its answer was not kept or can not be read now",
        "ask the service for the booking, or send the request again later with the same key",
    )
    return Refusal(failure, Outcome.RAN)
