"""Parts of a node, and the registry of the messages that each of them handles."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar

Handler = Callable[[float, str, Any], None]

_MARK = "_handled_types"


def handles(*message_types: type) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Register the decorated method of a part for messages of some types."""

    def register(method: Callable[..., None]) -> Callable[..., None]:
        setattr(method, _MARK, message_types)
        return method

    return register


class Part:
    """One concern of a node; methods decorated with :func:`handles` receive its messages.

    A handler is called with the time, the identifier of the sender and the message.
    """

    _method_names: ClassVar[dict[type, str]] = {}

    def __init_subclass__(cls) -> None:
        """Collect the handlers of the class."""
        cls._method_names = {
            message_type: name
            for name, method in vars(cls).items()
            for message_type in getattr(method, _MARK, ())
        }

    def build_handlers(self) -> dict[type, Handler]:
        """Return the handler of each type of message that this part receives."""
        return {kind: getattr(self, name) for kind, name in self._method_names.items()}
