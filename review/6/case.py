"""One region is lost with its disks, as `survive.regionLosses=1` says may be; turns that had been answered whole
are continued elsewhere."""

import asyncio
import os
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stage2  # noqa: E402

ZONES = {"brum-hall": "west", "cov-hall": "west", "notts-hall": "east", "leic-hall": "east",
         "york-hall": "north", "hull-hall": "north"}
PROGRAMS = 40


def make(record):
    one = {zone: 1 for zone in ZONES}
    return stage2.Stage(record, ZONES, {"edge": one, "core": one, "storage": one}, {"regionLosses": 1})


async def day(stage, trouble):
    here, there = stage.of("edge", "brum-hall")[0], stage.of("edge", "notts-hall")[0]
    first = {}
    for number in range(PROGRAMS):
        program = f"p{number:05x}"
        try_id, got = await stage.turn(here, program)
        if got.status == 200 and got.whole:
            first[program] = (try_id, time.monotonic())
    if len(first) < PROGRAMS // 2:
        raise stage2.CantRun("too few first turns were answered")
    await asyncio.sleep(6)  # more than syncS
    if trouble:
        lost = [m for m in stage.machines if stage.regions[m.zone] == "west"]
        for machine in lost:
            machine.kill()
        for machine in lost:
            if machine.kind != "edge":
                machine.wipe()
        await asyncio.sleep(2)
        for machine in lost:
            machine.start()
    await asyncio.sleep(13)  # recoveryS, and a second
    broken = []
    for program, (previous, ended) in first.items():
        for _ in range(3):
            age = time.monotonic() - ended
            if age > 55:
                break
            _, got = await stage.turn(there, program, previous=previous)
            if got.status in (404, 410):
                broken.append(f"LOST: turn {previous}, answered whole {age:.1f} s ago, gets {got.status}")
            if got.status is not None and got.status != 503:
                break
            await asyncio.sleep(0.3)
    return broken


stage2.play(__file__, make, day, trouble=os.environ.get("TROUBLE", "1") != "0")
