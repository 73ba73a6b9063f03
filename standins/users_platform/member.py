"""Simulated backend server of the users' platform: line protocol, log positions and replication.

Lines are parsed by the published grammar alone: a word and its fields are separated by one blank each, and
the last field extends to the end of the line. Text is held as Latin-1, which maps each byte to one character.
"""

import asyncio
import dataclasses
import itertools
import random
import re
import time

REPLICATION_DELAY_S = 0.02
STATEMENT_DURATION_S = 0.005
LINE_BYTES = 1 << 20  # longest line, without its line feed
CONTROL_WORDS = ("STATUS", "PAUSE", "RESUME", "STEPDOWN")
SETUP_WORDS = ("BEGIN", "SET", "PREPARE", "DEALLOC", "DISCARD")
MALFORMED = "ERROR MALFORMED not in the grammar\r\n"

_run_order = itertools.count(1)  # over all members


@dataclasses.dataclass(frozen=True)
class Prepared:
    """Prepared statement of a connection."""
    access: str  # READ or WRITE
    shape: str


@dataclasses.dataclass
class Run:
    """A statement that a member ran."""
    order: int  # over all members
    connection: tuple  # (member, number)
    request: str
    workspace: str
    word: str  # READ, WRITE, EXECUTE or COMMIT
    arguments: str  # all that follows the word, or the name of the prepared statement
    prepared: Prepared | None
    values: dict  # session values in force
    transaction: int | None  # number of the transaction on this member
    receipt: str = ""
    row: str | None = None


