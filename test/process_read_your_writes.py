"""Sessions that change the proxy read their own writes although the replicas lag."""
import sys
import time

from cluster import Cluster, position_of, run

ROUNDS = 12
LAG_MS = 400


def main(build):
    with Cluster(build, proxies=1) as cluster:
        proxies = list(cluster.proxies)
        writer = cluster.connect(proxies[0])
        run(writer, "CREATE TABLE crib (id INTEGER PRIMARY KEY)")
        time.sleep(0.2)
        for server in cluster.members:
            if server != cluster.primary():
                cluster.member_query(server, f"SELECT * FROM group_set_lag({LAG_MS})")
        for number in range(ROUNDS):
            writer = cluster.connect(proxies[number % len(proxies)], position=position_of(writer))
            run(writer, "INSERT INTO crib VALUES (%s)", (number,))
            reader = cluster.connect(proxies[(number + 1) % len(proxies)], position=position_of(writer))
            assert run(reader, "SELECT count(*) FROM crib") == [(number + 1,)], number
            seen = run(cluster.connect(proxies[2], position=position_of(reader)),
                       "SELECT max(id) FROM crib")
            assert seen == [(number,)], f"reads are not monotonic over proxies: {seen}"
        print(f"{ROUNDS} writes were read at once over another proxy, with replicas {LAG_MS} ms behind")

        forged = position_of(writer).rsplit(":", 1)[0] + ":" + "0" * 32
        reader = cluster.connect(proxies[1], position=forged)
        assert run(reader, "SELECT count(*) FROM crib") == [(ROUNDS,)]
        print("a session with a forged position is served by the primary")

        # A session without a position accepts data from a replica up to the plan's maximum staleness.
        counts = [run(cluster.connect(proxies[1]), "SELECT count(*) FROM crib")[0][0]]
        time.sleep(2 * LAG_MS / 1000)
        counts.append(run(cluster.connect(proxies[1]), "SELECT count(*) FROM crib")[0][0])
        assert counts[0] <= counts[1] == ROUNDS, counts
        replica_reads = sum(cluster.metrics(port)["sycamorespan_proxy_replica_reads_total"]
                            for port in cluster.proxy_admin.values())
        assert replica_reads > 0
        fresh_reader = cluster.connect(proxies[1])
        run(writer, "INSERT INTO crib VALUES (1000)")
        run(fresh_reader, "SET sycamorespan.max_staleness = '0s'")
        assert run(fresh_reader, "SELECT max(id) FROM crib") == [(1000,)]
        print("a session with maximum staleness 0 is served by the primary")


main(sys.argv[1])
