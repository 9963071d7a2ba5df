"""Management over gNMI: a configuration datastore, modelled in YANG, on a running director.

Modules without I/O, threads or clocks of their own: errors, paths, schema, tree, datastore,
drain_intent, assignment_mapping, authorization, edits, gnmi_messages, gnmi_conversion,
gnmi_extensions.

Server modules with files, threads, locks or sockets: config, datastore_file, yang_model (with
yangson), participants, state_view, subscribers, service, and (with grpcio) gnmi_server,
gnmi_subscriptions and certificates. `builder` assembles the management of a director.

Modules of the client `mulleinrelay ctl`: gnmi_client, commands, command_output.
"""
