"""Tests of brokers with real node processes: the broker is killed, restarted, frozen or stopped, its
caller's instance is killed, and the configuration needs brokers or not while work runs."""
import asyncio
import os
import pathlib
import re
import signal
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
WORKSPACES = [f"w{number}" for number in range(12)]
SCARCE, AMPLE = 8, 32  # connections that a member accepts
BOUND_S = 10
LOSS_BOUND_S = 2  # time until another broker serves after one is lost


class BrokersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(["db1"])
        await self.platform.start()
        await self.configure(SCARCE)
        self.nodes = [Node(PROGRAM, self.platform, f"n{index}", "a", pathlib.Path(self.folder.name))
                      for index in range(3)]
        for node in self.nodes:
            await self.until(node.is_ready, BOUND_S, f"{node.name} is ready")
        await self.until(lambda: len({self.chosen(node) for node in self.nodes} - {None}) == 1
                         and all(self.chosen(node) for node in self.nodes),
                         BOUND_S, "all nodes choose one broker")
        self.broker = next(node for node in self.nodes if node.name == self.chosen(self.nodes[0]))
        self.others = [node for node in self.nodes if node is not self.broker]

    async def asyncTearDown(self):
        for node in self.nodes:
            node.stop()
        self.platform.heartbeat.cancel()
        self.folder.cleanup()

    async def configure(self, connections):
        await self.platform.configure(
            {"sales": ("db1", "primary", 0), "browse": ("db1", "bounded_stale", 1500)},
            {name: ([f"key-of-{name}"], 1000, 1000) for name in WORKSPACES}, connections=connections)

    async def until(self, condition, bound_s, what):
        deadline = time.monotonic() + bound_s
        while True:
            result = await asyncio.to_thread(condition)
            if result:
                return result
            self.assertLess(time.monotonic(), deadline, f"not within {bound_s} s: {what}")
            await asyncio.sleep(0.05)

    @staticmethod
    def chosen(node):
        """Returns the name of the broker that the node has chosen last, or None."""
        lines = [line for line in node.lines() if "broker chosen" in line or "no broker any more" in line]
        found = lines and re.search(r" broker=(\S+)", lines[-1])
        return found.group(1) if found else None

    async def session(self, node, database="sales", workspace="w0"):
        caller = Caller()
        answer = await caller.connect(node.ports[0], database, f"key-of-{workspace}")
        self.assertEqual(answer, ["READY I -"])
        return caller

    async def write_until_accepted(self, caller, bound_s):
        deadline = time.monotonic() + bound_s
        while True:
            answer = await caller.ask("WRITE y 1", "again")
            if answer[0].startswith("COMPLETE"):
                return
            self.assertLess(time.monotonic(), deadline, answer)
            await asyncio.sleep(0.05)

    async def test_log_leads_from_the_instance_to_the_broker_and_the_member(self):
        caller = await self.session(self.others[0])
        self.assertTrue((await caller.ask("WRITE x 1", "led"))[0].startswith("COMPLETE"))
        own = await self.until(lambda: [line for line in self.others[0].lines() if "request=led1 " in line],
                               BOUND_S, "the instance logs the statement")
        self.assertIn(f" broker={self.broker.name} ", own[0])
        there = [line for line in self.broker.lines() if "request=led1 " in line]
        self.assertIn(f" served_for={self.others[0].name} ", there[0])
        self.assertIn(" server=db1-1 ", there[0])

    async def test_killed_broker_aborts_its_transactions_and_is_replaced(self):
        caller, other = await self.session(self.others[0]), await self.session(self.others[1])
        await caller.ask("BEGIN")
        await caller.ask("WRITE x 1")
        self.broker.process.kill()
        self.broker.process.wait()
        self.broker.start()  # at once: same instance, new incarnation
        answer = await caller.ask("READ x")
        self.assertIn("ABORTED", answer[0])
        await caller.ask("ROLLBACK")
        await self.write_until_accepted(caller, LOSS_BOUND_S)
        await self.write_until_accepted(other, LOSS_BOUND_S)

    async def test_frozen_broker_is_found_and_replaced(self):
        writer, reader = await self.session(self.others[0]), await self.session(self.others[1], "browse")
        await writer.ask("WRITE x 1")
        await reader.ask("READ x")
        self.broker.process.send_signal(signal.SIGSTOP)
        try:
            write, read = await asyncio.gather(writer.ask("WRITE x 2"), reader.ask("READ x"))
            self.assertRegex(write[0], "ERROR (INDOUBT|TIMEOUT)")
            self.assertTrue(read[0].startswith("ROW"), read)  # repeated elsewhere
            await self.write_until_accepted(writer, LOSS_BOUND_S)
        finally:
            self.broker.process.send_signal(signal.SIGCONT)
        self.assertTrue(any("link to broker lost" in line and "silent" in line
                            for line in self.others[0].lines()))
        await asyncio.sleep(0.5)
        await self.write_until_accepted(writer, LOSS_BOUND_S)

    async def ask_continuously(self, node, number, stopping, failures):
        """Asks over one node, or over another one when a session is closed without an answer."""
        caller, count = await self.session(node, workspace=f"w{number}"), 0
        while not stopping.is_set():
            await caller.ask("BEGIN")
            answers = [await caller.ask(f"WRITE x{number} {count}"), await caller.ask("COMMIT")]
            answers.append(await caller.ask(f"READ x{number}"))
            if not all(answer[0].startswith(("COMPLETE", "ROW")) for answer in answers):
                failures.append(answers)
                await caller.ask("ROLLBACK")
            count += 1
        return count

    async def run_under_load(self, during):
        """Returns the failures of callers of both other nodes while during() runs."""
        stopping, failures = asyncio.Event(), []
        callers = [asyncio.create_task(self.ask_continuously(node, number, stopping, failures))
                   for number, node in enumerate(self.others * 4)]
        await asyncio.sleep(0.3)
        await during()
        stopping.set()
        counts = await asyncio.gather(*callers)
        self.assertGreater(min(counts), 3)
        return failures

    async def test_stopped_broker_hands_over_without_a_failure(self):
        async def stop():
            self.broker.process.terminate()
            await self.until(lambda: self.broker.process.poll() is not None, BOUND_S, "the broker ends")
            await asyncio.sleep(0.5)

        self.assertEqual(await self.run_under_load(stop), [])
        self.assertEqual(self.broker.process.returncode, 0)

    async def test_configuration_turns_brokers_off_and_on_under_load(self):
        async def turn():
            for connections, uses in ((AMPLE, False), (SCARCE, True)):
                await self.configure(connections)
                await self.until(lambda: all(bool(self.chosen(node)) == uses for node in self.nodes),
                                 BOUND_S, f"brokers are used: {uses}")
                await asyncio.sleep(0.3)

        self.assertEqual(await self.run_under_load(turn), [])

    async def test_transaction_of_a_killed_instance_is_rolled_back(self):
        caller = await self.session(self.others[0])
        await caller.ask("BEGIN")
        await caller.ask("WRITE x lost")
        self.others[0].process.kill()
        await self.until(lambda: any("link of another instance ended" in line and " operations=1" in line
                                     for line in self.broker.lines()), BOUND_S, "the broker ends the operation")
        other = await self.session(self.others[1])
        self.assertTrue((await other.ask("WRITE x kept"))[0].startswith("COMPLETE"))
        self.assertEqual((await other.ask("READ x"))[0], "ROW kept")


if __name__ == "__main__":
    unittest.main()
