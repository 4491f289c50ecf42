"""Stand-in of the platform: its metadata store, and POST /failover."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

TRANSACTION_TIME = 0.004  # of the site files
ROWS_PER_RESPONSE = 500


async def read_request(reader):
    """Returns method, path, query, headers and body of an HTTP request; None at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
    return method, parts.path, query, headers, body


class Store:
    """Linearizable rows that lose nothing, and the platform's calls that are a duty of one daemon."""

    def __init__(self, checks_fences=True):
        self.checks_fences = checks_fences
        self.rows = {}  # (table, part, key) -> (value or None once it was removed, version)
        self.version = 0
        self.changed = asyncio.Event()
        self.failover = None  # async (service, id) -> status
        self.orders = []
        self.fences = {}  # the highest fence seen, by service
        self.writers = set()
        self.tasks = set()
        self.port = 0

    async def serve(self, host):
        server = await asyncio.start_server(self._connection, host, 0, limit=4 << 20)
        self.port = server.sockets[0].getsockname()[1]
        return self.port

    def set(self, table, key, value):
        """Writes or removes (None) a row as backends and operators do."""
        self._apply([((table, "", key), value)])

    def _apply(self, changes):
        self.version += 1
        for key, value in changes:
            self.rows[key] = (value, self.version)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    @staticmethod
    def _encode(key, row):
        entry = {"table": key[0], "part": key[1], "key": key[2], "ver": row[1]}
        if row[0] is None:
            entry["tombstone"] = True
        else:
            entry["value"] = base64.b64encode(row[0]).decode()
        return entry

    def _answer(self, **fields):
        return {**fields, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, answer = await self._handle(*request)
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, method, path, query, headers, body):
        if path == "/v1/rows-get":
            return self._get(query)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-tx" and method == "POST":
            return await self._transaction(json.loads(body))
        if path == "/failover" and method == "POST":
            return await self._failover(json.loads(body), headers)
        return 404, {}

    def _get(self, query):
        limit = min(int(query.get("limit", ROWS_PER_RESPONSE)), ROWS_PER_RESPONSE)
        first, last = query.get("from", ""), query.get("target")
        found = []
        for key in sorted(self.rows, key=lambda key: key[2].encode()):
            if key[0] != query.get("table") or key[1] != query.get("part", "") or self.rows[key][0] is None:
                continue
            if key[2].encode() >= first.encode() and (last is None or key[2].encode() < last.encode()):
                found.append(self._encode(key, self.rows[key]))
        return 200, self._answer(rows=found[:limit], has_more=len(found) > limit)

    async def _feed(self, query):
        after = int(query["after"])
        if after > self.version:
            return 410, self._answer()
        end = time.monotonic() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        while True:
            changes = [(row[1], key, row) for key, row in self.rows.items() if key[0] == query["table"] and row[1] > after]
            remaining = end - time.monotonic()
            if changes or remaining <= 0:
                changes.sort(key=lambda change: (change[0], change[1]))
                return 200, self._answer(rows=[self._encode(key, row) for _, key, row in changes])
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

    async def _transaction(self, transaction):
        await asyncio.sleep(TRANSACTION_TIME)
        present, holds = [], True
        for expected in transaction.get("expect_rev", []):
            key = (expected["table"], expected.get("part", ""), expected["key"])
            row = self.rows.get(key, (None, 0))
            if row[0] is not None:
                present.append(self._encode(key, row))
            holds = holds and expected["ver"] == (row[1] if row[0] is not None else 0)
        if not holds:
            return 412, self._answer(rows=present)
        sets = transaction.get("set_keys", [])
        entries = [*sets, *transaction.get("remove", [])]
        if any(entry["table"] in ("op", "servers") for entry in entries):
            return 403, {}
        self._apply([((entry["table"], entry.get("part", ""), entry["key"]), base64.b64decode(entry["value"]) if index < len(sets) else None) for index, entry in enumerate(entries)])
        return 200, self._answer()

    async def _failover(self, body, headers):
        service, ident = body["service"], body["id"]
        fence = int(headers["fencing-token"])
        seen = self.fences.get(service, 0)
        if self.checks_fences and fence < seen:
            status = 409
        else:
            self.fences[service] = max(fence, seen)
            status = await self.failover(service, ident)
        self.orders.append({"at": time.monotonic(), "service": service, "id": ident, "holder": headers.get("lease-holder"), "fence": fence, "seen": seen, "status": status})
        return status, {}
