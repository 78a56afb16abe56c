"""Reads batches from standard input and writes a reply to each on standard output until the input ends."""

from __future__ import annotations

import sys

from meadowpulley.drill.codec import WireError, read_batch
from meadowpulley.drill.host import Host


def main() -> int:
    host = Host()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (batch := read_batch(source)) is not None:
            sink.write(host.reply(batch))
            sink.flush()
    except WireError as error:
        print(f"meadowpulley: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        print("meadowpulley: standard output was closed", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
