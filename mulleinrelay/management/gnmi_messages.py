"""The message classes of gNMI, built at import time from the published field numbers.

The sources are gnmi.proto 0.10 and gnmi_ext.proto. As the classes are built at import time, the
project contains no generated code. They have a descriptor pool of their own, so that they cannot
conflict with the classes of other packages. They have no static types.
"""

from typing import Any

from google.protobuf import any_pb2, descriptor_pb2, descriptor_pool, duration_pb2, message_factory

VERSION = "0.10.0"

# Values of FieldDescriptorProto.Type and FieldDescriptorProto.Label in descriptor.proto
SCALAR_TYPES = {
    "double": 1,
    "float": 2,
    "int64": 3,
    "uint64": 4,
    "bool": 8,
    "string": 9,
    "bytes": 12,
    "uint32": 13,
}
TYPE_MESSAGE = 11
TYPE_ENUM = 14
LABEL_OPTIONAL = 1
LABEL_REPEATED = 3

# Fields of messages as `name=number type`, with `*` before the type of a repeated field, and as
# `name/oneof=number type` for a field of a oneof
EXTENSION_MESSAGES = {
    "Extension": "registered_ext/ext=1 RegisteredExtension, commit/ext=4 Commit",
    "RegisteredExtension": "id=1 ExtensionID, msg=2 bytes",
    "Commit": "id=1 string, commit/action=2 CommitRequest, confirm/action=3 CommitConfirm, "
    "cancel/action=4 CommitCancel",
    "CommitRequest": "rollback_duration=1 .google.protobuf.Duration",
    "CommitConfirm": "",
    "CommitCancel": "",
}
EXTENSION_ENUMS = {"ExtensionID": {"EID_UNSET": 0, "EID_EXPERIMENTAL": 999}}
EXTENSION = ".gnmi_ext.Extension"
GNMI_MESSAGES = {
    "Notification": "timestamp=1 int64, prefix=2 Path, update=4 *Update, delete=5 *Path, "
    "atomic=6 bool",
    "Update": "path=1 Path, val=3 TypedValue, duplicates=4 uint32",
    "TypedValue": "string_val/value=1 string, int_val/value=2 int64, uint_val/value=3 uint64, "
    "bool_val/value=4 bool, bytes_val/value=5 bytes, float_val/value=6 float, "
    "decimal_val/value=7 Decimal64, leaflist_val/value=8 ScalarArray, "
    "any_val/value=9 .google.protobuf.Any, json_val/value=10 bytes, json_ietf_val/value=11 bytes, "
    "ascii_val/value=12 string, proto_bytes/value=13 bytes, double_val/value=14 double",
    "Path": "element=1 *string, origin=2 string, elem=3 *PathElem, target=4 string",
    "PathElem": "name=1 string, key=2 *PathElem.KeyEntry",
    "Error": "code=1 uint32, message=2 string, data=3 .google.protobuf.Any",
    "ScalarArray": "element=1 *TypedValue",
    "Decimal64": "digits=1 int64, precision=2 uint32",
    "SubscribeRequest": "subscribe/request=1 SubscriptionList, poll/request=3 Poll, "
    f"extension=5 *{EXTENSION}",
    "Poll": "",
    "SubscribeResponse": "update/response=1 Notification, sync_response/response=3 bool, "
    "error/response=4 Error, "
    f"extension=5 *{EXTENSION}",
    "SubscriptionList": "prefix=1 Path, subscription=2 *Subscription, qos=4 QOSMarking, "
    "mode=5 Mode, allow_aggregation=6 bool, use_models=7 *ModelData, encoding=8 Encoding, "
    "updates_only=9 bool",
    "Subscription": "path=1 Path, mode=2 SubscriptionMode, sample_interval=3 uint64, "
    "suppress_redundant=4 bool, heartbeat_interval=5 uint64",
    "QOSMarking": "marking=1 uint32",
    "SetRequest": "prefix=1 Path, delete=2 *Path, replace=3 *Update, update=4 *Update, "
    f"extension=5 *{EXTENSION}, union_replace=6 *Update",
    "SetResponse": "prefix=1 Path, response=2 *UpdateResult, message=3 Error, timestamp=4 int64, "
    f"extension=5 *{EXTENSION}",
    "UpdateResult": "timestamp=1 int64, path=2 Path, message=3 Error, op=4 Operation",
    "GetRequest": "prefix=1 Path, path=2 *Path, type=3 DataType, encoding=5 Encoding, "
    "use_models=6 *ModelData, "
    f"extension=7 *{EXTENSION}",
    "GetResponse": f"notification=1 *Notification, error=2 Error, extension=3 *{EXTENSION}",
    "CapabilityRequest": f"extension=1 *{EXTENSION}",
    "CapabilityResponse": "supported_models=1 *ModelData, supported_encodings=2 *Encoding, "
    "gNMI_version=3 string, "
    f"extension=4 *{EXTENSION}",
    "ModelData": "name=1 string, organization=2 string, version=3 string",
}
GNMI_ENUMS = {
    "Encoding": {"JSON": 0, "BYTES": 1, "PROTO": 2, "ASCII": 3, "JSON_IETF": 4},
    "Mode": {"STREAM": 0, "ONCE": 1, "POLL": 2},
    "SubscriptionMode": {"TARGET_DEFINED": 0, "ON_CHANGE": 1, "SAMPLE": 2},
    "Operation": {"INVALID": 0, "DELETE": 1, "REPLACE": 2, "UPDATE": 3, "UNION_REPLACE": 4},
    "DataType": {"ALL": 0, "CONFIG": 1, "STATE": 2, "OPERATIONAL": 3},
}


