"""Every scenario of every feature file beside this one is a test."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios(".")
