"""Kinds of nodes, by the names that the platform's settings and endpoint lists use."""

CACHE = "box"
PARENT = "parent"
ORIGIN = "origin"
