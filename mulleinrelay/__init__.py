"""A load-aware router in front of tiers of caches with one origin."""

VERSION = "0.2.0"
