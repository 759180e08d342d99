"""Requests whose path is a prefix of another route without its last slash go to that route's
service."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import mesh as lib  # noqa: E402

HOST = "hulo84.example"
PATH = "/bids/today"
RATE = 15
SECONDS = 12
CHANGE_AT = 4.0


async def case(record, mesh, trouble):
    first = [lib.route("r-bids", "/bids/", "bidding", "non_idempotent", 2.5, 0.8, host=HOST)]
    added = [lib.route("r-today", "/bids/today/", "archive", "idempotent", 2, 0.6, 2, host=HOST)]
    machines = await mesh.start(
        [("sidecar-providence-1", "providence", "bidding"),
         ("sidecar-worcester-1", "worcester", "archive"),
         ("sidecar-hartford-1", "hartford", "bidding")],
        lib.config(7, ["bidding", "archive"], first))
    services = {}
    for machine, name in zip(machines, ("i-7f3a91c2", "i-11223344", "i-55667788")):
        await machine.start_backend(name, work_s=0.1)
        services[name] = machine.service
    await mesh.until_ready()
    await asyncio.sleep(4)
    calls = []
    begin = time.monotonic()
    changed = False
    while time.monotonic() - begin < SECONDS:
        if trouble and not changed and time.monotonic() - begin > CHANGE_AT:
            changed = True
            await mesh.store.put("keyed.op", "config",
                                 lib.config(9, ["bidding", "archive"], first + added))
            record.note(event="trouble", what="a route was added")
        machine = machines[len(calls) % len(machines)]
        calls.append(asyncio.create_task(
            lib.request(record, machine, HOST, PATH, 5.0, "POST", b"x" * 300)))
        await asyncio.sleep(1 / RATE)
    ended = await asyncio.gather(*calls)
    runs = [e for e in record.of("ran") if e["target"] == PATH]
    wrong = [e for e in runs if services[e["id"]] != "bidding"]
    record.say("%d requests, %d answered 200; %d runs, of these at a service to which no "
               "configuration sends %s: %d"
               % (len(ended), sum(e[2] == 200 for e in ended), len(runs), PATH, len(wrong)))
    return bool(wrong)


lib.play(case)
