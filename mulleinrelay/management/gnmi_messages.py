"""The messages of gNMI, made at import from the published field numbers (gnmi.proto 0.10 and
gnmi_ext.proto) in a descriptor pool of our own, so that no generated code is kept and no other
package's classes are in the way.
"""

from google.protobuf import any_pb2, descriptor_pb2, descriptor_pool, duration_pb2, message_factory

VERSION = "0.10.0"
KINDS = {
    "double": 1,
    "float": 2,
    "int64": 3,
    "uint64": 4,
    "bool": 8,
    "string": 9,
    "bytes": 12,
    "uint32": 13,
}
MESSAGE, ENUM, REPEATED, OPTIONAL = 11, 14, 3, 1

# A message's fields as `name=number type`, `*` before a repeated type, `name/oneof=...` in a oneof
EXT = {
    "Extension": "registered_ext/ext=1 RegisteredExtension, commit/ext=4 Commit",
    "RegisteredExtension": "id=1 ExtensionID, msg=2 bytes",
    "Commit": "id=1 string, commit/action=2 CommitRequest, confirm/action=3 CommitConfirm, "
    "cancel/action=4 CommitCancel",
    "CommitRequest": "rollback_duration=1 .google.protobuf.Duration",
    "CommitConfirm": "",
    "CommitCancel": "",
}
EXT_ENUMS = {"ExtensionID": {"EID_UNSET": 0, "EID_EXPERIMENTAL": 999}}
X = ".gnmi_ext.Extension"
GNMI = {
    "Notification": "timestamp=1 int64, prefix=2 Path, update=4 *Update, delete=5 *Path, atomic=6 bool",
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
    "SubscribeRequest": f"subscribe/request=1 SubscriptionList, poll/request=3 Poll, extension=5 *{X}",
    "Poll": "",
    "SubscribeResponse": "update/response=1 Notification, sync_response/response=3 bool, "
    "error/response=4 Error, "
    f"extension=5 *{X}",
    "SubscriptionList": "prefix=1 Path, subscription=2 *Subscription, qos=4 QOSMarking, mode=5 Mode, "
    "allow_aggregation=6 bool, use_models=7 *ModelData, encoding=8 Encoding, "
    "updates_only=9 bool",
    "Subscription": "path=1 Path, mode=2 SubscriptionMode, sample_interval=3 uint64, "
    "suppress_redundant=4 bool, heartbeat_interval=5 uint64",
    "QOSMarking": "marking=1 uint32",
    "SetRequest": f"prefix=1 Path, delete=2 *Path, replace=3 *Update, update=4 *Update, extension=5 *{X}, "
    "union_replace=6 *Update",
    "SetResponse": "prefix=1 Path, response=2 *UpdateResult, message=3 Error, timestamp=4 int64, "
    f"extension=5 *{X}",
    "UpdateResult": "timestamp=1 int64, path=2 Path, message=3 Error, op=4 Operation",
    "GetRequest": "prefix=1 Path, path=2 *Path, type=3 DataType, encoding=5 Encoding, "
    "use_models=6 *ModelData, "
    f"extension=7 *{X}",
    "GetResponse": f"notification=1 *Notification, error=2 Error, extension=3 *{X}",
    "CapabilityRequest": f"extension=1 *{X}",
    "CapabilityResponse": "supported_models=1 *ModelData, supported_encodings=2 *Encoding, "
    "gNMI_version=3 string, "
    f"extension=4 *{X}",
    "ModelData": "name=1 string, organization=2 string, version=3 string",
}
GNMI_ENUMS = {
    "Encoding": {"JSON": 0, "BYTES": 1, "PROTO": 2, "ASCII": 3, "JSON_IETF": 4},
    "Mode": {"STREAM": 0, "ONCE": 1, "POLL": 2},
    "SubscriptionMode": {"TARGET_DEFINED": 0, "ON_CHANGE": 1, "SAMPLE": 2},
    "Operation": {"INVALID": 0, "DELETE": 1, "REPLACE": 2, "UPDATE": 3, "UNION_REPLACE": 4},
    "DataType": {"ALL": 0, "CONFIG": 1, "STATE": 2, "OPERATIONAL": 3},
}


