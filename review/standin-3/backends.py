"""Stand-in of a service of three databases, as PROTOCOL.md describes it."""

import asyncio
import json
import time

HEARTBEAT = 1.2
LAPSE = 3.6  # three heartbeats of silence
DRAIN = 7.0
LINGER = 0.5  # "and a little longer"
UNREACHABLE = 3.0  # "A connection whose remote end is unreachable is dropped after 3 s."
QUEUE = 16
TRANSFER = 0.001  # until a replica receives a commit

PLAIN_LEAD = ("READ", "WRITE", "EXECUTE")


class Commit:
    def __init__(self, term, number, writes, ident):
        self.term, self.number, self.writes, self.ident = term, number, writes, ident
        self.received = asyncio.Event()  # by a replica

    @property
    def position(self):
        return self.term, self.number


class Connection:
    """A connection from a daemon; it runs one statement after the other."""

    def __init__(self, backend, reader, writer):
        self.backend, self.reader, self.writer = backend, reader, writer
        self.values, self.prepared = {}, {}
        self.transaction = None  # {"read_only", "term", "writes"}
        self.failed = False
        self.held = []  # what can't be sent while the machine is unreachable
        self.is_silent = False  # nothing arrives any more, in either direction

    @property
    def state(self):
        return "I" if self.transaction is None else "E" if self.failed else "T"

    async def run(self):
        backend, group = self.backend, self.backend.group
        line = (await self.reader.readline()).decode().rstrip("\r\n")
        words = line.split(" ")
        if words[0] != "STARTUP":
            return
        if words[1] != group.service or (len(words) > 3 and words[3] != backend.id):
            self.writer.write(f"ERROR MISROUTED {backend.id}\r\n".encode())
            return
        if len(backend.connections) > group.max_conns:
            self.writer.write(f"ERROR TOOMANY {backend.id}\r\n".encode())
            return
        if await backend.take_slot():
            try:
                await asyncio.sleep(group.handshake)
            finally:
                backend.slots.release()
        self.send(f"READY I {backend.position()}\r\n")
        while True:
            line = (await self.reader.readline()).decode()
            if not line or line.startswith("TERMINATE"):
                return
            word, _, rest = line.rstrip("\r\n").partition(" ")
            if self.is_silent:
                continue
            if word != "QUERY":
                return
            ident, _, text = rest.partition(" ")
            await backend.reachable.wait()
            answer = await self.statement(ident, text)
            if group.loses_answer(backend, ident, text):
                group.note(f"{backend.id} ran {ident} {text}, its answer is lost")
                continue
            self.send(f"{answer}READY {self.state} {backend.position()}\r\n")

    def send(self, text):
        """Sends after the time of the way there and back; connections keep the order."""
        asyncio.get_running_loop().call_later(self.backend.group.round_trip, self._write, text.encode())

    def _write(self, data):
        if self.backend.is_dark:
            self.held.append(data)
        elif not self.is_silent and not self.writer.is_closing():
            self.writer.write(data)

    def write_held(self):
        held, self.held = self.held, []
        for data in held:
            self._write(data)

    def error(self, code):
        if self.transaction is not None:
            self.failed = True
        return f"ERROR {code} {self.backend.id}\r\n"

    async def statement(self, ident, text):
        backend, group = self.backend, self.backend.group
        word, _, rest = text.partition(" ")
        after = None
        if word == "AFTER":
            after, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
        if word == "STATUS":
            return await self.slotted(0.0005, self.status)
        if word == "STEPDOWN":
            if backend.role == "primary" and backend.term < int(rest):
                backend.role = "replica"
            return self.status()
        if word == "PAUSE":
            if int(rest) > backend.term:
                backend.held_term = int(rest)
            return self.status()
        if word == "RESUME":
            backend.held_term = 0
            return self.status()
        if word == "ROLLBACK":
            self.end_transaction()
            return "COMPLETE -\r\n"
        if self.failed and word != "COMMIT":
            return f"ERROR MALFORMED {backend.id}\r\n"
        lost_lead = self.transaction is not None and not self.transaction["read_only"] and (backend.role != "primary" or backend.term != self.transaction["term"])
        if lost_lead and not (word == "COMMIT" and not self.transaction["writes"]):
            if word == "COMMIT":
                self.end_transaction()
            return self.error("READONLY")
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return "COMPLETE -\r\n"
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return "COMPLETE -\r\n"
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
            return "COMPLETE -\r\n"
        if word == "DEALLOC":
            return "COMPLETE -\r\n" if self.prepared.pop(rest, None) else self.error("NOSTMT")
        if after is not None and not backend.has_applied(after):
            return self.error("LAGGING")
        if word == "BEGIN":
            if rest != "READ" and backend.role != "primary":
                return self.error("READONLY")
            self.transaction = {"read_only": rest == "READ", "term": backend.term, "writes": []}
            return "COMPLETE -\r\n"
        if word in PLAIN_LEAD:
            return await self.slotted(group.work, lambda: self.access(ident, word, rest))
        if word == "COMMIT":
            return await self.commit(ident)
        return self.error("MALFORMED")

    async def slotted(self, seconds, action):
        if not await self.backend.take_slot():
            return self.error("BUSY")
        try:
            await asyncio.sleep(seconds)
            answer = action()
        finally:
            self.backend.slots.release()
        return await answer if asyncio.iscoroutine(answer) else answer

    def status(self):
        backend = self.backend
        busy = self.backend.group.slots - self.backend.slots._value
        lag = 0 if backend.role == "primary" else int(self.backend.group.lag * 1000)
        return f"DATAROW {backend.role} {backend.term} {backend.received()} {backend.held_term} {lag} {busy} {len(backend.connections)}\r\nCOMPLETE -\r\n"

    def end_transaction(self):
        self.transaction, self.failed = None, False

    def access(self, ident, word, rest):
        backend, group = self.backend, self.backend.group
        shape = None
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.error("NOSTMT")
            kind, shape = self.prepared[name]
        else:
            kind = word
        item, _, data = rest.partition(" ")
        if kind == "WRITE" and (backend.role != "primary" or (self.transaction and self.transaction["read_only"])):
            return self.error("READONLY")
        group.runs.append({"backend": backend.id, "values": dict(self.values), "id": ident, "kind": kind, "item": item, "shape": shape, "unknown": False})
        group.note(f"{backend.id} runs {ident} {kind} {item} with {json.dumps(self.values)}")
        if kind == "READ":
            value = backend.value_of(item, self.transaction)
            return f"DATAROW {value}\r\nCOMPLETE {group.digest()}\r\n"
        if self.transaction is not None:
            self.transaction["writes"].append((item, data))
            return f"COMPLETE {group.digest()}\r\n"
        return self.write([(item, data)], ident)

    async def write(self, writes, ident):
        """Commits; with synchronous replicas it is acknowledged once one of them has received it."""
        commit = self.backend.append(writes, ident)
        if self.backend.group.sync:
            await commit.received.wait()
        return f"COMPLETE {self.backend.group.digest()}\r\n"

    async def commit(self, ident):
        if self.transaction is None:
            return self.error("MALFORMED")
        if self.failed:
            self.end_transaction()
            return f"ERROR ABORTED {self.backend.id}\r\n"
        if not await self.backend.take_slot():
            return self.error("BUSY")
        try:
            await asyncio.sleep(self.backend.group.work)
            writes = self.transaction["writes"]
            lost_lead = self.backend.role != "primary" or self.backend.term != self.transaction["term"]
            self.end_transaction()
            if writes and lost_lead:
                return f"ERROR READONLY {self.backend.id}\r\n"
        finally:
            self.backend.slots.release()
        return await self.write(writes, ident) if writes else f"COMPLETE {self.backend.group.digest()}\r\n"


