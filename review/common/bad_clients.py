"""Bad clients, each with a connection of its own, in a process of their own.

Usage: bad_clients.py PORT CLIENTS CALLS SECONDS KIND. Each client connects, sends CALLS calls at
full speed and reads what is sent to it. When the director closes the connection, or 3 s later, it
does the same again. All of this ends after SECONDS.

KIND is `requests` (requests that can be read, each with a body of 48,000 bytes) or `unreadable`
(messages of 47,000 bytes that hold no fields but a list of single bytes under an unknown number).
"""

import contextlib
import os
import random
import socket
import struct
import sys
import threading
import time

from standins import frame, request_fields, serve_frame

BODY = b"x" * 48_000
LIST_SIZE = 47_000


def requests(count):
    for number in range(1, count + 1):
        yield serve_frame(
            number,
            request_fields(
                "order",
                f"{random.getrandbits(64):016x}",
                3000,
                nonce=f"{random.getrandbits(128):032x}",
            ),
            BODY,
        )


def unreadable(count):
    items = b"\x0f\x00\x09\x03" + struct.pack(">i", LIST_SIZE) + b"\x01" * LIST_SIZE
    for number in range(1, count + 1):
        yield frame("serve", number, items + b"\x00")


def read_all(connection):
    with contextlib.suppress(OSError):
        while connection.recv(65_536):
            pass


def play(port, count, make, end):
    while time.monotonic() < end:
        with (
            contextlib.suppress(OSError),
            socket.create_connection(("127.0.0.1", port)) as connection,
        ):
            connection.settimeout(6.0)
            reader = threading.Thread(target=read_all, args=(connection,), daemon=True)
            reader.start()
            with contextlib.suppress(OSError):
                for message in make(count):
                    connection.sendall(message)
            reader.join(3.0)
        time.sleep(0.01)


def main():
    port, clients, count, seconds = (int(word) for word in sys.argv[1:5])
    make = {"requests": requests, "unreadable": unreadable}[sys.argv[5]]
    end = time.monotonic() + seconds
    for _ in range(clients):
        threading.Thread(target=play, args=(port, count, make, end), daemon=True).start()
    time.sleep(seconds)
    os._exit(0)


main()
