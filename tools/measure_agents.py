#!/usr/bin/env python3
"""Processor time, memory and bytes of agents and proxies without callers, against the number of
agents, databases and workspaces.

usage: tools/measure_agents.py BUILD SECONDS AGENTS_PER_DATA_CENTRE:DATABASES:WORKSPACES ...
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


def processes_of(group):
    return [process.popen.pid for process in group.values()]


def columns(pids, before, seconds):
    """Mean and worst processor time in percent, median and worst memory in kB."""
    used = sorted(processor_seconds(pid) - start for pid, start in zip(pids, before))
    memory = sorted(resident_kilobytes(pid) for pid in pids)
    return [f"{100 * sum(used) / len(pids) / seconds:.3f}", f"{100 * used[-1] / seconds:.3f}",
            memory[len(memory) // 2], memory[-1]]


def measure(build, seconds, agents, databases, workspaces):
    names = [f"cribs{number}" for number in range(databases)]
    entries = {f"workspace{number}": {"plan": "shop"} for number in range(workspaces)}
    with Cluster(build, databases=names, agents=agents, proxies=1, workspaces=entries) as cluster:
        groups = [processes_of(cluster.agents), processes_of(cluster.proxies)]
        time.sleep(SETTLE_SECONDS)
        bytes_before = link_bytes(cluster)
        before = [[processor_seconds(pid) for pid in pids] for pids in groups]
        time.sleep(seconds)
        results = [columns(pids, start, seconds) for pids, start in zip(groups, before)]
        sent = link_bytes(cluster) - bytes_before
        print(len(groups[0]), databases, workspaces, *results[0],
              f"{sent / len(groups[0]) / seconds:.0f}", *results[1], flush=True)


def main():
    build, seconds = sys.argv[1], float(sys.argv[2])
    print("agents databases workspaces agent:cpu_percent_mean agent:cpu_percent_worst "
          "agent:rss_kB_median agent:rss_kB_worst agent:link_bytes_per_s proxy:cpu_percent_mean "
          "proxy:cpu_percent_worst proxy:rss_kB_median proxy:rss_kB_worst")
    for point in sys.argv[3:]:
        measure(build, seconds, *(int(number) for number in point.split(":")))


if __name__ == "__main__":
    main()
