"""An entry of a member that a proxy can't use costs only that member: the proxies serve the others and
follow later versions of the configuration."""
import copy
import sys

from cluster import Cluster, run, wait_for

PROXY = "regina-proxy-1"
IN_FORCE_SECONDS = 5


def main(build):
    with Cluster(build, proxies=1) as cluster:
        session = cluster.connect(PROXY)
        run(session, "CREATE TABLE crib (id INTEGER PRIMARY KEY)")
        whole = copy.deepcopy(cluster.groups["cribs"])
        # An address that the schema of the configuration allows, but that the proxies can't connect to.
        cluster.groups["cribs"][2] = cluster.groups["cribs"][2] | {"address": "[::1]:5432"}
        cluster.put_configuration()
        admin = cluster.proxy_admin[PROXY]
        wait_for(lambda: cluster.state(admin)["configuration_version"] == cluster.version, IN_FORCE_SECONDS,
                 "the version with the odd entry is in force")
        run(session, "INSERT INTO crib VALUES (1)")
        assert run(cluster.connect(PROXY), "SELECT id FROM crib") == [(1,)]
        metrics = cluster.metrics(admin)
        assert metrics["sycamorespan_proxy_rejected_members_total"] >= 1, metrics
        assert "entry of a member could not be decoded" in cluster.proxies[PROXY].log()
        cluster.groups["cribs"] = whole
        cluster.put_configuration()
        wait_for(lambda: cluster.state(admin)["configuration_version"] == cluster.version, IN_FORCE_SECONDS,
                 "the next version is in force")
        wait_for(lambda: len(cluster.state(admin)["databases"]["cribs"]["members"]) == 3, IN_FORCE_SECONDS,
                 "the mended member is used")
        for name, process in cluster.proxies.items():
            assert process.popen.poll() is None, f"{name} has ended"
        print("the odd entry cost only itself")


main(sys.argv[1])
