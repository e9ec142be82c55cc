"""What all tasks that write a response have in common."""

from __future__ import annotations

from waitress.task import Task


class ContentTask(Task):
    """Task that sends no content in response to ``HEAD``.

    The header section is that of the response to ``GET`` (RFC 9110, section 9.3.2).
    """

    def write(self, data: bytes) -> None:
        """Send a part of the content, after the head of the response."""
        super().write(b"" if self._has_no_content() else data)

    def finish(self) -> None:
        """End the response."""
        if not self._has_no_content():
            super().finish()
        elif not self.wrote_header:
            self.write(b"")

    def _has_no_content(self) -> bool:
        return self.request.command == "HEAD"
