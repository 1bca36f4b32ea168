#!/usr/bin/env python3
"""Records a transcript of the simulator adapter: 420 batches of events and its response to each.

Usage: record-adapter-transcript.py ADAPTER INPUT OUTPUT

The adapter's actions determine later events (counter responses, ends of attempts, timers), so that the transcript contains
every action that the adapter can emit: place, decline, drop-request, add-and-get, wake-at, subscribe, remark. It never emits
undo-send and test, which the decision module does not use, nor let-go, which requires knowledge of connections. The same
adapter and seed give the same files. tests/adapter_test.cpp replays INPUT and expects OUTPUT byte for byte.
"""
import heapq
import json
import random
import subprocess
import sys

SEED = 20261203
BATCHES = 420
NS = 1_000_000_000
PLAN_OF_ACCOUNT = ["metered", "ceiling", "slots", "free", "metered"]  # each customer always has the same plan


def request_class(name, idempotency, group, on_time_ns, late_worth):
    return {"name": name, "gain": 1 + len(name) % 3, "group": group, "hard-limit-ns": 4 * on_time_ns, "idempotency": idempotency,
            "late-worth": late_worth, "memory-span-ns": 600_000_000, "on-time-ns": on_time_ns, "streamed": False}


def plan(name, rate, burst, ceiling_rate, ceiling_burst, max_in_flight):
    return {"name": name, "units-per-s": rate, "store-size": burst, "ceiling-rate": ceiling_rate, "cap-depth": ceiling_burst,
            "max-out": max_in_flight, "over-worth": 0, "overrun-cost": 1, "tolerance": 0, "value-factor": 1}


def settings(index, discovery):
    return {"az": f"z{index % 2}", "zones": ["z0", "z1"], "discovery": discovery, "family": "gate", "fleet-size": 3,
            "index": index, "weights": "on" if index == 1 else "off",
            "ceilings": {"cancel": True, "connect-timeout-ns": 250_000_000, "keepalive-ns": 30 * NS, "max-attempts": 3,
                         "max-retry-after-ns": NS, "probes": True, "retry-after": True, "second-copies": False},
            "extra": {"count-limit-ns": 40_000_000, "counter": True, "counter-price": 0, "max-units": 3, "trued-up": True},
            "grades": [request_class("read", "safe", "all", 500_000_000, 0.2),
                       request_class("store", "keyed", "zone", 400_000_000, 0),
                       request_class("swap", "unsafe", "all", 300_000_000, 0)],
            "packages": [plan("metered", 20, 12, 0, 0, 0), plan("ceiling", 10, 8, 12, 10, 0),
                         plan("slots", 0, 0, 0, 0, 2), plan("free", 0, 0, 0, 0, 0)],
            "prices": {"cross-zone": 0.01, "probe": 0, "handshake": 0.02},
            "safety": {"answer-slack-ns": 10, "drain-grace-ns": 10, "fall-multiple": 2, "fall-ns": 10, "start-capacity": 0.5,
                       "warm-within-ns": 3 * NS}}


