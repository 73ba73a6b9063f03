"""Failovers during writes over all proxies: the primary is frozen, killed, or killed twice in a row.

Guards against acknowledged writes that are lost, writes that are executed twice or although they were
reported as not run, and a failover that takes too long. The old primary must become a replica.
"""
import collections
import contextlib
import sys
import threading
import time

import psycopg2

from cluster import Cluster, run, wait_for

# Upper bound that the users require for a failover.
FAILOVER_BOUND_SECONDS = 11
# The proxies' default statement_timeout_ms, plus some seconds for a busy machine.
ANSWER_BOUND_SECONDS = 30 + 5
SECONDS_BEFORE_FAULT = 1
SESSIONS_PER_PROXY = 2


class Writer(threading.Thread):
    """Thread that inserts rows over one proxy; each attempt has a unique identifier."""

    def __init__(self, cluster, proxy, name):
        super().__init__(daemon=True)
        self.cluster, self.proxy, self.name = cluster, proxy, name
        self.stopping = threading.Event()
        self.attempts = 0
        self.acknowledged, self.not_run, self.unknown, self.unexpected = [], [], [], []

    def run(self):
        connection = None
        while not self.stopping.is_set():
            try:
                if connection is None or connection.closed:
                    connection = self.cluster.connect(self.proxy)
            except psycopg2.Error:
                time.sleep(0.05)
                continue
            self.write(connection)
            time.sleep(0.02)
        if connection is not None:
            connection.close()

    def write(self, connection):
        self.attempts += 1
        identifier = f"{self.name}-{self.attempts}"
        try:
            tag = run(connection, f"INSERT INTO sale VALUES ('{identifier}')")
            assert tag == "INSERT 0 1", tag
            self.acknowledged.append(identifier)
        except psycopg2.Error as error:
            if "not run" in str(error):
                self.not_run.append(identifier)
            else:
                self.unknown.append(identifier)
                if error.pgcode != "08007":
                    self.unexpected.append((identifier, error.pgcode, str(error)))


class Probe(Writer):
    """Writer that stops at the first acknowledged write; each attempt is in a new session."""

    def run(self):
        while not self.stopping.is_set() and not self.acknowledged:
            try:
                with contextlib.closing(self.cluster.connect(self.proxy)) as connection:
                    self.write(connection)
            except psycopg2.Error:
                pass
            time.sleep(0.02)
        self.end = time.monotonic()


