"""A model replica that runs as a process of its own, see engine.py, with its entry in the store."""

import asyncio
import os
import subprocess
import sys

import fleet as f

STANDINS = os.path.dirname(os.path.abspath(__file__))


class EngineProcess(f.Replica):
    """The entry of an engine that runs as a process of its own."""

    process = None

    async def start(self):
        self.process = subprocess.Popen([sys.executable, "-B", os.path.join(STANDINS, "engine.py"), self.id, self.model, str(self.slots)],
                                        stdout=subprocess.PIPE, start_new_session=True)
        self.port = int(await asyncio.get_running_loop().run_in_executor(None, self.process.stdout.readline))
        self.beating = asyncio.create_task(self._beat())

    def entry(self):
        return {**super().entry(), "address": f"{f.LOOPBACK}:{self.port}"}

    def kill(self):
        self.record.write("replica", self.id, "gets SIGKILL")
        self.stop_beating()
        self.end()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
