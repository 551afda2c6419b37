"""The store's raw objects, which are written once and never change."""

from urllib.parse import quote

from attrs import define
from result import Err, Ok

from figfold.core.codes import Code
from figfold.platform.answers import read_status
from figfold.platform.http import StoreHttp

UNLESS_THERE = {"If-None-Match": "*"}


@define(eq=False)
class ObjectStore:
    """Objects by name; nothing is retried here."""

    http: StoreHttp

    def put(self, name, body):
        """Store an object; the same content again is Ok, other is STORE_CONFLICT."""
        answer = self.http.send("put_object", "PUT", _path("put", name), body, UNLESS_THERE)
        stored = answer.and_then(read_status)
        if stored.is_ok() or stored.err().code is not Code.STORE_CONFLICT:
            return stored
        known = self.get(name)
        if known.is_err():
            return known
        return Ok(None) if known.ok() == body else Err(stored.err())

    def get(self, name):
        """Return Ok(bytes) of an object; the caller checks its digest."""
        answer = self.http.send("get_object", "GET", _path("get", name))
        return answer.and_then(lambda one: read_status(one).map(lambda _: one.body))


def _path(verb, name):
    return f"/blob-{verb}/{quote(name, safe='')}"
