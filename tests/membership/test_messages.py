from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinrelay.membership.messages import (
    MAX_DATAGRAM_BYTES,
    DatagramCodec,
    InvalidDatagramError,
    MemberState,
    MemberUpdate,
    MessageKind,
)

OURS = DatagramCodec("lab", b"a key of ours")
ME = MemberUpdate("n1", "127.0.0.1", 7001, "north", 17, 0, MemberState.ALIVE)


def words(count):
    return [
        MemberUpdate(f"n{number}", "127.0.0.1", 7001 + number, "north", 5, 2, MemberState.SUSPECT)
        for number in range(count)
    ]


@pytest.mark.parametrize("count, fit", [(0, 0), (1, 1), (14, 14)])
def test_what_is_said_is_read(count, fit):
    told = OURS.decode(OURS.encode(MessageKind.PING, 9, ME, ME, words(count)))
    assert (told.kind, told.number, told.sender, told.target) == (MessageKind.PING, 9, ME, ME)
    assert told.updates == words(count)[:fit]


def test_no_datagram_is_longer_than_a_path_carries():
    data = OURS.encode(MessageKind.SYNC_PAGE, 0, ME, None, words(500))
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert 10 <= len(OURS.decode(data).updates) < 60


@pytest.mark.parametrize(
    "change, reason",
    [
        (lambda data: data[:5], "length"),
        (lambda data: data + bytes(MAX_DATAGRAM_BYTES), "length"),
        (lambda data: data[:-1] + bytes([data[-1] ^ 1]), "checksum"),
        (
            lambda _: DatagramCodec("lab", b"another key").encode(
                MessageKind.PING, 1, ME, None, []
            ),
            "checksum",
        ),
        (
            lambda _: DatagramCodec("other", b"a key of ours").encode(
                MessageKind.PING, 1, ME, None, []
            ),
            "fleet",
        ),
        (lambda _: sealed(b"\x93\x01\x02\x03"), "form"),
        (lambda _: sealed(b""), "length"),
        (
            lambda _: OURS.encode(
                MessageKind.PING,
                1,
                MemberUpdate("", "h", 1, "l", 1, 0, MemberState.ALIVE),
                None,
                [],
            ),
            "word",
        ),
        (
            lambda _: OURS.encode(
                MessageKind.PING,
                1,
                MemberUpdate("n", "h", 0, "l", 1, 0, MemberState.ALIVE),
                None,
                [],
            ),
            "word",
        ),
        (
            lambda _: OURS.encode(
                MessageKind.PING,
                1,
                ME,
                None,
                [MemberUpdate("n" * 65, "h", 1, "l", 1, 0, MemberState.ALIVE)],
            ),
            "word",
        ),
    ],
)
def test_what_cannot_be_used_is_named_and_dropped(change, reason):
    with pytest.raises(InvalidDatagramError, match=f"^{reason}$"):
        OURS.decode(change(OURS.encode(MessageKind.PING, 9, ME, None, words(2))))


def sealed(body):
    return OURS._seal(body) + body


@given(st.binary(max_size=200))
def test_any_bytes_under_a_right_checksum_are_read_or_dropped(body):
    try:
        OURS.decode(sealed(body))
    except InvalidDatagramError:
        pass


def test_of_many_spoilt_datagrams_none_is_taken():
    draw, data = Random(3), OURS.encode(MessageKind.PING, 9, ME, None, words(6))
    for _ in range(20_000):
        spoilt = bytearray(data)
        for _ in range(draw.randrange(1, 5)):
            spoilt[draw.randrange(len(spoilt))] ^= 1 << draw.randrange(8)
        if bytes(spoilt) != data:
            with pytest.raises(InvalidDatagramError):
                OURS.decode(bytes(spoilt))
