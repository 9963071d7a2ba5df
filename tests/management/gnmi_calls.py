"""gNMI calls without our own client: raw messages over a plain channel."""

import grpc

from mulleinrelay.management import gnmi_messages as gnmi


def call(director, name, message):
    """Calls a method; Subscribe takes a list of messages and returns all responses."""
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


def subscribe(mode, path, **options):
    """The first message of a Subscribe call."""
    elems = [gnmi.PathElem(name=name) for name in path.strip("/").split("/")]
    return gnmi.SubscribeRequest(
        subscribe=gnmi.SubscriptionList(
            mode=mode,
            encoding=gnmi.JSON_IETF,
            subscription=[gnmi.Subscription(path=gnmi.PathMessage(elem=elems))],
            **options,
        )
    )
