"""The root of the project's errors.

Each package derives its own base from it. An error says in one line what is wrong, where, and what to do.
"""

from __future__ import annotations


class MeadowpulleyError(Exception):
    """The base of all errors that this project raises."""
