"""A small site on loopback for the scripts of this review.

One process holds the stand-ins of the platform's store, of the workers, of
the platform's machines, of the advice service and of a client, as PROTOCOL.md
describes them; the project's daemons run as processes of their own, with the
template of the deploy file. Nothing here decides whether a rule holds: the
scripts do, from the events that the stand-ins note.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Bounds of the small deployment sites/rvb-utr.toml.
BOUNDS = {
    "contact_ms": 3000, "config_apply_ms": 2000, "hold_max_ms": 10000, "stop_ms": 400, "cancel_ms": 3000,
    "visible_ms": 3000, "lease_ms": 3000, "grace_s": 6, "far_x": 1.5, "ack_ms": 4000, "drain_ms": 2000,
    "move_s": 1.5, "upkeep_s": 2.0, "notice_ms": 4500,
}
BEAT_S = 1.5


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.events = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, kind, **fields):
        at = self.now()
        self.events.append((at, kind, fields))
        text = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self.file.write(f"{at:9.3f} {kind} {text}\n")
        self.file.flush()

    def find(self, kind, **fields):
        return [(at, have) for at, name, have in self.events
                if name == kind and all(have.get(key) == value for key, value in fields.items())]


# ---- HTTP ------------------------------------------------------------------

async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server on a free port; "handle" returns (status, object), or
    None to close the connection without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22, backlog=512)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                answer = await self.handle(method, path, dict(urllib.parse.parse_qsl(query)), headers, body)
                if answer is None:
                    break
                text = json.dumps(answer[1]).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (answer[0], len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


async def call(address, method, path, host="", body=None, timeout=3.0, headers=()):
    """One request on a connection of its own; returns (status, object), with
    status 0 where there is no answer."""
    writer = None
    try:
        ip, port = address.split(":")

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, int(port))
            text = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(text)}",
                     "Content-Type: application/json", "Connection: close", *headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            await writer.drain()
            line, _, data = await read_message(reader)
            return int(line.split(" ")[1]), json.loads(data) if data else {}

        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


# ---- The platform's store --------------------------------------------------

class Store:
    def __init__(self):
        self.items = {}      # key -> item
        self.history = []    # events, oldest first
        self.rev = 100
        self.leases = {}     # id -> (ttl_ms, end)
        self.last_lease = 7000
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.disturb = None  # called as disturb(method, path, body) before a call; may wait

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        old = self.items.get(key)
        item = {"key": key, "value": value, "rev": self.rev,
                "created": old["created"] if old else self.rev, "lease": lease}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.note({"key": key, "rev": self.rev, "removed": True})

    def write(self, key, value):
        """A write of the operator or of a worker."""
        self.rev += 1
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def delete(self, key):
        self.rev += 1
        self.remove(key)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        self.rev += 1
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def expire(self):
        while True:
            now = time.monotonic()
            for lease in [k for k, (_, end) in self.leases.items() if end < now]:
                self.end_lease(lease)
            await asyncio.sleep(0.02)

    async def handle(self, method, path, query, headers, body):
        data = json.loads(body) if body else {}
        if self.disturb is not None:
            answer = await self.disturb(method, path, query, data)
            if answer is not False:
                return answer
        await asyncio.sleep(0.004)
        return await self.carry_out(method, path, query, data)

    async def carry_out(self, method, path, query, data):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.rev}) if item else (404, {"as_of": self.rev})
        if path == "/v1/kv-range":
            found = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in found[:500]], "truncated": len(found) > 500,
                         "as_of": self.rev}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.commit(data)
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = max(int(data["ttl_ms"]), 1000)
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {"ttl_ms": ttl}

    async def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self.history if e["rev"] > after and e["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, data):
        expects = data.get("expect", [])
        if any(e["rev"] != (self.items[e["key"]]["rev"] if e["key"] in self.items else 0) for e in expects):
            return 412, {"items": [self.items[e["key"]] for e in expects if e["key"] in self.items]}
        if any(p.get("lease") and p["lease"] not in self.leases for p in data.get("puts", [])):
            return 404, {}
        if any(p["key"].startswith(("op/", "servers/")) for p in data.get("puts", [])):
            return 403, {}
        self.rev += 1
        for item in data.get("puts", []):
            self.put(item["key"], item["value"], item.get("lease", 0))
        for key in data.get("deletes", []):
            self.remove(key)
        return 200, {"rev": self.rev}


# ---- Workers ---------------------------------------------------------------

class Worker:
    """One worker. The task's `spec` says what a task does: "MS done", "MS failed",
    or "MS ticket", which is done and belongs to a queue with advice. The tasks of
    a gang work together from the moment when all of one run are present, and
    carry the same checkpoint, as the page asks of them."""

    def __init__(self, site, number, service, rack, cpu=16000):
        self.site, self.record, self.store = site, site.record, site.store
        self.machine = f"m-{number:05x}"
        self.number, self.service, self.cpu = number, service, cpu
        self.rack = f"r1-{(number - 1) // rack}"
        self.server = Server(self.handle)
        self.sequence = 0
        self.reset(f"i-{number:08x}")

    def reset(self, worker_id):
        self.id = worker_id
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence, self.deadline = 0, 0
        self.runs = {}       # task -> {run, ends_at, how, saved}
        self.closed = {}     # task -> highest run stopped or ended
        self.ended = []
        self.last_end = 0
        self.sequence = 0
        self.news = asyncio.Event()
        self.state = "ready"
        self.is_cut = False  # from the machines of the system; it runs on
        self.is_down = False
        self.late_s = None   # the next start order arrives so much later

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.server.address, "zone": "hal-a", "version": "v1",
                "slots": 8, "state": self.state, "cold_left_ms": 0,
                "room": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0}, "labels": ["a", self.rack],
                "machine": self.machine, "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born}

    async def run(self):
        beat = 0
        while True:
            if self.is_down:
                beat = 0
                await asyncio.sleep(0.01)
                continue
            if time.monotonic() >= beat:
                self.store.write(f"servers/{self.id}", self.entry())
                beat = time.monotonic() + BEAT_S
            now = self.clock()
            for task in list(self.runs):
                if task not in self.runs:
                    continue  # its gang has just ended
                if self.deadline < now:
                    self.end(task, "lapsed")
                elif self.site.gang_of(task) is not None:
                    how = self.site.gang_of(task).fate(task, self)
                    if how is not None:
                        self.end(task, how)
                elif self.runs[task]["ends_at"] <= now:
                    self.end(task, self.runs[task]["how"])
            await asyncio.sleep(0.01)

    def end(self, task, how):
        run = self.runs.pop(task)
        gang = self.site.gang_of(task)
        saved = gang.saved(task) if gang is not None else ""
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, saved])
        self.record.add("ended", worker=self.id, number=self.last_end, task=task, run=run["run"], how=how,
                        saved=saved)
        if gang is not None:
            gang.leave(task, how)
        self.news.set()
        self.news = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if self.is_cut or self.is_down:
            while self.is_cut or self.is_down:
                await asyncio.sleep(0.05)
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        data = json.loads(body)
        if data.get("fence", 0) < self.fence:
            self.record.add("refused", worker=self.id, path=path, reason="fence", fence=data.get("fence", 0))
            return self.refuse("fence")
        self.fence = data.get("fence", 0)
        if path == "/v1/hold":
            return await self.hold(data)
        if path == "/v1/run-start" and self.late_s is not None:
            # The order gets no answer and arrives late_s later, at whatever life has the id then.
            asyncio.get_running_loop().call_later(self.late_s, self.carry_out_late, self.id, data)
            self.record.add("late_order", worker=self.id, task=data["task"], run=data["run"], in_s=self.late_s)
            self.late_s = None
            await asyncio.sleep(3)
            return None
        if path == "/v1/run-start":
            return self.start(data)
        if path == "/v1/run-stop":
            return self.stop(data)
        return 200, {"clock_ms": self.clock()}

    def carry_out_late(self, worker_id, data):
        if worker_id != self.id or self.is_down or data["fence"] < self.fence:
            self.record.add("late_order_refused", worker=self.id, task=data["task"], run=data["run"])
            return
        self.fence = data["fence"]
        status, answer = self.start(data)
        self.record.add("late_order_arrived", worker=self.id, task=data["task"], run=data["run"], status=status,
                        answer=answer)

    async def crash(self, seconds):
        """The worker is down and starts again under its id; it knows nothing of before."""
        self.record.add("crash", worker=self.id, born=self.born, runs=sorted(self.runs))
        self.is_down = True
        self.runs = {}
        await asyncio.sleep(seconds)
        self.reset(self.id)
        self.is_down = False
        self.record.add("started_again", worker=self.id, born=self.born)

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def extend(self, data):
        if "deadline_ms" in data:
            limit = self.clock() + BOUNDS["hold_max_ms"]
            self.deadline = max(self.deadline, min(data["deadline_ms"], limit))

    def start(self, data):
        task, run = data["task"], data["run"]
        now = self.clock()
        active = self.runs.get(task)
        if active is not None and active["run"] == run:
            return 200, {"clock_ms": now}
        if data["deadline_ms"] < now:
            return self.refuse("late")
        if run <= self.closed.get(task, 0) or active is not None:
            self.extend(data)
            return self.refuse("old")
        cpu = self.site.cpu_of(task)
        if cpu + sum(self.site.cpu_of(t) for t in self.runs) > self.cpu:
            self.extend(data)
            return self.refuse("room")
        duration, how = data["spec"].split(" ")
        if how == "ticket":
            if not self.site.is_ticket_valid(task, self.id, data.get("ticket", "")):
                self.record.add("refused", worker=self.id, task=task, run=run, reason="ticket",
                                ticket=data.get("ticket", ""))
                return self.refuse("ticket")
            how = "done"
        self.extend(data)
        self.runs[task] = {"run": run, "length": int(duration), "ends_at": now + int(duration), "how": how}
        self.record.add("started", worker=self.id, service=self.service, task=task, run=run, fence=data["fence"],
                        checkpoint=data.get("checkpoint", ""))
        if self.site.step_of(task).get("gang"):
            self.site.join_gang(task, run, self, int(duration), data.get("checkpoint", ""))
        return 200, {"clock_ms": self.clock()}

    def stop(self, data):
        task, run = data["task"], data["run"]
        active = self.runs.get(task)
        if active is not None and active["run"] <= run:
            self.end(task, "stopped")
        self.closed[task] = max(self.closed.get(task, 0), run)
        return 200, {"clock_ms": self.clock()}

    async def hold(self, data):
        self.extend(data)
        seen = data.get("last_seen", 0)
        for end in [e for e in self.ended if e[0] <= seen]:
            self.record.add("noted", worker=self.id, number=end[0], task=end[1], run=end[2], how=end[3])
        self.ended = [e for e in self.ended if e[0] > seen]
        if not self.ended and data.get("wait_ms", 0) > 0:
            try:
                await asyncio.wait_for(self.news.wait(), data["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = self.clock()
        if self.is_cut:
            return None
        return 200, {"clock_ms": now, "born": self.born,
                     "running": [self.row(t, r, now) for t, r in self.runs.items()], "ended": self.ended[:500]}

    def row(self, task, run, now):
        gang = self.site.gang_of(task)
        if gang is not None:
            return [task, run["run"], gang.saved(task), gang.percent(), 0]
        return [task, run["run"], "", min(99, 100 - (run["ends_at"] - now) * 100 // run["length"]), 0]


class Gang:
    """One run of a gang. Its work begins when all members are present with the
    same checkpoint; a member that has waited for gang_ms ends `alone`."""

    def __init__(self, site, count, run, duration):
        self.site, self.count, self.run, self.duration = site, count, run, duration
        self.members = {}   # task -> (worker, checkpoint, since)
        self.began = None
        self.start_ms = 0
        self.broken = False
        self.is_done = False

    def join(self, task, worker, checkpoint):
        self.members[task] = (worker, checkpoint, time.monotonic())
        values = {value for _, value, _ in self.members.values()}
        if len(self.members) == self.count and len(values) == 1 and not self.broken:
            value = values.pop()
            self.start_ms = int(value[:8], 16) if value else 0
            self.began = time.monotonic() + (0.1 if value else 0)
            self.site.record.add("gang_works", run=self.run, from_ms=self.start_ms)

    def done_ms(self):
        if self.began is None:
            return self.start_ms
        return max(self.start_ms, self.start_ms + int((time.monotonic() - self.began) * 1000))

    def saved(self, task):
        if not self.site.step_of(task).get("checkpointable"):
            return ""
        if self.began is None:
            return self.members[task][1] if task in self.members else ""
        whole = self.done_ms() // 1000 * 1000  # save_s is 1
        return f"{whole:08x}{task[8:16]}" if whole else ""

    def percent(self):
        return min(99, self.done_ms() * 100 // self.duration)

    def fate(self, task, worker):
        if self.is_done or (self.began is not None and self.done_ms() >= self.duration):
            return "done"
        if self.broken:
            return "broken"
        if self.began is None and time.monotonic() - self.members[task][2] > 3:
            return "alone"
        return None

    def leave(self, task, how):
        self.is_done = self.is_done or how == "done"
        self.broken = self.broken or (how != "done" and self.began is not None)


# ---- The site --------------------------------------------------------------

class Node:
    """One of the project's daemons, started with the deploy file's command."""

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        ports = free_ports(4)
        self.front, self.ready, self.metrics, self.carriers = (f"127.0.0.1:{p}" for p in ports)
        self.process = None

    def settings(self):
        values = {"node|json": json.dumps(self.name), "zone|json": json.dumps(self.zone),
                  "limits.cpu_share": "0.25", "limits.link_mbps": "1000.0",
                  "listen.front|json": json.dumps(self.front), "listen.ready|json": json.dumps(self.ready),
                  "platform.address|json": json.dumps(self.site.store_address(self)),
                  "cloud.address": self.site.cloud_address or "", "advice": self.site.advice_address or "",
                  "bounds.hold_max_ms": str(BOUNDS["hold_max_ms"]), "bounds.lease_ms": str(BOUNDS["lease_ms"]),
                  "bounds.far_x": str(BOUNDS["far_x"]), "bounds.grace_s": str(BOUNDS["grace_s"])}
        with open(os.path.join(REPO, "deploy/settings.toml"), encoding="utf-8") as file:
            text = file.read()
        text = text.replace("{{ip}}:9464", self.metrics).replace("{{ip}}:9465", self.carriers)
        return re.sub(r"\{\{(.+?)\}\}", lambda m: values[m.group(1)], text)

    def start(self):
        path = os.path.join(self.site.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        with open(os.path.join(REPO, "deploy/system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1).split(" ")
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, cwd=REPO, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        env={"PATH": os.environ.get("PATH", ""), "AMARANTHQUAY_BOOT": path})
        log.close()
        self.site.record.add("node_started", node=self.name)

    def signal(self, number):
        self.site.record.add("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def log_lines(self, word):
        path = os.path.join(self.site.folder, self.name + ".log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return [line.rstrip() for line in file if word in line]


def free_ports(count):
    """Free ports below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                pass
    return ports


