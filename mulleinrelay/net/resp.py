"""RESP arrays of bulk strings: commands to caches, parents and the origin, and their answers.

This module uses no sockets and no clocks. The platform defines the words on the wire; the tables
below translate them into the terms of this program.
"""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ..errors import ProtocolError
from ..policy.model import CacheStatus, ClientRequest, Outcome, SendAttempt
from .receive_buffer import ReceiveBuffer

MAX_BULK_BYTES = 262_144
MAX_ITEMS = 8  # in an array
MAX_ARRAY_BYTES = MAX_BULK_BYTES + 65_536  # one large item beside others of usual size
MAX_HEAD_BYTES = 32  # of the line with the length of an array or a bulk string
LINE_END = b"\r\n"
NULL_STRING = b"-1"  # length of a bulk string that stands for no value
NO_FIELDS = "-"

# An item of an array; None is a null bulk string.
Item = memoryview | None

OUTCOME_BY_WORD = {
    b"DONE": Outcome.SERVED,
    b"KEEP": Outcome.SERVED,
    b"LACK": Outcome.MISS,
    b"WAIT": Outcome.REJECTED,
    b"BROKE": Outcome.ERROR,
    b"PAST": Outcome.NOT_SENT,
}
HEALTH_BY_WORD = {b"FIT": True, b"UNFIT": False}
CACHE_STATUS_BY_WORD = {
    "HIT": CacheStatus.HIT,
    "MISS": CacheStatus.FILLED,
    "MISS_ORIGIN": CacheStatus.FILLED_BY_ORIGIN,
    "COLLAPSED": CacheStatus.COALESCED,
    "STALE": CacheStatus.STALE,
    "UP_BUSY": CacheStatus.SOURCE_REJECTED,
    "UP_DOWN": CacheStatus.SOURCE_FAILED,
    "UP_MISS": CacheStatus.SOURCE_MISS,
    "NO_FILL": CacheStatus.NOT_STORED,
    "ORIGIN_ERR": CacheStatus.ORIGIN_FAILED,
}


class RespError(ProtocolError):
    """Error for bytes that violate the protocol, or for an answer that cannot be read."""


class ArrayDecoder:
    """Decoder that splits received bytes into arrays of bulk strings. Not thread-safe.

    The items are views of the receive buffer, or None for null bulk strings. A null string is not
    the same as an empty one, and the caller must not read one as the other. Offsets count from the
    first unread byte.
    """

    def __init__(self, size: int = 65_536) -> None:
        """Create a decoder whose buffer has blocks of at least `size` bytes."""
        self.buffer = ReceiveBuffer(size)
        # Length of the unread array up to the end of the incomplete item; 0 if it is unknown.
        self.expected_length = 0
        self._begin_array()

    def _begin_array(self) -> None:
        self.missing_items = -1  # items of the array still to be read; -1 until its head is read
        self.scanned_bytes = 0  # length of the part of the array that was scanned
        # Start and end offset of each scanned item; None for a null string.
        self.spans: list[tuple[int, int] | None] = []

    def writable_view(self) -> memoryview:
        """Return the memory to which the next received bytes must be written."""
        return self.buffer.writable_view(self.expected_length)

    def needs_large_block(self) -> bool:
        """Return whether the incomplete array is too large for a block of minimum size."""
        return self.expected_length > self.buffer.size

    def decode(self, length: int) -> Iterator[list[Item]]:
        """Yield the arrays that are complete.

        Args:
            length: Number of bytes that were written to the writable view since the last call.

        Raises:
            RespError: If bytes cannot be decoded; all arrays before them have been yielded.
        """
        self.buffer.end += length
        self.expected_length = 0
        while (array := self._next_array()) is not None:
            yield array

    def _next_array(self) -> list[Item] | None:
        """Consume and return an array; return None if it is incomplete."""
        if self.missing_items < 0:
            digits = self._next_head(b"*")
            if digits is None:
                return None
            self.missing_items = _parse_length(digits)
            if not 0 < self.missing_items <= MAX_ITEMS:
                raise RespError(f"an array of {self.missing_items} items")
        while self.missing_items:
            if not self._scan_bulk_string():
                return None
            self.missing_items -= 1
        array = self.buffer.take(self.scanned_bytes)
        items = [array[span[0] : span[1]] if span is not None else None for span in self.spans]
        self._begin_array()
        return items

    def _scan_bulk_string(self) -> bool:
        """Record the span of the next item; return False if the item is incomplete."""
        before = self.scanned_bytes
        digits = self._next_head(b"$")
        if digits is None:
            return False
        if digits == NULL_STRING:
            self.spans.append(None)
            return True
        size = _parse_length(digits)
        if size > MAX_BULK_BYTES:
            raise RespError(f"a bulk string of {size} bytes")
        start = self.scanned_bytes
        end = start + size + len(LINE_END)
        if end > MAX_ARRAY_BYTES:
            raise RespError(f"an array of over {MAX_ARRAY_BYTES} bytes")
        if end > len(self.buffer):
            self.scanned_bytes = before
            self.expected_length = end
            return False
        end_in_view = self.buffer.start + end
        if self.buffer.view[end_in_view - len(LINE_END) : end_in_view] != LINE_END:
            raise RespError("a bulk string without CR LF at its end")
        self.spans.append((start, start + size))
        self.scanned_bytes = end
        return True

    def _next_head(self, mark: bytes) -> bytes | None:
        """Skip a head line and return what follows its mark; return None if it is incomplete."""
        start = self.buffer.start + self.scanned_bytes
        head = bytes(self.buffer.view[start : min(self.buffer.end, start + MAX_HEAD_BYTES)])
        if head and head[:1] != mark:
            raise RespError(f"expected {mark.decode()}, found {head[:8]!r}")
        end = head.find(LINE_END)
        if end < 0:
            if len(head) >= MAX_HEAD_BYTES:
                raise RespError(f"a head line without CR LF in {MAX_HEAD_BYTES} bytes")
            return None
        self.scanned_bytes += end + len(LINE_END)
        return head[1:end]


