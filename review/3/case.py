"""A long request that a client writes slowly: does its client get the whole answer?"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import Agent, CannotRun, Counter, PriceServer, Reader, answer, connect, head_of, new_id, request_class, run_case

REQUESTS = 6  # of each client, one after another
CLIENTS = 4
BODY_BYTES = 384 * 1024  # of a request
BYTES_PER_S = 96 * 1024  # at which a client writes it; the pages allow a client 64 kB a second
TIMEOUT_MS = 2000  # that a client waits, from the request's last byte
ANSWER_BYTES = 48 * 1024
WORK_S = 0.100
GAP_S = 0.100  # between the two pieces of an answer
NAME = "price-upload"


def case(record, platform, trouble):
    lock = threading.Lock()

    def handle(request, connection):
        record("server: %s runs, %d bytes" % (request.id, len(request.body)))
        time.sleep(WORK_S)
        text = answer("200 OK", b"x" * ANSWER_BYTES)
        connection.sendall(text[:len(text) // 2])
        time.sleep(GAP_S)
        try:
            connection.sendall(text[len(text) // 2:])
            record("server: %s is answered whole" % request.id)
        except OSError as x:
            record("server: the connection of %s has ended before its answer was whole: %s" % (request.id, x))
            raise

    servers = [PriceServer("s-%08x" % (i + 1), handle) for i in range(3)]
    agent, counter = Agent([s.member() for s in servers]), Counter()
    address = platform.start([request_class(NAME, "unsafe", 2, 4)], agent, counter)
    breaks, counts = [], {}

    def client(number):
        for _ in range(REQUESTS):
            request_id, status, got, whole = new_id(), "none", b"", False
            with connect(address, 20) as connection:
                reader = Reader(connection)
                start, sent = time.monotonic(), 0
                try:
                    connection.sendall(head_of("POST", NAME, request_id, 100 + number, TIMEOUT_MS,
                                               "Content-Length: %d\r\n" % BODY_BYTES))
                    while sent < BODY_BYTES:
                        connection.sendall(b"b" * 4096)
                        sent += 4096
                        if trouble:
                            time.sleep(max(0, start + sent / BYTES_PER_S - time.monotonic()))
                except OSError as x:  # an answer may have come before
                    record("client %d: %s is written up to %d bytes: %s" % (number, request_id, sent, x))
                last_byte = time.monotonic()
                record("client %d: %s is written, in %.2f s" % (number, request_id, last_byte - start))
                try:
                    head = reader.head()
                    if head:
                        status = head[0].split(" ")[1]
                        got, whole = reader.body(head[1])
                except OSError as x:
                    status = "none: %s" % x
                took = time.monotonic() - last_byte
            record("client %d: %s answered %s, %d bytes, %s, %.3f s after its last byte"
                   % (number, request_id, status, len(got), "whole" if whole else "not whole", took))
            with lock:
                key = status + (" whole" if whole else " not whole")
                counts[key] = counts.get(key, 0) + 1
                if not whole:
                    breaks.append("%s: answer %s cut off after %d of %d bytes, %.3f s after the request's last byte"
                                  % (request_id, status, len(got), ANSWER_BYTES, took))

    threads = [threading.Thread(target=client, args=(n,)) for n in range(CLIENTS)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    record("answers to clients: %s" % counts)
    print("answers to clients: %s" % counts)
    if not any(key.startswith("200") for key in counts):
        raise CannotRun("no request was served")
    return breaks


run_case(case)
