"""LIMIT: what a leader that was frozen still answers takes back what its successor has surveyed."""
import asyncio
import json
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.environ.get("FLEET") or os.path.join(HERE, "..", "standin-2"))
from fleet import Engine, Nodes, Store, call, LIMITS, route, run  # noqa: E402

# Two engines of 200 GB with two models each, which leaves no room for a third.
MODELS, MODEL_MB, ADAPTER_MB, PLACES, ADAPTERS = ["m0", "m1", "m2", "m3"], 72_700.0, 66.0, 8, 58
# The usual traffic, for four adapters of one model, and a burst for rare adapters of another: twice the usual, for 0.5 s before a freeze.
PER_S, BURST_PER_S, BURST_S, FREEZE_S, REST_S, LENGTH_S = 40, 45, 0.5, (3.24, 3.28), 3.0, 95


def leader_of(store):
    """The node whose claim is the newest, as the log of the lease in the store shows it."""
    records = [json.loads(r) for r in store.topics.get(("hgw-claims", 0), [])]
    claims = [r["node"] for r in records if r["kind"] == "Claim"]
    return claims[-1] if claims else None


async def main(record, trouble, tmp, groups):
    rand = random.Random()
    store = await Store().listen("127.0.0.1")
    engines = []
    for n in range(2):
        engine = await Engine(record, f"i-{n}", "models", models={f"m{n}": [], f"m{n + 2}": []}, weights=dict.fromkeys(MODELS, MODEL_MB),
                              weights_mb=200_000.0, adapter_slots=PLACES, adapter_mb=dict.fromkeys(MODELS, ADAPTER_MB), events=8).listen("127.0.0.1")
        engines.append(engine)
        store.put("keyed.servers", engine.name, engine.entry())
    models = [{"name": m, "weightsMb": MODEL_MB, "loadS": 4.2, "adapters": ADAPTERS, "adapterMb": ADAPTER_MB} for m in MODELS]
    store.put("keyed.op", "config", {
        "version": 1,
        "routes": [route("ask", "stream", "models", resumable=False, gapAimMs=150)],
        "services": [{"name": "models", "healthPath": "/health", "maxConns": 360, "engine": {
            "slots": 64, "weightsMb": 200_000.0, "adapterSlots": PLACES, "loadsPerS": 1.6, "models": models}}],
        "limits": LIMITS})
    nodes = Nodes(store.addr, tmp, record)
    groups.append(nodes)
    fronts = [nodes.start() for _ in range(3)]
    for node in fronts:
        await nodes.until_ready(node)
    by_name, frozen, clock = {node["name"]: node for node in fronts}, set(), asyncio.get_running_loop().time

    async def beat():
        while True:
            await asyncio.sleep(1.2)
            for engine in engines:
                if not engine.crashed:
                    store.put("keyed.servers", engine.name, engine.entry())

    asked, ended, tasks = 0, {}, set()

    async def ask(node, model):
        nonlocal asked
        asked += 1
        rid = f"r{asked}"
        headers = {"X-Request-Id": rid, "X-Deadline-Ms": 4000, "X-Model": model, "X-Tokens": "383,60",
                   "X-Prompt-Prefix": f"a1:92,{asked:x}00:291"}
        status, _, body = await call(node["front"], "POST", "/ask/x", headers, b"question", 5)
        what = "ended early" if status == 200 and body is None else status
        ended[what] = ended.get(what, 0) + 1
        record.line(f"{rid} {model} at {node['name']}: {what}")

    def send(node, model):
        task = asyncio.create_task(ask(node, model))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def usual():
        while True:
            send(rand.choice([node for node in fronts if node["name"] not in frozen]), f"m1/a{rand.randint(1, 4)}")
            await asyncio.sleep(1 / PER_S)

    running = [asyncio.create_task(beat())]
    await asyncio.sleep(5)
    running.append(asyncio.create_task(usual()))
    next_rare = 0

    def rare():
        nonlocal next_rare
        next_rare += 1
        return f"m0/a{(next_rare - 1) % ADAPTERS + 1}"

    start = clock()
    while clock() - start < LENGTH_S and not any(e.crashed for e in engines):
        leader = by_name[leader_of(store)]
        others = [node for node in fronts if node is not leader]
        record.line(f"{leader['name']} leads; rare adapters are asked for there")
        for _ in range(round(BURST_PER_S * (BURST_S + rand.random() / 2))):
            send(leader, rare())
            await asyncio.sleep(1 / BURST_PER_S)
        if trouble:
            frozen.add(leader["name"])
            os.kill(leader["child"].pid, signal.SIGSTOP)
            record.line(f"{leader['name']} is frozen; engine i-0 holds {engines[0].used_slots()} adapters, {engines[0].seq} orders")
            await asyncio.sleep(rand.uniform(*FREEZE_S))
            os.kill(leader["child"].pid, signal.SIGCONT)
            record.line(f"{leader['name']} goes on; {leader_of(store)} has the newest claim; engine i-0 holds {engines[0].used_slots()} adapters")
            frozen.discard(leader["name"])
        await asyncio.sleep(0.05)
        for _ in range(3):
            send(rand.choice(others), rare())
            await asyncio.sleep(0.15)
        await asyncio.sleep(REST_S)
    if tasks:
        await asyncio.wait(list(tasks), timeout=2)
    for task in running:
        task.cancel()
    record.line(f"requests {asked}: {ended}")
    return any(e.crashed for e in engines)


run(HERE, main)
