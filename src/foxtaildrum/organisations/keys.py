"""Lookup of the organisation that a key belongs to."""

from __future__ import annotations

import hashlib
import secrets
from typing import Any

from ..records import Organisation

SECRET_BYTES = 32
DIGEST_BYTES = 16


class KeyTable:
    """Organisations in force, by name and by the digest of each key.

    The keys themselves are not kept. Their digests are keyed with a secret, so that the time of
    a lookup tells a caller nothing about the keys that are known.

    Parameters
    ----------
    rows : list of dict
        Rows of the organisations table.
    secret : bytes
        Secret that the digests are keyed with.
    """

    __slots__ = ("_by_digest", "_by_name", "_secret")

    def __init__(self, rows: list[dict[str, Any]], secret: bytes) -> None:
        self._secret = secret
        self._by_name: dict[str, Organisation] = {}
        self._by_digest: dict[bytes, Organisation] = {}
        for row in rows:
            organisation = Organisation(**{**row, "keys": []})
            self._by_name[organisation.name] = organisation
            for key in row.get("keys", []):
                self._by_digest[self._compute_digest(key)] = organisation

    def find(self, key: str) -> Organisation | None:
        """Return the organisation of a key, without its keys; None if the key is unknown."""
        return self._by_digest.get(self._compute_digest(key))

    def find_by_name(self, name: str) -> Organisation | None:
        """Return the organisation of a name, without its keys; None if there is none."""
        return self._by_name.get(name)

    def list_names(self) -> list[str]:
        """Return the names of the organisations."""
        return list(self._by_name)

    def _compute_digest(self, key: str) -> bytes:
        # A header may hold any text in Latin-1; only visible ASCII can be a key.
        data = key.encode("utf-8", "surrogateescape")
        return hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=self._secret).digest()


class KeyTableBuilder:
    """Builds a key table when the organisations table has changed.

    Parameters
    ----------
    secret : bytes or None
        Secret of the process; None for a random one.
    """

    __slots__ = ("_key_table", "_rows", "_secret")

    def __init__(self, secret: bytes | None = None) -> None:
        self._secret = secret or secrets.token_bytes(SECRET_BYTES)
        self._rows: dict[str, dict[str, Any]] | None = None
        self._key_table: KeyTable | None = None

    def build(self, rows: dict[str, dict[str, Any]] | None) -> KeyTable | None:
        """Return the key table of the rows by name; None while there are no organisations.

        While the rows are the same, the same object is returned, so that callers can compare
        identities to find out whether a key has changed.
        """
        if rows != self._rows:
            self._rows = rows
            self._key_table = (
                None if rows is None else KeyTable(list(rows.values()), self._secret)
            )
        return self._key_table
