"""The loop on the simulator's wire: it hosts instances and turns records into calls on
the module.
"""

import gc
import sys
from typing import Any, BinaryIO

from . import wire
from .config.platform import parse_service_settings_text
from .errors import ConfigError
from .policy.model import Attempt, CacheStatus, Endpoint, EndpointState, Outcome, Request
from .policy.router import Router, TrackedEndpoint

OUTCOMES = {
    0: Outcome.SERVED,
    5: Outcome.ERROR,
    11: Outcome.REJECTED,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECT_FAILED,
    104: Outcome.RESET,
    125: Outcome.CANCELLED,
    114: Outcome.NOT_SENT,
    2: Outcome.MISS,
}
NOTES = {int(note): note for note in CacheStatus}
FAILED_LIST, DELTA = 3, 2
JOIN, HELD_ONLY, PARENT_DROPS, RENEW = 1, 2, 4, 8


class Instance:
    """One director with the ids of its requests, nodes and timers; the Writer of its module."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.reply = wire.Reply()
        self.requests: dict[int, Request] = {}
        self.nodes: dict[bytes, TrackedEndpoint] = {}
        self.timers: dict[int, Any] = {}
        self.timer_count = 0
        self.inbox: list[tuple[str, tuple[Any, ...]]] = []
        self.touched: list[Request] = []
        self.director: Router | None = None

    def node(self, address: bytes) -> TrackedEndpoint:
        found = self.nodes.get(address)
        if found is None:
            found = self.nodes[address] = TrackedEndpoint(int.from_bytes(address, "big"))
        return found

    def load(self, count: int, values: tuple[float, ...]) -> dict[str, float] | None:
        assert self.director is not None
        return (
            dict(zip(self.director.terms.load_report_fields, values[:count], strict=False))
            if count
            else None
        )

    def take(
        self, now: float, code: int, fields: tuple[Any, ...], banks: dict[int, list[Any]]
    ) -> None:
        call = self.inbox.append
        if code == wire.BEGIN:
            try:
                self.director = Router(now, fields[0], parse_service_settings_text(fields[1]))
            except ConfigError as wrong:
                raise wire.WireError(f"bootInfo: {wrong}") from None
        elif self.director is None:
            return
        elif code == wire.NEW_REQUEST:
            ticket, case, _, key, left, size, group, part, bits = fields
            request_class = self.director.terms.request_classes[case]
            request = Request(
                ticket,
                request_class,
                key,
                int(part),
                int(group),
                size,
                now,
                now + left,
                bool(bits & 2),
            )
            self.requests[ticket] = request
            call(("requested", (request,)))
        elif code == wire.ANSWER:
            ticket, number, _, status, wait, closed, note, first_byte, count, *values = fields
            request = self.requests[ticket]
            attempt = request.attempts[number]
            self.touched.append(request)
            outcome = OUTCOMES.get(status, Outcome.ERROR)
            call(
                (
                    "answered",
                    (
                        attempt,
                        outcome,
                        wait,
                        bool(closed),
                        NOTES.get(note, CacheStatus.UNKNOWN),
                        first_byte,
                        self.load(count, tuple(values)),
                    ),
                )
            )
        elif code == wire.FIRED:
            call(("woken", (self.timers.pop(fields[0]),)))
        elif code == wire.VANISHED:
            request = self.requests.get(fields[0])
            if request is not None:
                self.touched.append(request)
                call(("end", (request,)))
        elif code == wire.MEMBERSHIP:
            bank, how, _ = fields
            rows = (
                []
                if how == FAILED_LIST
                else [
                    (self.node(address), EndpointState(state), share, kind, zone, cell, started)
                    for cell, kind, share, address, state, started, zone in banks[bank]
                ]
            )
            call(("listed", (rows, how != DELTA, how == FAILED_LIST)))
        elif code == wire.PONG:
            address, status, _, count, *values = fields
            call(("told", (self.node(address), self.load(count, tuple(values)), status == 0)))
        elif code == wire.STRUCK_OUT:
            call(("purged", (fields[0], fields[1], fields[2])))
        elif code == wire.OPENED:
            call(("sign_of_life", (self.requests[fields[0]].attempts[fields[2]].node,)))

    def play(self, now: float) -> None:
        if self.director is not None:
            self.director.round(now, self.inbox, self)
        self.inbox = []
        self.forget()

    def forget(self) -> None:
        """Drops the tickets whose requests are over and have no attempt out."""
        for request in self.touched:
            if request.is_complete and all(
                attempt.outcome is not None for attempt in request.attempts
            ):
                self.requests.pop(request.context, None)
        self.touched = []

    def send(
        self,
        attempt: Attempt,
        max_age: float,
        rank: int,
        join: bool,
        held_only: bool,
        parent_keeps: bool,
        renew: bool,
    ) -> None:
        opts = (
            JOIN * join + HELD_ONLY * held_only + PARENT_DROPS * (not parent_keeps) + RENEW * renew
        )
        source = attempt.fill_source or attempt.endpoint
        node = attempt.endpoint.hash_key.to_bytes(6, "big")
        self.reply.add(
            wire.DELIVER_VIA,
            attempt.request.context,
            max_age,
            node,
            opts,
            source.hash_key.to_bytes(6, "big"),
            attempt.timeout,
            rank,
        )

    def abandon(self, attempt: Attempt) -> None:
        self.reply.add(wire.ABANDON, attempt.request.context, attempt.number)

    def reject(self, request: Request, come_back: float) -> None:
        self.touched.append(request)
        self.reply.add(wire.REFUSE, request.context, come_back)

    def fail(self, request: Request) -> None:
        self.touched.append(request)
        self.reply.add(wire.SURRENDER, request.context)

    def wake(self, delay: float, about: Any) -> None:
        self.timer_count += 1
        self.timers[self.timer_count] = about
        self.reply.add(wire.SET_TIMER, self.timer_count, delay)

    def probe(self, node: Endpoint) -> None:
        self.reply.add(wire.ASK_LOAD, node.hash_key.to_bytes(6, "big"))

    def subscribe(self) -> None:
        self.reply.add(wire.KEEP_INFORMED, 1)

    def log(self, text: str) -> None:
        self.reply.add_bytes(wire.NOTE_DOWN, text.encode())


def answer_batch(
    now: float,
    events: list[tuple[int, tuple[Any, ...]]],
    instances: dict[int, Instance],
    banks: dict[int, list[Any]],
) -> wire.Reply:
    """Plays one batch: every instance with an event gets one round, in the order of
    first mention.
    """
    reply, touched, current = wire.Reply(), {}, None
    for code, fields in events:
        if code == wire.SELECT:
            current = instances.setdefault(fields[0], Instance(fields[0]))
            touched[current.number] = current
        elif code == wire.LEDGER:
            banks[fields[0]] = fields[1]
        elif current is None:
            raise wire.WireError(f"a record of code {code} stands before any select")
        elif code == wire.HALT or (code == wire.BEGIN and current.director is not None):
            current = touched[current.number] = instances[current.number] = Instance(current.number)
            if code == wire.BEGIN:
                current.take(now, code, fields, banks)
        else:
            current.take(now, code, fields, banks)
    for instance in touched.values():
        instance.reply = reply
        reply.add(wire.INSTANCE, instance.number)
        try:
            instance.play(now)
        except Exception as broken:  # the module's own failure is the wire's `fault`
            text = " ".join(f"{type(broken).__name__}: {broken}".split())
            reply.add_bytes(wire.FAULT, text.encode())
    return reply


def serve(stream: BinaryIO, out: BinaryIO) -> None:
    instances: dict[int, Instance] = {}
    banks: dict[int, list[Any]] = {}
    while (batch := wire.read_frame(stream)) is not None:
        now, number, events = batch
        out.write(answer_batch(now, events, instances, banks).frame(number))
        out.flush()


def main() -> int:
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as wrong:
        print(f"wirehost: {wrong}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
