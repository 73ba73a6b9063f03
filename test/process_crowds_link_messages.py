"""Clients that don't behave, towards the link on which instances hand statements to each other: unfinished messages."""
import unittest

from crowds import MANY_BYTES_CROWD, CrowdCase


class LinkCrowdTest(CrowdCase):
    async def test_unfinished_messages_on_the_link_of_instances(self):
        await self.open(MANY_BYTES_CROWD, port=self.node.ports[2] + 1)
        await self.push([(3 << 20).to_bytes(4, "big") + b"v" * (1 << 20)] * MANY_BYTES_CROWD)
        await self.check()


if __name__ == "__main__":
    unittest.main()
