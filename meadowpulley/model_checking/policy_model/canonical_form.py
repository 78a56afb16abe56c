"""How a state of the policy model is copied, compared and written in canonical form."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from meadowpulley.model_checking.choices import ScriptedRandom
from meadowpulley.model_checking.graph import Copier, FormRules, FormWriter, WriteFunction
from meadowpulley.state import FailureTestBounds, Server

# Fields that stay as they are, and counters by which nothing is decided.
UNCHANGING_POLICY_FIELDS = frozenset(
    {
        "settings",
        "rules",
        "rollout_settings",
        "actions",
        "gateway_count",
        "confidence_z",
        "required_evidence",
        "send_refusals",
        "sends_by_lease_basis",
    }
)
IGNORED_FIELDS = {
    "RolloutPolicy": UNCHANGING_POLICY_FIELDS | {"rng"},
    "InFlightRequest": frozenset({"request_class"}),
    "Server": frozenset({"fingerprint"}),  # follows from its number, build and start
    "SequentialFailureTest": frozenset({"bounds"}),  # a constant
    "ConfirmationState": frozenset({"rng", "ready_servers"}),  # the latter follows from the servers
    "InvariantMonitor": frozenset({"number", "settings"}),
    "TraceChecker": frozenset({"parameters", "counts", "record_count", "_handlers"}),
}


def _by_server(writer: FormWriter, value: Mapping[int, object]) -> object:
    pairs = [(writer.server_number(n), n) for n in value]
    return tuple([(name, writer.write(value[n])) for name, n in sorted(pairs)])


def _servers(writer: FormWriter, value: Sequence[int]) -> object:
    return tuple([writer.server_number(n) for n in value])


def _evidence_sums(writer: FormWriter, value: Mapping[tuple[int, float], Mapping[int, float]]) -> object:
    return tuple(
        [
            (class_and_increase, _by_server_number(writer, sums))
            for class_and_increase, sums in sorted(value.items())
        ]
    )


def _by_server_number(writer: FormWriter, sums: Mapping[int, float]) -> tuple[tuple[int, float], ...]:
    return tuple(sorted((writer.server_number(server), evidence) for server, evidence in sums.items()))


def _unordered_servers(writer: FormWriter, value: Iterable[Server]) -> object:
    """Write servers in any order: all are drawn."""
    return tuple(sorted([writer.server_number(server.id) for server in value]))


def _by_key(writer: FormWriter, value: Mapping[object, object]) -> object:
    return tuple(sorted([(writer.write(k), writer.write(v)) for k, v in value.items()]))


FIELD_WRITERS: dict[tuple[str, str], WriteFunction] = {
    ("RolloutPolicy", "servers"): _by_server,
    ("RolloutPolicy", "trial_servers"): _unordered_servers,
    ("RolloutPolicy", "baseline_servers"): _unordered_servers,
    ("OutcomeCounts", "server"): lambda writer, value: writer.server_number(value),
    ("RolloutPolicy", "sticky_builds"): _by_key,
    ("Server", "id"): lambda writer, value: writer.server_number(value),
    ("InFlightRequest", "attempted_servers"): _servers,
    ("InFlightRequest", "probed_servers"): _servers,
    ("SequentialFailureTest", "log_odds"): _evidence_sums,
    ("GatewayState", "servers"): _by_server,
    ("ObservedAttempt", "server"): lambda writer, value: writer.server_number(value),
    ("OutstandingAttempt", "server"): lambda writer, value: writer.server_number(value),
    ("InvariantMonitor", "slow_start_attempts"): lambda writer, value: tuple(
        sorted((writer.server_number(s), n, c) for (s, n), c in value.items())
    ),
}
RANDOM = ScriptedRandom()
FORM_RULES = FormRules(IGNORED_FIELDS, FIELD_WRITERS)
NAMELESS_FORM_RULES = FormRules({**IGNORED_FIELDS, "Server": frozenset({"id", "fingerprint"})}, FIELD_WRITERS)
COPIER = Copier(shared=(ScriptedRandom, FailureTestBounds))
