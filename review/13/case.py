"""A consumer leaves while a statement that the daemon issues itself fails: what is its link worth to the next consumer?"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standin-3"))
from backends import Group
from deployment import Caller, Fleet, configuration, play
from store import Store

TROUBLE = os.environ.get("TROUBLE") != "0"
DARK = 2.0
READS = 60
ZONES = ["ie-west-a", "ie-west-b", "ie-west-c"]
VALUES = {"mode": "strict"}


async def write_now_and_then(note, gateway, name):
    """A consumer whose writes keep the daemons busy at the primary."""
    caller, number = Caller(note, name), 0
    while True:
        try:
            if caller.writer is None:
                await caller.open(gateway, "bookings")
            number += 1
            await caller.ask(f"WRITE {name} d{number}")
        except (OSError, asyncio.TimeoutError):
            caller.close()
        await asyncio.sleep(0.03)


async def run(note):
    store = Store()
    port = await store.serve("127.0.3.1")
    group = Group(store, "recoveries", note, ["127.0.4.1", "127.0.4.2", "127.0.4.3"], ZONES)
    await group.start()
    routes = [("bookings", "recoveries", "primary", {}), ("lookups", "recoveries", "bounded_staleness", {"max_staleness_ms": 1500})]
    store.set("op", "config", configuration(7, routes, [("recoveries", 60, 0)]))
    fleet = Fleet(note, 3, f"127.0.3.1:{port}", f"127.0.3.1:{port}", {}, ZONES)
    writers = []
    try:
        await fleet.start()
        writers = [asyncio.ensure_future(write_now_and_then(note, gateway, f"writer-{gateway.node}")) for gateway in fleet.gateways]
        await asyncio.sleep(3)
        code = await observe(note, group, fleet.gateways[0])
    finally:
        for writer in writers:
            writer.cancel()
        await fleet.end()
    return code


async def observe(note, group, gateway):
    first = group.leader
    leaver = Caller(note, "leaver")
    await leaver.open(gateway, "bookings")
    for text in ("BEGIN", "WRITE k1 d1"):
        if not (await leaver.ask(text))["ok"]:
            return 2
    if TROUBLE:
        asyncio.ensure_future(first.go_dark(DARK))
    await asyncio.sleep(DARK + 0.8)
    if TROUBLE and group.leader is first:
        note("the primary was not replaced")
        return 2
    await leaver.ask("SET mode strict")  # the daemon answers it itself
    leaver.send("READ k1")  # the daemon sends SET first
    leaver.close()
    await asyncio.sleep(1.5)

    reader = Caller(note, "reader")
    await reader.open(gateway, "lookups")
    if not (await reader.ask("SET mode strict"))["ok"]:
        return 2
    answered, idents = 0, set()
    for _ in range(READS):
        idents.update(reader.send("READ k2"))
        answered += (await reader.answer())["ok"]
        await asyncio.sleep(0.02)
    wrong = [entry for entry in group.runs if entry["id"] in idents and entry["values"] != VALUES]
    for entry in wrong:
        note(f"BROKEN PINNED: {entry['backend']} ran {entry['id']} with {entry['values']}, acknowledged were {VALUES}")
    note(f"{answered} of {READS} reads were answered with success, {len(wrong)} ran with other session values than those acknowledged")
    if wrong:
        return 1
    return 0 if answered >= READS / 2 else 2


play(Path(__file__).resolve().parent, run, 60)
