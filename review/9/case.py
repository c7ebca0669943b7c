"""Streams are taken up again after a manifest has changed the weights of their route."""
import asyncio
import copy
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from harness import *  # noqa: E402,F403

ENGINES = [("e1", "prefill", "llm"), ("e2", "decode", "llm"), ("e3", "decode", "llm"),
           ("f1", "prefill", "llm-2"), ("f2", "decode", "llm-2"), ("f3", "decode", "llm-2")]
SERVICES_2 = SERVICES + [dict(SERVICES[0], name="llm-2")]
STREAMS = 30
NEW_STREAMS = 20


def split(first, second):
    """Routes of which the resumable one is split between the two services."""
    routes = copy.deepcopy(ROUTES)
    del routes[0]["service"]
    routes[0]["trafficSplit"] = [{"service": "llm", "weight": first},
                                 {"service": "llm-2", "weight": second}]
    return routes


async def case(record, trouble):
    deployment = Deployment(record, 3, ENGINES)
    try:
        await deployment.start(plain=0, routes=split(95, 5), services=SERVICES_2)
        for runner in deployment.runners.values():
            runner.event_gap = 0.1
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
            second = await stream(deployment.entry_ips[1 + i % 2], again, pieces=100,
                                  resumes=rid, last=first.events[-1][0])
            record.write("take-up %s of %s after event %d at %s: status %s, %d events" % (
                again, rid, first.events[-1][0], first.events[-1][1], second.status,
                len(second.events)))
            taken.append(second)

        async def new_stream(i):
            await asyncio.sleep(6 + 0.1 * i)
            result = await stream(deployment.entry_ips[1 + i % 2], new_id())
            record.write("new stream: status %s, %d events" % (result.status, len(result.events)))
            fresh.append(result)

        tasks = [asyncio.create_task(consumer(i)) for i in range(STREAMS)]
        tasks += [asyncio.create_task(new_stream(i)) for i in range(NEW_STREAMS)]
        await asyncio.sleep(2.5)
        if trouble:
            record.write("a manifest changes the weights from 95:5 to 5:95")
            deployment.write_manifest(split(5, 95), SERVICES_2)
        await asyncio.sleep(3.5)
        deployment.daemons["entry-1"].signal(signal.SIGKILL)
        await deployment.daemons["entry-1"].process.wait()
        await deployment.daemons["entry-1"].start()
        await asyncio.gather(*tasks)
        return judge_take_ups(record, taken, fresh)
    finally:
        await deployment.stop()


main(case, FOLDER)
