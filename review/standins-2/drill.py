"""The users' store, able to come back from an older copy, and what a small deployment needs around it.

The stand-ins of members are the project's own (standins/users_platform/member.py). The store is written here
after PROTOCOL.md and the news page: after a drill its rows and versions are those of the copy, a feed from a
version that it does not have gets 410, and the header Store-Era in every answer is one higher.
"""
import asyncio
import base64
import copy
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.parse
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "programs" / "node" / "sycamorespan-node"
HOST = f"127.{1 + (os.getpid() >> 16) % 200}.{(os.getpid() >> 8) % 256}.{os.getpid() % 254 + 1}"
os.environ["SYCAMORESPAN_TEST_HOST"] = HOST
sys.path.insert(0, str(ROOT / "standins" / "users_platform"))
from member import Group, Member  # noqa: E402

ANSWER_S = 0.004  # "4 ms an answer"
HEARTBEAT_S = 1.2
PROMOTE_S = 1.0
RETAINED_ROWS = 10_000
_ports = itertools.cycle(range(10_000 + os.getpid() % 8000, 32_000))


def free_port(count=1):
    """Returns the first of `count` free consecutive ports."""
    while True:
        first = next(_ports)
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind((HOST, port))
            for _ in range(count - 1):
                next(_ports)
            return first
        except OSError:
            continue