class Recorder:
    def __init__(self, adapter):
        self.random = random.Random(SEED)
        self.process = subprocess.Popen([adapter], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.input, self.output = [], []
        self.scheduled = []  # heap of (time, order, event)
        self.order = 0
        self.now = 3600 * NS + 1
        self.totals = {}
        self.counter_state = "serving"
        self.attempts = {}
        self.request_count = 0
        self.serials = 0

    def schedule(self, delay_ns, event):
        self.order += 1
        heapq.heappush(self.scheduled, (self.now + max(1, int(delay_ns)), self.order, event))

    def send_batch(self, events):
        batch = {"batch": len(self.input) + 1, "happened": events, "wall-ns": self.now}
        line = json.dumps(batch, sort_keys=True)
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()
        reply = self.process.stdout.readline()
        if not reply:
            sys.exit(f"the adapter ended with status {self.process.wait()}")
        self.input.append(line)
        self.output.append(reply.rstrip("\n"))
        for action in json.loads(reply)["out"]:
            self.react_to(action)

    def react_to(self, action):
        node, kind = action["node-id"], action["msg"]
        if kind == "wake-at":
            self.schedule(action["delay-ns"], {"msg": "tick-due", "node-id": node, "cookie": action["cookie"]})
        elif kind == "add-and-get":
            self.respond_to_counter_call(node, action)
        elif kind == "place":
            self.end_attempt(node, action)

    def respond_to_counter_call(self, node, action):
        reply = {"msg": "ledger-reply", "node-id": node, "tally-id": action["tally-id"], "level": 0, "disposition": "pass"}
        duration_ns = self.random.randint(1_000_000, 8_000_000)
        if self.counter_state == "silent":
            duration_ns, reply["disposition"] = 40_000_000, "too_slow"
        elif self.counter_state == "busy" and self.random.random() < 0.5:
            reply["disposition"] = self.random.choice(["no_room", "no_route"])
        else:
            others = self.random.choice([0, 0, 1, 2])
            total = self.totals.get(action["tally-id"], 0) + action["n"] + others
            self.totals[action["tally-id"]] = total
            reply["level"] = total
            if self.counter_state == "slow":
                duration_ns = self.random.randint(15_000_000, 39_000_000)
        reply["rtt-ns"] = duration_ns
        self.schedule(duration_ns, reply)

    def end_attempt(self, node, action):
        key = (node, action["ticket"])
        attempt = self.attempts.get(key, 0)
        self.attempts[key] = attempt + 1
        outcome = self.random.choices(["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"],
                                      [70, 6, 5, 3, 6, 5, 1, 1])[0]
        if action["server"] == 4 and self.random.random() < 0.7:
            outcome = "no_route"
        duration_ns = min(action["within-ns"], self.random.randint(5_000_000, 450_000_000))
        event = {"msg": "finished", "node-id": node, "ticket": action["ticket"], "leg": attempt, "server": action["server"],
                 "disposition": outcome, "rtt-ns": duration_ns, "finished": outcome == "pass"}
        if outcome == "pass":
            event["final-units"] = self.random.choice([0, 1, 0.5])
            event["report"] = {"active": 3, "waiting": None, "cpu": 0.5, "avg_ms": 12}
            if self.random.random() < 0.1:
                self.schedule(duration_ns / 2, {"msg": "first", "node-id": node, "ticket": action["ticket"], "leg": attempt})
        self.schedule(duration_ns, event)

    def create_request(self, node):
        self.request_count += 1
        profile = self.random.choice(["read", "read", "store", "swap"])
        ticket = f"{self.request_count:016x}"
        account = self.random.randint(1, 8)
        event = {"msg": "ask", "node-id": node, "ticket": ticket, "profile": profile,
                 "package": PLAN_OF_ACCOUNT[account % len(PLAN_OF_ACCOUNT)], "account": f"{account:016x}",
                 "ttl-ns": self.random.choice([900_000_000, 1_200_000_000, 80_000_000]),
                 "cost-units": self.random.choice([1, 1, 2, 0.5, 3]), "doors": self.random.choice([1, 2, 3]), "set-start": 0,
                 "is-retry": self.random.random() < 0.1, "mutates": profile != "read"}
        if self.random.random() < 0.05:
            self.schedule(self.random.randint(1, 300_000_000), {"msg": "gone", "node-id": node, "ticket": ticket})
        return event

    def register_page(self, number, servers):
        lines = [{"server": s, "cohort": s % 2, "phase": phase, "area": f"z{s % 2}", "class-of-host": "h",
                  "last-start-ns": start, "share": 1 + s % 3} for s, phase, start in servers]
        return {"msg": "register", "page": number, "lines": lines}

    def update_list(self, node, kind, page):
        self.serials += 1
        return {"msg": "membership", "node-id": node, "how": kind, "serial": self.serials, "page": page}

    def open_instance(self, node, index):
        return {"msg": "open-instance", "node-id": node, "salt": 77 + index,
                "facts": settings(index, "ask" if index == 1 else "push")}

    def scripted_events(self, step, nodes):
        """Returns the events of a step that do not depend on the adapter's actions."""
        if step == 0:
            return [self.open_instance("n0", 0), self.open_instance("n1", 1), self.open_instance("n2", 2),
                    self.register_page(0, [(s, 1, None) for s in range(1, 7)]), self.update_list("n0", 2, 0),
                    self.update_list("n1", 1, 0), self.update_list("n2", 1, 0)]
        if step == 60:
            return [self.register_page(1, [(2, 2, None), (3, 0, None), (7, 1, self.now), (8, 1, self.now)])] + [
                self.update_list(n, 0, 1) for n in nodes]
        if step == 120:
            return [self.update_list("n1", 3, 0), {"msg": "note-from", "node-id": "n0", "author": 1},
                    {"msg": "checked", "node-id": "n0", "server": 1, "disposition": "pass", "rtt-ns": 1000}]
        if step == 150:
            self.counter_state = "silent"
        if step == 190:
            self.counter_state = "slow"
        if step == 230:
            self.counter_state = "busy"
        if step == 260:
            self.counter_state = "serving"
            self.totals = {}  # the counter lost its totals
        if step == 300:
            return [{"msg": "detach", "node-id": "n2"}, self.open_instance("n2", 2), self.update_list("n2", 1, 0)]
        if step == 340:
            return [self.register_page(2, [(s, 0, None) for s in range(1, 9)])] + [self.update_list(n, 1, 2) for n in nodes]
        if step == 360:
            return [self.update_list(n, 1, 0) for n in nodes] + [{"msg": "of-a-later-wire", "node-id": "n0"}]
        return []

    def run(self):
        nodes = ["n0", "n1", "n2"]
        for step in range(BATCHES):
            events = self.scripted_events(step, nodes)
            if step > 0:
                self.now += self.random.randint(1_000_000, 60_000_000)
            while self.scheduled and self.scheduled[0][0] <= self.now:
                events.append(heapq.heappop(self.scheduled)[2])
            events += [self.create_request(self.random.choice(nodes)) for _ in range(self.random.choice([0, 1, 2, 4]))]
            self.send_batch(events)
        self.process.stdin.close()
        if self.process.wait() != 0:
            sys.exit("the adapter failed")


def main():
    if len(sys.argv) != 4:
        sys.exit(__doc__)
    recorder = Recorder(sys.argv[1])
    recorder.run()
    for path, lines in ((sys.argv[2], recorder.input), (sys.argv[3], recorder.output)):
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")


main()
