"""Stand-ins of the users' platform for review cases: the store, replicas, clients, and daemons as processes.

All addresses are loopback addresses. Everything but the daemons runs in one asyncio process.
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
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target/src/apps/ragwortreachd/ragwortreachd")
LOOPBACK = "127.0.0.1"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 422: "Unprocessable Entity", 429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


class CannotRun(Exception):
    """The case cannot run here; the script exits with 2."""


USED_PORTS = set()


def free_port():
    """A port below those that the kernel gives to connections, free for TCP and UDP."""
    for _ in range(1000):
        port = random.randrange(12000, 30000)
        if port in USED_PORTS:
            continue
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
        USED_PORTS.add(port)
        return port
    raise CannotRun("no free port")


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


# HTTP ---------------------------------------------------------------------------------------------------------------

class Request:
    def __init__(self, method, target, headers, body, writer):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.writer = writer
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
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
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def response(status, headers=None, body=b"", close=False):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    if isinstance(body, str):
        body = body.encode()
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """HTTP/1.1 server. `handler(request)` returns the bytes of the answer, or None when it has dealt with the connection."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, LOOPBACK, port, limit=64 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                answer = await self.handler(Request(method, target, headers, body, writer))
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except RuntimeError:
                pass  # The loop has been closed.

    def stop(self, resets=False):
        self.server.close()
        for writer in list(self.writers):
            reset(writer) if resets else writer.close()


