"""Server that answers one request with bytes that never end, as a process of its own."""

import socket
import sys

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


def main(kind):
    """Print the port, and serve one connection until it is closed."""
    once, repeated = BYTES_BY_KIND[kind]
    with socket.create_server(("127.0.0.1", 0)) as listener:
        print(listener.getsockname()[1], flush=True)
        sock, _ = listener.accept()
    try:
        sock.recv(65536)
        sock.sendall(once)
        while True:
            sock.sendall(repeated)
    except OSError:
        # The caller has closed the connection.
        return


if __name__ == "__main__":
    main(sys.argv[1])
