"""Callers that send any legal statement, and a comparison of what they sent with what members ran."""
import asyncio
import collections
import dataclasses
import itertools

import legal_statements
from loopback import HOST
from member import Prepared

ANSWER_BOUND_S = 10
SHOWN_BYTES = 60
LONG_SHARE = 0.005  # of the shapes and data that are about as long as a line may be
PAUSE_S = 0.05


@dataclasses.dataclass
class Sent:
    """A request that members may run, with what its caller had been acknowledged."""
    workspace: str
    word: str
    arguments: str
    prepared: Prepared | None
    values: dict
    transaction: int | None
    is_first: bool  # of its transaction
    answer: list | None = None  # lines without CR LF


class StatementChecker:
    def __init__(self):
        self.sent = {}  # by request id
        self.findings = []
        self.outcomes = collections.Counter()  # of statements that members may run
        self.transactions = itertools.count(1)

    def report(self, rule, request, detail):
        self.findings.append(f"{rule}: request={request} {detail}")

    def counts(self):
        return collections.Counter(each.split(": ")[0] for each in self.findings)

    def check(self, members):
        """Returns the findings."""
        runs = sorted((run for member in members for run in member.runs), key=lambda run: run.order)
        state = {"place": {}, "owner": {}, "written": set(), "receipts": {run.receipt: run for run in runs}}
        for run in runs:
            self.check_run(run, state)
        for request, sent in self.sent.items():
            self.check_answer(request, sent, state["receipts"])
        for member in members:
            for line in member.malformed:
                self.report("UNASKED malformed line", "?", f"{member.id} was sent {line[:SHOWN_BYTES]!r}")
            for request, name in member.unknown_names:
                self.report("PINNED unknown name", request, f"{member.id} did not have {name[:SHOWN_BYTES]!r}")
        return self.findings

    def check_run(self, run, state):
        sent = self.sent.get(run.request)
        if sent is None:
            return self.report("UNASKED id", run.request, f"{run.connection} ran {describe(run)}")
        detail = f"{run.connection} sent {describe(sent)}, ran {describe(run)}"
        if run.workspace != sent.workspace:
            self.report("UNASKED workspace", run.request, detail)
        if run.word != sent.word or run.arguments != sent.arguments:
            self.report("UNASKED text", run.request, detail)
        if run.prepared != sent.prepared:
            self.report("PINNED shape", run.request, detail)
        if run.values != sent.values:
            self.report("PINNED values", run.request, f"{detail}; values sent {shorten(sent.values)}, "
                                                      f"ran {shorten(run.values)}")
        access = run.prepared.access if run.prepared else run.word
        if access == "WRITE" and run.transaction is None:
            if run.request in state["written"]:
                self.report("TWICE", run.request, detail)
            state["written"].add(run.request)
        self.check_transaction(run, sent, detail, state)

    def check_transaction(self, run, sent, detail, state):
        if (run.transaction is None) != (sent.transaction is None):
            return self.report("PINNED transaction", run.request,
                               f"{detail}; transaction sent {sent.transaction}, ran {run.transaction}")
        if run.transaction is None:
            return
        place = (run.connection, run.transaction)
        owner = state["owner"].setdefault(place, sent.transaction)
        if owner != sent.transaction:
            self.report("PINNED transaction of another", run.request,
                        f"{detail}; transactions {owner}, {sent.transaction}")
        known = state["place"].get(sent.transaction)
        if known not in (None, place) and not sent.is_first:
            self.report("PINNED connection", run.request, f"{detail}; ran at {place}, before at {known}")
        state["place"][sent.transaction] = place

    def check_answer(self, request, sent, receipts):
        """The receipt and the row that a caller got belong to a run of this very request."""
        lines = sent.answer or []
        receipt = next((line[len("COMPLETE "):] for line in lines if line.startswith("COMPLETE ")), None)
        if receipt is None:
            return
        run = receipts.get(receipt)
        rows = [line[len("ROW "):] for line in lines if line.startswith("ROW ")]
        if run is None or run.request != request:
            self.report("MIXED receipt", request, f"got {receipt[:SHOWN_BYTES]!r}")
        elif rows != ([] if run.row is None else [run.row]):
            self.report("MIXED rows", request, f"got {shorten(rows)}, {run.connection} sent {shorten(run.row)}")


def describe(statement):
    shape = f" {statement.prepared.access} <{shorten(statement.prepared.shape)}>" if statement.prepared else ""
    return f"{statement.word}{shape} <{shorten(statement.arguments)}>"


def shorten(value):
    text = repr(value)
    return text if len(text) <= SHOWN_BYTES else f"{text[:SHOWN_BYTES]}... ({len(text)} characters)"


