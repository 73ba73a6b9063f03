"""Tests of running nodes whose store returns from an outage or from an older copy, or has other writers."""
import asyncio
import os
import pathlib
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
START_BOUND_S = 15
NODES = 3
CHANGE_BOUND_S = 11  # time limit that the users set for a change of primary
AWAY_S = 0.8
CONFIGURATION_BOUND_S = 5
CALLS_IN_CALM = 25  # a second, of all instances
STOP_BOUND_S = 6
REGISTRATION_BOUND_S = 2  # members have registered again so long after an outage of the store


class StoreRecoveryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(["db1", "db2"])
        await self.platform.start()
        await self.configure("db1", [KEY])
        self.nodes = []
        self.writers = []
        self.acknowledged = []
        for index in range(NODES):
            self.add_node(index)
        await self.until_ready()

    async def asyncTearDown(self):
        for writer in self.writers:
            writer.cancel()
        for node in self.nodes:
            node.stop()
        self.platform.heartbeat.cancel()
        self.folder.cleanup()

    def add_node(self, index):
        node = Node(PROGRAM, self.platform, f"n{index}", "abc"[index % NODES], pathlib.Path(self.folder.name))
        self.nodes.append(node)
        return node

    async def configure(self, database, keys):
        await self.platform.configure({"sales": (database, "primary", 0), "other": ("db2", "primary", 0)},
                                      {"shop": (keys, 1000, 1000), "desk": (["another-key"], 1000, 1000)})

    async def until(self, condition, bound_s, what):
        deadline = time.monotonic() + bound_s
        while not (result := await asyncio.to_thread(condition)):
            self.assertLess(time.monotonic(), deadline, f"not within {bound_s} s: {what}")
            await asyncio.sleep(0.05)
        return result

    async def until_ready(self):
        for node in self.nodes:
            await self.until(node.is_ready, START_BOUND_S, f"{node.name} is ready")

    def supervisor(self):
        holder = self.platform.store.document("sycamorespan", "supervisor")["holder"]
        return next(node for node in self.nodes if node.name == holder)

    def group(self):
        return self.platform.groups["db1"]

    def log_lines(self, text):
        return [line for node in self.nodes for line in node.lines() if text in line]

    def keep_writing(self, node):
        self.writers.append(asyncio.create_task(self.write_repeatedly(node)))

    async def write_repeatedly(self, node):
        caller = None
        for number in range(1_000_000):
            item = f"{node.name}-{number}"
            try:
                if not caller:
                    caller = Caller()
                    await caller.connect(node.ports[0], "sales", KEY)
                if (await caller.ask(f"WRITE {item} v", item))[0].startswith("COMPLETE"):
                    self.acknowledged.append(item)
            except (OSError, TimeoutError):
                caller = None
            await asyncio.sleep(0.02)

    def lost_writes(self):
        held = {item for _, _, item, _ in self.group().primary().log}
        return [item for item in self.acknowledged if item not in held]

    async def test_a_supervisor_that_starts_after_an_outage_waits_for_all_members(self):
        """Guards against acknowledged commits that are lost because entries had expired in the outage."""
        for node in self.nodes:
            self.keep_writing(node)
        store, supervisor = self.platform.store, self.supervisor()
        store.is_down = True
        supervisor.process.kill()
        supervisor.process.wait()
        self.platform.removed = {"db1-1", "db1-2"}
        await self.platform.register_all()
        await asyncio.sleep(1)
        supervisor.start()
        store.is_down = False
        await asyncio.sleep(REGISTRATION_BOUND_S * 0.7)
        self.platform.removed = set()
        await self.until_ready()
        await asyncio.sleep(2)
        self.assertEqual(self.platform.orders, [])
        self.assertEqual(self.lost_writes(), [])
        self.assertEqual(self.group().primary().id, "db1-1")

    async def return_store(self, copied):
        """The store is unavailable for a moment and returns from the copy. The operator writes again."""
        self.platform.store.is_down = True
        await asyncio.sleep(AWAY_S)
        await self.platform.store.return_from(copied)
        await self.platform.register_all()
        await self.platform.store.put("op", "config", self.platform.configuration)

    async def pass_version(self, version):
        """Writes rows that nobody reads until the store has given out the version again."""
        while self.platform.store.version < version:
            await self.platform.store.put("unrelated", "row", {"version": self.platform.store.version})

    async def refusals(self, node, database, key):
        """Returns whether a session with the key is refused."""
        answer = await Caller().connect(node.ports[0], database, key)
        return not answer[0].startswith("READY")

    async def test_a_change_of_configuration_after_the_store_returned_reaches_all_instances(self):
        """Guards against changes between the copy and a follower's former version that it never reads."""
        await asyncio.sleep(1)
        store = self.platform.store
        copied = store.copy()
        await self.pass_version(store.version + 50)
        lost = store.version
        store.is_down = True
        await asyncio.sleep(AWAY_S)
        await store.return_from(copied)
        await self.configure("db2", [])
        await self.pass_version(lost + 1)
        await asyncio.sleep(CONFIGURATION_BOUND_S)
        for node in self.nodes:
            self.assertTrue(await self.refusals(node, "sales", KEY), node.name)
            caller = Caller()
            await caller.connect(node.ports[0], "sales", "another-key")
            self.assertRegex((await caller.ask("WRITE x 1"))[0], r"COMPLETE db2-")

    async def test_an_instance_that_starts_after_the_store_returned_takes_the_configuration_in_force(self):
        """Guards against a withdrawn key that is accepted again because the store has lost its withdrawal."""
        copied = self.platform.store.copy()
        await self.configure("db1", [])
        for node in self.nodes:
            deadline = time.monotonic() + CONFIGURATION_BOUND_S
            while not await self.refusals(node, "sales", KEY):
                self.assertLess(time.monotonic(), deadline, node.name)
                await asyncio.sleep(0.05)
        supervisor = self.supervisor()
        self.platform.store.is_down = True
        await asyncio.sleep(AWAY_S)
        await self.platform.store.return_from(copied)
        supervisor.process.kill()
        supervisor.process.wait()
        supervisor.start()
        await self.until_ready()
        await asyncio.sleep(CONFIGURATION_BOUND_S)
        self.assertTrue(await self.refusals(supervisor, "sales", KEY))

    async def test_an_instance_that_the_store_has_forgotten_registers_again(self):
        """Guards against stale reads by an instance that no change of primary waits for."""
        store = self.platform.store
        copied = store.copy()
        await self.pass_version(store.version + 100)
        added = self.add_node(NODES)
        await self.until_ready()
        await asyncio.sleep(1)
        await self.return_store(copied)
        await self.until(lambda: store.document("sycamorespan", f"instance/{added.name}"), REGISTRATION_BOUND_S + 1,
                         "the row of the added instance is written again")

    async def test_statements_go_on_and_primaries_change_after_the_store_returned(self):
        """Guards against a database without a primary: rows of views are lost, and their versions given out again."""
        store = self.platform.store
        copied = store.copy()
        self.platform.draining.add("db1-1")
        await self.until(lambda: self.group().primary() and self.group().primary().id != "db1-1", CHANGE_BOUND_S,
                         "the primary is replaced")
        await asyncio.sleep(1)
        for node in self.nodes:
            self.keep_writing(node)
        await asyncio.sleep(1)
        await self.return_store(copied)
        before = len(self.acknowledged)
        await asyncio.sleep(1)
        self.assertGreater(len(self.acknowledged), before, "writes go on")
        await asyncio.sleep(1)
        second = self.group().primary().id
        self.platform.draining.add(second)
        await self.until(lambda: self.group().primary() and self.group().primary().id not in ("db1-1", second),
                         CHANGE_BOUND_S, "the primary is replaced after the return")
        self.nodes[1].process.kill()
        self.nodes[1].process.wait()
        self.nodes[1].start()
        await self.until_ready()
        for node in self.nodes:
            caller = Caller()
            await caller.connect(node.ports[0], "sales", KEY)
            self.assertRegex((await caller.ask("WRITE x 1"))[0], "COMPLETE")
        self.assertEqual(self.lost_writes(), [])
        tokens = [order[2] for order in self.platform.orders]
        self.assertEqual(tokens, sorted(tokens))

    async def test_no_version_is_asked_for_again_without_a_pause_while_the_store_is_behind(self):
        """Guards against followers that ask a store that is behind their version hundreds of times a second."""
        await asyncio.sleep(1)
        store = self.platform.store
        copied = store.copy()
        await self.pass_version(store.version + 500)
        await self.return_store(copied)
        await asyncio.sleep(1)
        calls = store.calls
        await asyncio.sleep(3)
        self.assertLess(store.calls - calls, CALLS_IN_CALM * 3)

    async def replace_primary(self, remove):
        """Removes the primary and waits until another one takes writes at every instance."""
        former = self.group().primary().id
        await remove(former)
        await self.until(lambda: self.group().primary() and self.group().primary().id != former, CHANGE_BOUND_S,
                         f"the primary {former} is replaced")
        for node in self.nodes:
            deadline = time.monotonic() + CHANGE_BOUND_S
            caller = Caller()
            await caller.connect(node.ports[0], "sales", KEY)
            while not (answer := await caller.ask("WRITE x 1"))[0].startswith("COMPLETE"):
                self.assertLess(time.monotonic(), deadline, answer)
                await asyncio.sleep(0.1)
        return former

    async def drain(self, member):
        self.platform.draining = {member}

    async def test_draining_primaries_are_replaced_while_others_write_to_the_store(self):
        """Guards against changes of primary that conflict with their own rows for ever."""
        self.platform.store.interleaving_rate = 1
        for node in self.nodes:
            self.keep_writing(node)
        for _ in range(3):
            await self.replace_primary(self.drain)
            await asyncio.sleep(0.5)
        self.assertEqual(self.lost_writes(), [])

    async def test_a_lost_primary_is_replaced_by_a_new_supervisor_while_others_write_to_the_store(self):
        """Guards against a database without a primary: a claim or a view with a revision that its row never had."""
        self.platform.store.interleaving_rate = 1
        supervisor = self.supervisor()
        supervisor.process.kill()
        supervisor.process.wait()
        supervisor.start()
        await self.until_ready()
        lost = await self.replace_primary(lambda member: self.group().members[member].kill())
        self.platform.removed.add(lost)
        await self.replace_primary(self.drain)

    async def test_instances_start_and_stop_while_others_write_to_the_store(self):
        """Guards against instances that are never ready, and rows of instances that have stopped."""
        store = self.platform.store
        store.interleaving_rate = 1
        await self.replace_primary(self.drain)
        added = self.add_node(NODES)
        await self.until_ready()
        row = f"instance/{added.name}"
        self.assertIsNotNone(store.document("sycamorespan", row))
        added.process.terminate()
        await self.until(lambda: store.document("sycamorespan", row) is None, STOP_BOUND_S,
                         "the row of the stopped instance is removed")


if __name__ == "__main__":
    unittest.main()
