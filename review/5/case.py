"""A backend server that has left is in use again after its daemon was killed and started again."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import mesh as lib  # noqa: E402

HOST = "jepu9.example"
LEAVING = "i-7f3a91c2"
DRAIN_S = 2.0
RATE = 40
SERVES_AFTER_ACK_S = 11.0
KILL_AFTER_ACK_S = 0.3
DOWN_S = 0.5
LATE_REPORT_AFTER_ACK_S = 4.5


async def case(record, mesh, trouble):
    routes = [lib.route("r-notes", "/notes/", "catalogue", "idempotent", 2, 0.3, host=HOST)]
    machines = await mesh.start(
        [("sidecar-providence-1", "providence", "bidding"),
         ("sidecar-worcester-1", "worcester", "catalogue"),
         ("sidecar-hartford-1", "hartford", "catalogue")],
        lib.config(7, ["catalogue", "bidding"], routes))
    one, two, three = machines
    await one.start_backend("i-11223344")
    leaving = await two.start_backend(LEAVING, work_s=0.05)
    await three.start_backend("i-55667788", work_s=0.05)
    await mesh.until_ready()
    await asyncio.sleep(4)
    calls = []

    async def load():
        while True:
            calls.append(asyncio.create_task(
                lib.request(record, one, HOST, "/notes/%s" % lib.new_id(), 4.0)))
            await asyncio.sleep(1 / RATE)

    loading = asyncio.create_task(load())
    await asyncio.sleep(2)
    await mesh.tell(leaving, do="take_body")
    body = (await mesh.until_event("body"))["body"]
    await asyncio.sleep(0.2)
    await mesh.tell(leaving, do="leave")
    ack = await mesh.until_event("leave_acked")
    if ack["code"] != 200:
        raise lib.CannotRun("the leave was not acknowledged")
    if trouble:
        await asyncio.sleep(KILL_AFTER_ACK_S)
        two.signal_daemon(signal.SIGKILL)
        two.daemon.wait()
        await asyncio.sleep(DOWN_S)
        two.start_daemon()
    await asyncio.sleep(ack["t"] + LATE_REPORT_AFTER_ACK_S - time.time())
    await mesh.tell(leaving, do="late_beat", body=body)
    await asyncio.sleep(ack["t"] + SERVES_AFTER_ACK_S - time.time())
    loading.cancel()
    await asyncio.gather(*calls)
    leaving.kill()
    sent = {e["attempt"]: e["t"] for e in record.of("sent")}
    late = [e for e in record.of("arrived")
            if e["id"] == LEAVING and e["attempt"] in sent and e["t"] > ack["t"] + DRAIN_S]
    ran = {e["attempt"] for e in record.of("ran") if e["id"] == LEAVING}
    record.say("%d requests sent; after the ack + drainS %d reached the server that left (%d ran)"
               % (len(sent), len(late), sum(e["attempt"] in ran for e in late)))
    if late:
        record.say("the first %.2f s, the last %.2f s after the ack"
                   % (late[0]["t"] - ack["t"], late[-1]["t"] - ack["t"]))
    return bool(late)


lib.play(case)
