"""One entry and all agents are killed at once; the other entries take streams up."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from harness import *  # noqa: E402,F403

ENGINES = [("e1", "prefill"), ("e2", "decode"), ("e3", "decode")]
ENTRIES = 5
STREAMS = 24


async def case(record, trouble):
    deployment = Deployment(record, ENTRIES, ENGINES)
    try:
        await deployment.start(plain=0)
        for runner in deployment.runners.values():
            runner.event_gap = 0.08
        await asyncio.sleep(4)
        taken, fresh = [], []

        async def consumer(i):
            rid = new_id()
            first = await stream(deployment.entry_ips[0], rid, pieces=100)
            record.write("stream %s: status %s, %d events, complete: %s" % (
                rid, first.status, len(first.events), first.complete))
            if first.complete or not first.events:
                return
            again = new_id()
            second = await stream(deployment.entry_ips[1 + i % (ENTRIES - 1)], again, pieces=100,
                                  resumes=rid, last=first.events[-1][0])
            record.write("take-up %s of %s after event %d: status %s, %d events" % (
                again, rid, first.events[-1][0], second.status, len(second.events)))
            taken.append(second)

        async def new_stream(i):
            await asyncio.sleep(4.05 + 0.1 * i)
            result = await stream(deployment.entry_ips[1 + i % (ENTRIES - 1)], new_id())
            record.write("new stream: status %s, %d events" % (result.status, len(result.events)))
            fresh.append(result)

        tasks = [asyncio.create_task(consumer(i)) for i in range(STREAMS)]
        tasks += [asyncio.create_task(new_stream(i)) for i in range(STREAMS)]
        await asyncio.sleep(4)
        killed = ["entry-1"]
        if trouble:
            killed += ["agent-1", "agent-2", "agent-3"]
        for name in killed:
            deployment.daemons[name].signal(signal.SIGKILL)
        await asyncio.sleep(0.3)
        for name in killed:
            await deployment.daemons[name].process.wait()
            await deployment.daemons[name].start()
        await asyncio.gather(*tasks)
        return judge_take_ups(record, taken, fresh)
    finally:
        await deployment.stop()


main(case, FOLDER)
