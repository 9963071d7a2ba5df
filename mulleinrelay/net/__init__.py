"""Sockets of a director: clients, upstream connections, the event stream, and their codecs."""
