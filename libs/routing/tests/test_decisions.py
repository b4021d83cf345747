"""Guards against wrong results for routes, shared limits, loads and health.

Also covers the choice of an endpoint and the estimated rate at which engines
read prompts.
"""

from __future__ import annotations

import random
import unittest

from dandelionlead.routing import endpoint_selection
from dandelionlead.routing import health
from dandelionlead.routing import loads
from dandelionlead.routing import model
from dandelionlead.routing import prefill_rate
from dandelionlead.routing import routes
from dandelionlead.routing import shared_limits
from dandelionlead.routing import zone_share

_ENGINE_SERVICE = model.Service(
    "engines", 200, 25.0, model.EngineSpec(24, 34_000, True, True)
)
_PLAIN_SERVICE = model.Service("orders", 100, 0.0, None)


def _create_route(name: str, host: str, prefix: str) -> model.Route:
    targets = (model.Target("orders", 1.0),)
    kind = model.CallKind.IDEMPOTENT
    return model.Route(name, host, prefix, kind, targets)


def _create_endpoint(number: int, zone: str = "a") -> model.Endpoint:
    return model.Endpoint(f"e{number}", "engines", "10.0.0.1", number, zone)


class RouteTest(unittest.TestCase):
    """A call is handled by the route for another path prefix or host."""

    TABLE = (
        ("shop.example", "/a/x", "short"),
        ("shop.example", "/a/b/x", "long"),
        ("SHOP.example", "/a/b/", "long"),
        ("shop.example", "/a/bx", "short"),
        ("shop.example", "/b/", None),
        ("shop.example", "/a", None),
        ("other.example", "/a/x", "other"),
        ("none.example", "/a/x", None),
    )

    def test_longest_prefix_of_the_host_matches(self) -> None:
        table = routes.RouteTable(
            (
                _create_route("short", "shop.example", "/a/"),
                _create_route("long", "shop.example", "/a/b/"),
                _create_route("other", "other.example", "/a/"),
            )
        )
        for host, path, expected in self.TABLE:
            with self.subTest(host=host, path=path):
                found = table.match(host, path)
                self.assertEqual(found.name if found else None, expected)

    def test_services_are_drawn_in_proportion_to_their_weights(self) -> None:
        targets = (model.Target("x", 90.0), model.Target("y", 10.0))
        route = model.Route("r", "h", "/", model.CallKind.IDEMPOTENT, targets)
        rng = random.Random(7)
        drawn = [routes.choose_service(route, rng) for _ in range(4_000)]
        self.assertAlmostEqual(drawn.count("y") / 4_000, 0.1, delta=0.03)


class RetryBudgetTest(unittest.TestCase):
    """All processes together send more retries than the budget allows.

    This happens in a retry storm, in which many processes retry every request,
    if each process stays within a budget of its own but the sum does not.
    """

    def test_all_processes_together_stay_within_the_budget(self) -> None:
        ratio, extra, window_s = 0.2, 54.0, 10.0
        for processes in (1, 7, 59):
            with self.subTest(processes=processes):
                budgets = [
                    shared_limits.RetryBudget(ratio, extra, window_s)
                    for _ in range(processes)
                ]
                retry_times: list[float] = []
                request_times: list[float] = []
                for step in range(3_000):
                    now_s = step * 0.01
                    retry_budget = budgets[step % processes]
                    retry_budget.count_request("orders", now_s)
                    request_times.append(now_s)
                    if retry_budget.try_consume("orders", now_s, processes):
                        retry_times.append(now_s)
                for end_s in (10.0, 17.5, 29.9):
                    requests = sum(
                        end_s - 10 < at_s <= end_s for at_s in request_times
                    )
                    retries = sum(
                        end_s - 10 < at_s <= end_s for at_s in retry_times
                    )
                    self.assertLessEqual(retries, ratio * requests + extra)
                self.assertGreater(len(retry_times), 0)


class ColdLimitTest(unittest.TestCase):
    """An endpoint that has just started receives a burst of requests."""

    def test_all_processes_together_stay_within_the_limit(self) -> None:
        for processes in (1, 7, 59):
            limits = [shared_limits.ColdRateLimit() for _ in range(processes)]
            sent = 0
            for rank, limit in enumerate(limits):
                for _ in range(100):
                    if limit.allows("e", 25.0, 0.5, rank, processes):
                        limit.count_request("e", 0.5)
                        sent += 1
            with self.subTest(processes=processes):
                self.assertLessEqual(sent, 25)
                self.assertGreater(sent, 15)

    def test_the_limit_applies_to_each_second(self) -> None:
        limit = shared_limits.ColdRateLimit()
        limit.count_request("e", 0.0)
        self.assertFalse(limit.allows("e", 1.0, 0.9, 0, 1))
        self.assertTrue(limit.allows("e", 1.0, 1.1, 0, 1))


