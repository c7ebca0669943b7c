"""Stand-ins for the users' platform, and control of burdockhill's processes.

Everything runs on addresses in 127.0.0.0/8. Only the standard library is used.
A case starts the daemons with the command of the deploy file and settings like
those that the platform renders from deploy/entry.json and deploy/agent.json.
"""
import asyncio
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
KEY = "burdockhill-on-one-private-network"
PEER_PORT = 7660
HELD = 0    # Exit codes of a case.
BROKEN = 1
CANNOT_RUN = 2


class CannotRun(Exception):
    pass


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))
        self.file.flush()


def free_net():
    """Second number of loopback addresses of which all needed ports are free, and
    a socket that keeps other cases from taking the same ones."""
    numbers = list(range(60, 250))
    random.shuffle(numbers)
    for n in numbers:
        lock = socket.socket()
        try:
            lock.bind(("127.%d.0.250" % n, 7899))
            lock.listen(1)
            for ip, port in (("127.%d.1.1" % n, PEER_PORT), ("127.%d.1.1" % n, 7000),
                             ("127.%d.0.1" % n, 7900), ("127.%d.9.1" % n, PEER_PORT)):
                with socket.socket() as s:
                    s.bind((ip, port))
            return n, lock
        except OSError:
            lock.close()
    raise CannotRun("no free loopback addresses")


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    """Returns (first line, list of (name, value)), or None at the end."""
    line = await reader.readline()
    while line in (b"\r\n", b"\n"):
        line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    fields = []
    while True:
        field = await reader.readline()
        if not field.endswith(b"\n"):
            return None
        field = field.rstrip(b"\r\n")
        if not field:
            break
        name, _, value = field.decode("latin-1").partition(":")
        fields.append((name.strip(), value.strip()))
    return line.decode("latin-1").rstrip("\r\n"), fields


def get(fields, name, default=None):
    for n, v in fields:
        if n.lower() == name.lower():
            return v
    return default


async def read_body(reader, fields, is_response=False):
    """Returns (bytes, complete)."""
    if (get(fields, "Transfer-Encoding") or "").lower() == "chunked":
        out = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                return out, False
            size = int(line.split(b";")[0], 16)
            try:
                chunk = await reader.readexactly(size)
                end = await reader.readline()
            except (asyncio.IncompleteReadError, ConnectionError):
                return out, False
            if size == 0:
                return out, True
            if end != b"\r\n":
                return out, False
            out += chunk
    length = get(fields, "Content-Length")
    if length is not None:
        try:
            return await reader.readexactly(int(length)), True
        except asyncio.IncompleteReadError as e:
            return e.partial, False
    if is_response:
        return await reader.read(-1), True
    return b"", True


def abort(writer):
    """Closes the connection with a reset."""
    try:
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            b"\x01\x00\x00\x00\x00\x00\x00\x00")
        writer.transport.abort()
    except (OSError, AttributeError):
        pass


# ---------------------------------------------------------------- store

