"""Tests of the node program with a simulated users' platform: statements, failover, switchover, shutdown."""
import asyncio
import json
import os
import pathlib
import re
import sys
import tempfile
import time
import unittest
import unittest.mock
import urllib.request

from loopback import HOST

os.environ["SYCAMORESPAN_TEST_HOST"] = HOST
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins" / "users_platform"))
from node_programs import Caller, Node  # noqa: E402
from users_platform import Platform  # noqa: E402

BUILD = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path("build")
PROGRAM = BUILD / "programs" / "node" / "sycamorespan-node"
KEY, SECOND_KEY = "a-secret-key-of-the-shop", "another-key-of-the-shop"
START_BOUND_S = 10
CHANGE_BOUND_S = 11  # time limit that the users set for a change of primary
CONFIGURATION_BOUND_S = 5
CONFIGURATION_APPLY_S = 3  # bounds.config_apply_ms
STOP_BOUND_S = 6


class NodeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(["db1"])
        await self.platform.start()
        await self.configure([KEY])
        self.nodes = [Node(PROGRAM, self.platform, f"n{index}", "abc"[index], pathlib.Path(self.folder.name))
                      for index in range(2)]
        for node in self.nodes:
            await self.until(node.is_ready, START_BOUND_S, f"{node.name} is ready")

    async def asyncTearDown(self):
        for node in self.nodes:
            node.stop()
        self.platform.heartbeat.cancel()
        self.folder.cleanup()

    async def configure(self, keys, rate=1000, idle_ms=3000):
        await self.platform.configure(
            {"sales": ("db1", "primary", 0), "browse": ("db1", "bounded_stale", 1500),
             "recall": ("db1", "read_own", 2500)},
            {"shop": (keys, rate, rate)}, idle_ms)

    async def until(self, condition, bound_s, what):
        deadline = time.monotonic() + bound_s
        while True:
            result = await asyncio.to_thread(condition)
            if result:
                return result
            self.assertLess(time.monotonic(), deadline, f"not within {bound_s} s: {what}")
            await asyncio.sleep(0.05)

    async def restart_all(self):
        """Kills all nodes at once, starts them again and waits until they are ready."""
        for node in self.nodes:
            node.process.kill()
            node.process.wait()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.until(node.is_ready, START_BOUND_S, f"{node.name} is ready again")

    async def session(self, database="sales", node=0, key=KEY):
        caller = Caller()
        self.assertEqual(await caller.connect(self.nodes[node].ports[0], database, key), ["READY I -"])
        return caller

    async def write_until_accepted(self, caller, item, bound_s):
        deadline = time.monotonic() + bound_s
        for attempt in range(1000):
            answer = await caller.ask(f"WRITE {item} v{attempt}", "w")
            if answer[0].startswith("COMPLETE"):
                return f"v{attempt}"
            self.assertLess(time.monotonic(), deadline, answer)
            await asyncio.sleep(0.05)

    def group(self):
        return self.platform.groups["db1"]

    async def test_statements_without_faults(self):
        caller = await self.session()
        self.assertRegex((await caller.ask("WRITE x one"))[0], r"COMPLETE db1-1\.")
        self.assertEqual((await caller.ask("READ x"))[0], "ROW one")
        self.assertEqual(await caller.ask("SET v0 a"), ["COMPLETE -", "READY I -"])
        await caller.ask("PREPARE s0 READ q1")
        self.assertEqual((await caller.ask("EXECUTE s0 x"))[0], "ROW one")
        self.assertEqual(await caller.ask("BEGIN"), ["COMPLETE -", "READY T -"])
        await caller.ask("WRITE x two")
        self.assertEqual((await caller.ask("ROLLBACK"))[1], "READY I -")
        self.assertEqual((await caller.ask("READ x"))[0], "ROW one")
        await caller.ask("DEALLOC s0")
        self.assertIn("NOSTMT", (await caller.ask("EXECUTE s0 x"))[0])

    async def test_session_reads_its_own_writes_at_replicas(self):
        caller = await self.session("recall")
        for number in range(30):
            await caller.ask(f"WRITE x {number}")
            self.assertEqual((await caller.ask("READ x"))[0], f"ROW {number}")

    async def test_read_through_another_instance_respects_staleness_bound(self):
        writer = await self.session("sales", 0)
        await writer.ask("WRITE x fresh")
        await asyncio.sleep(1.6)
        reader = await self.session("browse", 1)
        self.assertEqual((await reader.ask("READ x"))[0], "ROW fresh")

    async def test_killed_primary_fails_over_without_data_loss(self):
        caller = await self.session()
        await caller.ask("WRITE x kept")
        await self.group().primary().kill()
        await self.write_until_accepted(caller, "y", CHANGE_BOUND_S)
        self.assertEqual((await caller.ask("READ x"))[0], "ROW kept")
        tokens = [order[2] for order in self.platform.orders]
        self.assertEqual(tokens, sorted(tokens))

    async def test_unresponsive_primary_fails_over_and_pending_write_is_in_doubt(self):
        caller = await self.session()
        self.group().primary().is_unresponsive = True
        answer = await caller.ask("WRITE x 1", "lost")
        self.assertRegex(answer[0], "ERROR (INDOUBT|TIMEOUT)")
        await self.write_until_accepted(caller, "y", CHANGE_BOUND_S)
        # The log lines with the id of the request give the cause, as docs/OPERATIONS.md describes.
        lines = [line for line in self.nodes[0].lines() if "request=lost1 " in line]
        self.assertTrue(any("outcome=" in line and "cause=" in line for line in lines), lines)
        self.assertTrue(any("change of primary begins" in line and "does not answer" in line
                            for node in self.nodes for line in node.lines()))

    async def test_draining_primary_switches_over_without_errors(self):
        caller = await self.session()
        self.platform.draining.add(self.group().primary().id)
        deadline = time.monotonic() + 4
        while time.monotonic() < deadline:
            answer = await caller.ask("WRITE x 1")
            self.assertTrue(answer[0].startswith("COMPLETE") or "BUSY" in answer[0], answer)
            await asyncio.sleep(0.02)
        self.assertNotEqual(self.group().primary().id, "db1-1")

    async def test_writes_continue_during_store_outage(self):
        caller = await self.session()
        self.platform.store.is_down = True
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            self.assertTrue((await caller.ask("WRITE x 1"))[0].startswith("COMPLETE"))
            await asyncio.sleep(0.1)

    async def test_removed_key_is_rejected_within_configuration_bound(self):
        caller = await self.session("sales", 1)
        await self.configure([])
        deadline = time.monotonic() + CONFIGURATION_BOUND_S
        while (await caller.ask("READ x"))[0].startswith("ROW"):
            self.assertLess(time.monotonic(), deadline)
            await asyncio.sleep(0.1)

    async def test_open_transactions_end_with_their_key(self):
        """Guards against statements and a COMMIT that run for seconds after their key was withdrawn."""
        idle_ms = 10_000  # ends no transaction here
        await self.configure([KEY, SECOND_KEY], idle_ms=idle_ms)
        await asyncio.sleep(1)
        ended = [await self.session("sales", 0), await self.session("sales", 1), await self.session("recall", 0)]
        kept = await self.session("sales", 0, SECOND_KEY)
        for number, caller in enumerate([*ended, kept]):
            self.assertEqual(await caller.ask("BEGIN"), ["COMPLETE -", "READY T -"])
            self.assertTrue((await caller.ask(f"WRITE withdrawn{number} 1"))[0].startswith("COMPLETE"))
        await self.configure([SECOND_KEY], idle_ms=idle_ms)
        await asyncio.sleep(CONFIGURATION_APPLY_S)
        for caller in ended[:2]:
            self.assertEqual((await caller.ask("COMMIT"))[0].split()[:2], ["ERROR", "ABORTED"])
        self.assertEqual((await ended[2].ask("READ x"))[0].split()[:2], ["ERROR", "ABORTED"])
        self.assertEqual(await ended[2].ask("ROLLBACK"), ["COMPLETE -", "READY I -"])
        for caller in ended:
            self.assertEqual((await caller.ask("READ x"))[0].split()[:2], ["ERROR", "AUTHFAIL"])
        self.assertTrue((await kept.ask("COMMIT"))[0].startswith("COMPLETE"))
        values = [self.platform.groups["db1"].primary().value(f"withdrawn{number}") for number in range(4)]
        self.assertEqual(values, ["none", "none", "none", "1"])

    async def test_rate_limit_applies_across_instances(self):
        rate = 20
        await self.configure([KEY], rate)
        await asyncio.sleep(1)
        callers = [await self.session("sales", index % 2) for index in range(8)]
        accepted = 0

        async def send_until(caller, until):
            nonlocal accepted
            while time.monotonic() < until:
                answer = await caller.ask("READ x")
                accepted += answer[0].startswith("ROW")

        seconds = 3
        started = time.monotonic()
        await asyncio.gather(*(send_until(caller, started + seconds) for caller in callers))
        # The last answers arrive after the end of the interval, so the rate is checked over the elapsed time.
        self.assertLessEqual(accepted, rate * (time.monotonic() - started) + rate)
        self.assertGreaterEqual(accepted, rate * seconds * 0.7)
        refused = [line for line in self.nodes[0].lines() if "is over its rate" in line]
        self.assertTrue(refused)
        self.assertIn("outcome=busy", refused[0])

    async def test_graceful_shutdown_closes_only_idle_sessions(self):
        caller = await self.session()
        self.nodes[0].process.terminate()
        for _ in range(10):
            self.assertTrue((await caller.ask("READ x"))[0].startswith("ROW"))
            await asyncio.sleep(0.05)
        self.assertFalse(self.nodes[0].is_ready())
        self.assertEqual(await asyncio.wait_for(caller.reader.read(), STOP_BOUND_S), b"")
        self.assertEqual(await asyncio.to_thread(self.nodes[0].process.wait, STOP_BOUND_S), 0)

    async def test_busy_sessions_get_their_answers_at_a_planned_stop(self):
        """Guards against sessions that are never idle and were cut off at the end of the shutdown."""
        unanswered = []

        async def keep_reading(number):
            caller = await self.session("browse")
            sent = answered = 0
            try:
                while True:
                    while sent < answered + 2:  # the next request waits, so that the session is never idle
                        caller.writer.write(f"QUERY busy{number}n{sent} READ x\r\n".encode())
                        sent += 1
                    line = await caller.reader.readline()
                    if not line:
                        break
                    answered += line.startswith(b"READY")
            except ConnectionError:
                pass
            unanswered.extend(f"busy{number}n{each}" for each in range(answered, sent))

        with unittest.mock.patch("member.STATEMENT_DURATION_S", 0.055):
            readers = [asyncio.create_task(keep_reading(number)) for number in range(15)]
            await asyncio.sleep(1)
            self.nodes[0].process.terminate()
            await asyncio.wait_for(asyncio.gather(*readers), STOP_BOUND_S)
        self.assertEqual(await asyncio.to_thread(self.nodes[0].process.wait, STOP_BOUND_S), 0)
        # The last requests of a session may be on the way when it is closed. They must not be read.
        ran = {request for member in self.group().members.values() for _, request, _ in member.ran}
        logged = "\n".join(self.nodes[0].lines())
        self.assertEqual([request for request in unanswered if request in ran], [])
        self.assertEqual([request for request in unanswered if f"request={request} " in logged], [])

    async def test_answers_reach_slow_callers_at_a_planned_stop(self):
        """Guards against answers that were dropped with the buffers of a closed connection."""
        row = "v" * 500_000
        for member in self.group().members.values():
            member.log.append((1, 1, "large", row))
            member.applied = len(member.log)
        caller = await self.session()
        answers = 40  # 20 MB, more than the socket buffers hold
        caller.writer.write(b"".join(b"QUERY slow%d READ large\r\n" % number for number in range(answers)))
        await asyncio.sleep(1)
        self.nodes[0].process.terminate()
        await asyncio.sleep(3)  # the session is idle, and closed before the caller goes on reading
        received = b""
        while part := await caller.reader.read(100_000):
            received += part
            await asyncio.sleep(0.005)
        self.assertEqual(received.count(b"READY I -\r\n"), answers)
        self.assertEqual(received.count(b"ROW " + row.encode()), answers)
        self.assertEqual(await asyncio.to_thread(self.nodes[0].process.wait, STOP_BOUND_S), 0)

    async def test_service_recovers_after_all_instances_were_killed(self):
        await self.restart_all()
        caller = await self.session()
        await self.write_until_accepted(caller, "x", CHANGE_BOUND_S)

    async def test_stops_in_series_cut_off_no_request_that_was_read(self):
        stopped = False
        unanswered = []

        async def keep_writing(number):
            caller, count = None, 0
            while not stopped:
                # New sessions go to an instance that is ready, as the platform's balancer sends them.
                if caller is None:
                    ready = [index for index, node in enumerate(self.nodes)
                             if await asyncio.to_thread(node.is_ready)]
                    if not ready:
                        await asyncio.sleep(0.05)
                        continue
                    try:
                        caller = await self.session("sales", ready[number % len(ready)])
                    except (OSError, AssertionError):
                        continue
                count += 1
                request = f"stop{number}n{count}"
                try:
                    answer = await caller.exchange(f"QUERY {request} WRITE item{number} v{count}")
                except ConnectionError:
                    answer = [""]
                if answer[-1] == "":
                    unanswered.append(request)
                    caller = None

        writers = [asyncio.create_task(keep_writing(number)) for number in range(8)]
        for index in (0, 1, 0):
            node = self.nodes[index]
            await asyncio.sleep(1)
            node.process.terminate()
            self.assertEqual(await asyncio.to_thread(node.process.wait, STOP_BOUND_S + 1), 0)
            node.start()
            await self.until(node.is_ready, START_BOUND_S, f"{node.name} is ready again")
        stopped = True
        await asyncio.gather(*writers)
        # A session may be closed between two operations, while its next request is on the way; such a
        # request was not read and must not have run.
        ran = {request for member in self.group().members.values() for _, request, _ in member.ran}
        logged = "\n".join(line for node in self.nodes for line in node.lines())
        self.assertGreater(len(ran), len(writers), "no load during the stops")
        self.assertEqual([request for request in unanswered if request in ran], [])
        self.assertEqual([request for request in unanswered if f"request={request} " in logged], [])

    async def test_nothing_removed_while_an_instance_was_down_is_used_after_its_restart(self):
        caller = await self.session("sales", 1)
        self.assertTrue((await caller.ask("WRITE x 1"))[0].startswith("COMPLETE"))
        restarted = self.nodes[0]
        restarted.process.kill()
        restarted.process.wait()
        removed = self.group().members["db1-3"]
        self.platform.removed.add(removed.id)
        used_before = len(removed.ran)
        other_key = "the-key-that-replaces-it"
        await self.configure([other_key])
        restarted.start()
        await self.until(restarted.is_ready, START_BOUND_S, f"{restarted.name} is ready again")
        self.assertIn("AUTHFAIL", (await Caller().connect(restarted.ports[0], "sales", KEY))[0])
        reader = Caller()
        self.assertEqual(await reader.connect(restarted.ports[0], "browse", other_key), ["READY I -"])
        for _ in range(50):
            self.assertEqual((await reader.ask("READ x"))[0], "ROW 1")
        self.assertEqual(len(removed.ran), used_before)

    async def test_messages_out_of_order_end_only_their_session(self):
        """Guards against a second CONNECT while a statement waits, which left a queue with a lost session."""
        caller = await self.session()
        port = self.nodes[0].ports[0]
        orders = [["CONNECT browse {key}", "QUERY a READ x", "CONNECT sales {key}", "QUIT"],
                  ["CONNECT sales {key}", "CONNECT sales {key}", "QUERY a READ x"],
                  ["QUERY a READ x"], ["QUERY a READ x", "CONNECT sales {key}"], ["QUIT", "QUERY a READ x"],
                  ["CONNECT sales {key}", "QUERY a BEGIN", "QUERY b WRITE x 1", "CONNECT recall {key}", "QUIT"]]
        for lines in orders * 5:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write("".join(f"{line}\r\n" for line in lines).format(key=KEY).encode())
            received = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            if lines[0] != "QUIT":
                self.assertIn(b"ERROR MALFORMED", received, lines)
            self.assertTrue((await caller.ask("WRITE y 1"))[0].startswith("COMPLETE"))
        self.assertIsNone(self.nodes[0].process.poll())
        self.assertNotIn("unexpected error", "\n".join(self.nodes[0].lines()))

    async def test_statements_sent_before_the_first_configuration_run_in_their_order(self):
        """Guards against statements that overtook each other when the first configuration came."""
        node = self.nodes[0]
        for each in self.nodes:
            each.process.kill()
            each.process.wait()
        await self.platform.store.drop("op", "config")
        node.start()
        lines = [f"CONNECT sales {KEY}"] + [f"QUERY r{number} WRITE x v{number}" for number in range(6)]

        async def connect():
            try:
                return await asyncio.open_connection(HOST, node.ports[0])
            except OSError:
                return None

        streams = None
        while streams is None:
            streams = await connect()
            await asyncio.sleep(0.05)
        reader, writer = streams
        writer.write("".join(f"{line}\r\n" for line in lines).encode())
        await asyncio.sleep(0.5)
        await self.configure([KEY])
        answers = [await asyncio.wait_for(reader.readline(), START_BOUND_S) for _ in range(13)]
        self.assertTrue(all(line.startswith((b"READY", b"COMPLETE")) for line in answers), answers)
        members = self.platform.groups["db1"].members
        log = max((member.log for member in members.values()), key=len)
        self.assertEqual([data for _, _, item, data in log if item == "x"], [f"v{number}" for number in range(6)])
        writer.close()

    async def test_odd_entries_of_the_server_list_cost_only_themselves(self):
        """Guards against an entry of another writer that ends processes, or stops a list or a change of primary."""
        member = self.group().members["db1-2"]
        whole = self.platform.entry(member, 1)
        nested = "[" * 20_000 + "]" * 20_000
        odd = {
            "port": json.dumps(whole | {"address": f"{HOST}:70000"}),
            "no-port": json.dumps(whole | {"address": f"{HOST}:0"}),
            "number": json.dumps(whole | {"capacity": 10 ** 30}),
            "negative": json.dumps(whole | {"capacity": -5}),
            "infinite": json.dumps(whole).replace('"capacity": 5', '"capacity": 1e999'),
            "born": json.dumps(whole | {"born": 1e40}),
            "nested": json.dumps(whole).replace('"version": "v1"', f'"version": {nested}, "backend": {nested}'),
            "only-nested": nested,
            "blank id": json.dumps(whole),
            "two\r\nlines": json.dumps(whole),
            "bytes": "\ufffd\x00",
        }
        for name, text in odd.items():
            await self.platform.store.put_text("servers", name, text)
        await self.platform.store.write([], [{"table": "servers", "part": "", "key": "no-base64",
                                              "value": "%%%"}], [])
        caller = await self.session()
        self.assertTrue((await caller.ask("WRITE x kept"))[0].startswith("COMPLETE"))
        await self.group().primary().kill()
        await self.write_until_accepted(caller, "y", CHANGE_BOUND_S)
        self.assertEqual((await caller.ask("READ x"))[0], "ROW kept")
        for node in self.nodes:
            self.assertIsNone(node.process.poll())
            metrics = await asyncio.to_thread(lambda port=node.ports[2]: urllib.request.urlopen(
                f"http://{HOST}:{port}/metrics").read().decode())
            rejected = re.search(r'sycamorespan_rejected_entries_total{list="servers"} (\d+)', metrics)
            self.assertGreaterEqual(int(rejected.group(1)), len(odd) + 1)
            text = "\n".join(node.lines())
            for name in ("port", "number", "nested", "no-base64"):
                self.assertRegex(text, f"entry of a list could not be decoded.* entry={name} ")
        # The list is still followed: a member that leaves it gets no more work.
        replica = next(each for each in self.group().members.values() if each.is_up and each.role == "replica")
        self.platform.removed.add(replica.id)
        await self.until(lambda: all(any("server list changed" in line and "count=1 " in line
                                         for line in node.lines()) for node in self.nodes),
                         CONFIGURATION_BOUND_S, "the removed member is out of use")

    async def test_lists_of_several_pages_are_read_completely(self):
        """Guards against members that are taken for removed because they are on a later page."""
        self.platform.store.page_rows = 2
        lines_before = {node: len(node.lines()) for node in self.nodes}
        await self.restart_all()
        for node in self.nodes:
            await self.until(lambda node=node: any("server list changed" in line and "count=3 " in line
                                                   for line in node.lines()[lines_before[node]:]),
                             START_BOUND_S, f"{node.name} knows all members")
        await self.group().primary().kill()
        await self.write_until_accepted(await self.session(), "y", CHANGE_BOUND_S)

    async def test_an_odd_route_of_a_configuration_costs_only_that_route(self):
        caller = await self.session()
        await self.configure([KEY])
        self.platform.configuration["routes"].append({"db_name": "odd", "type": "new", "backend": 7})
        self.platform.configuration["routes"].append("no route")
        self.platform.version += 1
        self.platform.configuration["version"] = self.platform.version
        await self.platform.store.put("op", "config", self.platform.configuration)
        await self.until(lambda: all(any("configuration in force" in line and f"version={self.platform.version} " in line
                                         for line in node.lines()) for node in self.nodes),
                         CONFIGURATION_BOUND_S, "the version is in force")
        self.assertTrue((await caller.ask("WRITE x 1"))[0].startswith("COMPLETE"))
        self.assertIn("NODB", (await Caller().connect(self.nodes[0].ports[0], "odd", KEY))[0])
        self.assertTrue(any("entry of a list could not be decoded" in line and "entry=odd" in line
                            for line in self.nodes[0].lines()))

    async def test_malformed_input_does_not_affect_other_sessions(self):
        caller = await self.session()
        for junk in (b"\x00\xff\n", b"QUERY a READ x\n", b"HELLO\r\n", b"x" * 2_000_000):
            _, writer = await asyncio.open_connection(HOST, self.nodes[0].ports[0])
            writer.write(junk)
            try:
                await writer.drain()
            except ConnectionError:
                pass
            writer.close()
        self.assertTrue((await caller.ask("READ x"))[0].startswith("ROW"))

    async def test_keys_appear_in_no_log_metric_or_statement(self):
        await (await self.session()).ask("READ x")
        wrong = Caller()
        self.assertIn("AUTHFAIL", (await wrong.connect(self.nodes[0].ports[0], "sales", "wrong-key"))[0])
        state, metrics = await asyncio.gather(*(
            asyncio.to_thread(lambda path=path: urllib.request.urlopen(
                f"http://{HOST}:{self.nodes[0].ports[2]}/{path}").read().decode())
            for path in ("state", "metrics")))
        text = "\n".join(self.nodes[0].lines()) + state + metrics
        self.assertNotIn(KEY, text)
        self.assertNotIn("wrong-key", text)
        self.assertIn("sycamorespan_statements_total", metrics)
        for _, _, ran in self.group().members["db1-1"].ran:
            self.assertNotIn(KEY, ran)


if __name__ == "__main__":
    unittest.main()
