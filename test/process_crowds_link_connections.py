"""Clients that don't behave, towards the link on which instances hand statements to each other: many connections."""
import unittest

from crowds import MANY_SOCKETS_CROWD, CrowdCase


class LinkCrowdTest(CrowdCase):
    async def test_connections_left_on_the_link_of_instances(self):
        await self.open(MANY_SOCKETS_CROWD, port=self.node.ports[2] + 1)
        await self.check()


if __name__ == "__main__":
    unittest.main()
