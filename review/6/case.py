"""The owner of a trainer's open batch jobs is killed, and each VM that takes them over exceeds its memory."""

import asyncio
import base64
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import fleet as f

MEMORY_MB = 150           # memory_mb of the site
DAEMONS = 5
BATCHES = 4               # open steps of one trainer
ITEMS = 60                # of a batch job, 15 groups of 4 as on the site
ITEM_BYTES = 222_000
EVENTS = 12               # of an item
EVENT_S = 0.2
RESTART_S = 1.0
RESULT_TARGET_S = 30.0    # result_target_ms of the route
CONTACT_S = 3.0           # contact_ms of the site
IDLE_S = 5.0              # "at no replica for 5 s of steady state"
SLOTS = 12
MODEL = "m0"


class Engine(f.Replica):
    """Model replica. `stays` holds when items were at it: [item, from, to, whether it was finished]."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.stays = []

    async def work(self, request):
        stay = [request.header("Request-Id"), self.record.now(), None, False]
        self.stays.append(stay)
        answer = await self.stream(request)
        stay[2], stay[3] = self.record.now(), answer is not None
        return answer

    async def stream(self, request):
        writer = request.writer
        headers = {**self.answer_headers(request), "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        try:
            for event in range(int(request.header("Last-Event-Id") or 0) + 1, EVENTS + 1):
                data = f"id: {event}\ndata: {request.header('Request-Id')}-{event}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except (ConnectionError, OSError):
            return None
        return b""


def peak_mb(daemon):
    """Most memory that the process has used, in MB."""
    try:
        with open(f"/proc/{daemon.process.pid}/status") as status:
            return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmHWM"))
    except (OSError, StopIteration):
        return 0


class Platform:
    """Kills a process that exceeds memory_mb, as the pages say, and starts processes that have ended again."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.killed = {daemon.name: 0 for daemon in fleet.daemons}
        self.peaks = {daemon.name: 0 for daemon in fleet.daemons}

    async def watch(self, daemon):
        while True:
            await asyncio.sleep(0.02)
            if daemon.process.poll() is None:
                peak = peak_mb(daemon)
                self.peaks[daemon.name] = max(self.peaks[daemon.name], peak)
                if peak <= MEMORY_MB:
                    continue
                self.fleet.record.write("daemon", daemon.name, f"has used {peak:.0f} MB of {MEMORY_MB} MB, and is killed")
                self.killed[daemon.name] += 1
                daemon.process.kill()
                daemon.process.wait()
            else:
                self.fleet.record.write("daemon", daemon.name, "ended with", daemon.process.returncode)
            await asyncio.sleep(RESTART_S)
            daemon.start()


def batch_job(number):
    items = [{"id": f"{number:04x}{item:012x}", "path": "/pufi791/3/91c4", "headers": {"Model-Id": MODEL, "Token-Usage": "540,400"},
              "body": base64.b64encode(os.urandom(ITEM_BYTES)).decode(), "token_count": 940, "group_id": f"g{number}-{item // 4}"}
             for item in range(ITEMS)]
    body = {"train_step": number, "model_id": MODEL, "min_version": 1, "group_count": ITEMS // 4, "items": items}
    return json.dumps(body).encode(), [item["id"] for item in items]


async def submit(fleet, number):
    body, items = batch_job(number)
    daemon = fleet.daemons[number % DAEMONS]
    id = f"{number:016x}"
    fleet.record.write("trainer submits batch job", id, "of", len(body), "bytes at", daemon.name)
    submitted = fleet.record.now()
    answer = await f.call(daemon.port, "POST", f"/pufi791/{id}", {"Host": "ficu95.example", "Request-Id": id}, body, 10)
    fleet.record.write("trainer gets", answer, "for", id)
    if answer.status != 202:
        raise f.CannotRun(f"a batch job was answered {answer}")
    return Step(id, items, submitted + RESULT_TARGET_S)


class Step:
    def __init__(self, id, items, deadline):
        self.id, self.items, self.deadline, self.position = id, items, deadline, 0


def lost_items(step, stays, steady_since):
    """Items of a step that no replica has finished at its deadline, and that were at none for 5 s of steady state before."""
    begin = step.deadline - IDLE_S
    running = [stay for stay in stays if stay[2] is None or stay[2] > begin]
    if begin < steady_since or len(running) >= 3 * SLOTS / 2 or not any(stay[0] in step.items for stay in stays):
        return []
    finished = {stay[0] for stay in stays if stay[3] and stay[2] <= step.deadline}
    at_replicas = {stay[0] for stay in running if stay[1] < step.deadline}
    return [item for item in step.items if item not in finished and item not in at_replicas]


async def read_results(fleet, step, turn):
    daemon = fleet.daemons[turn % DAEMONS]
    answer = await f.call(daemon.port, "GET", f"/api/lots/{step.id}?after={step.position}", {"Host": "ficu95.example", "Wait-Ms": "200"}, timeout=2)
    if answer.status == 200:
        step.position += len(json.loads(answer.body)["results"])


async def case(fleet, trouble):
    for number in range(3):
        await fleet.add_replica(Engine(fleet.store, fleet.record, f"i-llm{number}", "huvo11a", f"zone-{'abc'[number]}", MODEL, 12))
    fleet.configure(1, [f.route("r-lots", "huvo11a", "rollout", "/pufi791/", full_value_ms=400, max_attempts=3, retention_s=120.0,
                                result_target_ms=60000, resumable=True, sticky=True)], [f.engine_service("huvo11a", [MODEL], 12)])
    await fleet.start_daemons(DAEMONS)
    platform = Platform(fleet)
    watches = [asyncio.create_task(platform.watch(daemon)) for daemon in fleet.daemons]
    await asyncio.sleep(2)
    steps = []
    for number in range(BATCHES):
        steps.append(await submit(fleet, number))
        await asyncio.sleep(1.2)
    fleet.record.write("peaks in MB before the disruption:", {name: round(peak) for name, peak in platform.peaks.items()})
    if sum(platform.killed.values()):
        raise f.CannotRun("a process exceeded its memory before the disruption")
    if trouble:
        max(fleet.daemons, key=resident_mb).signal(signal.SIGKILL)
    steady_since = fleet.record.now() + CONTACT_S
    turn = 0
    while fleet.record.now() < steps[-1].deadline and any(step.position < ITEMS for step in steps):
        for step in steps:
            turn += 1
            await read_results(fleet, step, turn)
        await asyncio.sleep(0.3)
    for watch in watches:
        watch.cancel()
    fleet.record.write("results read:", {step.id: step.position for step in steps}, "of", ITEMS, "each")
    fleet.record.write("ends for memory:", platform.killed, "peaks in MB:", {name: round(peak) for name, peak in platform.peaks.items()})
    stays = [stay for replica in fleet.replicas for stay in replica.stays]
    broken = []
    for step in steps:
        lost = lost_items(step, stays, steady_since) if step.position < ITEMS else []
        if lost:
            broken.append(f"LOST: the step of {step.id} ran out of time; {len(lost)} of its {ITEMS} items were at no replica for {IDLE_S:.0f} s")
    often = [name for name, count in platform.killed.items() if count >= 3]
    if len(often) >= 2:
        broken.append(f"Fault: processes ended by themselves three times or more on {len(often)} of {DAEMONS} machines")
    if broken:
        broken.append(f"ends for memory: {platform.killed}")
    return broken


def resident_mb(daemon):
    """Memory of the process; the owner of the batch jobs has the most."""
    with open(f"/proc/{daemon.process.pid}/status") as status:
        return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmRSS"))


f.run_case(case, FOLDER)
