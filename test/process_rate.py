"""The rate of a workspace holds over all proxies together when callers send ten times that rate.

A second workspace that stays below its own rate must not be refused.
"""
import sys
import threading
import time

import psycopg2

from cluster import Cluster, run

RATE_PER_SECOND = 50
BURST = 50
OVERLOAD_FACTOR = 10
LOAD_SECONDS = 8
# Many sessions per proxy, as a refusal may come only after a wait for a share.
SESSIONS_PER_PROXY = 16
ANSWER_TIMEOUT_SECONDS = 30
# A tenth of its rate, sent over one session of each proxy in turn.
NEIGHBOUR_PER_SECOND = 5


class LoadThread(threading.Thread):
    """Thread that sends reads at a fixed rate over the given sessions in turn and counts the answers."""

    def __init__(self, connections, per_second, begin):
        super().__init__(daemon=True)
        self.connections, self.interval, self.begin = connections, 1 / per_second, begin
        self.sent, self.admitted, self.refused, self.other_errors = 0, 0, 0, []

    def run(self):
        due = self.begin
        while max(due, time.monotonic()) < self.begin + LOAD_SECONDS:
            time.sleep(max(0, due - time.monotonic()))
            self.request(self.connections[self.sent % len(self.connections)])
            self.sent += 1
            due = self.begin + self.sent * self.interval

    def request(self, connection):
        try:
            run(connection, "SELECT count(*) FROM crib")
            self.admitted += 1
        except psycopg2.Error as error:
            if error.pgcode == "53400":
                self.refused += 1
            else:
                self.other_errors.append((error.pgcode, str(error)))


def main(build):
    plans = {"small": {"databases": ["cribs"], "max_staleness_ms": 5000,
                       "rate_per_second": RATE_PER_SECOND, "burst": BURST},
             "large": {"databases": ["cribs"], "max_staleness_ms": 5000,
                       "rate_per_second": 2000, "burst": 2000}}
    workspaces = {"noisy": {"plan": "small"}, "neighbour": {"plan": "small"},
                  "counter": {"plan": "large"}}
    with Cluster(build, plans=plans, workspaces=workspaces) as cluster:
        run(cluster.connect("regina-proxy-1"), "CREATE TABLE crib (id INTEGER PRIMARY KEY)")
        connect = cluster.connect
        noisy = [connect(proxy, workspace="noisy")
                 for proxy in cluster.proxies for _ in range(SESSIONS_PER_PROXY)]
        neighbours = [connect(proxy, workspace="neighbour") for proxy in cluster.proxies]
        begin = time.monotonic()
        threads = [LoadThread([connection], RATE_PER_SECOND * OVERLOAD_FACTOR / len(noisy), begin)
                   for connection in noisy]
        neighbour = LoadThread(neighbours, NEIGHBOUR_PER_SECOND, begin)
        for thread in threads + [neighbour]:
            thread.start()
        for thread in threads + [neighbour]:
            thread.join(LOAD_SECONDS + ANSWER_TIMEOUT_SECONDS)
            assert not thread.is_alive(), "a request got no answer"
        seconds = time.monotonic() - begin
        admitted = sum(thread.admitted for thread in threads)
        refused = sum(thread.refused for thread in threads)
        other = [item for thread in threads for item in thread.other_errors]
        bound = RATE_PER_SECOND * seconds + BURST
        print(f"noisy: {admitted} admitted of {admitted + refused + len(other)} in {seconds:.2f} s, "
              f"bound {bound:.0f}, other errors {len(other)}; neighbour: "
              f"{neighbour.admitted} admitted, {neighbour.refused} refused")
        assert admitted + refused + len(other) >= 2 * bound, "the requests were not well above the rate"
        assert admitted <= bound, f"{admitted} admitted, bound {bound:.0f}"
        assert admitted > 0 and refused > 0
        assert not other, other[:5]
        assert not neighbour.refused and not neighbour.other_errors, (
            neighbour.refused, neighbour.other_errors[:5])
        assert neighbour.admitted == neighbour.sent > 0, (neighbour.admitted, neighbour.sent)


main(sys.argv[1])
