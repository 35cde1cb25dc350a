"""What the cases about stores have in common: conversations beside what is done to stores, retirement, the loss
of a store for good, and the final fault with the look that RECOVER takes."""

import signal
import threading
import time

from rig import CannotRun

RECOVERY_S = 12  # recoveryS of the site
LOOK_S = 6       # requests are sent for so long after it
REPLACED_AFTER_S = 2


def retire(rig, store):
    """Whether it was emptied and taken away; not, where the answer is 409."""
    status = rig.order("/retire/%s/begin" % store.name, '{"withinS":8}')
    if status == 409:
        return False
    if status != 200:
        raise CannotRun("retire: %s" % status)
    until = time.monotonic() + 12
    while time.monotonic() < until:
        if rig.asked("/retire/%s/read" % store.name) == {"state": "finished"}:
            store.signal(signal.SIGKILL)
            store.wait(5)
            rig.remove(store)
            return True
        time.sleep(0.2)
    raise CannotRun("%s was not emptied" % store.name)


def replace(rig, store):
    """It is gone for good, with its disk; an empty one starts at another address."""
    store.signal(signal.SIGKILL)
    store.wait(5)
    rig.remove(store)
    time.sleep(REPLACED_AFTER_S)
    successor = rig.spare_store(store)
    successor.start()
    return successor


class Conversations:
    """Programs of three turns each, one after the other, in eight lines over all proxies."""

    def __init__(self, rig, seconds):
        self.rig, self.until, self.turns = rig, time.monotonic() + seconds, []
        self.threads = [threading.Thread(target=self.line, args=(n,)) for n in range(8)]
        for thread in self.threads:
            thread.start()

    def line(self, number):
        proxy = self.rig.proxies[number % len(self.rig.proxies)]
        while time.monotonic() < self.until:
            program = self.rig.new_id()
            previous = None
            for _ in range(3):
                _, _, whole, try_id = self.rig.turn(proxy, program, program, "say", previous)
                self.turns.append(whole)
                if not whole:
                    break
                previous = try_id
                time.sleep(0.05)
            time.sleep(0.2)

    def served(self):
        for thread in self.threads:
            thread.join()
        return sum(self.turns) / max(1, len(self.turns))


def final_fault_breaks_recover(rig, before, wiped=None):
    """Every process is killed and started again, one store without its disk if it is named: the rule RECOVER as
    written."""
    served_before = before.served()
    for process in rig.processes:
        process.signal(signal.SIGKILL)
    for process in rig.processes:
        process.wait(5)
    if wiped:
        rig.wipe(wiped)
    time.sleep(1)
    for process in rig.processes:
        process.restarted()
    time.sleep(RECOVERY_S)
    after = Conversations(rig, LOOK_S)
    served_after = after.served()
    rig.record.line("before the final fault %.2f of %d requests were served; from %d s after the machines were back "
                    "%.2f of %d" % (served_before, len(before.turns), RECOVERY_S, served_after, len(after.turns)))
    if served_before < 0.25:
        raise CannotRun("under a quarter was served before the final fault: RECOVER says nothing")
    return served_after < 0.25
