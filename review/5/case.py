"""A route is removed while a job that can never be done is at work.

Each run of the job's tasks ends `failed`. The route's max_attempts is 2. The
rule BUDGET is broken if a task is started after two of its runs have ended
`failed` and these ends have been taken note of.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in"))
from small_site import play  # noqa: E402

MAX_ATTEMPTS = 2
JOB = "5c0e7a21d94b36f8"


def starts_over_budget(record):
    """Starts of a task after MAX_ATTEMPTS of its runs had ended failed; only
    ends that were taken note of, then or later, count."""
    noted = {(f["task"], f["run"]) for _, f in record.find("noted", how="failed")}
    over = []
    for at, start in record.find("started"):
        ends = [1 for when, f in record.find("ended", task=start["task"], how="failed")
                if when < at and (f["task"], f["run"]) in noted]
        if len(ends) >= MAX_ATTEMPTS:
            over.append((round(at, 3), start["task"], start["run"], len(ends)))
    return over


async def script(site):
    kept = [site.route("other", "baan"), site.route("weg", "weg")]
    await site.start(["baan", "weg"], 3, 3, [site.route("poisoned", "baan", max_attempts=MAX_ATTEMPTS), *kept])
    if not await site.wait_ready():
        return None
    await asyncio.sleep(4)
    job = {"spec": "700 failed", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 700}]}
    status, _ = await site.request(0, "POST", "poisoned", JOB, job)
    if status != 200:
        return None
    await asyncio.sleep(0.3)
    if site.trouble:
        site.configure(kept)
    await asyncio.sleep(15)
    if not site.trouble:
        status, state = await site.request(1, "GET", "poisoned", JOB)
        if state.get("state") != "failed":
            return None
    over = starts_over_budget(site.record)
    for start in over:
        site.record.add("over_budget", start=start)
    site.record.add("count", starts=len(site.record.find("started")), over_budget=len(over))
    return not over


play(script, HERE)
