"""gNMI calls with raw messages over a plain channel, without the client of this project."""

import grpc

from mulleinrelay.management import gnmi_messages as gnmi


def call(director, name, message):
    """Call a method and return its response.

    For Subscribe, `message` is a list of messages, and all responses are returned as a list.
    """
    request_class, response_class = gnmi.METHODS[name]
    with grpc.insecure_channel(director.address) as channel:
        if name == "Subscribe":
            return list(
                channel.stream_stream(
                    f"/gnmi.gNMI/{name}", request_class.SerializeToString, response_class.FromString
                )(iter(message))
            )
        return channel.unary_unary(
            f"/gnmi.gNMI/{name}", request_class.SerializeToString, response_class.FromString
        )(message)


def subscribe_request(mode, path, **options):
    """Return the first message of a Subscribe call; `options` are fields of SubscriptionList."""
    elems = [gnmi.PathElem(name=name) for name in path.strip("/").split("/")]
    return gnmi.SubscribeRequest(
        subscribe=gnmi.SubscriptionList(
            mode=mode,
            encoding=gnmi.JSON_IETF,
            subscription=[gnmi.Subscription(path=gnmi.PathMessage(elem=elems))],
            **options,
        )
    )
