"""Writes the final state of claims to their rows in the background, with retries."""

from hashlib import sha256

import eventlet
from attrs import Factory, define, frozen

from figfold.core.bookings import ClaimRow
from figfold.core.codes import Code
from figfold.entry.metrics import Metrics
from figfold.platform.client import PlatformClient

TABLE = "bookings"
MAX_WORKERS = 8
PENDING_LIMIT = 5_000
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
DRAIN_POLL_S = 0.05


def row_name(service, key):
    """Return the name of a key's row."""
    return f"{service}.{key}"


def object_name(body):
    """Return the name under which an answer's body is stored."""
    return f"answer-{sha256(body).hexdigest()}"


@frozen
class FinalClaim:
    """The final row of a claim; an empty etag means that the row may not exist yet."""

    name: str
    row: ClaimRow
    etag: str = ""
    body: bytes | None = None


@define(eq=False)
class ClaimFinalizer:
    """Queue of final claims that are still to be written.

    A bounded number of workers writes them with exponential backoff, so that the store is not
    flooded when it recovers from an outage. Workers run only while claims are pending.

    Attributes
    ----------
    pending_by_nonce : dict[str, FinalClaim]
        Oldest first.
    nonces_in_progress : set[str]
        Nonces of the claims that a worker is writing.
    """

    store: PlatformClient
    metrics: Metrics
    pending_by_nonce: dict[str, FinalClaim] = Factory(dict)
    nonces_in_progress: set = Factory(set)
    worker_count: int = 0

    def add(self, final_claim):
        """Queue a final claim; if the queue is full, drop the oldest one and count it."""
        if len(self.pending_by_nonce) >= PENDING_LIMIT:
            self.pending_by_nonce.pop(next(iter(self.pending_by_nonce)))
            self.metrics.count("settlements_dropped")
        self.pending_by_nonce[final_claim.row.nonce] = final_claim
        if self.worker_count < MAX_WORKERS:
            self.worker_count += 1
            eventlet.spawn_n(self._run_worker)

    def wait_until_drained(self, limit_s):
        """Wait up to ``limit_s`` until nothing is pending; return whether that was reached."""
        with eventlet.Timeout(limit_s, False):
            while self.pending_by_nonce:
                eventlet.sleep(DRAIN_POLL_S)
        return not self.pending_by_nonce

    def _run_worker(self):
        try:
            self._write_pending()
        finally:
            self.worker_count -= 1

    def _write_pending(self):
        backoff_s = INITIAL_BACKOFF_S
        while (final_claim := self._next()) is not None:
            nonce = final_claim.row.nonce
            self.nonces_in_progress.add(nonce)
            try:
                done = self._write_final_state(final_claim)
            finally:
                self.nonces_in_progress.discard(nonce)
            if done:
                self.pending_by_nonce.pop(nonce, None)
                backoff_s = INITIAL_BACKOFF_S
                continue
            eventlet.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _next(self):
        for nonce, final_claim in self.pending_by_nonce.items():
            if nonce not in self.nonces_in_progress:
                return final_claim
        return None

    def _write_final_state(self, final_claim):
        """Try to write a claim once; return whether it needs no further attempt."""
        if final_claim.body is not None and not self._store_body(final_claim):
            return False
        if final_claim.etag and self._update_row(final_claim, final_claim.etag):
            return True
        etag = self._own_etag(final_claim)
        if etag is None:
            return False
        # An empty etag: the row is missing or holds another claim, so there is nothing to write.
        return not etag or self._update_row(final_claim, etag)

    def _store_body(self, final_claim):
        stored = self.store.put_object(final_claim.row.answer.body_object, final_claim.body)
        return stored.is_ok() or stored.err().code is Code.STORE_CONFLICT

    def _update_row(self, final_claim, etag):
        value = final_claim.row.encode()
        return self.store.put_row(TABLE, final_claim.name, value, if_match=etag).is_ok()

    def _own_etag(self, final_claim):
        """Return the etag of this claim's row.

        It is empty if the row is missing or holds another claim, and None if the read failed.
        """
        read = self.store.get_row(TABLE, final_claim.name)
        if read.is_err():
            return "" if read.err().code is Code.STORE_MISSING else None
        found = ClaimRow.decode(read.ok().value)
        own = found.is_ok() and found.ok().nonce == final_claim.row.nonce
        return read.ok().etag if own else ""
