"""Starts real gateways with settings made from the template of the deploy file; plays consumers; keeps the record of a run."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import traceback
import uuid
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = "/etc/amaranthhall/settings.yaml"  # as the deploy file names it

TAG = re.compile(r"\{\{([#^/]?)([^}]+)\}\}")


def look_up(fields, name):
    if name == ".":
        return fields
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if part.isdigit() and int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return ",".join(map(as_text, value)) if isinstance(value, list) else str(value)


def render(template, fields, current=None, is_last=True):
    """Fills in a template as DEPLOY.md describes."""
    out, position = [], 0
    while match := TAG.search(template, position):
        out.append(template[position:match.start()])
        mark, name = match.groups()
        position = match.end()
        value = current if name == "." else look_up(fields, name)
        if name == ",":
            out.append("" if is_last else ",")
        elif not mark:
            out.append(as_text(value))
        else:
            end = template.index("{{/" + name + "}}", position)
            inner = template[position:end]
            position = end + len(name) + 5
            if mark == "^":
                out.append(render(inner, fields, current, is_last) if value is None or value is False else "")
            elif isinstance(value, list):
                out.extend(render(inner, fields, entry, index + 1 == len(value)) for index, entry in enumerate(value))
            elif value is not None and value is not False:
                out.append(render(inner, fields, value, True))
    return "".join(out) + template[position:]


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.3f}  {text}\n")
        self.file.flush()


def play(folder, run, limit):
    """Plays a case and ends the process with its exit code; the case has ended its gateways by then."""
    note = Record(Path(folder) / "record.txt")

    async def guarded():
        try:
            code = await asyncio.wait_for(run(note), limit)
        except Exception:
            note("the case could not run: " + traceback.format_exc().replace(str(ROOT) + "/", ""))
            code = 2
        note(f"exit code {code}")
        os._exit(code)

    asyncio.run(guarded())


def ports_are_free(hosts, first, count):
    for host in hosts:
        for port in range(first, first + count):
            with socket.socket() as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    return False
    return True


def find_ports(hosts, count):
    """Ports are the same on all machines."""
    for first in range(20000 + os.getpid() % 500 * 20, 32000, 20):
        if ports_are_free(hosts, first, count):
            return first
    raise RuntimeError("no free ports")


class Gateway:
    def __init__(self, node, host, zone, base, fields, folder):
        self.node, self.host, self.zone, self.port, self.base = node, host, zone, base, base
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["daemon"]
        settings = Path(folder) / f"{node}.yaml"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), fields))
        self.command = [str(settings) if word == SETTINGS else word for word in deploy["run"].split()]
        self.log = Path(folder) / f"{node}.log"
        self.process = None

    async def start(self):
        with open(self.log, "ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, stdout=output, stderr=output, stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ["PATH"], "HOME": "/", "LANG": "C"})

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.base + 1), 0.5)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """Gateways at loopback addresses of their own."""

    def __init__(self, note, count, store_address, orders_address, bounds, zones, host_base="127.0.5."):
        self.note = note
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        hosts = [f"{host_base}{index + 1}" for index in range(count)]
        base = find_ports(hosts, 5)
        self.gateways = []
        for index, host in enumerate(hosts):
            fields = {
                "node": f"front-{index + 1}",
                "ip": host,
                "zone": zones[index % len(zones)],
                "listen": {"front": f"{host}:{base}", "ready": f"{host}:{base + 1}", "control": f"{host}:{base + 2}"},
                "port_range": [base + 3, base + 4],
                "seeds": [f"{seed}:{base + 2}" for seed in hosts[:3]],
                "limits": {"cpu_share": 0.17, "cores": 1, "memory_mb": 182, "max_fds": 3010},
                "bounds": {"drain_ms": 7000, "grace_s": 6, "config_apply_ms": 3000, "require_fence": True, **bounds},
                "platform": {"address": store_address},
                "cloud": {"address": orders_address},
            }
            self.gateways.append(Gateway(fields["node"], host, fields["zone"], base, fields, self.folder))

    async def start(self):
        for gateway in self.gateways:
            await gateway.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if all([await gateway.is_ready() for gateway in self.gateways]):
                self.note(f"{len(self.gateways)} gateways are ready")
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("gateways are not ready")

    async def end(self):
        for gateway in self.gateways:
            await gateway.end()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Caller:
    """A consumer: one session at one gateway."""

    def __init__(self, note, name):
        self.note, self.name = note, name
        self.reader = self.writer = None
        self.waiting = []

    async def open(self, gateway, database):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(gateway.host, gateway.port, limit=4 << 20), 2)
        self.writer.write(f"STARTUP {database} {self.name}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError(f"{self.name}: {line!r}")

    def send(self, *texts):
        """Sends statements without waiting; returns their ids."""
        idents = [uuid.uuid4().hex[:16] for _ in texts]
        for ident, text in zip(idents, texts):
            self.note(f"{self.name} sends {ident} {text}")
            self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        self.waiting.extend(idents)
        return idents

    async def answer(self, timeout=5.0):
        """Returns the answer to the oldest waiting statement."""
        ident = self.waiting.pop(0)
        result = {"ok": False, "text": "", "code": "", "rows": []}
        while True:
            line = (await asyncio.wait_for(self.reader.readline(), timeout)).decode()
            if not line:
                raise ConnectionError("closed")
            word, _, rest = line.rstrip("\r\n").partition(" ")
            if word == "DATAROW":
                result["rows"].append(rest)
            elif word == "COMPLETE":
                result.update(ok=True, text=rest)
            elif word == "ERROR":
                result.update(text=rest, code=rest.split(" ")[0])
            elif word == "READY":
                result["state"] = rest.split(" ")[0]
                self.note(f"{self.name} has {ident}: {'COMPLETE' if result['ok'] else 'ERROR'} {result['text']}, {result['state']}")
                return result

    async def ask(self, text, timeout=5.0):
        self.send(text)
        return await self.answer(timeout)

    def close(self):
        if self.writer:
            self.note(f"{self.name} closes")
            self.writer.close()
        self.reader = self.writer = None
        self.waiting = []


def configuration(version, routes, services, idle_ms=6000):
    """Returns the bytes of op/config. A route is (database, service, type, other fields), a service (name, max_conns, sync_replicas)."""
    return json.dumps({
        "version": version,
        "routes": [{"name": f"r-{database}", "host": database, "path_prefix": "/", "route_type": kind, "timeout_ms": 1200, "target_latency_ms": 200, "priority": 1,
                    "service": service, "max_attempts": 2, "max_staleness_ms": 0, **more} for database, service, kind, more in routes],
        "services": [{"name": name, "health_path": "/health", "max_conns": max_conns, "protocol": "h1", "tls": False, "sync_replicas": sync} for name, max_conns, sync in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": idle_ms},
    }).encode()
