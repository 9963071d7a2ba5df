"""Codecs: Thrift, RESP and server-sent events."""

import struct

import pytest
from helpers import call_frame, serve_frame

from mulleinrelay.net import resp, sse, thrift
from mulleinrelay.net.receive_buffer import ReceiveBuffer
from mulleinrelay.policy.model import CacheStatus, ClientRequest, Outcome, SendAttempt
from mulleinrelay.wirehost import CACHE_STATUSES, OUTCOMES

FIELDS = {
    "route": "pages",
    "trace": "9b1f03aa5c7e2d41",
    "patience": "1500",
    "entity": "7f3a9c21e0b4d655",
}
CANCELLATION = call_frame("forget", 0, b"\x08\x00\x01\x00\x00\x00\x03\0", 4)
STEP_SIZES = [1, 2, 3, 5, 7, 64, 10**6]


def feed(decoder, data, step_size):
    """Decode data in pieces of at most `step_size` bytes, like a connection's thread."""
    messages, data = [], memoryview(data)
    while len(data):
        view = decoder.writable_view()
        length = min(step_size, len(view), len(data))
        view[:length] = data[:length]
        messages += decoder.decode(length)
        data = data[length:]
    return messages


# Received bytes


def test_returned_view_is_never_written_again():
    # The bytes of an answer must not change while they are still being written to a client.
    buffer = ReceiveBuffer(8)
    buffer.writable_view()[:6] = b"abcdef"
    buffer.end += 6
    taken = buffer.take(4)
    for byte in b"ghijklmnop":
        buffer.writable_view()[:1] = bytes((byte,))
        buffer.end += 1
    assert bytes(taken) == b"abcd" and bytes(buffer.unread()) == b"efghijklmnop"


# Thrift


@pytest.mark.parametrize("step_size", STEP_SIZES)
def test_frames_are_the_same_in_any_split(step_size):
    calls = [
        serve_frame(number, FIELDS | {"entity": f"{number:016x}"}, b"x" * size)
        for number, size in ((1, 0), (2, 9000), (3, 1))
    ]
    decoded_calls = [
        thrift.read_call(frame)
        for frame in feed(thrift.FrameDecoder(64), b"".join(calls), step_size)
    ]
    assert [(call.method, call.kind, call.sequence_number) for call in decoded_calls] == [
        ("serve", 1, n) for n in (1, 2, 3)
    ]
    requests = [thrift.read_serve(call.arguments) for call in decoded_calls]
    assert [(request.object, len(request.body)) for request in requests] == [
        ("0" * 15 + "1", 0),
        ("0" * 15 + "2", 9000),
        ("0" * 15 + "3", 1),
    ]


@pytest.mark.parametrize("length", [-1, 0, thrift.MAX_FRAME_BYTES + 1, 2**31 - 1])
def test_frame_of_wrong_length_is_rejected_at_once(length):
    with pytest.raises(thrift.ThriftError):
        feed(thrift.FrameDecoder(), struct.pack(">i", length), 4)


@pytest.mark.parametrize("step_size", STEP_SIZES)
def test_truncated_frame_keeps_its_first_bytes_and_the_next_frame(step_size):
    # Guards against losing the position in the stream when there is no memory for a frame.
    decoder = thrift.FrameDecoder(64)
    data = serve_frame(1, FIELDS, b"x" * 3_000) + CANCELLATION
    frames, received = [], memoryview(data)
    while len(received):
        if decoder.needs_large_block():
            decoder.truncate_frame()
        view = decoder.writable_view()
        length = min(step_size, len(view), len(received))
        view[:length] = received[:length]
        received = received[length:]
        frames += [(bytes(frame), decoder.is_truncated) for frame in decoder.decode(length)]
        assert thrift.cancelled_numbers(decoder.from_next_frame(bytes(received))) <= {3}
    (first, is_first_truncated), (second, is_second_truncated) = frames
    assert is_first_truncated and first == data[4 : 4 + thrift.TRUNCATED_FRAME_BYTES]
    assert not is_second_truncated and second == CANCELLATION[4:]


