"""Journal: a torn last record is truncated, damage before it raises an error."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.control.journal import FolderDisk, Journal, pack_record
from foxtaildrum.exceptions import CorruptJournalError

from .fleet import FakeDisk

RECORDS = st.lists(st.binary(min_size=1, max_size=40), min_size=1, max_size=6)


def load(data: bytes) -> list[bytes]:
    disk = FakeDisk()
    disk.files["log"] = data
    return Journal(disk, "log").load()


@given(RECORDS, st.integers(0, 400))
def test_a_torn_tail_is_cut(records, cut):
    data = b"".join(pack_record(r) for r in records)
    last = len(data) - len(pack_record(records[-1]))
    kept = last + cut % (len(data) - last)
    assert load(data[:kept]) == records[:-1]


@given(RECORDS)
def test_a_tail_that_was_never_written_is_cut(records):
    data = b"".join(pack_record(r) for r in records)
    assert load(data + bytes(64)) == records


@given(
    st.lists(st.binary(min_size=1, max_size=40), min_size=2, max_size=6),
    st.integers(0, 400),
    st.integers(1, 255),
)
def test_damage_in_the_middle_is_refused(records, position, change):
    packed = [pack_record(r) for r in records]
    data = bytearray(b"".join(packed))
    last_start = len(data) - len(packed[-1])
    data[position % last_start] ^= change
    with pytest.raises(CorruptJournalError):
        load(bytes(data))


def test_a_folder_keeps_what_was_appended_and_replaced(tmp_path):
    disk = FolderDisk(str(tmp_path / "state"))
    journal = Journal(disk, "log")
    journal.append(b"one")
    journal.append(b"two")
    journal.replace([b"three"])
    journal.append(b"four")
    disk.close()
    assert Journal(FolderDisk(str(tmp_path / "state")), "log").load() == [b"three", b"four"]


def test_a_torn_file_is_cut_on_the_disk_as_well(tmp_path):
    path = tmp_path / "log"
    path.write_bytes(pack_record(b"whole") + pack_record(b"torn")[:-1])
    journal = Journal(FolderDisk(str(tmp_path)), "log")
    assert journal.load() == [b"whole"]
    journal.append(b"next")
    assert journal.load() == [b"whole", b"next"]
