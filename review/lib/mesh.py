"""A small installation on loopback addresses: the store's stand-in, the project's daemons as
processes, backend servers as processes, and clients. Used by the scripts of the cases.

Each machine has an address 127.A.B.C of its own, as the platform gives each machine its own.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIB = Path(__file__).resolve().parent
BOUNDS = {"drainS": 2, "graceS": 6, "applyS": 2, "stableS": 3, "lossSlackS": 0.2, "retrySlack": 64}
# Exit status of a case whose rule was broken; run.sh turns it into 1.
BROKEN = 10
OUTBOUND, INBOUND, READY, CONTROL, PEER, ADMIN, METRICS = 8304, 8300, 8302, 8306, 7620, 7635, 9102


class CannotRun(Exception):
    """The case could not be run; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, as lines of JSON in record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.events = []

    def note(self, **fields):
        fields.setdefault("t", round(time.time(), 4))
        self.events.append(fields)
        self.file.write(json.dumps(fields) + "\n")

    def of(self, event):
        return [fields for fields in self.events if fields.get("event") == event]

    def say(self, text):
        print(text, flush=True)
        self.note(event="note", text=text)

    def close(self):
        self.file.close()


class Store:
    """The platform's store: topics with one partition that keep the newest record of each key."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.connection, host, port)

    async def put(self, topic, key, value):
        async with self.changed:
            self.append(topic, key, json.dumps(value).encode())
            self.changed.notify_all()

    def append(self, topic, key, value):
        log = self.topics.setdefault(topic, [])
        log.append((key, value))
        return len(log) - 1

    def value(self, topic, key):
        for known, value in reversed(self.topics.get(topic, [])):
            if known == key:
                return json.loads(value)
        return None

    async def connection(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, _ = head.split("\r\n")[0].split(" ", 2)
                length = re.search(r"(?im)^content-length:\s*(\d+)", head)
                body = await reader.readexactly(int(length.group(1))) if length else b""
                path, _, query = target.partition("?")
                query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                code, payload = await self.answer(method, path, query, body)
                writer.write(b"HTTP/1.1 %d X\r\nStore-Era: 0\r\nContent-Length: %d\r\n\r\n"
                             % (code, len(payload)) + payload)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        topic = query.get("topic", "")
        await asyncio.sleep(0.004)
        if path == "/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            key_len = body[4]
            key, value = body[5:5 + key_len].decode(), body[5 + key_len:]
            end = len(self.topics.get(topic, []))
            if "at" in query and int(query["at"]) != end:
                return 412, json.dumps({"end": end}).encode()
            async with self.changed:
                offset = self.append(topic, key, value)
                self.changed.notify_all()
            return 200, json.dumps({"offset": offset, "end": offset + 1}).encode()
        if path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(self.topics.get(topic, [])):
                newest[key] = (offset, value)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in sorted(newest.items())
                     if value and key > query.get("after", "")]
            page = {"items": items, "more": False, "end": len(self.topics.get(topic, []))}
            return 200, json.dumps(page).encode()
        if path == "/log-read":
            start = int(query["from"])
            wait_s = int(query.get("waitMs", "0")) / 1000
            if len(self.topics.get(topic, [])) <= start and wait_s:
                async with self.changed:
                    try:
                        async with asyncio.timeout(wait_s):
                            await self.changed.wait_for(
                                lambda: len(self.topics.get(topic, [])) > start)
                    except TimeoutError:
                        pass
            log = self.topics.get(topic, [])
            out = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, value in log[start:]:
                key = key.encode()
                out += (1 + len(key) + len(value)).to_bytes(4, "big") + bytes([len(key)])
                out += key + value
            return 200, out
        return 404, b"{}"


def render(template, fields):
    """Fills in the template of the deploy file: values, and sections that are present."""

    def value(path):
        found = fields
        for part in path.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = (found or {}).get(part)
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match.group(1))), text)


def deploy():
    """The command, template and environment of the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text()
    run = re.search(r'^run = "(.*)"', text, re.M).group(1)
    template = re.search(r'^template = "(.*)"', text, re.M).group(1)
    env = dict(re.findall(r'(\w+) = "([^"]*)"', re.search(r"^env = \{(.*)\}", text, re.M).group(1)))
    return run.split(" "), (ROOT / template).read_text(), env


