"""Tests which processes are named to callers.

Guards against callers at processes that are cut off from a service, and against
too few processes for all callers.
"""

from __future__ import annotations

import unittest

from dandelionlead.gateway import address_listing


class AddressListingTest(unittest.TestCase):
    """Guards against a directory that names the wrong processes."""

    # Numbers of processes that reach all services and that are cut off, and the
    # number of addresses.
    CASES = (
        (1, 0, 1),
        (0, 1, 1),
        (1, 1, 1),
        (6, 1, 6),
        (3, 4, 3),
        (2, 5, 7),
        (0, 7, 7),
        (133, 267, 400),
        (134, 266, 134),
    )

    def test_enough_processes_remain(self) -> None:
        for reaching_count, cut_count, expected in self.CASES:
            with self.subTest(reaching=reaching_count, cut=cut_count):
                candidates = [
                    address_listing.Candidate(
                        f"10.0.0.{number}:80", number >= reaching_count
                    )
                    for number in range(reaching_count + cut_count)
                ]
                addresses = address_listing.choose_addresses(candidates)
                self.assertEqual(len(addresses), expected)
                self.assertIn("10.0.0.0:80", addresses)


if __name__ == "__main__":
    unittest.main()
