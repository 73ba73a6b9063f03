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
