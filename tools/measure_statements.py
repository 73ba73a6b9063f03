#!/usr/bin/env python3
"""Measures the processor time that one proxy uses per statement and per connection with a key.

usage: tools/measure_statements.py BUILD [STATEMENTS ...]
"""
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "test"))

from cluster import Cluster, run  # pylint: disable=wrong-import-position
from measure_agents import processor_seconds  # pylint: disable=wrong-import-position

DEFAULT_STATEMENTS = [500, 1000, 2000]
CONNECTION_COUNTS = [100, 200, 400]
MICROSECONDS_PER_SECOND = 1e6


def main():
    build = sys.argv[1]
    counts = [int(text) for text in sys.argv[2:]] or DEFAULT_STATEMENTS
    plans = {"shop": {"databases": ["cribs"], "max_staleness_ms": 5000,
                      "rate_per_second": 1000000, "burst": 1000000}}
    with Cluster(build, proxies=1, plans=plans) as cluster:
        proxy = next(iter(cluster.proxies))
        pid = cluster.proxies[proxy].popen.pid
        session = cluster.connect(proxy)
        run(session, "CREATE TABLE crib (id INTEGER)")
        print("kind statements processor_us_each")
        for kind, text in (("read", "SELECT count(*) FROM crib WHERE id = 7"),
                           ("write", "INSERT INTO crib VALUES (7)")):
            for count in counts:
                before = processor_seconds(pid)
                for _ in range(count):
                    run(session, text)
                used = processor_seconds(pid) - before
                print(kind, count, f"{MICROSECONDS_PER_SECOND * used / count:.1f}", flush=True)
        session.close()
        for count in CONNECTION_COUNTS:
            before = processor_seconds(pid)
            for _ in range(count):
                cluster.connect(proxy).close()
            used = processor_seconds(pid) - before
            print("connect", count, f"{MICROSECONDS_PER_SECOND * used / count:.1f}", flush=True)


if __name__ == "__main__":
    main()