class Backend:
    def __init__(self, group, index, host, zone):
        self.group, self.index, self.host, self.zone = group, index, host, zone
        self.id = f"i-{group.service}-{index + 1}"
        self.role = "primary" if index == 0 else "replica"
        self.term, self.log, self.applied = 3, [], 0
        self.port, self.seq, self.born = 0, 0, int(time.time() * 1000)
        self.state, self.is_up, self.is_dark, self.is_deaf, self.is_gone, self.held_term = "ready", False, False, False, False, 0
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.silent_since = None
        self.connections = set()
        self.slots, self.queued = asyncio.Semaphore(group.slots), 0
        self.server = None

    # the log

    def received(self):
        return "{}.{}".format(*self.log[-1].position) if self.log else "3.0"

    def position(self):
        return "{}.{}".format(*self.log[self.applied - 1].position) if self.applied else "3.0"

    def has_applied(self, text):
        term, number = map(int, text.split("."))
        reached = self.log[self.applied - 1].position if self.applied else (3, 0)
        return reached >= (term, number)

    def value_of(self, item, transaction):
        for key, data in reversed(transaction["writes"] if transaction else []):
            if key == item:
                return data
        for commit in reversed(self.log[:self.applied]):
            for key, data in reversed(commit.writes):
                if key == item:
                    return data
        return "none"

    def append(self, writes, ident):
        number = self.log[-1].number + 1 if self.log else 1
        commit = Commit(self.term, number, writes, ident)
        self.log.append(commit)
        self.applied = len(self.log)
        self.group.note(f"{self.id} commits {commit.term}.{commit.number} for {ident}")
        self.group.replicate(self)
        return commit

    def apply_to(self, size):
        self.applied = max(self.applied, min(size, len(self.log)))

    async def take_slot(self):
        if self.slots.locked():
            if self.queued >= QUEUE:
                return False
            self.queued += 1
            try:
                await self.slots.acquire()
            finally:
                self.queued -= 1
            return True
        await self.slots.acquire()
        return True

    # life

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.host, self.port, limit=4 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True
        self.report()

    async def accept(self, reader, writer):
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    def report(self):
        if not self.is_up or self.is_dark or self.is_gone:
            return
        self.seq += 1
        self.silent_since = None
        entry = {"service": self.group.service, "address": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1", "slots": self.group.slots, "state": self.state,
                 "cold_remaining_ms": 0, "db_role": self.role, "seq": self.seq, "born": self.born}
        self.group.store.set("servers", self.id, json.dumps(entry).encode())

    async def beat(self):
        while not self.is_gone:
            await asyncio.sleep(HEARTBEAT)
            if self.is_up and not self.is_dark:
                self.report()
                continue
            if self.silent_since is None:
                self.silent_since = time.monotonic() - HEARTBEAT
            elif time.monotonic() - self.silent_since >= LAPSE and self.group.store.rows.get(("servers", "", self.id), (None, 0))[0] is not None:
                self.group.store.set("servers", self.id, None)
                self.group.note(f"the entry of {self.id} is removed")

    def drop_connections(self):
        for connection in list(self.connections):
            connection.writer.transport.abort()
            connection.end_transaction()

    async def go_dark(self, seconds):
        """The machine is unreachable: nothing comes from it, nothing reaches it; its connections are dropped after 3 s."""
        self.group.note(f"{self.id} goes dark for {seconds} s")
        self.is_dark = True
        self.reachable.clear()
        old = list(self.connections)
        await asyncio.sleep(min(seconds, UNREACHABLE))
        if seconds >= UNREACHABLE:
            for connection in old:
                connection.writer.transport.abort()
            await asyncio.sleep(seconds - UNREACHABLE)
        self.is_dark = False
        self.reachable.set()
        for connection in list(self.connections):
            connection.write_held()
        self.group.note(f"{self.id} is back as {self.role}")
        self.report()
        self.group.synchronise(self)

    async def go_deaf(self, seconds):
        """A replica receives nothing for a while."""
        self.group.note(f"{self.id} receives nothing for {seconds} s")
        self.is_deaf = True
        await asyncio.sleep(seconds)
        self.is_deaf = False
        self.group.note(f"{self.id} receives again")
        self.group.synchronise(self)

    def silence(self):
        """All open connections go silent for good, without a reset; new ones work."""
        self.group.note(f"{len(self.connections)} open connections of {self.id} go silent")
        for connection in list(self.connections):
            connection.is_silent = True
            connection.end_transaction()
            self.connections.discard(connection)

    async def crash(self):
        self.is_up = False
        self.server.close()
        self.drop_connections()
        self.group.note(f"{self.id} ends")

    async def leave(self):
        """A planned shutdown."""
        self.state = "draining"
        self.report()
        self.group.note(f"{self.id} reports that it is draining")
        await asyncio.sleep(DRAIN + LINGER)
        await self.crash()
        self.is_gone = True
        self.group.store.set("servers", self.id, None)


