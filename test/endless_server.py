"""Server that answers requests with bytes that never end, as a process of its own."""

import socket
import sys
import threading

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What is sent once, and what is then repeated until the caller closes.
BYTES_BY_KIND = {
    "no-head": (b"", b"\xff" * 4096),
    "lines": (b"", b"garbage\r\n" * 500),
    "interim-answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 200),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 500),
    "header": (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 4096),
    "unsized-body": (b"HTTP/1.1 200 OK\r\n\r\n", b"z" * 4096),
    "chunk-size": (CHUNKED, b"1" * 4096),
    "chunks": (CHUNKED, b"400\r\n" + b"z" * 1024 + b"\r\n"),
    "trailers": (CHUNKED + b"1\r\nz\r\n0\r\n", b"X-A: b\r\n" * 500),
    "invalid-length": (b"HTTP/1.1 200 OK\r\nContent-Length: z\r\n\r\n", b"z" * 4096),
}


def main(kind, connections=1):
    """Print the port, and serve a number of connections until they are closed."""
    with socket.create_server(("127.0.0.1", 0), backlog=512) as listener:
        print(listener.getsockname()[1], flush=True)
        for _ in range(connections):
            sock, _ = listener.accept()
            threading.Thread(target=_serve, args=(sock, *BYTES_BY_KIND[kind])).start()


def _serve(sock, once, repeated):
    try:
        sock.recv(65536)
        sock.sendall(once)
        while True:
            sock.sendall(repeated)
    except OSError:
        # The caller has closed the connection.
        sock.close()


if __name__ == "__main__":
    main(sys.argv[1], *map(int, sys.argv[2:]))
