"""A proxy accepts TLS if its settings name a certificate, and refuses TLS otherwise."""
import os
import subprocess
import sys

import psycopg2
import yaml

from cluster import Cluster, free_ports, run, wait_for
from loopback import HOST


def main(build):
    with Cluster(build, proxies=1) as cluster:
        certificate = os.path.join(cluster.folder, "certificate.pem")
        private_key = os.path.join(cluster.folder, "key.pem")
        subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "1",
                        "-subj", "/CN=localhost", "-keyout", private_key, "-out", certificate],
                       check=True, capture_output=True)
        with open(os.path.join(cluster.folder, "regina-proxy-1.yaml"), encoding="utf-8") as file:
            settings = yaml.safe_load(file)
        port, admin = free_ports(2)
        settings.update(instance="regina-tls", listen=f"{HOST}:{port}", admin=f"{HOST}:{admin}",
                        tls={"certificate": certificate, "private_key": private_key})
        cluster.proxies["regina-tls"] = cluster.start_daemon("proxy", "regina-tls", settings)
        cluster.proxy_port["regina-tls"], cluster.proxy_admin["regina-tls"] = port, admin
        wait_for(lambda: cluster.is_serving("regina-tls"), 30, "the proxy with TLS serves")

        connection = psycopg2.connect(host=HOST, port=port, user="counter", dbname="cribs",
                                      password=cluster.keys["counter"], sslmode="require")
        connection.autocommit = True
        assert connection.info.ssl_in_use
        run(connection, "CREATE TABLE note (body TEXT)")
        body = "x" * 200_000
        run(connection, "INSERT INTO note VALUES (%s)", (body,))
        assert run(connection, "SELECT body FROM note") == [(body,)]
        print("a session over TLS received an answer larger than a TLS record")

        try:
            psycopg2.connect(host=HOST, port=cluster.proxy_port["regina-proxy-1"],
                             user="counter", dbname="cribs", password=cluster.keys["counter"],
                             sslmode="require")
            raise AssertionError("the proxy without a certificate accepted TLS")
        except psycopg2.OperationalError as error:
            assert "SSL" in str(error), error
        print("a proxy without a certificate refuses TLS")


main(sys.argv[1])