def _file_descriptor(
    package: str, messages: dict[str, str], enums: dict[str, dict[str, int]], imports: list[str]
) -> descriptor_pb2.FileDescriptorProto:
    """Build the descriptor of a .proto file from tables of messages and enums."""
    file = descriptor_pb2.FileDescriptorProto(
        name=f"{package}.proto", package=package, syntax="proto3", dependency=imports
    )
    for name, values in enums.items():
        enum = file.enum_type.add(name=name)
        for value, number in values.items():
            # The values of all enums of a package share one scope, so the name of the enum is
            # put in front of the name of the value to make it unique.
            enum.value.add(name=f"{name}_{value}", number=number)
    for name, fields in messages.items():
        message = file.message_type.add(name=name)
        for text in fields.split(", ") if fields else ():
            _add_field(message, text, package, enums)
        if name == "PathElem":
            _add_key_map(message)
    return file


def _add_field(message: Any, text: str, package: str, enums: dict[str, dict[str, int]]) -> None:
    """Add a field to a message's descriptor, and its oneof if the message lacks it."""
    declaration, type_name = text.split(" ")
    full_name, number = declaration.split("=")
    name, _, oneof = full_name.partition("/")
    is_repeated = type_name.startswith("*")
    type_name = type_name.lstrip("*")
    field = message.field.add(
        name=name,
        number=int(number),
        json_name=name,
        label=LABEL_REPEATED if is_repeated else LABEL_OPTIONAL,
    )
    if type_name in SCALAR_TYPES:
        field.type = SCALAR_TYPES[type_name]
    else:
        field.type = TYPE_ENUM if type_name in enums else TYPE_MESSAGE
        is_qualified = type_name.startswith(".")
        field.type_name = type_name if is_qualified else f".{package}.{type_name}"
    if oneof:
        oneofs = [declared.name for declared in message.oneof_decl]
        if oneof not in oneofs:
            message.oneof_decl.add(name=oneof)
            oneofs.append(oneof)
        field.oneof_index = oneofs.index(oneof)


def _add_key_map(message: Any) -> None:
    """Add the entry type of the field `map<string, string> key` to PathElem."""
    entry = message.nested_type.add(name="KeyEntry")
    entry.options.map_entry = True
    for number, name in enumerate(("key", "value"), 1):
        entry.field.add(name=name, number=number, type=SCALAR_TYPES["string"], label=LABEL_OPTIONAL)


POOL = descriptor_pool.DescriptorPool()
for _dependency in (any_pb2, duration_pb2):
    POOL.AddSerializedFile(_dependency.DESCRIPTOR.serialized_pb)
POOL.Add(
    _file_descriptor(
        "gnmi_ext", EXTENSION_MESSAGES, EXTENSION_ENUMS, ["google/protobuf/duration.proto"]
    )
)
POOL.Add(
    _file_descriptor(
        "gnmi", GNMI_MESSAGES, GNMI_ENUMS, ["google/protobuf/any.proto", "gnmi_ext.proto"]
    )
)


def _message_class(name: str) -> Any:
    return message_factory.GetMessageClass(POOL.FindMessageTypeByName(name))


Notification = _message_class("gnmi.Notification")
Update = _message_class("gnmi.Update")
TypedValue = _message_class("gnmi.TypedValue")
PathMessage = _message_class("gnmi.Path")
PathElem = _message_class("gnmi.PathElem")
SubscribeRequest = _message_class("gnmi.SubscribeRequest")
SubscribeResponse = _message_class("gnmi.SubscribeResponse")
SubscriptionList = _message_class("gnmi.SubscriptionList")
Subscription = _message_class("gnmi.Subscription")
SetRequest = _message_class("gnmi.SetRequest")
SetResponse = _message_class("gnmi.SetResponse")
UpdateResult = _message_class("gnmi.UpdateResult")
GetRequest = _message_class("gnmi.GetRequest")
GetResponse = _message_class("gnmi.GetResponse")
CapabilityRequest = _message_class("gnmi.CapabilityRequest")
CapabilityResponse = _message_class("gnmi.CapabilityResponse")
ModelData = _message_class("gnmi.ModelData")
Extension = _message_class("gnmi_ext.Extension")

# Values of the enum Encoding
JSON = 0
ASCII = 3
JSON_IETF = 4
# Values of the enum SubscriptionList.Mode
STREAM = 0
ONCE = 1
POLL = 2
# Values of the enum SubscriptionMode
TARGET_DEFINED = 0
ON_CHANGE = 1
SAMPLE = 2
# Values of the enum GetRequest.DataType
ALL = 0
CONFIG = 1
STATE = 2
OPERATIONAL = 3
# Values of the enum UpdateResult.Operation
DELETE = 1
REPLACE = 2
UPDATE = 3
UNION_REPLACE = 4
# Value of the enum ExtensionID for extensions that are not registered with OpenConfig
EXPERIMENTAL_EXTENSION_ID = 999

# Classes of request and response, by name of the method
METHODS = {
    "Capabilities": (CapabilityRequest, CapabilityResponse),
    "Get": (GetRequest, GetResponse),
    "Set": (SetRequest, SetResponse),
    "Subscribe": (SubscribeRequest, SubscribeResponse),
}
