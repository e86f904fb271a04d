"""A heartbeat that a replica wrote before it began to leave is executed after the one that says so."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import fleet as f

DRAIN_S = 2.0      # drain_ms of the site
CUT_S = 5.0        # srv_cut: for_s (5)
EXPIRY_S = 3 * f.Replica.HEARTBEAT_S
LATE_S = 5.1       # "executed seconds later"; platform_lost late: done 1 to 6 s later
WORK_S = 0.3


class Desk(f.Replica):
    """Replica of the plain service whose way to the store can be cut."""

    is_cut = False
    removal = None

    def expect_next(self):
        """The store removes the entry after three heartbeat intervals of silence."""
        if self.removal:
            self.removal.cancel()
        self.removal = asyncio.get_running_loop().call_later(EXPIRY_S, self.expire)

    def expire(self):
        self.record.write("store removes the silent entry of", self.id)
        self.store.remove("keyed.servers", self.id)

    def write_entry(self):
        self.seq_no += 1
        entry = self.entry()
        if not self.is_cut:
            self.store.put("keyed.servers", self.id, entry)
            self.expect_next()
            return
        # Each of these gets no answer. The last one is held up on its way, the others are lost.
        self.record.write("heartbeat", self.seq_no, entry["state"], "of", self.id, "gets no answer")
        self.unanswered = entry, self.record.now()

    unanswered = None
    at_work = 0

    def heal(self):
        self.is_cut = False
        entry, sent = self.unanswered
        asyncio.get_running_loop().call_later(sent + LATE_S - self.record.now(), self.execute_late, entry)

    def execute_late(self, entry):
        self.record.write("store executes heartbeat", entry["seq_no"], entry["state"], "of", self.id)
        self.store.put("keyed.servers", self.id, entry)

    def report_draining(self):
        self.state, self.leaving = "draining", True
        self.write_entry()
        self.drained_at = self.record.now()
        self.record.write("store acknowledges heartbeat", self.seq_no, "draining of", self.id)

    has_ended = False

    def end(self):
        if self.has_ended:
            return
        self.has_ended = True
        self.stop_beating()
        if self.removal:
            self.removal.cancel()
        self.store.remove("keyed.servers", self.id)
        self.server.stop(True)
        self.record.write("replica", self.id, "ends, and its entry is removed")

    drained_at = None

    async def work(self, request):
        self.at_work += 1
        if self.drained_at and self.record.now() > self.drained_at + DRAIN_S:
            # It has served for drain_ms and a little longer, and may exit.
            asyncio.get_running_loop().call_later(WORK_S / 2, self.end)
        await asyncio.sleep(WORK_S)
        self.at_work -= 1
        return f.response(200, self.answer_headers(request), "done by " + self.id)


async def clients(fleet, until):
    """Six requests a second, each at another daemon."""
    number = 0
    pending = []
    while fleet.record.now() < until:
        number += 1
        daemon = fleet.daemons[number % len(fleet.daemons)]
        pending.append(asyncio.create_task(one(fleet, daemon, f"{number:016x}")))
        await asyncio.sleep(1 / 6)
    await asyncio.gather(*pending)


answers = {}


async def one(fleet, daemon, id):
    fleet.record.write("client sends", id, "to", daemon.name)
    answer = await f.call(daemon.port, "POST", "/lohu930/2f", {"Host": "ficu95.example", "Request-Id": id, "Deadline-Ms": "3000"}, b"x" * 600, 4)
    answers[id] = answer
    fleet.record.write("client gets", answer, "for", id)


async def case(fleet, trouble):
    desks = [await fleet.add_replica(Desk(fleet.store, fleet.record, f"i-desk{number}", "wuno96b", zone))
             for number, zone in enumerate(("zone-a", "zone-b", "zone-c", "zone-a", "zone-c"))]
    fleet.configure(1, [f.route("r-desk", "wuno96b", "non_idempotent", "/lohu930/", timeout_ms=3000)], [f.plain_service("wuno96b")])
    await fleet.start_daemons(3)
    leaving = desks[1]
    start = fleet.record.now()
    traffic = asyncio.create_task(clients(fleet, start + 18))
    await asyncio.sleep(3)
    if trouble:
        fleet.record.write(leaving.id, "is partitioned from the store")
        leaving.is_cut = True
        await asyncio.sleep(CUT_S)
        fleet.record.write("the cut is over")
        leaving.heal()
    else:
        await asyncio.sleep(CUT_S)
    # Planned work: the replica leaves, at a moment at which it has nothing to do.
    await asyncio.sleep(1.3)
    while leaving.at_work or fleet.record.now() - leaving.runs[-1][0] > WORK_S + 0.05:
        await asyncio.sleep(0.005)
    leaving.report_draining()
    # It goes on serving for a little longer than drain_ms.
    await asyncio.sleep(DRAIN_S + 3.5)
    leaving.end()
    await traffic
    late = [(at - leaving.drained_at, id) for at, id in leaving.runs if at > leaving.drained_at + DRAIN_S]
    return [f"DRAIN: request {id} reached {leaving.id} {after:.2f} s after its draining was acknowledged; its client got {answers[id]}"
            for after, id in late]


f.run_case(case, FOLDER)
