"""Handles that lapse at once, and a runner that sends an answer twice."""

import asyncio
import collections
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import *  # noqa: E402,F403

LOAD_PER_S = 40
LOAD_S = 13.0
# Seconds since the start of the load. The doses are those of the site file.
SHORT = (5.0, 9.0)  # handle_short: for_s 4.0, at one of four runners (share 0.35)
EXTRA = (4.5, 9.5)  # garble, "extra late": for_s 5.0, at two of four (share 0.6)
EXTRA_SHARE = 0.03  # x: of the answers of each of these runners in that time


async def case(record, trouble):
    deployment = Deployment(record)
    store = Store(deployment.ip(0, 1), 8142, record)
    fleet = {}
    stages = ["prefill", "prefill", "decode", "decode"]
    runners = [ModelRunner("i-llm%d" % (i + 1), "dele69a", deployment.ip(2, i + 1), 8080, record,
                           stage, fleet) for i, stage in enumerate(stages)]
    deployment.seeds = [deployment.ip(1, 1) + ":8146"]
    front = deployment.add_entry("entry-1", deployment.ip(1, 1))
    doubled = []
    answers = []
    started = 0.0

    def doubles(runner):
        given = doubled_here = 0

        def decide(rid, status):
            nonlocal given, doubled_here
            if not EXTRA[0] <= time.monotonic() - started < EXTRA[1]:
                return False
            given += 1
            if status != 503 or doubled_here + 1 > EXTRA_SHARE * given:
                return False
            doubled_here += 1
            doubled.append(rid)
            record("runner %s will send its answer to %s a second time" % (runner.name, rid))
            return True
        return decide

    async def one():
        answers.append(await call(
            record, front, "ficu95.example", "POST", "/lohu930/2f", 14000,
            headers={"X-Model": "m", "X-Token-Counts": "5000,70",
                     "X-Prompt-Prefix": "5c1e07a2:200,%08x:4800" % len(answers)}, body=b"{}"))

    try:
        await store.open()
        for i, runner in enumerate(runners):
            await runner.open()
            await store.put("servers", runner.name, runner.registration())
            deployment.add_agent("agent-%d" % (i + 1), runner.host, runner.address)
        await store.put("config", "main", {
            "version": 7, "limits": limits(),
            "routes": [route("r-digest", "/lohu930/", "streaming", "dele69a", timeoutMs=14000,
                             targetLatencyMs=900, targetGapMs=300, priority=1, sticky=True,
                             resumable=False)],
            "services": [{"name": "dele69a", "healthPath": "/health", "maxConns": 370,
                          "protocol": "h1", "tls": False,
                          "engine": {"slots": 64, "kvTokens": 101752, "kvTokenBytes": 35136,
                                     "linkMbps": 5900000.0, "handleTtlS": 0.5, "switchS": 6.0,
                                     "models": [{"name": "m"}]}}]})
        for i in range(len(runners)):
            await deployment.start("agent-%d" % (i + 1))
        await deployment.start("entry-1")
        await deployment.wait_ready([front.replace(":8144", ":8140")])
        await asyncio.sleep(5)
        calls = []
        started = time.monotonic()
        if trouble:
            for runner in runners[2:]:
                runner.doubles = doubles(runner)
        for n in range(int(LOAD_S * LOAD_PER_S)):
            at = time.monotonic() - started
            runners[0].handles_lapse = trouble and SHORT[0] <= at < SHORT[1]
            calls.append(asyncio.create_task(one()))
            await asyncio.sleep(started + (n + 1) / LOAD_PER_S - time.monotonic())
        await asyncio.wait(calls)
    finally:
        await deployment.end()
        for server in [store] + runners:
            await server.close()
    runs = collections.Counter(rid for runner in runners for rid in runner.runs)
    twice = [rid for rid, count in runs.items() if count > 1]
    good = [a for a in answers if a.status == 200 and a.complete]
    record("%d of %d streams were complete; answers of decode runners: %s, sent twice: %d" % (
        len(good), len(answers), [r.answers for r in runners[2:]], len(doubled)))
    for rid in twice:
        record("TWICE: %s has run %d times" % (rid, runs[rid]))
    for answer in answers:
        if answer.status in (408, 421, 429, 503) and runs[answer.id]:
            record("REFUSED: %s was answered %d and has run" % (answer.id, answer.status))
    if len(good) < 100:
        raise CannotRun("no traffic")
    return bool(twice)


run_case(case, os.path.join(HERE, "record.txt"))
