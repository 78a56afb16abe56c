"""The configurations of the connection model, and the settings of its gateway."""

from __future__ import annotations

from dataclasses import dataclass

from meadowpulley.interface import Effect, Limits, RequestClass, Rules

INSTANCES = (("127.0.0.1", 9001), ("127.0.0.1", 9002), ("127.0.0.1", 9003))
DISCOVERY = ("127.0.0.1", 9998)
MOVED_DISCOVERY = ("127.0.0.1", 9999)
CLASSES = (
    RequestClass("look", 200.0, 400.0, Effect.IDEMPOTENT),
    RequestClass("pay", 200.0, 400.0, Effect.NON_IDEMPOTENT),
)
DISCONNECT_GRACE_MS = 300.0  # after its client has gone a request that waits is sent on no more
LATE_RESPONSE_MS = 10.0  # how late a second answer may come: "some milliseconds"
TIMING_SLACK_MS = 50.0  # of every limit, on real sockets
RULES = Rules(response_slack_ms=20.0, max_poll_interval_ms=10_000.0, drain_grace_ms=2000.0)
LIMITS = Limits(
    max_attempts=3,
    cancellation=True,
    retry_after=True,
    max_retry_after_ms=500.0,
    connect_timeout_ms=50.0,
    idle_timeout_ms=30_000.0,
)


@dataclass(frozen=True, slots=True)
class Configuration:
    """`scripts`: what each client writes, request by request; `size`: descriptors for clients and
    instances."""

    name: str
    description: str
    scripts: tuple[tuple[str, ...], ...]
    faults: frozenset[str]
    split_messages: bool = True  # requests and answers come in pieces
    descriptors: int = 8
    starts_unready: bool = False  # not ready yet: it listens after a step
    serves_lists: bool = False  # discovery answers
    edges: frozenset[str] = frozenset({"deadline", "end"})  # where time stops; also "gone", "drain", "stop"


DISCONNECT_FAULTS = frozenset({"leave", "drop", "refused", "fin"})
CONFIGURATIONS = {
    s.name: s
    for s in (
        Configuration(
            "split",
            "one request in pieces, its answer in pieces; either side closes at any point",
            (("get",),),
            DISCONNECT_FAULTS,
        ),
        Configuration(
            "unsafe",
            "a request with an effect and a body: resets, jams, answers before its end",
            (("post",),),
            DISCONNECT_FAULTS | {"jam", "early", "error", "full"},
        ),
        Configuration(
            "pipelined",
            "two requests written one behind another on one connection",
            (("get", "post"),),
            DISCONNECT_FAULTS | {"twice", "noise"},
            split_messages=False,
        ),
        Configuration(
            "noise",
            "input that is no message, from either side; continuations, chunks",
            (("chunked",), ("garbage",), ("expect",)),
            frozenset({"noise", "twice", "close", "leave"}),
        ),
        Configuration(
            "full",
            "more clients than the table holds, and fewer connections than requests",
            (("get",), ("get",), ("post",), ("get",)),
            frozenset({"leave", "drop", "refused"}),
            split_messages=False,
            descriptors=4,
        ),
        Configuration(
            "drain",
            "SIGTERM at each point",
            (("get",), ("post",)),
            frozenset({"sigterm", "leave", "drop", "jam"}),
            split_messages=False,
        ),
        Configuration(
            "reload",
            "SIGHUP at each point, with a file that can be used and one that can't",
            (("get",), ("post",)),
            frozenset({"sighup", "leave", "drop"}),
            split_messages=False,
        ),
        Configuration(
            "reuse",
            "slots used again while something of their last tenant is still out",
            (("get",), ("post",), ("get",)),
            frozenset({"leave", "drop", "error", "twice", "fin"}),
            split_messages=False,
            descriptors=4,
        ),
        Configuration(
            "signals",
            "SIGTERM, SIGHUP at each point from before READY on; requests unread in the kernel",
            (("get", "post"), ("post",)),
            frozenset({"sigterm", "sighup", "unread"}),
            split_messages=False,
            starts_unready=True,
        ),
        Configuration(
            "backlog",
            "requests in the accept backlog as the gateway told to end stops listening",
            (("get",),),
            frozenset({"sigterm", "queue"}),
            split_messages=False,
            edges=frozenset({"deadline", "stop", "end"}),
        ),
        Configuration(
            "halves",
            "clients that end their sending and wait, or go, with requests behind",
            (("get", "bulk", "bulk"),),
            frozenset({"shut", "leave"}),
            split_messages=False,
            edges=frozenset({"deadline", "gone", "end"}),
        ),
        Configuration(
            "late",
            "a second answer, late, on a connection that was given back",
            (("get", "post"), ("get",)),
            frozenset({"again"}),
            split_messages=False,
        ),
        Configuration(
            "lists",
            "a list fetched beside a watch, their answers made and come in any order",
            (("get",),),
            frozenset({"change", "list_failed"}),
            split_messages=False,
            serves_lists=True,
            edges=frozenset({"drain"}),
        ),
    )
}
