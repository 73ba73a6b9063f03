"""Callers that send invalid data, wrong keys or nothing get an error within a time limit, while another
caller is served. No key appears in a log or reaches a backend server."""
import os
import socket
import struct
import sys
import time

import psycopg2

from cluster import Cluster, run
from loopback import HOST

PROXY = "regina-proxy-1"
# The proxies' default startup_timeout_ms, plus some seconds for a busy machine.
STARTUP_TIMEOUT_SECONDS = 5 + 3
PROTOCOL_3 = 196608
OVERSIZED_LENGTH = 0x7FFFFFFF
UNSUPPORTED_STATEMENTS = ("COPY crib FROM STDIN", "COPY crib TO STDOUT", "LISTEN news",
                          "BEGIN; INSERT INTO crib VALUES (99); COMMIT",
                          "INSERT INTO crib VALUES (99); BEGIN")


def open_socket(cluster):
    return socket.create_connection((HOST, cluster.proxy_port[PROXY]), STARTUP_TIMEOUT_SECONDS)


def startup_message(user, database):
    body = struct.pack("!I", PROTOCOL_3) + f"user\0{user}\0database\0{database}\0\0".encode()
    return struct.pack("!I", len(body) + 4) + body


def received_until_closed(connection):
    """Returns the bytes received until the proxy closes the connection, which must be in time."""
    connection.settimeout(STARTUP_TIMEOUT_SECONDS)
    received = b""
    try:
        while part := connection.recv(4096):
            received += part
    except ConnectionResetError:
        pass
    return received


def assert_closed(cluster, name, sent, assert_served):
    """Sends bytes that the proxy must answer with a fatal error and the end of the connection."""
    with open_socket(cluster) as connection:
        start = time.monotonic()
        connection.sendall(sent)
        assert_served()
        received = received_until_closed(connection)
        print(f"{name}: closed after {time.monotonic() - start:.2f} s with {received[:100]!r}", flush=True)
        assert b"FATAL" in received, f"{name}: the proxy sent no fatal error"


def assert_refused(cluster, assert_served, **arguments):
    """Checks that the proxy refuses the connection with an error, and prints it without the key."""
    try:
        cluster.connect(PROXY, **arguments)
    except psycopg2.OperationalError as error:
        assert "FATAL" in str(error), error
        print(f"{arguments}: {str(error).strip().splitlines()[-1]}"
              .replace(arguments.get("key") or "\0", "KEY"), flush=True)
        assert_served()
        return
    raise AssertionError(f"connected with {arguments}")


def sqlstate_of(connection, statement):
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
            assert secret.encode() not in content, f"{name} contains a key"


def main(build):
    with Cluster(build, proxies=1) as cluster:
        other = cluster.connect(PROXY)
        run(other, "CREATE TABLE crib (id INTEGER PRIMARY KEY)")
        run(other, "INSERT INTO crib VALUES (1)")

        def assert_served():
            assert run(other, "SELECT id FROM crib") == [(1,)]

        assert_closed(cluster, "garbage", os.urandom(4096), assert_served)
        assert_closed(cluster, "HTTP", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", assert_served)
        assert_closed(cluster, "oversized start-up", struct.pack("!II", OVERSIZED_LENGTH, PROTOCOL_3),
                      assert_served)
        assert_closed(cluster, "incomplete start-up", startup_message("counter", "cribs")[:-3],
                      assert_served)
        assert_closed(cluster, "nothing sent", b"", assert_served)
        assert_closed(cluster, "no password sent", startup_message("counter", "cribs"), assert_served)
        assert_closed(cluster, "oversized password",
                      startup_message("counter", "cribs") + b"p" + struct.pack("!I", OVERSIZED_LENGTH),
                      assert_served)

        valid_key = cluster.keys["counter"]
        wrong_secret = valid_key.split(".")[0] + "." + "ab" * 32
        unknown_key = "cdcdcdcdcdcd." + "ef" * 32
        assert_refused(cluster, assert_served, workspace="nobody", key=unknown_key)
        assert_refused(cluster, assert_served, key=wrong_secret)
        assert_refused(cluster, assert_served, key=unknown_key)
        assert_refused(cluster, assert_served, key=cluster.keys["buyers"])
        assert_refused(cluster, assert_served, database="nowhere")

        for statement in UNSUPPORTED_STATEMENTS:
            session = cluster.connect(PROXY)
            code = sqlstate_of(session, statement)
            print(f"{statement}: {code}", flush=True)
            assert code == "0A000", f"{statement}: {code}"
            assert run(session, "SELECT id FROM crib") == [(1,)], "the refused statement took effect"
            session.close()
        assert_served()
        keys = [*cluster.keys.values(), wrong_secret, unknown_key]
        assert_no_key_in_logs(cluster, [key.split(".")[1] for key in keys])
        print("no log file contains a key")


main(sys.argv[1])
