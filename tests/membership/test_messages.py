import contextlib
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

CODEC = DatagramCodec("lab", b"a key of ours")
LOCAL = MemberUpdate("n1", "127.0.0.1", 7001, "north", 17, 0, MemberState.ALIVE)


def updates(count):
    return [
        MemberUpdate(f"n{number}", "127.0.0.1", 7001 + number, "north", 5, 2, MemberState.SUSPECT)
        for number in range(count)
    ]


def with_checksum(body):
    return CODEC.checksum(body) + body


def ping(codec=CODEC, sender=LOCAL, piggybacked=()):
    return codec.encode(MessageKind.PING, 1, sender, None, list(piggybacked))


@pytest.mark.parametrize(("count", "expected_count"), [(0, 0), (1, 1), (14, 14)])
def test_decoding_returns_what_was_encoded(count, expected_count):
    message = CODEC.decode(CODEC.encode(MessageKind.PING, 9, LOCAL, LOCAL, updates(count)))
    assert (message.kind, message.number, message.sender, message.target) == (
        MessageKind.PING,
        9,
        LOCAL,
        LOCAL,
    )
    assert message.updates == updates(count)[:expected_count]


def test_updates_that_do_not_fit_into_a_datagram_are_left_out():
    data = CODEC.encode(MessageKind.SYNC_PAGE, 0, LOCAL, None, updates(500))
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert 10 <= len(CODEC.decode(data).updates) < 60


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (lambda data: data[:5], "length"),
        (lambda data: data + bytes(MAX_DATAGRAM_BYTES), "length"),
        (lambda data: data[:-1] + bytes([data[-1] ^ 1]), "checksum"),
        (lambda _: ping(DatagramCodec("lab", b"another key")), "checksum"),
        (lambda _: ping(DatagramCodec("other", b"a key of ours")), "fleet"),
        (lambda _: with_checksum(b"\x93\x01\x02\x03"), "form"),
        (lambda _: with_checksum(b""), "length"),
        (lambda _: ping(sender=MemberUpdate("", "h", 1, "l", 1, 0, MemberState.ALIVE)), "word"),
        (lambda _: ping(sender=MemberUpdate("n", "h", 0, "l", 1, 0, MemberState.ALIVE)), "word"),
        (
            lambda _: ping(
                piggybacked=[MemberUpdate("n" * 65, "h", 1, "l", 1, 0, MemberState.ALIVE)]
            ),
            "word",
        ),
    ],
)
def test_invalid_datagram_is_rejected_with_its_reason(change, reason):
    with pytest.raises(InvalidDatagramError, match=f"^{reason}$"):
        CODEC.decode(change(CODEC.encode(MessageKind.PING, 9, LOCAL, None, updates(2))))


@given(st.binary(max_size=200))
def test_any_body_with_a_valid_checksum_is_decoded_or_rejected(body):
    with contextlib.suppress(InvalidDatagramError):
        CODEC.decode(with_checksum(body))


def test_no_damaged_datagram_is_accepted():
    random = Random(3)
    data = CODEC.encode(MessageKind.PING, 9, LOCAL, None, updates(6))
    for _ in range(20_000):
        damaged = bytearray(data)
        for _ in range(random.randrange(1, 5)):
            damaged[random.randrange(len(damaged))] ^= 1 << random.randrange(8)
        if bytes(damaged) != data:
            with pytest.raises(InvalidDatagramError):
                CODEC.decode(bytes(damaged))
