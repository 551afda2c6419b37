"""The plan in the platform's store, as the command line reads and writes it."""

from attrs import frozen
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.core.plan import decode_head, encode_head, make_plan
from figfold.core.plan_application import HeadWithEtag
from figfold.platform.client import PlatformClient, may_have_taken_effect

PLAN_TABLE = "plan"
HEAD_ROW = "head"
OBJECT_PREFIX = "plan-"
CLIENT_NAME = "figfold"
# Storing an immutable object is idempotent, so it is repeated when the outcome is unknown.
MAX_WRITE_ATTEMPTS = 3


@frozen
class PlanStore:
    """Head row and bodies of the plan in the platform's store."""

    client: PlatformClient

    @classmethod
    def from_config(cls, platform, place=""):
        """Return the store of the platform settings; no connection is opened yet."""
        client = PlatformClient.from_config(
            url=platform.url,
            entry=CLIENT_NAME,
            place=place,
            timeout_s=platform.timeout_s,
            max_connections=platform.max_connections,
        )
        return cls(client)

    def read_head(self):
        """Return Ok(HeadWithEtag), whose head is None if the row does not exist."""
        read = self.client.get_row(PLAN_TABLE, HEAD_ROW)
        if read.is_err() and read.unwrap_err().code is Code.STORE_MISSING:
            return Ok(HeadWithEtag(None, None))
        return read.and_then(_decode_row)

    def write_head(self, head, etag):
        """Write the head row if its entity tag is ``etag``; None means that it must not exist."""
        value = encode_head(head)
        if etag is None:
            return self.client.put_row(PLAN_TABLE, HEAD_ROW, value, if_absent=True)
        return self.client.put_row(PLAN_TABLE, HEAD_ROW, value, if_match=etag)

    def write_body(self, digest, body):
        """Store a plan's body under its digest."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            written = self.client.put_object(OBJECT_PREFIX + digest, body)
            if written.is_ok() or not may_have_taken_effect(written.unwrap_err()):
                break
        if written.is_err() and written.unwrap_err().code is Code.STORE_CONFLICT:
            message = f"the object {OBJECT_PREFIX}{digest} has other content"
            return Err(
                Failure(Code.PLAN_CORRUPT, message, "ask the operators of the platform to check it")
            )
        return written

    def read_plan(self, head):
        """Return Ok(Plan) for a head or an item of its history."""
        body = self.client.get_object(OBJECT_PREFIX + head.digest)
        return body.and_then(lambda data: make_plan(head, data))

    def list_instances(self):
        """Return Ok(tuple of Instance) of the platform's list."""
        return self.client.list_instances()


def _decode_row(row):
    return decode_head(row.value).map(lambda head: HeadWithEtag(head, row.etag))
