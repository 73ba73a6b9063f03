#!/usr/bin/env python3
"""Processor time, memory and bytes of the agents against their number and that of the databases.

usage: tools/measure_agents.py BUILD SECONDS AGENTS_PER_DATA_CENTRE:DATABASES ...
Three data centres, one proxy in each; nothing but control work runs. Bytes are those of the
accepted links; the agents' requests to the platform and to backend servers aren't in them.
"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "test"))

from cluster import Cluster  # pylint: disable=wrong-import-position

SETTLE_SECONDS = 3
NANOSECONDS = 1e9


def processor_seconds(pid):
    """Time that all threads of the process have run."""
    total = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{thread}/schedstat", encoding="ascii") as statistics:
            total += int(statistics.read().split()[0])
    return total / NANOSECONDS


def resident_kilobytes(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS:"))


def link_bytes(cluster):
    """Bytes on the accepted links of all agents: each link counts once, in both directions."""
    samples = [cluster.metrics(port) for port in cluster.agent_admin.values()]
    return sum(sample["sycamorespan_agent_received_bytes_total"]
               + sample["sycamorespan_agent_sent_bytes_total"] for sample in samples)


def measure(build, seconds, agents, databases):
    names = [f"cribs{number}" for number in range(databases)]
    with Cluster(build, databases=names, agents=agents, proxies=1) as cluster:
        pids = [process.popen.pid for process in cluster.agents.values()]
        time.sleep(SETTLE_SECONDS)
        bytes_before = link_bytes(cluster)
        before = [processor_seconds(pid) for pid in pids]
        time.sleep(seconds)
        used = sorted(processor_seconds(pid) - start for pid, start in zip(pids, before))
        sent = link_bytes(cluster) - bytes_before
        memory = sorted(resident_kilobytes(pid) for pid in pids)
        print(len(pids), databases, f"{100 * sum(used) / len(pids) / seconds:.3f}",
              f"{100 * used[-1] / seconds:.3f}", memory[len(memory) // 2], memory[-1],
              f"{sent / len(pids) / seconds:.0f}", flush=True)


def main():
    build, seconds = sys.argv[1], float(sys.argv[2])
    print("agents databases cpu_percent_mean cpu_percent_worst rss_kB_median rss_kB_worst "
          "link_bytes_per_s_mean")
    for point in sys.argv[3:]:
        agents, databases = point.split(":")
        measure(build, seconds, int(agents), int(databases))


if __name__ == "__main__":
    main()
