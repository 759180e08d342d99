"""Backend server stand-in, one process.

It follows PROTOCOL.md: it runs `capacity` requests at a time, queues a few more, rejects the rest
with Not-Executed, echoes the attempt id, proves its answers, checks Target-Instance, gives up at
Deadline-Ms, drops a request when its connection closes, and reports itself to the daemon beside it.

Orders come as lines on standard input (JSON objects, see `Backend.order`); what happens is written
to standard output, one JSON object a line. It ends when standard input is closed.
"""

import asyncio
import json
import random
import sys
import time

QUEUE = 52
ACK_TIMEOUT_S = 1.0


def note(**fields):
    fields["t"] = round(time.time(), 4)
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


class Backend:
    def __init__(self, cfg):
        self.cfg = cfg
        self.host, port = cfg["addr"].rsplit(":", 1)
        self.port = int(port)
        self.work_s = cfg["work_s"]
        self.cold_until = time.monotonic() + cfg.get("cold_s", 0.0)
        self.slots = asyncio.Semaphore(cfg["capacity"])
        self.running = 0
        self.waiting = 0
        self.state = "ready"
        self.sequence = 0
        self.born = cfg.get("born") or int(time.time() * 1000)
        self.beating = None
        self.slow_x = 1.0

    async def serve(self):
        server = await asyncio.start_server(self.connection, self.host, self.port, backlog=256)
        note(event="listens", id=self.cfg["id"], born=self.born)
        self.beating = asyncio.create_task(self.beats(self.cfg.get("first_beat_s", 0.0)))
        return server

    # Requests

    async def connection(self, reader, writer):
        try:
            while await self.exchange(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def exchange(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = b""
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    raise asyncio.IncompleteReadError(line, None)
                size = int(line.split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
        attempt = headers.get("attempt-id", "")
        note(event="arrived", id=self.cfg["id"], attempt=attempt, target=target,
             method=method, caller=headers.get("caller-service"), bytes=len(body))
        if target == "/health":
            code = 200 if self.state == "ready" else 503
            self.answer(writer, code, attempt, b"", [("Instance-Id", self.cfg["id"])])
            return True
        expected = headers.get("target-instance")
        if expected not in (None, self.cfg["id"]):
            self.answer(writer, 421, attempt, b"",
                        [("Not-Executed", "1"), ("Instance-Id", self.cfg["id"])])
            return True
        if self.running + self.waiting >= self.cfg["capacity"] + QUEUE:
            self.answer(writer, 503, attempt, b"", [("Not-Executed", "1")])
            return True
        limit = time.monotonic() + int(headers.get("deadline-ms", "60000")) / 1000
        run = asyncio.create_task(self.run(attempt, target, limit))
        # A request is dropped when its connection closes.
        gone = asyncio.create_task(self.until_closed(reader))
        await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            run.cancel()
            note(event="dropped", id=self.cfg["id"], attempt=attempt)
            return False
        gone.cancel()
        code, extra, payload = run.result()
        no_length = code == 200 and self.cfg.get("framing") == "close"
        chunked = code == 200 and self.cfg.get("framing") == "chunked"
        self.answer(writer, code, attempt, payload, extra, no_length, chunked)
        await writer.drain()
        return not no_length

    async def until_closed(self, reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def run(self, attempt, target, limit):
        self.waiting += 1
        try:
            async with asyncio.timeout(max(limit - time.monotonic(), 0)):
                await self.slots.acquire()
        except TimeoutError:
            return 503, [("Not-Executed", "1")], b""
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            note(event="ran", id=self.cfg["id"], attempt=attempt, target=target)
            work = self.work_s * self.slow_x
            if self.cfg.get("spread"):
                work *= random.uniform(1 - self.cfg["spread"], 1 + self.cfg["spread"])
            if time.monotonic() < self.cold_until:
                work *= self.cfg.get("cold_x", 2.0)
            left = limit - time.monotonic()
            await asyncio.sleep(min(work, left))
            if work > left:
                return 504, [], b""
            note(event="finished", id=self.cfg["id"], attempt=attempt)
            return 200, [], (attempt + "\n").encode() * 10
        finally:
            self.running -= 1
            self.slots.release()

    def answer(self, writer, code, attempt, payload, extra, no_length=False, chunked=False):
        lines = ["HTTP/1.1 %d X" % code, "Attempt-Id: " + attempt,
                 "Server-Load: %d,%d,%d" % (self.running, self.waiting, self.cfg["capacity"])]
        if no_length:
            lines.append("Connection: close")
        elif chunked:
            lines += ["Transfer-Encoding: chunked", "Keep-Alive: timeout=10"]
            payload = b"%x\r\n" % len(payload) + payload + b"\r\n0\r\n\r\n"
        else:
            lines += ["Content-Length: %d" % len(payload), "Keep-Alive: timeout=10"]
        if code == 200 or code == 504:
            lines.append("Server-Seal: seal." + attempt)
        lines += ["%s: %s" % pair for pair in extra]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + payload)

    # Reports to the daemon beside it

    async def beats(self, first_s):
        await asyncio.sleep(first_s)
        while True:
            await self.beat()
            await asyncio.sleep(self.cfg["heartbeat_s"])

    def beat_body(self):
        self.sequence += 1
        cfg = self.cfg
        return {
            "addr": cfg["addr"], "born": self.born,
            "info": {"service": cfg["service"], "version": cfg["version"], "zone": cfg["zone"],
                     "capacity": cfg["capacity"]},
            "status": {"state": self.state, "sequence": self.sequence,
                       "coldLeftS": round(max(self.cold_until - time.monotonic(), 0), 3)},
        }

    async def beat(self):
        body = self.beat_body()
        code = await self.tell("instances.heartbeat", body)
        note(event="beat", id=self.cfg["id"], state=body["status"]["state"],
             sequence=self.sequence, code=code)
        return code

    async def tell(self, call, body):
        payload = json.dumps(body).encode()
        head = "POST /rpc?call=%s&of=%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" % (
            call, self.cfg["id"])
        head += "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(payload)
        host, port = self.cfg["control"].rsplit(":", 1)
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode() + payload)
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0

    async def order(self, line):
        order = json.loads(line)
        what = order["do"]
        if what == "drain":
            self.state = "draining"
            code = 0
            while code != 200:
                code = await self.beat()
            note(event="drain_acked", id=self.cfg["id"])
        elif what == "leave":
            code = await self.tell("instances.leave", {"born": self.born})
            self.beating.cancel()
            note(event="leave_acked", id=self.cfg["id"], code=code)
        elif what == "late_beat":
            # A report that was sent before, and arrives now.
            code = await self.tell("instances.heartbeat", order["body"])
            note(event="late_beat", id=self.cfg["id"], code=code)
        elif what == "slow":
            self.slow_x = order["x"]
            note(event="slow", id=self.cfg["id"], x=self.slow_x)
        elif what == "take_body":
            # The report is on its way from now on; "late_beat" is its arrival.
            note(event="body", id=self.cfg["id"], body=self.beat_body())


async def main():
    backend = Backend(json.loads(sys.argv[1]))
    server = await backend.serve()
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    orders = set()
    while line := await reader.readline():
        task = asyncio.create_task(backend.order(line))
        orders.add(task)
        task.add_done_callback(orders.discard)
    server.close()


asyncio.run(main())
