"""Simulated backend server of the users' platform: line protocol, log positions and replication."""

import asyncio
import itertools
import random
import time

REPLICATION_DELAY_S = 0.02
STATEMENT_DURATION_S = 0.005
LINE_BYTES = 2 << 20  # more than the longest line of the protocol


class Group:
    """Members of one database. The log of a member is a list of (term, offset, item, data)."""

    def __init__(self, name):
        self.name = name
        self.members = {}
        self.term = 1
        self.violations = []

    def primary(self):
        return next((m for m in self.members.values() if m.role == "primary" and m.is_up), None)

    async def promote(self, member_id, delay_s):
        await asyncio.sleep(delay_s)
        member = self.members[member_id]
        if not member.is_up:
            return
        self.term = max(self.term, *(m.paused_for for m in self.members.values())) + 1
        member.role, member.term = "primary", self.term
        for other in self.members.values():
            other.paused_for = 0
            if other is not member:
                common = len([1 for a, b in zip(other.log, member.log) if a == b])
                other.log = other.log[:common]
                other.role = "replica"
        member.replicate()


class Member:
    def __init__(self, group, member_id, role):
        self.group, self.id, self.role = group, member_id, role
        self.term, self.paused_for = group.term, 0
        self.log, self.applied = [], 0
        self.is_up, self.is_replication_stopped, self.is_unresponsive = True, False, False
        self.writers = set()
        self.ran = []  # (workspace, id, text)
        self.ran_at = []  # monotonic time of each of them
        self.receipts = itertools.count(1)
        self.port = 0
        self.listed_port = None  # port in its entry in the server list, if not its own port
        self.server = None
        group.members[member_id] = self

    # Log.

    def position(self, length=None):
        length = len(self.log) if length is None else length
        return self.log[length - 1][:2] if length else (1, 0)

    def position_text(self):
        return "%d.%d" % self.position(self.applied if self.role == "replica" else None)

    def has(self, position):
        known = self.log[:self.applied] if self.role == "replica" else self.log
        return position == (1, 0) or any(entry[:2] >= position for entry in known)

    def value(self, item):
        known = self.log[:self.applied] if self.role == "replica" else self.log
        return next((data for _, _, each, data in reversed(known) if each == item), "none")

    async def commit(self, writes):
        for item, data in writes:
            self.log.append((self.term, self.position()[1] + 1, item, data))
        self.replicate()
        mine = len(self.log)
        for _ in range(400):
            others = [m for m in self.group.members.values() if m is not self]
            if not others or any(len(m.log) >= mine and m.log[:mine] == self.log[:mine]
                                 for m in others):
                return True
            if self.role != "primary":
                return False
            await asyncio.sleep(0.005)
        return False

    def replicate(self):
        for other in self.group.members.values():
            if other is self or other.is_replication_stopped or other.paused_for or not other.is_up:
                continue
            other.log = list(self.log)
            asyncio.get_running_loop().call_later(REPLICATION_DELAY_S, other.apply, len(other.log))

    def apply(self, length):
        self.applied = max(self.applied, min(length, len(self.log)))

    # Start and crash.

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, self.port, limit=LINE_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True

    async def kill(self):
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    # Protocol.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = {"state": "I", "prepared": {}, "values": {}, "writes": [], "read_only": False}
        try:
            words = (await reader.readline()).decode().split()
            if words[:2] != ["CONNECT", self.group.name] or (len(words) > 3 and words[3] != self.id):
                writer.write(b"ERROR MOVED another server\r\n")
                return
            session["workspace"] = words[2]
            await asyncio.sleep(0.003)
            writer.write(f"READY I {self.position_text()}\r\n".encode())
            while line := await reader.readline():
                if self.is_unresponsive:
                    await asyncio.sleep(3600)
                _, request, text = line.decode().rstrip("\r\n").split(" ", 2)
                answer = await self.run(session, request, text)
                writer.write(f"{answer}READY {session['state']} {self.position_text()}\r\n".encode())
        except (ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, session, request, text):
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = tuple(int(part) for part in position.split("."))
            if not self.has(after):
                return "ERROR LAGGING behind\r\n"
        word, _, rest = text.partition(" ")
        if request == "-" and word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.control(word, rest)
        if word == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
        elif word == "DISCARD":
            session["values"], session["prepared"] = {}, {}
        elif word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            session["prepared"][name] = (access, shape)
        elif word == "BEGIN":
            if self.role == "replica" and rest != "READ":
                return f"ERROR READONLY {self.id}\r\n"
            session.update(state="T", writes=[], read_only=rest == "READ")
        elif word == "ROLLBACK":
            session.update(state="I", writes=[])
        elif word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return await self.statement(session, request, word, rest, text)
        else:
            return "ERROR MALFORMED unknown\r\n"
        return "COMPLETE -\r\n"

    def control(self, word, rest):
        if word == "PAUSE" and self.role == "replica":
            self.paused_for = int(rest)
        if word == "RESUME":
            self.paused_for = 0
        if word == "STEPDOWN" and self.role == "primary" and int(rest) > self.term:
            self.role, self.term, self.applied = "replica", int(rest), len(self.log)
        received = "%d.%d" % self.position()
        return f"ROW {self.role} {self.term} {received} {self.paused_for} 0 0 {len(self.writers)}\r\nCOMPLETE -\r\n"

    async def statement(self, session, request, word, rest, text):
        await asyncio.sleep(random.uniform(0.5, 1.5) * STATEMENT_DURATION_S)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return "ERROR NOSTMT unknown\r\n"
            word = session["prepared"][name][0]
        lost_primary_role = session["state"] == "T" and not session["read_only"] and self.role == "replica"
        if (word == "WRITE" or (lost_primary_role and (word != "COMMIT" or session["writes"]))) \
                and self.role == "replica":
            session["state"] = "E" if session["state"] == "T" else "I"
            return f"ERROR READONLY {self.id}\r\n"
        self.ran.append((session["workspace"], request, text))
        self.ran_at.append(time.monotonic())
        receipt = f"COMPLETE {self.id}.{request}.{next(self.receipts)}\r\n"
        if word == "READ":
            own = dict(session["writes"])
            return f"ROW {own.get(rest) or self.value(rest)}\r\n{receipt}"
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            if session["state"] == "T":
                session["writes"].append((item, data))
                return receipt
            return receipt if await self.commit([(item, data)]) else "ERROR FAILED lost the lead\r\n"
        writes, session["writes"], session["state"] = session["writes"], [], "I"
        if writes and not await self.commit(writes):
            return "ERROR FAILED lost the lead\r\n"
        return receipt