def split_field(text):
    """Returns the first field and the rest, which is None if no blank follows the field."""
    field, blank, rest = text.partition(" ")
    return field, rest if blank else None


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
                other.applied = min(other.applied, common)
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
        self.runs = []  # Run of each of them
        self.malformed = []  # start of each line that is not in the grammar
        self.unknown_names = []  # (id, name) of each EXECUTE of a name that its connection does not have
        self.refused_setups = self.lost_answers = 0
        self.random = random.Random(member_id)
        self.setup_refusal_rate = 0  # share of statements of SETUP_WORDS that are refused with BUSY
        self.lost_answer_rate = 0  # share of statements whose connection delivers nothing more
        self.connections, self.transactions = itertools.count(1), itertools.count(1)
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
        self.server = await asyncio.start_server(self.serve, host, self.port, limit=2 * LINE_BYTES)
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
        session = {"state": "I", "prepared": {}, "values": {}, "writes": [], "read_only": False,
                   "transaction": None, "connection": (self.id, next(self.connections))}
        is_lost = False
        try:
            if not await self.accept(session, await self.read_line(reader), writer):
                return
            while (line := await self.read_line(reader)) is not None:
                if self.is_unresponsive:
                    await asyncio.sleep(3600)
                answer = await self.answer(session, line)
                answer = f"{answer}READY {session['state']} {self.position_text()}\r\n".encode("latin-1")
                if not is_lost and self.random.random() < self.lost_answer_rate:
                    is_lost = True
                    self.lost_answers += 1
                    if self.random.random() < 0.5:
                        writer.write(answer[:self.random.randrange(len(answer))])
                        return
                if not is_lost:
                    writer.write(answer)
        except (ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def read_line(self, reader):
        """Returns a line without its end, or None at the end of the connection."""
        line = (await reader.readline()).decode("latin-1")
        if not line.endswith("\n"):
            return None
        # A line without CR is in no grammar, and is left to fail there.
        return line[:-2] if line.endswith("\r\n") and len(line) - 1 <= LINE_BYTES else line

    async def accept(self, session, line, writer):
        if line is None:
            return False
        fields = line.split(" ")
        if not 3 <= len(fields) <= 4 or fields[0] != "CONNECT" or "" in fields or re.search("[\r\n\0]", line):
            self.malformed.append(line[:200])
            writer.write(MALFORMED.encode())
            return False
        if fields[1] != self.group.name or fields[3:] not in ([], [self.id]):
            writer.write(b"ERROR MOVED another server\r\n")
            return False
        session["workspace"] = fields[2]
        await asyncio.sleep(0.003)
        writer.write(f"READY I {self.position_text()}\r\n".encode())
        return True

    async def answer(self, session, line):
        """Runs a line and returns its answer without READY."""
        word, rest = split_field(line)
        request, text = split_field(rest or "")
        if word != "QUERY" or not request or text is None or re.search("[\r\n\0]", line):
            answer = None
        else:
            answer = await self.run(session, request, text)
        if answer is None:
            self.malformed.append(line[:200])
            return MALFORMED
        return answer

    async def run(self, session, request, text):
        """Returns None if the text is not in the grammar."""
        word, rest = split_field(text)
        if word == "AFTER":
            position, text = split_field(rest or "")
            word, rest = split_field(text or "")
            if not re.fullmatch(r"[0-9]+\.[0-9]+", position) or word not in ("READ", "EXECUTE", "BEGIN"):
                return None
            if not self.has(tuple(int(part) for part in position.split("."))):
                return "ERROR LAGGING behind\r\n"
        if word in CONTROL_WORDS:
            return self.control(word, rest) if request == "-" else None
        statement = self.parse(word, rest)
        if statement is None:
            return None
        if session["state"] == "E" and word not in ("ROLLBACK", "COMMIT"):
            return "ERROR MALFORMED the transaction failed\r\n"
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return await self.statement(session, request, word, statement, text)
        if word in SETUP_WORDS and self.random.random() < self.setup_refusal_rate:
            self.refused_setups += 1
            return "ERROR BUSY refused at random\r\n"
        return self.set_up(session, word, statement)

    @staticmethod
    def parse(word, rest):
        """Returns the fields that follow the word, or None if they are not in the grammar."""
        if word in ("COMMIT", "ROLLBACK", "DISCARD"):
            return [] if rest is None else None
        if word == "BEGIN":
            return [rest or ""] if rest in (None, "READ") else None
        if rest is None:
            return None
        if word in ("READ", "DEALLOC"):
            return [rest] if rest else None
        first, more = split_field(rest)
        if not first or more is None:
            return None
        if word in ("SET", "WRITE"):
            return [first, more]
        if word == "EXECUTE":
            return [first, more] if more else None
        if word == "PREPARE":
            access, shape = split_field(more)
            return [first, access, shape] if access in ("READ", "WRITE") and shape is not None else None
        return None

    def set_up(self, session, word, fields):
        if word == "SET":
            session["values"] = session["values"] | {fields[0]: fields[1]}
        elif word == "DISCARD":
            session["values"], session["prepared"] = {}, {}
        elif word == "PREPARE":
            session["prepared"][fields[0]] = Prepared(*fields[1:])
        elif word == "DEALLOC":
            if session["prepared"].pop(fields[0], None) is None:
                return "ERROR NOSTMT unknown\r\n"
        elif word == "BEGIN":
            if session["state"] != "I":
                return "ERROR MALFORMED a transaction is open\r\n"
            if self.role == "replica" and fields != ["READ"]:
                return f"ERROR READONLY {self.id}\r\n"
            session.update(state="T", writes=[], read_only=fields == ["READ"],
                           transaction=next(self.transactions))
        else:
            session.update(state="I", writes=[], transaction=None)
        return "COMPLETE -\r\n"

    def control(self, word, rest):
        needs_term = word in ("PAUSE", "STEPDOWN")
        if needs_term != (rest is not None) or (needs_term and not re.fullmatch("[0-9]+", rest)):
            return None
        if word == "PAUSE" and self.role == "replica":
            self.paused_for = int(rest)
        if word == "RESUME":
            self.paused_for = 0
        if word == "STEPDOWN" and self.role == "primary" and int(rest) > self.term:
            self.role, self.term, self.applied = "replica", int(rest), len(self.log)
        received = "%d.%d" % self.position()
        return f"ROW {self.role} {self.term} {received} {self.paused_for} 0 0 {len(self.writers)}\r\nCOMPLETE -\r\n"

    async def statement(self, session, request, word, fields, text):
        await asyncio.sleep(random.uniform(0.5, 1.5) * STATEMENT_DURATION_S)
        arguments, prepared, access = " ".join(fields), None, word
        if word == "EXECUTE":
            name, arguments = fields
            prepared = session["prepared"].get(name)
            if prepared is None:
                self.unknown_names.append((request, name))
                return "ERROR NOSTMT unknown\r\n"
            access = prepared.access
        if word == "COMMIT" and session["state"] != "T":
            failed, session["state"], session["transaction"] = session["state"] == "E", "I", None
            return "ERROR ABORTED the transaction failed\r\n" if failed else "ERROR MALFORMED no transaction\r\n"
        lost_primary_role = session["state"] == "T" and not session["read_only"] and self.role == "replica"
        if (access == "WRITE" or (lost_primary_role and (word != "COMMIT" or session["writes"]))) \
                and self.role == "replica":
            session["state"] = "E" if session["state"] == "T" else "I"
            return f"ERROR READONLY {self.id}\r\n"
        run = Run(next(_run_order), session["connection"], request, session["workspace"], word, arguments,
                  prepared, session["values"], session["transaction"])
        self.runs.append(run)
        self.ran.append((session["workspace"], request, text))
        self.ran_at.append(time.monotonic())
        run.receipt = f"{self.id}.{request}.{next(self.receipts)}"
        receipt = f"COMPLETE {run.receipt}\r\n"
        if access == "READ":
            own = dict(session["writes"])
            run.row = own.get(arguments) or self.value(arguments)
            return f"ROW {run.row}\r\n{receipt}"
        if access == "WRITE":
            item, data = split_field(arguments)
            write = (item, data or "")
            if session["state"] == "T":
                session["writes"].append(write)
                return receipt
            return receipt if await self.commit([write]) else "ERROR FAILED lost the lead\r\n"
        writes = session["writes"]
        session.update(state="I", writes=[], transaction=None)
        if writes and not await self.commit(writes):
            return "ERROR FAILED lost the lead\r\n"
        return receipt