class LegalCaller:
    """One caller's session: draws legal statements and records what was acknowledged to it."""

    def __init__(self, random, checker, workspace):
        self.random, self.checker, self.workspace = random, checker, workspace
        self.values, self.prepared = {}, {}
        self.state, self.transaction, self.is_read_only, self.statements = "I", None, False, 0
        self.is_leaving = False

    async def connect(self, port, database, key):
        """Returns whether the session was accepted."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port, limit=4 << 20)
        return (await self.exchange(f"CONNECT {database} {key}"))[-1].startswith("READY I")

    async def leave(self):
        """Closes the session, at times without waiting for the answer to its last statement."""
        if self.random.random() < 0.5:
            self.is_leaving = True
            await self.act()
        self.writer.close()

    async def exchange(self, line):
        """Returns the lines of the answer. The last one is empty if the connection ended."""
        self.writer.write(line.encode("latin-1") + b"\r\n")
        if self.is_leaving:
            return [""]
        answer = []
        while True:
            received = (await asyncio.wait_for(self.reader.readline(), ANSWER_BOUND_S)).decode("latin-1")
            answer.append(received[:-2] if received.endswith("\r\n") else "")
            if answer[-1] == "" or answer[-1].startswith("READY "):
                return answer

    async def ask(self, text, sent=None):
        """Sends a request; returns the word of its outcome, or an empty one if the connection ended."""
        request = f"{self.random.getrandbits(64):016x}"
        if sent:
            self.checker.sent[request] = sent
        answer = await self.exchange(f"QUERY {request} {text}")
        outcome = answer[0].split(" ")[1 if answer[0].startswith("ERROR ") else 0]
        if answer[-1] == "":
            outcome = ""
        else:
            self.state = answer[-1].split(" ")[1]
        if sent:
            sent.answer = answer
            self.checker.outcomes["COMPLETE" if outcome == "ROW" else outcome or "no answer"] += 1
        if outcome == "NOSTMT" and sent and sent.prepared:
            self.checker.report("PINNED unknown name", request, f"the caller had prepared {describe(sent)}")
        if outcome == "MALFORMED":
            self.checker.report("refused a legal line", request, f"{text[:SHOWN_BYTES]!r} of {len(text)} bytes")
        if self.state == "I":
            self.transaction, self.is_read_only = None, False
        return outcome

    async def run(self, word, text, arguments, prepared=None):
        sent = Sent(self.workspace, word, arguments, prepared, dict(self.values), self.transaction,
                    self.transaction is not None and self.statements == 0)
        self.statements += 1
        return await self.ask(text, sent)

    async def set(self, name, value):
        outcome = await self.ask(f"SET {name} {value}")
        if outcome == "COMPLETE":
            self.values[name] = value
        return outcome == "COMPLETE"

    async def prepare(self, name, access, shape):
        outcome = await self.ask(f"PREPARE {name} {access} {shape}")
        if outcome == "COMPLETE":
            self.prepared[name] = Prepared(access, shape)
        return outcome == "COMPLETE"

    async def execute(self, name, arguments):
        return await self.run("EXECUTE", f"EXECUTE {name} {arguments}", arguments, self.prepared[name])

    async def begin(self):
        read_only = self.random.random() < 0.3
        outcome = await self.ask("BEGIN READ" if read_only else "BEGIN")
        if outcome == "COMPLETE":
            self.transaction, self.is_read_only = next(self.checker.transactions), read_only
            self.statements = 0
        return outcome != ""

    def arguments(self, access, start):
        """start: of the statement, up to its arguments."""
        item = legal_statements.item(self.random)
        if access == "READ":
            return item
        if self.random.random() < LONG_SHARE:
            return f"{item} " + legal_statements.fill(self.random, f"QUERY {'0' * 16} {start} {item} ")
        return f"{item} {legal_statements.last_field(self.random)}"

    async def act(self):
        """Sends one statement; returns whether the session goes on, as the protocol has it."""
        draw, texts = self.random, legal_statements
        if self.state == "E":
            return await self.ask("ROLLBACK") != "" and self.state == "I"
        in_transaction = self.transaction is not None
        choice = draw.randrange(12 if in_transaction else 9)
        if choice == 0:
            return await self.set(texts.name(draw), texts.last_field(draw))
        if choice in (1, 2):
            return await self.prepare_any()
        if choice == 3 and not in_transaction:
            return await self.begin()
        if choice == 4 and self.prepared and draw.random() < 0.2:
            name = draw.choice(list(self.prepared))
            if await self.ask(f"DEALLOC {name}") != "COMPLETE":
                return False
            del self.prepared[name]
            return True
        if choice == 9:
            return await self.ask("ROLLBACK") != "" and self.state == "I"
        if choice == 10:
            await self.run("COMMIT", "COMMIT", "")
            return self.state == "I" and not self.reader.at_eof()
        usable = [name for name, each in self.prepared.items() if not (self.is_read_only and each.access == "WRITE")]
        if choice > 5 and usable:
            name = draw.choice(usable)
            return await self.execute(name, self.arguments(self.prepared[name].access, f"EXECUTE {name}")) != ""
        word = "READ" if self.is_read_only or draw.random() < 0.5 else "WRITE"
        arguments = self.arguments(word, word)
        if word == "READ" and draw.random() < 0.2:
            arguments = texts.last_field(draw)
        return await self.run(word, f"{word} {arguments}", arguments) != ""

    async def prepare_any(self):
        name, access = legal_statements.name(self.random), self.random.choice(("READ", "WRITE"))
        shape = legal_statements.last_field(self.random)
        if self.random.random() < LONG_SHARE:
            shape = legal_statements.fill(self.random, f"QUERY {'0' * 16} PREPARE {name} {access} ")
        return await self.prepare(name, access, shape)


async def keep_calling(random, checker, workspace, address, is_over, leaving_rate=0, pause_s=0):
    """Sends statements in one session after the other. address: returns port, database and key."""
    while not is_over():
        caller = LegalCaller(random, checker, workspace)
        try:
            goes_on = await caller.connect(*address())
            if not goes_on:
                await asyncio.sleep(PAUSE_S)  # the key may be granted again
            while goes_on and not is_over():
                if random.random() < leaving_rate:
                    await caller.leave()
                    break
                goes_on = await caller.act()
                await asyncio.sleep(random.uniform(0, pause_s))
            caller.writer.close()
        except asyncio.TimeoutError:
            checker.report("no answer", "?", f"in {ANSWER_BOUND_S} s")
        except OSError:
            await asyncio.sleep(PAUSE_S)
