"""Parsing of the platform's JSON-RPC messages into events of the policy, and encoding of calls.

Nothing here does I/O. Every parsing function raises `MalformedMessageError` for a malformed message.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.interface import (
    BuildStatistics,
    IncorrectResponse,
    RequestClass,
    Result,
    RolloutUpdate,
    Vote,
)
from meadowpulley.net import protocol
from meadowpulley.net.errors import NetError
from meadowpulley.net.json_fields import FIELD_ERRORS, FieldError, JsonObject, require_object

JSONRPC_VERSION = "2.0"
MAX_QUOTED = 40  # maximum characters of a received value that an error message quotes

Notification: TypeAlias = RolloutUpdate | BuildStatistics | IncorrectResponse


class MalformedMessageError(NetError, ValueError):
    """A message from the platform is malformed; the error text says in one line what is wrong."""


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """The platform's response to a vote: its result, and the rollout state if the vote was accepted."""

    result: Result
    update: RolloutUpdate | None = None


def encode_call(number: int, method: str, params: JsonObject | None) -> bytes:
    """Return a JSON-RPC call as one line."""
    message: JsonObject = {"jsonrpc": JSONRPC_VERSION, "id": number, "method": method}
    if params is not None:
        message["params"] = params
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def vote_params(vote: Vote) -> JsonObject:
    """Return the parameters of the JSON-RPC call that casts a vote."""
    return {
        protocol.MESSAGE_BUILD: vote.build,
        protocol.ROLLOUT_STAGE: vote.stage,
        protocol.VOTE_VERDICT: protocol.VOTE_VERDICTS[vote.verdict],
    }


def decode_line(line: bytes) -> JsonObject:
    """Decode one line, which must hold a JSON object."""
    try:
        message = json.loads(line)
    except (ValueError, RecursionError):
        raise MalformedMessageError("a line from the platform is not a JSON object") from None
    if not isinstance(message, dict):
        raise MalformedMessageError("a line from the platform is not a JSON object")
    return message


def parse_rollout_update(raw: object, is_vote_reply: bool = False) -> RolloutUpdate:
    """Parse the newest build's rollout state from a notification, vote response or configuration."""
    try:
        return _parse_rollout_fields(require_object(raw, "the value"), is_vote_reply)
    except FIELD_ERRORS as error:
        raise _malformed("rollout update", error) from None


def _parse_rollout_fields(raw: JsonObject, is_vote_reply: bool) -> RolloutUpdate:
    cap = float(raw[protocol.ROLLOUT_CAP])
    age_ms = float(raw[protocol.MESSAGE_AGE])
    build = int(raw[protocol.MESSAGE_BUILD])
    stage = int(raw[protocol.ROLLOUT_STAGE])
    if not (0.0 <= cap <= 1.0 and math.isfinite(age_ms) and stage >= 0):
        raise FieldError(
            f"out of range: '{protocol.ROLLOUT_CAP}' {cap}, '{protocol.MESSAGE_AGE}' {age_ms}, "
            f"'{protocol.ROLLOUT_STAGE}' {stage}"
        )
    phase = protocol.ROLLOUT_PHASES[raw[protocol.ROLLOUT_PHASE]]
    return RolloutUpdate(
        build=build,
        stage=stage,
        phase=phase,
        cap=cap,
        age_ms=max(age_ms, 0.0),
        result=Result.OK,
        is_vote_reply=is_vote_reply,
    )


def parse_vote_response(message: JsonObject) -> VoteResponse:
    """Parse the response to a vote: a known error of the protocol, or the rollout state."""
    error = message.get("error")
    if isinstance(error, dict) and str(error.get("message")) in protocol.VOTE_ERRORS:
        return VoteResponse(protocol.VOTE_ERRORS[str(error["message"])])
    return VoteResponse(Result.OK, parse_rollout_update(message.get("result"), is_vote_reply=True))


