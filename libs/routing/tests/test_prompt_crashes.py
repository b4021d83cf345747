"""Guards against parts of prompts that crash one engine after another.

Load pattern: many requests share the first part of their prompts. Some of them,
no two alike, also share a part that crashes each engine that answers it. Other
requests wait at the engines that crash.
"""

from __future__ import annotations

import unittest

from dandelionlead.routing import prompt_crashes


class PromptCrashTrackerTest(unittest.TestCase):
    """Evidence of one process and of its peers."""

    def setUp(self) -> None:
        self.tracker = prompt_crashes.PromptCrashTracker()
        self.change_count = 0
        self.tracker.change_listener = self._count_change

    def _count_change(self) -> None:
        self.change_count += 1

    def _crash(self, engine: str, at_s: float, *part_ids: str) -> None:
        self.tracker.record_broken_connection(part_ids, engine, at_s)
        self.tracker.record_endpoint_lost(engine, at_s + 0.05)

    def _share(
        self, receiver: prompt_crashes.PromptCrashTracker, now_s: float
    ) -> None:
        receiver.add_peer_evidence(
            self.tracker.list_shared_crashes(now_s),
            self.tracker.list_shared_sound_parts(now_s),
            now_s,
        )

    def test_part_is_quarantined_after_three_incidents(self) -> None:
        # Engines and times of crashes, current time, whether it is quarantined.
        cases = (
            ("two incidents", (("a", 10.0), ("b", 11.0)), 13.0, False),
            (
                "three incidents",
                (("a", 10.0), ("b", 10.5), ("c", 11.0)),
                11.1,
                True,
            ),
            (
                "peers may still report that the part is sound",
                (("a", 10.0), ("b", 10.3), ("c", 10.6)),
                10.8,
                False,
            ),
            (
                "one failure of many engines",
                tuple((f"e{number}", 10.0) for number in range(12)),
                13.0,
                False,
            ),
            (
                "one engine, reported again",
                tuple(("a", 10.0 + number) for number in range(5)),
                16.0,
                False,
            ),
            (
                "starts of one engine",
                (("a@1", 10.0), ("a@2", 12.0), ("a@3", 14.0)),
                14.1,
                True,
            ),
        )
        for name, crashes, now_s, is_quarantined in cases:
            with self.subTest(name):
                self.setUp()
                for engine, at_s in crashes:
                    self._crash(engine, at_s, "dead")
                found = self.tracker.find_quarantined(("first", "dead"), now_s)
                self.assertEqual(found, "dead" if is_quarantined else None)

    def test_broken_connection_of_a_live_engine_is_no_crash(self) -> None:
        for number in range(5):
            engine, at_s = f"e{number}", 10.0 + number
            self.tracker.record_broken_connection(("p",), engine, at_s)
            self.tracker.record_endpoint_lost(engine, at_s + 20.0)
        self.assertIsNone(self.tracker.find_quarantined(("p",), 15.0))

    def test_shared_parts_and_waiting_requests_stay_served(self) -> None:
        for number in range(6):
            at_s = 10.0 + number
            self._crash(f"e{number}", at_s, "first", "dead", f"other{number}")
            self.tracker.record_sound(("first", "good"), at_s + 0.3)
        self.assertEqual(self.tracker.list_quarantined(17.0), ["dead"])
        found = self.tracker.find_quarantined(("first", "other3"), 17.0)
        self.assertIsNone(found)

    # Guards against the rejection of sound calls because of a part that the
    # calls with the fatal part share with them.
    def test_call_without_the_part_that_explains_all_crashes_is_sent(
        self,
    ) -> None:
        for number in range(3):
            self._crash(f"e{number}", 10.0 + number, "topic", "dead")
        # Parts of the call, whether it is rejected.
        cases = (
            (("topic", "dead"), True),
            (("dead",), False),
            (("topic",), False),
            (("topic", "good"), False),
        )
        for part_ids, is_rejected in cases:
            with self.subTest(part_ids):
                found = self.tracker.find_quarantined(part_ids, 13.0)
                self.assertEqual(found is not None, is_rejected)
        # A call without the other part shows which of the two is fatal.
        self.tracker.record_sound(("topic",), 13.2)
        self._crash("e4", 13.3, "dead")
        found = [
            self.tracker.find_quarantined(part_ids, 14.0)
            for part_ids in (("topic", "dead"), ("dead",), ("topic", "good"))
        ]
        self.assertEqual(found, ["dead", "dead", None])

    # Guards against the rejection of all calls because no engine was left that
    # could show that the part which they share is sound.
    def test_shared_part_stays_served_if_all_engines_crash(self) -> None:
        restarted = prompt_crashes.PromptCrashTracker()
        self.tracker.record_sound(("first", "good"), 9.9)
        for number in range(9):
            at_s = 10.0 + number * 0.3
            self._crash(f"e{number}", at_s, "first", "dead")
            # Calls that waited at the same engine.
            self._crash(f"e{number}", at_s, "first", "good")
            self._crash(f"e{number}", at_s, "first", f"other{number}")
        self.assertEqual(self.tracker.list_quarantined(14.0), ["dead"])
        self._share(restarted, 14.0)
        for tracker in (self.tracker, restarted):
            for part_ids in (("first", "good"), ("first", "other3")):
                found = tracker.find_quarantined(part_ids, 14.0)
                self.assertIsNone(found)
            found = tracker.find_quarantined(("first", "dead"), 14.0)
            self.assertIsNotNone(found)

    def test_part_that_was_sound_before_can_be_quarantined(self) -> None:
        self.tracker.record_sound(("p",), 9.9)
        for number in range(3):
            self._crash(f"e{number}", 10.0 + number, "p")
        self.assertEqual(self.tracker.find_quarantined(("p",), 13.0), "p")

    def test_part_that_is_found_sound_is_served_again(self) -> None:
        for number in range(3):
            self._crash(f"e{number}", 10.0 + number, "p")
        self.tracker.record_sound(("p",), 13.0)
        self.assertIsNone(self.tracker.find_quarantined(("p",), 13.1))

    # Guards against a heartbeat to all peers at each generation.
    def test_sound_part_without_a_later_crash_is_not_shared(self) -> None:
        self._crash("a", 10.0, "p")
        self.change_count = 0
        for number in range(20):
            self.tracker.record_sound(("p", "q"), 11.0 + number)
        self.assertEqual(self.change_count, 1)
        shared = self.tracker.list_shared_sound_parts(12.0)
        self.assertEqual([item.part_id for item in shared], ["p"])
        self.assertEqual(self.tracker.list_shared_sound_parts(40.0), [])

    def test_crashes_at_several_processes_add_up(self) -> None:
        peer = prompt_crashes.PromptCrashTracker()
        self._crash("a", 10.0, "p")
        self._crash("b", 10.5, "p")
        self.assertEqual(self.change_count, 2)
        self._share(peer, 10.6)
        self._share(peer, 10.9)
        peer.record_broken_connection(("p",), "c", 11.0)
        self.assertIsNone(peer.find_quarantined(("p",), 11.05))
        peer.record_endpoint_lost("c", 11.1)
        self.assertEqual(peer.find_quarantined(("p",), 11.1), "p")

    def test_part_that_is_sound_at_one_process_is_served_by_all(self) -> None:
        peer = prompt_crashes.PromptCrashTracker()
        for number in range(3):
            self._crash(f"e{number}", 10.0 + number, "p")
        self._share(peer, 12.1)
        self.assertEqual(peer.find_quarantined(("p",), 13.0), "p")
        self.tracker.record_sound(("p",), 13.1)
        self._share(peer, 13.2)
        self.assertIsNone(peer.find_quarantined(("p",), 13.2))

    def test_old_crashes_of_a_peer_do_not_outweigh_a_sound_part(self) -> None:
        peer = prompt_crashes.PromptCrashTracker()
        for number in range(3):
            self._crash(f"e{number}", 10.0 + number, "p")
        peer.record_sound(("p",), 12.5)
        self._share(peer, 12.6)
        self.assertIsNone(peer.find_quarantined(("p",), 13.0))
        # The peer reports that the part is sound.
        self.tracker.add_peer_evidence(
            peer.list_shared_crashes(12.7),
            peer.list_shared_sound_parts(12.7),
            12.7,
        )
        self.assertIsNone(self.tracker.find_quarantined(("p",), 13.0))

    def test_shared_evidence_is_bounded_and_keeps_quarantined_parts(
        self,
    ) -> None:
        for number in range(3):
            self._crash(f"e{number}", 10.0 + number, "dead")
        for number in range(200):
            self._crash("x", 30.0, f"p{number}")
        shared = self.tracker.list_shared_crashes(30.5)
        self.assertEqual(len(shared), prompt_crashes.MAX_SHARED)
        dead = [("dead",)] * 3
        self.assertEqual([item.part_ids for item in shared[:3]], dead)
        later = self.tracker.list_shared_crashes(60.0)
        self.assertEqual([item.part_ids for item in later], dead)
        self.assertEqual(self.tracker.list_shared_crashes(700.0), [])


if __name__ == "__main__":
    unittest.main()
