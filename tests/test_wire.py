import io
import struct

import pytest

from mulleinrelay import wire
from mulleinrelay.wirehost import process_batch, serve

EMPTY_BATCH = bytes.fromhex("000000000c00000000000000206ec04001000000")
SAMPLE_BATCH = bytes.fromhex(
    "05000000"
    "24010000"
    "00000000206ec040"
    "0c000000"
    + "8203000000"
    + "00" * 51
    + "1ec4913a5da7860e00000000000000640ad2557c3bf0910000000000006e40000020440000304100004040"
    "0100"
    + "00" * 11
    + "464d00000000000000"
    + "00" * 47
    + "8205000000"
    + "00" * 51
    + "3c192b6f0e59610500"
    + "00" * 47
)


def test_a_batch_is_read_field_by_field():
    clock, number, records = wire.read_frame(io.BytesIO(SAMPLE_BATCH))
    assert (clock, number) == (8412.25, 12)
    assert [code for code, _ in records] == [130, 30, 70, 130, 60]
    assert records[1][1][4:8] == (240.0, 640.0, 11.0, 3.0) and records[2][1] == (77,)


def test_an_empty_batch_and_the_end_of_input():
    out = io.BytesIO()
    serve(io.BytesIO(EMPTY_BATCH), out)
    assert out.getvalue() == bytes.fromhex("000000000400000001000000")


def test_a_reply_is_encoded_in_the_wire_format():
    reply = wire.Reply()
    reply.add(wire.FOR_INSTANCE, 5)
    reply.add_bytes(wire.LOG, b"two servers known")
    frame = reply.frame(12)
    assert frame[:12] == struct.pack("<III", 2, 4 + 80 + 17, 12)
    assert frame[52:61] == bytes.fromhex("460000000011000000") and frame.endswith(
        b"two servers known"
    )


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (EMPTY_BATCH[:9], "input ended inside a frame header"),
        (SAMPLE_BATCH[:-5], "input ended inside batch 12"),
        (struct.pack("<IIdI", 1, 12, 0.0, 3), "too short for 1 records"),
        (struct.pack("<IIdI", 1, 68, 0.0, 3) + b"\x07" + b"\0" * 55, "unknown code 7"),
        (
            struct.pack("<IIdIxxx", 1, 68, 0.0, 3)[:20]
            + struct.pack("<BHII", 120, 0, 0, 2).ljust(56, b"\0"),
            "outside the tail",
        ),
    ],
)
def test_a_malformed_frame_is_reported(frame, message):
    with pytest.raises(wire.WireError, match=message):
        serve(io.BytesIO(frame), io.BytesIO())


@pytest.mark.parametrize(
    ("settings", "message"), [(b"{}", "allowed: the key is missing"), (b"[", "cannot be read")]
)
def test_invalid_start_settings_are_reported(settings, message):
    with pytest.raises(wire.WireError, match=message):
        process_batch(0.0, [(wire.SELECT_INSTANCE, (1,)), (wire.BEGIN, (1, settings))], {}, {})
