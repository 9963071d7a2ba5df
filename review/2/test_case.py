"""Rule `drain` while the event bus is slow: the head of its response comes after 2 s."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import (
    Bus,
    Client,
    Director,
    now_ms,
    request_fields,
    run_case,
    server_row,
    settings,
    small_deployment,
    with_trouble,
)

FOLDER = Path(__file__).resolve().parent
HEAD_DELAY_MS = 2000.0
TOLD_MS = 7000.0  # counts as told at the latest so long after it is in the bus
GRACE_MS = 2000.0 + 50.0  # drainGrace of the settings, and the 50 ms of the rules on sockets
DRAIN_AT_S, END_S = 6.0, 25.0


async def play_case(play):
    record = play.record
    nodes = [await play.add(node) for node in small_deployment(record)]
    bus = await play.add(Bus(record))
    bus.head_delay_ms = HEAD_DELAY_MS if with_trouble() else 0.0
    director = Director(record, play.temporary, "n1", bus.address, nodes, settings())
    play.parts.append(director)
    if not await director.start():
        return 2
    client = await Client(director.port, record).connect()
    start = now_ms()
    drained, drained_at = nodes[0], 0.0
    count = 0
    while now_ms() < start + END_S * 1000.0:
        if not drained_at and now_ms() > start + DRAIN_AT_S * 1000.0:
            row = server_row(drained, "DRAINING")
            await bus.publish({"topology": {"version": 2, "full": False, "servers": [row]}})
            drained_at = now_ms()
        client.send(request_fields("pages", f"{random.randrange(40) + 1:016x}", 2500))
        count += 1
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    limit = drained_at + TOLD_MS + GRACE_MS
    before = sum(at < drained_at for at, _, _ in drained.pulls)
    late = [pull for pull in drained.pulls if pull[0] > limit]
    as_source = [
        pull
        for node in nodes
        for pull in node.pulls
        if pull[0] > limit and pull[2].get("miss") == drained.name
    ]
    kinds = [result[0] for _, _, result in client.answers.values()]
    print(
        f"{count} requests, {kinds.count('served')} served; {drained.name}: {before} before its "
        f"drain, {len(late)} later than {TOLD_MS + GRACE_MS:.0f} ms after it, "
        f"{len(as_source)} as source"
    )
    if count < 100 or before == 0 or not kinds.count("served"):
        return 2
    return 1 if late or as_source else 0


run_case(play_case, FOLDER)
