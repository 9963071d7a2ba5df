"""A load-aware router before tiers of caches with one origin behind them."""

VERSION = "0.2.0"
