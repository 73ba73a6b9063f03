"""A caller cancels its running statement; the session and other callers go on."""
import sys
import threading
import time

import psycopg2

from cluster import Cluster, run

SLEEP_SECONDS = 20
CANCEL_BOUND_SECONDS = 5


def main(build):
    with Cluster(build, proxies=1) as cluster:
        proxy = next(iter(cluster.proxies))
        sleeper, other = cluster.connect(proxy), cluster.connect(proxy)
        run(sleeper, "CREATE TABLE crib (id INTEGER PRIMARY KEY)")
        timer = threading.Timer(0.5, sleeper.cancel)
        timer.start()
        start = time.monotonic()
        try:
            run(sleeper, f"SELECT pg_sleep({SLEEP_SECONDS})")
            raise AssertionError("the statement was not cancelled")
        except psycopg2.errors.QueryCanceled:
            pass
        took = time.monotonic() - start
        assert took < CANCEL_BOUND_SECONDS, took
        assert run(other, "SELECT count(*) FROM crib") == [(0,)]
        assert run(sleeper, "SELECT count(*) FROM crib") == [(0,)], "the session goes on"
        print(f"cancelled after {took:.2f} s; the session and another caller go on")


main(sys.argv[1])
