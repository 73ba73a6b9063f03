#!/usr/bin/env python3
"""Measures processor time, memory and link traffic of agents and proxies without callers.

Each argument after SECONDS names one combination of agents, databases and workspaces.

usage: tools/measure_agents.py BUILD SECONDS AGENTS_PER_DATA_CENTRE:DATABASES:WORKSPACES ...
The system has three data centres with one proxy each and runs only control work. The byte counts
cover the links that agents accepted, not the agents' requests to the platform and backend servers.
"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "test"))

from cluster import Cluster  # pylint: disable=wrong-import-position

SETTLING_SECONDS = 3
NANOSECONDS_PER_SECOND = 1e9


def processor_seconds(pid):
    """Returns the processor time used by all threads of the process, in seconds."""
    total = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{thread}/schedstat", encoding="ascii") as statistics:
            total += int(statistics.read().split()[0])
    return total / NANOSECONDS_PER_SECOND


def resident_kilobytes(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS:"))


def link_bytes(cluster):
    """Returns the bytes received and sent on the accepted links of all agents.

    Only the accepting end counts a link, so that each link counts once.
    """
    samples = [cluster.metrics(port) for port in cluster.agent_admin.values()]
    return sum(sample["sycamorespan_agent_received_bytes_total"]
               + sample["sycamorespan_agent_sent_bytes_total"] for sample in samples)


def process_ids(group):
    return [process.popen.pid for process in group.values()]


def usage_columns(pids, before, seconds):
    """Returns mean and maximum processor time in percent, median and maximum memory in kB."""
    used = sorted(processor_seconds(pid) - start for pid, start in zip(pids, before))
    memory = sorted(resident_kilobytes(pid) for pid in pids)
    return [f"{100 * sum(used) / len(pids) / seconds:.3f}", f"{100 * used[-1] / seconds:.3f}",
            memory[len(memory) // 2], memory[-1]]


def measure(build, seconds, agents, databases, workspaces):
    names = [f"cribs{number}" for number in range(databases)]
    entries = {f"workspace{number}": {"plan": "shop"} for number in range(workspaces)}
    with Cluster(build, databases=names, agents=agents, proxies=1, workspaces=entries) as cluster:
        groups = [process_ids(cluster.agents), process_ids(cluster.proxies)]
        time.sleep(SETTLING_SECONDS)
        bytes_before = link_bytes(cluster)
        before = [[processor_seconds(pid) for pid in pids] for pids in groups]
        time.sleep(seconds)
        results = [usage_columns(pids, start, seconds) for pids, start in zip(groups, before)]
        transferred = link_bytes(cluster) - bytes_before
        print(len(groups[0]), databases, workspaces, *results[0],
              f"{transferred / len(groups[0]) / seconds:.0f}", *results[1], flush=True)


def main():
    build, seconds = sys.argv[1], float(sys.argv[2])
    print("agents databases workspaces agent:cpu_percent_mean agent:cpu_percent_worst "
          "agent:rss_kB_median agent:rss_kB_worst agent:link_bytes_per_s proxy:cpu_percent_mean "
          "proxy:cpu_percent_worst proxy:rss_kB_median proxy:rss_kB_worst")
    for point in sys.argv[3:]:
        measure(build, seconds, *(int(number) for number in point.split(":")))


if __name__ == "__main__":
    main()
