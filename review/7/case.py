"""One zone is lost with its disks, as `survive.zones=1` says may be; the acknowledged configuration is read back."""

import asyncio
import os
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stage2  # noqa: E402

ZONES = {"brum-hall": "midlands", "notts-hall": "midlands", "leic-hall": "midlands"}


def make(record):
    one = {zone: 1 for zone in ZONES}
    return stage2.Stage(record, ZONES, {"edge": one, "core": {**one, "brum-hall": 2}, "storage": one}, {"zones": 1})


async def day(stage, trouble):
    await asyncio.sleep(8)  # the fourth control process has joined
    got = await stage.order(stage.configuration(7, 5000), 1)
    if got is None or got.status != 200:
        raise stage2.CantRun("the change was not acknowledged")
    await asyncio.sleep(6)  # more than syncS
    if trouble:
        lost = [m for m in stage.machines if m.zone == "brum-hall"]
        for machine in lost:
            machine.kill()
        for machine in lost:
            if machine.kind != "edge":
                machine.wipe()
        await asyncio.sleep(2)
        for machine in lost:
            machine.start()
    await asyncio.sleep(13)  # recoveryS, and a second
    until, seen = time.monotonic() + 20, []
    while time.monotonic() < until:
        for core in stage.of("core"):
            status, version = await stage.read_settings(core)
            if status == 200:
                seen.append(version)
        await asyncio.sleep(0.5)
    served = 0
    for number in range(20):
        for edge in stage.of("edge", "brum-hall"):
            _, got = await stage.request(edge, f"/note/{number}")
            served += got.status == 200
    stage.record("served by the sidecar that came back:", served, "of 20")
    if not seen:
        return ["LOST: version 7 was acknowledged and does not come, at any of the control processes, for 20 s"]
    return [f"CONFIG: version {v} is read back, 7 was acknowledged" for v in set(seen) if v != 7]


stage2.play(__file__, make, day, trouble=os.environ.get("TROUBLE", "1") != "0")
