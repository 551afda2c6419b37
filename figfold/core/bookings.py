"""Decides how a booking claims its idempotency key, so that it runs at most once.

A claim is a conditional insert into the bookings table. Only the process that holds a claim may
dispatch the request, and it does so at most once per claim.
"""

import json
from enum import Enum

from attrs import Factory, define, evolve, frozen
from result import Err, Ok, Result

from figfold.core.codes import Code, Failure

KEY_LIMIT_CHARS = 128
KEY_CHARS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:")
ROW_LIMIT_BYTES = 64 * 1024


class ClaimState(Enum):
    """State of a claim, as given by its row or by its holder."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@frozen
class KeptAnswer:
    """Stored answer of a finished booking; its body is in the object store under its digest."""

    status: int
    content_type: str
    body_object: str
    server: str = ""


@frozen
class ClaimRow:
    """Content of the row of an idempotency key.

    Attributes
    ----------
    fingerprint : str
        Digest of method, path and body, which a repeated request must match.
    holder, address, incarnation : str, str, int
        The process that may dispatch, and the address at which it answers queries.
    nonce : str
        Distinguishes the claims of one process on one key.
    """

    fingerprint: str
    holder: str
    address: str
    incarnation: int
    nonce: str
    state: ClaimState = ClaimState.CLAIMED
    answer: KeptAnswer | None = None

    def is_of_process(self, other):
        """Return whether two claims were made by one process."""
        own = (self.holder, self.address, self.incarnation)
        return own == (other.holder, other.address, other.incarnation)

    def encode(self):
        """Return the row as JSON bytes."""
        value = {
            "fingerprint": self.fingerprint,
            "holder": self.holder,
            "address": self.address,
            "incarnation": self.incarnation,
            "nonce": self.nonce,
            "state": self.state.value,
        }
        if self.answer is not None:
            value["answer"] = [
                self.answer.status,
                self.answer.content_type,
                self.answer.body_object,
                self.answer.server,
            ]
        return json.dumps(value, sort_keys=True).encode()

    @classmethod
    def decode(cls, data):
        """Return ``Ok(row)``, or ``Err(Failure)`` for content that is not a claim."""
        try:
            value = json.loads(data)
            texts = [value[name] for name in ("fingerprint", "holder", "address", "nonce")]
            state = ClaimState(value["state"])
            incarnation = value["incarnation"]
            answer = _decode_answer(value.get("answer"))
        except (ValueError, KeyError, TypeError, AttributeError):
            return Err(_malformed_row())
        if not all(isinstance(text, str) for text in texts) or type(incarnation) is not int:
            return Err(_malformed_row())
        fingerprint, holder, address, nonce = texts
        return Ok(cls(fingerprint, holder, address, incarnation, nonce, state, answer))


def _decode_answer(value):
    if value is None:
        return None
    status, content_type, body_object, server = value
    if type(status) is not int or not all(
        isinstance(text, str) for text in (content_type, body_object, server)
    ):
        raise ValueError("answer")
    return KeptAnswer(status, content_type, body_object, server)


def _malformed_row():
    return Failure(Code.STORE_BAD_ANSWER, "the key's row is not a claim", "inspect table bookings")


def check_key(key) -> Result[str, Failure]:
    """Return ``Ok(key)`` for a valid idempotency key, otherwise the refusal."""
    if not key:
        return Err(
            Failure(
                Code.KEY_REQUIRED,
                "a booking needs an Idempotency-Key",
                "send a new random key with each booking and the same key with its repeats",
            )
        )
    if len(key) > KEY_LIMIT_CHARS or not KEY_CHARS.issuperset(key):
        return Err(
            Failure(
                Code.KEY_INVALID,
                "the Idempotency-Key is too long or has characters that are not allowed",
                f"use at most {KEY_LIMIT_CHARS} letters, digits or - _ . :",
            )
        )
    return Ok(key)


# Next step after each answer of the store.


class ClaimStep(Enum):
    """The next step of a process that claims a key."""

    DISPATCH = "dispatch"
    INSERT = "insert"
    READ = "read"
    REPLAY = "replay"
    ASK_HOLDER = "ask-holder"
    TAKE_OVER = "take-over"
    REFUSE = "refuse"


@frozen
class ClaimDecision:
    """The next step, with the row that led to it or the failure for the caller."""

    step: ClaimStep
    row: ClaimRow | None = None
    etag: str = ""
    failure: Failure | None = None


def decide_after_insert(result, own):
    """Return the step after a conditional insert with the result ``Result[etag, Failure]``."""
    if result.is_ok():
        return ClaimDecision(ClaimStep.DISPATCH, own, result.ok())
    if result.err().code is Code.STORE_CONFLICT:
        return ClaimDecision(ClaimStep.READ)
    # The insert may have taken effect, may still take effect, or may be lost. A second insert
    # with the same nonce is correct in each case.
    return ClaimDecision(ClaimStep.INSERT)


def decide_after_read(row, etag, own, abandoned_nonces):
    """Return the step for a key whose row was read; ``row`` is None if there is none.

    Parameters
    ----------
    own : ClaimRow
        The claim that this process tries to make.
    abandoned_nonces : collection of str
        Nonces of this process whose claims it will never dispatch.
    """
    if row is None:
        return ClaimDecision(ClaimStep.INSERT)
    if row.fingerprint != own.fingerprint:
        failure = Failure(
            Code.KEY_REUSED, "the key belongs to another request", "use a new key for a new request"
        )
        return ClaimDecision(ClaimStep.REFUSE, row, etag, failure)
    if row.state is ClaimState.DONE:
        return ClaimDecision(ClaimStep.REPLAY, row, etag)
    if row.state is ClaimState.NOT_RUN:
        return ClaimDecision(ClaimStep.TAKE_OVER, row, etag)
    if row.state is ClaimState.UNKNOWN:
        return ClaimDecision(ClaimStep.REFUSE, row, etag, _unknown_outcome())
    if row.is_of_process(own) and row.nonce == own.nonce:
        return ClaimDecision(ClaimStep.DISPATCH, own, etag)
    if row.is_of_process(own):
        if row.nonce in abandoned_nonces:
            return ClaimDecision(ClaimStep.TAKE_OVER, row, etag)
        return ClaimDecision(ClaimStep.REFUSE, row, etag, _in_progress())
    return ClaimDecision(ClaimStep.ASK_HOLDER, row, etag)


def decide_after_holder(state, decision):
    """Return the step after the holder was asked; ``state`` is None if it did not answer."""
    if state is ClaimState.NOT_RUN:
        return evolve(decision, step=ClaimStep.TAKE_OVER)
    if state in (ClaimState.CLAIMED, ClaimState.DONE):
        return evolve(decision, step=ClaimStep.REFUSE, failure=_in_progress())
    return evolve(decision, step=ClaimStep.REFUSE, failure=_unknown_outcome())


def _in_progress():
    return Failure(
        Code.KEY_IN_PROGRESS,
        "a request with this key is in progress",
        "send it again with the same key a little later",
    )


def _unknown_outcome():
    return Failure(
        Code.KEY_UNKNOWN_OUTCOME,
        "a request with this key was begun and its end is not known",
        "check at the service whether the booking exists before booking with a new key",
    )


# Claims of this process.


@define
class _LocalClaim:
    fingerprint: str
    nonce: str
    state: ClaimState = ClaimState.CLAIMED


@define
class ClaimRegistry:
    """The claims of one process by service and key, to answer queries of other processes.

    Attributes
    ----------
    limit : int
        Maximum number of claims. The oldest finished claim is evicted for a new one.
    """

    limit: int = 20_000
    claim_by_key: dict[tuple[str, str], _LocalClaim] = Factory(dict)
    abandoned_nonces_by_key: dict[tuple[str, str], list[str]] = Factory(dict)

    def begin(self, service, key, fingerprint, nonce) -> Result[None, Failure]:
        """Register a claim on the key; refuse it while an earlier claim is in progress."""
        name = (service, key)
        earlier = self.claim_by_key.get(name)
        if earlier is not None and earlier.state is ClaimState.CLAIMED:
            if earlier.fingerprint != fingerprint:
                return Err(
                    Failure(
                        Code.KEY_REUSED,
                        "the key belongs to another request",
                        "use a new key for a new request",
                    )
                )
            return Err(_in_progress())
        if len(self.claim_by_key) >= self.limit and not self._evict_oldest():
            return Err(Failure(Code.QUEUE_FULL, "too many bookings in progress", "try later"))
        self.claim_by_key.pop(name, None)
        self.claim_by_key[name] = _LocalClaim(fingerprint, nonce)
        return Ok(None)

    def record_end(self, service, key, state):
        """Record the final state of a claim; one that was not run is never dispatched later."""
        name = (service, key)
        claim = self.claim_by_key[name]
        claim.state = state
        if state is ClaimState.NOT_RUN:
            self.abandoned_nonces_by_key.setdefault(name, []).append(claim.nonce)

    def discard(self, service, key):
        """Remove a claim that this process did not obtain."""
        self.claim_by_key.pop((service, key), None)

    def clear_abandoned_nonces(self, service, key):
        """Remove the abandoned nonces of a key whose row no longer names them."""
        self.abandoned_nonces_by_key.pop((service, key), None)

    def abandoned_nonces(self, service, key):
        """Return the nonces of claims on the key that this process will never dispatch."""
        return tuple(self.abandoned_nonces_by_key.get((service, key), ()))

    def state_of(self, service, key, nonce):
        """Return the state of a claim of this process, None if it is not registered."""
        if nonce in self.abandoned_nonces(service, key):
            return ClaimState.NOT_RUN
        claim = self.claim_by_key.get((service, key))
        if claim is None or claim.nonce != nonce:
            return None
        return claim.state

    def _evict_oldest(self):
        for name, claim in self.claim_by_key.items():
            if claim.state is not ClaimState.CLAIMED:
                del self.claim_by_key[name]
                return True
        return False
