"""Busy sessions of a node that was sent SIGTERM are cut off in the middle of a statement. See claim.txt."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import deployment as d  # noqa: E402
import member  # noqa: E402

NODES, SESSIONS = 3, 15
member.STATEMENT_DURATION_S = 0.055  # "work ms" of listing-browse; the stand-in varies it by half
EXCUSED_SENT_S = 3  # sent no later than this after the SIGTERM, and at work in the last sixth of grace_s
LAST_SIXTH_S = d.GRACE_S * 5 / 6


async def use(deployment, node, number, stop, cut):
    """Sends one statement after the other, each after the answer to the one before."""
    session = d.Session(deployment.record)
    if not d.is_complete(await session.open(node, "browse")):
        return
    while not stop.is_set():
        request, lines, sent, ended = await session.ask(f"READ item{number}")
        if not d.is_complete(lines):
            cut.append((request, sent, ended))
            return
    session.close()


async def case(deployment):
    await deployment.start(NODES)
    record, node = deployment.record, deployment.nodes[0]
    writer = d.Session(record)
    await writer.open(deployment.nodes[1], "sales")
    for number in range(SESSIONS):
        await writer.ask(f"WRITE item{number} value{number}")
    await asyncio.sleep(d.STABLE_WINDOW_S)
    stop, cut = asyncio.Event(), []
    sessions = [asyncio.create_task(use(deployment, node, number, stop, cut)) for number in range(SESSIONS)]
    await asyncio.sleep(1)
    terminated = time.monotonic()
    if d.TROUBLE:
        node.signal(signal.SIGTERM)
    await asyncio.sleep(d.GRACE_S)
    if d.TROUBLE and not node.has_ended():
        node.signal(signal.SIGKILL)
    stop.set()
    await asyncio.gather(*sessions)
    await asyncio.sleep(0.3)  # members end what they were at
    run_ends = {request: at for each in deployment.members()
                for (_, request, _), at in zip(each.ran, each.ran_at)}
    lost = 0
    for request, sent, ended in cut:
        passed_on = request in run_ends
        excused = (sent - terminated <= EXCUSED_SENT_S
                   and passed_on and run_ends[request] - terminated >= LAST_SIXTH_S)
        timed_out = ended - sent >= d.ROUTE_TIMEOUT_MS["browse"] / 1000
        lost += passed_on and not excused and not timed_out
        record.write(f"{request}: sent {sent - terminated:.3f} s after the SIGTERM, connection ended without an answer "
                     f"{ended - terminated:.3f} s after it, passed on to a member: {passed_on}")
    print(f"{lost} of {SESSIONS} sessions lost a request that was passed on")
    return lost == 0


d.run_case(__file__, case)
