"""The store's immutable objects."""

from urllib.parse import quote

from attrs import define
from result import Err, Ok

from figfold.core.codes import Code
from figfold.platform.answers import check_status
from figfold.platform.http import StoreHttp

IF_ABSENT = {"If-None-Match": "*"}


@define(eq=False)
class ObjectStore:
    """Client of the store's objects by name; nothing is retried here."""

    http: StoreHttp

    def put(self, name, body):
        """Store an object; STORE_CONFLICT if it exists with other content."""
        answer = self.http.send("put_object", "PUT", _path("put", name), body, IF_ABSENT)
        stored = answer.and_then(check_status)
        if stored.is_ok() or stored.err().code is not Code.STORE_CONFLICT:
            return stored
        known = self.get(name)
        if known.is_err():
            return known
        return Ok(None) if known.ok() == body else Err(stored.err())

    def get(self, name):
        """Return Ok(bytes) of an object; the caller checks its digest."""
        answer = self.http.send("get_object", "GET", _path("get", name))
        return answer.and_then(lambda one: check_status(one).map(lambda _: one.body))


def _path(verb, name):
    return f"/blob-{verb}/{quote(name, safe='')}"
