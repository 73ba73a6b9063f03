#!/usr/bin/env python3
"""Measures the resident memory of one proxy for several numbers of idle callers.

usage: tools/measure_idle_sessions.py BUILD [SESSIONS ...]
"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "test"))

from cluster import Cluster, run  # pylint: disable=wrong-import-position

DEFAULT_SESSIONS = [0, 200, 400, 800]
SETTLING_SECONDS = 1


def resident_kilobytes(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS:"))


def main():
    build = sys.argv[1]
    counts = [int(text) for text in sys.argv[2:]] or DEFAULT_SESSIONS
    print("ran_statement sessions VmRSS_kB")
    for runs_statement in (False, True):
        measure(build, counts, runs_statement)


def measure(build, counts, runs_statement):
    """Measures increasing numbers of callers that each run one statement, or none."""
    with Cluster(build, proxies=1) as cluster:
        proxy = next(iter(cluster.proxies))
        pid = cluster.proxies[proxy].popen.pid
        sessions = []
        for count in counts:
            while len(sessions) < count:
                sessions.append(cluster.connect(proxy))
                if runs_statement:
                    run(sessions[-1], "SELECT 1")
            time.sleep(SETTLING_SECONDS)
            print(int(runs_statement), count, resident_kilobytes(pid), flush=True)
        for session in sessions:
            session.close()


if __name__ == "__main__":
    main()