FIELD_MAP = b"\x0d\x00\x01\x0b\x0b\x00\x00\x00\x01\x00\x00\x00\x01a\x00\x00\x00\x01b"
UNKNOWN_FIELDS = [
    b"\x02\x00\x09\x01",  # bool
    b"\x03\x00\x09\x01",  # byte
    b"\x04\x00\x09" + bytes(8),  # double
    b"\x06\x00\x09" + bytes(2),  # i16
    b"\x0a\x00\x09" + bytes(8),  # i64
    b"\x0b\x00\x09\x00\x00\x00\x02hi",  # string
    b"\x0c\x00\x09\x08\x00\x01" + bytes(4) + b"\x00",  # struct
    b"\x0d\x00\x09\x0b\x08\x00\x00\x00\x01\x00\x00\x00\x01k" + bytes(4),  # map
    b"\x0f\x00\x09\x03\x00\x00\x00\x03abc",  # list
    b"\x0e\x00\x09\x08\x00\x00\x00\x01" + bytes(4),  # set
]


@pytest.mark.parametrize("unknown_field", UNKNOWN_FIELDS)
def test_unknown_fields_are_skipped(unknown_field):
    (frame,) = feed(thrift.FrameDecoder(), serve_frame(1, FIELDS | {"new": "1"}, b"xy"), 1000)
    known_fields = bytes(thrift.read_call(frame).arguments.frame[17:-1])
    request = thrift.read_serve(
        thrift.ValueReader(memoryview(unknown_field + known_fields + unknown_field + b"\x00"))
    )
    assert (request.request_class, request.remaining_time, bytes(request.body)) == (
        "pages",
        1500.0,
        b"xy",
    )


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (b"", "wanted at 0"),
        (b"\x00", "no fields"),
        (FIELD_MAP, "wanted at"),
        (FIELD_MAP[:-3] + b"\x7f\xff\xff\xffb\x00", "wanted at"),
        (FIELD_MAP[:5] + b"\x7f\xff\xff\xff", "a collection of"),
        (FIELD_MAP[:5] + b"\xff\xff\xff\xff", "a collection of -1"),
        (FIELD_MAP[:4] + b"\x08\x00\x00\x00\x01" + bytes(8), "not of strings"),
        (FIELD_MAP[:-1] + b"\xff\x00", "not UTF-8"),
        (FIELD_MAP + b"\x0b\x00\x02" + struct.pack(">i", -5), "-5 bytes wanted"),
        (
            FIELD_MAP + b"\x0b\x00\x02" + struct.pack(">i", 48001) + bytes(48001) + b"\0",
            "a body of 48001",
        ),
        (FIELD_MAP + b"\x63\x00\x09\x00", "unknown type 99"),
        (FIELD_MAP + b"\x0c\x00\x09" * 20, "nested too deep"),
    ],
)
def test_unreadable_arguments_are_rejected(arguments, message):
    with pytest.raises(thrift.ThriftError, match=message):
        thrift.read_serve(thrift.ValueReader(memoryview(arguments)))


@pytest.mark.parametrize("head", [bytes(4), b"\x80\x02\x00\x01", b"\x80\x01\x00\x02", b"\x80"])
def test_unreadable_head_is_rejected(head):
    with pytest.raises(thrift.ThriftError):
        thrift.read_call(memoryview(head + struct.pack(">i", 5) + b"serve" + bytes(4)))


def test_cancellation_names_its_sequence_number():
    (frame,) = feed(
        thrift.FrameDecoder(), call_frame("forget", 9, b"\x08\x00\x01\x00\x00\x00\x07\x00", 4), 100
    )
    call = thrift.read_call(frame)
    assert (call.method, call.kind, thrift.read_cancelled_number(call.arguments)) == (
        "forget",
        thrift.ONEWAY,
        7,
    )


@pytest.mark.parametrize(
    ("pieces", "expected_hex"),
    [
        (
            thrift.reply("isWell", 2, b"", {}, True),
            "80010002 00000006 697357656c6c 00000002 0c0000 0b0001 00000000 "
            "0d0002 0b0b 00000000 020003 010000",
        ),
        (
            thrift.rejected_reply(3, 99.6),
            "80010002 00000005 7365727665 00000003 0c0001 0d0001 0b0b 00000001 00000005 7061757365"
            " 00000003 313030 00 00",
        ),
        (
            thrift.failed_reply(4),
            "80010002 00000005 7365727665 00000004 0c0002 0d0001 0b0b 00000000 00 00",
        ),
        (
            thrift.application_exception("x", 5, 1, "no"),
            "80010003 00000001 78 00000005 0b0001 00000002 6e6f 080002 00000001 00",
        ),
    ],
)
def test_answers_are_encoded_as_on_the_wire(pieces, expected_hex):
    length, message = struct.unpack(">i", b"".join(pieces)[:4])[0], b"".join(pieces)[4:]
    assert length == len(message) and message.hex() == expected_hex.replace(" ", "")


