"""Management over gNMI: a YANG-modelled datastore on a running director.

Pure: paths, datastore, intent, mapping, rights. With I/O: model (yangson), keep (files), server and
messages (grpcio), part (the running director), ctl (the command line's client).
"""
