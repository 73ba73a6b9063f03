"""Broken and hostile callers get a clear error or a deadline, while another caller is served."""
import os
import socket
import struct
import sys
import time

import psycopg2

from cluster import Cluster, run
from loopback import HOST

PROXY = "regina-proxy-1"
# The proxies' default startup_timeout_ms, and some seconds for a busy machine.
STARTUP_BOUND_SECONDS = 5 + 3
PROTOCOL_3 = 196608
HUGE_LENGTH = 0x7FFFFFFF
UNSUPPORTED = ("COPY crib FROM STDIN", "COPY crib TO STDOUT", "LISTEN news",
               "BEGIN; INSERT INTO crib VALUES (99); COMMIT", "INSERT INTO crib VALUES (99); BEGIN")


def raw(cluster):
    return socket.create_connection((HOST, cluster.proxy_port[PROXY]), STARTUP_BOUND_SECONDS)


def startup(user, database):
    body = struct.pack("!I", PROTOCOL_3) + f"user\0{user}\0database\0{database}\0\0".encode()
    return struct.pack("!I", len(body) + 4) + body


def received_until_closed(link):
    """All bytes up to the end of the connection, which must come within the bound."""
    link.settimeout(STARTUP_BOUND_SECONDS)
    received = b""
    try:
        while part := link.recv(4096):
            received += part
    except ConnectionResetError:
        pass
    return received


def assert_closed(cluster, name, sent, served):
    with raw(cluster) as link:
        start = time.monotonic()
        link.sendall(sent)
        served()
        received = received_until_closed(link)
        print(f"{name}: closed after {time.monotonic() - start:.2f} s with {received[:100]!r}", flush=True)
        assert b"FATAL" in received, f"{name}: no clear error"


def assert_refused(cluster, served, **arguments):
    """The connection is refused by a message of the proxy, without the key."""
    try:
        cluster.connect(PROXY, **arguments)
    except psycopg2.OperationalError as error:
        assert "FATAL" in str(error), error
        print(f"{arguments}: {str(error).strip().splitlines()[-1]}"
              .replace(arguments.get("key") or "\0", "KEY"), flush=True)
        served()
        return
    raise AssertionError(f"connected with {arguments}")


def code_of(connection, statement):
    try:
        run(connection, statement)
    except psycopg2.Error as error:
        return error.pgcode
    return None


def assert_no_key_in_logs(cluster, secrets):
    for name in os.listdir(cluster.folder):
        path = os.path.join(cluster.folder, name)
        if not name.endswith((".log", ".received")):
            continue
        with open(path, "rb") as file:
            content = file.read()
        for secret in secrets:
            assert secret.encode() not in content, f"{name} holds a key"


def main(build):
    with Cluster(build, proxies=1) as cluster:
        other = cluster.connect(PROXY)
        run(other, "CREATE TABLE crib (id INTEGER PRIMARY KEY)")
        run(other, "INSERT INTO crib VALUES (1)")

        def served():
            assert run(other, "SELECT id FROM crib") == [(1,)]

        assert_closed(cluster, "garbage", os.urandom(4096), served)
        assert_closed(cluster, "HTTP", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", served)
        assert_closed(cluster, "oversized start-up", struct.pack("!II", HUGE_LENGTH, PROTOCOL_3), served)
        assert_closed(cluster, "start-up that never ends", startup("counter", "cribs")[:-3], served)
        assert_closed(cluster, "nothing sent", b"", served)
        assert_closed(cluster, "no password sent", startup("counter", "cribs"), served)
        assert_closed(cluster, "oversized password",
                      startup("counter", "cribs") + b"p" + struct.pack("!I", HUGE_LENGTH), served)

        right = cluster.keys["counter"]
        wrong_secret = right.split(".")[0] + "." + "ab" * 32
        unknown_key = "cdcdcdcdcdcd." + "ef" * 32
        assert_refused(cluster, served, workspace="nobody", key=unknown_key)
        assert_refused(cluster, served, key=wrong_secret)
        assert_refused(cluster, served, key=unknown_key)
        assert_refused(cluster, served, key=cluster.keys["buyers"])
        assert_refused(cluster, served, database="nowhere")

        for statement in UNSUPPORTED:
            session = cluster.connect(PROXY)
            code = code_of(session, statement)
            print(f"{statement}: {code}", flush=True)
            assert code == "0A000", f"{statement}: {code}"
            assert run(session, "SELECT id FROM crib") == [(1,)], "the session goes on, and nothing ran"
            session.close()
        served()
        keys = [*cluster.keys.values(), wrong_secret, unknown_key]
        assert_no_key_in_logs(cluster, [key.split(".")[1] for key in keys])
        print("no log holds a key")


main(sys.argv[1])