# RESP


@pytest.mark.parametrize("step_size", STEP_SIZES)
def test_arrays_are_the_same_in_any_split(step_size):
    data = (
        resp.command(b"a1", b"DONE", b"why=HIT", b"\r\n*2\r\n" + bytes(9000))
        + resp.command(b"a2", b"LACK", b"-")
        + resp.command(b"a3", b"KEEP", b"-", b"")
        + b"*4\r\n$2\r\na4\r\n$4\r\nPAST\r\n$1\r\n-\r\n$-1\r\n"
    )
    answers = [
        resp.parse_answer(items, {}) for items in feed(resp.ArrayDecoder(64), data, step_size)
    ]
    assert [
        (answer.request_id, answer.outcome, len(answer.body), answer.is_not_modified)
        for answer in answers
    ] == [
        ("a1", Outcome.SERVED, 9006, False),
        ("a2", Outcome.MISS, 0, False),
        ("a3", Outcome.SERVED, 0, True),
        ("a4", Outcome.NOT_SENT, 0, False),
    ]


@pytest.mark.parametrize(
    ("decoder_type", "messages", "invalid_bytes"),
    [
        (
            resp.ArrayDecoder,
            [resp.command(b"9b", b"DONE", b"-", b"x"), resp.command(b"9c", b"LACK", b"-")],
            b"+OK\r\n",
        ),
        (
            thrift.FrameDecoder,
            [serve_frame(1, FIELDS), serve_frame(2, FIELDS)],
            b"\xff\xff\xff\xff",
        ),
    ],
)
def test_complete_messages_before_unreadable_bytes_are_yielded(
    decoder_type, messages, invalid_bytes
):
    decoder, decoded, data = decoder_type(), [], b"".join(messages) + invalid_bytes
    decoder.writable_view()[: len(data)] = data
    with pytest.raises((resp.RespError, thrift.ThriftError)):
        for message in decoder.decode(len(data)):
            decoded.append(message)
    assert len(decoded) == len(messages)


