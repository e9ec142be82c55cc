"""Comparison of upstream lists at a start: whose lists count towards a majority."""

from __future__ import annotations

from foxtaildrum.fleet.comparing import ListComparison

VOTERS = ["c1", "c2", "c3", "c4", "c5"]
ROOT = 7


def start(name: str, has_former_disk: bool = True) -> ListComparison:
    return ListComparison(name, lambda: VOTERS, lambda: VOTERS, lambda: has_former_disk, 0.0)


def compare(comparisons: dict[str, ListComparison]) -> list[str]:
    """Let all that run compare the same list; return those whose comparison is complete."""
    for _ in range(2):
        for name, comparison in comparisons.items():
            sent_root = comparison.encode_root(ROOT)
            for peer, other in comparisons.items():
                if peer != name:
                    other.record_root(0.1, name, sent_root, ROOT)
    return [name for name, comparison in comparisons.items() if comparison.complete]


def test_an_instance_that_lost_its_disk_vouches_for_a_list_without_a_leave():
    """A leave on the disks of c1, c2 and c3 may be unknown to c4, c5 and a new disk of c1."""
    running = {"c1": start("c1", has_former_disk=False), "c4": start("c4"), "c5": start("c5")}
    assert compare(running) == []
    running["c2"] = start("c2")
    assert set(compare(running)) == set(running)


def test_a_majority_with_its_disks_is_not_enough():
    running = {name: start(name) for name in ("c1", "c4", "c5")}
    assert set(compare(running)) == set(running)