class Site:
    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="aq-review-")
        self.store = Store()
        self.workers, self.nodes, self.jobs = [], [], {}
        self.cloud_address = None
        self.advice_address = None
        self.may_run = lambda worker: True  # the queue's policy
        self.tickets = {}
        self.gangs, self.gang_by_task = {}, {}
        self.tasks = []
        self.config_version = 0

    def store_address(self, node):
        return self.store.server.address

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)] if job in self.jobs else {}

    def cpu_of(self, task):
        return self.step_of(task).get("cpu", 0)

    def join_gang(self, task, run, worker, duration, checkpoint):
        key = (task.rsplit(".", 1)[0], run)
        if key not in self.gangs:
            self.gangs[key] = Gang(self, self.step_of(task)["count"], run, duration)
        self.gangs[key].join(task, worker, checkpoint)
        self.gang_by_task[task] = self.gangs[key]

    def gang_of(self, task):
        return self.gang_by_task.get(task)

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    def route(self, name, service, **more):
        return {"name": name, "host": "q.example", "prefix": f"/{name}/", "kind": "unsafe", "timeout_ms": 3000,
                "target_duration_ms": 600, "priority": 0, "service": service, "max_attempts": 2, "stretch": 1.6,
                **more}

    def configure(self, routes, services=("baan", "weg")):
        self.config_version += 3
        self.store.write("op/config", {
            "version": self.config_version, "routes": routes, "limits": {},
            "services": [{"name": s, "health_path": "/health", "enforce_capacity": True} for s in services]})
        self.record.add("config", version=self.config_version,
                        routes=[[r["name"], r["prefix"], r["service"]] for r in routes])

    async def start(self, services, workers, nodes, routes, advice=False, rack=4):
        await self.store.server.start()
        self.spawn(self.store.expire())
        if advice:
            server = Server(self.advise)
            await server.start()
            self.advice_address = server.address
        number = 1
        for service in services:
            for _ in range(workers):
                worker = Worker(self, number, service, rack)
                await worker.server.start()
                self.workers.append(worker)
                self.spawn(worker.run())
                number += 1
        self.configure(routes, services)
        for i in range(nodes):
            self.nodes.append(Node(self, f"front-hal-{'abc'[i % 3]}-{i + 1}", f"hal-{'abc'[i % 3]}"))
            self.nodes[-1].start()

    async def wait_ready(self, limit=15):
        """Waits until all nodes are ready and each pool has an owner that hears its workers."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            states = [await call(n.ready, "GET", "/v1/ready", timeout=1) for n in self.nodes]
            if all(s[0] == 200 for s in states) and all(w.fence > 0 for w in self.workers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def advise(self, method, path, query, headers, body):
        data = json.loads(body)
        await asyncio.sleep(0.02 + 0.001 * len(data["workers"]))
        good = []
        for worker in data["workers"][:100]:
            if not self.may_run(worker):
                continue
            ticket = os.urandom(4).hex()
            self.tickets[(data["step"], worker)] = (ticket, time.monotonic() + 3)
            good.append([worker, ticket])
        self.record.add("advised", step=data["step"], workers=len(data["workers"]), good=len(good))
        return 200, {"good": good, "valid_ms": 3000}

    def is_ticket_valid(self, task, worker, ticket):
        known = self.tickets.get((task.rsplit(".", 1)[0], worker))
        return known is not None and known[0] == ticket and known[1] > time.monotonic()

    async def request(self, node, method, queue, job="", body=None, timeout=3.0):
        if method == "POST":
            self.jobs[job] = body
        status, data = await call(self.nodes[node].front, method, f"/{queue}/{job}", "q.example", body, timeout,
                                  headers=("X-Deadline-Ms: %d" % int(timeout * 1000),))
        self.record.add("client", method=method, queue=queue, job=job, node=self.nodes[node].name, status=status,
                        answer=data)
        return status, data

    def close(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.end()


def play(script, folder):
    """Runs the coroutine "script(site)", which returns whether the rule held, or
    None where the case could not run. Ends all processes; exits with 0, 1 or 2."""
    async def main():
        site = Site(folder)
        played = asyncio.ensure_future(script(site))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, played.cancel)
        try:
            held = await asyncio.wait_for(played, 110)
        except (asyncio.TimeoutError, asyncio.CancelledError):
            site.record.add("ended_early")
            held = None
        finally:
            site.close()
        site.record.add("verdict", rule_held=held, trouble=site.trouble)
        return held, site

    held, site = asyncio.run(main())
    print({True: "the rule held", False: "the rule was broken", None: "the case could not run"}[held])
    if os.environ.get("KEEP_LOGS"):
        print("logs:", site.folder)
    else:
        for name in os.listdir(site.folder):
            os.remove(os.path.join(site.folder, name))
        os.rmdir(site.folder)
    sys.exit({True: 0, False: 1, None: 2}[held])
