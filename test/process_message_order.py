"""Test that no order of callers' messages, closes and answers of members ends a node process.

Guards against a Fault of the review: a second CONNECT while a statement waits ended the process. Callers send
random lines in any order and with random pauses, also before READY and to other databases, and close in any way
while members go away, answer late or refuse, primaries change and the configuration changes.

Usage: process_message_order.py BUILD [--first SEED] [--seeds COUNT] [--seconds SECONDS]
"""
import argparse
import asyncio
import os
import pathlib
import random
import socket
import struct
import sys
import tempfile
import time

from loopback import HOST

os.environ["SYCAMORESPAN_TEST_HOST"] = HOST
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins" / "users_platform"))
from node_programs import Node  # noqa: E402
from users_platform import Platform  # noqa: E402

KEY = "a-secret-key-of-the-shop"
DATABASES = ("db1", "db2", "db3")
NODES = 2
CALLERS = 24  # at each node
START_BOUND_S = 15
QUERIES = ("READ x", "WRITE x 1", "BEGIN", "BEGIN READ", "COMMIT", "ROLLBACK", "SET v0 a", "PREPARE s0 READ q1",
           "PREPARE s1 WRITE q2", "EXECUTE s0 x", "EXECUTE s1 x 1", "EXECUTE s9 x", "DEALLOC s0", "NONSENSE", "")
PAUSES_S = (0, 0, 0, 0.001, 0.005, 0.02, 0.1)


class Run:
    def __init__(self, seed, program, seconds, folder):
        self.random = random.Random(seed)
        self.program, self.seconds, self.folder = program, seconds, folder
        self.platform = Platform(list(DATABASES))
        self.nodes, self.tasks = [], []
        self.connections = 0

    async def configure(self, databases=DATABASES, connections=32):
        routes = {f"sales-{name}": (name, "primary", 0) for name in databases}
        routes |= {f"browse-{name}": (name, "bounded_stale", 1500) for name in databases}
        routes |= {f"recall-{name}": (name, "read_own", 2500) for name in databases}
        await self.platform.configure(routes, {f"shop{number}": ([KEY if number == 0 else f"key-{number}"], 5000, 5000)
                                               for number in range(4)}, connections=connections)

    def line(self):
        database = self.random.choice(DATABASES)
        kind = self.random.choice(("sales", "browse", "recall"))
        key = self.random.choice((KEY, KEY, "key-1", "key-2", "unknown"))
        text = self.random.choice(QUERIES)
        return self.random.choices(
            (f"CONNECT {kind}-{database} {key}", f"CONNECT nowhere {key}", "CONNECT", f"QUERY q{self.connections} {text}",
             "QUERY", "QUIT", "", "\x00\x01", "READY I -", "QUERY q " + "x" * 5000),
            (10, 1, 1, 30, 1, 3, 1, 1, 1, 1))[0]

    async def call(self, node):
        """Opens connections one after the other; most begin with CONNECT, and most lines go out in one piece."""
        while True:
            self.connections += 1
            try:
                reader, writer = await asyncio.open_connection(HOST, node.ports[0])
            except OSError:
                await asyncio.sleep(0.1)
                continue
            lines = [self.line() for _ in range(self.random.randrange(1, 9))]
            if self.random.random() < 0.9:
                lines.insert(0, f"CONNECT sales-{self.random.choice(DATABASES)} {KEY}")
            try:
                if self.random.random() < 0.5:
                    writer.write("".join(line + "\r\n" for line in lines).encode())
                else:
                    for line in lines:
                        writer.write(line.encode() + b"\r\n")
                        await asyncio.sleep(self.random.choice(PAUSES_S))
                await self.close(reader, writer)
            except OSError:
                pass
            writer.close()

    async def close(self, reader, writer):
        way = self.random.choice(("at once", "reset", "half", "after answers", "late"))
        if way == "half":
            writer.write_eof()
            await asyncio.sleep(self.random.choice(PAUSES_S))
        elif way == "after answers":
            try:
                async with asyncio.timeout(0.3):  # asyncio.wait_for() of Python 3.11 can drop a cancellation
                    await reader.read(200)
            except TimeoutError:
                pass
        elif way == "late":
            await asyncio.sleep(self.random.random())
        elif way == "reset":
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def trouble(self):
        """Disturbs members, the store and the configuration in series that overlap."""
        members = [member for group in self.platform.groups.values() for member in group.members.values()]
        while True:
            await asyncio.sleep(self.random.uniform(0.05, 0.4))
            member = self.random.choice(members)
            what = self.random.randrange(9)
            if what == 0:
                member.is_unresponsive = not member.is_unresponsive
            elif what == 1:
                member.setup_refusal_rate = self.random.choice((0, 0.3))
            elif what == 2:
                member.lost_answer_rate = self.random.choice((0, 0.2))
            elif what == 3 and member.is_up:
                await member.kill()
            elif what == 3 or (what == 4 and not member.is_up):
                await member.start(HOST)
            elif what == 5:
                self.platform.draining ^= {member.id}
            elif what == 6:
                await self.configure(self.random.sample(DATABASES, 2), self.random.choice((2, 32)))
            elif what == 7:
                self.platform.store.is_down = not self.platform.store.is_down
            else:
                await self.configure()

    async def play(self):
        """Returns what was found, as texts."""
        await self.platform.start()
        if self.random.random() < 0.5:
            await self.configure()
        self.nodes = [Node(self.program, self.platform, f"n{index}", "ab"[index], self.folder) for index in range(NODES)]
        for node in self.nodes:
            self.tasks += [asyncio.create_task(self.call(node)) for _ in range(CALLERS)]
        await asyncio.sleep(0.3)
        await self.configure()
        self.tasks.append(asyncio.create_task(self.trouble()))
        await asyncio.sleep(self.seconds)
        for task in self.tasks:
            task.cancel()
        outcomes = await asyncio.gather(*self.tasks, return_exceptions=True)
        found = [f"the run itself failed: {each!r}" for each in outcomes
                 if isinstance(each, Exception) and not isinstance(each, asyncio.CancelledError)]
        for node in self.nodes:
            if node.process.poll() is not None:
                found.append(f"{node.name} ended with {node.process.returncode}: {node.lines()[-1]}")
            found += [line for line in node.lines() if "unexpected error" in line]
        return found

    def stop(self):
        for node in self.nodes:
            node.stop()
        if hasattr(self.platform, "heartbeat"):
            self.platform.heartbeat.cancel()


async def main(options):
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            run = Run(seed, options.build / "programs" / "node" / "sycamorespan-node", options.seconds,
                      pathlib.Path(folder))
            started = time.monotonic()
            try:
                found = await run.play()
            finally:
                run.stop()
        print(f"seed {seed}: {run.connections} connections in {time.monotonic() - started:.1f} s: "
              + ("; ".join(found[:3]) if found else "all processes live"))
        failed += bool(found)
    return failed


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path, nargs="?", default="build")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=5)
    sys.exit(1 if asyncio.run(main(parser.parse_args())) else 0)
