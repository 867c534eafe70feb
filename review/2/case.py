"""A worker crashes and starts again under its id as another kind, without the required label.

Six of twelve workers have the label that all tasks require. One of them crashes and is back after
two seconds. Its `born` in each report says that this is a new lifetime. The check counts only
starts that arrive 200 ms and more after the first such report was sent. With TROUBLE=0 the worker
comes back as the kind that it was.
"""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins  # noqa: E402

# A start that arrives later than this after the report was sent by one that could know it.
KNOWN_AFTER_S = 0.2
DOWN_S = 2.0


async def case(record, trouble):
    site = standins.Site(record, ["zone-a"])
    await site.start_store()
    site.store.put_config(3, {"q": {"service": "pool", "stretch": 4}}, {"pool": True})
    for n in range(12):
        await site.add_worker("zone-a", labels=("kind-a" if n < 6 else "kind-b", f"rack-{n % 3}"))
    for _ in range(3):
        site.add_vm("zone-a", 0.25)

    def check(worker, run, job, step):
        label = step["requiredLabel"]
        if label in worker.labels:
            return
        age = time.monotonic() - worker.answered_at if worker.answered_at else 0.0
        record.count("starts without the label")
        if age < KNOWN_AFTER_S:
            record.note(f"{run.task} on {worker.id} without {label}: not counted, {age:.3f} s "
                        "after the first report")
            return
        record.violate("ROUTE", f"{run.task} requires {label}, {worker.id} has {worker.labels}; "
                       f"its first report was sent {age:.3f} s before")

    site.start_checks.append(check)
    await site.wait_until_ready()
    await asyncio.sleep(1)

    async def traffic(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            step = {"count": 4, "cpu": 8000, "memMb": 64, "estimateMs": 200,
                    "requiredLabel": "kind-a"}
            job = site.new_job("q", [step], [0.2])
            site.spawn(site.submit(random.choice(site.vms), job))
            await asyncio.sleep(0.04)

    load = site.spawn(traffic(16))
    for worker in site.workers[:3]:
        await asyncio.sleep(2)
        worker.crash()
        await asyncio.sleep(DOWN_S)
        labels = worker.labels
        if trouble:
            worker.labels = ["kind-b", labels[1]]
        await worker.start()
    await load
    await asyncio.sleep(2)


standins.main(HERE, case)
