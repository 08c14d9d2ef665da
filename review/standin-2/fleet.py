"""Stand-ins for the scripts of the second review: the platform's store, engines, callers, and nodes as processes.

Python 3, standard library only. Everything listens on loopback addresses. The store and the engines do what
PROTOCOL.md says of sound ones; a script switches troubles on.
"""

import asyncio
import base64
import json
import os
import signal
import struct
import subprocess
import sys
import tempfile
import time

HOST = "desk.example"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "hibiscusgw")


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder):
        path = os.path.join(folder, "record.txt")
        open(path, "w").close()
        # Engines that are processes of their own add lines, too.
        self.file = open(path, "a", buffering=1)
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    """The start line and the headers, names in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += chunk
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def response(status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{n}: {v}" for n, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Serves HTTP/1.1; `answer(method, target, headers, body, writer)` gives bytes, or None once it has written."""

    async def listen(self, ip):
        # A stream's limit bounds a head, not a body.
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20, backlog=1024)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.writers = set()
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                out = await self.answer(method, target, head[1], body, writer)
                if out is not None:
                    writer.write(out)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()


# ---------------------------------------------------------------- the platform's store

class Store(Server):
    def __init__(self):
        self.topics = {}   # (topic, part) -> list of records
        self.newest = {}   # (topic, part) -> key -> (value, offset)
        self.grown = asyncio.Event()

    def append(self, topic, records, part=0):
        log = self.topics.setdefault((topic, part), [])
        offset = len(log)
        for record in records:
            if topic.startswith("keyed."):
                key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
                keys = self.newest.setdefault((topic, part), {})
                if value:
                    keys[key] = (value, len(log))
                else:
                    keys.pop(key, None)
            log.append(record)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def put(self, topic, key, value):
        value = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.append(topic, [bytes([len(key)]) + key.encode() + value])

    async def answer(self, method, target, headers, body, writer):
        path, _, query = target.partition("?")
        q = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        topic, part = q.get("topic", ""), int(q.get("part", 0))
        log = self.topics.setdefault((topic, part), [])
        if path == "/api/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return response(403, {})
            await asyncio.sleep(0.004)
            if "at" in q and int(q["at"]) != len(log):
                return response(412, {"end": len(log)})
            records, at = [], 0
            while at < len(body):
                size = struct.unpack(">I", body[at:at + 4])[0]
                records.append(body[at + 4:at + 4 + size])
                at += 4 + size
            offset = self.append(topic, records, part)
            return response(200, {"offset": offset, "end": len(log)})
        if path == "/api/log-read":
            start, until = int(q.get("from", 0)), time.monotonic() + int(q.get("waitMs", 0)) / 1000
            if start > len(log):
                return response(410, {"first": 0})
            while len(log) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.grown.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            await asyncio.sleep(0.004)
            out = struct.pack(">QQ", len(log), 0)
            for record in log[start:]:
                out += struct.pack(">I", len(record)) + record
            return response(200, out)
        if path == "/api/log-newest":
            await asyncio.sleep(0.004)
            keys = self.newest.get((topic, part), {})
            items = [{"key": k, "value": base64.b64encode(v).decode(), "offset": o} for k, (v, o) in keys.items()]
            return response(200, {"items": items, "hasMore": False, "end": len(log)})
        return response(404, {})


# ---------------------------------------------------------------- engines

