"""Conversion between peer messages and the members' own data classes."""

from __future__ import annotations

from dandelionlead.admission import ownership
from dandelionlead.membership import freshness
from dandelionlead.membership import members
from dandelionlead.membership import spread
from dandelionlead.wire.gen import ttypes


def member_to_wire(state: members.MemberState) -> ttypes.MemberState:
    """Returns the message of a member's state."""
    return ttypes.MemberState(
        **{name: getattr(state, name) for name in state.__slots__}
    )


def member_from_wire(state: ttypes.MemberState) -> members.MemberState:
    """Returns the member's state of a message."""
    return members.MemberState(
        state.name or "",
        state.availability_zone or "",
        state.http_address or "",
        state.control_address or "",
        state.incarnation or 0,
        state.state or 0,
        state.role or "",
    )


def head_to_wire(head: spread.Head | None) -> ttypes.ConfigHead | None:
    """Returns the message of a head; None without one."""
    if head is None:
        return None
    return ttypes.ConfigHead(
        version=head.version, apply_id=head.apply_id, parts=head.parts
    )


def head_from_wire(head: ttypes.ConfigHead) -> spread.Head:
    """Returns the head of a message."""
    return spread.Head(head.version or 0, head.apply_id or "", head.parts or {})


def freshness_to_wire(report: freshness.Report) -> ttypes.Freshness:
    """Returns the message of a freshness report."""
    return ttypes.Freshness(
        **{name: getattr(report, name) for name in report.__slots__}
    )


def status_to_wire(status: ownership.Status) -> ttypes.EndpointStatus:
    """Returns the message of an endpoint's state."""
    return ttypes.EndpointStatus(
        **{name: getattr(status, name) for name in status.__slots__}
    )


def status_from_wire(status: ttypes.EndpointStatus) -> ownership.Status:
    """Returns the endpoint's state of a message."""
    reason = status.reason or ""
    if not reason and not status.accepts_work:
        reason = "the owner gave no reason"
    return ownership.Status(
        status.endpoint or "",
        status.incarnation or "",
        status.limit_units or 0,
        status.free_units or 0,
        reason,
        status.stamp or "",
    )


def grant_to_wire(grant: ownership.Grant) -> ttypes.Grant:
    """Returns the message of a grant."""
    return ttypes.Grant(
        **{name: getattr(grant, name) for name in grant.__slots__}
    )


def grant_from_wire(grant: ttypes.Grant) -> ownership.Grant:
    """Returns the grant of a message."""
    return ownership.Grant(
        grant.grant_id or "",
        grant.endpoint or "",
        grant.incarnation or "",
        grant.units or 0,
        grant.valid_for_s or 0.0,
        grant.stamp or "",
    )
