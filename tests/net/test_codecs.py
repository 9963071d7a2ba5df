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
FORGET = call_frame("forget", 0, b"\x08\x00\x01\x00\x00\x00\x03\0", 4)
STEPS = [1, 2, 3, 5, 7, 64, 10**6]


def feed(parser, data, step):
    """Receives the data in pieces of at most `step` bytes, as a link or a client's thread does."""
    found, data = [], memoryview(data)
    while len(data):
        room = parser.writable_view()
        length = min(step, len(room), len(data))
        room[:length] = data[:length]
        found += parser.decode(length)
        data = data[length:]
    return found


# Received bytes


def test_view_handed_out_is_never_written_again():
    # Guards against an answer's bytes changing under a client that is still being written to.
    intake = ReceiveBuffer(8)
    intake.writable_view()[:6] = b"abcdef"
    intake.end += 6
    taken = intake.take(4)
    for byte in b"ghijklmnop":
        intake.writable_view()[:1] = bytes((byte,))
        intake.end += 1
    assert bytes(taken) == b"abcd" and bytes(intake.unread()) == b"efghijklmnop"


# Thrift


@pytest.mark.parametrize("step", STEPS)
def test_frames_are_the_same_in_any_split(step):
    calls = [
        serve_frame(number, FIELDS | {"entity": f"{number:016x}"}, b"x" * size)
        for number, size in ((1, 0), (2, 9000), (3, 1))
    ]
    found = [
        thrift.read_call(frame) for frame in feed(thrift.FrameDecoder(64), b"".join(calls), step)
    ]
    assert [(call.method, call.kind, call.sequence_number) for call in found] == [
        ("serve", 1, n) for n in (1, 2, 3)
    ]
    read = [thrift.read_serve(call.arguments) for call in found]
    assert [(asked.object, len(asked.body)) for asked in read] == [
        ("0" * 15 + "1", 0),
        ("0" * 15 + "2", 9000),
        ("0" * 15 + "3", 1),
    ]


@pytest.mark.parametrize("size", [-1, 0, thrift.MAX_FRAME_BYTES + 1, 2**31 - 1])
def test_frame_of_wrong_length_is_rejected_at_once(size):
    with pytest.raises(thrift.ThriftError):
        feed(thrift.FrameDecoder(), struct.pack(">i", size), 4)


