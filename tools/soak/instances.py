"""One relay process: start, signals, memory and what is kept when it does not serve again."""
import asyncio
import ctypes
import json
import os
import pathlib
import shutil
import signal
import subprocess
import time

LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def die_with_parent():
    """Runs in the child: it gets SIGKILL when the soak ends in any way."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Instance:
    """A relay process and its restarts under one name and one set of addresses."""

    def __init__(self, number, address, store, run):
        self.name = f"r{number:02d}"
        self.address, self.store, self.run = address, store, run
        self.front = (address, 8606)
        # Name of its zone.
        self.place = sorted(run.regions)[number % len(run.regions)][-1]
        self.process = None
        self.paused = False
        self.draining = False
        self.held_for_check = False
        self.killed = False
        self.continued_at = 0.0
        self.started_at = 0.0
        self.killed_at = []
        # What this process made of each key: whether it was accepted, and when the last answer came.
        self.key_answers = {}
        self.log_path = run.folder / f"{self.name}.log"
        self.scanned = 0
        # Held by what ends or stops it.
        self.turn = asyncio.Lock()

    def start(self):
        flags = {"name": self.name, "region": self.run.regions[f"zone-{self.place}"], "failure_domain": f"zone-{self.place}",
                 "regions": json.dumps(self.run.regions), "address": self.address,
                 "caller_listen": f"{self.address}:8606", "ready_listen": f"{self.address}:8605",
                 "directory_listen": f"{self.address}:8603", "internal_ports": "7600,7615",
                 "store": "%s:%d" % self.store, "fencing": "true", "lease": 3000,
                 "grace_seconds": self.run.grace, "drain": 2500, "weights_limit": 8000, "retry_ratio": 0.2,
                 "retry_slack": 400, "retry_window_seconds": 10, "log_bytes_per_second": 4_000_000}
        self.key_answers = {}
        self.started_at = time.monotonic()
        command = [str(self.run.binary), *(f"--{name}={value}" for name, value in flags.items())]
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                            preexec_fn=die_with_parent)
        self.paused = self.draining = self.killed = False

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def pause(self):
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.paused = False
        self.continued_at = time.monotonic()
        self.signal(signal.SIGCONT)

    def kill(self):
        self.killed = True
        self.killed_at.append(time.monotonic())
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def stop_gently(self):
        """SIGTERM; the exit code, or None when the grace period passes."""
        self.draining = True
        self.signal(signal.SIGTERM)
        end = time.monotonic() + self.run.grace + 1
        while time.monotonic() < end + self.run.lag:
            if self.process.poll() is not None:
                return self.process.returncode
            await asyncio.sleep(0.02)
        return None

    def was_killed(self, begin, end):
        return any(begin <= at <= end for at in self.killed_at)

    def memory_mb(self):
        try:
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass  # It has ended, which another check looks at.
        return 0.0

    def new_log_lines(self):
        with open(self.log_path, "rb") as log:
            log.seek(self.scanned)
            text = log.read()
        whole = text[:text.rfind(b"\n") + 1]
        self.scanned += len(whole)
        return whole.decode("utf-8", "replace").splitlines()

    def keep_evidence(self):
        """Writes threads, connections and stacks of the process into the run's folder."""
        pid = self.process.pid
        target = self.run.folder / f"{self.name}-{int(time.monotonic())}.evidence"
        with open(target, "w") as out:
            for pattern in ("status", "task/*/stat", "task/*/wchan", "task/*/syscall"):
                for path in sorted(pathlib.Path(f"/proc/{pid}").glob(pattern)):
                    try:
                        out.write(f"{path}: {path.read_text()}\n")
                    except OSError as failure:
                        out.write(f"{path}: {failure}\n")
            own = "".join(f"{int(part):02X}" for part in reversed(self.address.split(".")))
            for line in pathlib.Path("/proc/net/tcp").read_text().splitlines():
                if own in line:
                    out.write(line + "\n")
            out.write(f"open files: {len(os.listdir(f'/proc/{pid}/fd'))}\n")
            out.flush()
            if shutil.which("gdb"):
                subprocess.run(["gdb", "-p", str(pid), "-batch", "-ex", "thread apply all bt"],
                               stdout=out, stderr=out, timeout=30, check=False)
        return target
