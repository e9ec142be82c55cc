"""The saved upstream list: what counts as synced after a write that failed."""

from __future__ import annotations

from foxtaildrum.fleet.actions import ActionQueue, Write
from foxtaildrum.fleet.saving import UpstreamSaver
from foxtaildrum.fleet.upstreams import LEFT, Entry, UpstreamList
from foxtaildrum.records import Announcement


class Saving:
    """A saver with the writes that it asked for, and the callbacks that were called."""

    def __init__(self) -> None:
        self.upstreams = UpstreamList("c1")
        self.actions = ActionQueue()
        self.saver = UpstreamSaver(self.upstreams, self.actions, 0.0)
        self.called: list[str] = []

    def leave(self, name: str) -> None:
        announcement = Announcement(pool="p", address="127.0.0.1:1", incarnation=7)
        entry = Entry(name, announcement, LEFT, "c1", 1, False, 99.0)
        self.upstreams.merge(0.0, entry)
        self.request(name)

    def request(self, name: str) -> None:
        entry = self.upstreams.entries[name]
        self.saver.request_sync(0.0, [entry], lambda: self.called.append(name))

    def pop_writes(self) -> list[Write]:
        return [a for a in self.actions.pop_all() if isinstance(a, Write)]


def test_an_entry_appended_behind_half_a_record_counts_as_synced():
    saving = Saving()
    saving.leave("a")
    saving.leave("b")
    failed, behind = saving.pop_writes()
    assert not failed.replace and not behind.replace
    saving.saver.handle_write_failed(0.0, failed.token)
    saving.saver.handle_written(behind.token)
    assert saving.called == []


def test_a_leave_after_a_failed_write_waits_for_the_next_save():
    saving = Saving()
    saving.leave("a")
    (failed,) = saving.pop_writes()
    saving.saver.handle_write_failed(0.0, failed.token)
    saving.leave("b")
    (write,) = saving.pop_writes()
    assert write.replace
    assert {record[0] for record in write.records} == {"a", "b"}
    saving.saver.handle_written(write.token)
    assert saving.called == ["b"]
    saving.request("a")
    assert saving.called == ["b", "a"]
    saving.leave("c")
    (append,) = saving.pop_writes()
    assert not append.replace