MAP = b"\x0d\x00\x01\x0b\x0b\x00\x00\x00\x01\x00\x00\x00\x01a\x00\x00\x00\x01b"
UNKNOWN = [
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


@pytest.mark.parametrize("unknown", UNKNOWN)
def test_unknown_fields_are_skipped(unknown):
    (frame,) = feed(thrift.FrameDecoder(), serve_frame(1, FIELDS | {"new": "1"}, b"xy"), 1000)
    known = bytes(thrift.read_call(frame).arguments.frame[17:-1])
    asked = thrift.read_serve(thrift.ValueReader(memoryview(unknown + known + unknown + b"\x00")))
    assert (asked.request_class, asked.remaining_time, bytes(asked.body)) == (
        "pages",
        1500.0,
        b"xy",
    )


@pytest.mark.parametrize(
    ("held", "told"),
    [
        (b"", "wanted at 0"),
        (b"\x00", "no fields"),
        (MAP, "wanted at"),
        (MAP[:-3] + b"\x7f\xff\xff\xffb\x00", "wanted at"),
        (MAP[:5] + b"\x7f\xff\xff\xff", "a collection of"),
        (MAP[:5] + b"\xff\xff\xff\xff", "a collection of -1"),
        (MAP[:4] + b"\x08\x00\x00\x00\x01" + bytes(8), "not of strings"),
        (MAP[:-1] + b"\xff\x00", "not UTF-8"),
        (MAP + b"\x0b\x00\x02" + struct.pack(">i", -5), "-5 bytes wanted"),
        (
            MAP + b"\x0b\x00\x02" + struct.pack(">i", 48001) + bytes(48001) + b"\0",
            "a body of 48001",
        ),
        (MAP + b"\x63\x00\x09\x00", "unknown type 99"),
        (MAP + b"\x0c\x00\x09" * 20, "nested too deep"),
    ],
)
def test_unreadable_arguments_are_rejected(held, told):
    with pytest.raises(thrift.ThriftError, match=told):
        thrift.read_serve(thrift.ValueReader(memoryview(held)))


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
    ("pieces", "wanted"),
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
def test_answers_are_encoded_as_on_the_wire(pieces, wanted):
    length, message = struct.unpack(">i", b"".join(pieces)[:4])[0], b"".join(pieces)[4:]
    assert length == len(message) and message.hex() == wanted.replace(" ", "")


# RESP


@pytest.mark.parametrize("step", STEPS)
def test_arrays_are_the_same_in_any_split(step):
    stream = (
        resp.command(b"a1", b"DONE", b"why=HIT", b"\r\n*2\r\n" + bytes(9000))
        + resp.command(b"a2", b"LACK", b"-")
        + resp.command(b"a3", b"KEEP", b"-", b"")
        + b"*4\r\n$2\r\na4\r\n$4\r\nPAST\r\n$1\r\n-\r\n$-1\r\n"
    )
    found = [resp.parse_answer(items, {}) for items in feed(resp.ArrayDecoder(64), stream, step)]
    assert [
        (told.request_id, told.outcome, len(told.body), told.is_not_modified) for told in found
    ] == [
        ("a1", Outcome.SERVED, 9006, False),
        ("a2", Outcome.MISS, 0, False),
        ("a3", Outcome.SERVED, 0, True),
        ("a4", Outcome.NOT_SENT, 0, False),
    ]


@pytest.mark.parametrize(
    ("parser", "whole", "wrong"),
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
def test_complete_messages_before_unreadable_bytes_are_yielded(parser, whole, wrong):
    held, found, data = parser(), [], b"".join(whole) + wrong
    held.writable_view()[: len(data)] = data
    with pytest.raises((resp.RespError, thrift.ThriftError)):
        for one in held.decode(len(data)):
            found.append(one)
    assert len(found) == len(whole)


@pytest.mark.parametrize(
    ("received", "numbers"),
    [
        (b"", set()),
        (FORGET, {3}),
        (FORGET[:-1], set()),
        (serve_frame(1, FIELDS, FORGET) + FORGET, {3}),
        (serve_frame(1, FIELDS, FORGET), set()),  # within a body
        (call_frame("forget", 0, b"\x0b", 4) + FORGET, {3}),
        (b"\xff" * 8 + FORGET, set()),
        (FORGET + call_frame("forget", 0, b"\x08\x00\x01\x00\x00\x00\x04\0", 4), {3, 4}),
    ],
)
def test_cancellations_are_found_in_unread_bytes(received, numbers):
    assert thrift.cancelled_numbers(received) == numbers


def test_body_is_a_view_of_received_bytes():
    # Guards against copies of bodies: they pass through in the buffer that they came in.
    arrays = resp.ArrayDecoder(4096)
    (items,) = feed(arrays, resp.command(b"1", b"DONE", b"-", b"z" * 2000), 4096)
    assert resp.parse_answer(items, {}).body.obj is arrays.buffer.view.obj


@pytest.mark.parametrize(
    "stream",
    [
        b"+OK\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*9\r\n",
        b"*x\r\n",
        b"*" + b"1" * 40,
        b"*1\r\n:5\r\n",
        b"*1\r\n$-2\r\n",
        b"*1\r\n$262145\r\n",
        b"*1\r\n$2\r\nabXX",
        b"*1\r\n$1_0\r\n",
    ],
)
def test_unreadable_arrays_are_rejected(stream):
    with pytest.raises(resp.RespError):
        feed(resp.ArrayDecoder(), stream, 5)


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
    ],
)
def test_unreadable_answers_are_rejected(items):
    with pytest.raises(resp.RespError):
        resp.parse_answer([memoryview(item) for item in items], {})


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
    told = resp.parse_answer(
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
    assert (told.cache_status, told.delay, told.load_report) == (
        CacheStatus.SOURCE_FAILED,
        12.5,
        {"inflight": 7, "crowding": 0.61},
    )


def test_commands_are_encoded_as_on_the_wire():
    plain = SendAttempt(None, None, "", 0.0, 0, False, False, True, False)
    asked = ClientRequest("pages", "9b", "ab", "0", "", "", b"xy", 9.0, 0, 0.0, False)
    assert b"".join(resp.attempt_command(asked, plain, 7.9)) == (
        b"*4\r\n$4\r\nPULL\r\n$2\r\n9b\r\n$32\r\nlane=pages,name=ab,piece=0,ttl=7\r\n$2\r\nxy\r\n"
    )
    full = SendAttempt(None, None, "s-1", 0.5, 2, True, True, False, True)
    asked = ClientRequest("p", "9b", "ab", "0", "5c", "4b", b"", 9.0, 0, 0.0, False)
    words = b"".join(resp.attempt_command(asked, full, 0.2))
    assert words.split(b"\r\n")[6:] == [
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


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("chunk", [0, 1, 4, 1000])
def test_events_are_the_same_in_any_split(step, chunk):
    body, head = EVENTS, HEAD + b"\r\n"
    if chunk:
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        parts = [EVENTS[at : at + chunk] for at in range(0, len(EVENTS), chunk)]
        body = b"".join(b"%x;q\r\n%s\r\n" % (len(part), part) for part in parts)
    stream, found = sse.SseDecoder(), []
    for at in range(0, len(head + body), step):
        found += stream.feed((head + body)[at : at + step])
    assert [(event.number, event.data) for event in found] == [(41, '{"a":\n1}'), (42, "x")]


@pytest.mark.parametrize(
    ("last", "over"), [(b"0\r\n", True), (b"0;x\r\n", True), (b"0", False), (b"5\r\n", 0)]
)
def test_last_chunk_ends_the_stream(last, over):
    stream = sse.SseDecoder()
    assert stream.feed(HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\n: a\r\n" + last) == []
    assert stream.is_finished == over


@pytest.mark.parametrize("step", [1, 2, 3, 1000])
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
def test_lines_of_events_may_end_in_any_way(end, step):
    # Guards against drains that are read as half a line, and one that waits for the byte behind it.
    stream, found = sse.SseDecoder(), []
    data = (
        HEAD
        + b"\r\n"
        + end.join([b"id:1", b"data: a", b"", b"data: b", b"id: 2", b"data: c", b"", b""])
    )
    for place in range(0, len(data), step):
        found += stream.feed(data[place : place + step])
    assert [(event.number, event.data) for event in found] == [(1, "a"), (2, "b\nc")]


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 404 Not Found\r\n\r\n",
        b"hello\r\n\r\n",
        b"x" * 20000,
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_response_that_is_not_the_stream_is_rejected(answer):
    with pytest.raises(sse.SseError):
        sse.SseDecoder().feed(answer)
