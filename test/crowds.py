"""A crowd of clients that don't behave, and the bounds that the node keeps to. Used by test/process_crowds*.py."""
import asyncio
import os
import pathlib
import socket
import sys
import tempfile
import time
import unittest

from loopback import HOST

os.environ["SYCAMORESPAN_TEST_HOST"] = HOST
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins" / "users_platform"))
from node_programs import Caller, Node  # noqa: E402
from users_platform import Platform  # noqa: E402

BUILD = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path("build")
PROGRAM = BUILD / "programs" / "node" / "sycamorespan-node"
KEY = "a-secret-key-of-the-shop"
CONNECT = f"CONNECT sales {KEY}\r\n".encode()
START_BOUND_S = 10
ANSWER_BOUND_S = 60
MESSAGE_BYTES = 1 << 20  # the longest message that the protocol allows
ROW_BYTES = 1_000_000
MEMORY_MB = 40
MAX_FDS = 300
MANY_BYTES_CROWD = 60  # sessions with a message each, more than the memory of the process
MANY_SOCKETS_CROWD = 400  # connections, more than the descriptors of the process
STALL_S = 2  # without a byte taken after which a crowd stops sending
PUSH_BOUND_S = 60  # after which a crowd stops sending
PIECE_BYTES = 997


def unread_bytes(port):
    """Returns what the kernel holds for the sockets at the port: received and not yet read by the process."""
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in list(table)[1:]:
            fields = line.split()
            if fields[1].endswith(f":{port:04X}") and fields[3] == "01":
                total += int(fields[4].split(":")[1], 16)
    return total


class Watch:
    """Samples memory, with the bytes that wait in the sockets, and descriptors of a process."""

    def __init__(self, node):
        self.node, self.pid, self.bytes, self.descriptors = node, node.process.pid, 0, 0

    def sample(self):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as status:
            resident = next(int(line.split()[1]) for line in status if line.startswith("VmRSS")) << 10
        ports = (self.node.ports[0], self.node.ports[1], self.node.ports[2], self.node.ports[2] + 1)
        self.bytes = max(self.bytes, resident + sum(map(unread_bytes, ports)))
        self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))

    def peak_resident(self):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) << 10


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(["db1"])
        await self.platform.start()
        await self.platform.configure({"sales": ("db1", "primary", 0)}, {"shop": ([KEY], 10000, 10000)})
        self.node = Node(PROGRAM, self.platform, "n0", "a", pathlib.Path(self.folder.name),
                         limits={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS})
        deadline = time.monotonic() + START_BOUND_S
        while not await asyncio.to_thread(self.node.is_ready):
            self.assertLess(time.monotonic(), deadline, "not ready")
            await asyncio.sleep(0.05)
        self.watch = Watch(self.node)
        self.crowd = []
        self.bystander = await self.session()

    async def asyncTearDown(self):
        self.leave()
        self.node.stop()
        self.platform.heartbeat.cancel()
        self.folder.cleanup()

    async def session(self):
        caller = Caller()
        answer = await asyncio.wait_for(caller.connect(self.node.ports[0], "sales", KEY), ANSWER_BOUND_S)
        self.assertEqual(answer, ["READY I -"])
        return caller

    def leave(self):
        for each in self.crowd:
            each.close()
        self.crowd = []

    async def served(self, caller):
        caller.writer.write(b"QUERY ordinary READ x\r\n")
        answer = await asyncio.wait_for(caller.reader.readline(), ANSWER_BOUND_S)
        self.assertTrue(answer.startswith(b"ROW"), answer)
        for _ in range(2):
            await asyncio.wait_for(caller.reader.readline(), ANSWER_BOUND_S)

    # Crowds.

    async def open(self, count, first=b"", port=None):
        """Opens connections that each send their first bytes."""
        for _ in range(count):
            each = socket.socket()
            each.setblocking(False)
            each.connect_ex((HOST, port or self.node.ports[0]))
            self.crowd.append(each)
            await asyncio.sleep(0.002)
        await self.push([first] * count)
        await asyncio.sleep(0.3)
        self.watch.sample()

    async def push(self, messages, piece=1 << 20, reading=0):
        """Each connection sends its message, in pieces, for as long as the process takes them."""
        left = dict(enumerate(memoryview(each) for each in messages))
        deadline = time.monotonic() + PUSH_BOUND_S
        taken_at = time.monotonic()
        while left and time.monotonic() < min(deadline, taken_at + STALL_S):
            for index in list(left):
                try:
                    sent = self.crowd[index].send(left[index][:piece])
                    left[index] = left[index][sent:]
                    taken_at = time.monotonic()
                    if reading:
                        self.crowd[index].recv(reading)
                except BlockingIOError:
                    continue
                except OSError:
                    left[index] = b""
                if not left[index]:
                    del left[index]
            self.watch.sample()
            await asyncio.sleep(0.002)
        await asyncio.sleep(0.3)
        self.watch.sample()

    async def check(self):
        """The crowd is there at first, and leaves then."""
        self.watch.sample()
        self.assertIsNone(self.node.process.poll(), "the process ended")
        await self.served(self.bystander)
        self.watch.sample()
        self.leave()
        await asyncio.sleep(0.5)
        caller = await self.session()
        await self.served(caller)
        self.watch.sample()
        self.assertIsNone(self.node.process.poll(), "the process ended")
        memory = max(self.watch.bytes, self.watch.peak_resident())
        print(f"{self._testMethodName}: {memory / 2**20:.1f} MB, {self.watch.descriptors} descriptors", flush=True)
        self.assertLess(memory, MEMORY_MB << 20, "memory")
        self.assertLess(self.watch.descriptors, MAX_FDS, "descriptors")
        await self.large_message_is_served()

    async def large_message_is_served(self):
        caller = await self.session()
        head = b"QUERY large WRITE y "
        caller.writer.write(head + b"v" * (MESSAGE_BYTES - len(head) - 2) + b"\r\n")
        answer = await asyncio.wait_for(caller.reader.readline(), ANSWER_BOUND_S)
        self.assertTrue(answer.startswith(b"COMPLETE"), answer[:100])

    def unfinished(self):
        return b"QUERY r WRITE y " + b"v" * (MESSAGE_BYTES - 100)