LARGE = 47_000  # bytes; nearly the largest message
MAX_READS_PER_MESSAGE = 4 * thrift.MAX_VALUES
MESSAGES_WITH_MANY_VALUES = {
    "list of bytes": b"\x0f\x00\x09\x03" + struct.pack(">i", LARGE) + bytes(LARGE),
    "list of strings": b"\x0f\x00\x09\x0b" + struct.pack(">i", LARGE // 4) + bytes(LARGE),
    "list of structs": b"\x0f\x00\x09\x0c" + struct.pack(">i", LARGE) + bytes(LARGE),
    "set of lists": b"\x0e\x00\x09\x0f"
    + struct.pack(">i", LARGE // 5)
    + b"\x03\x00\x00\x00\x00" * (LARGE // 5),
    "map of bytes": b"\x0d\x00\x09\x03\x03" + struct.pack(">i", LARGE // 2) + bytes(LARGE),
    "map of strings": b"\x0d\x00\x09\x0b\x0b" + struct.pack(">i", LARGE // 8) + bytes(LARGE),
    "struct of bytes": b"\x0c\x00\x09" + b"\x03\x00\x01\x01" * (LARGE // 4) + b"\x00",
    "fields": b"\x03\x00\x09\x01" * (LARGE // 4),
    "bodies": b"\x0b\x00\x02\x00\x00\x00\x00" * (LARGE // 7),
    "field maps": (b"\x0d\x00\x01\x0b\x0b" + struct.pack(">i", 64) + bytes(512)) * (LARGE // 521),
}


@pytest.mark.parametrize("read", [thrift.read_serve, thrift.read_cancelled_number])
@pytest.mark.parametrize("shape", MESSAGES_WITH_MANY_VALUES)
def test_no_message_takes_many_steps_to_read(shape, read, monkeypatch):
    # Guards against clients whose messages keep the interpreter busy for tens of milliseconds each.
    reads, read_bytes = [], thrift.ValueReader.read_bytes

    def count_read(reader, length):
        reads.append(length)
        return read_bytes(reader, length)

    monkeypatch.setattr(thrift.ValueReader, "read_bytes", count_read)
    message = MESSAGES_WITH_MANY_VALUES[shape] + b"\x00"
    with pytest.raises(thrift.ThriftError):
        read(thrift.ValueReader(memoryview(message)))
    assert len(reads) <= MAX_READS_PER_MESSAGE


def test_only_bytes_with_the_cancellation_are_decoded(monkeypatch):
    # Guards against a search of many small frames for each attempt of a client's requests.
    received = CANCELLATION * 1_000 + serve_frame(1, FIELDS, CANCELLATION.replace(b"\3", b"\5"))
    assert thrift.contains_cancellation(received, 3)
    assert not thrift.contains_cancellation(received, 5)  # only inside a body
    monkeypatch.setattr(thrift, "cancelled_numbers", lambda _: 1 / 0)
    assert not thrift.contains_cancellation(received, 4)


@pytest.mark.parametrize(
    ("received", "numbers"),
    [
        (b"", set()),
        (CANCELLATION, {3}),
        (CANCELLATION[:-1], set()),
        (serve_frame(1, FIELDS, CANCELLATION) + CANCELLATION, {3}),
        (serve_frame(1, FIELDS, CANCELLATION), set()),  # inside a body
        (call_frame("forget", 0, b"\x0b", 4) + CANCELLATION, {3}),
        (b"\xff" * 8 + CANCELLATION, set()),
        (CANCELLATION + call_frame("forget", 0, b"\x08\x00\x01\x00\x00\x00\x04\0", 4), {3, 4}),
    ],
)
def test_cancellations_are_found_in_unread_bytes(received, numbers):
    assert thrift.cancelled_numbers(received) == numbers


def test_body_is_a_view_of_received_bytes():
    # Bodies are forwarded without a copy, from the buffer in which they were received.
    decoder = resp.ArrayDecoder(4096)
    (items,) = feed(decoder, resp.command(b"1", b"DONE", b"-", b"z" * 2000), 4096)
    assert resp.parse_answer(items, {}).body.obj is decoder.buffer.view.obj


@pytest.mark.parametrize(
    "data",
    [
        b"+OK\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*9\r\n",
        b"*x\r\n",
        b"*" + b"1" * 40,
        b"*1\r\n:5\r\n",
        b"*1\r\n$-2\r\n",
        b"*1\r\n$-0\r\n\r\n",
        b"*1\r\n$-01\r\n",
        b"*1\r\n$+1\r\na\r\n",
        b"*1\r\n$\r\n\r\n",
        b"*-0\r\n",
        b"*1\r\n$262145\r\n",
        b"*1\r\n$2\r\nabXX",
        b"*1\r\n$1_0\r\n",
    ],
)
def test_unreadable_arrays_are_rejected(data):
    with pytest.raises(resp.RespError):
        feed(resp.ArrayDecoder(), data, 5)


@pytest.mark.parametrize(
    "items",
    [
        (b"a1", b"DONE"),
        (b"a1", b"DONE", b"-"),
        (b"a1", b"NOPE", b"-", b""),
        (b"\xff", b"DONE", b"-", b""),
        (b"a1", b"DONE", b"delay=x", b""),
        (b"a1", b"DONE", b"delay=nan", b""),
        (b"a1", b"DONE", b"delay=-1", b""),
        (b"a1", b"FIT", b"rep=util:inf", b""),
        (b"a1", b"FIT", b"rep=util:1e999", b""),
        (b"a1", b"FIT", b"rep=x1:", b""),
        (b"a1",) * 5,
        (b"a1", b"DONE", b"-", None),
        (b"a1", b"DONE", None, b"x"),
        (b"a1", None, b"-", b"x"),
        (None, b"DONE", b"-", b"x"),
        (b"a1", b"KEEP", b"entity=4b", None),
    ],
)
def test_unreadable_answers_are_rejected(items):
    with pytest.raises(resp.RespError):
        resp.parse_answer([memoryview(item) if item is not None else None for item in items], {})


def test_command_with_a_null_string_is_rejected():
    assert resp.parse_command([memoryview(b"KILL"), memoryview(b"9b")]) == [b"KILL", b"9b"]
    with pytest.raises(resp.RespError):
        resp.parse_command([memoryview(b"KILL"), None])


@pytest.mark.parametrize(
    ("word", "status"),
    [(b"DONE", 0), (b"KEEP", 0), (b"LACK", 2), (b"WAIT", 11), (b"BROKE", 5), (b"PAST", 114)],
)
def test_outcome_words_mean_the_same_as_the_simulators_codes(word, status):
    assert resp.OUTCOME_BY_WORD[word] == OUTCOMES[status]


def test_cache_statuses_are_in_the_simulators_order():
    assert (
        list(resp.CACHE_STATUS_BY_WORD.values())
        == [CACHE_STATUSES[number] for number in range(1, 11)]
        == list(CacheStatus)[1:]
    )


def test_fields_of_an_answer_are_read():
    answer = resp.parse_answer(
        [
            memoryview(item)
            for item in (
                b"t1",
                b"BROKE",
                b"why=UP_DOWN,delay=12.5,rep=inflight:7;x1:0.61,new=1",
                b"",
            )
        ],
        {"x1": "crowding"},
    )
    assert (answer.cache_status, answer.delay, answer.load_report) == (
        CacheStatus.SOURCE_FAILED,
        12.5,
        {"inflight": 7, "crowding": 0.61},
    )


def test_commands_are_encoded_as_on_the_wire():
    plain_step = SendAttempt(None, None, "", 0.0, 0, False, False, True, False)
    request = ClientRequest("pages", "9b", "ab", "0", "", "", b"xy", 9.0, 0, 0.0, False)
    assert b"".join(resp.attempt_command(request, plain_step, 7.9)) == (
        b"*4\r\n$4\r\nPULL\r\n$2\r\n9b\r\n$32\r\nlane=pages,name=ab,piece=0,ttl=7\r\n$2\r\nxy\r\n"
    )
    full_step = SendAttempt(None, None, "s-1", 0.5, 2, True, True, False, True)
    request = ClientRequest("p", "9b", "ab", "0", "5c", "4b", b"", 9.0, 0, 0.0, False)
    encoded = b"".join(resp.attempt_command(request, full_step, 0.2))
    assert encoded.split(b"\r\n")[6:] == [
        b"lane=p,name=ab,piece=0,ttl=1,dedupe=5c,mine=4b,miss=s-1,prio=2,within=1,"
        b"f=collapse+only-if-cached+refresh+no-store-up",
        b"$0",
        b"",
        b"",
    ]
    assert resp.cancel_command("9b") == b"*2\r\n$4\r\nKILL\r\n$2\r\n9b\r\n"
    assert resp.health_check_command("p", True) == b"*2\r\n$5\r\nMETER\r\n$1\r\np\r\n"


# Server-sent events

EVENTS = b': hello\n\nid: 41\ndata: {"a":\ndata: 1}\n\n:\n\nid:42\r\ndata:x\r\n\r\ndata: half'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"


@pytest.mark.parametrize("step_size", STEP_SIZES)
@pytest.mark.parametrize("chunk_size", [0, 1, 4, 1000])
def test_events_are_the_same_in_any_split(step_size, chunk_size):
    body, head = EVENTS, HEAD + b"\r\n"
    if chunk_size:
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        chunks = [EVENTS[start : start + chunk_size] for start in range(0, len(EVENTS), chunk_size)]
        body = b"".join(b"%x;q\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    decoder, events = sse.SseDecoder(), []
    for start in range(0, len(head + body), step_size):
        events += decoder.feed((head + body)[start : start + step_size])
    assert [(event.number, event.data) for event in events] == [(41, '{"a":\n1}'), (42, "x")]


@pytest.mark.parametrize(
    ("last_chunk", "is_finished"),
    [(b"0\r\n", True), (b"0;x\r\n", True), (b"0", False), (b"5\r\n", 0)],
)
def test_last_chunk_ends_the_stream(last_chunk, is_finished):
    decoder = sse.SseDecoder()
    assert decoder.feed(HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\n: a\r\n" + last_chunk) == []
    assert decoder.is_finished == is_finished


@pytest.mark.parametrize("step_size", [1, 2, 3, 1000])
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_lines_of_events_may_end_in_any_way(line_end, step_size):
    # A line that ends with CR must be complete without the next byte. Otherwise a drain in the
    # event would be delayed until more bytes arrive.
    decoder, events = sse.SseDecoder(), []
    data = (
        HEAD
        + b"\r\n"
        + line_end.join([b"id:1", b"data: a", b"", b"data: b", b"id: 2", b"data: c", b"", b""])
    )
    for start in range(0, len(data), step_size):
        events += decoder.feed(data[start : start + step_size])
    assert [(event.number, event.data) for event in events] == [(1, "a"), (2, "b\nc")]


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 404 Not Found\r\n\r\n",
        b"hello\r\n\r\n",
        b"x" * 20000,
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n-5\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n+5\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0x5\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1_0\r\n",
    ],
)
def test_response_that_is_not_the_stream_is_rejected(response):
    with pytest.raises(sse.SseError):
        sse.SseDecoder().feed(response)
