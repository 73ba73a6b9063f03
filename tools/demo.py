#!/usr/bin/python3
"""Demonstrates reading one's own writes, failover and key withdrawal on a small loopback system."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "test"))

import psycopg2  # noqa: E402

from cluster import Cluster, position_of, run, wait_for  # noqa: E402

WRITE_RETRY_TIMEOUT_SECONDS = 11


def print_detail(text):
    print(f"  {text}", flush=True)


def retry_write(cluster, proxy, statement):
    """Retries the write while the proxy reports that it did not run; returns the seconds taken."""
    start = time.monotonic()
    while True:
        try:
            run(cluster.connect(proxy), statement)
            return time.monotonic() - start
        except psycopg2.Error as error:
            if ("not run" not in str(error)
                    or time.monotonic() - start > WRITE_RETRY_TIMEOUT_SECONDS):
                raise


def main(build):
    print("Starting: platform, 2 databases of 3 members, 3 data centres with 1 agent and 2 proxies each")
    with Cluster(build, databases=("cribs", "sales")) as cluster:
        first_proxy, second_proxy = "regina-proxy-1", "winnipeg-proxy-2"
        print(f"1. A clerk writes through {first_proxy}")
        writer = cluster.connect(first_proxy)
        run(writer, "CREATE TABLE crib (id INTEGER PRIMARY KEY, state TEXT)")
        print_detail(run(writer, "INSERT INTO crib VALUES (1, 'taken in')"))
        position = position_of(writer)
        print_detail(f"the session's position: {position}")

        print(f"2. The same session continues through {second_proxy} "
              "and reads its write from a replica")
        metric = "sycamorespan_proxy_replica_reads_total"
        before = cluster.metrics(cluster.proxy_admin[second_proxy])[metric]
        continued = cluster.connect(second_proxy, position=position)
        print_detail(run(continued, "SELECT id, state FROM crib"))
        print_detail(f"reads of this proxy that replicas answered: {before:.0f} -> "
                     f"{cluster.metrics(cluster.proxy_admin[second_proxy])[metric]:.0f}")

        primary = cluster.primary()
        print(f"3. The primary {primary} is killed; "
              "the next write is retried until a new primary accepts it")
        cluster.members[primary].kill()
        failover_seconds = retry_write(cluster, second_proxy,
                                       "INSERT INTO crib VALUES (2, 'after the kill')")
        print_detail(f"accepted {failover_seconds:.2f} s after the kill; "
                     f"the primary is now {cluster.primary(proxy=second_proxy)}")
        print_detail(run(cluster.connect(first_proxy, position=position),
                         "SELECT id, state FROM crib ORDER BY id"))

        print("4. The key of workspace buyers is withdrawn while a buyer is connected")
        buyer = cluster.connect(first_proxy, workspace="buyers")
        print_detail(run(buyer, "SELECT count(*) FROM crib"))
        cluster.key_entries["buyers"] = []
        cluster.put_configuration()
        start = time.monotonic()

        def refusal_message():
            try:
                run(buyer, "SELECT count(*) FROM crib")
                return None
            except psycopg2.Error as error:
                return str(error).strip().splitlines()[0]

        message = wait_for(refusal_message, 5, "the withdrawn key is refused")
        print_detail(f"refused after {time.monotonic() - start:.2f} s: {message}")
    print("Every process of the demonstration has ended.")


main(sys.argv[1])
