"""Kinds of nodes, under the names that platform settings and endpoint lists use."""

CACHE = "box"
PARENT = "parent"
ORIGIN = "origin"
