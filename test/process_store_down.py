"""Callers are served during a store outage, and a failover succeeds during it.

Proxies whose agents are frozen must refuse requests as not run once their data is no longer fresh.
"""
import sys
import time

import psycopg2

from cluster import Cluster, run, wait_for

OUTAGE_SECONDS = 15
PRIMARY_KILLED_AFTER_SECONDS = 7
FAILOVER_BOUND_SECONDS = 11
# The agents' default freshness_bound_ms, plus a second for a busy machine.
FRESHNESS_BOUND_SECONDS = 4 + 1
FROZEN_DATA_CENTRE = "winnipeg"


class Calls:
    """Writes and reads with a key, each pair in a new session; counts acknowledged writes and errors."""

    def __init__(self, cluster):
        self.cluster, self.number = cluster, 0
        self.acknowledged, self.failed = [], []

    def call(self, proxy):
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

    def call_until(self, end):
        while time.monotonic() < end:
            for proxy in self.cluster.proxies:
                self.call(proxy)
            time.sleep(0.05)


def check_outage(cluster):
    calls = Calls(cluster)
    cluster.set_faults(outage=True)
    start = time.monotonic()
    calls.call_until(start + PRIMARY_KILLED_AFTER_SECONDS)
    print(f"outage: {len(calls.acknowledged)} writes, {len(calls.failed)} failures", flush=True)
    assert not calls.failed, f"calls with a key failed during the outage: {calls.failed[:3]}"
    old = cluster.primary()
    cluster.members[old].kill()
    fault = time.monotonic()
    for proxy in cluster.proxies:
        wait_for(lambda name=proxy: calls.call(name), FAILOVER_BOUND_SECONDS, f"{proxy} writes again")
    gap = time.monotonic() - fault
    print(f"{old} was killed during the outage: every proxy wrote after {gap:.2f} s", flush=True)
    assert gap < FAILOVER_BOUND_SECONDS, gap
    calls.failed.clear()
    calls.call_until(start + OUTAGE_SECONDS)
    assert not calls.failed, f"calls with a key failed after the failover: {calls.failed[:3]}"
    cluster.set_faults(outage=False)
    calls.call_until(time.monotonic() + 1)
    assert not calls.failed, f"calls with a key failed after the outage: {calls.failed[:3]}"
    found = [row[0] for row in run(cluster.connect("regina-proxy-1"), "SELECT id FROM sale")]
    assert set(calls.acknowledged) <= set(found), set(calls.acknowledged) - set(found)
    assert len(found) == len(set(found)), "a write is duplicated"


def error_of_read(connection):
    """Returns the error of a read with a key, or None."""
    try:
        run(connection, "SELECT count(*) FROM sale")
        return None
    except psycopg2.Error as error:
        return error


def check_frozen_agents(cluster):
    """Proxies whose agents are frozen refuse requests with a key as not run; other proxies serve."""
    proxies = [name for name in cluster.proxies if name.startswith(FROZEN_DATA_CENTRE)]
    sessions = {name: cluster.connect(name) for name in proxies}
    agents = [agent for name, agent in cluster.agents.items() if name.startswith(FROZEN_DATA_CENTRE)]
    for agent in agents:
        agent.freeze()
    frozen = time.monotonic()
    time.sleep(FRESHNESS_BOUND_SECONDS)
    for name, session in sessions.items():
        error = error_of_read(session)
        assert error is not None, f"{name} serves {time.monotonic() - frozen:.1f} s after the freeze"
        assert "not run" in str(error), error
        print(f"{name}: {error.pgcode} {str(error).splitlines()[0]}", flush=True)
    for name in cluster.proxies:
        if name not in proxies:
            assert error_of_read(cluster.connect(name)) is None, f"{name} refuses"
    for agent in agents:
        agent.resume()
    for name in proxies:
        wait_for(lambda key=name: cluster.is_serving(key), FAILOVER_BOUND_SECONDS,
                 f"{name} serves again")
        assert error_of_read(cluster.connect(name)) is None, f"{name} refuses after its agent resumed"


def main(build):
    with Cluster(build) as cluster:
        run(cluster.connect("regina-proxy-1"), "CREATE TABLE sale (id INTEGER)")
        check_frozen_agents(cluster)
        check_outage(cluster)


main(sys.argv[1])
