"""Writes in flight on a primary that is frozen get their answers within the bound of a failover."""
import sys
import time

from cluster import Cluster, run
from process_failover_faults import ANSWER_BOUND_SECONDS, FAILOVER_BOUND_SECONDS, Stream

SECONDS_BEFORE_FAULT = 1
# Long enough for each session to have a write under way, shorter than the detection of the failure.
IN_FLIGHT_SECONDS = 0.3


def main(build):
    with Cluster(build) as cluster:
        run(cluster.connect("regina-proxy-1"), "CREATE TABLE sale (id TEXT)")
        stream = Stream(cluster, "in-flight")
        time.sleep(SECONDS_BEFORE_FAULT)
        fault = time.monotonic()
        cluster.members[cluster.primary()].freeze()
        time.sleep(IN_FLIGHT_SECONDS)
        for writer in stream.writers:
            writer.stopping.set()
        for writer in stream.writers:
            writer.join(ANSWER_BOUND_SECONDS)
            assert not writer.is_alive(), f"{writer.name}: a statement got no answer"
        seconds = time.monotonic() - fault
        print(f"{len(stream.all('unknown'))} writes with unknown outcome; "
              f"the last answer came after {seconds:.2f} s")
        assert stream.all("unknown"), "no write was in flight"
        assert not stream.all("unexpected"), stream.all("unexpected")[:5]
        assert seconds < FAILOVER_BOUND_SECONDS, f"the last answer came after {seconds:.2f} s"


main(sys.argv[1])
