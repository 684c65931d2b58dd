"""A queue with advice leaves the configuration while a job of it is at work.

The job has two steps; the second one's turn comes after the route is removed.
LOST is broken if, finish_s after the end of the traffic, the job has nothing
running for 3 s while a task's turn has come and the workers are idle.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in"))
from small_site import play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
FINISH_S = 14
IDLE_S = 3


async def script(site):
    kept = [site.route("other", "baan"), site.route("weg", "weg")]
    advised = site.route("rebuild", "baan", advice={"decide_ms": 20, "each_ms": 1, "valid_ms": 3000})
    await site.start(["baan", "weg"], 3, 3, [advised, *kept], advice=True)
    if not await site.wait_ready():
        return None
    await asyncio.sleep(4)
    step = {"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1500}
    job = {"spec": "1500 ticket", "steps": [step, {**step, "after": [0]}]}
    status, _ = await site.request(0, "POST", "rebuild", JOB, job)
    if status != 200:
        return None
    await asyncio.sleep(0.5)
    if site.trouble:
        site.configure(kept)
    traffic_ends = site.record.now()
    await asyncio.sleep(FINISH_S + 2 * IDLE_S)
    first = [f for _, f in site.record.find("ended", how="done") if f["task"].split(".")[2] == "0"]
    if len({f["task"] for f in first}) < 2:
        return None  # the second step's turn has not come
    done = {f["task"] for _, f in site.record.find("ended", how="done")}
    late_starts = [at for at, _ in site.record.find("started") if at > traffic_ends + FINISH_S]
    refused = len(site.record.find("refused", reason="ticket"))
    site.record.add("count", done=len(done), refused_without_ticket=refused,
                    at_work=sum(len(w.runs) for w in site.workers))
    return len(done) == 4 or bool(late_starts)


play(script, HERE)
