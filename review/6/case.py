"""Good answers arrive spoilt: the length of the body does not fit."""

import asyncio
import os
import sys
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_2"))

from stand import (  # noqa: E402
    Connection,
    Pull,
    Record,
    World,
    body_of,
    new_fields,
    now_ms,
    request_class,
    run_case,
)

REQUESTS = 400
FIRST_SPOILT = 100  # from this request on, one good answer of ten is spoilt
LENGTHS = {"short": 300, "long": 2000, "none": 0, "negative": -1}
HAS_TROUBLE = os.environ.get("TROUBLE") != "0"


class SpoilingNodes:
    """The nodes of a world, of which all alike spoil some good answers."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.answers = 0
        self.kinds: dict[str, str] = {}  # by request id
        for node in world.nodes.values():
            node.handler = self.serve

    async def serve(self, pull: Pull) -> None:
        """Run the request, and answer it well or with a length that does not fit."""
        self.answers += 1
        number = self.answers
        if not HAS_TROUBLE or number < FIRST_SPOILT or number % 10:
            await pull.node.serve(pull)
            return
        kind = list(LENGTHS)[number // 10 % len(LENGTHS)]
        self.kinds[pull.id] = kind
        self.world.record.line(f"{pull.node.name} ran {pull.id} and spoils its answer: {kind}")
        items = (pull.id.encode(), b"DONE", b"why=HIT,entity=ab,issued=%d" % now_ms())
        head = b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items)
        body = body_of(pull.fields["name"], pull.fields.get("piece", "0"))
        pull.raw(head + b"$%d\r\n" % LENGTHS[kind] + body + b"\r\n")
        pull.node.writers.discard(pull.writer)
        pull.writer.write = lambda data: None  # type: ignore[method-assign]  # of no further use


async def case(record: Record, folder: str) -> None:
    """Send requests of safe and unsafe classes, and compare the bytes of those served."""
    world = World(
        record, folder, [request_class("pages"), request_class("pay", idempotency="unsafe")]
    )
    await world.start()
    nodes = SpoilingNodes(world)
    counts: Counter[str] = Counter()
    try:
        director = await world.director("n1")
        client = await Connection(record).open(director.port)
        for number in range(REQUESTS):
            lane = "pay" if number % 5 == 0 else "pages"
            entity = f"{0x9E3779B97F4A7C15 * (number // 2 + 1) % 2**64:016x}"
            fields = new_fields(lane, entity, 2000)
            answer = await asyncio.wait_for(client.send(fields), 3.0)
            trace = fields["trace"]
            record.line(f"{trace} {lane} {entity}: {answer.word}, {len(answer.body)} bytes")
            counts[answer.word] += 1
            made = (body_of(entity, "0"), b"taken")[: 2 if lane == "pay" else 1]
            if answer.word == "served" and answer.body not in made:
                kind = nodes.kinds.get(trace, "none")
                text = f"served with {len(answer.body)} bytes that no node made for it"
                record.breaks(f"{trace} {lane} {text}; spoilt length: {kind}")
            await asyncio.sleep(0.02)
        client.close()
    finally:
        world.end()
    record.line(f"answers: {dict(counts)}")


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