class EndpointSelectionTest(unittest.TestCase):
    """Work accumulates on one endpoint while others are idle."""

    def _choose(
        self,
        candidates: list[endpoint_selection.Candidate],
        service: model.Service = _ENGINE_SERVICE,
        memory_tokens: int = 3_000,
    ) -> str:
        rng = random.Random(1)
        chosen = endpoint_selection.choose_cheapest(
            candidates,
            service,
            "a",
            endpoint_selection.Work(memory_tokens, 3_000),
            rng,
            zone_share.make_step(0.03),
        )
        return chosen.endpoint_id if chosen else ""

    def test_simultaneous_prompts_go_to_different_endpoints(self) -> None:
        tracker = loads.LoadTracker()
        chosen = []
        for _ in range(6):
            totals = tracker.sum_loads(0.0)
            candidates = [
                endpoint_selection.Candidate(
                    _create_endpoint(n),
                    totals.get(f"e{n}") or loads.Load(),
                    0,
                    False,
                )
                for n in range(6)
            ]
            endpoint_id = self._choose(candidates)
            chosen.append(endpoint_id)
            tracker.reserve(endpoint_id, 3_500, 3_000)
        self.assertEqual(len(set(chosen)), 6)

    def test_an_unread_prompt_costs_more_than_a_run(self) -> None:
        with_unread_prompt = endpoint_selection.Candidate(
            _create_endpoint(1), loads.Load(1, 3_000, 3_000), 0, False
        )
        with_more_runs = endpoint_selection.Candidate(
            _create_endpoint(2), loads.Load(3, 9_000, 0), 0, False
        )
        self.assertEqual(
            self._choose([with_unread_prompt, with_more_runs]), "e2"
        )

    def test_a_full_engine_is_chosen_only_as_last_resort(self) -> None:
        full = endpoint_selection.Candidate(
            _create_endpoint(1), loads.Load(2, 33_000, 0), 0, False
        )
        failing = endpoint_selection.Candidate(
            _create_endpoint(2), loads.Load(), 0.5, False
        )
        self.assertEqual(self._choose([full, failing]), "e2")
        self.assertEqual(self._choose([full]), "e1")

    def test_paused_endpoints_are_chosen_only_if_all_are_paused(self) -> None:
        paused = endpoint_selection.Candidate(
            _create_endpoint(1), loads.Load(), 0, True
        )
        unpaused = endpoint_selection.Candidate(
            _create_endpoint(2), loads.Load(9, 9_000), 0, False
        )
        self.assertEqual(self._choose([paused, unpaused]), "e2")
        self.assertEqual(self._choose([paused]), "e1")
        self.assertEqual(self._choose([]), "")

    def test_preferred_zone_is_chosen_among_equal_endpoints(self) -> None:
        candidates = [
            endpoint_selection.Candidate(
                _create_endpoint(1, "b"), loads.Load(), 0, False
            ),
            endpoint_selection.Candidate(
                _create_endpoint(2, "a"), loads.Load(), 0, False
            ),
        ]
        self.assertEqual(self._choose(candidates, _PLAIN_SERVICE, 0), "e2")


