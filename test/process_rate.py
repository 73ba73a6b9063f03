"""A workspace's rate over the whole fleet: ten times its rate is driven over all proxies."""
import sys
import threading
import time

import psycopg2

from cluster import Cluster, run

RATE_PER_SECOND = 50
BURST = 50
OVERLOAD = 10
DRIVE_SECONDS = 8
# Many, as a refusal may come after a wait for a share.
SESSIONS_PER_PROXY = 16
ANSWER_BOUND_SECONDS = 30
# A tenth of its rate, from one session of each proxy in turn.
NEIGHBOUR_PER_SECOND = 5


class Driver(threading.Thread):
    """Sends reads at a fixed rate over some sessions in turn and counts the answers."""

    def __init__(self, connections, per_second, begin):
        super().__init__(daemon=True)
        self.connections, self.interval, self.begin = connections, 1 / per_second, begin
        self.sent, self.admitted, self.refused, self.other = 0, 0, 0, []

    def run(self):
        due = self.begin
        while max(due, time.monotonic()) < self.begin + DRIVE_SECONDS:
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
                self.other.append((error.pgcode, str(error)))


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
        drivers = [Driver([connection], RATE_PER_SECOND * OVERLOAD / len(noisy), begin)
                   for connection in noisy]
        neighbour = Driver(neighbours, NEIGHBOUR_PER_SECOND, begin)
        for driver in drivers + [neighbour]:
            driver.start()
        for driver in drivers + [neighbour]:
            driver.join(DRIVE_SECONDS + ANSWER_BOUND_SECONDS)
            assert not driver.is_alive(), "a request got no answer"
        seconds = time.monotonic() - begin
        admitted = sum(driver.admitted for driver in drivers)
        refused = sum(driver.refused for driver in drivers)
        other = [item for driver in drivers for item in driver.other]
        bound = RATE_PER_SECOND * seconds + BURST
        print(f"noisy: {admitted} admitted of {admitted + refused + len(other)} in {seconds:.2f} s, "
              f"bound {bound:.0f}, other failures {len(other)}; neighbour: "
              f"{neighbour.admitted} admitted, {neighbour.refused} refused")
        assert admitted + refused + len(other) >= 2 * bound, "the drive is well above the rate"
        assert admitted <= bound, f"{admitted} admitted, bound {bound:.0f}"
        assert admitted > 0 and refused > 0
        assert not other, other[:5]
        assert not neighbour.refused and not neighbour.other, (neighbour.refused, neighbour.other[:5])
        assert neighbour.admitted == neighbour.sent > 0, (neighbour.admitted, neighbour.sent)


main(sys.argv[1])