class Engine(Server):
    """An engine of models, or of a plain service if it has no `models`."""

    def __init__(self, record, name, service, zone="a", models=None, weights=None, weights_mb=0.0,
                 adapter_slots=0, adapter_mb=None, slots=64, work_s=0.03, events=40, pause_s=0.05, load_s=0.2):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        # Starts as one that was placed so: model -> list of adapters.
        self.models = {m: list(a) for m, a in (models or {}).items()}
        self.weights, self.adapter_mb = weights or {}, adapter_mb or {}
        self.weights_mb, self.adapter_slots, self.slots = weights_mb, adapter_slots, slots
        self.work_s, self.events, self.pause_s, self.load_s = work_s, events, pause_s, load_s
        self.seq, self.busy, self.running, self.fence = 0, False, 0, 0
        self.coming, self.born = [], int(time.time() * 1000)
        self.runs, self.crashed, self.cut = {}, None, []
        self.order_delay_s = 0.0

    def held(self):
        return [{"name": m, "version": 1, "adapters": a} for m, a in self.models.items()]

    def entry(self, state="ready"):
        return {"service": self.service, "addr": self.addr, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldLeftMs": 0, "models": self.held(),
                "atHand": {"inMemory": [], "onDisk": []}, "seq": 1, "born": self.born}

    def used_mb(self):
        return sum(self.weights[m] + len(a) * self.adapter_mb.get(m, 0) for m, a in self.models.items()) \
            + sum(self.adapter_mb.get(m, 0) for m, _ in self.coming)

    def used_slots(self):
        return sum(len(a) for a in self.models.values()) + len(self.coming)

    def crash(self, why):
        self.crashed = why
        self.record.line(f"engine {self.name} CRASHES: {why}; requests at work: {self.running}")
        self.server.close()
        self.reset_all()

    async def order(self, headers, body):
        if headers.get("x-expect-instance") not in (None, self.name):
            return response(421, {}, [("X-Instance", self.name)])
        order = json.loads(body)
        if self.order_delay_s:
            await asyncio.sleep(self.order_delay_s)
        op, model, adapter = order["op"], order["model"], order.get("adapter")
        what = model + (f"/{adapter}" if adapter else "")
        status = self.carry_out(order, op, model, adapter)
        self.record.line(f"engine {self.name} order {op} {what} from {order['holder']} fence {order['fence']}: {status}, "
                         f"now {self.used_slots()} adapters of {self.adapter_slots}, {self.used_mb():.0f} MB of {self.weights_mb:.0f}")
        if self.used_slots() > self.adapter_slots or self.used_mb() > self.weights_mb:
            self.crash(f"ordered to load {what}: {self.used_slots()} adapters of {self.adapter_slots}, "
                       f"{self.used_mb():.0f} MB of {self.weights_mb:.0f} MB")
            raise ConnectionError
        return response(status, {})

    def carry_out(self, order, op, model, adapter):
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        loaded = model in self.models and (adapter is None or adapter in self.models[model])
        if adapter and (model, adapter) in self.coming:
            return 202
        if order.get("precondition", self.seq) != self.seq or self.busy:
            return 409
        if loaded == (op == "load"):
            return 200
        self.seq += 1
        if op == "unload":
            if adapter:
                self.models[model].remove(adapter)
            else:
                del self.models[model]
            return 200
        if adapter:
            if model not in self.models:
                return 400
            self.coming.append((model, adapter))
            asyncio.get_running_loop().call_later(0.01, self.come, model, adapter)
            return 202
        self.busy = True
        asyncio.get_running_loop().call_later(self.load_s, self.arrive, model)
        return 202

    def come(self, model, adapter):
        self.coming.remove((model, adapter))
        if model in self.models:
            self.models[model].append(adapter)

    def arrive(self, model):
        self.busy = False
        self.models[model] = []

    def report(self):
        return {"stage": "mixed", "models": self.held(), "busy": self.busy, "seq": self.seq, "waiting": 0,
                "running": self.running, "kvUsed": 0, "kvTotal": 100000, "handles": 0, "born": self.born,
                "coming": [f"{m}/{a}@1" for m, a in self.coming], "atHand": {"inMemory": [], "onDisk": []}}

    async def answer(self, method, target, headers, body, writer):
        if target == "/api/order":
            return await self.order(headers, body)
        if target == "/api/report":
            return response(200, self.report())
        if target == "/health":
            return response(200, b"", [("X-Instance", self.name)])
        rid = headers.get("x-request-id")
        if rid is None:
            return response(400, {}, [("X-Not-Run", "1")])
        echo = [("X-Request-Id", rid)]
        if headers.get("x-expect-instance") not in (None, self.name):
            return response(421, {}, echo + [("X-Not-Run", "1"), ("X-Instance", self.name)])
        wanted = headers.get("x-model")
        if wanted:
            model, _, adapter = wanted.partition("/")
            if model not in self.models or (adapter and adapter not in self.models[model]):
                return response(421, {}, echo + [("X-Not-Run", "1"), ("X-Instance", self.name)])
        self.runs[rid] = self.runs.get(rid, 0) + 1
        self.record.line(f"engine {self.name} runs {rid}")
        self.running += 1
        try:
            return await self.run(rid, wanted, headers, body, writer, echo)
        except (ConnectionError, asyncio.CancelledError):
            self.cut.append(rid)
            raise ConnectionError
        finally:
            self.running -= 1

    async def run(self, rid, wanted, headers, body, writer, echo):
        seal = [("X-Response-Seal", f"seal.{rid}"), ("X-Load", f"{self.running},0,{self.slots}")]
        if not wanted:
            await asyncio.sleep(self.work_s)
            return response(200, f"answer to {rid}".encode(), echo + seal)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{n}: {v}" for n, v in echo + seal]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for n in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = f"id: {n}\ndata: {rid} piece {n}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return None


