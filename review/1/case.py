"""A worker starts while the time of day of its machine is 2 s ahead, and again under its id, after
a crash, when the time of day is right again.

The entry of its second incarnation has a later version in the store and an earlier `born`. Later it
announces its planned end, and serves on for some seconds as the pages allow.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from platform_standins import Connection, configuration, play, request_bytes, route  # noqa: E402

CLOCK_STEP_MS = 2000
DRAIN_TIMEOUT_S = 2.0
# Time for which the worker serves after its drain timeout: "at times many seconds".
LINGER_S = 4.0
ROUTERS = 2
ROUTES = [
    route("r-read", "/read/", "app", "safe", max_attempts=2),
    route("r-write", "/write/", "app", "unsafe"),
]
CLIENTS = [("GET", "/read/1")] + [("POST", "/write/1")] * 4


async def client(case, address, method, path, until):
    """Sends one request after the other, each on a connection of its own."""
    while case.record.now() < until:
        ident = case.next_id()
        started = time.monotonic()
        try:
            connection = await Connection.open(address)
            await connection.send(request_bytes(method, path, ident))
            answer = await connection.answer(3)
            connection.close()
            case.record.write(f"client id={ident} via={address[0]} {method} {answer.text()}")
            if method == "POST" and not answer.whole or answer.status == 502:
                case.lost.append(ident)
        except (OSError, asyncio.TimeoutError) as error:
            case.record.write(f"client id={ident} via={address[0]} error={error!r}")
        await asyncio.sleep(max(0, 0.05 - (time.monotonic() - started)))


async def case_of_stepped_clock(case):
    await case.start_store()
    case.store.put("op", "config", configuration(1, ROUTES, ["app"]))
    case.lost = []
    workers = [case.new_worker(f"i-{number}", number, "app", work_s=0.06) for number in (1, 2, 3)]
    for worker in workers:
        await worker.start(born=int(time.time() * 1000) - 60_000)
    await case.start_routers(ROUTERS)
    clients = [
        asyncio.ensure_future(client(case, router.callers, method, path, case.record.now() + 17))
        for router in case.routers
        for method, path in CLIENTS
    ]
    await asyncio.sleep(4)

    # A worker is added while the time of day of its machine is ahead.
    step = CLOCK_STEP_MS if case.trouble else 0
    case.record.write(f"time of day of the worker's machine is {step} ms ahead")
    added = case.new_worker("i-4", 4, "app", work_s=0.06)
    await added.start(born=int(time.time() * 1000) + step)
    await asyncio.sleep(0.8)
    # The time of day is right again; the worker crashes and starts again under its id.
    case.record.write("time of day of the worker's machine is right again")
    await added.crash()
    await asyncio.sleep(0.4)
    await added.start(born=int(time.time() * 1000))
    await asyncio.sleep(4)

    acknowledged = added.drain()
    await asyncio.sleep(DRAIN_TIMEOUT_S + LINGER_S)
    await added.leave()
    await asyncio.gather(*clients)
    late = [at for at, _, _ in added.runs if at > acknowledged + DRAIN_TIMEOUT_S]
    cut = [ident for ident in case.lost if any(run == ident for at, run, _ in added.runs if at > acknowledged)]
    case.record.write(f"requests that run at most once, cut at the end of the worker: {cut}")
    case.record.write(f"requests at the worker after the drain timeout: {len(late)}")
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached i-4 later than {DRAIN_TIMEOUT_S} s after it was acknowledged as draining, the last {late[-1] - acknowledged:.1f} s after it"]


play(FOLDER, case_of_stepped_clock)
