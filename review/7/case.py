"""LIMIT: with two services of models, the places of the larger engines are taken for those of the smaller ones."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from fleet import Engine, Nodes, Store, call, LIMITS, route, run  # noqa: E402

WEIGHTS_MB, MODEL_MB, ADAPTER_MB = 200_000.0, 72_700.0, 66.0
# Service, its model, and the places of its engines: those of the two customers of the page.
SERVICES = [("chat", "m0", 8), ("draft", "d0", 5)]
PER_S, BURST_AT_S, LENGTH_S = 10, 4.0, 10.0
# Requests that the rare adapters get at the same moment: those of 1.2 s of the usual traffic.
BURST = 12


async def main(record, trouble, tmp, groups):
    rand = random.Random(1)
    store = await Store().listen("127.0.0.1")
    engines = []
    for service, model, places in SERVICES:
        for n in range(2):
            engine = await Engine(
                record, f"{service}-{n}", service, models={model: []}, weights={model: MODEL_MB}, weights_mb=WEIGHTS_MB,
                adapter_slots=places, adapter_mb={model: ADAPTER_MB}).listen("127.0.0.1")
            engines.append(engine)
            store.put("keyed.servers", engine.name, engine.entry())

    def pool(model, places):
        return {"slots": 64, "weightsMb": WEIGHTS_MB, "adapterSlots": places, "loadsPerS": 1.6, "models": [
            {"name": model, "weightsMb": MODEL_MB, "loadS": 4.2, "adapters": 15, "adapterMb": ADAPTER_MB}]}

    store.put("keyed.op", "config", {
        "version": 1,
        "routes": [route(s, "stream", s, resumable=False, gapAimMs=150) for s, _, _ in SERVICES],
        "services": [{"name": s, "healthPath": "/health", "maxConns": 360, "engine": pool(m, p)} for s, m, p in SERVICES],
        "limits": LIMITS})
    nodes = Nodes(store.addr, tmp, record)
    groups.append(nodes)
    fronts = [nodes.start() for _ in range(2)]
    for node in fronts:
        await nodes.until_ready(node)

    async def beat():
        while True:
            await asyncio.sleep(1.2)
            for engine in engines:
                if not engine.crashed:
                    store.put("keyed.servers", engine.name, engine.entry())

    beating = asyncio.create_task(beat())
    await asyncio.sleep(5)
    record.line("traffic starts")
    asked, ended = [], {"complete": 0, "lost": 0, "other": 0}

    async def ask(service, model):
        rid = f"r{len(asked) + 1}"
        asked.append(rid)
        headers = {"X-Request-Id": rid, "X-Deadline-Ms": 12000, "X-Model": model, "X-Tokens": "715,280",
                   "X-Prompt-Prefix": f"a1:172,{len(asked):x}00:543"}
        status, _, body = await call(rand.choice(fronts)["front"], "POST", f"/{service}/x", headers, b"question", 13)
        what = "complete" if status == 200 and body is not None else "lost" if status == 200 else "other"
        ended[what] += 1
        record.line(f"{rid} {model}: {status} {'' if body is not None else 'ended early'}")

    tasks, start, has_burst = [], asyncio.get_running_loop().time(), False
    while (at := asyncio.get_running_loop().time() - start) < LENGTH_S and not any(e.crashed for e in engines):
        for service, model, _ in SERVICES:
            tasks.append(asyncio.create_task(ask(service, f"{model}/a{rand.randint(1, 3)}")))
        if trouble and at >= BURST_AT_S and not has_burst:
            has_burst = True
            record.line(f"{BURST} requests for rare adapters")
            tasks += [asyncio.create_task(ask("draft", f"d0/a{4 + n}")) for n in range(BURST)]
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    beating.cancel()
    record.line(f"requests {len(asked)}: {ended}")
    return any(e.crashed for e in engines)


run(HERE, main)
