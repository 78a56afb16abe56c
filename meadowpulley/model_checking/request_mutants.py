"""Bugs planted in how the policy handles requests: answers, effects, drains, timers."""

from __future__ import annotations

from meadowpulley.model_checking.mutant_builders import policy_mutant

POLICY_MODEL_GATEWAY = "meadowpulley.model_checking.policy_model.gateway"

REQUEST_MUTANTS = (
    # Answers
    policy_mutant(
        "gone-kept",
        "a client that left is still served",
        "answers leftovers",
        "members",
        (
            "final_response.cancel_outstanding(state, state.in_flight.pop(event.request))",
            "final_response.cancel_outstanding(state, state.in_flight[event.request])",
        ),
        requests=1,
        faults=2,
        servers=1,
        time_advances=2,
    ),
    policy_mutant(
        "answered-kept",
        "an answered request stays in the table",
        "leftovers answers",
        "attempts",
        (
            ("    if outcome.request_complete:\n        state.in_flight.pop(outcome.request, None)\n"),
            ("    if outcome.request_complete:\n        pass\n"),
        ),
    ),
    policy_mutant(
        "given-up-kept",
        "a refused request stays in the table",
        "leftovers answers",
        "attempts",
        ("    state.in_flight.pop(request, None)\n", ""),
    ),
    policy_mutant(
        "waits-forever",
        "a request waits for a server past its time",
        "answers",
        "members",
        (
            "    if _may_wait(state, in_flight):\n",
            "    if True:\n",
        ),
        requests=1,
        faults=1,
        servers=1,
        time_advances=2,
    ),
    policy_mutant(
        "answers-late-outcome",
        "a second answer on an outcome after the end",
        "answers",
        "attempts",
        (
            (
                "        state.in_flight.pop(outcome.request, None)\n"
                "        cancel_outstanding(state, in_flight)\n"
            ),
            (
                "        state.in_flight.pop(outcome.request, None)\n"
                "        cancel_outstanding(state, in_flight)\n"
                "        state.actions.append(Reject(outcome.request))\n"
            ),
        ),
    ),
    policy_mutant(
        "silent-give-up",
        "what is given up is not answered",
        "answers timers",
        "attempts",
        (
            "        state.actions.append(Reject(request, state.retry_after_ms))\n"
            "    else:\n"
            "        state.actions.append(Fail(request))\n",
            "        pass\n",
        ),
    ),
    policy_mutant(
        "never-retried-nor-answered",
        "a failed attempt is the end of it",
        "answers timers",
        "attempts",
        (
            ("        else:\n            give_up(state, in_flight)\n\n\ndef _learn"),
            ("\n\ndef _learn"),
        ),
    ),
    policy_mutant(
        "sent-when-over",
        "an attempt begins at the deadline",
        "attempts answers",
        "attempts",
        (
            "    if state.now >= request.deadline_ms:\n        return SendRefusal.DEADLINE_PASSED\n",
            "",
        ),
    ),
    # Effects
    policy_mutant(
        "unsafe-retried",
        "an unsafe request that may have run is sent again",
        "effects executed",
        "attempts",
        ("        return -math.inf\n", "        return math.inf\n"),
    ),
    policy_mutant(
        "reset-never-ran",
        "a broken connection counts as never run",
        "effects executed",
        "attempts",
        (
            "NEVER_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)",
            "NEVER_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT, Result.RESET)",
        ),
    ),
    policy_mutant(
        "error-never-ran",
        "an error counts as never run",
        "effects executed",
        "attempts",
        (
            "NEVER_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)",
            "NEVER_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT, Result.ERROR)",
        ),
    ),
    policy_mutant(
        "rejected-though-executed",
        "what may have run is refused",
        "effects",
        "attempts",
        ("    if not in_flight.possible_executions:\n        return True\n", "    return True\n"),
    ),
    policy_mutant(
        "memory-overrun",
        "a keyed request is repeated after servers forget",
        "effects",
        "copies",
        (
            "previous.sent_at + window_ms - allowance_ms(state, window_ms)",
            "previous.sent_at + window_ms + 20.0",
        ),
    ),
    policy_mutant(
        "tried-forgotten",
        "the books of what may have run are emptied by each answer",
        "effects executed",
        "attempts",
        (
            "        in_flight.possible_executions.remove(attempt)\n",
            "        in_flight.possible_executions.clear()\n",
        ),
        ("    if outcome.result in NEVER_EXECUTED:\n", "    if outcome.result is not Result.OK:\n"),
    ),
    # Drains
    policy_mutant(
        "drain-missed",
        "news of a drain is not taken over",
        "drains",
        "members",
        (
            "            server.state = entry.state\n",
            "",
        ),
        faults=1,
        requests=1,
        servers=2,
        time_advances=1,
    ),
    policy_mutant(
        "gone-missed",
        "a whole list removes nobody",
        "drains",
        "members",
        (
            "self.servers = {number: server for number, server in self.servers.items() if number in listed}",
            "pass",
        ),
        faults=1,
        requests=1,
        servers=2,
        time_advances=1,
    ),
    policy_mutant(
        "gone-change-missed",
        "a change to gone is passed over",
        "drains",
        "members",
        (
            "            server.state = entry.state\n",
            "",
        ),
        ("                del self.servers[number]\n", "                pass\n"),
        faults=1,
        requests=1,
        servers=2,
        time_advances=1,
    ),
    policy_mutant(
        "drain-edge",
        "the grace is used up, and a millisecond more",
        "drains",
        "members",
        (
            "            server.state = entry.state\n",
            (
                "            server.state = entry.state\n"
                "            server.until = self.now + self.rules.drain_grace_ms + 1.0\n"
            ),
        ),
        (
            "if not server.is_ready or state.servers.get(server.id) is not server:",
            (
                "ready = server.is_ready or state.now <= server.until\n"
                "    if not ready or state.servers.get(server.id) is not server:"
            ),
        ),
        (
            "return [server for _, server in sorted(self.servers.items()) if server.is_ready]",
            "return list(self.servers.values())",
        ),
        faults=1,
        requests=1,
        servers=2,
        time_advances=1,
    ),
    policy_mutant(
        "unsorted-news",
        "servers are not sorted anew when the list changes, nor checked",
        "drains",
        "members",
        (
            "    state.confirmation.ready_servers = None\n    partition_servers(state)\n",
            "    state.confirmation.ready_servers = None\n",
        ),
        ("if not server.is_ready or state.servers.get(server.id) is not server:", "if False:"),
        faults=1,
        requests=1,
        servers=2,
        time_advances=1,
    ),
    # Timers and leftovers
    policy_mutant(
        "timer-lost",
        "nothing looks at what waits",
        "timers answers",
        "members",
        ("(self.waiting_poll_interval_ms if self.waiting else idle_ms)", "idle_ms"),
        requests=1,
        faults=1,
        servers=1,
        time_advances=1,
    ),
    policy_mutant(
        "timer-once",
        "the timer is set only once",
        "timers answers",
        "members",
        ("state.timer_at = math.inf if state.now >= state.timer_at else state.timer_at", "pass"),
        requests=1,
        faults=1,
        servers=1,
        time_advances=3,
    ),
    policy_mutant(
        "list-never-asked-again",
        "a failed list call is not repeated",
        "timers",
        "members",
        (
            "state.endpoint_list.poll_at = state.now + delay_ms if state.settings.must_poll else math.inf",
            "state.endpoint_list.poll_at = math.inf",
        ),
        requests=0,
        faults=2,
        servers=1,
        time_advances=2,
    ),
    policy_mutant(
        "out-leaks",
        "a server's count of attempts out only grows",
        "leftovers",
        "attempts",
        ("            attempt.server.outstanding -= 1\n", ""),
    ),
    policy_mutant(
        "attempt-limit",
        "one attempt too many",
        "attempts",
        "attempts",
        (
            "if in_flight.attempt_count >= limits.max_attempts:",
            "if in_flight.attempt_count > limits.max_attempts:",
        ),
        faults=3,
        requests=1,
    ),
    policy_mutant(
        "raises-on-unknown",
        "news of a server that left breaks the decisions",
        "fault",
        "members",
        (
            ("            server = self.servers.get(number)\n            if not server or"),
            (
                "            server = self.servers[number] if self.servers else None\n"
                "            if not server or"
            ),
        ),
    ),
    # Written after the check was done: found as well
    policy_mutant(
        "restart-missed",
        "a server that starts anew counts as the old one",
        "cold",
        "restart",
        (
            "(server.build, server.started_ms) != (entry.build, entry.started_ms)",
            "server.build != entry.build",
        ),
        requests=4,
        faults=1,
        time_advances=0,
        servers=3,
    ),
    policy_mutant(
        "cap-missed",
        "the cap's share is taken for one",
        "exposure",
        "window",
        (
            "return sent + 1 <= state.rollout_settings.exposure_allowance + cap * requests",
            "return sent + 1 <= state.rollout_settings.exposure_allowance + requests",
        ),
        requests=2,
        faults=1,
        time_advances=0,
        servers=2,
    ),
    policy_mutant(
        "next-build-as-this",
        "a build not announced yet goes by news of the one before",
        "exposure",
        "guarded",
        (
            "if rollout is not None and build == rollout.build:",
            "if rollout is not None and build >= rollout.build:",
        ),
        requests=2,
        faults=1,
        time_advances=0,
    ),
    # The check's own world
    policy_mutant(
        "host-ends-twice",
        "the host lets an attempt end again and again",
        "timers leftovers answers attempts",
        "attempts",
        (
            "        attempt_out = pending.outstanding_attempts.pop(attempt)\n",
            "        attempt_out = pending.outstanding_attempts[attempt]\n",
        ),
        modules=(POLICY_MODEL_GATEWAY,),
        requests=1,
        faults=1,
        time_advances=1,
    ),
    policy_mutant(
        "host-forgets-deadline",
        "the host lets attempts run past the deadline",
        "answers",
        "attempts",
        (
            "            if pending.outstanding_attempts and pending.deadline_ms <= now:\n",
            "            if pending.outstanding_attempts and pending.deadline_ms < now - 50:\n",
        ),
        (
            (
                "            if pending.outstanding_attempts:\n"
                "                due_times.append(pending.deadline_ms)\n"
            ),
            "",
        ),
        modules=(POLICY_MODEL_GATEWAY,),
    ),
)
