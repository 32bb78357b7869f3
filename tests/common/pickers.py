"""Builders of pickers whose targets have loads, avoidance and work in flight."""

from random import Random

from jacinthshed.internal.bundle.model import RoutingPolicy
from jacinthshed.internal.routing.picker import Picker

from .members import SERVICE, ZONES, member

PICKER_NOW_MS = 60_000.0


def varied_picker(seed, count=None):
    """Return a picker with targets in two zones, in a state that ``seed`` determines.

    Some targets are new, some are avoided, and loads repeat, so that costs can be
    equal. A third of the seeds has little headroom, and a seventh avoids all targets.
    """
    random = Random(seed)
    picker = Picker(
        host="host-self",
        availability_zone=ZONES[0],
        policy=RoutingPolicy(),
        random=Random(seed + 1),
    )
    count = count or random.randint(1, 9)
    records = [
        member(f"host-{number}", availability_zone=random.choice(ZONES[:2]))
        for number in range(count)
    ]
    picker.set_members(0.0, SERVICE, records[: max(1, count // 2)])
    picker.set_members(PICKER_NOW_MS - 4_000, SERVICE, records)
    loads = (0.85, 0.9, 0.95, 1.3) if seed % 3 == 0 else (0.0, 0.3, 0.5, 0.95)
    for record in records:
        age_ms = random.choice((0.0, 20.0, 400.0, 1_500.0))
        picker.record_reply(PICKER_NOW_MS - age_ms, record.host, random.choice(loads))
        for _ in range(random.choice((0, 0, 1, 3))):
            picker.sent(record.host)
        if random.random() < 0.2 or seed % 7 == 0:
            picker.refused(PICKER_NOW_MS, record.host, random.choice((50, 900)))
    return picker


def picker_state(picker):
    """Return all that a choice of ``picker`` depends on or changes."""
    targets = {
        target.host: [getattr(target, name) for name in target.__slots__]
        for pool in picker.pools_of(SERVICE)
        for target in pool.targets
    }
    return picker._random.getstate(), targets


def loaded_picker(local, spill=(), *, age_ms=0.0, by_room=False):
    """Return a picker whose targets replied with these loads ``age_ms`` ago.

    ``local`` are those in the node's own zone. None stands for a target that never
    replied.
    """
    choice = "expected-room" if by_room else RoutingPolicy().choice
    picker = Picker(
        host="host-self",
        availability_zone=ZONES[0],
        policy=RoutingPolicy(choice=choice),
        random=Random(1),
    )
    placed = [(load, ZONES[0]) for load in local] + [(load, ZONES[1]) for load in spill]
    records = [
        member(f"host-{number}", availability_zone=zone)
        for number, (_, zone) in enumerate(placed)
    ]
    picker.set_members(0.0, SERVICE, records)
    for record, (load, _) in zip(records, placed, strict=True):
        if load is not None:
            picker.record_reply(PICKER_NOW_MS - age_ms, record.host, load)
    return picker
