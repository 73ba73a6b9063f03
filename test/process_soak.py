"""Randomized soak test of the node program: injects faults into real processes and checks the guarantees.

    process_soak.py BUILD [--first SEED] [--seeds N] [--seconds S] [--instances N]

Without options it runs for a short time with each seed that has failed before and two more, for CI. The logs
of a failing seed are kept and their folder is printed. Reports between instances are datagrams, which pass
through no proxy: they are affected only by faults of the processes, not by network faults.
"""
import argparse
import asyncio
import collections
import itertools
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import urllib.request

from loopback import HOST

os.environ["SYCAMORESPAN_TEST_HOST"] = HOST
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins" / "users_platform"))
from node_programs import Caller, Node  # noqa: E402
from statement_checks import (LegalCaller, Sent, StatementChecker, describe, keep_calling,  # noqa: E402
                              shorten)
from users_platform import Platform  # noqa: E402

CI_SEEDS = [1, 2]
REGRESSION_SEEDS = []  # seeds that have failed before, each with a line on the cause
CI_SECONDS = 6

KEY, SMALL_KEY, GUEST_KEY = "key-of-the-shop", "key-of-the-small-shop", "key-of-the-guest"
INSTANCES, WRITERS, LEGAL_CALLERS, GUEST_CALLERS = 3, 4, 8, 2
MAXIMUM_INSTANCES = 140
SCARCE, AMPLE = 8, 32  # connections that a member accepts; brokers are used where they are scarce
LOST_ANSWER_RATE, LEAVING_RATE = 0.002, 0.02  # of the statements at members, and of callers
SHOWN_VIOLATIONS = 10
STALENESS_S = 1.5  # staleness bound of the route "browse"
# Rate limit of the workspace "small" and the excess that the users allow.
SMALL_RATE, SMALL_BURST, QUOTA_WINDOW_S, QUOTA_OVERAGE, QUOTA_SLACK = 20, 20, 5, 0.1, 20
START_BOUND_S, RECOVERY_BOUND_S, ANSWER_BOUND_S = 15, 15, 5
CHANGE_BOUND_S = 11  # time limit that the users set for a change of primary
CONFIGURATION_APPLY_S = 3  # after which an acknowledged configuration is in force
NO_EFFECT_ERRORS = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "CONNLIMIT")  # the write has no effect
CATCH_UP_DELAY_S = 0.05
INTERLEAVING_RATES = (0, 0.1, 0.5)  # of transactions whose answers name the version of another writer's
AWAY_S = 0.5  # time for which the store is away before it returns from a copy


class Link:
    """TCP proxy in front of one member, or between one instance and the store."""

    def __init__(self, target):
        self.target, self.mode, self.connections = target, "open", []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        if self.mode == "reset":
            return writer.transport.abort()
        try:
            other_reader, other_writer = await asyncio.open_connection(HOST, self.target())
        except OSError:
            return writer.transport.abort()
        state = {"is_blocked": False, "writers": (writer, other_writer)}
        self.connections.append(state)
        await asyncio.gather(self.forward(reader, other_writer, state, "requests"),
                             self.forward(other_reader, writer, state, "answers"))
        self.connections.remove(state)

    async def forward(self, reader, writer, state, direction):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(random.uniform(0.01, 0.2))
                dropped = self.mode == "drop all" or self.mode == f"drop {direction}"
                if dropped or state["is_blocked"]:
                    state["is_blocked"] = True  # TCP delivers nothing after a gap
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    def reset_connections(self):
        for state in self.connections:
            for writer in state["writers"]:
                writer.transport.abort()

    def block_connections(self):
        for state in self.connections:
            state["is_blocked"] = True


class CheckedCaller(Caller):
    """Caller of single statements, which are recorded for the checker under ids that no other session uses."""

    sessions = itertools.count(1)

    def __init__(self, checker, workspace):
        self.checker, self.workspace, self.number = checker, workspace, next(self.sessions)

    async def ask(self, text, name="r"):
        word, _, arguments = text.partition(" ")
        request = f"{name}{self.number}-{self.requests + 1}"
        self.checker.sent[request] = Sent(self.workspace, word, arguments, None, {}, None, False)
        self.requests += 1
        return await self.exchange(f"QUERY {request} {text}")


