"""The same examples in every run: a verdict must not depend on the day. And tests known to be red."""

from hypothesis import settings
from support.known_red import pytest_addoption, pytest_configure

__all__ = ["pytest_addoption", "pytest_configure"]

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
