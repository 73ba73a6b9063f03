"""Tests of the relay stand-in: forwarding, delay and the modes silent, partition and cut."""

import socket
import sys
import time
import unittest

from running_programs import TIMEOUT_SECONDS, Relay, request, wait_until

OBSERVATION_SECONDS = 0.3


class RelayTest(unittest.TestCase):
    build = None

    def setUp(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(TIMEOUT_SECONDS)
        self.addCleanup(self.server.close)
        self.relay = Relay(self.build, self.server.getsockname()[1])

    def tearDown(self):
        self.assertEqual(self.relay.stop(), 0)

    def connect(self):
        """Returns both ends of a relayed connection."""
        caller = socket.create_connection(("127.0.0.1", self.relay.port), TIMEOUT_SECONDS)
        self.addCleanup(caller.close)
        target, _ = self.server.accept()
        target.settimeout(TIMEOUT_SECONDS)
        self.addCleanup(target.close)
        return caller, target

    def assert_receives_nothing(self, receiver):
        """Checks that neither data nor the end of the connection arrives for some time."""
        receiver.settimeout(OBSERVATION_SECONDS)
        with self.assertRaises(TimeoutError):
            receiver.recv(1)
        receiver.settimeout(TIMEOUT_SECONDS)

    def test_forwards_data_and_close_in_both_directions(self):
        caller, target = self.connect()
        sent = bytes(range(256)) * 1000
        caller.sendall(sent)
        received = b""
        while len(received) < len(sent):
            received += target.recv(65536)
        self.assertEqual(received, sent)
        target.sendall(b"answer")
        self.assertEqual(caller.recv(100), b"answer")
        target.close()
        self.assertEqual(caller.recv(100), b"")

    def test_silent_connections_stay_silent_while_new_ones_work(self):
        caller, target = self.connect()
        self.relay.change(mode="silent")
        caller.sendall(b"lost")
        self.assert_receives_nothing(target)
        target.close()
        self.assert_receives_nothing(caller)
        new_caller, new_target = self.connect()
        new_caller.sendall(b"a")
        self.assertEqual(new_target.recv(1), b"a")
        self.relay.change(mode="pass")
        self.assert_receives_nothing(caller)

    def test_forwarding_continues_after_a_partition(self):
        caller, target = self.connect()
        self.relay.change(mode="partition")
        caller.sendall(b"late")
        self.assert_receives_nothing(target)
        self.relay.change(mode="pass")
        self.assertEqual(target.recv(100), b"late")

    def test_cut_closes_existing_and_new_connections(self):
        caller, target = self.connect()
        self.relay.change(mode="cut")
        self.assertEqual(caller.recv(1), b"")
        self.assertEqual(target.recv(1), b"")
        refused = socket.create_connection(("127.0.0.1", self.relay.port), TIMEOUT_SECONDS)
        self.assertEqual(refused.recv(1), b"")
        refused.close()
        wait_until(lambda: self.relay.connections() == 0)
        self.relay.change(mode="pass")
        caller, target = self.connect()
        caller.sendall(b"a")
        self.assertEqual(target.recv(1), b"a")

    def test_delay_keeps_order(self):
        caller, target = self.connect()
        self.relay.change(delay_ms=200)
        start = time.monotonic()
        caller.sendall(b"a")
        time.sleep(0.05)
        caller.sendall(b"b")
        received = target.recv(1)
        self.assertGreaterEqual(time.monotonic() - start, 0.2)
        self.assertEqual(received + target.recv(1), b"ab")

    def test_refuses_an_unknown_mode(self):
        self.assertEqual(request(self.relay.control, "PUT", "/v1/mode", {"mode": "other"})[0], 400)


if __name__ == "__main__":
    RelayTest.build = sys.argv.pop(1)
    unittest.main()