def _parse_length(digits: bytes) -> int:
    """Return the number in a head line, which must consist of digits alone."""
    if not digits.isdigit():
        raise RespError(f"expected a number, found {digits!r}")
    return int(digits)


@dataclass(slots=True, eq=False)
class EndpointAnswer:
    """Answer of an endpoint to an attempt or to a health check.

    Attributes:
        request_id: Id of the request, or tag of the health check.
        outcome: Outcome of the attempt; None for a health check.
        body: The object; empty if there is none.
        is_not_modified: Whether the endpoint answers that the client's copy is current.
        entity_tag: Entity tag of the copy to which the answer refers; empty if it is missing.
        cache_status: How the cache obtained the answer; UNKNOWN if not reported.
        delay: Delay of the fill source in ms, as reported by the endpoint; 0 if not reported.
        load_report: Figures by their names in the load report; None if there is no report.
        is_healthy: Whether the endpoint reports that it is healthy; always True in an answer to an
            attempt.
    """

    request_id: str
    outcome: Outcome | None
    body: memoryview
    is_not_modified: bool = False
    entity_tag: str = ""
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    delay: float = 0.0
    load_report: dict[str, float] | None = None
    is_healthy: bool = True

    def outcome_for(self, entity_tag: str) -> Outcome:
        """Return the outcome of the attempt to which this answer belongs.

        The outcome is ERROR, a failure of the endpoint, if the answer has the form of an answer to
        a health check, or if it says "not modified" about another copy than the client's.

        Args:
            entity_tag: Entity tag of the client's copy; empty if the client has none.
        """
        if self.outcome is None:
            return Outcome.ERROR
        if self.is_not_modified and not (entity_tag and entity_tag == self.entity_tag):
            return Outcome.ERROR
        return self.outcome


def parse_command(items: Sequence[Item]) -> list[bytes]:
    """Return the items of a command, copied out of the receive buffer.

    Raises:
        RespError: If an item is a null string.
    """
    strings = [bytes(item) for item in items if item is not None]
    if len(strings) < len(items):
        raise RespError("a command with a null string")
    return strings


