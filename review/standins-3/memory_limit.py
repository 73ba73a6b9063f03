"""The platform's memory limit: a process that exceeds memory_mb is killed. Beside it an ordinary requester reads."""
import asyncio

from harness import Client


class MemoryLimit:
    """Kills a process whose resident memory exceeds its limit. What the kernel holds for it isn't counted."""

    def __init__(self, record, node):
        self.record, self.node, self.peak, self.killed = record, node, 0.0, False

    async def watch(self):
        while True:
            self.check()
            await asyncio.sleep(0.005)

    def check(self):
        memory = self.node.memory()
        if not memory or self.killed:
            return
        self.peak = max(self.peak, memory[1])
        if self.peak > self.node.memory_mb:
            self.killed = True
            self.record(f"the process had {self.peak:.0f} MiB, more than memory_mb={self.node.memory_mb}: killed by "
                        "the platform")
            self.node.stop()


class Bystander:
    """An ordinary requester, which reads ten times a second on a session of its own."""

    def __init__(self, record):
        self.record, self.client, self.served, self.lost = record, Client(), 0, 0

    async def run(self, port, database, key):
        await self.client.connect(port, database, key)
        try:
            while True:
                lines = await self.client.ask("READ bystander")
                if not lines[-1]:
                    raise ConnectionError
                self.served += lines[0].startswith(b"ROW")
                await asyncio.sleep(0.1)
        except (OSError, ConnectionError):
            self.lost += 1
            self.record(f"bystander: its connection ended after {self.served} reads")


def start(*coroutines):
    return [asyncio.create_task(each) for each in coroutines]


ENDS = 3  # of a process, on each of MACHINES machines: the rule Fault
MACHINES = 2
RESTART_S = 0.5  # the platform starts a process that ended again after a short delay


async def end_repeatedly(record, nodes, database, key, burden):
    """Burdens one machine after the other, up to ENDS times each. burden(node, limit) returns when it is over.

    Returns whether processes ended ENDS times on all machines, of which there are MACHINES.
    """
    ends = {node.name: 0 for node in nodes}
    for node in nodes:
        while ends[node.name] < ENDS:
            limit, bystander = MemoryLimit(record, node), Bystander(record)
            tasks = start(limit.watch(), bystander.run(node.front, database, key))
            try:
                await asyncio.sleep(0.5)
                await burden(node, limit)
                await asyncio.sleep(1)
                limit.check()
            finally:
                for task in tasks:
                    task.cancel()
            record(f"{node.name}: peak {limit.peak:.0f} MiB of {node.memory_mb}; {bystander.served} reads of the "
                   "bystander served")
            if not limit.killed and node.process.poll() is None:
                break
            ends[node.name] += 1
            record(f"{node.name}: its process has ended {ends[node.name]} times")
            await asyncio.sleep(RESTART_S)
            node.start()
            await node.await_ready()
    return len(ends) == MACHINES and all(count == ENDS for count in ends.values())
