"""WSGI application of the admin port: health, status, metrics, plans, explanations."""

import json
import sys
from collections.abc import Callable
from ipaddress import ip_address, ip_network

from attrs import define

from figfold.core.codes import Code
from figfold.entry.app_errors import UNEXPECTED, AppErrors
from figfold.entry.metrics import Metrics

TEXT = "text/plain; charset=utf-8"
JSON = "application/json"
OFFER_LIMIT_BYTES = 4 << 20
REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    413: "Content Too Large",
    500: "Internal Server Error",
}


@define(eq=False)
class AdminApp:
    """WSGI application that serves only clients from the allowed networks."""

    networks: tuple
    health: Callable
    status: Callable
    metrics_text: Callable
    refresh_plan: Callable
    accept_offer: Callable
    explain: Callable
    metrics: Metrics
    errors: AppErrors

    @classmethod
    def from_config(cls, admin, **parts):
        """Return the application for the ``[admin]`` settings."""
        return cls(tuple(ip_network(network) for network in admin.allowed_networks), **parts)

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        try:
            return self._answer(environ, start_response)
        except UNEXPECTED as error:
            self.errors.record_error(error)

            def restart_response(status, headers):
                return start_response(status, headers, sys.exc_info())

            return self._refuse(
                restart_response, 500, Code.ENTRY_ERROR, "the entry failed unexpectedly"
            )

    def _answer(self, environ, start_response):
        if not self._is_allowed(environ.get("REMOTE_ADDR", "")):
            return self._refuse(start_response, 403, Code.ADMIN_NOT_ALLOWED, "not from there")
        route = (environ["REQUEST_METHOD"], environ.get("PATH_INFO", ""))
        if route == ("GET", "/health"):
            return _send_json(start_response, 200, self.health())
        if route == ("GET", "/status"):
            return _send_json(start_response, 200, self.status())
        if route == ("GET", "/metrics"):
            return _send(start_response, 200, TEXT, self.metrics_text().encode())
        if route == ("POST", "/plan/refresh"):
            return _send_json(start_response, 200, self.refresh_plan())
        if route == ("POST", "/plan/offer"):
            return self._accept_offer(environ, start_response)
        if route == ("GET", "/explain"):
            return _send_json(start_response, 200, self.explain(environ.get("QUERY_STRING", "")))
        return self._refuse(start_response, 404, Code.NOT_FOUND, "no such path")

    def _accept_offer(self, environ, start_response):
        try:
            data = environ["wsgi.input"].read(OFFER_LIMIT_BYTES + 1)
        except (OSError, ValueError):
            message = "the plan could not be read"
            return self._refuse(start_response, 400, Code.BODY_INCOMPLETE, message)
        if len(data) > OFFER_LIMIT_BYTES:
            return self._refuse(start_response, 413, Code.SHEET_TOO_LARGE, "the plan is too large")
        return _send_json(start_response, 200, {"plan_version": self.accept_offer(data)})

    def _is_allowed(self, remote):
        try:
            address = ip_address(remote)
        except ValueError:
            return False
        return any(address in network for network in self.networks)

    def _refuse(self, start_response, status, code, message):
        self.metrics.count_code(code)
        value = {"code": int(code), "name": code.name.lower(), "message": message}
        return _send_json(start_response, status, value)


def _send_json(start_response, status, value):
    return _send(start_response, status, JSON, json.dumps(value).encode())


def _send(start_response, status, content_type, body):
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(f"{status} {REASON_BY_STATUS[status]}", headers)
    return [body]
