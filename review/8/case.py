"""Two of five storage machines are dark at the same time, for 20 s, and come back with their disks. Turns that had been
answered whole are continued meanwhile and afterwards."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stage2  # noqa: E402

ZONES = {zone: "midlands" for zone in ("brum-hall", "notts-hall", "leic-hall", "cov-hall", "derby-hall")}
PROGRAMS = 40
DARK_S = 20


def make(record):
    one = {zone: 1 for zone in ZONES}
    stage = stage2.Stage(record, ZONES, {"edge": one, "core": one, "storage": one}, {"machineLosses": 1})
    stage.event_s = 0.003
    return stage


async def day(stage, trouble):
    here, there = stage.of("edge", "brum-hall")[0], stage.of("edge", "cov-hall")[0]
    first = {}
    for number in range(PROGRAMS):
        program = f"p{number:05x}"
        try_id, got = await stage.turn(here, program)
        if got.status == 200 and got.whole:
            first[program] = (try_id, time.monotonic())
    if len(first) < PROGRAMS // 2:
        raise stage2.CantRun("too few first turns were answered")
    await asyncio.sleep(5)  # more than syncS
    dark = stage.of("storage")[:2] if trouble else []
    for machine in dark:
        machine.send(signal.SIGSTOP)
    broken, began, lit = {}, time.monotonic(), False
    while time.monotonic() - began < DARK_S + 8 and any(time.monotonic() - e < 55 for _, e in first.values()):
        if not lit and time.monotonic() - began > DARK_S:
            lit = True
            for machine in dark:
                machine.send(signal.SIGCONT)
        for program, (previous, ended) in first.items():
            age = time.monotonic() - ended
            if program in broken or age > 55 or not program.endswith(str(int(time.monotonic() * 2) % 10)):
                continue
            _, got = await stage.turn(there, program, previous=previous, left_ms=2500)
            if got.status in (404, 410):
                broken[program] = (f"LOST: turn {previous}, answered whole {age:.1f} s ago, gets {got.status}, "
                                   f"{time.monotonic() - began:.1f} s after the machines went dark")
        await asyncio.sleep(0.2)
    return list(broken.values())


stage2.play(__file__, make, day, trouble=os.environ.get("TROUBLE", "1") != "0")
