"""The command ``acaciawing`` and the API documents that it decodes."""

from acaciawing.commandline.documents import (
    ExplainDocument,
    ExplainEvent,
    PlanStatus,
    StatusDocument,
    decode_explain,
    decode_status,
)

__all__ = [
    "ExplainDocument",
    "ExplainEvent",
    "PlanStatus",
    "StatusDocument",
    "decode_explain",
    "decode_status",
]
