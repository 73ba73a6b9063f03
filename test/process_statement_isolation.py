"""Tests that members run what callers sent: in the shape, with the values and in the transaction that were
acknowledged to them, whatever legal texts they send and whatever members refuse (issue 37)."""
import asyncio
import os
import pathlib
import random
import re
import shutil
import sys
import tempfile
import time
import unittest

from loopback import HOST

os.environ["SYCAMORESPAN_TEST_HOST"] = HOST
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins" / "users_platform"))
import legal_statements  # noqa: E402
from member import Group, Member, Prepared, Run  # noqa: E402
from node_programs import Node  # noqa: E402
from statement_checks import LegalCaller, Sent, StatementChecker, keep_calling  # noqa: E402
from users_platform import Platform  # noqa: E402

BUILD = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path("build")
PROGRAM = BUILD / "programs" / "node" / "sycamorespan-node"
SEED = 37
INSTANCES, CALLERS = 3, 18
SCARCE, AMPLE = 8, 40  # connections that a member accepts; brokers are used where they are scarce
WORKSPACES = [f"w{number}" for number in range(12)]
ROUTES = {"sales": ("db1", "primary", 0), "browse": ("db1", "bounded_stale", 1500),
          "recall": ("db1", "read_own", 2500)}
BOUND_S = 10
LOAD_BOUND_S = 15


class StatementCheckerTest(unittest.TestCase):
    """Guards against a comparison that passes over a statement that ran otherwise than it was sent."""

    def setUp(self):
        self.checker = StatementChecker()
        self.member = Member(Group("db1"), "m1", "primary")
        self.sent("a", "EXECUTE", "i d", Prepared("WRITE", "q"), {"v": "1"}, None)
        self.sent("b", "READ", "i", None, {}, 1, True)
        self.sent("c", "COMMIT", "", None, {}, 1)
        self.sent("d", "READ", "i", None, {}, 2, True)

    def sent(self, request, word, arguments, prepared, values, transaction, is_first=False):
        self.checker.sent[request] = Sent("w0", word, arguments, prepared, values, transaction, is_first)

    def run_as(self, request, transaction=None, connection=1, **changes):
        sent = self.checker.sent.get(request, self.checker.sent["c"])
        fields = {"workspace": sent.workspace, "word": sent.word, "arguments": sent.arguments,
                  "prepared": sent.prepared, "values": sent.values} | changes
        self.member.runs.append(Run(len(self.member.runs), ("m1", connection), request, transaction=transaction,
                                    receipt=f"m1.{request}", **fields))

    def rules(self):
        return sorted(each.split(":")[0] for each in self.checker.check([self.member]))

    def test_statements_as_sent_are_no_finding(self):
        self.run_as("a")
        self.run_as("b", 7)
        self.run_as("b", 8, connection=2)  # the first statement of a transaction may be repeated elsewhere
        self.run_as("c", 8, connection=2)
        self.checker.sent["c"].answer = ["COMPLETE m1.c", "READY I -"]
        self.assertEqual(self.rules(), [])

    def test_each_difference_is_a_finding(self):
        cases = {
            "PINNED shape": [("a", None, {"prepared": Prepared("WRITE", "q ")})],
            "PINNED values": [("a", None, {"values": {"v": "2"}})],
            "PINNED transaction": [("a", 3, {})],
            "PINNED transaction of another": [("b", 7, {}), ("d", 7, {})],
            "PINNED connection": [("b", 7, {}), ("c", 7, {"connection": 2})],
            "UNASKED text": [("a", None, {"arguments": "i  d"})],
            "UNASKED workspace": [("a", None, {"workspace": "w1"})],
            "UNASKED id": [("-", 7, {})],  # a COMMIT of the system's own
        }
        for rule, runs in cases.items():
            with self.subTest(rule):
                self.setUp()
                for request, transaction, changes in runs:
                    self.run_as(request, transaction, **changes)
                self.assertEqual(self.rules(), [rule])

    def test_single_write_that_runs_twice_and_answer_of_another_are_findings(self):
        self.sent("e", "WRITE", "i d", None, {}, None)
        self.run_as("e")
        self.run_as("e")
        self.run_as("b", 7)
        self.checker.sent["b"].answer = ["COMPLETE m1.e", "READY T -"]
        self.assertEqual(self.rules(), ["MIXED receipt", "TWICE"])


class StatementIsolationTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, connections):
        self.folder, self.passed = pathlib.Path(tempfile.mkdtemp(prefix="isolation-")), False
        self.platform = Platform(["db1"])
        await self.platform.start()
        await self.platform.configure(
            ROUTES, {name: ([f"key-of-{name}"], 5000, 5000) for name in WORKSPACES}, connections=connections)
        self.members = list(self.platform.groups["db1"].members.values())
        self.nodes = [Node(PROGRAM, self.platform, f"n{index}", "a", self.folder)
                      for index in range(INSTANCES)]
        for node in self.nodes:
            await self.until(node.is_ready, f"{node.name} is ready")
        self.checker = StatementChecker()

    async def asyncTearDown(self):
        for node in self.nodes:
            node.stop()
        self.platform.heartbeat.cancel()
        if self.passed:
            shutil.rmtree(self.folder)
        else:
            print(f"{self.id()}: logs in {self.folder}", flush=True)

    async def until(self, condition, what):
        deadline = time.monotonic() + BOUND_S
        while not await asyncio.to_thread(condition):
            self.assertLess(time.monotonic(), deadline, f"not within {BOUND_S} s: {what}")
            await asyncio.sleep(0.05)

    def has_broker(self, node):
        lines = [line for line in node.lines() if "broker chosen" in line or "no broker any more" in line]
        return bool(lines) and re.search(r" broker=\S+", lines[-1]) is not None

    def break_members(self):
        """Members refuse setups, and lose some answers."""
        for member in self.members:
            member.random.seed(f"{SEED}-{member.id}")
            member.setup_refusal_rate, member.lost_answer_rate = 0.3, 0.003

    async def load(self, statements, leaving_rate=0):
        """Sends statements until members have completed this many."""
        end = time.monotonic() + LOAD_BOUND_S

        def caller(number):
            draw = random.Random(f"{SEED}-{number}")
            workspace = WORKSPACES[number % len(WORKSPACES)]
            return keep_calling(
                draw, self.checker, workspace,
                lambda: (draw.choice(self.nodes).ports[0], draw.choice(list(ROUTES)), f"key-of-{workspace}"),
                lambda: self.checker.outcomes["COMPLETE"] >= statements or time.monotonic() > end, leaving_rate)

        await asyncio.gather(*(caller(number) for number in range(CALLERS)))
        self.check(statements)

    def check(self, statements):
        """Fails if a member ran anything but what its caller had sent, or if little was run."""
        findings = self.checker.check(self.members)
        refused = sum(member.refused_setups for member in self.members)
        lost = sum(member.lost_answers for member in self.members)
        runs = sum(len(member.runs) for member in self.members)
        print(f"{self.id().split('.')[-1]}: {runs} runs, {refused} refused setups, {lost} lost answers, "
              f"outcomes {dict(self.checker.outcomes)}, findings {dict(self.checker.counts())}", flush=True)
        self.assertEqual([each[:400] for each in findings[:8]], [], f"{len(findings)} findings")
        self.assertGreaterEqual(self.checker.outcomes["COMPLETE"], statements)
        self.assertTrue(all(node.process.poll() is None for node in self.nodes))
        self.passed = True

    async def test_legal_texts_reach_members_unchanged(self):
        await self.start(AMPLE)
        await self.load(2000)
        self.assertEqual(self.checker.outcomes["INDOUBT"], 0)

    async def test_refused_setups_leave_no_statement_to_run_without_them(self):
        await self.start(AMPLE)
        self.break_members()
        await self.load(800, leaving_rate=0.02)
        self.assertGreater(sum(member.refused_setups for member in self.members), 0)

    async def test_refused_setups_leave_no_statement_to_run_without_them_at_a_broker(self):
        await self.start(SCARCE)
        await self.until(lambda: all(self.has_broker(node) for node in self.nodes), "all nodes have a broker")
        self.break_members()
        await self.load(800, leaving_rate=0.02)
        self.assertGreater(sum(member.refused_setups for member in self.members), 0)

    async def test_thousands_of_names_in_one_session_keep_their_shapes(self):
        await self.start(AMPLE)
        draw = random.Random(SEED)
        caller = LegalCaller(draw, self.checker, "w0")
        self.assertTrue(await caller.connect(self.nodes[0].ports[0], "sales", "key-of-w0"))
        for number in range(3000):
            name = f"{number}" + "n" * (legal_statements.NAME_BYTES - len(str(number)) if number % 10 == 0 else 0)
            self.assertTrue(await caller.prepare(name, draw.choice(("READ", "WRITE")),
                                                 f"{legal_statements.last_field(draw)} {number % 1500}"))
        for name in draw.choices(list(caller.prepared), k=300):
            access = caller.prepared[name].access
            self.assertIn(await caller.execute(name, caller.arguments(access, f"EXECUTE {name}")),
                          ("ROW", "COMPLETE"))
        caller.writer.close()
        self.check(300)


if __name__ == "__main__":
    unittest.main()
