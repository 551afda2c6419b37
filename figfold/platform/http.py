"""HTTP requests to the platform's store; errors are returned as failures with a code."""

import http.client
from queue import Empty

import urllib3
from attrs import define
from eventlet import Timeout as GreenTimeout
from result import Err, Ok
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

from figfold.core.codes import Code, Failure
from figfold.entry.answer_connection import AnswerConnection
from figfold.platform.answers import Answer, bad_answer

ANSWER_LIMIT_BYTES = 8 << 20
# What the head and the framing of an answer may add.
FRAMING_LIMIT_BYTES = 512 << 10
# Fraction of the timeout that opening a connection may take.
CONNECT_TIMEOUT_FRACTION = 0.5


class _StoreConnection(AnswerConnection):
    answer_limit_bytes = ANSWER_LIMIT_BYTES + FRAMING_LIMIT_BYTES


@define(eq=False)
class StoreHttp:
    """Connection pool for the store; nothing is retried here.

    Attributes
    ----------
    pool : urllib3.HTTPConnectionPool
    timeout_s : float
        Limit on a request including its answer, in seconds, unless the call gives another.
    header_by_name : dict[str, str]
        Headers that every request carries.
    """

    pool: object
    timeout_s: float
    header_by_name: dict

    @classmethod
    def from_config(cls, url, connections, timeout_s, header_by_name):
        """Return a pool for ``http://host:port``; no connection is opened yet."""
        pool = urllib3.connection_from_url(
            url,
            maxsize=connections,
            block=True,
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_s * CONNECT_TIMEOUT_FRACTION, read=timeout_s),
        )
        pool.ConnectionCls = _StoreConnection
        return cls(pool, timeout_s, header_by_name)

    def close(self):
        """Close the idle connections."""
        self.pool.close()

    def close_idle(self):
        """Close the idle connections; the next calls open them again."""
        idle = []
        try:
            while True:
                idle.append(self.pool.pool.get(block=False))
        except Empty:
            pass
        for connection in idle:
            if connection is not None:
                connection.close()
            self.pool.pool.put(connection)

    def send(self, operation, method, path, body=None, headers=None, timeout_s=None):
        """Send a request and return Ok(Answer) or a failure; never raises for a bad answer."""
        sent = self._try_send(operation, method, path, body, headers, timeout_s or self.timeout_s)
        if sent.is_err() and sent.err().code is Code.STORE_TIMEOUT:
            # What has made one connection silent may have done so to all of them.
            self.close_idle()
        return sent

    def _try_send(self, operation, method, path, body, headers, timeout_s):
        total_timeout = GreenTimeout(timeout_s)
        try:
            return self._send(method, path, body, self.header_by_name | (headers or {}), timeout_s)
        except GreenTimeout as timeout:
            if timeout is not total_timeout:
                raise
            # The request may already have been sent, so this is not STORE_UNREACHABLE.
            return _timed_out(operation, f"no answer within {timeout_s} s")
        except (NewConnectionError, ConnectTimeoutError, EmptyPoolError) as error:
            return _unreachable(operation, error)
        except ReadTimeoutError as error:
            return _timed_out(operation, error)
        except ProtocolError as error:
            return _from_protocol_error(operation, error)
        except (HTTPError, http.client.HTTPException, ValueError) as error:
            return bad_answer(f"{operation}: malformed answer", repr(error))
        except OSError as error:
            return _timed_out(operation, error)
        finally:
            total_timeout.cancel()

    def _send(self, method, path, body, headers, timeout_s):
        response = self.pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            redirect=False,
            preload_content=False,
            decode_content=False,
            pool_timeout=timeout_s,
            timeout=urllib3.Timeout(
                connect=self.timeout_s * CONNECT_TIMEOUT_FRACTION, read=timeout_s
            ),
        )
        is_complete = False
        try:
            data = _read_body(response)
            is_complete = len(data) <= ANSWER_LIMIT_BYTES
        finally:
            if not is_complete:
                response.close()
            response.release_conn()
        if not is_complete:
            return bad_answer(f"answer of more than {ANSWER_LIMIT_BYTES} bytes")
        header_by_name = {name.lower(): value for name, value in response.headers.items()}
        return Ok(Answer(response.status, header_by_name, data))


def _read_body(response):
    data = b""
    while len(data) <= ANSWER_LIMIT_BYTES:
        # urllib3 checks Content-Length only in the read that returns no data: it raises there
        # for a truncated body.
        part = response.read(ANSWER_LIMIT_BYTES + 1 - len(data))
        if not part:
            break
        data += part
    return data


def _unreachable(operation, error):
    message = f"{operation}: the platform cannot be reached: {error}"
    return Err(Failure(Code.STORE_UNREACHABLE, message, "check the platform's address and health"))


def _timed_out(operation, error):
    message = f"{operation}: the platform's answer did not arrive: {error}"
    return Err(Failure(Code.STORE_TIMEOUT, message, "read the row before writing it again"))


def _from_protocol_error(operation, error):
    cause = error.args[1] if len(error.args) > 1 else None
    is_interrupted = isinstance(cause, ConnectionError | http.client.IncompleteRead)
    # RemoteDisconnected, a connection closed without answer, is a ConnectionError as well.
    if isinstance(cause, http.client.HTTPException) and not is_interrupted:
        return bad_answer(f"{operation}: malformed answer", repr(cause))
    return _timed_out(operation, error)