class Store:
    def __init__(self):
        self.rows, self.version, self.history, self.oldest = {}, 0, [], 0
        self.era, self.is_away = 1, False
        self.started = time.monotonic()
        self.changed = asyncio.Condition()
        self.writers = set()
        self.calls = 0

    def snapshot(self):
        return copy.deepcopy((self.rows, self.version, self.history))

    async def go_away(self):
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()
        async with self.changed:
            self.changed.notify_all()

    async def come_back(self, copied=None):
        if copied:
            self.rows, self.version, self.history = copy.deepcopy(copied)
            self.era += 1
        self.is_away = False

    def row(self, table, key):
        version, value = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    async def write(self, expected, written, removed):
        """Returns the rows of a failed condition, or None after success. A store that is away takes nothing."""
        if self.is_away:
            raise ConnectionError
        if any(self.rows.get((e["table"], e["key"]), (0, None))[0] != e["ver"] for e in expected):
            return [self.row(e["table"], e["key"]) for e in expected if (e["table"], e["key"]) in self.rows]
        self.version += 1
        for each in written:
            self.rows[(each["table"], each["key"])] = (self.version, each["value"])
            self.history.append((self.version, each["table"], each["key"], each["value"]))
        for each in removed:
            if self.rows.pop((each["table"], each["key"]), None):
                self.history.append((self.version, each["table"], each["key"], None))
        self.history = self.history[-RETAINED_ROWS:]
        async with self.changed:
            self.changed.notify_all()
        return None

    async def put(self, table, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self.write([], [{"table": table, "key": key, "value": value}], [])

    async def drop(self, table, key):
        await self.write([], [], [{"table": table, "key": key}])

    def document(self, table, key):
        known = self.rows.get((table, key))
        return json.loads(base64.b64decode(known[1])) if known else None

    def changes(self, table, after):
        latest = {}
        for version, each_table, key, value in self.history:
            if each_table == table and version > after:
                latest[key] = (version, value)
        return [{"table": table, "part": "", "key": key, "ver": version,
                 **({"tombstone": True} if value is None else {"value": value})}
                for key, (version, value) in sorted(latest.items(), key=lambda item: item[1][0])]

    async def feed(self, table, after, wait_s):
        if after > self.version:
            return 410, {"error": "this version does not exist"}
        deadline = time.monotonic() + wait_s
        while not (rows := self.changes(table, after)):
            left = deadline - time.monotonic()
            if left <= 0 or self.is_away:
                break
            async with self.changed:
                try:
                    async with asyncio.timeout(left):
                        await self.changed.wait()
                except TimeoutError:
                    pass
        return 200, {"rows": rows}

    async def answer(self, method, path, query, body):
        self.calls += 1
        if (method, path) == ("POST", "/api/rows-tx"):
            request = json.loads(body)
            if any(each["table"] in ("op", "servers") for each in request["set_keys"] + request["remove"]):
                return 403, {}
            conflict = await self.write(request["expect"], request["set_keys"], request["remove"])
            return (200, {}) if conflict is None else (412, {"rows": conflict})
        if (method, path) == ("GET", "/api/rows-get"):
            first, last = query.get("from", ""), query.get("target")
            keys = sorted(key for table, key in self.rows
                          if table == query["table"] and key >= first and (last is None or key < last))
            rows = [self.row(query["table"], key) for key in keys[:500]]
            return 200, {"rows": rows, "more_pages": len(keys) > 500}
        if (method, path) == ("GET", "/api/rows-feed"):
            return await self.feed(query["table"], int(query["after"]), int(query["wait_ms"]) / 1000)
        return 404, {}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(ANSWER_S)
        if self.is_away:
            return None
        era = self.era
        status, document = await self.answer(method, path, query, body)
        if self.is_away or era != self.era:
            return None
        document |= {"ver": self.version, "now_ms": int((time.monotonic() - self.started) * 1000)}
        return status, document, {"Store-Era": str(self.era)}


async def serve_http(handler, writers=None, is_away=lambda: False):
    """Starts an HTTP server; a handler that returns None closes the connection without an answer."""
    async def serve(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while not is_away() and (request := await reader.readline()):
                method, target, _ = request.decode().split()
                headers = {}
                while (line := await reader.readline()).strip():
                    name, value = line.decode().split(":", 1)
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urllib.parse.urlsplit(target)
                answer = await handler(method, parts.path, dict(urllib.parse.parse_qsl(parts.query)), headers, body)
                if answer is None:
                    break
                text = json.dumps(answer[1]).encode()
                extra = "".join(f"{name}: {value}\r\n" for name, value in (answer[2] if len(answer) > 2 else {}).items())
                writer.write(f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n{extra}"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writers is not None:
                writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    return server, server.sockets[0].getsockname()[1]


class Deployment:
    """Store, promotion service, members that check in, an operator, and node processes."""

    def __init__(self, databases, zones, folder, record):
        self.store, self.folder, self.record = Store(), folder, record
        self.zones = zones
        self.groups = {name: Group(name) for name in databases}
        for name, group in self.groups.items():
            for index in range(3):
                Member(group, f"i-{name}-{index + 1}", "replica" if index else "primary")
        self.draining, self.nodes, self.orders, self.config = set(), [], [], None
        self.sequence = itertools.count(1)
        self.tasks = []
        self.last_entry = {}
        self.back_after, self.returned_at = {}, None  # check-ins after an outage of the store, by member

    async def start(self):
        _, self.store_port = await serve_http(self.store.handle, self.store.writers, lambda: self.store.is_away)
        _, self.promotion_port = await serve_http(self.handle_promotion)
        for member in self.members():
            await member.start(HOST)
            await self.check_in(member)
            self.tasks.append(asyncio.create_task(self.check_in_regularly(member)))

    def members(self):
        return [member for group in self.groups.values() for member in group.members.values()]

    async def handle_promotion(self, method, path, query, headers, body):
        order = json.loads(body)
        member = self.groups[order["backend"]].members.get(order["id"])
        if not member or not member.is_up:
            return 409, {}
        self.orders.append((order["backend"], order["id"], headers["lease-holder"], headers["fencing-token"]))
        self.record(f"POST /failover {order['backend']} {order['id']} Lease-Holder {headers['lease-holder']} "
                    f"Fencing-Token {headers['fencing-token']}")
        if member.role != "primary":
            self.tasks.append(asyncio.create_task(member.group.promote(member.id, PROMOTE_S)))
        return 200, {}

    # Members.

    def entry(self, member):
        index = list(member.group.members).index(member.id)
        return {"backend": member.group.name, "address": f"{HOST}:{member.port}",
                "zone": self.zones[index % len(self.zones)], "version": "v1", "capacity": 5,
                "state": "draining" if member.id in self.draining else "ready", "warmup_left_ms": 0,
                "db_role": member.role, "born": 1_700_000_000_000 + index}

    async def check_in(self, member):
        entry = self.entry(member)
        await self.store.put("servers", member.id, entry | {"seq": next(self.sequence)})
        self.last_entry[member.id] = (self.store.era, entry)

    async def check_in_regularly(self, member):
        """Every heartbeat, and at once after a change of the entry or when the store is back."""
        due = time.monotonic() + HEARTBEAT_S * (0.2 + 0.8 * self.members().index(member) / len(self.members()))
        while member.is_up:
            await asyncio.sleep(0.02)
            if self.store.is_away and member.id in self.back_after:
                continue
            if self.returned_at and member.id in self.back_after:
                due = self.returned_at + self.back_after.pop(member.id)
            known = self.last_entry.get(member.id)
            if time.monotonic() < due and known == (self.store.era, self.entry(member)):
                continue
            try:
                await self.check_in(member)
                due = time.monotonic() + HEARTBEAT_S
            except ConnectionError:
                pass

    # Operator.

    async def configure(self, config):
        """Writes a configuration as the operator does: again until the store has taken it."""
        self.config = config
        while True:
            try:
                await self.store.put("op", "config", config)
                return time.monotonic()
            except ConnectionError:
                await asyncio.sleep(0.02)

    # Nodes.

    def settings(self, name, zone, ports):
        return "\n".join([
            f"node_name={name}", "role=node", "machine_class=front", "serves=front", f"ip={HOST}", f"zone={zone}",
            "region=prairie", *[f"zones.{each}=prairie" for each in self.zones],
            f"listen_addrs.front={HOST}:{ports[0]}", f"listen_addrs.ready={HOST}:{ports[1]}",
            f"internal_ports={ports[2]},{ports[2] + 3}", "bootstrap=true", "limits.cpu_share=0.25", "limits.cores=1",
            "limits.memory_mb=260", "limits.max_fds=4300", "limits.link_mbps=1000.0", "heartbeat_ms=1200",
            "bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.config_apply_ms=3000", "bounds.stable_window_ms=4000",
            "bounds.max_stretch_ms=12000", "bounds.recovery_s=12", "bounds.require_fence=false",
            f"platform.address={HOST}:{self.store_port}", "platform.form=table", "platform.writes_per_s=400",
            "platform.reads_per_s=2000", "platform.retention_s=20", "platform.row_bytes=65536",
            f"cloud_api.address={HOST}:{self.promotion_port}", "cloud_api.duties=failover",
            "cloud_api.duty_per_s=50.0", ""])

    def add_node(self, name, zone):
        node = Node(name, [free_port(), free_port(), free_port(4)], self.folder)
        node.settings.write_text(self.settings(name, zone, node.ports), encoding="utf-8")
        self.nodes.append(node)
        node.start()
        return node

    async def until_ready(self, bound_s=12):
        deadline = time.monotonic() + bound_s
        while time.monotonic() < deadline:
            if all([await asyncio.to_thread(node.is_ready) for node in self.nodes]):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.kill()


class Node:
    def __init__(self, name, ports, folder):
        self.name, self.ports, self.folder = name, ports, folder
        self.settings, self.log_path, self.process = folder / f"{name}.conf", folder / f"{name}.log", None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([PROGRAM], stdout=log, stderr=subprocess.STDOUT, cwd=ROOT,
                                            env={"SYCAMORESPAN_CONFIG": str(self.settings), "PATH": os.environ["PATH"]})

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def is_ready(self):
        try:
            return urllib.request.urlopen(f"http://{HOST}:{self.ports[1]}/api/readiness", timeout=1).status == 200
        except OSError:
            return False


class Caller:
    """One requester's session."""

    writer = None

    async def connect(self, node, database, key):
        self.reader, self.writer = await asyncio.open_connection(HOST, node.ports[0])
        return await self.exchange(f"CONNECT {database} {key}")

    async def ask(self, request, text):
        return await self.exchange(f"QUERY {request} {text}")

    async def exchange(self, line, bound_s=6):
        self.writer.write(line.encode() + b"\r\n")
        answer = []
        while True:
            try:
                async with asyncio.timeout(bound_s):  # wait_for() of Python 3.11 can drop a cancellation
                    received = await self.reader.readline()
            except (TimeoutError, ConnectionError) as failure:
                return answer + [f"no answer: {type(failure).__name__}"]
            if not received:
                return answer + ["closed"]
            answer.append(received.decode().strip())
            if answer[-1].startswith("READY"):
                return answer

    def close(self):
        if self.writer:
            self.writer.close()
