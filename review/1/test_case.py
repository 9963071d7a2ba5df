"""Rule `crash` (limit on memory) while bad clients send hundreds of requests at once."""

import asyncio
import random
import signal
import sys
from pathlib import Path

COMMON = Path(__file__).resolve().parents[1] / "common"
sys.path.insert(0, str(COMMON))
from standins import (  # noqa: E402
    BadClients,
    Bus,
    Client,
    Director,
    now_ms,
    request_fields,
    run_case,
    settings,
    small_deployment,
    with_trouble,
)

FOLDER = Path(__file__).resolve().parent
MEMORY_MB = 192
BAD_CLIENTS, REQUESTS_EACH = 64, 200
QUIET_S, TROUBLE_S, END_S = 3.0, 6, 12.0


async def play_case(play):
    record = play.record
    nodes = [await play.add(node) for node in small_deployment(record)]
    bus = await play.add(Bus(record))
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    director = Director(record, play.temporary, "n1", bus.address, nodes, settings(), limits)
    play.parts.append(director)
    if not await director.start():
        return 2
    clients = [await Client(director.port, record, f"client-{i}").connect() for i in range(3)]
    peak, peak_before, killed, flood = 0.0, 0.0, False, None
    start = now_ms()
    count = 0
    while now_ms() < start + END_S * 1000.0 and not killed:
        if flood is None and with_trouble() and now_ms() > start + QUIET_S * 1000.0:
            peak_before = peak
            record.line("bad clients", f"{BAD_CLIENTS} connect, {REQUESTS_EACH} requests each")
            flood = await play.add(
                BadClients(director.port, BAD_CLIENTS, REQUESTS_EACH, TROUBLE_S, "requests")
            )
        client = clients[count % len(clients)]
        if not client.ended.is_set():
            client.send(request_fields("pages", f"{random.randrange(40) + 1:016x}", 2500))
        count += 1
        for _ in range(3):
            peak = max(peak, director.rss_mb())
            if peak > MEMORY_MB and not killed:
                killed = True
                record.line("platform", f"{peak:.0f} MB resident, limit {MEMORY_MB}: killed")
                director.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)
    crashed = director.process.returncode is not None and not killed
    await asyncio.sleep(0.5)
    lost = sum(len(client.lost) for client in clients)
    served = sum(
        result[0] == "served" for client in clients for _, _, result in client.answers.values()
    )
    print(
        f"{count} requests of usual clients, {served} served, {lost} open when the director ended; "
        f"peak {peak:.0f} MB resident ({peak_before:.0f} MB before the bad clients), "
        f"limit {MEMORY_MB}"
    )
    record.line("test", f"peak {peak:.0f} MB, limit {MEMORY_MB}, {lost} requests lost")
    if not served:
        return 2
    return 1 if killed or crashed else 0


run_case(play_case, FOLDER)
