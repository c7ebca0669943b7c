"""A runner leaves while a restarted entry reads the list of runners in pages."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import *  # noqa: E402,F403

DRAIN_S = 2.5  # drainMs
STABLE_S = 4.0  # stableMs
LINGER_S = 12.0  # How much longer the runner serves: "at times many seconds".
OTHERS = 520  # Registered runners of another service: the list has two pages.


async def case(record, trouble):
    deployment = Deployment(record)
    store = Store(deployment.ip(0, 1), 8142, record)
    runners = [Runner("i-0app%d" % i, "xano55b", deployment.ip(2, i), 8080, record,
                      work_s=0.2) for i in range(1, 9)]
    deployment.seeds = [deployment.ip(1, i) + ":8146" for i in (1, 2)]
    front = deployment.add_entry("entry-1", deployment.ip(1, 1))
    other_front = deployment.add_entry("entry-2", deployment.ip(1, 2))
    leaving = runners[0]
    seen = {}
    answers = []
    calls = set()
    stopping = asyncio.Event()

    async def between_pages(kind, after, has_more):
        # The runner's report reaches the store after the first page was read.
        if kind == "servers" and not after and has_more and "at" not in seen:
            seen["at"] = await store.put(
                "servers", leaving.name, leaving.registration(state="draining", seq=2))
            record("the store acknowledges that %s is draining (revision %d)" % (
                leaving.name, store.revision))

    async def traffic():
        while not stopping.is_set():
            one = asyncio.create_task(
                call(record, front, "ficu95.example", "POST", "/pule252/2f", 5000, body=b"{}"))
            calls.add(one)
            one.add_done_callback(lambda t: (calls.discard(t), answers.append(t.result())))
            await asyncio.sleep(0.05)

    try:
        await store.open()
        for runner in runners:
            await runner.open()
            await store.put("servers", runner.name, runner.registration())
        for i in range(OTHERS):
            await store.put("servers", "i-9other%03d" % i, {
                "service": "wuno96b", "address": deployment.ip(4 + i // 250, 1 + i % 250) + ":8080",
                "zone": "z1", "version": "v1", "slots": 6, "state": "ready",
                "coldRemainingMs": 0, "seq": 1})
        await store.put("config", "main", {
            "version": 7, "limits": limits(),
            "routes": [route("r-make", "/pule252/", "unsafe", "xano55b")],
            "services": [{"name": "xano55b", "healthPath": "/health", "maxConns": 110,
                          "protocol": "h1", "tls": False}]})
        for name in ("entry-1", "entry-2"):
            await deployment.start(name)
        await deployment.wait_ready([front.replace(":8144", ":8140"),
                                     other_front.replace(":8144", ":8140")])
        sender = asyncio.create_task(traffic())
        await asyncio.sleep(5)
        if trouble:
            store.after_page = between_pages
            deployment.signal("entry-1", signal.SIGTERM)  # roll_term
            await deployment.wait("entry-1")
            await deployment.start("entry-1")
            await deployment.wait_ready([front.replace(":8144", ":8140")])
        if "at" not in seen:
            seen["at"] = await store.put(
                "servers", leaving.name, leaving.registration(state="draining", seq=2))
            record("the store acknowledges that %s is draining" % leaving.name)
        ready_at = time.monotonic()
        await asyncio.sleep(seen["at"] + LINGER_S - time.monotonic())
        await store.delete("servers", leaving.name)
        await leaving.close()
        record("%s exits" % leaving.name)
        await asyncio.sleep(1)
        stopping.set()
        await sender
        if calls:
            await asyncio.wait(set(calls))
    finally:
        await deployment.end()
        for server in [store] + runners:
            await server.close()
    bound = max(seen["at"] + DRAIN_S, ready_at + STABLE_S)
    late = [rid for at, rid in leaving.arrivals if at > bound]
    record("DRAIN: %d requests reached %s later than drainMs after the store had acknowledged "
           "that it is draining, sent by a machine in touch" % (len(late), leaving.name))
    cut = [a for a in answers if a.status == 502 and a.id in leaving.runs]
    record("%d orders that %s had begun were cut off as it exited, and answered 502" % (
        len(cut), leaving.name))
    if len([a for a in answers if a.status == 200]) < 100:
        raise CannotRun("no traffic")
    return bool(late)


run_case(case, os.path.join(HERE, "record.txt"))
