"""Some time after an outage of the store, the router that reads the list of workers freezes, and a
worker leaves without a word.

The other routers lost the store in the outage too and have had no reason to call it since.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from platform_standins import CannotRun, Connection, configuration, play, request_bytes, route  # noqa: E402

ROUTERS = 2
OUTAGE_S = 4.5
# Time from the end of the outage until the freeze and the departure.
CALM_S = 7.0
FREEZE_S = 4.0
DRAIN_TIMEOUT_S = 2.0
# Time for which a worker that leaves serves on after its drain timeout.
LINGER_S = 3.0
# Rounds of an outage, a freeze of the router that read the list last, and a departure.
ROUNDS = 5
ROUTES = [
    route("r-read", "/read/", "app", "safe", max_attempts=2),
    route("r-write", "/write/", "app", "unsafe"),
]


async def client(case, router, method, path):
    """Sends one request after the other while the router's process is not stopped."""
    while not case.over:
        if router is case.frozen:
            await asyncio.sleep(0.05)
            continue
        ident = case.next_id()
        case.sent_to[ident] = router.number
        try:
            connection = await Connection.open(router.callers)
            await connection.send(request_bytes(method, path, ident))
            answer = await connection.answer(3)
            connection.close()
            case.record.write(f"client id={ident} via=router-{router.number} {method} {answer.text()}")
        except (OSError, asyncio.TimeoutError) as error:
            case.record.write(f"client id={ident} via=router-{router.number} {method} error={error!r}")
        await asyncio.sleep(0.03)


async def departure(case, worker):
    """The last reader freezes; the entry of the worker goes just then. Returns the late arrivals."""
    reader = next((router for router in case.routers if router.store_ip == case.store.last_reader), None)
    if reader is None:
        raise CannotRun("no router has read the list of workers")
    if case.trouble:
        case.frozen = reader
        reader.signal(signal.SIGSTOP)
    case.store.remove("servers", worker.id)
    removed = case.record.now()
    case.record.write(f"store acknowledged that servers/{worker.id} is gone; the worker serves on")
    await asyncio.sleep(FREEZE_S)
    if case.trouble:
        reader.signal(signal.SIGCONT)
        case.frozen = None
    await asyncio.sleep(DRAIN_TIMEOUT_S + LINGER_S - FREEZE_S)
    await worker.close()
    case.record.write(f"worker {worker.id} ends")
    late = [
        (at - removed, ident)
        for at, ident, _ in worker.runs
        if at > removed + DRAIN_TIMEOUT_S and case.sent_to[ident] != reader.number
    ]
    case.record.write(f"requests at {worker.id} after the drain timeout, from routers in touch: {len(late)}")
    return late


async def case_of_departures(case):
    case.over, case.frozen, case.sent_to = False, None, {}
    await case.start_store()
    case.store.put("op", "config", configuration(1, ROUTES, ["app"]))
    workers = [case.new_worker(f"i-{number}", number, "app") for number in range(1, ROUNDS + 4)]
    for worker in workers:
        await worker.start()
    await case.start_routers(ROUTERS, own_endpoints=True)
    clients = [asyncio.ensure_future(client(case, router, *what)) for router in case.routers for what in (("GET", "/read/1"), ("POST", "/write/1"))]
    await asyncio.sleep(5)

    breaches = []
    for worker in workers[:ROUNDS]:
        if case.trouble:
            case.record.write("store is silent")
            case.store.mode = "silent"
        await asyncio.sleep(OUTAGE_S)
        case.store.mode = "serve"
        case.record.write("store answers")
        await asyncio.sleep(CALM_S)
        late = await departure(case, worker)
        if late:
            breaches.append(
                f"DRAIN: {len(late)} requests reached {worker.id} later than {DRAIN_TIMEOUT_S} s after it was "
                f"acknowledged as gone, from routers in touch, the last {late[-1][0]:.2f} s after it"
            )
    case.over = True
    await asyncio.gather(*clients)
    return breaches


play(FOLDER, case_of_departures)