def check_follow_response(message: JsonObject) -> None:
    """Check that the platform accepted the call that subscribes to notifications."""
    if message.get("result") is not True:
        raise MalformedMessageError("the platform rejected the call 'follow'")


class NotificationParser:
    """Parses notifications into events of the policy.

    `server_id_of` maps an instance's name to its number in the policy, or to None if it is unknown.
    """

    def __init__(self, classes: Sequence[RequestClass], server_id_of: Callable[[str], int | None]) -> None:
        self._class_indexes = {request_class.name: index for index, request_class in enumerate(classes)}
        self._server_id_of = server_id_of

    def parse(self, message: JsonObject) -> Notification | None:
        """Parse one notification; None for a heartbeat or a notification about an unknown instance."""
        method = message.get("method")
        params = message.get("params")
        if method == protocol.ROLLOUT_NOTIFICATION:
            return parse_rollout_update(params)
        if method == protocol.STATISTICS_NOTIFICATION:
            return self._parse_statistics(params)
        if method == protocol.INCORRECT_RESPONSE_NOTIFICATION:
            return self._parse_incorrect_response(params)
        if method == protocol.HEARTBEAT_NOTIFICATION:
            return None
        raise MalformedMessageError(f"unknown notification {str(method)[:MAX_QUOTED]!r}")

    def _parse_class(self, raw: object) -> int:
        """Return a request class's index; the platform identifies the class by name or by index."""
        if isinstance(raw, str) and raw in self._class_indexes:
            return self._class_indexes[raw]
        if isinstance(raw, int) and 0 <= raw < len(self._class_indexes):
            return raw
        raise MalformedMessageError(f"unknown request class {str(raw)[:MAX_QUOTED]!r}")

    def _parse_statistics(self, raw: object) -> BuildStatistics:
        try:
            return self._parse_statistics_fields(require_object(raw, "the value"))
        except FIELD_ERRORS as error:
            raise _malformed("build statistics", error) from None

    def _parse_statistics_fields(self, raw: JsonObject) -> BuildStatistics:
        attempts = int(raw[protocol.STATISTICS_ATTEMPTS])
        failed = int(raw[protocol.STATISTICS_FAILURES])
        mean_ms = float(raw[protocol.STATISTICS_MEAN_MS])
        age_ms = float(raw[protocol.MESSAGE_AGE])
        if not (0 <= failed <= attempts and math.isfinite(mean_ms) and math.isfinite(age_ms)):
            raise FieldError(
                f"out of range: '{protocol.STATISTICS_ATTEMPTS}' {attempts}, "
                f"'{protocol.STATISTICS_FAILURES}' {failed}, '{protocol.STATISTICS_MEAN_MS}' {mean_ms}, "
                f"'{protocol.MESSAGE_AGE}' {age_ms}"
            )
        build = int(raw[protocol.MESSAGE_BUILD])
        class_index = self._parse_class(raw[protocol.REQUEST_CLASS])
        return BuildStatistics(
            build=build,
            class_index=class_index,
            attempts=attempts,
            failed=failed,
            mean_ms=mean_ms,
            age_ms=age_ms,
        )

    def _parse_incorrect_response(self, raw: object) -> IncorrectResponse | None:
        try:
            return self._parse_incorrect_response_fields(require_object(raw, "the value"))
        except FIELD_ERRORS as error:
            raise _malformed("incorrect response", error) from None

    def _parse_incorrect_response_fields(self, raw: JsonObject) -> IncorrectResponse | None:
        server = self._server_id_of(str(raw[protocol.INCORRECT_RESPONSE_SERVER]))
        class_index = self._parse_class(raw[protocol.REQUEST_CLASS])
        age_ms = float(raw[protocol.MESSAGE_AGE])
        if server is None:
            return None
        return IncorrectResponse(server, class_index, age_ms)


def _malformed(message: str, error: Exception) -> MalformedMessageError:
    return MalformedMessageError(f"{message}: {type(error).__name__}: {error}")
