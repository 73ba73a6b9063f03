"""All processes together: write, read from a replica on another proxy, failover, withdrawn key."""
import sys
import time

import psycopg2

from cluster import Cluster, position_of, run, wait_for

FAILOVER_BOUND_SECONDS = 11
IN_FORCE_BOUND_SECONDS = 5


def write_until_accepted(cluster, proxy, statement, seconds):
    """Repeats a write while it is refused as not run; returns the seconds until it is accepted."""
    start = time.monotonic()
    while True:
        try:
            connection = cluster.connect(proxy)
            run(connection, statement)
            connection.close()
            return time.monotonic() - start
        except psycopg2.Error as error:
            if "not run" not in str(error) and error.pgcode != "57P03":
                raise
            if time.monotonic() - start > seconds:
                raise


def main(build):
    with Cluster(build) as cluster:
        first, second = "regina-proxy-1", "winnipeg-proxy-1"
        first_session = cluster.connect(first)
        run(first_session, "CREATE TABLE crib (id INTEGER PRIMARY KEY, state TEXT)")
        run(first_session, "INSERT INTO crib VALUES (1, 'taken in')")
        position = position_of(first_session)
        assert position, "the session has no position after its write"

        other_session = cluster.connect(second, position=position)
        before = cluster.metrics(cluster.proxy_admin[second])["sycamorespan_proxy_replica_reads_total"]
        assert run(other_session, "SELECT id, state FROM crib") == [(1, "taken in")]
        after = cluster.metrics(cluster.proxy_admin[second])["sycamorespan_proxy_replica_reads_total"]
        assert after == before + 1, f"the read was not answered by a replica ({before} -> {after})"
        print("a session on another proxy read its own write from a replica")

        old = cluster.primary()
        cluster.members[old].kill()
        gap = write_until_accepted(cluster, second, "INSERT INTO crib VALUES (2, 'after')",
                                   FAILOVER_BOUND_SECONDS)
        assert gap < FAILOVER_BOUND_SECONDS, gap
        print(f"first write {gap:.2f} s after the kill of {old}; primary is {cluster.primary(proxy=second)}")
        assert run(cluster.connect(second, position=position), "SELECT count(*) FROM crib") == [(2,)]

        key_session = cluster.connect(first, workspace="buyers")
        run(key_session, "SELECT count(*) FROM crib")
        cluster.key_entries["buyers"] = []
        cluster.put_configuration()
        start = time.monotonic()

        def session_is_refused():
            try:
                run(key_session, "SELECT count(*) FROM crib")
                return False
            except psycopg2.Error:
                return True

        wait_for(session_is_refused, IN_FORCE_BOUND_SECONDS,
                 "the withdrawn key is refused in a connected session")
        print(f"withdrawn key refused after {time.monotonic() - start:.2f} s in a connected session")

        def refused_by(proxy):
            try:
                cluster.connect(proxy, workspace="buyers").close()
                return False
            except psycopg2.OperationalError:
                return True

        # The bound counts from the acceptance of the version, for each proxy.
        for proxy in cluster.proxy_admin:
            left = IN_FORCE_BOUND_SECONDS - (time.monotonic() - start)
            wait_for(lambda: refused_by(proxy), left, f"{proxy} refuses the withdrawn key")
        for server in cluster.members:
            with open(f"{cluster.folder}/{server}.received", "rb") as received:
                content = received.read()
            for key in cluster.keys.values():
                secret = key.split(".")[1].encode()
                assert secret not in content, f"{server} received a key"
        print("no backend server received a key")


main(sys.argv[1])
