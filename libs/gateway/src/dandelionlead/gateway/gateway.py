"""Admits the requests of callers: route, team, service."""

from __future__ import annotations

import random
import traceback

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.gateway import dialect
from dandelionlead.gateway import exchange
from dandelionlead.gateway import standing
from dandelionlead.http import callers
from dandelionlead.http import limits
from dandelionlead.routing import calls
from dandelionlead.routing import routes


class Gateway(callers.Handler):
    """Serves the calls of one process."""

    def __init__(
        self,
        words: dialect.Dialect,
        parts: exchange.Parts,
        state: standing.Standing,
        rng: random.Random,
    ) -> None:
        """Sets up the handler.

        Args:
            words: Translates requests.
            parts: What all calls share.
            state: Whether this process takes work.
            rng: Draws services by weight.
        """
        self._words = words
        self._parts = parts
        self._view = parts.known
        self._log = parts.log
        self._accounts = parts.accounts
        self._state = state
        self._rng = rng

    def limits(self) -> limits.Limits:
        """Returns the limits in force."""
        configuration = self._view.configuration
        return configuration.limits if configuration else limits.Limits()

    def closing(self) -> bool:
        """Whether connections are closed after their present request."""
        return self._state.stopping

    def handle(self, request: callers.Request, reply: callers.Reply) -> None:
        """Answers one request."""
        call = self._words.read_call(
            request.method, request.target, request.headers, request.arrived_s
        )
        if isinstance(call, errors.Failure):
            self._accounts.refuse(reply, call, "")
            return
        call.body = request.body
        admitted = self._admit(call)
        if isinstance(admitted, errors.Failure):
            self._accounts.refuse(reply, admitted, call.request_id)
            self._accounts.call(call, None, admitted, 0, "")
            return
        reply.write_limit(admitted.until_s + 0.5)
        served = exchange.Exchange(self._parts, admitted, reply)
        try:
            served.run()
        except callers.CallerGoneError:
            raise
        except Exception as exc:  # A fault of ours; the caller hears of it.
            self._fail(reply, call, exc)
        finally:
            served.close()

    def _fail(
        self, reply: callers.Reply, call: calls.Call, exc: Exception
    ) -> None:
        """Answers a call that met a fault in this program."""
        trace = traceback.format_exc(limit=-4)
        self._log.event("fault", req=call.request_id, reason=trace)
        if reply.started:
            raise callers.CallerGoneError("the answer is torn") from exc
        failure = errors.Failure(errors.Kind.INTERNAL, repr(exc))
        self._accounts.refuse(reply, failure, call.request_id)

    def _admit(self, call: calls.Call) -> calls.Admitted | errors.Failure:
        """Finds route, team and service of a call."""
        configuration = self._view.configuration
        now_s = clock.boottime()
        failure = self._state.refusal(now_s, self._view)
        if failure is not None:
            return failure
        route = self._view.table.match(call.host, call.path)
        if route is None:
            return errors.Failure(
                errors.Kind.UNKNOWN_ROUTE, "no route has this host and path"
            )
        team = None
        if configuration.teams is not None and not route.anonymous:
            team = configuration.teams.get(call.api_key)
            if team is None:
                return errors.Failure(
                    errors.Kind.UNAUTHORIZED, "the key belongs to no team"
                )
        if not self._state.can_finish(call, now_s):
            return errors.Failure(
                errors.Kind.NOT_READY, "this process stops", retry_after_s=0.05
            )
        name = routes.choose_service(route, self._rng)
        service = configuration.services.get(name)
        if service is None:
            return errors.Failure(
                errors.Kind.NO_ENDPOINT, f"no service is called {name}"
            )
        return calls.Admitted(call, route, team, service, configuration.version)
