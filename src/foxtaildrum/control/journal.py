"""Durable journal of records in one file.

Each record is written by one append and one sync, so a crash can leave only the last record
incomplete (torn). A torn last record is cut off; damage before it raises an error.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import struct
import zlib
from collections.abc import Callable, Iterable
from typing import Protocol

from ..exceptions import CorruptJournalError, FileNotReplacedError
from ..logs import log_event

DAMAGED_SUFFIX = ".damaged"
TEMPORARY_SUFFIX = ".new"
MAX_RECORD_BYTES = 64 * 1024 * 1024

_HEADER = struct.Struct(">II")
_LENGTH = struct.Struct(">I")


class Disk(Protocol):
    """Files of one data folder; tests pass a fake that simulates lost and failed writes."""

    def read(self, name: str) -> bytes:
        """Return the content of a file; empty when it does not exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace the whole file atomically and sync it."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""

    def set_aside(self, name: str) -> None:
        """Rename a file by adding :data:`DAMAGED_SUFFIX`, which frees its name."""


class FolderDisk:
    """Files in a folder of the file system.

    Parameters
    ----------
    folder : str
        Path of the folder; created if it doesn't exist.

    Raises
    ------
    OSError
        If the folder cannot be written.
    BlockingIOError
        If another process uses the folder.
    """

    def __init__(self, folder: str) -> None:
        os.makedirs(folder, exist_ok=True)
        self._folder = folder
        self._files: dict[str, int] = {}
        self._lock = _lock_folder(folder)

    def read(self, name: str) -> bytes:
        """Return the content of a file; empty when it does not exist."""
        try:
            with open(self._path(name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return b""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it; after a failure the file is cut back if possible."""
        descriptor = self._open(name)
        size = os.fstat(descriptor).st_size
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            os.fdatasync(descriptor)
        except OSError:
            with contextlib.suppress(OSError):
                os.ftruncate(descriptor, size)
            raise

    def replace(self, name: str, data: bytes) -> None:
        """Replace the whole file atomically and sync it.

        Raises
        ------
        FileNotReplacedError
            When the file still has its content. After any other error it is unknown which
            content a loss of power leaves.
        """
        temporary = self._path(name + TEMPORARY_SUFFIX)
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
        except OSError as error:
            # What was written takes up room on a disk that is full.
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            raise FileNotReplacedError(*error.args) from error
        self._close(name)
        os.replace(temporary, self._path(name))
        self._sync_folder()

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""
        descriptor = self._open(name)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def set_aside(self, name: str) -> None:
        """Rename a file by adding :data:`DAMAGED_SUFFIX`, which frees its name."""
        self._close(name)
        os.replace(self._path(name), self._path(name + DAMAGED_SUFFIX))
        self._sync_folder()

    def close(self) -> None:
        """Close every file and release the folder."""
        for name in list(self._files):
            self._close(name)
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def _open(self, name: str) -> int:
        if name not in self._files:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._files[name] = os.open(self._path(name), flags, 0o600)
            self._sync_folder()
        return self._files[name]

    def _close(self, name: str) -> None:
        descriptor = self._files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _lock_folder(folder: str) -> int:
    """Lock a folder and return its descriptor.

    The folder itself is locked and not a file in it, as none can be created on a full disk.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        raise
    except OSError:
        # A file system without locks.
        return descriptor
    return descriptor


class Journal:
    """Append-only file of records with checksums.

    Parameters
    ----------
    disk : Disk
        Disk that stores the file.
    name : str
        Name of the file.

    Attributes
    ----------
    is_torn : bool
        Whether the disk refused a write at the start, so that the file may end in a torn record
        or lack its first one; nothing may be appended until the records are replaced.
    """

    def __init__(self, disk: Disk, name: str) -> None:
        self._disk = disk
        self._name = name
        self.is_torn = False

    def load(self) -> list[bytes]:
        """Return the complete records and truncate a torn last one.

        A full disk may refuse to truncate it; then the journal is torn.

        Raises
        ------
        CorruptJournalError
            When a record before the last one is damaged.
        """
        data = self._disk.read(self._name)
        records, size = split_records(data, self._name)
        if size < len(data):
            self._try_write(lambda: self._disk.truncate(self._name, size))
        return records

    def begin(self, record: bytes) -> None:
        """Append the first record; if the disk refuses it, the journal is torn."""
        if not self.is_torn:
            self._try_write(lambda: self.append(record))

    def _try_write(self, write: Callable[[], None]) -> None:
        try:
            write()
        except OSError as error:
            self.is_torn = True
            log_event(
                "journal_torn", level=logging.ERROR, journal=self._name, reason=str(error)
            )

    def salvage(self) -> list[bytes]:
        """Return the intact records of a damaged journal, and keep only these.

        If the disk refuses that, the journal is torn.
        """
        records = find_intact_records(self._disk.read(self._name))
        self._try_write(lambda: self.replace(records))
        return records

    def set_aside(self) -> None:
        """Start an empty journal; the current file is renamed and kept.

        If the disk refuses that, the journal is torn.
        """
        self._try_write(lambda: self._disk.set_aside(self._name))

    def append(self, *records: bytes) -> None:
        """Append records with one sync; they are durable when this returns.

        A crash can keep any of several records and lose the others.
        """
        self._disk.append(self._name, b"".join(pack_record(r) for r in records))

    def replace(self, records: Iterable[bytes]) -> None:
        """Replace all records atomically."""
        self._disk.replace(self._name, b"".join(pack_record(r) for r in records))
        self.is_torn = False


def pack_record(record: bytes) -> bytes:
    """Return a record preceded by its header of length and checksum."""
    return _HEADER.pack(len(record), zlib.crc32(record)) + record


def split_records(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Split a journal into records; also return the length of the data that they occupy.

    Raises
    ------
    CorruptJournalError
        When a damaged record is followed by further bytes.
    """
    records: list[bytes] = []
    position = 0
    while position < len(data):
        end = _find_end(data, position)
        record = data[position + _HEADER.size : end]
        if end <= len(data) and _is_intact(data, position, record):
            records.append(record)
            position = end
            continue
        if _is_torn(data, position, end):
            break
        raise CorruptJournalError(f"{name}: the record at byte {position} is damaged")
    return records, position


def find_intact_records(data: bytes) -> list[bytes]:
    """Return the records that are intact, up to damage that hides where the next one starts."""
    records: list[bytes] = []
    position = 0
    while (end := _find_end(data, position)) <= len(data):
        record = data[position + _HEADER.size : end]
        if _is_intact(data, position, record):
            records.append(record)
        position = end
    return records


def _find_end(data: bytes, position: int) -> int:
    if position + _HEADER.size > len(data):
        return len(data) + 1
    length, _ = _HEADER.unpack_from(data, position)
    return position + _HEADER.size + length


def _is_intact(data: bytes, position: int, record: bytes) -> bool:
    _, checksum = _HEADER.unpack_from(data, position)
    return bool(record) and zlib.crc32(record) == checksum


def _is_torn(data: bytes, position: int, end: int) -> bool:
    # A torn append leaves an incomplete record, or zero bytes where data was never written.
    if end >= len(data):
        return not _holds_later_record(data, position)
    return not any(data[position:])


def _holds_later_record(data: bytes, position: int) -> bool:
    # A damaged length field can point past the end of the file, like a torn append. A valid
    # record after it reveals the damage: one whose length reaches exactly to the end.
    end = len(data)
    start = max(position + 1, end - MAX_RECORD_BYTES - _HEADER.size)
    while (start := _find_length(data, start)) >= 0:
        _, checksum = _HEADER.unpack_from(data, start)
        if zlib.crc32(data[start + _HEADER.size :]) == checksum:
            return True
        start += 1
    return False


def _find_length(data: bytes, start: int) -> int:
    """Return where the next header starts whose length reaches to the end of ``data``.

    -1 if there is none. The data are searched in spans in which such lengths have the same
    first three bytes.
    """
    last = len(data) - _HEADER.size - 1
    while start <= last:
        length = len(data) - start - _HEADER.size
        prefix = _LENGTH.pack(length)[:-1]
        span_end = start + length % 256
        found = data.find(prefix, start, span_end + len(prefix))
        if found < 0:
            start = span_end + 1
            continue
        if found + _HEADER.size + _LENGTH.unpack_from(data, found)[0] == len(data):
            return found
        start = found + 1
    return -1