# ---------------------------------------------------------------- nodes

class Nodes:
    """Nodes as processes, with the command of the deploy file."""

    def __init__(self, store_addr, folder, record, extra=""):
        self.store, self.folder, self.record, self.extra = store_addr, folder, record, extra
        self.all = []

    def start(self, zone="a", memory_mb=260, fds=4200):
        n = len(self.all) + 1
        # An address of its own for each node, as the port of the metrics is the same for all.
        ip = f"127.0.{os.getpid() % 200 + 20}.{n}"
        ports = free_ports(ip, 3)
        path = os.path.join(self.folder, f"front-{n}.conf")
        with open(path, "w") as f:
            f.write(f"nodeName=front-{n}\nrole=entry\nmachineClass=front\nserves=front\nip={ip}\nzone={zone}\n"
                    f"listen.front={ip}:{ports[0]}\nlisten.ready={ip}:{ports[1]}\nportRange={ports[2]},{ports[2]}\n"
                    f"bootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb={memory_mb}\n"
                    f"limits.maxFds={fds}\nheartbeatMs=1200\nbounds.contactMs=3000\nbounds.drainMs=2000\n"
                    "bounds.graceS=8\nbounds.applyMs=2000\nbounds.revertMs=250\nbounds.budgetRatio=0.2\n"
                    "bounds.budgetWindowS=10\nbounds.budgetSlack=52\nbounds.requireFence=true\nbounds.leaseMs=3000\n"
                    "bounds.ceilingWindowS=5\nbounds.ceilingOver=1.1\n"
                    f"provider.addr={self.store}\nprovider.form=log\nprovider.parts=8\n{self.extra}")
        log = open(os.path.join(self.folder, f"front-{n}.log"), "wb")
        child = subprocess.Popen([PROGRAM, "serve"], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                 env={"PATH": os.environ["PATH"], "HIBISCUSGW_BOOT": path})
        node = {"name": f"front-{n}", "front": (ip, ports[0]), "ready": (ip, ports[1]), "child": child}
        self.all.append(node)
        return node

    async def until_ready(self, node, max_s=20):
        until = time.monotonic() + max_s
        while time.monotonic() < until:
            try:
                status, _, _ = await call(node["ready"], "GET", "/api/ready", {}, b"", 1)
                if status == 200:
                    self.record.line(f"{node['name']} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{node['name']} does not get ready")

    def peak_mb(self, node):
        with open(f"/proc/{node['child'].pid}/status") as f:
            return next(int(l.split()[1]) / 1024 for l in f if l.startswith("VmHWM"))

    def end(self):
        for node in self.all:
            if node["child"].poll() is None:
                node["child"].kill()
            node["child"].wait()


class CannotRun(Exception):
    pass


def free_ports(ip, count):
    import socket
    socks = [socket.socket() for _ in range(count)]
    for s in socks:
        s.bind((ip, 0))
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


# ---------------------------------------------------------------- callers

async def call(addr, method, path, headers, body, timeout_s):
    """One request on a connection of its own: status, headers, and the body, or None if it ended early."""
    async def go():
        reader, writer = await asyncio.open_connection(*addr, limit=1 << 20)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{n}: {v}" for n, v in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None, {}, None
            try:
                got = await read_body(reader, head[1], until_close=True)
            except (asyncio.IncompleteReadError, ConnectionError):
                got = None
            return int(head[0].split(" ")[1]), head[1], got
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(go(), timeout_s)
    except asyncio.TimeoutError:
        return "timeout", {}, None
    except ConnectionError:
        return "reset", {}, None


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "timeoutMs": 12000, "sloMs": 300,
            "priority": 1, "service": service, "attempts": 2, **more}


LIMITS = {"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def run(folder, main):
    """Runs a case: exits with 1 if `main` says that the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"TROUBLE={'1' if trouble else '0'}")
    if not os.path.exists(PROGRAM):
        record.line("the program is not built")
        sys.exit(2)
    nodes = []

    async def go(tmp):
        return await asyncio.wait_for(main(record, trouble, tmp, nodes), 110)

    status = 2
    with tempfile.TemporaryDirectory() as tmp:
        try:
            status = 1 if asyncio.run(go(tmp)) else 0
        except Exception as why:  # whatever it is, nothing was shown
            record.line(f"could not run: {why!r}")
        finally:
            for group in nodes:
                group.end()
    record.line({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "the case could not run"}[status])
    print(open(os.path.join(folder, "record.txt")).read().splitlines()[-1])
    sys.exit(status)