class Stream:
    """Writers on all proxies, which run at the same time."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.writers = [Writer(cluster, proxy, f"{name}-{proxy}-{number}")
                        for proxy in cluster.proxies for number in range(SESSIONS_PER_PROXY)]
        for writer in self.writers:
            writer.start()

    def wait_for_writes(self, fault, old):
        """Returns the seconds from the fault until every proxy has acknowledged a write.

        Only writes of sessions begun after the failover count. An earlier session may wait for the
        unresponsive primary; process_failover_in_flight.py tests how soon it gets its answer.
        """
        for proxy in self.cluster.proxies:
            wait_for(lambda name=proxy: self.cluster.primary(proxy=name) not in (old, None),
                     FAILOVER_BOUND_SECONDS, f"{proxy} knows a new primary")
        print(f"every proxy knows a new primary after {time.monotonic() - fault:.2f} s", flush=True)
        probes = [Probe(self.cluster, proxy, f"probe-{old}-{proxy}") for proxy in self.cluster.proxies]
        self.writers += probes
        for probe in probes:
            probe.start()
        for probe in probes:
            probe.join(ANSWER_BOUND_SECONDS)
            assert probe.acknowledged, f"{probe.proxy} acknowledges no write"
        return max(probe.end for probe in probes) - fault

    def finish(self):
        for writer in self.writers:
            writer.stopping.set()
        deadline = time.monotonic() + ANSWER_BOUND_SECONDS
        for writer in self.writers:
            writer.join(max(0, deadline - time.monotonic()))
            assert not writer.is_alive(), f"{writer.name}: a statement got no answer"

    def all(self, kind):
        return [item for writer in self.writers for item in getattr(writer, kind)]


def measure_failover(cluster, stream, fail):
    """Makes the primary fail; returns its name and the seconds until every proxy accepts writes."""
    old = cluster.primary()
    fault = time.monotonic()
    fail(cluster.members[old])
    gap = stream.wait_for_writes(fault, old)
    print(f"{old} failed: every proxy acknowledged a new write after {gap:.2f} s", flush=True)
    for proxy in cluster.proxies:
        assert cluster.primary(proxy=proxy) not in (old, None), f"{proxy} still routes to {old}"
    return old, gap


def assert_refuses_writes(cluster, server, marker):
    """Waits until the member that is back refuses writes that are sent to it directly."""
    attempts = []

    def refuses():
        attempts.append(f"{marker}-{len(attempts)}")
        try:
            cluster.member_query(server, f"INSERT INTO sale VALUES ('{attempts[-1]}')")
        except psycopg2.OperationalError:
            return False
        except psycopg2.Error as error:
            return "refused" in str(error) or error.pgcode == "25006"
        return False

    wait_for(refuses, FAILOVER_BOUND_SECONDS, f"{server} refuses direct writes")
    print(f"{server} refused direct write number {len(attempts)}", flush=True)


def rows_of(cluster, server):
    try:
        return sorted(cluster.member_query(server, "SELECT id FROM sale"))
    except psycopg2.Error:
        return None


def check_rows(cluster, stream, returned):
    """Checks the rows against the answers, and waits until the returned members have the same rows.

    Acknowledged rows are present, rows reported as not run are absent, and no row is duplicated.
    """
    stream.finish()
    reader = cluster.connect(next(iter(cluster.proxies)))
    found = collections.Counter(row[0] for row in run(reader, "SELECT id FROM sale"))
    acknowledged, not_run = stream.all("acknowledged"), stream.all("not_run")
    unknown, unexpected = stream.all("unknown"), stream.all("unexpected")
    print(f"acknowledged {len(acknowledged)}, not run {len(not_run)}, unknown {len(unknown)}, "
          f"of these without 08007 {len(unexpected)}", flush=True)
    lost = [item for item in acknowledged if found[item] == 0]
    duplicated = [item for item, count in found.items() if count > 1]
    present_not_run = [item for item in not_run if found[item]]
    unexplained = set(found) - set(acknowledged) - set(unknown)
    assert not lost, f"acknowledged but lost: {lost}"
    assert not duplicated, f"duplicated: {duplicated}"
    assert not present_not_run, f"refused as not run but present: {present_not_run}"
    assert not unexplained, f"rows that were neither acknowledged nor of unknown outcome: {unexplained}"
    assert not unexpected, f"failures without 08007 or 'not run': {unexpected[:5]}"
    expected_rows = sorted((item,) for item in found)
    for server in returned:
        wait_for(lambda name=server: rows_of(cluster, name) == expected_rows, FAILOVER_BOUND_SECONDS,
                 f"{server} has the rows of the primary")


def scenario(build, name, faults):
    with Cluster(build) as cluster:
        run(cluster.connect("regina-proxy-1"), "CREATE TABLE sale (id TEXT)")
        stream = Stream(cluster, name)
        time.sleep(SECONDS_BEFORE_FAULT)
        print(f"-- {name}", flush=True)
        gaps, returned = faults(cluster, stream)
        time.sleep(SECONDS_BEFORE_FAULT)
        check_rows(cluster, stream, returned)
        for gap in gaps:
            assert gap < FAILOVER_BOUND_SECONDS, f"{name}: the gap was {gap:.2f} s"


def frozen(cluster, stream):
    old, gap = measure_failover(cluster, stream, lambda member: member.freeze())
    cluster.members[old].resume()
    assert_refuses_writes(cluster, old, "direct")
    return [gap], [old]


def killed(cluster, stream):
    old, gap = measure_failover(cluster, stream, lambda member: member.kill())
    cluster.members[old].start()
    assert_refuses_writes(cluster, old, "direct")
    return [gap], [old]


def killed_twice(cluster, stream):
    """The first member follows again before the second one fails, so that a majority remains."""
    first, first_gap = measure_failover(cluster, stream, lambda member: member.kill())
    cluster.members[first].start()
    assert_refuses_writes(cluster, first, "direct-1")
    second, second_gap = measure_failover(cluster, stream, lambda member: member.kill())
    assert second != first
    cluster.members[second].start()
    assert_refuses_writes(cluster, second, "direct-2")
    return [first_gap, second_gap], [first, second]


if __name__ == "__main__":
    for scenario_name, scenario_faults in (("frozen", frozen), ("killed", killed),
                                           ("killed-twice", killed_twice)):
        scenario(sys.argv[1], scenario_name, scenario_faults)
