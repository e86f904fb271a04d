"""Model replica as a process of its own: engine.py ID MODEL SLOTS. It writes its port to the standard output.

Its answers have no length and end with their connection, as the pages allow. The number of events of an item follows from
its id.
"""

import asyncio
import hashlib
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as f

EVENT_S = 0.05


def event_count(item):
    return 10 + int(hashlib.sha256(item.encode()).hexdigest()[:4], 16) % 30


def event_data(item, event):
    return f"{item}-{event}-" + "." * 380


def whole_text(item):
    return "\n".join(event_data(item, event) for event in range(1, event_count(item) + 1))


class NoRecord:
    def now(self):
        return 0

    def write(self, *words):
        pass


class Engine(f.Replica):
    async def work(self, request):
        item, writer = request.header("Request-Id"), request.writer
        headers = {**self.answer_headers(request), "Content-Type": "text/event-stream", "Connection": "close"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        try:
            for event in range(int(request.header("Last-Event-Id") or 0) + 1, event_count(item) + 1):
                await asyncio.sleep(EVENT_S)
                writer.write(f"id: {event}\ndata: {event_data(item, event)}\n\n".encode())
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()
        return None


async def main():
    engine = Engine(None, NoRecord(), sys.argv[1], "", "", sys.argv[2], int(sys.argv[3]))
    await engine.server.start()
    print(engine.server.port, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