class Machine:
    """One machine: its address, the daemon's process, and the backend server beside it."""

    def __init__(self, mesh, name, zone, service, ip):
        self.mesh, self.name, self.zone, self.service, self.ip = mesh, name, zone, service, ip
        self.settings = mesh.folder / (name + ".yaml")
        self.log = mesh.folder / (name + ".log")
        self.daemon = None
        self.backends = []

    def at(self, port):
        return "%s:%d" % (self.ip, port)

    def write_settings(self):
        fields = {
            "nodeName": self.name, "zone": self.zone, "region": "new-england", "ip": self.ip,
            "service": self.service, "appAddr": self.at(8301), "bounds": BOUNDS,
            "internalPorts": [PEER, ADMIN],
            "platform": {"addr": "%s:%d" % (self.mesh.store_ip, 8309)},
            "listen": {"inbound": self.at(INBOUND), "outbound": self.at(OUTBOUND),
                       "ready": self.at(READY), "control": self.at(CONTROL)},
        }
        text = render(self.mesh.template, fields)
        part = self.settings.with_suffix(".part")
        part.write_text(text)
        part.rename(self.settings)

    def start_daemon(self):
        """Starts the daemon with the command of the deploy file and the settings of this machine."""
        self.write_settings()
        command = [str(self.settings) if word.startswith("/etc/") else word
                   for word in self.mesh.command]
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= self.mesh.env | {"CYCLAMENMOOR_BOOT": str(self.settings)}
        with open(self.log, "ab") as log:
            self.daemon = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                           stdout=log, stderr=log)
        self.mesh.processes.append(self.daemon)
        self.mesh.record.note(event="daemon_started", machine=self.name)

    def signal_daemon(self, sig):
        self.mesh.record.note(event="daemon_signal", machine=self.name, signal=sig.name)
        self.daemon.send_signal(sig)

    async def start_backend(self, name, **cfg):
        """Starts a backend server's process at the address of this machine's backend server."""
        cfg = {"id": name, "addr": self.at(8301), "service": self.service, "zone": self.zone,
               "version": "v1", "control": self.at(CONTROL), "heartbeat_s": 1.5, "work_s": 0.05,
               "capacity": 6} | cfg
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(LIB / "backend.py"), json.dumps(cfg),
            stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.mesh.backends.append(process)
        self.backends.append(process)
        self.mesh.tasks.append(asyncio.create_task(self.mesh.follow(process)))
        return process

    async def ready(self):
        """What the daemon answers to the platform's question whether it is ready."""
        try:
            code, _, _ = await exchange(self.ip, READY, "GET /ready HTTP/1.1\r\nHost: x\r\n"
                                        "Connection: close\r\n\r\n", 1.0)
            return code == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False


