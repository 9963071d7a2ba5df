"""Rule `lost` while sixteen bad clients send what can't be read."""

import asyncio
import random
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
BAD_CLIENTS, MESSAGES_EACH = 16, 100
QUIET_S, TROUBLE_S, END_S = 3.0, 10, 14.0
PATIENCE_MS = 1500
# Up to half a second after its time a request only earns nothing; each limit is 50 ms longer.
LOST_AFTER_MS = PATIENCE_MS + 500.0 + 50.0


async def play_case(play):
    record = play.record
    nodes = [await play.add(node) for node in small_deployment(record)]
    bus = await play.add(Bus(record))
    director = Director(record, play.temporary, "n1", bus.address, nodes, settings())
    play.parts.append(director)
    if not await director.start():
        return 2
    clients = [await Client(director.port, record, f"client-{i}").connect() for i in range(4)]
    flood = None
    start = now_ms()
    count, longest_pause = 0, 0.0
    while now_ms() < start + END_S * 1000.0:
        if flood is None and with_trouble() and now_ms() > start + QUIET_S * 1000.0:
            record.line("bad clients", f"{BAD_CLIENTS} connect, {MESSAGES_EACH} messages each")
            flood = await play.add(
                BadClients(director.port, BAD_CLIENTS, MESSAGES_EACH, TROUBLE_S, "unreadable")
            )
        clients[count % len(clients)].send(
            request_fields("pages", f"{random.randrange(40) + 1:016x}", PATIENCE_MS)
        )
        count += 1
        before = now_ms()
        await asyncio.sleep(0.05)
        longest_pause = max(longest_pause, now_ms() - before - 50.0)
    await asyncio.sleep(LOST_AFTER_MS / 1000.0 + 0.2)
    late, never, longest, kinds = 0, 0, 0.0, {}
    for client in clients:
        never += len(client.open) + len(client.lost)
        for _, sent_at, (kind, _, answered_at, _) in client.answers.values():
            kinds[kind] = kinds.get(kind, 0) + 1
            longest = max(longest, answered_at - sent_at)
            late += answered_at - sent_at > LOST_AFTER_MS
    text = (
        f"{count} requests of usual clients, patience {PATIENCE_MS} ms: answered {kinds}; "
        f"{late} of them later than {LOST_AFTER_MS:.0f} ms, {never} not at all; "
        f"longest {longest:.0f} ms; the test itself was late by {longest_pause:.0f} ms at most"
    )
    print(text)
    record.line("test", text)
    if not kinds.get("served") or longest_pause > 300.0:
        return 2
    return 1 if late or never else 0


run_case(play_case, FOLDER)