class Group:
    """One service: a primary and its replicas."""

    def __init__(self, store, service, note, hosts, zones, slots=4, max_conns=60, lag=0.008, promote_time=0.3, work=0.004, handshake=0.012, round_trip=0.0018, sync=0):
        self.store, self.service, self.note = store, service, note
        self.slots, self.max_conns, self.lag, self.promote_time = slots, max_conns, lag, promote_time
        self.work, self.handshake, self.round_trip, self.sync = work, handshake, round_trip, sync
        self.loses_answer = lambda backend, ident, text: False
        self.runs, self.promotions, self.digests, self.tasks = [], [], 0, []
        self.backends = [Backend(self, index, host, zones[index]) for index, host in enumerate(hosts)]
        self.leader = self.backends[0]
        self.promoting = None
        store.failover = self.failover

    async def start(self):
        for backend in self.backends:
            await backend.start()
            self.tasks.append(asyncio.ensure_future(backend.beat()))

    def digest(self):
        self.digests += 1
        return f"7.{self.digests:x}.c.2b"

    def can_receive(self, backend):
        return backend.is_up and not backend.is_dark and not backend.is_deaf and not backend.held_term and backend is not self.leader

    def replicate(self, source):
        if source is self.leader and not source.is_dark:
            asyncio.get_running_loop().call_later(TRANSFER, self.deliver, source, len(source.log))

    def deliver(self, source, size):
        if source is not self.leader:
            return
        for backend in self.backends:
            if len(backend.log) < size:
                self.synchronise(backend, size)

    def synchronise(self, backend, size=None):
        """Gives a replica the log of the primary; what it had beyond the common part is rolled back."""
        source = self.leader
        if not self.can_receive(backend) or source.is_dark or not source.is_up:
            return
        common = 0
        while common < min(len(backend.log), len(source.log)) and backend.log[common] is source.log[common]:
            common += 1
        size = max(common, len(source.log) if size is None else size)
        backend.log, backend.applied = source.log[:size], min(backend.applied, common)
        for commit in backend.log[common:]:
            commit.received.set()
        backend.term = source.term
        if backend.role != "replica":
            backend.role = "replica"
            backend.report()
        asyncio.get_running_loop().call_later(self.lag, backend.apply_to, len(backend.log))

    async def failover(self, service, ident):
        backend = next((backend for backend in self.backends if backend.id == ident), None)
        if service != self.service or backend is None or not backend.is_up or backend.is_dark:
            return 409
        if backend is not self.leader and self.promoting is not backend:
            self.promoting = backend
            self.tasks.append(asyncio.ensure_future(self.promote(backend)))
        return 200

    async def promote(self, heir):
        await asyncio.sleep(self.promote_time)
        self.promoting = None
        if not heir.is_up or heir.is_dark:
            return
        old = self.leader
        known = set(map(id, heir.log))
        lost = [commit.ident for commit in old.log if id(commit) not in known]
        self.leader = heir
        heir.term = max(backend.term for backend in self.backends) + 1
        heir.role, heir.held_term, heir.applied = "primary", 0, len(heir.log)
        old.role = "replica"  # it loses the lead at that moment
        self.promotions.append({"at": time.monotonic(), "id": heir.id, "term": heir.term, "lost": lost})
        self.note(f"{heir.id} leads term {heir.term}; {len(lost)} commits of {old.id} are rolled back")
        heir.report()
        old.report()
        for backend in self.backends:
            self.synchronise(backend)
