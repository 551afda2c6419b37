import struct
import unittest
from ipaddress import ip_network

import eventlet
from eventlet.event import Event
from eventlet.green import socket

from figfold.core.codes import Code
from figfold.wire.client import PeerClient
from figfold.wire.codec import MAX_MESSAGE_BYTES, encode
from figfold.wire.framing import Frame, pack_frame, read_frame
from figfold.wire.messages import ErrorReply, KeyQuery, KeyReply, PlanReply, PlanRequest
from figfold.wire.server import PeerServer, PeerServerSettings

LOOPBACK = "127.0.0.1"
# Much longer than any call takes here, so that only a fault reaches this time-out.
LONG_S = 10.0
SHORT_S = 0.2
QUERY = KeyQuery("s", "k", "n")


class PeersTest(unittest.TestCase):
    def setUp(self):
        self.gate = Event()
        self.client = PeerClient.from_config()
        self.addCleanup(self.client.close)

    def handle(self, message):
        if isinstance(message, KeyQuery):
            if message.key == "slow":
                self.gate.wait()
            return KeyReply(message.key)
        if message.version == 13:
            raise LookupError("no such plan")
        size = MAX_MESSAGE_BYTES * 2 if message.version == 14 else 1000
        return PlanReply(True, b"head", bytes(size))

    def start(self, **settings):
        server = PeerServer.from_config(PeerServerSettings(LOOPBACK, **settings), self.handle)
        server.start()
        self.addCleanup(server.stop)
        return server

    def connect(self, server):
        host, port = server.address.split(":")
        sock = socket.create_connection((host, int(port)), timeout=LONG_S)
        self.addCleanup(sock.close)
        return sock

    def call(self, server, key="k", timeout_s=LONG_S):
        return self.call_at(server.address, KeyQuery("s", key, "n"), timeout_s)

    def call_at(self, address, message=QUERY, timeout_s=LONG_S):
        return self.client.call(address, message, timeout_s)

    def listen(self):
        """Return a listener that no server serves, and its address."""
        listener = eventlet.listen((LOOPBACK, 0))
        self.addCleanup(listener.close)
        return listener, f"{LOOPBACK}:{listener.getsockname()[1]}"

    def assert_serves(self, server):
        self.assertEqual(KeyReply("k"), self.call(server).ok())

    def wait_until(self, condition):
        with eventlet.Timeout(LONG_S):
            while not condition():
                eventlet.sleep(0.005)

    def test_calls_share_one_connection(self):
        server = self.start()
        pool = eventlet.GreenPool()
        keys = [f"k{number}" for number in range(100)]
        results = list(pool.imap(lambda key: self.call(server, key).ok().state, keys))
        self.assertEqual(keys, results)
        self.assertEqual((1, 1), (self.client.counters.connects, server.connection_count))

    def test_slow_call_does_not_delay_others(self):
        server = self.start()
        slow = eventlet.spawn(self.call, server, "slow")
        eventlet.sleep(0)
        self.assert_serves(server)
        self.gate.send()
        self.assertEqual(KeyReply("slow"), slow.wait().ok())
        self.assertEqual(1, self.client.counters.connects)

    def test_time_out_spares_calls_in_progress_and_opens_a_fresh_connection(self):
        server = self.start()
        waiting = eventlet.spawn(self.call, server, "slow")
        eventlet.sleep(0)
        self.assertIs(Code.PEER_TIMEOUT, self.call(server, "slow", SHORT_S).err().code)
        self.assert_serves(server)
        self.assertEqual(2, self.client.counters.connects)
        self.gate.send()
        self.assertEqual(KeyReply("slow"), waiting.wait().ok())
        self.wait_until(lambda: self.client.counters.closed == 1)
        self.assertEqual(1, self.client.connection_count)

    def test_late_reply_is_dropped_and_counted(self):
        server = self.start()
        waiting = eventlet.spawn(self.call, server, "slow")
        eventlet.sleep(0)
        first = eventlet.spawn(self.call, server, "slow", SHORT_S)
        self.assertIs(Code.PEER_TIMEOUT, first.wait().err().code)
        # The first call still waits on this connection; reply to the timed-out one before it.
        connection = next(iter(self.connections(server)))
        reply = pack_frame(Frame(2, encode(KeyReply("slow"))))
        connection.sendall(reply)
        self.wait_until(lambda: self.client.counters.late_replies == 1)
        self.gate.send()
        self.assertEqual(KeyReply("slow"), waiting.wait().ok())

    @staticmethod
    def connections(server):
        return server._connections

    def test_silent_connection_is_replaced(self):
        listener, address = self.listen()
        accepted = []

        def serve():
            # The first connection is accepted but never read; later ones are served.
            accepted.append(listener.accept()[0])
            while True:
                sock = listener.accept()[0]
                accepted.append(sock)
                frame = read_frame(sock).ok()
                sock.sendall(pack_frame(Frame(frame.request_id, encode(KeyReply("back")))))

        server = eventlet.spawn(serve)
        self.addCleanup(server.kill)
        first = self.call_at(address, timeout_s=SHORT_S)
        self.assertIs(Code.PEER_TIMEOUT, first.err().code)
        self.assertEqual(KeyReply("back"), self.call_at(address).ok())
        self.assertEqual((2, 1), (self.client.counters.connects, self.client.counters.closed))

    def test_unread_connection_that_blocks_sending_is_closed(self):
        _, address = self.listen()
        message = PlanReply(True, b"", bytes(MAX_MESSAGE_BYTES - 128))
        pool = eventlet.GreenPool()
        results = list(pool.imap(lambda _: self.call_at(address, message, SHORT_S), range(40)))
        codes = {result.err().code for result in results}
        self.assertLessEqual(codes, {Code.PEER_TIMEOUT, Code.PEER_UNREACHABLE})
        self.assertEqual(0, self.client.connection_count)

    def test_unreachable_peer_is_an_error_until_it_restarts(self):
        server = self.start()
        self.assert_serves(server)
        port = int(server.address.split(":")[1])
        address = server.address
        server.stop()
        for _ in range(2):
            self.assertIs(Code.PEER_UNREACHABLE, self.call_at(address).err().code)
        self.assert_serves(self.start(port=port))
        for bad in ("", "nowhere", "127.0.0.1:x", "127.0.0.1:99999", "256.1.1.1:1"):
            self.assertIs(Code.PEER_UNREACHABLE, self.call_at(bad).err().code)

    def test_error_in_the_handler_is_an_error_reply(self):
        server = self.start()
        for version, code in ((13, Code.PEER_ENTRY_FAILED), (14, Code.PEER_OVERSIZED)):
            result = self.call_at(server.address, PlanRequest(version))
            self.assertIs(code, result.err().code)
        self.assertEqual(2, server.counters.handler_failed)
        self.assert_serves(server)
        self.assertEqual(1, self.client.counters.connects)

    def test_oversized_frame_closes_its_connection_only(self):
        server = self.start()
        self.assert_serves(server)
        sock = self.connect(server)
        sock.sendall(struct.pack("!II", MAX_MESSAGE_BYTES + 1, 1))
        self.assertEqual(b"", sock.recv(100))
        self.assertEqual(1, server.counters.oversized)
        self.assert_serves(server)
        self.assertEqual(1, self.client.counters.connects)

    def test_truncated_frame_is_counted(self):
        server = self.start()
        for data in (b"\0\0", struct.pack("!II", 100, 1) + b"part"):
            sock = self.connect(server)
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            self.assertEqual(b"", sock.recv(100))
        self.assertEqual(2, server.counters.malformed)
        self.assert_serves(server)

    def test_malformed_message_is_answered_and_closes_the_connection(self):
        server = self.start()
        sock = self.connect(server)
        sock.sendall(pack_frame(Frame(5, b"not a message")))
        frame = read_frame(sock).ok()
        self.assertEqual(5, frame.request_id)
        self.assertEqual(b"", sock.recv(100))
        self.assertEqual(1, server.counters.malformed)

    def test_source_not_allowed_is_refused(self):
        server = self.start(networks=(ip_network("10.0.0.0/8"),))
        self.assertIs(Code.PEER_UNREACHABLE, self.call(server).err().code)
        self.assertEqual((1, 0), (server.counters.source_refused, server.counters.accepted))

    def test_connections_are_limited_and_idle_ones_closed(self):
        server = self.start(connection_limit=1, idle_timeout_s=SHORT_S)
        idle = self.connect(server)
        self.wait_until(lambda: server.connection_count == 1)
        self.assertIs(Code.PEER_UNREACHABLE, self.call(server).err().code)
        self.assertEqual(1, server.counters.limit_refused)
        # A frame that arrives byte by byte does not keep the connection open.
        idle.sendall(b"\0")
        self.assertEqual(b"", idle.recv(100))
        self.assertEqual(1, server.counters.idle_closed)
        self.assert_serves(server)

    def test_malformed_reply_is_an_error(self):
        listener, address = self.listen()

        def serve():
            sock = listener.accept()[0]
            for payload in (b"x" * 9, encode(ErrorReply(Code.NO_PERMIT, "none"))):
                frame = read_frame(sock).ok()
                sock.sendall(pack_frame(Frame(frame.request_id, payload)))

        eventlet.spawn(serve)
        codes = [self.call_at(address).err().code for _ in range(2)]
        self.assertEqual([Code.PEER_MALFORMED, Code.NO_PERMIT], codes)
        counters = self.client.counters
        self.assertEqual((1, 1), (counters.malformed, counters.error_replies))


if __name__ == "__main__":
    unittest.main()
