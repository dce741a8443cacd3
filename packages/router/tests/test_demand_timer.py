"""Timing of the messages that have the demand of organisations."""

from lagoonrun_router import demand_timer


def test_first_message_has_demand():
    """Guards against a new entry VM whose demand is unknown to the others."""
    assert demand_timer.DemandTimer().restart_if_due(now=0.0)


def test_demand_is_due_again_after_the_interval():
    """Guards against demand in each message, and against demand that expires."""
    timer = demand_timer.DemandTimer()
    assert timer.restart_if_due(now=10.0)
    assert not timer.restart_if_due(now=10.25)
    assert timer.restart_if_due(now=10.375)
    assert not timer.restart_if_due(now=10.5)


def test_messages_without_demand_do_not_delay_it():
    """Guards against a sender of frequent messages that never reports demand."""
    timer = demand_timer.DemandTimer()
    due = [timer.restart_if_due(now=tick / 16) for tick in range(13)]
    assert [tick for tick, one in enumerate(due) if one] == [0, 6, 12]
