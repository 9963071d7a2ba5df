"""The same verdict every time: hypothesis draws the same cases at each run."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