class Store:
    """The platform's store: objects, lists, watches (PROTOCOL.md)."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {"config": {}, "servers": {}}
        self.events = []            # (revision, kind, object, deleted)
        self.changed = asyncio.Event()
        self.listeners = {}         # Address -> server.
        self.writers = {}           # Address -> set of writers.

    async def listen(self, ip, port):
        address = (ip, port)
        self.writers.setdefault(address, set())

        async def serve(reader, writer):
            self.writers[address].add(writer)
            try:
                await self.serve(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                self.writers[address].discard(writer)
                writer.close()

        self.listeners[address] = await asyncio.start_server(
            serve, ip, port, reuse_address=True)

    def refuse(self, ip, port):
        """Cuts this address off: connections are reset, new ones refused."""
        self.listeners.pop((ip, port)).close()
        for writer in list(self.writers[(ip, port)]):
            abort(writer)

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.objects[kind].get(name)
        obj = {"metadata": {"name": name, "revision": self.revision,
                            "created": old["metadata"]["created"] if old else self.revision,
                            "finalizers": [], "deleting": False},
               "spec": spec, "status": None}
        self.objects[kind][name] = obj
        self._event(kind, obj, False)

    def touch(self, kind, name, spec):
        """A write that is no change: the sequence number alone."""
        if name in self.objects[kind]:
            self.objects[kind][name]["spec"] = spec

    def delete(self, kind, name):
        obj = self.objects[kind].pop(name, None)
        if obj is None:
            return
        self.revision += 1
        obj = json.loads(json.dumps(obj))
        obj["metadata"]["revision"] = self.revision
        self._event(kind, obj, True)

    def _event(self, kind, obj, deleted):
        self.events.append((self.revision, kind, json.loads(json.dumps(obj)), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line, fields = head
            await read_body(reader, fields)
            method, target, _ = line.split(" ")
            path, _, query = target.partition("?")
            args = dict(p.partition("=")[::2] for p in query.split("&") if p)
            await asyncio.sleep(0.004)
            status, body = 404, {"error": "none"}
            parts = path.split("/")
            kind = parts[3] if len(parts) > 3 else ""
            if method == "GET" and kind in self.objects:
                status, body = 200, await self.read(kind, args)
            text = json.dumps(body).encode()
            writer.write(b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
            await writer.drain()

    async def read(self, kind, args):
        if "watch" not in args:
            names = sorted(n for n in self.objects[kind] if n > args.get("after", ""))
            return {"items": [self.objects[kind][n] for n in names],
                    "hasMore": False, "asOf": self.revision}
        since = int(args["watch"])
        deadline = time.monotonic() + int(args.get("waitMs", 0)) / 1000
        while True:
            events = [{"deleted": d, "object": o}
                      for r, k, o, d in self.events if k == kind and r > since]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- runners

class Handles:
    """KV cache of prompts that prefill runners hold, by address and handle."""

    def __init__(self):
        self.held = {}

    def add(self, address, handle, request):
        self.held[(address, handle)] = request
        asyncio.get_running_loop().call_later(
            2.0, self.held.pop, (address, handle), None)

    def take(self, source):
        address, _, handle = source.partition("/")
        return self.held.pop((address, handle), None)


class Runner:
    """A runner of a plain service (stage None) or a model runner."""

    def __init__(self, record, store, handles, name, service, ip, port, version="v1",
                 stage=None, slots=64, zone="z1"):
        self.record, self.store, self.handles = record, store, handles
        self.name, self.service, self.ip, self.port = name, service, ip, port
        self.version, self.stage, self.slots, self.zone = version, stage, slots, zone
        self.alive = False
        self.runs = []              # (time, request id, version)
        self.active = {}            # request id -> [tokens, events]
        self.writers = set()
        self.tasks = set()
        self.event_gap = 0.06
        self.work_s = 0.06
        self.prefill_s = 0.08
        self.ready_beats = None
        self.answer_hook = None     # Async; may send an answer in its own way.
        self.streams = False        # A plain runner that answers with streams.
        self.orders = 0
        self.next_handle = random.getrandbits(40)
        self.server = None

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def spec(self):
        spec = {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "seq": self.seq, "born": self.born}
        if self.stage:
            spec["stage"] = self.stage
            spec["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return spec

    async def start(self, version=None):
        if version:
            self.version = version
        self.born = int(time.time() * 1000)
        self.seq, self.orders, self.state, self.alive = 1, 0, "ready", True
        self.active = {}
        self.server = await asyncio.start_server(
            self.on_connection, self.ip, self.port, reuse_address=True, backlog=512)
        self.store.put("servers", self.name, self.spec())
        self.record.write("runner %s starts: %s %s" % (self.name, self.version, self.stage or ""))
        self.ready_beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.seq += 1
            if self.name in self.store.objects["servers"]:
                self.store.touch("servers", self.name, self.spec())
            else:
                self.store.put("servers", self.name, self.spec())

    def crash(self):
        """All connections are reset. The registration lapses after 3 beats."""
        self.record.write("runner %s crashes" % self.name)
        self.alive = False
        self.ready_beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            abort(writer)
        for task in list(self.tasks):
            task.cancel()
        self.active = {}
        born = self.born

        def lapse():
            if not self.alive and self.born == born:
                self.store.delete("servers", self.name)
        asyncio.get_running_loop().call_later(3.6, lapse)

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        writer.requests = 0
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body, complete = await read_body(reader, fields)
                if not complete:
                    break
                writer.requests += 1
                await self.handle(reader, writer, line, fields, body)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def reply(self, writer, status, fields, body=b"", sealed=True):
        head = "HTTP/1.1 %d X\r\n" % status
        for n, v in fields:
            head += "%s: %s\r\n" % (n, v)
        if sealed:
            head += "X-Response-Seal: %s.%d.%x\r\n" % (self.name, len(body), random.getrandbits(32))
        head += "Keep-Alive: timeout=15\r\nContent-Length: %d\r\n\r\n" % len(body)
        writer.write(head.encode() + body)
        await writer.drain()

    def json_reply(self, writer, status, value, fields=()):
        return self.reply(writer, status, [("Content-Type", "application/json"), *fields],
                          json.dumps(value).encode(), sealed=False)

    async def handle(self, reader, writer, line, fields, body):
        method, target, _ = line.split(" ")
        if target == "/-/report":
            return await self.json_reply(writer, 200, {
                "stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "seq": self.orders, "queued": 0, "active": len(self.active),
                "kvUsed": sum(a[0] for a in self.active.values()), "kvTotal": 101752,
                "kvHandles": 0, "state": self.state, "born": self.born,
                "runs": [[i, a[0], a[1], 5] for i, a in self.active.items()]})
        if target == "/-/order":
            self.record.write("runner %s gets an order: %s" % (self.name, body.decode()))
            return await self.json_reply(writer, 409, {"error": "busy"})
        if target.startswith("/-/kv-handle/"):
            self.handles.held.pop((self.address, target.rsplit("/", 1)[1]), None)
            return await self.json_reply(writer, 200, {})
        rid = get(fields, "X-Request-Id")
        echo = [("X-Request-Id", rid)]
        if get(fields, "X-Expect-Instance", self.name) != self.name:
            return await self.reply(writer, 421, echo + [("X-Not-Executed", "1"),
                                                         ("X-Instance-Id", self.name)])
        if self.streams:
            return await self.run_stream(writer, rid, 0, fields, echo)
        if self.stage is None:
            return await self.run_plain(writer, rid, target, echo, body)
        tokens = int((get(fields, "X-Token-Counts") or "1000,80").split(",")[0])
        if get(fields, "X-Stage") == "prefill":
            if self.stage != "prefill":
                return await self.reply(writer, 421, echo + [("X-Not-Executed", "1")])
            await asyncio.sleep(self.prefill_s)
            self.next_handle += 1
            handle = "%012x" % self.next_handle
            self.handles.add(self.address, handle, rid)
            return await self.json_reply(
                writer, 200, {"kvHandle": handle, "tokens": tokens, "version": 1}, echo)
        if self.stage != "decode":
            return await self.reply(writer, 421, echo + [("X-Not-Executed", "1")])
        source = get(fields, "X-Kv-Source")
        if source is not None and self.handles.take(source) is None:
            return await self.reply(writer, 503, echo + [("X-Not-Executed", "1")])
        if source is None:
            await asyncio.sleep(2 * self.prefill_s)
        await self.run_stream(writer, rid, tokens, fields, echo)

    def note_run(self, rid):
        self.runs.append((self.record.now(), rid, self.version))
        self.record.write("runner %s (%s) runs %s" % (self.name, self.version, rid))

    async def run_plain(self, writer, rid, target, echo, body):
        if self.answer_hook is not None and await self.answer_hook(self, writer, rid, echo):
            return
        self.note_run(rid)
        await asyncio.sleep(self.work_s)
        await self.reply(writer, 200, echo, ("done %s %s" % (rid, self.name)).encode().ljust(800))

    async def run_stream(self, writer, rid, tokens, fields, echo):
        last = int(get(fields, "Last-Event-Id") or 0)
        pieces = int(get(fields, "X-Token-Counts").split(",")[1])
        self.note_run(rid)
        state = self.active[rid] = [tokens, 0]
        try:
            head = "HTTP/1.1 200 OK\r\n"
            for n, v in echo:
                head += "%s: %s\r\n" % (n, v)
            head += ("X-Response-Seal: %s.s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                     "Keep-Alive: timeout=15\r\nTransfer-Encoding: chunked\r\n\r\n" % self.name)
            writer.write(head.encode())
            for i in range(last + 1, pieces + 1):
                event = ("id: %d\ndata: %s %s %s\n\n" % (i, rid, self.name, self.version)).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                state[0] += 1
                state[1] += 1
                await asyncio.sleep(self.event_gap)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.active.pop(rid, None)


# ---------------------------------------------------------------- paths

class PeerPath:
    """The path to the peer port of a machine. While a machine is cut off, its
    connections to and from other machines are reset, and new ones too."""

    def __init__(self, deployment, vm, target):
        self.deployment, self.vm, self.target = deployment, vm, target
        self.flows = []     # [machine that has dialled, writers]

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.vm, PEER_PORT,
                                                 reuse_address=True)

    def is_cut(self, dialler):
        return bool({self.vm, dialler} & self.deployment.cut_off)

    async def serve(self, reader, writer):
        dialler = self.deployment.find_dialler(writer.get_extra_info("peername")[1])
        if dialler is None:
            # Its process has only just started. It could not be cut off; it dials again.
            self.deployment.record.write("a dialler of %s is not known yet" % self.vm)
            return abort(writer)
        if self.is_cut(dialler):
            return abort(writer)
        try:
            back_reader, back_writer = await asyncio.open_connection(self.target, PEER_PORT)
        except OSError:
            return abort(writer)
        flow = [dialler, (writer, back_writer)]
        self.flows.append(flow)

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            for w in flow[1]:
                abort(w)

        await asyncio.gather(pump(reader, back_writer), pump(back_reader, writer))
        self.flows.remove(flow)

    def apply_cuts(self):
        for dialler, writers in self.flows:
            if self.is_cut(dialler):
                for w in writers:
                    abort(w)


# ---------------------------------------------------------------- daemons

class Daemon:
    def __init__(self, deployment, name, settings):
        self.deployment, self.name, self.settings = deployment, name, settings
        self.process = None
        self.expected_end = False
        self.started = []           # All processes so far.

    async def start(self):
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(path, "w") as f:
            json.dump(self.settings, f)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["BURDOCKHILL_BOOT"] = path
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        program = os.environ.get("BURDOCKHILLD", "target/burdockhilld")
        self.process = await asyncio.create_subprocess_exec(
            program, cwd=REPO, env=env, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.started.append(self.process)
        self.expected_end = False
        self.deployment.record.write("%s starts, process %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.deployment.record.write("%s gets %s" % (self.name, signal.Signals(number).name))
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_end = True
        self.process.send_signal(number)

    def has_ended(self):
        return self.process is not None and self.process.returncode is not None

    def rss_mb(self, field="VmRSS"):
        with open("/proc/%d/status" % self.process.pid) as f:
            for line in f:
                if line.startswith(field):
                    return int(line.split()[1]) / 1024
        return 0


class Deployment:
    def __init__(self, record, entries, engines, bounds=None):
        """entries: number; engines: list of (name, stage) or (name, stage, service)."""
        self.record = record
        self.net, self.lock = free_net()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.handles = Handles()
        self.entry_ips = ["127.%d.1.%d" % (self.net, i + 1) for i in range(entries)]
        self.daemons = {}
        self.runners = {}
        self.paths = []
        self.engines = engines
        self.version = 0
        self.cut_off = set()        # Machines that no other machine reaches.

    def find_dialler(self, port):
        """The machine whose process has a connection from this local port."""
        inode = None
        with open("/proc/net/tcp") as table:
            for line in table:
                fields = line.split()
                if fields[1].endswith(":%04X" % port) and fields[2].endswith(":%04X" % PEER_PORT):
                    inode = fields[9]
        for daemon in self.daemons.values():
            if daemon.process is None:
                continue    # Not started yet.
            folder = "/proc/%d/fd" % daemon.process.pid
            try:
                links = [os.readlink(os.path.join(folder, fd)) for fd in os.listdir(folder)]
            except OSError:
                continue
            if "socket:[%s]" % inode in links:
                return daemon.settings["vm"]
        return None

    def cut(self, vm):
        self.cut_off.add(vm)
        for path in self.paths:
            path.apply_cuts()

    def heal(self, vm):
        self.cut_off.discard(vm)

    def store_ip(self, vm_index):
        return "127.%d.0.%d" % (self.net, vm_index)

    async def start_path(self, vm, index):
        target = "127.%d.9.%d" % (self.net, index)
        path = PeerPath(self, vm, target)
        await path.listen()
        self.paths.append(path)
        return target

    async def add_engine_agent(self, number, index):
        vm = "127.%d.2.%d" % (self.net, number)
        await self.store.listen(self.store_ip(index), 7900)
        real = await self.start_path(vm, index)
        self.daemons["agent-%d" % number] = Daemon(self, "agent-%d" % number, {
            "role": "agent", "vm": vm, "zone": "z1", "region": "r1",
            "store": "%s:7900" % self.store_ip(index), "peers": "%s:%d" % (real, PEER_PORT),
            "peer_port": PEER_PORT, "peer_key": KEY, "memory_mb": 192,
            "engine": "%s:8100" % vm})

    async def add_entry(self, i, index, memory_mb=110):
        vm = self.entry_ips[i]
        await self.store.listen(self.store_ip(index), 7900)
        real = await self.start_path(vm, index)
        self.daemons["entry-%d" % (i + 1)] = Daemon(self, "entry-%d" % (i + 1), {
            "role": "entry", "vm": vm, "zone": "z1", "region": "r1",
            "store": "%s:7900" % self.store_ip(index), "callers": "%s:7000" % vm,
            "readiness": "%s:7001" % vm, "metrics": "%s:7661" % vm,
            "peers": "%s:%d" % (real, PEER_PORT), "peer_port": PEER_PORT,
            "seeds": ["%s:7002" % s for s in self.entry_ips[:3]], "peer_key": KEY,
            "memory_mb": memory_mb, "stop_time_ms": 8000, "retry_ratio": 0.2,
            "retry_window_ms": 10000, "drain_time_ms": 2500})

    def write_manifest(self, routes, services, limits=None):
        self.version += 3
        self.store.put("config", "main", {
            "version": self.version, "routes": routes, "services": services,
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                                 "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def start(self, plain=3, plain_slots=6, memory_mb=110, routes=None, services=None,
                    streaming=0):
        index = 1
        for i in range(len(self.entry_ips)):
            await self.add_entry(i, index, memory_mb)
            index += 1
        for number, (name, stage, *service) in enumerate(self.engines, 1):
            await self.add_engine_agent(number, index)
            index += 1
            self.runners[name] = Runner(self.record, self.store, self.handles, name,
                                        service[0] if service else "llm",
                                        "127.%d.2.%d" % (self.net, number), 8100, stage=stage)
        for i in range(plain):
            name = "b%d" % (i + 1)
            self.runners[name] = Runner(self.record, self.store, self.handles, name, "booking",
                                        "127.%d.4.%d" % (self.net, i + 1), 8200,
                                        slots=plain_slots)
        for i in range(streaming):
            name = "s%d" % (i + 1)
            self.runners[name] = Runner(self.record, self.store, self.handles, name, "reader",
                                        "127.%d.5.%d" % (self.net, i + 1), 8300)
            self.runners[name].streams = True
        self.write_manifest(routes or ROUTES, services or SERVICES)
        for runner in self.runners.values():
            await runner.start()
        for daemon in self.daemons.values():
            await daemon.start()
        deadline = time.monotonic() + 15
        for ip in self.entry_ips:
            while not await is_ready(ip):
                if time.monotonic() > deadline:
                    raise CannotRun("an entry does not get ready; logs in " + self.folder)
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)

    async def stop(self):
        started = [p for daemon in self.daemons.values() for p in daemon.started]
        for process in started:
            if process.returncode is None:
                process.kill()      # Ends a stopped process, too.
        for process in started:
            await process.wait()
        left = [p.pid for p in started if os.path.exists("/proc/%d" % p.pid)]
        self.record.write("%d processes started, left: %s" % (len(started), left))
        self.lock.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)

    def ended_by_themselves(self):
        return [d.name for d in self.daemons.values() if d.has_ended() and not d.expected_end]


async def is_ready(ip):
    try:
        reader, writer = await asyncio.open_connection(ip, 7001)
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return head is not None and " 200 " in head[0]
    except (OSError, asyncio.TimeoutError):
        return False


ROUTES = [
    {"name": "r-review", "host": "a.example", "pathPrefix": "/review/", "kind": "streaming",
     "timeoutMs": 14000, "targetLatencyMs": 900, "priority": 1, "service": "llm",
     "maxAttempts": 2, "sticky": True, "resumable": True, "targetGapMs": 300},
    {"name": "r-digest", "host": "a.example", "pathPrefix": "/digest/", "kind": "streaming",
     "timeoutMs": 14000, "targetLatencyMs": 900, "priority": 1, "service": "llm",
     "maxAttempts": 1, "sticky": True, "resumable": False, "targetGapMs": 300},
    {"name": "r-reserve", "host": "a.example", "pathPrefix": "/reserve/", "kind": "unsafe",
     "timeoutMs": 2500, "targetLatencyMs": 300, "priority": 2, "service": "booking",
     "maxAttempts": 1},
    {"name": "r-lookup", "host": "a.example", "pathPrefix": "/lookup/", "kind": "safe",
     "timeoutMs": 2500, "targetLatencyMs": 300, "priority": 2, "service": "booking",
     "maxAttempts": 2}]
SERVICES = [
    {"name": "llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": False,
     "engine": {"slots": 64, "kvTokens": 101752, "kvTokenBytes": 35136, "linkMbps": 5900000.0,
                "moves": True, "backups": True, "stride": 61, "most": 12, "handleTtlS": 0.5,
                "switchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": [{"name": "m"}]}},
    {"name": "booking", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}]


# ---------------------------------------------------------------- consumers

def new_id():
    return "%016x" % random.getrandbits(64)


def request_bytes(method, path, rid, fields=(), body=b"", deadline=5000):
    head = "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n" % (
        method, path, rid, deadline)
    for n, v in fields:
        head += "%s: %s\r\n" % (n, v)
    if method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return (head + "\r\n").encode() + body


class Channel:
    """A kept channel of a consumer to one entry."""

    def __init__(self, ip):
        self.ip = ip
        self.writer = None

    async def send(self, data, timeout=16):
        """Returns (status, fields, body), or None if the channel ends."""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.ip, 7000), 1)
            self.writer.write(data)
            await self.writer.drain()
            head = await asyncio.wait_for(read_head(self.reader), timeout)
            if head is None:
                self.close()
                return None
            body, complete = await asyncio.wait_for(
                read_body(self.reader, head[1], is_response=True), timeout)
            if not complete:
                self.close()
                return None
            if (get(head[1], "Connection") or "").lower() == "close":
                self.close()
            return int(head[0].split(" ")[1]), head[1], body
        except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class StreamResult:
    def __init__(self, rid):
        self.rid = rid
        self.status = None      # None: the channel ended before a head.
        self.events = []        # (id, runner, version)
        self.complete = False
        self.retry_after = None


async def stream(ip, rid, prompt=1000, pieces=70, path="/review/1", resumes=None, last=0,
                 deadline=14000, on_event=None, gap_timeout=3.6):
    """Sends one consumer attempt of a stream and reads its events."""
    result = StreamResult(rid)
    fields = [("X-Model", "m"), ("X-Token-Counts", "%d,%d" % (prompt, pieces)),
              ("X-Prompt-Prefix", "%s:200,%s:%d" % (new_id()[:8], new_id()[:8], prompt - 200)),
              ("X-Length-Hint", str(pieces))]
    if resumes is not None:
        fields += [("Last-Event-Id", str(last)), ("Resumes", resumes)]
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, 7000), 1)
        writer.write(request_bytes("POST", path, rid, fields, b"x" * 200, deadline))
        head = await asyncio.wait_for(read_head(reader), deadline / 1000)
        if head is None:
            return result
        result.status = int(head[0].split(" ")[1])
        result.retry_after = get(head[1], "Retry-After")
        if result.status != 200:
            return result
        text = b""
        while True:
            line = await asyncio.wait_for(reader.readline(), gap_timeout)
            if not line.endswith(b"\n"):
                return result
            size = int(line, 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                result.complete = True
                return result
            text += chunk
            while b"\n\n" in text:
                event, _, text = text.partition(b"\n\n")
                lines = event.decode().split("\n")
                number = int(lines[0].split(":")[1])
                _, runner, version = lines[1][len("data: "):].split(" ")
                result.events.append((number, runner, version))
                if on_event:
                    on_event(result)
    except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return result
    finally:
        if writer is not None:
            writer.close()


def judge_take_ups(record, taken, fresh):
    """LOST: of 12 or more take-ups at machines in touch, the share that goes on
    is under half of the share of new streams that begin."""
    went = sum(1 for t in taken if t.events)
    began = sum(1 for f in fresh if f.events)
    text = "%d streams taken up, %d go on; %d new streams, %d begin" % (
        len(taken), went, len(fresh), began)
    record.write(text)
    print(text)
    if len(taken) < 12 or not fresh:
        return CANNOT_RUN
    return BROKEN if went / len(taken) < 0.5 * began / len(fresh) else HELD


def main(case, folder):
    """Runs `case(deployment maker, record, trouble)`; it returns HELD or BROKEN."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("trouble: %s" % trouble)
    resource.setrlimit(resource.RLIMIT_NOFILE,
                       (min(4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2)
    if not os.access(os.path.join(REPO, os.environ.get("BURDOCKHILLD", "target/burdockhilld")), os.X_OK):
        print("cannot run: target/burdockhilld is not built")
        sys.exit(CANNOT_RUN)

    async def run():
        # A script that is stopped ends its processes, too.
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        try:
            return await asyncio.wait_for(case(record, trouble), 110)
        except asyncio.CancelledError:
            record.write("cannot run: stopped")
            return CANNOT_RUN
        except asyncio.TimeoutError:
            record.write("cannot run: out of time")
            return CANNOT_RUN
        except (CannotRun, OSError) as e:
            record.write("cannot run: %s" % e)
            print("cannot run:", e)
            return CANNOT_RUN

    code = asyncio.run(run())
    record.write("exit %d" % code)
    sys.exit(code)
