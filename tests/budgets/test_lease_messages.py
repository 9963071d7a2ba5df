import msgspec
import pytest

from mulleinrelay.budgets.lease_messages import LeaseCodec, LeaseMessage, LeaseMessageKind
from mulleinrelay.errors import ProtocolError

CODEC = LeaseCodec()


@pytest.mark.parametrize("kind", LeaseMessageKind)
def test_decoding_returns_what_was_encoded(kind):
    messages = [LeaseMessage("cold", kind, 17, 4, 1 << 19, 3), LeaseMessage("cold", kind, 17, 5)]
    assert CODEC.decode(CODEC.encode(messages)) == messages


@pytest.mark.parametrize(
    ("kind", "encoded_kind"),
    [
        (LeaseMessageKind.REQUEST, "a"),
        (LeaseMessageKind.GRANT, "l"),
        (LeaseMessageKind.RELEASE, "b"),
    ],
)
def test_wire_format_is_an_array_in_the_order_of_the_fields(kind, encoded_kind):
    payload = CODEC.encode([LeaseMessage("cold", kind, 17, 4, 8, 3)])
    assert msgspec.msgpack.decode(payload) == [["cold", encoded_kind, 17, 4, 8, 3]]


def test_message_of_an_unknown_kind_does_not_invalidate_the_others():
    messages = [LeaseMessage("cold", "z", 17, 4), LeaseMessage("cold", "a", 17, 5)]
    assert CODEC.decode(CODEC.encode(messages)) == messages


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"\x93\x01\x02\x03"])
def test_invalid_payload_is_a_protocol_error(payload):
    with pytest.raises(ProtocolError):
        CODEC.decode(payload)
