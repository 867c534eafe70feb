"""Workers drain while a dispatcher hands its zone over to a stronger machine that was added.

A machine with three times the processor share is added, and the dispatcher hands the zone over: it
finishes its own jobs. Then workers drain. DRAIN asks that a machine in touch starts no task later
than `drainMs` after that was accepted. With TROUBLE=0 no machine is added.
"""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins  # noqa: E402

STEP_S = 0.5


async def case(record, trouble):
    site = standins.Site(record, ["zone-a"])
    await site.start_store()
    queue = {"service": "pool", "stretch": 4, "timeoutMs": 15000}
    site.store.put_config(3, {"q": queue}, {"pool": True})
    for _ in range(14):
        await site.add_worker("zone-a")
    for _ in range(2):
        site.add_vm("zone-a", 0.2)

    def check(worker, run, job, step):
        if worker.draining_since is None:
            return
        age = time.monotonic() - worker.draining_since
        record.note(f"{run.task} starts on {worker.id}, which drains for {age:.3f} s")
        if age > standins.DRAIN_MS / 1000:
            record.violate("DRAIN", f"{run.task} starts on {worker.id} {age:.3f} s after the store "
                           "has accepted that it is draining")

    site.start_checks.append(check)
    await site.wait_until_ready()
    await asyncio.sleep(standins.CONTACT_MS / 1000)

    # One long task, and short tasks one after another.
    steps = [{"count": 1, "cpu": 8000, "memMb": 64, "estimateMs": 9000}]
    steps.append({"count": 1, "cpu": 8000, "memMb": 64, "estimateMs": int(STEP_S * 1000)})
    for n in range(1, 20):
        steps.append({"count": 1, "cpu": 8000, "memMb": 64, "estimateMs": int(STEP_S * 1000),
                      "after": [n]})
    jobs = []
    for vm in site.vms:
        job = site.new_job("q", steps, [9.0] + [STEP_S] * 20, 15000)
        jobs.append(site.spawn(site.submit(vm, job)))
    await asyncio.sleep(1)
    if trouble:
        site.add_vm("zone-a", 0.62)
    await asyncio.sleep(3)
    # At most two of the fourteen workers drain, those that have runs first.
    by_runs = sorted(site.workers, key=lambda worker: -len(worker.running))
    for worker in by_runs[:2]:
        worker.drain()
    await asyncio.gather(*jobs)


standins.main(HERE, case)