class Mesh:
    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.command, self.template, self.env = deploy()
        self.processes, self.backends, self.tasks, self.machines = [], [], [], []
        self.store = Store()
        self.net = self.free_net()
        self.store_ip = self.net + "1"

    @staticmethod
    def free_net():
        for _ in range(50):
            net = "127.%d.%d." % (random.randint(20, 250), random.randint(1, 250))
            try:
                for port in (8309, OUTBOUND, METRICS):
                    with socket.socket() as probe:
                        probe.bind((net + "1", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    async def start(self, machines, config):
        """Starts store and daemons; `machines` are rows of name, zone and service."""
        if not (ROOT / self.command[0]).exists():
            raise CannotRun("the program of the deploy file is not built")
        await self.store.start(self.store_ip, 8309)
        await self.store.put("keyed.op", "config", config)
        for index, (name, zone, service) in enumerate(machines):
            machine = Machine(self, name, zone, service, self.net + str(index + 10))
            self.machines.append(machine)
            machine.start_daemon()
        return self.machines

    async def follow(self, process):
        """Takes over what a backend server says it did."""
        while line := await process.stdout.readline():
            self.record.note(**json.loads(line))

    async def until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        for machine in self.machines:
            while not await machine.ready():
                if time.monotonic() > until:
                    raise CannotRun("a daemon does not become ready")
                await asyncio.sleep(0.1)

    async def until_event(self, event, limit_s=10, **fields):
        """Waits for a line in the record."""
        until = time.monotonic() + limit_s
        while True:
            for known in self.record.of(event):
                if all(known.get(name) == value for name, value in fields.items()):
                    return known
            if time.monotonic() > until:
                raise CannotRun("no event %s %s" % (event, fields))
            await asyncio.sleep(0.02)

    @staticmethod
    async def tell(process, **order):
        process.stdin.write((json.dumps(order) + "\n").encode())
        await process.stdin.drain()

    async def stop(self):
        """Ends all processes that were started here."""
        for process in self.backends:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        for process in self.backends:
            await process.wait()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP"):
            print("logs are kept in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# Clients

def new_id():
    return "%016x" % random.getrandbits(64)


async def exchange(ip, port, text, limit_s, body=b""):
    """One request on a new connection; returns status, headers and body."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(text.encode() + body)
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return int(lines[0].split()[1]), headers, body


async def request(record, machine, host, path, limit_s, method="GET", body=b""):
    """One client attempt on a new connection; the client waits for its whole time limit."""
    attempt = new_id()
    text = ("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
            % (method, path, host, attempt, int(limit_s * 1000)))
    if body:
        text += "Content-Length: %d\r\n" % len(body)
    sent = time.time()
    record.note(event="sent", attempt=attempt, machine=machine.name, method=method, path=path)
    result, status, seal = "answer", None, None
    try:
        status, headers, _ = await exchange(machine.ip, OUTBOUND, text + "\r\n", limit_s, body)
        seal = headers.get("server-seal")
    except TimeoutError:
        result = "none"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        result = "broken"
    took = time.time() - sent
    record.note(event="ended", attempt=attempt, result=result, status=status, seal=seal,
                took=round(took, 4))
    return attempt, result, status, took


def route(name, prefix, service, kind, timeout_s, target_s, priority=1, host="jepu9.example"):
    return {"type": "routes", "metadata": {"name": name},
            "spec": {"host": host, "pathPrefix": prefix, "kind": kind, "timeoutS": timeout_s,
                     "targetLatencyS": target_s, "priority": priority, "service": service,
                     "attempts": 2}}


def config(version, services, routes):
    resources = list(routes)
    for service in services:
        resources.append({"type": "services", "metadata": {"name": service},
                          "spec": {"healthPath": "/health", "maxConns": 130, "protocol": "h1",
                                   "tls": False}})
    resources.append({"type": "limits", "metadata": {},
                      "spec": {"headerBytes": 16384, "bodyBytes": 67108864, "headerTimeoutS": 3,
                               "idleTimeoutS": 15}})
    return {"version": version, "resources": resources}


def play(case):
    """Runs `case(record, mesh, trouble)`, which returns whether the rule was broken. Exits with BROKEN
    if it was, 0 if it held, and 2 if the case could not run. An error of the interpreter exits with 1,
    so that run.sh can tell it from a broken rule."""
    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        record = Record(folder / "record.txt")
        mesh = Mesh(record)
        try:
            async with asyncio.timeout(110):
                broken = await case(record, mesh, trouble)
            record.say("RULE BROKEN" if broken else "rule held")
            return BROKEN if broken else 0
        except Exception as error:  # whatever it is, it says nothing about the rule
            record.say("could not run: %r" % error)
            return 2
        finally:
            await mesh.stop()
            record.close()

    sys.exit(asyncio.run(run()))
