"""Every proxy in turn is shut down gracefully and started again while callers write over all proxies.

Guards against requests that are cut off without an answer, lost writes and a shutdown that does not wait
for open transactions.
"""
import os
import socket
import struct
import sys
import threading
import time

from cluster import Cluster, run, wait_for
from loopback import HOST

# Shorter than the proxies' drain_timeout_ms, as the test ends its open transactions itself.
DRAIN_TIMEOUT_SECONDS = 20
START_TIMEOUT_SECONDS = 30
SESSIONS_PER_PROXY = 2
OPEN_TRANSACTION_SECONDS = 0.3


class SocketSession:
    """Session on a plain socket; unlike a driver, it reports what came before the connection closed."""

    def __init__(self, cluster, proxy):
        self.socket = socket.create_connection((HOST, cluster.proxy_port[proxy]), 5)
        self.socket.settimeout(DRAIN_TIMEOUT_SECONDS)
        self.received = b""
        start = struct.pack("!I", 196608) + b"user\0counter\0database\0cribs\0\0"
        self.socket.sendall(struct.pack("!I", len(start) + 4) + start)
        self.send(b"p", cluster.keys["counter"])
        self.opened = self.read_until_ready()[0] == "ready"

    def send(self, kind, text):
        body = text.encode() + b"\0"
        self.socket.sendall(kind + struct.pack("!I", len(body) + 4) + body)

    def message(self):
        """Returns the next message, or None at the end of the connection."""
        while len(self.received) < 5 or len(self.received) < 1 + struct.unpack("!I", self.received[1:5])[0]:
            part = self.socket.recv(4096)
            if not part:
                return None
            self.received += part
        size = 1 + struct.unpack("!I", self.received[1:5])[0]
        message, self.received = self.received[:size], self.received[size:]
        return message

    def read_until_ready(self):
        """Returns "ready" or "ended", and the error messages and command tags received until then."""
        answers = []
        try:
            while message := self.message():
                if message[:1] in b"EC":
                    answers.append(message)
                if message[:1] == b"Z":
                    return "ready", answers
        except OSError as error:
            answers.append(repr(error).encode())
        return "ended", answers

    def query(self, statement):
        try:
            self.send(b"Q", statement)
        except OSError:
            pass  # Data that the proxy sent before it closed the connection is still read.
        return self.read_until_ready()


class Caller(threading.Thread):
    """Thread that inserts rows; when a proxy ends its session with 57P01, it uses another proxy."""

    def __init__(self, cluster, proxies, name):
        super().__init__(daemon=True)
        self.cluster, self.proxies, self.name = cluster, proxies, name
        self.stopping = threading.Event()
        self.acknowledged, self.lost, self.ended = [], [], 0

    def run(self):
        session, number = None, 0
        while not self.stopping.is_set():
            session = session or self.connect()
            if session is None:
                continue
            number += 1
            identifier = f"{self.name}-{number}"
            state, answers = session.query(f"INSERT INTO sale VALUES ('{identifier}')")
            text = b" ".join(answers)
            if b"INSERT 0 1" in text:
                self.acknowledged.append(identifier)
            elif b"57P01" in text:
                self.ended += 1
            elif b"not run" not in text:
                self.lost.append((identifier, state, text))
            if state == "ended":
                session.socket.close()
                session = None
            time.sleep(0.005)

    def connect(self):
        for proxy in self.proxies:
            try:
                session = SocketSession(self.cluster, proxy)
                if session.opened:
                    return session
            except OSError:
                continue
        time.sleep(0.02)
        return None


def peek_received(connection):
    """Returns received data without consuming it, or None if there is none."""
    with socket.socket(fileno=os.dup(connection.fileno())) as session:
        try:
            return session.recv(4096, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None


def restart_proxy(cluster, proxy):
    """Shuts the proxy down while a transaction is open and a session is idle, and starts it again.

    Returns the rows of the transaction.
    """
    busy, idle = cluster.connect(proxy), cluster.connect(proxy)
    busy.autocommit = False
    row = f"open-{proxy}"
    run(busy, f"INSERT INTO sale VALUES ('{row}-1')")
    process = cluster.proxies[proxy]
    process.popen.terminate()
    time.sleep(OPEN_TRANSACTION_SECONDS)
    assert process.popen.poll() is None, f"{proxy} ended with a transaction open"
    run(busy, f"INSERT INTO sale VALUES ('{row}-2')")
    busy.commit()
    message = wait_for(lambda: peek_received(idle), DRAIN_TIMEOUT_SECONDS,
                       f"{proxy} ends the idle session")
    assert b"57P01" in message, f"{proxy}: idle session got {message!r}"
    code = process.popen.wait(DRAIN_TIMEOUT_SECONDS)
    assert code == 0, f"{proxy} ended with {code}"
    process.start()
    wait_for(lambda: cluster.is_serving(proxy), START_TIMEOUT_SECONDS, f"{proxy} serves again")
    return [f"{row}-1", f"{row}-2"]


def main(build):
    with Cluster(build) as cluster:
        run(cluster.connect("regina-proxy-1"), "CREATE TABLE sale (id TEXT)")
        names = list(cluster.proxies)
        callers = [Caller(cluster, names[index:] + names[:index], f"{name}-{number}")
                   for index, name in enumerate(names) for number in range(SESSIONS_PER_PROXY)]
        for caller in callers:
            caller.start()
        expected = [row for proxy in names for row in restart_proxy(cluster, proxy)]
        for caller in callers:
            caller.stopping.set()
        for caller in callers:
            caller.join(DRAIN_TIMEOUT_SECONDS)
            assert not caller.is_alive(), f"{caller.name}: a statement got no answer"
        lost = [item for caller in callers for item in caller.lost]
        expected += [item for caller in callers for item in caller.acknowledged]
        print(f"{len(expected)} rows acknowledged, {sum(caller.ended for caller in callers)} "
              f"sessions ended, {len(lost)} requests without an answer")
        assert not lost, f"{len(lost)} requests without an answer: {lost[:5]}"
        found = [row[0] for row in run(cluster.connect(names[0]), "SELECT id FROM sale")]
        assert sorted(found) == sorted(expected), set(found) ^ set(expected)


main(sys.argv[1])
