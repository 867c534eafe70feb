"""Stand-ins for the platform, the workers and the clients of a small deployment.

They follow the users' pages (PROTOCOL.md and DEPLOY.md) and listen on loopback addresses only.
The programs under test are started with the command of deploy/system.toml. Everything that the
stand-ins see is recorded, and the workers check each start against the rules.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# `run` of the role in deploy/system.toml.
PROGRAM = os.path.join(ROOT, "target/release/cranberrytray-platform")

HOLD_MAX_MS = 1000
STOP_MS = 50
DRAIN_MS = 2000
CANCEL_MS = 3000
RESEND_MS = 1300
HEARTBEAT_MS = 1500
# Time from the moment at which a restarted worker serves to its first status report.
REGISTRATION_S = 0.3
CONTACT_MS = 3000
GRACE_S = 6
STORE_ANSWER_S = 0.004
HOST = "jobs.example"


class CannotRun(Exception):
    """The case can't run here."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self):
        self.started = time.monotonic()
        self.lines = []
        self.violations = []
        self.counts = {}

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.lines.append(f"{self.now():8.3f}  {text}")

    def count(self, what, by=1):
        self.counts[what] = self.counts.get(what, 0) + by

    def violate(self, rule, text):
        self.violations.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    def write(self, path):
        with open(path, "w", encoding="utf-8") as f:
            f.write("\n".join(self.lines) + "\n\n")
            for what, n in sorted(self.counts.items()):
                f.write(f"count: {what}: {n}\n")
            f.write(f"rules broken: {len(self.violations)}\n")


# HTTP/1.1 with JSON bodies.

