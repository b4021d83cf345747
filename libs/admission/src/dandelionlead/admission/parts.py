"""Parts of the endpoints' limits that members carry.

The sum of the parts that all members carry at one time must not exceed one,
whatever they believe about each other. A member carries `1 / min(n, GROUP)`,
where n is the number of members that it counts. If every two carriers count
each other, every n is at least the number of carriers, and the sum is at most
one. Three rules give this:

* Joining: a member starts to carry only when the platform's list has shown it
  and every member that it counts has told it, within `ACK_S` and first
  `LAPSE_S` ago, that it counts the joiner; or when the list has shown it for
  `SETTLE_S`, by which time every carrier has read the list. An acknowledgement
  brings the names that the peer counts, so that of two joiners at least one
  waits for the other. `LAPSE_S` lets delegations of larger parts lapse.
* Keeping: a carrier must be fresh (design page, 5.5) and must have read the
  list, showing itself, within `LIST_S`, both without a gap. In a common outage
  of the platform nobody can read the list, and the last read stays in force.
* Leaving: a name is counted until it is silent and absent from reads of the
  list for `UNLISTED_S`, by which time it has stopped to carry; or until it said
  goodbye. Gossip of a dead name costs capacity, never safety.

This assumes that two reads of the list at one time disagree about a change for
at most `LIST_DISAGREES_S`. Two cases are bounded, not closed. Both need a
majority that is cut off from the platform and a minority that is not. In the
first the platform removes a running process of the majority from its list; in
the second a process joins on the side of the minority, unknown to the majority.
The sum then exceeds one by at most the parts of these processes, until the
majority reads the list.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from dandelionlead.admission import groups

# Members that use one endpoint. It bounds the reports per owner at 400 nodes:
# 3,600 endpoints x 16 / 400 gives 144 reports a second for each entry.
GROUP = 16
# How long a peer's word that it counts this member holds.
ACK_S = 5.0
# How long two reads of the platform's list may disagree about one change.
LIST_DISAGREES_S = 2.0
# Age of the member's last read of the list, beyond which it carries nothing.
LIST_S = 8.0
# A delegation lasts 3 s from the owner's stamp that it answers; the rest is
# margin for clocks that run at different rates.
LAPSE_S = 3.5
# Longer than a carrier can miss a joiner: its own read, the disagreement, and
# the delegation that it sent last.
SETTLE_S = LIST_S + LIST_DISAGREES_S + LAPSE_S
# Longer than a removed member can carry on, by the same sum, with margin.
UNLISTED_S = SETTLE_S + 2.5
# Age of the freshness of the rules, beyond which a member carries nothing.
FRESH_S = 3.0
# A process that was started again under the same name waits until delegations
# of its predecessor and acknowledgements by its predecessor have lapsed.
START_S = 7.0

_NEVER = float("-inf")


class MemberPart:
    """The part of every endpoint's limit that one member carries."""

    def __init__(
        self, member: str, now: float, *, start_s: float = START_S
    ) -> None:
        """Starts without a part.

        Args:
            member: Name of this member.
            now: Time of the start of the process.
            start_s: Wait before the first part; less only where no process of
                this name can have run before.
        """
        self._member = member
        self._carries_from = now + start_s
        self._settled = False
        # Counted peers by name: incarnation and time of the last direct word.
        self._incarnations: dict[str, int] = {}
        # Part that is carried, and the time for which it was worked out.
        self._carried = 0.0
        self._evaluated_at = _NEVER
        self._groups = groups.Groups(GROUP)
        self._groups.add(member)
        self._heard_at: dict[str, float] = {}
        self._acked_at: dict[str, float] = {}
        self._acked_since: dict[str, float] = {}
        self._gone: dict[str, int] = {}
        self._listed_at: dict[str, float] = {}
        self._listed_since = _NEVER
        self._read_at = _NEVER
        self._fresh_at = _NEVER
        self._common_outage = False
        self._outage_at = _NEVER

    def heard(
        self,
        peer: str,
        counts: Mapping[str, int],
        counts_me: bool,
        now: float,
    ) -> None:
        """Takes in gossip; called before this member's next gossip is sent.

        Args:
            peer: The sender.
            counts: Incarnations of the entries that the sender counts, its
                own included.
            counts_me: Whether that includes this member's incarnation.
            now: Time of the receipt.
        """
        self._evaluated_at = _NEVER
        for name, incarnation in counts.items():
            self._learn(name, incarnation, now)
        if peer in self._heard_at:
            self._heard_at[peer] = now
            if counts_me:
                self._acked_at[peer] = now
                self._acked_since.setdefault(peer, now)

    def listed(self, names: Iterable[str], asked_at: float) -> None:
        """Takes in a read of the platform's list of live or leaving entries.

        Args:
            names: The entries that the list shows.
            asked_at: Time immediately before the read was sent.
        """
        self._evaluated_at = _NEVER
        self._lapse(asked_at)
        self._read_at = max(self._read_at, asked_at)
        for name in names:
            self._listed_at[name] = asked_at
            self._gone.pop(name, None)
            self._learn(name, 0, asked_at)
        if self._listed_at.get(self._member) != asked_at:
            self._listed_since = _NEVER
            self._settled = False
        elif self._listed_since == _NEVER:
            self._listed_since = asked_at

    def fresh(self, now: float, *, common_outage: bool) -> None:
        """Notes that this process's rules are fresh (design page, 5.5)."""
        self._evaluated_at = _NEVER
        self._lapse(now)
        self._fresh_at = now
        self._common_outage = common_outage
        if common_outage:
            self._outage_at = now

    def left(self, peer: str) -> None:
        """Forgets a peer that said it has ended all work and delegations."""
        self._evaluated_at = _NEVER
        self._forget(peer)

    def counted(self, now: float) -> dict[str, int]:
        """Returns the incarnations of the peers that are counted now."""
        for name in list(self._incarnations):
            if self._is_gone(name, now):
                self._forget(name)
        return dict(self._incarnations)

    def part(self, endpoint: str, now: float) -> float:
        """Returns the part of an endpoint's limit that this member carries."""
        if now != self._evaluated_at:
            # Alike for all endpoints, and asked for each of them at one time.
            self._carried = self._evaluate(now)
            self._evaluated_at = now
        return self._carried if self.uses(endpoint) else 0.0

    def uses(self, endpoint: str) -> bool:
        """Returns whether this member is in the group of an endpoint."""
        return self._member in self.group(endpoint)

    def group(self, endpoint: str) -> list[str]:
        """Returns the members that use an endpoint, the preferred first.

        A carrier is in its own group. Every view contains all carriers, so a
        carrier's rank among the carriers is at most its rank in its own view,
        and at most `GROUP` members carry a part of one endpoint.
        """
        return self._groups.get(endpoint)

    def _evaluate(self, now: float) -> float:
        peers = self.counted(now)
        self._lapse(now)
        if self._keeps(now) and self._joins(peers, now):
            self._settled = True
        if not self._settled:
            return 0.0
        return 1.0 / min(GROUP, len(peers) + 1)

    def _lapse(self, now: float) -> None:
        """Notes a gap in freshness or in reads of the list.

        It is called before either is renewed: a process that was frozen has to
        join again, since others may have stopped to count it.
        """
        if not self._keeps(now):
            self._settled = False
        if self._fresh_at != _NEVER and now - self._fresh_at > FRESH_S:
            # Words that were read just now may have waited since before the
            # gap, in which the peers may have stopped to count this member.
            self._acked_at.clear()
            self._acked_since.clear()

    def _keeps(self, now: float) -> bool:
        if now < self._carries_from or now - self._fresh_at > FRESH_S:
            return False
        if self._listed_since == _NEVER:
            return False
        return self._common_outage or now - self._read_at <= LIST_S

    def _joins(self, peers: Mapping[str, int], now: float) -> bool:
        # Carriers read no list in a common outage, nor right after it.
        if now - max(self._listed_since, self._outage_at) > SETTLE_S:
            return True
        return all(self._acked(name, now) for name in peers)

    def _acked(self, name: str, now: float) -> bool:
        if now - self._acked_at.get(name, _NEVER) > ACK_S:
            return False
        return now - self._acked_since[name] >= LAPSE_S

    def _learn(self, name: str, incarnation: int, now: float) -> None:
        if name == self._member or self._gone.get(name, -1) >= incarnation:
            return
        known = self._incarnations.get(name, -1)
        if known < 0:
            self._heard_at[name] = now
        elif incarnation > known:
            # The word of the predecessor does not bind a new process.
            self._acked_at.pop(name, None)
            self._acked_since.pop(name, None)
        self._incarnations[name] = max(known, incarnation)
        self._groups.add(name)

    def _is_gone(self, name: str, now: float) -> bool:
        if now - self._heard_at[name] <= UNLISTED_S:
            return False
        # Without a recent read, absence from the list is not known.
        if now - self._read_at > LIST_S:
            return False
        return self._read_at - self._listed_at.get(name, _NEVER) > UNLISTED_S

    def _forget(self, name: str) -> None:
        incarnation = self._incarnations.pop(name, None)
        self._groups.remove(name)
        if incarnation is not None:
            self._gone[name] = incarnation
        self._heard_at.pop(name, None)
        self._acked_at.pop(name, None)
        self._acked_since.pop(name, None)
