"""The policy of a queue with advice allows the workers of one rack only.

The pool has 120 workers, 8 a rack, less than one of the large deployment. The allowed
rack is the last one. LOST is broken if, finish_s after the end of the traffic,
the accepted job has nothing running for 3 s while the workers are idle.
Without the trouble the policy allows all workers.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in"))
from small_site import play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
WORKERS = 120
RACK = 8
FINISH_S = 14
IDLE_S = 3


async def script(site):
    advised = site.route("rebuild", "baan", advice={"decide_ms": 20, "each_ms": 1, "valid_ms": 3000})
    await site.start(["baan"], WORKERS, 3, [advised], advice=True, rack=RACK)
    if not await site.wait_ready(30):
        return None
    await asyncio.sleep(5)
    allowed = {w.id for w in site.workers if w.rack == site.workers[-1].rack or not site.trouble}
    site.record.add("policy", allowed=len(allowed), of=WORKERS)
    site.may_run = allowed.__contains__
    job = {"spec": "1000 ticket", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1000}]}
    status, _ = await site.request(0, "POST", "rebuild", JOB, job)
    if status != 200:
        return None
    await asyncio.sleep(FINISH_S + 2 * IDLE_S)
    _, state = await site.request(1, "GET", "rebuild", JOB)
    advised = site.record.find("advised")
    site.record.add("count", starts=len(site.record.find("started")), calls_for_advice=len(advised),
                    most_workers_named=max([f["workers"] for _, f in advised], default=0), state=state.get("state"))
    return bool(site.record.find("started"))


play(script, HERE)
