#!/usr/bin/env python3
"""Starts stand-ins and entry instances on loopback, puts a bundle in force, runs a command, stops all.

Usage: tools/deployment.py NAME [--entry-flag=--x=y ...] [--engine-flag=--x=y ...] [--logs DIR] -- COMMAND...
NAME is a file of samples/ without its ending. The command finds the addresses in environment
variables: TT_ENTRIES, TT_ADMINS, TT_METRICS, TT_ENGINES, TT_SERVICES, TT_PLATFORM, TT_KEYS, TT_LOGS.
"""
import argparse
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD_FOLDER", "build")
OPERATORS = {"alice": "op-alice", "bob": "op-bob", "carol": "op-carol"}
ADDRESS = "127.0.0.1"


def digest(text):
    """SHA-256 of a key or token in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def call(method, address, path, body=None, token=None, timeout=20):
    """Status and body of one HTTP call; status 0 when there was no answer."""
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    data = body.encode() if body is not None else None
    request = urllib.request.Request(f"http://{address}{path}", data, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as failure:
        return failure.code, failure.read().decode()
    except OSError:
        return 0, ""


class Deployment:
    """Processes of one deployment, started and ended by this program."""

    def __init__(self, description, options):
        self.description = description
        self.options = options
        self.processes = []
        self.base = options.base_port
        self.logs = pathlib.Path(options.logs or tempfile.mkdtemp(prefix="tarragontrail-"))
        self.logs.mkdir(parents=True, exist_ok=True)
        self.platform = f"{ADDRESS}:{self.base}"
        self.engines = description["engines"]
        self.services = description["services"]
        self.entries = description["entries"]
        for number, engine in enumerate(self.engines):
            engine["port"] = self.base + 100 + number
        for number, service in enumerate(self.services):
            service["port"] = self.base + 200 + number
        for number, entry in enumerate(self.entries):
            entry["ports"] = [self.base + 300 + 4 * number + i for i in range(4)]

    def spawn(self, binary, name, *flags):
        log = open(self.logs / f"{name}.log", "w")
        process = subprocess.Popen([str(BUILD / binary), *flags], stderr=log, stdout=log)
        self.processes.append((name, process))
        return process

    def start_entry(self, entry):
        caller, peer, admin, metrics = entry["ports"]
        operators = ",".join(f"{name}={digest(token)}" for name, token in OPERATORS.items())
        return self.spawn(
            "tarragontrail-entry", entry["name"], f"--name={entry['name']}",
            f"--region={entry['region']}", f"--failure_domain={entry['failure_domain']}",
            f"--caller_port={caller}", f"--peer_port={peer}", f"--admin_port={admin}",
            f"--metrics_port={metrics}", f"--platform={self.platform}",
            f"--operators={operators}", f"--genesis_members={len(self.entries)}",
            *self.description.get("entry_flags", []), *self.options.entry_flag)

    def start(self):
        self.spawn("stand-in-platform", "platform", f"--port={self.base}", "--list_lag=1000")
        for engine in self.engines:
            self.spawn("stand-in-engine", engine["name"], f"--name={engine['name']}",
                       f"--port={engine['port']}", f"--model={engine['model']}",
                       f"--region={engine['region']}", f"--platform={self.platform}",
                       *self.description.get("engine_flags", []), *engine.get("flags", []),
                       *self.options.engine_flag)
        for service in self.services:
            self.spawn("stand-in-service", service["name"], f"--name={service['name']}",
                       f"--port={service['port']}", *service.get("flags", []), *self.options.service_flag)
        self.wait("platform", self.platform, "/stats")
        for entry in self.entries:
            caller, peer, admin, _ = entry["ports"]
            body = {"name": entry["name"], "address": ADDRESS, "caller_port": caller,
                    "peer_port": peer, "admin_port": admin, "region": entry["region"],
                    "failure_domain": entry["failure_domain"], "state": "live"}
            call("PUT", self.platform, f"/instances/{entry['name']}", json.dumps(body))
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            self.wait(entry["name"], f"{ADDRESS}:{entry['ports'][2]}", "/healthz")
        self.expect_all_running()
        self.roll(json.dumps(self.bundle()))
        for entry in self.entries:
            self.wait(entry["name"], f"{ADDRESS}:{entry['ports'][2]}", "/readyz")

    def wait(self, name, address, path, seconds=40):
        """Waits until a process answers with status 200."""
        give_up = time.monotonic() + seconds
        while call("GET", address, path, timeout=2)[0] != 200:
            self.expect_all_running()
            if time.monotonic() > give_up:
                sys.exit(f"{name} is not ready at {address}{path}, see {self.logs}")
            time.sleep(0.1)

    def expect_all_running(self):
        """Stops when a process has ended, for example as another fleet has its port."""
        for name, process in self.processes:
            if process.poll() is not None:
                sys.exit(f"{name} ended with status {process.returncode}, see {self.logs}")

    def bundle(self):
        """Bundle of this deployment."""
        upstreams = []
        for engine in self.engines:
            upstreams.append({
                "name": engine["name"], "kind": "engine", "address": ADDRESS,
                "port": engine["port"], "region": engine["region"],
                "failure_domain": engine["failure_domain"], "model": engine["model"],
                "weights_version": "1", "adapters": [], "checks_fence": True, "state": "ready"})
        for service in self.services:
            upstreams.append({
                "name": service["name"], "kind": "service", "address": ADDRESS,
                "port": service["port"], "region": service["region"],
                "failure_domain": service["failure_domain"], "model": "", "weights_version": "",
                "adapters": [], "checks_fence": False, "state": "ready"})
        workspaces = []
        for workspace in self.description["workspaces"]:
            keys = [{"sha256": digest(key), "id": number + 1, "state": "active"}
                    for number, key in enumerate(workspace["keys"])]
            workspaces.append({"name": workspace["name"], "priority": workspace.get("priority", 5),
                               "tokens_per_second": workspace["tokens_per_second"],
                               "burst_tokens": workspace["burst_tokens"], "keys": keys})
        models = sorted({engine["model"] for engine in self.engines})
        return {
            "version": 1, "regions": self.description["regions"], "workspaces": workspaces,
            "open_routes": self.description["open_routes"],
            "models": [{"name": model, "weights_version": "1", "adapters": [],
                        "minimum_engines": 1} for model in models],
            "upstreams": upstreams, "service_routes": self.description["service_routes"],
            "limits": {"request_bytes": 8388608, "output_tokens": 512, "queued_requests": 1024,
                       "request_timeout_ms": 120000},
            "rollout": []}

    def roll(self, text):
        """Takes a bundle through submission, review, sign-off and roll by three operators."""
        admin = f"{ADDRESS}:{self.entries[0]['ports'][2]}"
        draft = self.command(admin, "/admin/v1/drafts", text, "alice")["draft"]["name"]
        for step, operator in (("review", "bob"), ("sign_off", "carol"), ("roll", "alice")):
            self.command(admin, f"/admin/v1/drafts/{draft}/{step}", "{}", operator)

    @staticmethod
    def command(admin, path, body, operator):
        status, answer = call("POST", admin, path, body, OPERATORS[operator])
        if status != 200:
            sys.exit(f"{path} was refused: {status} {answer}")
        return json.loads(answer)

    def environment(self):
        """Addresses for the command."""
        def list_of(items, port):
            return ",".join(f"{ADDRESS}:{port(item)}" for item in items)
        keys = ",".join(f"{workspace['name']}={workspace['keys'][0]}"
                        for workspace in self.description["workspaces"])
        return dict(
            os.environ, TT_PLATFORM=self.platform, TT_KEYS=keys, TT_LOGS=str(self.logs),
            TT_ENTRIES=list_of(self.entries, lambda item: item["ports"][0]),
            TT_ADMINS=list_of(self.entries, lambda item: item["ports"][2]),
            TT_METRICS=list_of(self.entries, lambda item: item["ports"][3]),
            TT_ENGINES=list_of(self.engines, lambda item: item["port"]),
            TT_SERVICES=list_of(self.services, lambda item: item["port"]),
            TT_RATES=",".join(f"{w['name']}={w['tokens_per_second']}:{w['burst_tokens']}"
                              for w in self.description["workspaces"]),
            TT_PIDS=",".join(f"{name}={process.pid}" for name, process in self.processes))

    def stop(self):
        """Ends what was started here: entries drain first, then the stand-ins."""
        entries = {entry["name"] for entry in self.entries}
        for group in (True, False):
            chosen = [process for name, process in self.processes if (name in entries) == group]
            for process in chosen:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.terminate()
            for process in chosen:
                try:
                    process.wait(timeout=15)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("name")
    parser.add_argument("--entry-flag", action="append", default=[])
    parser.add_argument("--engine-flag", action="append", default=[])
    parser.add_argument("--service-flag", action="append", default=[])
    parser.add_argument("--logs")
    parser.add_argument("--base-port", type=int, default=19000)
    words = sys.argv[1:]
    if "--" not in words:
        parser.error("the command follows after --")
    split = words.index("--")
    options = parser.parse_args(words[:split])
    command = words[split + 1:]
    description = json.loads((ROOT / "samples" / f"{options.name}.json").read_text())
    deployment = Deployment(description, options)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    signal.signal(signal.SIGINT, lambda *_: sys.exit(1))
    status = 1
    try:
        deployment.start()
        status = subprocess.run(command, env=deployment.environment(), cwd=ROOT).returncode
    finally:
        deployment.stop()
    sys.exit(status)


if __name__ == "__main__":
    main()
