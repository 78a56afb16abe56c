"""The command line `meadowpulley`: parses flags and variables, starts things, shows them, chooses exit codes.

Reading order: `common` (files, errors, output), then a module a command group; `main` ties them together.
Exit codes: 0 good, 1 the goal is missed or a rule was broken, 2 bad input, 3 the test bed was the limit.
"""

from meadowpulley.cli.main import main

__all__ = ["main"]
