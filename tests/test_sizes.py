"""Batches of records that one message carries, and the windows that hold them."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.control import windows
from foxtaildrum.control.entries import Entry, Log
from foxtaildrum.control.windows import EntryWindow
from foxtaildrum.sizes import MAX_BATCH_BYTES, measure_record, split_batches


# Guards against a window that keeps 256 entries of any size in memory.
def test_the_window_is_bounded_in_bytes():
    window = EntryWindow()
    for index in range(1, 100):
        window.append([index, "desired", "x" * 75_000])
    kept = window.list_batch(0)
    assert kept[0][0] > 80
    assert not window.reaches_back_to(80)
    assert window.reaches_back_to(98)
    window.append([100, "desired", "x" * (windows.WINDOW_BYTES + 1)])
    assert not window.reaches_back_to(99)


@given(st.lists(st.integers(0, 3 * MAX_BATCH_BYTES), max_size=12))
def test_batches_keep_every_record_in_order_and_only_a_single_one_is_large(sizes):
    items = [b"x" * size for size in sizes]
    batches = list(split_batches(items))
    assert [item for batch in batches for item in batch] == items
    for batch in batches:
        assert batch
        assert len(batch) == 1 or sum(map(measure_record, batch)) <= MAX_BATCH_BYTES


@given(st.lists(st.integers(0, 2 * MAX_BATCH_BYTES), min_size=1, max_size=8), st.data())
def test_a_log_lists_at_least_one_entry_and_never_more_than_a_batch(sizes, data):
    log = Log()
    for number, size in enumerate(sizes):
        log.append(Entry(number + 1, 1, "change", b"x" * size))
    index = data.draw(st.integers(1, len(sizes)))
    batch = log.list_batch(index)
    assert batch[0].index == index
    assert len(batch) == 1 or sum(e.size for e in batch) <= MAX_BATCH_BYTES
    assert log.list_batch(len(sizes) + 1) == []