class LoadTrackerTest(unittest.TestCase):
    """The load of a peer is ignored, or still counted after it has expired."""

    def test_loads_of_a_peer_count_until_they_expire(self) -> None:
        tracker = loads.LoadTracker()
        tracker.replace_peer_loads("p", {"e": loads.Load(2, 500, 0)}, 13.0)
        reservation = tracker.reserve("e", 100, 50)
        self.assertEqual(tracker.sum_loads(11.0)["e"].runs, 3)
        self.assertEqual(tracker.sum_loads(11.0)["e"].memory_tokens, 600)
        self.assertEqual(tracker.sum_loads(14.0)["e"].runs, 1)
        tracker.mark_prompt_read(reservation)
        self.assertEqual(tracker.sum_loads(14.0)["e"].unread_prompt_tokens, 0)
        tracker.release(reservation)
        self.assertEqual(tracker.sum_loads(14.0), {})

    def test_listener_is_called_for_each_change(self) -> None:
        tracker = loads.LoadTracker()
        notifications = []
        tracker.change_listener = lambda _: notifications.append(1)
        reservation = tracker.reserve("e", 100, 50)
        tracker.mark_prompt_read(reservation)
        tracker.release(reservation)
        self.assertEqual(len(notifications), 3)

    def test_calls_without_engine_memory_do_not_call_the_listener(self) -> None:
        tracker = loads.LoadTracker()
        notifications = []
        tracker.change_listener = lambda _: notifications.append(1)
        tracker.release(tracker.reserve("e", 0, 0))
        self.assertEqual(notifications, [])

    def test_an_update_replaces_a_peers_load_at_one_endpoint(self) -> None:
        tracker = loads.LoadTracker()
        tracker.update_peer_loads("p", {"e": loads.Load(9, 9, 9)})
        self.assertEqual(tracker.sum_loads(1.0), {})
        peer_loads = {"e": loads.Load(1, 100, 0), "f": loads.Load(2, 200, 0)}
        tracker.replace_peer_loads("p", peer_loads, 13.0)
        tracker.update_peer_loads("p", {"e": loads.Load(3, 300, 50)})
        totals = tracker.sum_loads(11.0)
        self.assertEqual((totals["e"].runs, totals["f"].runs), (3, 2))
        self.assertEqual(tracker.sum_loads(13.1), {})

    def test_a_copy_takes_memory_but_no_slot(self) -> None:
        tracker = loads.LoadTracker()
        tracker.reserve("e", 100, 0, runs=0)
        total = tracker.sum_loads(0.0)["e"]
        self.assertEqual((total.runs, total.memory_tokens), (0, 100))


class HealthTest(unittest.TestCase):
    """An endpoint that fails requests receives as many as a healthy one."""

    def test_failures_count_and_decay(self) -> None:
        tracker = health.HealthTracker()
        for step in range(10):
            tracker.record_response("bad", step * 0.1, failed=step % 2 == 0)
            tracker.record_response("good", step * 0.1, failed=False)
        bad_share = tracker.compute_failure_share("bad", 1.0)
        self.assertGreater(bad_share, 0.3)
        self.assertEqual(tracker.compute_failure_share("good", 1.0), 0.0)
        self.assertLess(tracker.compute_failure_share("bad", 60.0), 0.05)

    def test_pause_doubles_with_each_failed_connection(self) -> None:
        tracker = health.HealthTracker()
        tracker.record_unreachable("e", 0.0)
        self.assertTrue(tracker.is_paused("e", 0.4))
        self.assertFalse(tracker.is_paused("e", 0.6))
        tracker.record_unreachable("e", 1.0)
        self.assertTrue(tracker.is_paused("e", 1.9))
        tracker.record_response("e", 1.95, failed=False)
        self.assertFalse(tracker.is_paused("e", 1.96))


class SharedHealthTest(unittest.TestCase):
    """Each of many processes loses calls to the same failing endpoint.

    Load pattern: 59 processes each send one request per second to a service
    with four endpoints. One endpoint reports that it is healthy and fails all
    requests.
    """

    def test_evidence_of_one_process_counts_at_its_peers(self) -> None:
        reporter, receiver = health.HealthTracker(), health.HealthTracker()
        for _ in range(2):
            reporter.record_response("sick", 10.0, failed=True)
        receiver.replace_peer_evidence(
            "first", reporter.get_reportable_evidence(10.1), 13.0
        )
        self.assertGreater(receiver.compute_failure_share("sick", 10.1), 0.3)
        self.assertEqual(receiver.compute_failure_share("sick", 13.1), 0.0)
        receiver.replace_peer_evidence("first", {}, 13.0)
        self.assertEqual(receiver.compute_failure_share("sick", 10.1), 0.0)

    def test_a_small_share_of_failures_is_not_reported(self) -> None:
        tracker = health.HealthTracker()
        for number in range(40):
            tracker.record_response("well", 10.0, failed=number % 10 == 0)
        self.assertEqual(tracker.get_reportable_evidence(10.1), {})


class PrefillRateTest(unittest.TestCase):
    """The expected time to a first event ignores the prompt reading rate."""

    def test_estimate_approaches_the_measured_rate(self) -> None:
        rate = prefill_rate.PrefillRate()
        for _ in range(200):
            rate.add_measurement(3_000, 1.0)
        self.assertAlmostEqual(rate.estimate_s(6_000), 2.0, delta=0.1)

    def test_short_prompts_are_ignored(self) -> None:
        rate = prefill_rate.PrefillRate()
        initial = rate.tokens_per_s
        rate.add_measurement(10, 5.0)
        self.assertEqual(rate.tokens_per_s, initial)


if __name__ == "__main__":
    unittest.main()
