"""REFUSED: a failure 503 of an engine that has run the request is passed on as the promise that it has not run."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from fleet import Engine, Nodes, Store, call, LIMITS, response, route, run  # noqa: E402

# Of the page: 4 engines, 38.9 requests a second, one retry; one engine of four fails 0.45 of its requests for 6.5 s.
ENGINES, PER_S, FAILING_SHARE, TROUBLE_AT_S, TROUBLE_S, LENGTH_S = 4, 38.9, 0.45, 2.0, 6.5, 11.0
PROMISES = (429, 503, 408, 421)


class Failing(Engine):
    """Its worker does the work, and then fails now and then: its front end answers 503, without the word X-Not-Run."""
    fails = False

    async def run(self, rid, wanted, headers, body, writer, echo):
        done = await super().run(rid, wanted, headers, body, writer, echo)
        if self.fails and self.rand.random() < FAILING_SHARE:
            self.record.line(f"engine {self.name} has run {rid} and fails: 503 without X-Not-Run")
            return response(503, b"worker failed", echo)
        return done


async def main(record, trouble, tmp, groups):
    rand = random.Random(1)
    store = await Store().listen("127.0.0.1")
    engines = []
    for n in range(ENGINES):
        engine = await Failing(record, f"c-{n}", "caja-app", slots=6).listen("127.0.0.1")
        engine.rand = rand
        engines.append(engine)
        store.put("keyed.servers", engine.name, engine.entry())
    store.put("keyed.op", "config", {
        "version": 1,
        "routes": [route("print", "unsafe", "caja-app", sloMs=150, timeoutMs=1500)],
        "services": [{"name": "caja-app", "healthPath": "/health", "maxConns": 96}],
        "limits": LIMITS})
    nodes = Nodes(store.addr, tmp, record)
    groups.append(nodes)
    fronts = [nodes.start() for _ in range(2)]
    for node in fronts:
        await nodes.until_ready(node)
    await asyncio.sleep(4)
    record.line("traffic starts")
    runs = lambda rid: sum(e.runs.get(rid, 0) for e in engines)  # noqa: E731
    vouchers, broken, doubled, statuses = 0, [], 0, {}

    async def attempt(rid):
        headers = {"X-Request-Id": rid, "X-Deadline-Ms": 1500}
        status, answer, _ = await call(rand.choice(fronts)["front"], "POST", "/print/x", headers, b"voucher", 3)
        statuses[status] = statuses.get(status, 0) + 1
        record.line(f"{rid}: {status}")
        if status in PROMISES and runs(rid):
            broken.append(rid)
            record.line(f"{rid} was answered {status}, and has run {runs(rid)} time(s)")
        return status, answer

    async def caller(n):
        nonlocal doubled
        status, answer = await attempt(f"v{n}.1")
        if status in PROMISES:
            # The caller trusts the promise and comes again.
            await asyncio.sleep(min(float(answer.get("retry-after", 0.05)), 0.5))
            await attempt(f"v{n}.2")
        if runs(f"v{n}.1") + runs(f"v{n}.2") > 1:
            doubled += 1
            record.line(f"voucher {n} was printed twice")

    tasks, start = [], asyncio.get_running_loop().time()
    while (at := asyncio.get_running_loop().time() - start) < LENGTH_S:
        engines[0].fails = trouble and TROUBLE_AT_S <= at < TROUBLE_AT_S + TROUBLE_S
        vouchers += 1
        tasks.append(asyncio.create_task(caller(vouchers)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    record.line(f"vouchers {vouchers}, answers {statuses}, promises that were broken {len(broken)}, vouchers printed twice {doubled}")
    return bool(broken)


run(HERE, main)
