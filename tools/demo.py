#!/usr/bin/python3
"""Runs a whole small system on loopback and one session through its main job."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "test"))

import psycopg2  # noqa: E402

from cluster import Cluster, position_of, run, wait_for  # noqa: E402

GIVE_UP_SECONDS = 11


def say(text):
    print(f"  {text}", flush=True)


def first_write(cluster, proxy, statement):
    """Repeats the write while it is refused as not run."""
    start = time.monotonic()
    while True:
        try:
            run(cluster.connect(proxy), statement)
            return time.monotonic() - start
        except psycopg2.Error as error:
            if "not run" not in str(error) or time.monotonic() - start > GIVE_UP_SECONDS:
                raise


def main(build):
    print("Starting: platform, 2 databases of 3 members, 3 data centres with 1 agent and 2 proxies each")
    with Cluster(build, databases=("cribs", "sales")) as cluster:
        here, there = "regina-proxy-1", "winnipeg-proxy-2"
        print(f"1. A clerk writes through {here}")
        clerk = cluster.connect(here)
        run(clerk, "CREATE TABLE crib (id INTEGER PRIMARY KEY, state TEXT)")
        say(run(clerk, "INSERT INTO crib VALUES (1, 'taken in')"))
        position = position_of(clerk)
        say(f"the session's position: {position}")

        print(f"2. The same session goes on through {there} and sees its write, on a replica")
        metric = "sycamorespan_proxy_replica_reads_total"
        before = cluster.metrics(cluster.proxy_admin[there])[metric]
        roaming = cluster.connect(there, position=position)
        say(run(roaming, "SELECT id, state FROM crib"))
        say(f"reads answered by replicas there: {before:.0f} -> "
            f"{cluster.metrics(cluster.proxy_admin[there])[metric]:.0f}")

        primary = cluster.primary()
        print(f"3. The primary {primary} is killed; the next write")
        cluster.members[primary].kill()
        gap = first_write(cluster, there, "INSERT INTO crib VALUES (2, 'after the kill')")
        say(f"accepted {gap:.2f} s after the kill; the primary is now {cluster.primary(proxy=there)}")
        say(run(cluster.connect(here, position=position), "SELECT id, state FROM crib ORDER BY id"))

        print("4. The key of workspace buyers is withdrawn while a buyer is connected")
        buyer = cluster.connect(here, workspace="buyers")
        say(run(buyer, "SELECT count(*) FROM crib"))
        cluster.key_entries["buyers"] = []
        cluster.put_configuration()
        start = time.monotonic()

        def refused():
            try:
                run(buyer, "SELECT count(*) FROM crib")
                return None
            except psycopg2.Error as error:
                return str(error).strip().splitlines()[0]

        message = wait_for(refused, 5, "the withdrawn key is refused")
        say(f"refused after {time.monotonic() - start:.2f} s: {message}")
    print("Every process of the demonstration has ended.")


main(sys.argv[1])
