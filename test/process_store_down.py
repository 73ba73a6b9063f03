"""The platform is down: the system goes on, and a primary that dies meanwhile is replaced."""
import sys
import time

import psycopg2

from cluster import Cluster, run, wait_for

OUTAGE_SECONDS = 15
PRIMARY_DIES_AFTER_SECONDS = 7
FAILOVER_BOUND_SECONDS = 11
# The agents' default freshness_bound_ms, and a second for a busy machine.
FRESHNESS_BOUND_SECONDS = 4 + 1
CUT_OFF = "winnipeg"


class Calls:
    """One keyed write and read after the other, each over the next proxy in a new session."""

    def __init__(self, cluster):
        self.cluster, self.number = cluster, 0
        self.acknowledged, self.failed = [], []

    def once(self, proxy):
        self.number += 1
        try:
            connection = self.cluster.connect(proxy)
            run(connection, f"INSERT INTO sale VALUES ({self.number})")
            self.acknowledged.append(self.number)
            found = run(connection, f"SELECT id FROM sale WHERE id = {self.number}")
            assert found == [(self.number,)], f"{proxy}: write {self.number} is not read: {found}"
            connection.close()
            return True
        except psycopg2.Error as error:
            self.failed.append((proxy, error.pgcode, str(error)))
            return False

    def until(self, end):
        while time.monotonic() < end:
            for proxy in self.cluster.proxies:
                self.once(proxy)
            time.sleep(0.05)


def outage(cluster):
    calls = Calls(cluster)
    cluster.faults(outage=True)
    start = time.monotonic()
    calls.until(start + PRIMARY_DIES_AFTER_SECONDS)
    print(f"outage: {len(calls.acknowledged)} writes, {len(calls.failed)} failures", flush=True)
    assert not calls.failed, f"keyed calls failed in the outage: {calls.failed[:3]}"
    old = cluster.primary()
    cluster.members[old].kill()
    fault = time.monotonic()
    for proxy in cluster.proxies:
        wait_for(lambda name=proxy: calls.once(name), FAILOVER_BOUND_SECONDS, f"{proxy} writes again")
    gap = time.monotonic() - fault
    print(f"{old} killed in the outage: every proxy wrote after {gap:.2f} s", flush=True)
    assert gap < FAILOVER_BOUND_SECONDS, gap
    calls.failed.clear()
    calls.until(start + OUTAGE_SECONDS)
    assert not calls.failed, f"keyed calls failed after the change: {calls.failed[:3]}"
    cluster.faults(outage=False)
    calls.until(time.monotonic() + 1)
    assert not calls.failed, f"keyed calls failed after the outage: {calls.failed[:3]}"
    found = [row[0] for row in run(cluster.connect("regina-proxy-1"), "SELECT id FROM sale")]
    assert set(calls.acknowledged) <= set(found), set(calls.acknowledged) - set(found)
    assert len(found) == len(set(found)), "a write is doubled"


def refusal(connection):
    """The error of a keyed read, or None."""
    try:
        run(connection, "SELECT count(*) FROM sale")
        return None
    except psycopg2.Error as error:
        return error


def frozen_agents(cluster):
    """Proxies whose agents are frozen refuse requests with a key as not run; the others serve."""
    proxies = [name for name in cluster.proxies if name.startswith(CUT_OFF)]
    sessions = {name: cluster.connect(name) for name in proxies}
    agents = [agent for name, agent in cluster.agents.items() if name.startswith(CUT_OFF)]
    for agent in agents:
        agent.stop()
    frozen = time.monotonic()
    time.sleep(FRESHNESS_BOUND_SECONDS)
    for name, session in sessions.items():
        error = refusal(session)
        assert error is not None, f"{name} serves {time.monotonic() - frozen:.1f} s after the freeze"
        assert "not run" in str(error), error
        print(f"{name}: {error.pgcode} {str(error).splitlines()[0]}", flush=True)
    for name in cluster.proxies:
        if name not in proxies:
            assert refusal(cluster.connect(name)) is None, f"{name} refuses"
    for agent in agents:
        agent.resume()
    for name in proxies:
        wait_for(lambda key=name: cluster.serves(key), FAILOVER_BOUND_SECONDS, f"{name} serves again")
        assert refusal(cluster.connect(name)) is None, f"{name} refuses after the agent's return"


def main(build):
    with Cluster(build) as cluster:
        run(cluster.connect("regina-proxy-1"), "CREATE TABLE sale (id INTEGER)")
        frozen_agents(cluster)
        outage(cluster)


main(sys.argv[1])