class Answer:
    def __init__(self, status=0, headers=None, body=b"", error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error

    def __str__(self):
        return f"{self.status}" if self.status else f"no answer ({self.error})"


async def call(port, method, path, headers=None, body=b"", timeout=10.0):
    """One request on a new connection."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection(LOOPBACK, port, limit=64 * 1024 * 1024)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            line, answer_headers = await read_head(reader)
            status = int(line.split(" ")[1])
            answer_body = await read_body(reader, answer_headers, True)
            return Answer(status, answer_headers, answer_body)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return Answer(error="time-out")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        return Answer(error=type(error).__name__)


# Store --------------------------------------------------------------------------------------------------------------

class Partition:
    def __init__(self):
        self.records = []
        self.first = 0
        self.producers = {}
        self.newest = {}
        self.grown = asyncio.Event()

    def append(self, records):
        """Appends records without their length, and returns the offset of the first one."""
        offset = len(self.records)
        for record in records:
            size = record[0]
            key, value = record[1:1 + size], record[1 + size:]
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Store:
    """The platform's store: keyed topics. Each daemon reaches it at an address of its own, so that the store can turn
    single machines away. `access` of an address is serving, busy, silent or reset."""

    ANSWER_S = 0.004
    PAGE_KEYS = 500
    PAGE_BYTES = 1024 * 1024

    def __init__(self):
        self.partitions = {}
        self.access = {}
        self.servers = []
        # Called with the address and the request of each append; returns None, "lost" or the seconds by which it is late.
        self.append_fault = lambda port, request: None
        self.on_append = lambda port, request, records: None

    async def add_address(self):
        holder = {}

        async def handler(request):
            return await self._answer(holder["port"], request)

        server = Server(handler)
        await server.start()
        holder["port"] = server.port
        self.access[server.port] = "serving"
        self.servers.append(server)
        return server.port

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        if isinstance(value, (dict, list)):
            value = json.dumps(value)
        key = key.encode()
        return self.partition(topic).append([bytes([len(key)]) + key + value.encode()])

    def remove(self, topic, key):
        key = key.encode()
        return self.partition(topic).append([bytes([len(key)]) + key])

    def compact(self):
        """The history expires; the newest record of each key stays readable."""
        for partition in self.partitions.values():
            partition.first = len(partition.records)

    async def _answer(self, port, request):
        access = self.access[port]
        if access == "busy":
            return response(503)
        if access == "reset":
            reset(request.writer)
            return None
        if access == "silent":
            while self.access[port] == "silent":
                await asyncio.sleep(0.02)
            reset(request.writer)
            return None
        if request.path == "/api/log-append":
            return await self._append(port, request)
        if request.path == "/api/log-read":
            return await self._read(port, request)
        if request.path == "/api/log-newest":
            await asyncio.sleep(self.ANSWER_S)
            return self._newest(request)
        return response(404)

    async def _append(self, port, request):
        fault = self.append_fault(port, request)
        if isinstance(fault, (int, float)) and fault:
            asyncio.get_running_loop().call_later(fault, self._do_append, port, request)
        if fault == "lost":
            self._do_append(port, request)
        if fault:
            await asyncio.sleep(30)
            reset(request.writer)
            return None
        await asyncio.sleep(self.ANSWER_S)
        if self.access[port] != "serving":
            return response(503) if self.access[port] == "busy" else (reset(request.writer), None)[1]
        return self._do_append(port, request)

    def _do_append(self, port, request):
        partition = self.partition(request.query["topic"], request.query.get("part", 0))
        records, body = [], request.body
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + size])
            body = body[4 + size:]
        producer = request.query.get("producer")
        if producer is not None:
            epoch, number = int(request.query["epoch"]), int(request.query["seq_no"])
            known = partition.producers.get(producer)
            if known and epoch < known["epoch"]:
                return response(409, {}, {"why": "fenced"})
            if known and epoch == known["epoch"]:
                if number in known["answers"]:
                    return response(200, {}, known["answers"][number])
                if number != known["next"]:
                    return response(409, {}, {"why": "seq", "seq_no": known["next"]})
        offset = partition.append(records)
        self.on_append(port, request, records)
        answer = {"offset": offset, "end": len(partition.records)}
        if producer is not None:
            if not known or epoch != known["epoch"]:
                known = partition.producers[producer] = {"epoch": epoch, "next": number, "answers": {}}
            known["next"] = number + 1
            known["answers"][number] = answer
            for old in [old for old in known["answers"] if old <= number - 5]:
                del known["answers"][old]
        return response(200, {}, answer)

    async def _read(self, port, request):
        partition = self.partition(request.query["topic"], request.query.get("part", 0))
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        await asyncio.sleep(self.ANSWER_S)
        while start >= len(partition.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(partition.grown.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if self.access[port] != "serving":
            return await self._answer(port, request)
        if start < partition.first:
            return response(410, {}, {"first": partition.first})
        limit = int(request.query.get("max_kb", 1024)) * 1024
        body = len(partition.records).to_bytes(8, "big") + partition.first.to_bytes(8, "big")
        size = 0
        for record in partition.records[start:]:
            size += 4 + len(record)
            if size > limit and size > 4 + len(record):
                break
            body += len(record).to_bytes(4, "big") + record
        return response(200, {}, body)

    def _newest(self, request):
        partition = self.partition(request.query["topic"], request.query.get("part", 0))
        after = unquote(request.query.get("after", "")).encode()
        items, size, more = [], 0, False
        for key in sorted(partition.newest):
            if key <= after:
                continue
            value, offset = partition.newest[key]
            size += len(value)
            if items and (len(items) == self.PAGE_KEYS or size > self.PAGE_BYTES):
                more = True
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return response(200, {}, {"items": items, "more_pages": more, "end": len(partition.records)})


# Replicas -----------------------------------------------------------------------------------------------------------

class Replica:
    """A replica with its entry in the store. Each request that it begins to work on is in `runs`: (time, request id)."""

    HEARTBEAT_S = 1.2

    def __init__(self, store, record, id, service, zone="zone-a", model="", slots=8):
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.model, self.slots = id, service, zone, model, slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq_no = 0
        self.version = 1
        self.orders = 0
        self.runs = []
        self.leaving = False
        self.beating = None
        self.server = Server(self._answer)

    async def start(self):
        await self.server.start()
        self.beating = asyncio.create_task(self._beat())

    def entry(self):
        entry = {"service": self.service, "address": f"{LOOPBACK}:{self.server.port}", "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq_no": self.seq_no, "born": self.born}
        if self.model:
            entry["models"] = [{"name": self.model, "version": self.version, "adapter_ids": []}]
        return entry

    def write_entry(self):
        self.seq_no += 1
        self.store.put("keyed.servers", self.id, self.entry())

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(self.HEARTBEAT_S)

    def stop_beating(self):
        if self.beating:
            self.beating.cancel()
            self.beating = None

    def leave_list(self):
        self.stop_beating()
        self.store.remove("keyed.servers", self.id)

    def crash(self):
        """As a process that is killed: connections are reset, and the port refuses."""
        self.stop_beating()
        self.server.stop(True)

    def answer_headers(self, request):
        headers = {"Request-Id": request.header("Request-Id"), "Server-Stamp": f"stamp.{self.id}.{request.header('Request-Id')}"}
        if self.model:
            headers["Weight-Versions"] = str(self.version)
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def _answer(self, request):
        expected = request.header("Expect-Instance")
        if expected and expected != self.id:
            return response(421, {"Instance-Id": self.id, "Not-Executed": "1"})
        if request.path == "/healthz":
            return response(200 if self.state == "ready" else 503, {"Instance-Id": self.id})
        if request.path == "/api/report":
            return response(200, {}, {"phase": "both", "models": [{"name": self.model, "version": self.version, "adapter_ids": []}],
                                      "busy": False, "seq_no": self.orders, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 90000, "supported": 0})
        if request.path == "/api/order":
            order = json.loads(request.body)
            if order.get("expected", self.orders) != self.orders:
                return response(409)
            self.orders += 1
            self.version = max(self.version, order["version"])
            self.write_entry()
            return response(202)
        self.runs.append((self.record.now(), request.header("Request-Id")))
        self.record.write("replica", self.id, "runs", request.header("Request-Id"))
        return await self.work(request)

    async def work(self, request):
        return response(200, self.answer_headers(request), "done by " + self.id)


# Daemons ------------------------------------------------------------------------------------------------------------

class Daemon:
    """One ragwortreachd process with the settings that the deploy template gives it."""

    def __init__(self, fleet, number, zone):
        self.fleet, self.name, self.zone = fleet, f"frontend-{zone}-{number}", zone
        self.port, self.ready_port, self.peer_port, gossip = free_port(), free_port(), free_port(), free_port()
        self.gossip_port = gossip
        self.process = None
        self.store_port = 0

    def settings(self):
        address = lambda port: f"{LOOPBACK}:{port}"
        return {"vm": self.name, "data_centre": self.zone, "region": "region-a", "log_level": self.fleet.log_level,
                "gateway": {"caller": address(self.port), "readiness": address(self.ready_port), "metrics": address(self.gossip_port),
                            "gossip": address(self.gossip_port), "peer": address(self.peer_port), "store": address(self.store_port),
                            "text_partitions": 8, "processor_share": 0.5, "memory_mb": 150, "max_descriptors": 8200,
                            "order_lease_ms": 3000, "configuration_apply_ms": 2000, "configuration_grace_ms": 5000, "stop_s": 8}}

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen([DAEMON, "--settings", path], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                                        start_new_session=True)
        log.close()
        self.fleet.record.write("daemon", self.name, "starts, pid", self.process.pid)

    def signal(self, number):
        self.fleet.record.write("daemon", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.fleet.record.write("daemon", self.name, "ended with", self.process.returncode)

    async def is_ready(self):
        return (await call(self.ready_port, "GET", "/api/readyz", timeout=1)).status == 200


class Fleet:
    def __init__(self, record, log_level="info"):
        self.record = record
        self.log_level = log_level
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.replicas = []
        self.daemons = []

    async def add_replica(self, replica):
        self.replicas.append(replica)
        await replica.start()
        return replica

    def configure(self, version, routes, services, limits=None):
        self.store.put("keyed.op", "config", {
            "version": version, "routes": routes, "services": services,
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        self.record.write("configuration", version, "is acknowledged")

    async def start_daemons(self, count, zones=("zone-a", "zone-b", "zone-c")):
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("no daemon at " + os.path.relpath(DAEMON, ROOT) + "; run the build of deploy/system.toml")
        for number in range(count):
            daemon = Daemon(self, number + 1, zones[number % len(zones)])
            daemon.store_port = await self.store.add_address()
            self.daemons.append(daemon)
            daemon.start()
        await self.wait_ready()

    async def wait_ready(self, timeout=20):
        until = time.monotonic() + timeout
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if daemon.process.poll() is not None:
                    raise CannotRun(f"{daemon.name} has ended")
                if time.monotonic() > until:
                    raise CannotRun(f"{daemon.name} does not get ready")
                await asyncio.sleep(0.05)
        self.record.write("all daemons are ready")

    def close(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind, prefix, **fields):
    result = {"name": name, "host": "ficu95.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": 10000,
              "full_value_ms": 150, "priority": 1, "service": service, "max_attempts": 2}
    result.update(fields)
    return result


def engine_service(name, models, slots=8):
    return {"name": name, "health_path": "/healthz", "max_conns": 150,
            "engine": {"slots": slots, "kv_capacity": 45343, "kv_bytes": 163840, "models": [{"name": model} for model in models]}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 100}


def run_case(case, folder, limit_s=110, log_level="info"):
    """Runs `case(fleet, trouble)`, which returns the sentences that tell how the rule was broken, and exits."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("with the disruption" if trouble else "without the disruption")
    fleet = Fleet(record, log_level)

    async def main():
        try:
            return await asyncio.wait_for(case(fleet, trouble), limit_s)
        finally:
            # The tasks of the stand-ins end once the daemons have closed their connections.
            fleet.close()

    def stop(*_):
        """Ends the daemons in any case, also when a task of the stand-ins does not end."""
        fleet.close()
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(limit_s + 6)

    try:
        broken = asyncio.run(main())
    except CannotRun as error:
        record.write("cannot run:", error)
        print("cannot run:", error)
        sys.exit(2)
    except asyncio.TimeoutError:
        record.write("cannot run: the time was over")
        print("cannot run: the time was over")
        sys.exit(2)
    finally:
        fleet.close()
    for line in broken:
        record.write("BROKEN:", line)
        print("broken:", line)
    record.write("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
