"""Clients that don't behave, against the node program: each crowd leaves the process alive, its memory and descriptors
under the limits in its settings, a session that was open before served, and an ordinary request answered afterwards.

Nothing here depends on the machine's speed. The limits are lowered, so that a small crowd shows the fault."""
import asyncio
import random
import socket
import unittest

from crowds import (ANSWER_BOUND_S, CONNECT, HOST, MANY_BYTES_CROWD, MANY_SOCKETS_CROWD, MESSAGE_BYTES, PIECE_BYTES,
                    ROW_BYTES, STALL_S, CrowdCase)

REFUSED_AFTER_S = 5  # of the 6 s that a stop may take; new operations are refused from 4.5 s on


class CrowdTest(CrowdCase):
    async def test_unfinished_messages_before_connect(self):
        await self.open(MANY_BYTES_CROWD)
        await self.push([self.unfinished()] * MANY_BYTES_CROWD)
        await self.check()

    async def test_unfinished_messages_of_sessions(self):
        await self.open(MANY_BYTES_CROWD, CONNECT)
        await self.push([self.unfinished()] * MANY_BYTES_CROWD)
        await self.check()

    async def test_unfinished_messages_in_small_pieces(self):
        await self.open(MANY_BYTES_CROWD)
        await self.push([self.unfinished()] * MANY_BYTES_CROWD, PIECE_BYTES)
        await self.check()

    async def test_unfinished_messages_of_sessions_in_small_pieces(self):
        await self.open(MANY_BYTES_CROWD, CONNECT)
        await self.push([self.unfinished()] * MANY_BYTES_CROWD, PIECE_BYTES)
        await self.check()

    async def test_large_messages_at_once(self):
        await self.open(MANY_BYTES_CROWD, CONNECT)
        await self.push([(self.unfinished() + b"\r\n") * 3] * MANY_BYTES_CROWD)
        await self.check()

    async def test_message_far_over_the_limit(self):
        crowd = 20
        await self.open(crowd, CONNECT)
        await self.push([b"QUERY r WRITE y " + b"v" * (16 * MESSAGE_BYTES)] * crowd)
        await self.check()

    async def test_thousands_of_statements_ahead(self):
        crowd = 20
        await self.open(crowd, CONNECT)
        await self.push([b"QUERY r READ x\r\n" * 5000] * crowd)
        await self.check()

    async def test_large_answers_that_nobody_reads(self):
        for member in self.platform.groups["db1"].members.values():
            member.log.append((1, 1, "large", "v" * ROW_BYTES))
            member.applied = len(member.log)
        crowd = 20
        await self.open(crowd, CONNECT)
        await self.push([b"QUERY r READ large\r\n" * 20] * crowd)
        await asyncio.sleep(STALL_S)
        await self.check()

    async def test_large_answers_read_a_byte_at_a_time(self):
        for member in self.platform.groups["db1"].members.values():
            member.log.append((1, 1, "large", "v" * ROW_BYTES))
            member.applied = len(member.log)
        crowd = 20
        await self.open(crowd, CONNECT)
        await self.push([b"QUERY r READ large\r\n" * 20] * crowd, piece=19, reading=1)
        await asyncio.sleep(STALL_S)
        await self.check()

    async def test_messages_held_back_are_answered_at_a_planned_stop(self):
        """Guards against sessions that were closed as idle while their messages were held back."""
        for member in self.platform.groups["db1"].members.values():
            member.log.append((1, 1, "large", "v" * ROW_BYTES))
            member.applied = len(member.log)
        messages = 40
        caller = await self.session()
        caller.writer.write(b"QUERY r READ large\r\n" * messages)
        await asyncio.sleep(STALL_S)
        self.node.process.terminate()
        await asyncio.sleep(REFUSED_AFTER_S)
        received = await asyncio.wait_for(caller.reader.read(), ANSWER_BOUND_S)
        answered, refused = received.count(b"COMPLETE "), received.count(b"ERROR BUSY ")
        print(f"{self._testMethodName}: {answered} answered, {refused} refused")
        self.assertEqual(answered + refused, messages)
        self.assertGreater(refused, 0, "no message was held back")

    async def test_large_values_kept_by_sessions(self):
        crowd = 20
        await self.open(crowd, CONNECT)
        values = b"".join(b"QUERY r SET v%d " % index + b"v" * 100_000 + b"\r\n" for index in range(20))
        await self.push([values] * crowd)
        await self.check()

    async def test_messages_sent_a_byte_at_a_time(self):
        await self.open(MANY_SOCKETS_CROWD)
        await self.push([CONNECT[:-2]] * MANY_SOCKETS_CROWD, piece=1)
        await self.check()

    async def test_sessions_that_stop_inside_a_transaction(self):
        await self.open(MANY_SOCKETS_CROWD, CONNECT)
        await self.push([b"QUERY b BEGIN\r\nQUERY w WRITE y"] * MANY_SOCKETS_CROWD)
        await self.check()

    async def test_connections_opened_and_left(self):
        await self.open(MANY_SOCKETS_CROWD)
        await self.check()

    async def test_sessions_opened_and_left(self):
        await self.open(MANY_SOCKETS_CROWD, CONNECT)
        await self.check()

    async def test_unfinished_requests_for_readiness(self):
        await self.open(MANY_SOCKETS_CROWD, b"GET /api/readiness HTTP/1.1\r\nx: ", self.node.ports[1])
        await self.push([b"v" * 100_000] * MANY_SOCKETS_CROWD)
        await self.check()

    async def test_unfinished_requests_for_metrics(self):
        await self.open(MANY_SOCKETS_CROWD, b"POST /metrics HTTP/1.1\r\ncontent-length: 900000000\r\n\r\n",
                        self.node.ports[2])
        await self.push([b"v" * 500_000] * MANY_SOCKETS_CROWD)
        await self.check()

    async def test_datagrams_that_are_no_reports(self):
        source = random.Random(1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for index in range(5000):
                size = 65507 if index % 10 == 0 else 200
                sender.sendto(source.randbytes(size), (HOST, self.node.ports[2]))
                if index % 50 == 0:
                    self.watch.sample()
                    await asyncio.sleep(0.005)
        await self.check()

    async def test_messages_over_the_limit_on_the_link_of_instances(self):
        crowd = 20
        await self.open(crowd, port=self.node.ports[2] + 1)
        await self.push([b"\xff\xff\xff\xff" + b"v" * (1 << 20)] * crowd)
        await self.check()


if __name__ == "__main__":
    unittest.main()
