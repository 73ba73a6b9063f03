"""Clients that don't behave, towards the link on which instances hand statements to each other: they say hello first."""
import unittest

from crowds import MANY_BYTES_CROWD, CrowdCase

HELLO = bytes([0, 0, 0, 6, 0x84, 0, 1, 0x61, ord("x"), 1])  # length; type, version, sender "x", incarnation


class LinkCrowdTest(CrowdCase):
    async def test_unfinished_messages_after_a_hello(self):
        await self.open(MANY_BYTES_CROWD, HELLO, port=self.node.ports[2] + 1)
        await self.push([(3 << 20).to_bytes(4, "big") + b"v" * (1 << 20)] * MANY_BYTES_CROWD)
        await self.check()


if __name__ == "__main__":
    unittest.main()
