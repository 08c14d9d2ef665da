"""LIMIT: adapters are loaded by places alone, whatever room the engine's weightsMb leaves."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from fleet import Engine, Nodes, Store, call, LIMITS, route, run  # noqa: E402

# Engines of the page: 220 GB, 8 places for adapters, models of 72.7 GB. Three of these leave 1,900 MB: four adapters.
WEIGHTS_MB, PLACES, MODEL_MB, ADAPTER_MB = 220_000.0, 8, 72_700.0, 400.0
MODELS = ["m0", "m1", "m2"]
USUAL = ["m0/a1", "m1/a1", "m2/a1", "m0/a2"]
RARE = [f"{m}/a{n}" for n in range(3, 10) for m in MODELS]
PER_S, BURST_X, BURST_AT_S, BURST_S, LENGTH_S = 8, 2.0, 5.0, 4.0, 16.0


async def main(record, trouble, tmp, groups):
    rand = random.Random(1)
    store = await Store().listen("127.0.0.1")
    engines = []
    for n in range(2):
        engine = await Engine(
            record, f"i-{n}", "models", models={m: [] for m in MODELS}, weights={m: MODEL_MB for m in MODELS},
            weights_mb=WEIGHTS_MB, adapter_slots=PLACES, adapter_mb={m: ADAPTER_MB for m in MODELS}).listen("127.0.0.1")
        engines.append(engine)
        store.put("keyed.servers", engine.name, engine.entry())
    models = [{"name": m, "weightsMb": MODEL_MB, "loadS": 4.2, "adapters": 9, "adapterMb": ADAPTER_MB} for m in MODELS]
    store.put("keyed.op", "config", {
        "version": 1,
        "routes": [route("ask", "stream", "models", resumable=False, gapAimMs=150)],
        "services": [{"name": "models", "healthPath": "/health", "maxConns": 360, "engine": {
            "slots": 64, "weightsMb": WEIGHTS_MB, "adapterSlots": PLACES, "loadsPerS": 1.6, "models": models}}],
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

    async def ask(model):
        rid = f"r{len(asked) + 1}"
        asked.append(rid)
        headers = {"X-Request-Id": rid, "X-Deadline-Ms": 12000, "X-Model": model, "X-Tokens": "715,280",
                   "X-Prompt-Prefix": f"a1:172,{len(asked):x}00:543"}
        status, _, body = await call(rand.choice(fronts)["front"], "POST", "/ask/x", headers, b"question", 13)
        what = "complete" if status == 200 and body is not None else "lost" if status == 200 else "other"
        ended[what] += 1
        record.line(f"{rid} {model}: {status} {'' if body is not None else 'ended early'}")

    tasks, start = [], asyncio.get_running_loop().time()
    while (at := asyncio.get_running_loop().time() - start) < LENGTH_S and not any(e.crashed for e in engines):
        tasks.append(asyncio.create_task(ask(rand.choice(USUAL))))
        if trouble and BURST_AT_S <= at < BURST_AT_S + BURST_S:
            for _ in range(round(BURST_X - 1)):
                tasks.append(asyncio.create_task(ask(rand.choice(RARE))))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    beating.cancel()
    record.line(f"requests {len(asked)}: {ended}")
    return any(e.crashed for e in engines)


run(HERE, main)
