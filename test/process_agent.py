"""Tests of running agents: distribution of the configuration, faults of connections and of the
platform, failover, graceful shutdown."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

from running_programs import (TIMEOUT_SECONDS, Agent, BackendServer, Platform, Relay, free_port,
                              wait_until)

# The agents' default peer_timeout_ms, plus a second to detect the fault and to reconnect.
PEER_TIMEOUT_SECONDS = 3 + 1
# Upper bounds that the users require for a configuration change and for a failover.
IN_FORCE_SECONDS = 5
FAILOVER_SECONDS = 11


def document(version, members=()):
    """Returns a configuration document with one database, or with none if there are no members."""
    groups = {"cribs": {"members": [
        {"server": member.name, "address": f"127.0.0.1:{member.port}", "data_centre": "regina",
         "slots": 5, "connections": 30} for member in members]}} if members else {}
    return json.dumps({
        "version": version, "keys": {}, "position_secret": "0" * 64,
        "recent_edits": [{"version": version, "request": f"request-{version}"}],
        "lists": {"workspaces": {}, "plans": {}, "groups": groups}}).encode()


def publish_configuration(platform, version, body=None):
    """Stores a version of the configuration and makes it the accepted one."""
    body = body or document(version)
    name = f"configuration-{version}-request-{version}"
    assert platform.request("PUT", f"/v1/objects/{name}", body)[0] == 200
    row = {"version": version, "object": name, "request": f"request-{version}"}
    platform.transaction([{"put": {"key": "configuration", "value": json.dumps(row)}}])


def is_in_force(agent, version):
    return agent.state()["configuration_version"] == version


class AgentTest(unittest.TestCase):
    build = None

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.platform = Platform(self.build)
        self.addCleanup(self.platform.stop)
        self.url = f"http://127.0.0.1:{self.platform.port}"

    def start(self, name, data_centre="regina", **arguments):
        arguments.setdefault("platform", self.url)
        agent = Agent(self.build, self.folder.name, name, data_centre, **arguments)
        self.addCleanup(self.kill, agent)
        return agent

    @staticmethod
    def kill(agent):
        if agent.process.poll() is None:
            agent.process.kill()
            agent.process.wait()

    def test_configuration_is_in_force_everywhere_and_never_reverts(self):
        first = self.start("i1")
        second = self.start("i2", peers=[first.port])
        # This agent has no platform and learns the configuration from its peer only.
        without_platform = self.start("i3", peers=[first.port],
                                      platform=f"http://127.0.0.1:{free_port()}")
        for version in (1, 2):
            publish_configuration(self.platform, version)
            took = wait_until(
                lambda: all(is_in_force(agent, version) for agent in (first, second, without_platform)),
                IN_FORCE_SECONDS)
            print(f"version {version} in force on 3 agents after {took:.2f} s")
        publish_configuration(self.platform, 1)

        def answered_polls():
            return sum(agent.metric("sycamorespan_agent_configuration_polls_total") -
                       agent.metric("sycamorespan_agent_configuration_poll_failures_total")
                       for agent in (first, second))

        polls = answered_polls()
        wait_until(lambda: answered_polls() > polls + 2)
        self.assertTrue(all(is_in_force(agent, 2) for agent in (first, second, without_platform)))

    def test_failover_after_the_primary_is_killed(self):
        members = [BackendServer(self.build, name, primary=name == "a1")
                   for name in ("a1", "a2", "a3")]
        self.addCleanup(lambda: [member.kill() for member in members])
        first = self.start("i1")
        second = self.start("i2", data_centre="brandon", peers=[first.port])
        publish_configuration(self.platform, 1, document(1, members))

        def primary(agent):
            return agent.state()["groups"].get("cribs", {}).get("primary")

        wait_until(lambda: primary(first) == "a1" and primary(second) == "a1")
        members.pop(0).kill()
        took = wait_until(lambda: primary(first) in ("a2", "a3") and
                          primary(second) == primary(first), FAILOVER_SECONDS)
        print(f"2 agents know the new primary {took:.2f} s after the old one was killed")

        def published():
            rows = self.platform.transaction([{"get": {"key": "group/cribs"}}])["results"][0]["rows"]
            return rows and json.loads(rows[0]["value"])["primary"]

        wait_until(lambda: published() == primary(first), FAILOVER_SECONDS)

    def test_invalid_configuration_document_is_rejected(self):
        agent = self.start("i1")
        publish_configuration(self.platform, 1)
        wait_until(lambda: is_in_force(agent, 1))
        publish_configuration(self.platform, 2, b'{"version":2}')
        wait_until(lambda: agent.metric("sycamorespan_agent_configuration_bodies_rejected_total") > 0)
        self.assertTrue(is_in_force(agent, 1))

    def test_platform_outage_and_recovery(self):
        agent = self.start("i1")
        publish_configuration(self.platform, 1)
        wait_until(lambda: is_in_force(agent, 1))
        self.platform.set_faults(outage=True)
        wait_until(lambda: "platform unreachable" in agent.log())
        self.assertTrue(is_in_force(agent, 1))
        self.platform.set_faults(outage=False)
        publish_configuration(self.platform, 2)
        wait_until(lambda: is_in_force(agent, 2))

    def test_peers_reconnect_after_a_restart(self):
        first = self.start("i1")
        second = self.start("i2", peers=[first.port])
        wait_until(lambda: len(second.state()["peers"]) == 1)
        boot = second.state()["peers"][0]["boot"]
        first.process.kill()
        first.process.wait()
        wait_until(lambda: not second.state()["peers"])
        self.start("i1", port=first.port)
        wait_until(lambda: len(second.state()["peers"]) == 1)
        self.assertNotEqual(second.state()["peers"][0]["boot"], boot)

    def test_unresponsive_peer_connection_is_replaced(self):
        first = self.start("i1")
        relay = Relay(self.build, first.port)
        self.addCleanup(relay.stop)
        second = self.start("i2", peers=[relay.port], platform=f"http://127.0.0.1:{free_port()}")
        wait_until(lambda: len(second.state()["peers"]) == 1)
        relay.change(mode="silent")
        took = wait_until(lambda: "peer disconnected" in second.log(), PEER_TIMEOUT_SECONDS)
        print(f"the unresponsive connection was closed after {took:.2f} s")
        publish_configuration(self.platform, 1)
        wait_until(lambda: is_in_force(second, 1))

    def test_listed_instances_become_peers(self):
        first = self.start("i1")
        second = self.start("i2")
        for agent in (first, second):
            entry = {"instance": agent.name, "data_centre": "regina", "state": "live",
                     "address": f"127.0.0.1:{agent.port}"}
            self.platform.request("PUT", f"/v1/instances/{agent.name}", entry)
        wait_until(lambda: [peer["instance"] for peer in first.state()["peers"]] == ["i2"])
        wait_until(lambda: [peer["instance"] for peer in second.state()["peers"]] == ["i1"])

    def test_invalid_message_closes_only_its_connection(self):
        agent = self.start("i1")
        handshake = (b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                     b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
        for payload in (b"\x00", b"\xff" * 100, b"\x82\x65hello\xa0"):
            frame = b"\x82" + bytes([0x80 | len(payload)]) + b"\0\0\0\0" + payload
            with socket.create_connection(("127.0.0.1", agent.port), TIMEOUT_SECONDS) as connection:
                connection.sendall(handshake + frame)
                while connection.recv(4096):
                    pass
        self.assertEqual(agent.metric("sycamorespan_agent_invalid_messages_total"), 3)
        self.assertTrue(agent.is_healthy())

    def test_state_is_logged_on_request_and_without_password(self):
        agent = self.start("i1")
        agent.process.send_signal(signal.SIGUSR1)
        wait_until(lambda: "event=state" in agent.log())
        agent.state()
        self.assertNotIn("the-backend-password", agent.log() + json.dumps(agent.state()))

    def test_graceful_shutdown(self):
        first = self.start("i1")
        second = self.start("i2", peers=[first.port])
        wait_until(lambda: len(second.state()["peers"]) == 1)
        self.assertEqual(first.stop(), 0)
        wait_until(lambda: not second.state()["peers"])
        self.assertEqual(second.stop(), 0)

    def test_command_line(self):
        program = f"{self.build}/programs/agent/sycamorespan-agent"
        settings = os.path.join(self.folder.name, "wrong.yaml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write("instance: i1\ndata_centre: regina\nlisten: nowhere\n")

        def run(*arguments):
            return subprocess.run([program, *arguments], capture_output=True, text=True,
                                  timeout=TIMEOUT_SECONDS, check=False)

        self.assertEqual(run("--help").returncode, 0)
        self.assertTrue(run("--version").stdout.startswith("sycamorespan-agent "))
        wrong = run("--check-settings", "--settings", settings)
        self.assertEqual(wrong.returncode, 1)
        self.assertIn("wrong.yaml:3", wrong.stderr)
        self.assertEqual(run().returncode, 1)
        example = run("--check-settings", "--settings",
                      os.path.join(os.path.dirname(__file__),
                                   "../examples/brandon-hollow/agent-regina-1.yaml"))
        self.assertEqual((example.returncode, example.stdout), (0, "valid\n"))


if __name__ == "__main__":
    AgentTest.build = sys.argv.pop(1)
    unittest.main()