class AnswerRecorder:
    """Records the answers that callers received and checks later reads against them."""

    def __init__(self):
        self.acknowledged = collections.defaultdict(list)  # item -> [(time, value)]
        self.refused = collections.defaultdict(set)
        self.violations = []
        self.served = collections.Counter()

    def newest(self, item, until):
        values = [value for at, value in self.acknowledged[item] if at <= until]
        return values[-1] if values else 0

    def check_read(self, item, value, minimum, what):
        if value < minimum:
            self.violations.append(f"{what} of {item} returned {value}, {minimum} was acknowledged before")
        if value in self.refused[item]:
            self.violations.append(f"{what} of {item} returned {value}, which was refused without effect")


class Soak:
    def __init__(self, program, seed, seconds, instances, folder):
        self.program, self.seconds, self.instances, self.folder = program, seconds, instances, folder
        self.seed, self.random = seed, random.Random(seed)
        self.recorder = AnswerRecorder()
        self.checker = StatementChecker()
        self.items = []
        self.running = True

    async def start(self):
        self.platform = Platform(["db1"])
        self.platform.store.random.seed(self.seed)
        self.platform.store.interleaving_rate = self.random.choice(INTERLEAVING_RATES)
        await self.platform.start()
        self.members = list(self.platform.groups["db1"].members.values())
        self.member_links = {}
        for member in self.members:
            link = self.member_links[member.id] = Link(lambda member=member: member.port)
            await link.start()
            member.listed_port = link.port
            member.random.seed(f"{self.seed}-{member.id}")
            member.setup_refusal_rate = self.random.choice((0, 0.1, 0.3))
            member.lost_answer_rate = LOST_ANSWER_RATE
        await self.configure(AMPLE, has_spare_route=False, has_guest=True)
        self.store_links, self.nodes = [], []
        for index in range(self.instances):
            link = Link(lambda: self.platform.store_port)
            await link.start()
            self.store_links.append(link)
            self.nodes.append(Node(self.program, self.platform, f"n{index}", "abc"[index % 3], self.folder,
                                   link.port))
        await self.until_ready(START_BOUND_S)

    async def configure(self, connections, has_spare_route, has_guest, idle_ms=3000):
        routes = {"sales": ("db1", "primary", 0), "browse": ("db1", "bounded_stale", STALENESS_S * 1000),
                  "recall": ("db1", "read_own", 2500)}
        if has_spare_route:
            routes["spare"] = ("db1", "primary", 0)
        await self.platform.configure(
            routes, {"shop": ([KEY], 5000, 5000), "small": ([SMALL_KEY], SMALL_RATE, SMALL_BURST),
                     "guest": ([GUEST_KEY] if has_guest else [], 5000, 5000)},
            idle_ms, connections)

    async def until_ready(self, bound_s):
        deadline = time.monotonic() + bound_s
        for node in self.nodes:
            while not await asyncio.to_thread(node.is_ready):
                if time.monotonic() > deadline:
                    self.recorder.violations.append(f"{node.name} was not ready within {bound_s} s")
                    await asyncio.to_thread(self.save_state, node)
                    return
                await asyncio.sleep(0.1)

    def save_state(self, node):
        try:
            url = f"http://{HOST}:{node.ports[2]}/state"
            text = urllib.request.urlopen(url, timeout=1).read()
        except OSError as error:
            text = repr(error).encode()
        (self.folder / f"{node.name}-state.json").write_bytes(text)

    # Callers.

    async def session(self, route, key=KEY):
        caller = CheckedCaller(self.checker, "shop" if key == KEY else "small")
        node = self.random.choice(self.nodes)
        answer = await caller.connect(node.ports[0], route, key)
        return caller if answer[0] == "READY I -" else None

    async def repeat_in_sessions(self, route, key, step):
        """Repeats step in one session until the session ends, then opens the next session."""
        while self.running:
            try:
                caller = await self.session(route, key)
                while caller and self.running and await step(caller):
                    await asyncio.sleep(self.random.uniform(0.005, 0.03))
                if caller:
                    caller.writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)

    async def write_and_read(self, number, route):
        state = {"generation": 0, "value": 0}

        async def step(caller):
            item = f"w{number}-{state['generation']}"
            if state["value"] == 0:
                self.items.append(item)
            state["value"] += 1
            value = state["value"]
            answer = [""]
            try:
                answer = await caller.ask(f"WRITE {item} {value}", f"{item}-{value}-")
            finally:
                words = answer[0].split()
                if words[:1] == ["COMPLETE"]:
                    self.recorder.acknowledged[item].append((time.monotonic(), value))
                    self.recorder.served[route] += 1
                elif words[:1] == ["ERROR"] and words[1] in NO_EFFECT_ERRORS:
                    self.recorder.refused[item].add(value)
                else:  # the write may take effect at any later time, so reads of this item cannot be checked
                    state.update(generation=state["generation"] + 1, value=0)
            if words[:1] != ["COMPLETE"]:
                return bool(words)
            answer = await caller.ask(f"READ {item}")
            if answer[0].startswith("ROW"):
                self.recorder.check_read(item, int(answer[0].split()[1]), value, f"own read on {route}")
            return len(answer) > 1 or answer[0] != ""

        await self.repeat_in_sessions(route, KEY, step)

    async def read(self, route, staleness_s):
        async def step(caller):
            if not self.items:
                return True
            item = self.random.choice(self.items[-2 * WRITERS:])
            minimum = self.recorder.newest(item, time.monotonic() - staleness_s)
            answer = await caller.ask(f"READ {item}")
            if answer[0].startswith("ROW"):
                value = answer[0].split()[1]
                self.recorder.check_read(item, 0 if value == "none" else int(value), minimum,
                                        f"read on {route}")
                self.recorder.served[route] += 1
            return answer[0] != ""

        await self.repeat_in_sessions(route, KEY, step)

    async def exceed_rate(self):
        async def step(caller):
            return (await caller.ask("READ any"))[0] != ""

        await asyncio.gather(*(self.repeat_in_sessions("browse", SMALL_KEY, step) for _ in range(3)))

    def call_legally(self, number, workspace="shop", key=KEY):
        draw = random.Random(f"{self.seed}-{number}-{workspace}")
        return keep_calling(
            draw, self.checker, workspace,
            lambda: (draw.choice(self.nodes).ports[0], draw.choice(("sales", "browse", "recall", "spare")), key),
            lambda: not self.running, LEAVING_RATE, 0.02)

    # Faults. Each lasts for a limited time and is then undone. Faults can overlap.

    async def fault(self, kind, length):
        node = self.random.choice(self.nodes)
        member = self.random.choice(self.members)
        link = self.random.choice([self.member_links[member.id], *self.store_links])
        store = self.platform.store
        if kind == "kill":
            node.process.kill()
            await self.restart(node, node.process)
        elif kind == "kill all":
            for each in self.nodes:
                each.process.kill()
            await asyncio.gather(*(self.restart(each, each.process) for each in self.nodes))
        elif kind == "stop":
            node.process.terminate()
            await self.restart(node, node.process)
        elif kind == "reload":
            node.process.send_signal(signal.SIGHUP)
        elif kind == "stops in series":
            restarts = []
            for each in self.nodes[:INSTANCES]:
                each.process.terminate()
                restarts.append(asyncio.create_task(self.restart(each, each.process)))
                await asyncio.sleep(length / INSTANCES)
            await asyncio.gather(*restarts)
        elif kind == "signals in series":
            process = node.process
            for _ in range(5):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(length / 10)
            process.terminate()
            process.send_signal(signal.SIGHUP)
            process.terminate()
            await self.restart(node, process)
        elif kind == "configurations in series":
            for _ in range(4):
                await self.configure(self.random.choice((SCARCE, AMPLE)), self.random.random() < 0.5,
                                     self.random.random() < 0.5)
                await asyncio.sleep(length / 4)
        elif kind == "freeze":
            process = node.process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            process.send_signal(signal.SIGCONT)
        elif kind == "crash":
            if any(not each.is_up for each in self.members):
                return
            await member.kill()
            await asyncio.sleep(length)
            await self.bring_back(member)
        elif kind == "drain":
            drained = self.platform.groups["db1"].primary() or member
            self.platform.draining.add(drained.id)
            await asyncio.sleep(length + 1)
            self.platform.draining.discard(drained.id)
        elif kind == "replication stopped":
            member.is_replication_stopped = True
            await asyncio.sleep(length)
            member.is_replication_stopped = False
            await self.catch_up(member)
        elif kind == "store down":
            store.is_down = True
            await asyncio.sleep(length)
            store.is_down = False
        elif kind == "store returns":
            copied = store.copy()
            await asyncio.sleep(length)
            store.is_down = True
            await asyncio.sleep(AWAY_S)
            await store.return_from(copied)
            await self.platform.register_all()
            await store.put("op", "config", self.platform.configuration)
        elif kind == "lost answers":
            store.lost_answers += 2
        elif kind == "history":
            store.forget_history()
        elif kind == "reset connections":
            link.reset_connections()
        elif kind == "block connections":
            link.block_connections()
        else:
            link.mode = kind
            await asyncio.sleep(length)
            link.mode = "open"

    async def restart(self, node, process):
        await asyncio.to_thread(process.wait)
        if node.process is not process:
            return  # an overlapping fault has already restarted the process
        node.log.close()
        node.start()

    async def bring_back(self, member):
        """Restarts a member with its log, as a replica if there is another primary."""
        primary = member.group.primary()
        await member.start(HOST)
        if primary and primary is not member:
            member.role = "replica"
        await asyncio.sleep(CATCH_UP_DELAY_S)
        await self.catch_up(member)

    async def catch_up(self, member):
        primary = member.group.primary()
        if primary and member.role == "replica" and not member.paused_for:
            primary.replicate()

    async def inject_faults(self):
        kinds = ["kill", "kill all", "stop", "stops in series", "signals in series", "configurations in series",
                 "configurations in series", "reload", "freeze", "freeze", "crash", "crash",
                 "drain", "drain", "replication stopped", "store down", "store returns", "store returns",
                 "lost answers", "history", "reset connections", "block connections", "reset", "drop all",
                 "drop requests", "drop answers", "delay"]
        end = time.monotonic() + self.seconds
        running = []
        while time.monotonic() < end:
            kind, length = self.random.choice(kinds), self.random.uniform(0.1, 3)
            with open(self.folder / "faults.log", "a", encoding="utf-8") as log:
                log.write(f"{time.time():.3f} {kind} {length:.2f} s\n")
            running.append(asyncio.create_task(self.fault(kind, length)))
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
        for outcome in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome

    # Checks at the end.

    async def check_recovery(self):
        for member in self.members:
            member.setup_refusal_rate = member.lost_answer_rate = 0
        await self.until_ready(RECOVERY_BOUND_S)
        deadline = time.monotonic() + RECOVERY_BOUND_S
        missing = list(dict.fromkeys(item for item in self.items if self.recorder.acknowledged[item]))
        missing.append(None)  # stands for a write after the last read
        answer = ["no session"]
        while missing and time.monotonic() < deadline:
            try:
                caller = await self.session("sales")
                while caller and missing:
                    item = missing[0]
                    minimum = self.recorder.newest(item, time.monotonic()) if item else 0
                    answer = await caller.ask(f"READ {item}" if item else "WRITE last 1")
                    if not answer[0].startswith(("ROW", "COMPLETE")):
                        break
                    if item:
                        value = answer[0].split()[1].replace("none", "0")
                        self.recorder.check_read(item, int(value), minimum, "last read")
                    missing.pop(0)
                if caller:
                    caller.writer.close()
            except (OSError, asyncio.TimeoutError) as error:
                answer = [repr(error)]
            await asyncio.sleep(0.1)
        if missing:
            self.recorder.violations.append(f"no service within {RECOVERY_BOUND_S} s: {answer[0]}")

    async def check_planned_change(self):
        """Drains the primary once all faults are over."""
        group = self.platform.groups["db1"]
        former = group.primary().id
        self.platform.draining.add(former)
        deadline = time.monotonic() + CHANGE_BOUND_S
        while (primary := group.primary()) is None or primary.id == former:
            if time.monotonic() > deadline:
                self.recorder.violations.append(f"the primary {former} drains and was not replaced within "
                                                f"{CHANGE_BOUND_S} s")
                break
            await asyncio.sleep(0.1)
        self.platform.draining.discard(former)

    async def guest_transaction(self, node):
        """Returns a guest's session with an open transaction that a member has begun."""
        deadline = time.monotonic() + RECOVERY_BOUND_S
        while time.monotonic() < deadline:
            guest = LegalCaller(self.random, self.checker, "guest")
            try:
                if (await guest.connect(node.ports[0], "sales", GUEST_KEY) and await guest.begin()
                        and await guest.run("READ", "READ guest", "guest") == "ROW"):
                    return guest
                guest.writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        self.recorder.violations.append(f"{node.name} began no transaction with a granted key")
        return None

    async def check_withdrawal(self):
        """Withdraws a key inside open transactions, once all faults are over."""
        idle_ms = 10_000  # ends no transaction here
        await self.configure(AMPLE, has_spare_route=False, has_guest=True, idle_ms=idle_ms)
        await asyncio.sleep(CONFIGURATION_APPLY_S)
        guests = [(node, await self.guest_transaction(node)) for node in self.nodes[:INSTANCES]]
        await self.configure(AMPLE, has_spare_route=False, has_guest=False, idle_ms=idle_ms)
        await asyncio.sleep(CONFIGURATION_APPLY_S)
        for node, guest in guests:
            outcome = guest and await guest.run("READ", "READ guest", "guest")
            if outcome in ("ROW", "COMPLETE"):
                self.recorder.violations.append(f"{node.name} ran a statement of an open transaction "
                                                f"{CONFIGURATION_APPLY_S} s after its key was withdrawn")

    def check_members(self):
        violations = self.recorder.violations
        primary = self.platform.groups["db1"].primary()
        writes = collections.Counter(entry[2:] for entry in primary.log) if primary else {}
        violations += [f"write {write} took effect {count} times" for write, count in writes.items()
                       if count > 1 and write[0] in self.items]
        violations += self.checker.check(self.members)
        holders = collections.defaultdict(set)
        tokens = [(token, holder) for _, holder, token, _, _ in self.platform.orders]
        if [token for token, _ in tokens] != sorted(token for token, _ in tokens):
            violations.append(f"fencing tokens decreased: {tokens}")
        for token, holder in tokens:
            holders[token].add(holder)
        violations += [f"fencing token {token} was used by {sorted(names)}"
                       for token, names in holders.items() if len(names) > 1]
        times = sorted(at for member in self.members for at, ran in zip(member.ran_at, member.ran)
                       if ran[0] == "small")
        allowed = (SMALL_RATE * QUOTA_WINDOW_S + SMALL_BURST) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
        for index, at in enumerate(times):
            count = sum(1 for other in times[index:] if other < at + QUOTA_WINDOW_S)
            if count > allowed:
                violations.append(f"{count} statements of a workspace in {QUOTA_WINDOW_S} s, "
                                  f"allowed {allowed:.0f}")
                break

    async def run(self):
        await self.start()
        routes = ["sales", "recall"] * WRITERS
        callers = [self.write_and_read(number, routes[number]) for number in range(WRITERS)]
        callers += [self.read("sales", 0), self.read("browse", STALENESS_S)]
        callers += [self.call_legally(number) for number in range(LEGAL_CALLERS)]
        callers += [self.call_legally(number, "guest", GUEST_KEY) for number in range(GUEST_CALLERS)]
        tasks = [asyncio.create_task(each) for each in (*callers, self.exceed_rate())]
        await self.inject_faults()
        await self.check_recovery()
        await self.check_planned_change()
        await self.check_withdrawal()
        self.running = False
        await asyncio.wait(tasks, timeout=ANSWER_BOUND_S + 1)
        self.check_members()
        for task in tasks:
            if task.done() and task.exception():
                raise task.exception()
            task.cancel()

    def stop(self):
        for node in getattr(self, "nodes", []):
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
            node.stop()
        self.platform.heartbeat.cancel()


