"""A caller cancels its running statement; its session and another caller are still served."""
import sys
import threading
import time

import psycopg2

from cluster import Cluster, run

SLEEP_SECONDS = 20
CANCEL_TIMEOUT_SECONDS = 5


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
        elapsed = time.monotonic() - start
        assert elapsed < CANCEL_TIMEOUT_SECONDS, elapsed
        assert run(other, "SELECT count(*) FROM crib") == [(0,)]
        assert run(sleeper, "SELECT count(*) FROM crib") == [(0,)], "the session must go on"
        print(f"cancelled after {elapsed:.2f} s; the session and another caller are still served")


main(sys.argv[1])
