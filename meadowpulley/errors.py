"""The base class of the project's errors.

Each package derives its own base class from this class. An error message says in one line what is wrong,
where the mistake is and how to fix it.
"""

from __future__ import annotations


class MeadowpulleyError(Exception):
    """The base class of all errors that this project defines."""
