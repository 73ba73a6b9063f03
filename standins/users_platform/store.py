"""Simulated store of the users' platform: rows with versions, conditional transactions, change feeds."""

import asyncio
import base64
import json
import random
import time
import urllib.parse

HISTORY_ROWS = 10_000


class Store:
    def __init__(self):
        self.rows = {}  # (table, key) -> (version, base64 value)
        self.version = 0
        self.history = []  # (version, table, key, base64 value or None)
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        self.is_down = False
        self.lost_answers = 0  # number of next transactions that are performed but not answered
        self.refused_addresses = set()  # addresses of instances to refuse; not evaluated
        self.page_rows = 500  # rows of one answer to a read
        self.calls = 0
        self.era = 1  # rises with each return from a copy
        # The answer to a transaction names the newest version, which another writer may have raised since.
        self.other_writer = None  # performs one transaction
        self.interleaving_rate = 0.1  # of the transactions, before whose answer other_writer() is called
        self.random = random.Random(1)

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def row(self, table, key):
        version, value = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    async def write(self, expected, written, removed):
        """Returns the current rows of a failed condition, or None after success."""
        for each in expected:
            current = self.rows.get((each["table"], each["key"]), (0, None))
            if current[0] != each["ver"]:
                return [self.row(e["table"], e["key"]) for e in expected
                        if (e["table"], e["key"]) in self.rows]
        self.version += 1
        for each in written:
            self.rows[(each["table"], each["key"])] = (self.version, each["value"])
            self.history.append((self.version, each["table"], each["key"], each["value"]))
        for each in removed:
            self.rows.pop((each["table"], each["key"]), None)
            self.history.append((self.version, each["table"], each["key"], None))
        self.history = self.history[-HISTORY_ROWS:]
        async with self.changed:
            self.changed.notify_all()
        return None

    async def put(self, table, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self.write([], [{"table": table, "key": key, "value": value}], [])

    async def put_text(self, table, key, text):
        value = base64.b64encode(text.encode()).decode()
        await self.write([], [{"table": table, "key": key, "value": value}], [])

    async def drop(self, table, key):
        await self.write([], [], [{"table": table, "key": key}])

    def document(self, table, key):
        """Returns the content of a row, or None if there is none."""
        known = self.rows.get((table, key))
        return json.loads(base64.b64decode(known[1])) if known else None

    def copy(self):
        """Returns a copy of the content, from which the store can return."""
        return dict(self.rows), self.version, list(self.history)

    async def return_from(self, copied):
        """Loses everything since the copy. Calls that wait get no answer."""
        rows, self.version, history = copied
        self.rows, self.history = dict(rows), list(history)
        self.era += 1
        self.is_down = False
        async with self.changed:
            self.changed.notify_all()

    def forget_history(self):
        self.history = []

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
            return 410, {"error": "the version does not exist"}
        era = self.era
        oldest = self.history[0][0] if self.history else self.version + 1
        if after + 1 < oldest and after < self.version:
            return 410, {"error": "the history is gone"}
        deadline = time.monotonic() + wait_s
        while self.era == era and not (rows := self.changes(table, after)):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            async with self.changed:
                try:
                    # asyncio.wait_for() of Python 3.11 can drop a cancellation.
                    async with asyncio.timeout(left):
                        await self.changed.wait()
                except TimeoutError:
                    pass
        if self.era != era:
            return None
        return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}

    async def answer(self, method, path, query, body):
        self.calls += 1
        result = await self.perform(method, path, query, body)
        return result and (*result, {"Store-Era": self.era})

    async def perform(self, method, path, query, body):
        if self.is_down:
            return 503, {"error": "down"}
        if (method, path) == ("POST", "/api/rows-tx"):
            request = json.loads(body)
            conflict = await self.write(request["expect"], request["set_keys"], request["remove"])
            if conflict is None and self.other_writer and self.random.random() < self.interleaving_rate:
                await self.other_writer()
            if self.lost_answers > 0:
                self.lost_answers -= 1
                return None
            if conflict is not None:
                return 412, {"rows": conflict, "ver": self.version, "now_ms": self.now_ms()}
            return 200, {"ver": self.version, "now_ms": self.now_ms()}
        if (method, path) == ("GET", "/api/rows-get"):
            first, last = query.get("from", ""), query.get("target")
            keys = sorted(key for table, key in self.rows
                          if table == query["table"] and key >= first and (last is None or key < last))
            rows = [self.row(query["table"], key) for key in keys[:self.page_rows]]
            return 200, {"rows": rows, "more_pages": len(keys) > self.page_rows, "ver": self.version,
                         "now_ms": self.now_ms()}
        if (method, path) == ("GET", "/api/rows-feed"):
            return await self.feed(query["table"], int(query["after"]), int(query["wait_ms"]) / 1000)
        return 404, {"error": "unknown call"}


async def serve_http(host, port, handler):
    """Starts an HTTP server. handler(method, path, query, headers, body) returns a status, a document and
    optionally a dictionary of headers, or None to close the connection without an answer."""

    async def handle(reader, writer):
        try:
            while request := await reader.readline():
                method, target, _ = request.decode().split()
                headers = {}
                while (line := await reader.readline()).strip():
                    name, value = line.decode().split(":", 1)
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                answer = await handler(method, parts.path, query, headers, body)
                if answer is None:
                    break
                status, document, *extra = answer
                text = json.dumps(document).encode()
                fields = {"Content-Type": "application/json", "Content-Length": len(text),
                          **(extra[0] if extra else {})}
                lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
                writer.write(f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, host, port)