async def run(program, seed, seconds, instances):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(program, seed, seconds, instances, folder)
    try:
        await soak.run()
    finally:
        soak.stop()
    served = ", ".join(f"{route} {count}" for route, count in sorted(soak.recorder.served.items()))
    runs = sorted((run for member in soak.members for run in member.runs), key=lambda run: run.order)
    refused, lost = (sum(getattr(member, name) for member in soak.members)
                     for name in ("refused_setups", "lost_answers"))
    print(f"seed {seed}: {len(soak.platform.orders)} orders; served {served}; {len(runs)} runs, {refused} refused "
          f"setups, {lost} lost answers, legal statements {dict(soak.checker.outcomes)}", flush=True)
    if soak.recorder.violations:
        violations = [each[:400] for each in soak.recorder.violations]
        (folder / "violations.log").write_text("\n".join(violations), encoding="utf-8")
        (folder / "runs.log").write_text("\n".join(
            f"{run.order} {run.connection} transaction={run.transaction} request={run.request} {describe(run)} "
            f"{shorten(run.values)}" for run in runs), encoding="utf-8")
        print("\n".join(f"  violation: {each}" for each in violations[:SHOWN_VIOLATIONS]),
              f"\n  {len(violations)} violations, logs: {folder}", flush=True)
        return False
    shutil.rmtree(folder)
    return True


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--first", type=int)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=CI_SECONDS)
    parser.add_argument("--instances", type=int, default=INSTANCES, choices=range(INSTANCES, MAXIMUM_INSTANCES + 1),
                        metavar="N", help=f"node processes, {INSTANCES} to {MAXIMUM_INSTANCES}")
    options = parser.parse_args()
    seeds = CI_SEEDS + REGRESSION_SEEDS
    if options.first is not None:
        seeds = range(options.first, options.first + options.seeds)
    program = options.build / "programs" / "node" / "sycamorespan-node"
    failed = [seed for seed in seeds if not asyncio.run(run(program, seed, options.seconds, options.instances))]
    if failed:
        sys.exit(f"seeds that violated a guarantee: {failed}")


if __name__ == "__main__":
    main()
