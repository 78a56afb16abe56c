"""Reads batches from standard input and writes each reply to standard output, until the input ends."""

from __future__ import annotations

import sys

from meadowpulley.simulator_adapter.codec import FrameError, read_batch
from meadowpulley.simulator_adapter.gateway_host import GatewayHost


def main() -> int:
    """Reply to each batch until the input ends, and return the exit code.

    The exit code is 2 for a malformed frame, 1 if standard output was closed, and 0 otherwise.
    """
    host = GatewayHost()
    source = sys.stdin.buffer
    sink = sys.stdout.buffer
    try:
        while (batch := read_batch(source)) is not None:
            sink.write(host.handle_batch(batch))
            sink.flush()
    except FrameError as error:
        print(f"meadowpulley: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        print("meadowpulley: standard output was closed", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
