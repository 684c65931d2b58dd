"""A queue is taken out of the configuration and comes back with another service.

A job is accepted by the queue and at work. One version removes the route, a
later one adds a route of the same host and prefix, whose service is another
pool. Then the client's request arrives once more, seconds after its 2xx, and
the job's state is asked for. TWICE is broken if a task is started while a run
of it is at work, LOST if a GET for the job is answered 410.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in"))
from small_site import play  # noqa: E402

JOB = "5c0e7a21d94b36f8"


def overlapping_runs(record):
    """Pairs of runs of one task that were at work at the same time."""
    runs = []
    for at, start in record.find("started"):
        ends = [when for when, _ in record.find("ended", task=start["task"], run=start["run"],
                                                worker=start["worker"])]
        runs.append((at, ends[0] if ends else record.now(), start))
    return [(a["task"], a["worker"], a["run"], b["worker"], b["run"])
            for i, (begin, end, a) in enumerate(runs) for begin2, end2, b in runs[i + 1:]
            if a["task"] == b["task"] and begin < end2 and begin2 < end]


async def script(site):
    other = site.route("other", "baan")
    await site.start(["baan", "weg"], 3, 3, [site.route("rescore", "baan"), other])
    if not await site.wait_ready():
        return None
    await asyncio.sleep(4)
    job = {"spec": "16000 done", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 16000}]}
    status, _ = await site.request(0, "POST", "rescore", JOB, job)
    if status != 200:
        return None
    await asyncio.sleep(1)
    if site.trouble:
        site.configure([other])
        await asyncio.sleep(3)
        site.configure([site.route("rescore", "weg"), other])
    await asyncio.sleep(3)
    gone, _ = await site.request(1, "GET", "rescore", JOB)
    await site.request(2, "POST", "rescore", JOB, job)
    await asyncio.sleep(4)
    await site.request(0, "GET", "rescore", JOB)
    twice = overlapping_runs(site.record)
    for pair in twice:
        site.record.add("two_runs_of_one_task", pair=pair)
    if gone == 410:
        site.record.add("accepted_job_answered_410", job=JOB)
    return not twice and gone != 410


play(script, HERE)