async def read_message(reader):
    """Reads one request or response; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


async def serve(address, handler):
    """Serves `handler(method, path, query, headers, body)`, which returns a status and a value.

    A handler that returns None sends no answer and keeps the channel open.
    """
    writers = set()

    async def connection(reader, writer):
        writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                value = json.loads(body) if body else None
                answer = await handler(method, url.path, query, headers, value)
                if answer is None:
                    await asyncio.sleep(3600)
                    return
                status, content = answer
                data = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, address[0], address[1])
    server.writers = writers
    return server


def abort(server):
    """Closes a server and resets its channels, as the end of its process does."""
    server.close()
    for writer in list(server.writers):
        writer.transport.abort()


class Store:
    """The platform's metadata store, in the form of tables."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """Writes a row; `value` None removes it."""
        self.version += 1
        data = None
        if value is not None:
            data = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, key)] = (data, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_config(self, version, queues, services):
        routes = []
        for name, queue in queues.items():
            routes.append({
                "name": name, "host": HOST, "prefix": f"/{name}/", "kind": "non_idempotent",
                "timeoutMs": queue.get("timeoutMs", 1500),
                "targetDurationMs": queue.get("targetDurationMs", 60),
                "priority": queue.get("priority", 0), "service": queue["service"],
                "maxAttempts": queue.get("maxAttempts", 3), "stretch": queue.get("stretch", 1.6),
            })
        listed = []
        for name, enforces in services.items():
            listed.append({"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                           "tls": False, "enforcesCapacity": enforces, "spare": False})
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000}
        self.put("op", "config", {"version": version, "routes": routes, "services": listed,
                                  "limits": limits})

    def select(self, table, after, removed):
        found = []
        for (t, key), (data, version) in self.rows.items():
            if t != table or version <= after:
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            if data is not None:
                found.append({**row, "value": data})
            elif removed:
                found.append({**row, "removed": True})
        return found

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        now_ms = int(time.monotonic() * 1000)
        if path == "/api/rows-get":
            rows = sorted(self.select(query["table"], 0, False), key=lambda row: row["key"])
            rows = [row for row in rows if row["key"] >= query.get("from", "")]
            return 200, {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": now_ms}
        if path == "/api/rows-feed":
            after = int(query["after"])
            end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            rows = self.select(query["table"], after, True)
            while not rows and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
                rows = self.select(query["table"], after, True)
            rows.sort(key=lambda row: row["ver"])
            return 200, {"rows": rows, "ver": self.version, "nowMs": now_ms}
        if path == "/api/rows-tx":
            entries = body.get("writes", []) + body.get("remove", [])
            if any(entry["table"] in ("op", "servers") for entry in entries):
                return 403, {}
            for entry in body.get("precondition", []):
                version = self.rows.get((entry["table"], entry["key"]), (None, 0))[1]
                if version != entry["ver"]:
                    return 412, {"rows": [], "ver": self.version, "nowMs": now_ms}
            for entry in entries:
                self.version += 1
                data = entry.get("value")
                self.rows[(entry["table"], entry["key"])] = (data, self.version)
            self.changed.set()
            self.changed = asyncio.Event()
            return 200, {"ver": self.version, "nowMs": now_ms}
        return 404, {}


class Run:
    def __init__(self, task, number, needs, seconds):
        self.task = task
        self.number = number
        self.needs = needs
        self.started = time.monotonic()
        self.seconds = seconds
        self.stopping = False
        self.timers = []


class Worker:
    """One worker; each lifetime begins with `start`."""

    def __init__(self, site, n, zone, service, capacity, labels, enforces):
        self.site = site
        self.n = n
        self.id = f"i-{n:04x}"
        self.address = (f"127.0.12.{n + 1}", site.worker_port)
        self.zone = zone
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.enforces = enforces
        self.up = False
        self.life = 0
        self.heartbeats = None
        self.server = None
        # Share of the orders that get no answer, and share of these that are carried out late.
        self.lost_share = 0.0
        self.late_share = 0.0
        self.late_s = [0.3, 0.6, 1.0, 2.0, 5.0]

    async def start(self):
        """Begins a lifetime, which knows nothing of the one before.

        The worker writes its row once it serves.
        """
        self.up = True
        self.life += 1
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.lease_timer = None
        self.running = {}
        self.closed = {}
        self.ended = []
        self.end_count = 0
        self.draining_since = None
        self.sequence = 0
        self.answered_at = None
        self.ends = asyncio.Event()
        self.server = await serve(self.address, self.handle)
        self.heartbeats = asyncio.ensure_future(self.beat())
        self.site.record.note(f"worker {self.id} starts: life {self.life}, born {self.born}, "
                              f"labels {self.labels}, capacity {self.capacity}")

    def crash(self):
        """Ends the lifetime without a word; the row stays in the store."""
        self.up = False
        abort(self.server)
        self.heartbeats.cancel()
        for run in self.running.values():
            for timer in run.timers:
                timer.cancel()
        self.site.record.note(f"worker {self.id} crashes with {len(self.running)} runs")
        self.running = {}

    def register(self):
        self.sequence += 1
        state = "draining" if self.draining_since is not None else "ready"
        self.site.store.put("servers", self.id, {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
            "capacity": self.capacity, "labels": self.labels, "clockMs": self.clock(),
            "sequence": self.sequence, "born": self.born,
        })

    async def beat(self):
        if self.life > 1:
            await asyncio.sleep(REGISTRATION_S)
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def drain(self):
        """Reports that the worker drains; it goes on serving."""
        self.draining_since = time.monotonic()
        self.register()
        self.site.record.note(f"worker {self.id}: the store has accepted that it is draining")

    async def replace(self):
        """Shuts the worker down as planned and starts it again under its id."""
        self.drain()
        await asyncio.sleep(DRAIN_MS / 1000 + 0.3)
        while self.running:
            await asyncio.sleep(0.01)
        self.crash()
        self.site.store.put("servers", self.id, None)
        self.site.record.note(f"worker {self.id} has left, its row is removed")
        await asyncio.sleep(0.5)
        await self.start()

    def clock(self):
        return 100000 + int((time.monotonic() - self.born_at) * 1000)

    def used(self):
        total = {"cpu": 0, "memMb": 0, "gpu": 0}
        for run in self.running.values():
            for what in total:
                total[what] += run.needs.get(what, 0)
        return total

    def extend(self, until):
        until = min(until, self.clock() + HOLD_MAX_MS)
        if until <= self.lease_end:
            return
        self.lease_end = until
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left = max(0, until - self.clock()) / 1000
        self.lease_timer = asyncio.get_running_loop().call_later(left, self.lapse, self.life)

    def lapse(self, life):
        if life != self.life or not self.up or self.clock() < self.lease_end:
            return
        for key in list(self.running):
            self.finish(life, key, "lapsed")

    def finish(self, life, key, how):
        if life != self.life or not self.up or key not in self.running:
            return
        run = self.running.pop(key)
        for timer in run.timers:
            timer.cancel()
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.site.on_end(self, run, how)
        self.ends.set()
        self.ends = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return (503 if self.draining_since is not None else 200), {}
        life = self.life
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        is_lost = random.random() < self.lost_share
        if is_lost and random.random() < self.late_share:
            # The order gets no answer and is carried out late.
            self.site.record.count("orders carried out late")
            await asyncio.sleep(random.choice(self.late_s))
            if life != self.life or not self.up:
                return None
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = token
        if path == "/api/run-start":
            answer = self.start_run(body)
        elif path == "/api/run-stop":
            answer = self.stop_run(body)
        elif path == "/api/hold":
            answer = await self.hold(life, body)
        else:
            return 404, {}
        if is_lost:
            self.site.record.count("answers lost")
            return None
        return answer

    def start_run(self, body):
        task, number = body["task"], body["run"]
        if body["untilMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(body["untilMs"])
        key = (task, number)
        if key in self.running:
            return 200, {"clockMs": self.clock()}
        if number <= self.closed.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        needs, seconds = self.site.task(task)
        used = self.used()
        fits = all(used[w] + needs.get(w, 0) <= self.capacity.get(w, 0) for w in used)
        if self.enforces and not fits:
            return 409, {"clockMs": self.clock(), "reason": "room"}
        run = Run(task, number, needs, seconds)
        self.site.on_start(self, run, body, fits)
        self.running[key] = run
        loop = asyncio.get_running_loop()
        run.timers.append(loop.call_later(seconds, self.finish, self.life, key, "done"))
        return 200, {"clockMs": self.clock()}

    def stop_run(self, body):
        key = (body["task"], body["run"])
        self.closed[body["task"]] = max(self.closed.get(body["task"], 0), body["run"])
        run = self.running.get(key)
        if run is not None and not run.stopping:
            run.stopping = True
            delay = random.uniform(0.003, STOP_MS / 1000 - 0.005)
            loop = asyncio.get_running_loop()
            run.timers.append(loop.call_later(delay, self.finish, self.life, key, "stopped"))
        return 200, {"clockMs": self.clock()}

    async def hold(self, life, body):
        if "untilMs" in body:
            self.extend(body["untilMs"])
        seen = body.get("lastSeen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        end = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.ends.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if life != self.life or not self.up:
            return None
        running = []
        for run in self.running.values():
            share = (time.monotonic() - run.started) / max(run.seconds, 0.001)
            percent = min(99, int(100 * share))
            running.append([run.task, run.number, "", percent, 0])
        if self.answered_at is None:
            # The sender knows of this lifetime once it has the answer.
            self.answered_at = time.monotonic()
            self.site.record.note(f"worker {self.id}: first report of life {self.life} is sent")
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}


class Job:
    def __init__(self, id, queue, spec, steps, seconds, headers):
        self.id = id
        self.queue = queue
        self.spec = spec
        self.steps = steps
        self.seconds = seconds
        self.headers = headers
        self.done = set()
        self.starts = 0
        self.answers = []
        self.cancel_acked = None
        self.writer = None


class Vm:
    """A machine of the system, which runs the role of the deploy file."""

    def __init__(self, site, n, zone, cpu_share):
        self.site = site
        self.n = n
        self.name = f"front-{n}"
        self.zone = zone
        self.ip = f"127.0.11.{n + 1}"
        self.front = (self.ip, site.front_port)
        self.cpu_share = cpu_share
        self.process = None

    def settings(self):
        s = self.site
        zones = "".join(f'{zone} = "area"\n' for zone in s.zones)
        seeds = ",".join(f'"127.0.11.{n + 1}:{s.control_port}"' for n in range(3))
        bounds = {
            "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
            "drainMs": DRAIN_MS, "graceS": GRACE_S, "lossSlackMs": 200, "configApplyMs": 2000,
            "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12,
            "holdMaxMs": HOLD_MAX_MS, "stopMs": STOP_MS, "gangMs": 3000, "cancel_ms": CANCEL_MS,
            "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
            "farFactor": 3, "saveS": 2, "restoreMs": 100, "noticeMs": 4500, "moveS": 1.5,
            "upkeepS": 2, "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000,
            "resendMs": RESEND_MS,
        }
        bounds = "".join(f"{name} = {value}\n" for name, value in bounds.items())
        return (
            f'node = "{self.name}"\nrole = "entry"\nclass = "front"\n'
            f'serves = ["front","control"]\nip = "{self.ip}"\nzone = "{self.zone}"\n'
            f'region = "area"\nportRange = [{s.peer_port},{s.peer_port}]\nseeds = [{seeds}]\n'
            f'bootstrap = true\nlossCounted = false\ndiscovery = "platform"\nentry = "vip"\n'
            f'heartbeatMs = {HEARTBEAT_MS}\norders = "call"\n'
            f'contracts = ["base","drain","config","cost","recover","sched","platform"]\n'
            f"[zones]\n{zones}[listen]\nfront = \"{self.ip}:{s.front_port}\"\n"
            f'ready = "{self.ip}:{s.ready_port}"\ncontrol = "{self.ip}:{s.control_port}"\n'
            f"[limits]\ncpuShare = {self.cpu_share}\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
            f"linkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 1\n"
            f"regions = 0\n[bounds]\n{bounds}fencingRequired = false\n[platform]\n"
            f'address = "{s.store_address[0]}:{s.store_address[1]}"\nform = "table"\n'
            f"writesPerS = 800\nreadsPerS = 2000\ntxMs = 5.0\n"
        )

    def start(self):
        path = os.path.join(self.site.dir, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings())
        log = open(os.path.join(self.site.dir, f"{self.name}.log"), "ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["CRANBERRYTRAY_CONFIG"] = path
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.site.record.note(f"{self.name} of {self.zone} is started, {self.cpu_share} cores")

    def signal(self, number):
        self.site.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log(self):
        with open(os.path.join(self.site.dir, f"{self.name}.log"), encoding="utf-8") as f:
            return f.read()

    def has_ended(self):
        return self.process.poll() is not None


class Site:
    """A small deployment: a store, workers and the machines of the system."""

    created = []

    def __init__(self, record, zones):
        Site.created.append(self)
        self.record = record
        self.zones = zones
        self.dir = tempfile.mkdtemp(prefix="cranberrytray-review-")
        self.store = Store(record)
        self.workers = []
        self.vms = []
        self.jobs = {}
        self.tasks = []
        # Called with the worker, the run, the body of the order and whether the run fits.
        self.start_checks = []
        self.store_server = None
        ports = self.free_ports(6)
        (self.front_port, self.ready_port, self.control_port, self.peer_port,
         self.worker_port, store_port) = ports
        self.store_address = ("127.0.13.1", store_port)

    @staticmethod
    def free_ports(count):
        """Ports that no process listens on, below the range of outgoing channels."""
        ips = [f"127.0.{net}.{n}" for net in (11, 12, 13) for n in range(1, 41)]

        def is_free(port):
            for ip in ips:
                with socket.socket() as s:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        s.bind((ip, port))
                    except OSError:
                        return False
            return True

        found = []
        while len(found) < count:
            port = random.randrange(11000, 30000)
            if port not in found and is_free(port):
                found.append(port)
        return found

    async def start_store(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is missing; run the build of deploy/system.toml")
        self.store_server = await serve(self.store_address, self.store.handle)

    async def add_worker(self, zone, service="pool", cpu=32000, labels=("a", "r1"),
                         enforces=True):
        capacity = {"cpu": cpu, "memMb": 131072, "gpu": 0}
        worker = Worker(self, len(self.workers), zone, service, capacity, list(labels), enforces)
        self.workers.append(worker)
        await worker.start()
        return worker

    def add_vm(self, zone, cpu_share):
        vm = Vm(self, len(self.vms), zone, cpu_share)
        self.vms.append(vm)
        vm.start()
        return vm

    async def wait_until_ready(self, vms=None, seconds=20):
        end = time.monotonic() + seconds
        for vm in vms or self.vms:
            while True:
                status, _ = await self.call((vm.ip, self.ready_port), "GET", "/api/ready", None,
                                            {}, 1.0)
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{vm.name} is not ready: {vm.log()[-2000:]}")
                await asyncio.sleep(0.05)

    def dispatcher_of(self, zone):
        """The machine that says last in its log that it dispatches the zone, if any runs."""
        found = None
        for vm in self.vms:
            if vm.zone == zone and not vm.has_ended():
                log = vm.log()
                at = log.rfind("is now the dispatcher")
                if at >= 0 and log.rfind("steps down") < at:
                    found = vm
        return found

    # Calls of clients.

    async def call(self, address, method, path, body, headers, seconds, on_open=None):
        """Sends a request; returns the status and body, or None if there is no whole answer."""
        writer = None
        try:
            async def exchange():
                nonlocal writer
                reader, writer = await asyncio.open_connection(*address)
                if on_open is not None:
                    on_open(writer)
                data = json.dumps(body).encode() if body is not None else b""
                lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                if data:
                    lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
                first, _, content = await read_message(reader)
                return int(first.split(" ")[1]), content.decode()
            return await asyncio.wait_for(exchange(), seconds)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
            return None, ""
        finally:
            if writer is not None:
                writer.close()

    def new_job(self, queue, steps, seconds, deadline_ms=1500, id=None):
        """Makes a job; `seconds` gives the run time of a task for each step."""
        id = id or f"{random.getrandbits(64):016x}"
        job = Job(id, queue, f"spec of {id}", steps, seconds, {"X-Deadline-Ms": str(deadline_ms)})
        job.deadline_ms = deadline_ms
        self.jobs[id] = job
        return job

    async def submit(self, vm, job, resend=None):
        """Submits a job, and again as the pages say while there is no final answer.

        `resend` names the machines for the further attempts.
        """
        body = {"spec": job.spec, "steps": job.steps, "bestEffort": True}
        attempts = [vm] + list(resend or [])
        for n, vm in enumerate(attempts):
            self.record.note(f"job {job.id}: POST to {vm.name}, attempt {n + 1}")

            def keep(writer):
                job.writer = writer

            status, text = await self.call(vm.front, "POST", f"/{job.queue}/{job.id}", body,
                                           job.headers, job.deadline_ms / 1000, keep)
            job.answers.append(status)
            self.record.note(f"job {job.id}: answer {status} {text}")
            self.record.count(f"answers {status}")
            if status not in (None, 502, 504):
                if status == 200 and '"completed"' in text:
                    total = sum(step["count"] for step in job.steps)
                    if len(job.done) != total:
                        self.record.violate(
                            "MIXED", f"job {job.id} is completed, {len(job.done)} of {total} "
                            "tasks have ended done")
                return status, text
            if n + 1 < len(attempts):
                await asyncio.sleep(RESEND_MS / 1000)
        return None, ""

    async def cancel(self, vm, job):
        self.record.note(f"job {job.id}: DELETE at {vm.name}")
        status, text = await self.call(vm.front, "DELETE", f"/{job.queue}/{job.id}", None, {}, 4.0)
        self.record.note(f"job {job.id}: answer to DELETE {status} {text}")
        if status is not None and (200 <= status < 300 or status == 410):
            job.cancel_acked = time.monotonic()
        return status

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    # What the workers see.

    def parse(self, task):
        id, _, step, index = task.split(".")
        return self.jobs.get(id), int(step), int(index)

    def task(self, task):
        job, step, _ = self.parse(task)
        if job is None:
            return {"cpu": 0}, 0.05
        seconds = job.seconds[step]
        return job.steps[step], seconds() if callable(seconds) else seconds

    def on_start(self, worker, run, body, fits):
        record = self.record
        record.count("starts")
        record.note(f"start of {run.task} run {run.number} on {worker.id} life {worker.life}")
        job, step, _ = self.parse(run.task)
        if job is None:
            return record.violate("UNASKED", f"{run.task} on {worker.id}: no client sent it")
        job.starts += 1
        if body["spec"] != job.spec:
            record.violate("UNASKED", f"{run.task} on {worker.id}: another spec")
        for other in self.workers:
            for twin in other.running.values():
                if twin.task == run.task:
                    record.violate("TWICE", f"{run.task}: run {run.number} on {worker.id} beside "
                                   f"run {twin.number} on {other.id}")
        declared = job.steps[step]
        for before in declared.get("after", []):
            for index in range(job.steps[before]["count"]):
                if (before, index) not in job.done:
                    record.violate("ORDER", f"{run.task} before {before}.{index} is done")
                    break
        if not fits:
            record.violate("LIMIT", f"{run.task} needs {declared['cpu']} of {worker.id}, of whose "
                           f"{worker.capacity['cpu']} {worker.used()['cpu']} are in use")
        most = declared.get("maxPerServer", 0)
        same = [r for r in worker.running.values()
                if r.task.rsplit(".", 1)[0] == run.task.rsplit(".", 1)[0]]
        if most and len(same) >= most:
            record.violate("ROUTE", f"{run.task} beyond maxPerServer {most} on {worker.id}")
        for check in self.start_checks:
            check(worker, run, job, declared)

    def on_end(self, worker, run, how):
        self.record.note(f"end of {run.task} run {run.number} on {worker.id}: {how}")
        job, step, index = self.parse(run.task)
        if how == "done" and job is not None:
            job.done.add((step, index))

    def check_refused(self):
        for job in self.jobs.values():
            if job.answers and job.starts and all(s in (429, 503) for s in job.answers):
                self.record.violate("REFUSED", f"job {job.id} was started and only refused")

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process is not None and not vm.has_ended():
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
            if vm.process is not None:
                vm.process.wait()
        for worker in self.workers:
            if worker.up:
                worker.crash()
        if self.store_server is not None:
            abort(self.store_server)


def main(folder, case, seconds=110):
    """Runs a case, writes its record and exits.

    The status is 1 if a rule was broken, 0 if not, and 2 if the case couldn't run.
    """
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2

    async def play():
        try:
            await asyncio.wait_for(case(record, trouble), seconds)
        finally:
            for site in Site.created:
                await site.close()

    try:
        asyncio.run(play())
        code = 1 if record.violations else 0
    except Exception as e:
        record.note(f"the case can't run: {type(e).__name__}: {e}")
        print(f"the case can't run: {type(e).__name__}: {e}")
    finally:
        record.write(os.path.join(folder, "record.txt"))
        for site in Site.created:
            # With KEEP_LOGS, the logs of the system's processes stay.
            if os.environ.get("KEEP_LOGS"):
                print("logs:", site.dir)
            else:
                shutil.rmtree(site.dir, ignore_errors=True)
    for rule, text in record.violations[:5]:
        print(f"{rule}: {text}")
    print({0: "held", 1: "broken", 2: "could not run"}[code],
          f"trouble={trouble} violations={len(record.violations)} {record.counts}")
    raise SystemExit(code)
