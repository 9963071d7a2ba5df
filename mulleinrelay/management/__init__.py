"""Management over gNMI: a YANG-modelled configuration datastore on a running director.

Modules without I/O, threads or clocks ("pure"): errors, paths, schema, tree, datastore,
drain_intent, assignment_mapping, authorization, edits, gnmi_conversion, gnmi_extensions. Modules
with files, threads or sockets: datastore_file, yang_model (yangson), participants, state_view,
subscribers, service, gnmi_server and its helper modules (grpcio), gnmi_client and commands
(`mulleinrelay ctl`). `builder` assembles the management of a director.
"""