def parse_answer(items: Sequence[Item], load_report_fields: dict[str, str]) -> EndpointAnswer:
    """Parse an array as an answer.

    Only an answer that does not serve the request may have a null body.

    Args:
        items: Id, word, fields and an optional body.
        load_report_fields: This program's names of the figures in a load report, by the names on
            the wire.

    Raises:
        RespError: If the array is not a valid answer.
    """
    if not 3 <= len(items) <= 4:
        raise RespError(f"an answer of {len(items)} items")
    request_id, word_item, fields = items[:3]
    if request_id is None or word_item is None or fields is None:
        raise RespError("an answer without id, word or fields")
    word = bytes(word_item)
    outcome = OUTCOME_BY_WORD.get(word)
    if outcome is None and word not in HEALTH_BY_WORD:
        raise RespError(f"an unknown word {word[:16]!r}")
    body = items[3] if len(items) > 3 else fields[:0]
    has_no_object = body is None or (word == b"DONE" and len(items) < 4)
    if has_no_object and outcome == Outcome.SERVED:  # must not be read as an empty object
        raise RespError("an answer without the body of the object")
    try:
        answer = EndpointAnswer(
            str(request_id, "ascii"),
            outcome,
            body or fields[:0],
            word == b"KEEP",
            is_healthy=HEALTH_BY_WORD.get(word, True),
        )
        _read_fields(answer, str(fields, "ascii"), load_report_fields)
    except ValueError as error:
        raise RespError(f"an answer that cannot be read: {error}") from error
    return answer


def _read_fields(answer: EndpointAnswer, fields: str, load_report_fields: dict[str, str]) -> None:
    for pair in fields.split(",") if fields not in (NO_FIELDS, "") else ():
        name, _, value = pair.partition("=")
        if name == "why":
            answer.cache_status = CACHE_STATUS_BY_WORD.get(value, CacheStatus.UNKNOWN)
        elif name == "entity":
            answer.entity_tag = value
        elif name == "delay":
            answer.delay = _parse_figure(value)
        elif name == "rep":
            answer.load_report = _parse_load_report(value, load_report_fields)


def _parse_load_report(text: str, load_report_fields: dict[str, str]) -> dict[str, float]:
    pairs = (entry.partition(":") for entry in text.split(";") if entry)
    return {load_report_fields.get(name, name): _parse_figure(value) for name, _, value in pairs}


def _parse_figure(text: str) -> float:
    """Return the number in a text, which must be finite and not negative.

    Any other number would permanently corrupt averages that are smoothed over time.
    """
    value = float(text)
    if not math.isfinite(value) or value < 0.0:
        raise ValueError(f"a figure of {text[:16]}")
    return value


def command(*items: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(
        b"$%d\r\n%s\r\n" % (len(item), item) for item in items
    )


def attempt_command(
    request: ClientRequest, step: SendAttempt, remaining_time: float
) -> list[memoryview | bytes]:
    """Encode an attempt as a list of buffers to be written in order.

    Args:
        request: The request as received from the client.
        step: The attempt with its options.
        remaining_time: Time for which the client still waits, in ms.
    """
    fields = ",".join(
        f"{name}={value}" for name, value in _attempt_fields(request, step, remaining_time).items()
    ).encode()
    head = command(b"PULL", request.request_id.encode(), fields).replace(b"*3", b"*4", 1)
    if not len(request.body):
        return [head + b"$0\r\n\r\n"]
    return [head + b"$%d\r\n" % len(request.body), request.body, LINE_END]


def _attempt_fields(
    request: ClientRequest, step: SendAttempt, remaining_time: float
) -> dict[str, str | int]:
    fields: dict[str, str | int] = {
        "lane": request.request_class,
        "name": request.object,
        "piece": request.part,
        "ttl": max(1, int(remaining_time)),
    }
    if request.idempotency_key:
        fields["dedupe"] = request.idempotency_key
    if request.entity_tag:
        fields["mine"] = request.entity_tag
    if step.fill_source:
        fields["miss"] = step.fill_source
    if step.retention_rank:
        fields["prio"] = step.retention_rank
    if step.max_age > 0.0:  # 0 means that a copy of any age may be served
        fields["within"] = max(1, int(step.max_age))
    flags = _attempt_flags(step)
    if flags:
        fields["f"] = "+".join(flags)
    return fields


def _attempt_flags(step: SendAttempt) -> list[str]:
    flags = []
    if step.allow_coalescing:
        flags.append("collapse")
    if step.only_if_cached:
        flags.append("only-if-cached")
    if step.revalidate:
        flags.append("refresh")
    if not step.store_at_parent:
        flags.append("no-store-up")
    return flags


def cancel_command(request_id: str) -> bytes:
    """Encode the cancellation of the attempt that was sent with this request id."""
    return command(b"KILL", request_id.encode())


def health_check_command(tag: str, with_report: bool) -> bytes:
    """Encode a health check; without a request for a load report, it is also used as a ping."""
    return command(b"METER" if with_report else b"ECHO", tag.encode())
