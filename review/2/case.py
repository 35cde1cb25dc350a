"""Two of four stores are retired, one after the other. One of the two that stay is lost for good and replaced
by an empty one at another address. Then the final fault of the rule RECOVER."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from rig import play  # noqa: E402
from stores import Conversations, final_fault_breaks_recover, replace, retire  # noqa: E402


def scenario(rig, trouble):
    rig.add_servers("agent-llm")
    rig.start()
    rig.configure()
    rig.wait_ready(rig.proxies, 15)
    before = Conversations(rig, 26)
    time.sleep(2)
    left = list(rig.stores)
    for _ in range(2):
        if retire(rig, left[-1]):
            left.pop()
        time.sleep(3)
    if trouble:
        replace(rig, left[-1])
    return final_fault_breaks_recover(rig, before)


sys.exit(play(HERE, scenario))
