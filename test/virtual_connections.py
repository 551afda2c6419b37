"""Fake clients of one entry: to its peers, to backend servers and to other entries."""

from collections import deque

import eventlet
from attrs import Factory, define, evolve
from eventlet.event import Event
from result import Err, Ok

from figfold.core.codes import Code, Failure
from figfold.entry.connections import AttemptFailure
from figfold.entry.request_types import CallerRequest, ServerAnswer
from figfold.wire.codec import decode, encode
from test.virtual_forwarding import RESET, ForwardedRequest

POISON = "/poison"  # A request with this target crashes the server that runs it.
CRASH_AFTER_S = 0.01


@define
class FakePeers:
    """Fake peer client of one entry, which calls the handler of the other entry directly."""

    world: object
    name: str

    def call(self, address, message, timeout_s):
        """Encode and deliver a message and return the decoded reply, or time out."""
        other = self.world.name_by_address[address]
        eventlet.sleep(self.world.peer_delay_s)
        if not self.world.is_reachable(self.name, other):
            eventlet.sleep(timeout_s)
            return Err(Failure(Code.PEER_TIMEOUT, "cut"))
        node = self.world.node_by_name[other]
        process = self.world.process_by_name[other]
        received = decode(encode(message)).unwrap()
        reply = self.world.hub.run_as(process, node.peers.handle, received)
        eventlet.sleep(self.world.peer_delay_s)
        return Ok(decode(encode(reply)).unwrap())


@define
class FakeConnections:
    """One entry's connections to backend servers and to other entries."""

    world: object
    entry: str
    process: str
    idle_by_address: dict = Factory(dict)

    def close_idle(self, now):
        """Do nothing: the fake does not model the age of idle connections."""

    def exchange(self, address, request, timeout_s, fresh=False, name=""):
        """Send a request to the server or entry at an address and return its answer."""
        other = self.world.name_by_address[address]
        if other in self.world.node_by_name or other not in self.world.server_by_name:
            return self._forward(other, request, timeout_s, fresh)
        server = self.world.server_by_name[other]
        if server.refuses(self.world.hub.now):
            eventlet.sleep(0.001)
            return Err(AttemptFailure(Code.CONNECT_FAILED, False, True))
        idle = self.idle_by_address.setdefault(address, deque())
        is_fresh = fresh or not idle
        if not is_fresh:
            idle.pop()
        result = self._run(server, request, timeout_s, is_fresh)
        if result.is_ok():
            idle.append(True)
        elif not is_fresh:
            idle.clear()
        return result

    def _run(self, server, request, timeout_s, is_fresh):
        eventlet.sleep(0.0005)
        if server.fault == "silent_old" and not is_fresh:
            eventlet.sleep(timeout_s)
            return Err(AttemptFailure(Code.SERVER_TIMEOUT, True, False))
        if server.fault == "reset_before":
            return Err(AttemptFailure(Code.SERVER_RESET, True, is_fresh))
        if server.fault == "shed":
            headers = (("Figfold-Shed", "1"),)
            return Ok(ServerAnswer(503, headers, b"", server.name))
        if self._run_for(server, request, timeout_s) == "reset":
            return Err(AttemptFailure(Code.SERVER_RESET, True, is_fresh))
        if server.seconds > timeout_s:
            return Err(AttemptFailure(Code.SERVER_TIMEOUT, True, is_fresh))
        if server.fault == "reset_after":
            return Err(AttemptFailure(Code.SERVER_RESET, True, is_fresh))
        if server.fault == "short":
            return Err(AttemptFailure(Code.SERVER_SHORT_ANSWER, True, is_fresh))
        nonce = dict(request[2]).get("Figfold-Nonce", "")
        body = f"{server.name} {nonce}".encode()
        return Ok(
            ServerAnswer(200, (("Content-Type", "text/plain"),), body, server.name, None, len(body))
        )

    def _run_for(self, server, request, timeout_s):
        """Run a request until it ends; return ``reset`` if the server crashed before."""
        world = self.world
        world.begin_run(server, request, self.process)
        run_id = next(world._ids)
        end = Event()
        server.run_by_id[run_id] = (self.process, end)
        run_s = min(server.seconds, timeout_s)
        # The server continues the run when the entry is frozen or killed.
        world.hub.run_as("", eventlet.spawn_after, run_s, world.end_run, server, run_id)
        if request[1] == POISON:
            world.hub.run_as(
                "", eventlet.spawn_after, CRASH_AFTER_S, world.crash, server, request[3]
            )
        with eventlet.Timeout(run_s, False):
            return end.wait()
        return "ended"

    def _forward(self, other, request, timeout_s, fresh):
        eventlet.sleep(0.001)
        method, target, headers, body = request
        if sum(name == "Figfold-Hops" for name, _ in headers) > 1:
            self.world.violations.append((self.world.hub.now, "forwarded twice", other))
        service = target.split("/")[2]
        target = target[len(f"/s/{service}") :]
        forwarded = CallerRequest(
            id=f"p{next(self.world._ids)}",
            service=service,
            method=method,
            target=target,
            headers=headers,
            body=body,
            deadline_s=self.world.hub.now + timeout_s,
            fingerprint=f"{service}{method}{target}{body}",
            hops=1,
            key=dict(headers).get("Idempotency-Key", ""),
            first_use=dict(headers).get("Figfold-First-Use", "") == "1",
            wait_limit_s=_wait_limit_s(dict(headers)),
        )
        result = ForwardedRequest(self.world, self.entry, self.process, other).deliver(
            forwarded, timeout_s
        )
        if result is None:
            return Err(AttemptFailure(Code.SERVER_TIMEOUT, True, fresh))
        if result == RESET:
            return Err(AttemptFailure(Code.SERVER_RESET, True, True))
        if result.is_ok():
            answer = result.ok()
            outcome_headers = (("Figfold-Outcome", "ran"), ("Figfold-Code", "0"))
            return Ok(evolve(answer, headers=answer.headers + outcome_headers))
        refusal = result.err()
        headers = (
            ("Figfold-Outcome", refusal.outcome.value),
            ("Figfold-Code", str(int(refusal.failure.code))),
        )
        return Ok(ServerAnswer(503, headers, b"", other))


def _wait_limit_s(headers):
    text = headers.get("Figfold-Wait-Limit-Ms")
    return None if text is None else int(text) / 1000