def _file(
    package: str, messages: dict[str, str], enums: dict[str, dict[str, int]], needs: list[str]
) -> descriptor_pb2.FileDescriptorProto:
    file = descriptor_pb2.FileDescriptorProto(
        name=f"{package}.proto", package=package, syntax="proto3", dependency=needs
    )
    for name, values in enums.items():
        enum = file.enum_type.add(name=name)
        for value, number in values.items():
            # Values of one package share their names, so each carries that of its enum
            enum.value.add(name=f"{name}_{value}", number=number)
    for name, fields in messages.items():
        message = file.message_type.add(name=name)
        oneofs: dict[str, int] = {}
        for text in filter(None, (part.strip() for part in fields.split(", "))):
            head, kind = text.split(" ")
            named, number = head.split("=")
            field, _, oneof = named.partition("/")
            made = message.field.add(
                name=field,
                number=int(number),
                json_name=field,
                label=REPEATED if kind[0] == "*" else OPTIONAL,
            )
            kind = kind.lstrip("*")
            if kind in KINDS:
                made.type = KINDS[kind]
            else:
                made.type = ENUM if kind in enums else MESSAGE
                made.type_name = kind if kind[0] == "." else f".{package}.{kind}"
            if oneof:
                if oneof not in oneofs:
                    oneofs[oneof] = len(oneofs)
                    message.oneof_decl.add(name=oneof)
                made.oneof_index = oneofs[oneof]
        if name == "PathElem":
            entry = message.nested_type.add(name="KeyEntry")
            entry.options.map_entry = True
            for place, field in enumerate(("key", "value"), 1):
                entry.field.add(name=field, number=place, type=KINDS["string"], label=OPTIONAL)
    return file


POOL = descriptor_pool.DescriptorPool()
for _known in (any_pb2, duration_pb2):
    POOL.AddSerializedFile(_known.DESCRIPTOR.serialized_pb)
POOL.Add(_file("gnmi_ext", EXT, EXT_ENUMS, ["google/protobuf/duration.proto"]))
POOL.Add(_file("gnmi", GNMI, GNMI_ENUMS, ["google/protobuf/any.proto", "gnmi_ext.proto"]))


def _class(name: str):
    return message_factory.GetMessageClass(POOL.FindMessageTypeByName(name))


Notification, Update, TypedValue = (
    _class("gnmi.Notification"),
    _class("gnmi.Update"),
    _class("gnmi.TypedValue"),
)
PathMessage, PathElem = _class("gnmi.Path"), _class("gnmi.PathElem")
SubscribeRequest, SubscribeResponse = (
    _class("gnmi.SubscribeRequest"),
    _class("gnmi.SubscribeResponse"),
)
SubscriptionList, Subscription = _class("gnmi.SubscriptionList"), _class("gnmi.Subscription")
SetRequest, SetResponse, UpdateResult = (
    _class("gnmi.SetRequest"),
    _class("gnmi.SetResponse"),
    _class("gnmi.UpdateResult"),
)
GetRequest, GetResponse = _class("gnmi.GetRequest"), _class("gnmi.GetResponse")
CapabilityRequest, CapabilityResponse = (
    _class("gnmi.CapabilityRequest"),
    _class("gnmi.CapabilityResponse"),
)
ModelData, Extension = _class("gnmi.ModelData"), _class("gnmi_ext.Extension")
JSON, ASCII, JSON_IETF = 0, 3, 4
STREAM, ONCE, POLL = 0, 1, 2
TARGET_DEFINED, ON_CHANGE, SAMPLE = 0, 1, 2
ALL, CONFIG, STATE, OPERATIONAL = 0, 1, 2, 3
DELETE, REPLACE, UPDATE, UNION_REPLACE = 1, 2, 3, 4
EXPERIMENTAL = 999
METHODS = {
    "Capabilities": (CapabilityRequest, CapabilityResponse),
    "Get": (GetRequest, GetResponse),
    "Set": (SetRequest, SetResponse),
    "Subscribe": (SubscribeRequest, SubscribeResponse),
}
