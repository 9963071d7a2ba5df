"""gNMI calls with raw messages, with published field numbers and with an independent client.

They guard against errors that the project's own client and server share.
"""

import grpc
import pytest
from gnmi_calls import call, subscribe_request
from managed_director import INSECURE_CONFIG, ManagedDirector, drain
from pygnmi.client import gNMIclient

from mulleinrelay.management import gnmi_messages as gnmi
from mulleinrelay.management.gnmi_client import GnmiCallError


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Yield a director with cells, shared by the tests that start no director of their own."""
    with ManagedDirector(tmp_path_factory.mktemp("managed"), cells=True) as director:
        yield director


@pytest.mark.parametrize(
    ("name", "message", "code"),
    [
        ("Get", gnmi.GetRequest(encoding=gnmi.ASCII), "UNIMPLEMENTED"),
        ("Get", gnmi.GetRequest(path=[{"origin": "cli"}]), "INVALID_ARGUMENT"),
        ("Get", gnmi.GetRequest(path=[{"elem": [{"name": "none"}]}]), "NOT_FOUND"),
        ("Get", gnmi.GetRequest(path=[{"element": ["fleet"]}]), "INVALID_ARGUMENT"),
        ("Get", gnmi.GetRequest(path=[{"elem": [{"name": "a"}] * 40}]), "INVALID_ARGUMENT"),
        (
            "Set",
            gnmi.SetRequest(
                update=[{"path": {"elem": [{"name": "fleet"}]}, "val": {"json_val": b"{"}}]
            ),
            "INVALID_ARGUMENT",
        ),
        (
            "Set",
            gnmi.SetRequest(
                update=[{"path": {"elem": [{"name": "fleet"}]}, "val": {"proto_bytes": b"x"}}]
            ),
            "INVALID_ARGUMENT",
        ),
        ("Set", gnmi.SetRequest(union_replace=[{"path": {}}]), "UNIMPLEMENTED"),
        ("Subscribe", [gnmi.SubscribeRequest(poll={})], "INVALID_ARGUMENT"),
        ("Subscribe", [subscribe_request(gnmi.STREAM, "/fleet/none")], "NOT_FOUND"),
    ],
)
def test_invalid_call_ends_with_its_status(running, name, message, code):
    with pytest.raises(grpc.RpcError) as error:
        call(running, name, message)
    assert error.value.code().name == code
    assert error.value.details()


def test_message_over_the_limit_is_rejected(tmp_path):
    with ManagedDirector(tmp_path, INSECURE_CONFIG + "[limits]\nmessage_kb = 4\n") as director:
        with pytest.raises(GnmiCallError) as error:
            drain(director.target(), "s-9", reason="x" * 9_000)
        assert error.value.code == "RESOURCE_EXHAUSTED"


VARINT = 0
LENGTH_DELIMITED = 2


def encode_field(number, wire_type, value):
    """Return an encoded protobuf field; `value` is bytes or, for a varint, an integer below 128."""
    tag = bytes([number << 3 | wire_type])
    if wire_type == LENGTH_DELIMITED:
        return tag + bytes([len(value)]) + value
    return tag + bytes([value])


def encode_bytes(number, value):
    return encode_field(number, LENGTH_DELIMITED, value)


def test_request_built_from_published_field_numbers_is_answered(running):
    # GetRequest: path = 2, type = 3 (CONFIG 1), encoding = 5 (JSON_IETF 4); Path: elem = 3;
    # PathElem: name = 1, key = 2
    key = encode_bytes(2, encode_bytes(1, b"name") + encode_bytes(2, b"acme"))
    elems = [
        encode_bytes(1, b"fleet"),
        encode_bytes(1, b"assignment"),
        encode_bytes(1, b"tenant") + key,
    ]
    path = b"".join(encode_bytes(3, elem) for elem in elems)
    request = encode_bytes(2, path) + encode_field(3, VARINT, 1) + encode_field(5, VARINT, 4)
    with grpc.insecure_channel(running.address) as channel:
        call_get = channel.unary_unary("/gnmi.gNMI/Get", lambda data: data, lambda data: data)
        response = call_get(request)
    assert b'"mulleinrelay-fleet:name":"acme"' in response
    assert response[0] == 1 << 3 | LENGTH_DELIMITED  # GetResponse: notification = 1


def test_independent_client_can_get_set_and_subscribe(tmp_path):
    with ManagedDirector(tmp_path) as director:
        host, _, port = director.address.rpartition(":")
        with gNMIclient(target=(host, int(port)), insecure=True) as client:
            capabilities = client.capabilities()
            assert capabilities["supported_models"][0]["name"] == "mulleinrelay-fleet"
            assert "json_ietf" in capabilities["supported_encodings"]
            client.set(
                update=[("/fleet/drains/drain[box=s-03]", {"reason": "by pygnmi"})],
                encoding="json_ietf",
            )
            assert director.ready_caches() == ["s-01", "s-02"]
            response = client.get(path=["/fleet/drains/drain[box=s-03]"], encoding="json_ietf")
            value = response["notification"][0]["update"][0]["val"]
            assert value["mulleinrelay-fleet:reason"] == "by pygnmi"
            stream = client.subscribe_stream(
                subscribe={
                    "subscription": [{"path": "/fleet/drains", "mode": "on_change"}],
                    "mode": "stream",
                    "encoding": "json_ietf",
                }
            )
            assert "update" in next(iter(stream))
            stream.close()  # ends the stream of requests, but not that of responses
            client.set(delete=["/fleet/drains/drain[box=s-03]"])
            assert director.ready_caches() == ["s-01", "s-02", "s-03"]
            # The director ends the stream of responses. Otherwise the closed channel would end it
            # with an error, which the client would raise in its own thread.
            director.management.stop()
            stream._subscribe_thread.join(10.0)
            assert not stream._subscribe_thread.is_alive()
            assert stream.error is None
