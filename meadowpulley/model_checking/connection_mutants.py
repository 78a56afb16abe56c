"""Bugs planted in the gateway's connections, to clients, to instances and to discovery."""

from __future__ import annotations

from meadowpulley.model_checking.mutant_builders import connection_mutant

ATTEMPTS, INSTANCES = "meadowpulley.net.attempts", "meadowpulley.net.instance_pools"
GATEWAY = "meadowpulley.net.gateway"
INSTANCE_CONNECTION = "meadowpulley.net.instance_connection"
CLIENTS, REQUESTS = "meadowpulley.net.client_listener", "meadowpulley.net.request_table"

CONNECTION_MUTANTS = (
    # Connections
    connection_mutant(
        "broken-never-ran",
        "a connection that breaks after the last byte counts as never used",
        "executed effects",
        "unsafe",
        ATTEMPTS,
        ("Result.RESET if self.written else Result.CONNECT_FAILED", "Result.CONNECT_FAILED"),
    ),
    connection_mutant(
        "noise-never-ran",
        "noise in place of an answer counts as never run",
        "executed effects",
        "noise",
        ATTEMPTS,
        (
            ('"up.malformed")\n        self.connection_lost()\n'),
            ('"up.malformed")\n        self.finish(Result.CONNECT_FAILED)\n'),
        ),
    ),
    connection_mutant(
        "silence-never-ran",
        "an attempt without an answer counts as never run",
        "effects executed",
        "unsafe",
        ATTEMPTS,
        ("Result.TIMEOUT if self.written else Result.CONNECT_FAILED", "Result.CONNECT_FAILED"),
        time_advances=2,
    ),
    connection_mutant(
        "noise-behind-kept",
        "a connection with noise behind its answer is used again",
        "connection logged",
        "pipelined",
        INSTANCE_CONNECTION,
        (
            "reusable = response.keep_alive and exchange.written and not self.parser.has_partial_message",
            "reusable = response.keep_alive",
        ),
        servers=1,
    ),
    connection_mutant(
        "comes-up-late",
        "a connection that comes up after its time still carries the request",
        "executed",
        "reuse",
        ATTEMPTS,
        (("        if self.connecting is not None:\n            self.connecting.cancel()\n"), ""),
        (
            (
                "        if self.finished:\n            connection.abort()\n"
                "        else:\n            self._write(connection)\n"
            ),
            (
                "        if connection.is_open:\n"
                "            connection.send_request(self, self._request_bytes())\n"
            ),
        ),
        requests=2,
        time_advances=2,
    ),
    connection_mutant(
        "refused-leaks",
        "a refused connection keeps its place among the sockets",
        "slots",
        "reuse",
        ATTEMPTS,
        ("        self.runner.instances.open_sockets -= 1\n", ""),
        requests=2,
        time_advances=2,
    ),
    connection_mutant(
        "closed-leaks",
        "a closed connection keeps its place among the sockets",
        "slots",
        "reuse",
        INSTANCES,
        (
            ("        self.open_sockets -= 1\n        self.gateway.stop_if_drained()"),
            "        self.gateway.stop_if_drained()",
        ),
    ),
    connection_mutant(
        "ends-twice",
        "an attempt may end twice",
        "outcomes answers slots",
        "reuse",
        ATTEMPTS,
        (
            ("        if self.finished:\n            return\n        self.finished = True"),
            "        self.finished = True",
        ),
        requests=2,
        time_advances=2,
        servers=2,
    ),
    connection_mutant(
        "slot-kept",
        "an answered request keeps its slot",
        "slots",
        "split",
        REQUESTS,
        ("            self.slots.free(request.handle)\n", "            pass\n"),
        faults=0,
    ),
    connection_mutant(
        "id-kept",
        "an answered request keeps its id",
        "slots",
        "split",
        REQUESTS,
        ("self.open_ids.pop(request.request_id) - 1", "self.open_ids[request.request_id]"),
        faults=0,
    ),
    connection_mutant(
        "gone-not-told",
        "a client that leaves keeps its request",
        "slots answers",
        "split",
        REQUESTS,
        (
            (
                "            self._finish(request)\n"
                "            self.gateway.dispatch(ClientDisconnected(request.handle))\n"
            ),
            "",
        ),
    ),
    connection_mutant(
        "deadline-not-kept",
        "attempts run on past the deadline",
        "answers",
        "split",
        REQUESTS,
        ("            attempt.time_out()\n", "            pass\n"),
        faults=0,
        time_advances=2,
    ),
    connection_mutant(
        "table-unchecked",
        "a connection too many is let in",
        "logged slots",
        "full",
        CLIENTS,
        ("        if self.connections.full:\n", "        if False:\n"),
        requests=4,
    ),
    connection_mutant(
        "drain-never-ends",
        "the last connection that ends does not end a drained gateway",
        "ends",
        "drain",
        CLIENTS,
        (
            (
                "            self.requests.client_disconnected(request)\n"
                "        self.gateway.stop_if_drained()"
            ),
            "            self.requests.client_disconnected(request)",
        ),
    ),
    connection_mutant(
        "deadlines-unarmed",
        "after deadlines have run the next one is not armed",
        "answers slots ends",
        "split",
        "meadowpulley.net.deadlines",
        (("            self._running = False\n            self._arm()"), "            self._running = False"),
        (("        if self._reactor_call is None:\n            self._arm()"), "        pass"),
        time_advances=2,
    ),
    connection_mutant(
        "split-head-missed",
        "the end of a head is missed when it comes in two pieces",
        "connection",
        "split",
        "meadowpulley.net.http1",
        ("max(self._scanned - 3, 0)", "self._scanned"),
    ),
    connection_mutant(
        "split-chunk-misread",
        "a chunk is taken before its end has come",
        "connection",
        "noise",
        "meadowpulley.net.http1",
        ("if len(self._buffer) < self._remaining + 2:", "if len(self._buffer) < self._remaining:"),
    ),
    connection_mutant(
        "bad-reload-raises",
        "a file that can't be used ends the reload with an exception",
        "logged",
        "reload",
        "meadowpulley.net.gateway",
        ("except ConfigError as error:", "except ValueError as error:"),
    ),
    connection_mutant(
        "body-of-another",
        "bytes of one request's body count for the next",
        "connection",
        "pipelined",
        "meadowpulley.net.http1",
        (
            'return self._complete_message(self._buffer.take(self._remaining) if self._remaining else b"")',
            'return self._complete_message(self._buffer.peek(self._remaining) if self._remaining else b"")',
        ),
        requests=1,
    ),
    # Rare moments: signals, half-closed clients, late second answers, lists that overtake each other
    connection_mutant(
        "drain-drops-all",
        "SIGTERM closes every connection, whatever is owed or unread on it",
        "answers",
        "signals",
        GATEWAY,
        (
            "        self.clients.drain()\n",
            ("        for connection in self.clients.connections:\n            connection.abort()\n"),
        ),
    ),
    connection_mutant(
        "ends-with-clients",
        "a gateway told to end does not wait for its clients' connections",
        "answers ends slots",
        "signals",
        GATEWAY,
        ("if not len(self.clients.connections) and not self.requests.open_ids:", "if True:"),
        time_advances=2,
    ),
    connection_mutant(
        "backlog-dropped",
        "the listening socket closes with those that wait to be accepted behind it",
        "answers",
        "backlog",
        GATEWAY,
        (
            "        self.clients.stop_listening()\n",
            ("        self.clients.port.stopListening()\n        self.clients.stop_listening()\n"),
        ),
        faults=2,
        time_advances=2,
    ),
    connection_mutant(
        "reload-takes-all",
        "SIGHUP takes over the whole of the file",
        "reload",
        "signals",
        GATEWAY,
        (
            "self.config = replace(old_config, discovery=new_config.discovery, platform=new_config.platform)",
            "self.config = new_config",
        ),
    ),
    connection_mutant(
        "end-of-sending-ignored",
        "a client that ended its sending is taken to be there whatever it does",
        "gone slots",
        "halves",
        "meadowpulley.net.client_connection",
        (
            "class ClientConnection(Connection):\n",
            (
                "from twisted.internet.interfaces import IHalfCloseableProtocol\n"
                "from zope.interface import implementer\n"
                "\n"
                "\n"
                "@implementer(IHalfCloseableProtocol)\n"
                "class ClientConnection(Connection):\n"
                "    def readConnectionLost(self) -> None:\n"
                "        pass\n"
                "\n"
            ),
        ),
    ),
    connection_mutant(
        "unasked-kept",
        "what an instance says unasked is kept and read as the next answer",
        "connection",
        "late",
        INSTANCE_CONNECTION,
        (
            'counters.add("up.unsolicited")\n            self.abort()\n',
            'counters.add("up.unsolicited")\n',
        ),
        servers=1,
    ),
    connection_mutant(
        "missing-kept",
        "whoever is missing from a whole list stays in service",
        "drains",
        "lists",
        "meadowpulley.net.current_endpoint_list",
        (
            "EndpointUpdateKind.FULL if endpoint_list.is_snapshot else EndpointUpdateKind.INCREMENTAL",
            "EndpointUpdateKind.INCREMENTAL",
        ),
        ("if endpoint_list.is_snapshot or is_cached:", "if is_cached:"),
        servers=1,
    ),
)
