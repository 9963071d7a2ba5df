"""Management over gNMI: a YANG-modelled configuration datastore on a running director.

Pure: errors, paths, schema, tree, datastore, drain_intent, assignment_mapping, authorization,
edits, gnmi_conversion, gnmi_extensions. With files, threads or sockets: datastore_file, yang_model
(yangson), participants, state_view, subscribers, service, gnmi_server and its parts (grpcio),
gnmi_client and commands (`mulleinrelay ctl`). `builder` puts a director's management together.
"""
