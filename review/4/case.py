"""Requests that wait in the daemon's queue are never answered when the backend server reports again
after a crash and restart."""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import mesh as lib  # noqa: E402

HOST = "jepu9.example"
TIMEOUT_S = 4.0
LIMIT_S = 8.0
RATE = 30
SECONDS = 12
CRASH_AT = 4.0
DOWN_S = 0.3


async def case(record, mesh, trouble):
    routes = [lib.route("r-pdf", "/pdf/", "catalogue", "download", TIMEOUT_S, 1.2, host=HOST)]
    machines = await mesh.start(
        [("sidecar-worcester-1", "worcester", "catalogue"), ("sidecar-hartford-1", "hartford", "bidding")],
        lib.config(7, ["catalogue", "bidding"], routes))
    one, two = machines
    cfg = dict(capacity=6, work_s=0.18, cold_x=2.0)
    backend = await one.start_backend("i-7f3a91c2", cold_s=0.0, **cfg)
    await two.start_backend("i-11223344", **cfg)
    await mesh.until_ready()
    await asyncio.sleep(4)
    calls = []
    begin = time.monotonic()

    async def crash():
        await asyncio.sleep(CRASH_AT)
        if not trouble:
            return
        record.note(event="trouble", what="backend server killed")
        backend.send_signal(signal.SIGKILL)
        await backend.wait()
        await asyncio.sleep(DOWN_S)
        await one.start_backend("i-7f3a91c2", cold_s=3.0, first_beat_s=float(os.environ.get("FIRST_BEAT_S", "1.5")), **cfg)

    crashing = asyncio.create_task(crash())
    while time.monotonic() - begin < SECONDS:
        calls.append(asyncio.create_task(
            lib.request(record, one, HOST, "/pdf/%s" % lib.new_id(), LIMIT_S)))
        await asyncio.sleep(random.uniform(0.5, 1.5) / RATE)
    ended = await asyncio.gather(*calls)
    await crashing
    unanswered = [e for e in ended if e[3] >= TIMEOUT_S]
    hung = [e for e in unanswered if e[3] >= TIMEOUT_S + 0.5]
    statuses = {}
    for _, result, status, _ in ended:
        key = status or result
        statuses[key] = statuses.get(key, 0) + 1
    record.say("%d requests: %s" % (len(ended), statuses))
    record.say("unanswered at timeoutS: %d; of these still half a second later: %d"
               % (len(unanswered), len(hung)))
    return len(hung) >= 8 and len(hung) * 2 > len(unanswered)


lib.play(case)
