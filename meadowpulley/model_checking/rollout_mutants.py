"""Bugs planted in how the policy sends to servers in slow start and to the build on trial."""

from __future__ import annotations

from meadowpulley.model_checking.mutant_builders import policy_mutant

ROLLOUT_MUTANTS = (
    # Servers in slow start
    policy_mutant(
        "cold-uncounted",
        "what a cold server gets is not counted",
        "cold",
        "cold",
        ("        attempt.server.slow_start_budget -= 1\n", ""),
        requests=4,
        faults=0,
        time_advances=0,
    ),
    policy_mutant(
        "cold-ignored",
        "cold servers are taken for warm",
        "cold",
        "cold",
        (
            "if state.slow_start_fraction(server, window_ms) >= 1.0:",
            "if state.slow_start_fraction(server, window_ms) >= 0.0:",
        ),
        requests=4,
        faults=0,
        time_advances=0,
    ),
    policy_mutant(
        "cold-slots-anew",
        "each request opens a slot of its own",
        "cold",
        "cold",
        ("    if server.slow_start_slot != slot:\n", "    if server.slow_start_budget < 1:\n"),
        requests=4,
        faults=0,
        time_advances=0,
    ),
    # Exposure
    policy_mutant(
        "exposure-off-by-one",
        "one attempt more than the cap",
        "exposure",
        "release",
        (
            "return sent + 1 <= state.rollout_settings.exposure_allowance",
            "return sent <= state.rollout_settings.exposure_allowance",
        ),
    ),
    policy_mutant(
        "exposure-at-the-answer",
        "exposure is counted when the answer comes",
        "exposure",
        "release",
        (
            "        sent_windows[in_flight.exposure_class].add(state.now)\n",
            "        pass\n",
        ),
        (
            "    state.goodput.add(state.now, float(ok))\n",
            (
                "    from meadowpulley.policy.rollout_stage import is_on_trial\n"
                "    if is_on_trial(state, attempt.server.build):\n"
                "        evidence = state.build_evidence[attempt.server.build]\n"
                "        evidence.sent_windows[attempt.in_flight.exposure_class].add(state.now)\n"
                "    state.goodput.add(state.now, float(ok))\n"
            ),
        ),
        requests=3,
        faults=0,
        time_advances=0,
    ),
    policy_mutant(
        "taken-twice",
        "a request counts twice for the cap",
        "exposure exposure-sum",
        "release",
        (
            "            self.request_windows[in_flight.exposure_class].add(self.now)\n",
            (
                "            self.request_windows[in_flight.exposure_class].add(self.now)\n"
                "            self.request_windows[in_flight.exposure_class].add(self.now)\n"
            ),
        ),
        requests=3,
    ),
    policy_mutant(
        "window-halved",
        "attempts are forgotten after half of the window",
        "exposure",
        "window",
        ("partial(EventWindow, memory_ms)", "partial(EventWindow, memory_ms / 2)"),
        requests=2,
        faults=1,
        time_advances=1,
        servers=2,
    ),
    policy_mutant(
        "window-edge",
        "attempts are forgotten a little before the window's end",
        "exposure",
        "window",
        (
            "sent_windows[exposure_class].count(state.now, tick_ms)",
            "sent_windows[exposure_class].count(state.now, -2.0)",
        ),
        requests=2,
        faults=1,
        time_advances=1,
        servers=2,
    ),
    policy_mutant(
        "taken-too-long",
        "requests count for the cap after the window's end",
        "exposure",
        "window",
        (
            "state.request_windows[exposure_class].count(state.now, -tick_ms)",
            "state.request_windows[exposure_class].count(state.now, 50.0)",
        ),
        requests=2,
        faults=1,
        time_advances=1,
        servers=2,
    ),
    policy_mutant(
        "lower-cap-missed",
        "a lower cap is not applied",
        "exposure",
        "grace",
        (
            "        self.latest_rollout = update\n",
            (
                "        latest = self.latest_rollout\n"
                "        if latest is None or update.build > latest.build or update.cap >= latest.cap:\n"
                "            self.latest_rollout = update\n"
            ),
        ),
        requests=2,
        faults=1,
        time_advances=1,
        servers=2,
    ),
    policy_mutant(
        "unannounced-free",
        "a build not announced yet has no cap",
        "exposure",
        "guarded",
        ("return TrialStage(caps[0] if caps else 0.0, 0)", "return TrialStage(1.0, 9)"),
        requests=2,
    ),
    policy_mutant(
        "guarded-open",
        "guarded stages take requests with an effect",
        "exposure",
        "guarded",
        (
            "if stage < state.rollout_settings.guarded_stages and in_flight.effect is not Effect.IDEMPOTENT:",
            "if False:",
        ),
    ),
    policy_mutant(
        "trial-is-service",
        "the build on trial counts as released",
        "exposure",
        "grace",
        ("    return build == rollout.build and rollout.phase is not Phase.RELEASED\n", "    return False\n"),
        requests=2,
        faults=1,
        time_advances=1,
        servers=2,
    ),
    policy_mutant(
        "classes-together",
        "classes are counted together where each has its cap",
        "exposure",
        "guarded",
        ("request.class_index if exposure_per_class else ALL_CLASSES", "ALL_CLASSES"),
        requests=3,
        faults=2,
        time_advances=0,
    ),
    # Keys
    policy_mutant(
        "late-answer-unbound",
        "only answers that came bind a key",
        "one-way",
        "keys",
        ("if result not in NO_RESPONSE:", "if result is Result.OK:"),
        faults=1,
        requests=2,
        time_advances=1,
    ),
    policy_mutant(
        "out-unbound",
        "what is out at the trial build binds nothing",
        "one-way",
        "keys",
        ("    return key not in later\n", "    return True\n"),
        faults=1,
        requests=2,
        time_advances=1,
    ),
    policy_mutant(
        "keys-freed-on-trial",
        "keys are free while the build is on trial",
        "one-way",
        "keys",
        (
            "rolled_back = rollout.build if rollout is not None and rollout.phase in ROLLBACK_PHASES else -1",
            "rolled_back = rollout.build if rollout is not None else -1",
        ),
        faults=1,
        requests=2,
        time_advances=1,
    ),
    policy_mutant(
        "key-overwritten",
        "an earlier build's late answer unbinds a key",
        "one-way",
        "keys",
        ("max(build, self.sticky_builds.get(key, 0))", "build"),
        requests=3,
        faults=1,
        time_advances=0,
    ),
    policy_mutant(
        "key-off-by-one",
        "a key may go one build back",
        "one-way",
        "keys",
        (
            "state.sticky_builds.get(key, state.oldest_sticky_build) > newest_build:",
            "state.sticky_builds.get(key, state.oldest_sticky_build) > newest_build + 1:",
        ),
        faults=1,
        requests=2,
        time_advances=1,
    ),
    policy_mutant(
        "keys-lost-on-news",
        "every news forgets the keys",
        "one-way",
        "keys",
        (
            "        self.latest_rollout = update\n",
            ("        self.latest_rollout = update\n        self.sticky_builds = {}\n"),
        ),
        requests=2,
        faults=1,
        time_advances=0,
    ),
)
