"""Encoding of a whole state, generic over the tables in it.

The encoding follows the type annotations of frozen data classes, so a table
that is added to `acaciawing.fold.FleetState` needs no change here. A field
annotated with ``Any`` would not be restored to its type.
"""

import dataclasses
import types
import zlib
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec
from immutables import Map
from xxhash import xxh3_64_hexdigest

from acaciawing.decoding import DECODE_ERRORS

T = TypeVar("T")

# Incremented when a rule of the fold changes. Two releases that fold one stream
# to different states must not treat each other's snapshots as their own.
FOLD_VERSION = 1

# For 1,400 instances, level 1 takes 2.5 ms and compresses 330 kB to 53 kB;
# level 6 takes 6.9 ms and reaches 45 kB.
_COMPRESSION_LEVEL = 1

# Bounds the memory that a faulty snapshot can use when it is decompressed.
_MAX_STATE_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Undecodable:
    """Bytes that can't be decoded to the requested type."""

    detail: str


def encode_state(state: object) -> bytes:
    """Encodes a state.

    Equal states are encoded to the same bytes in every process. Keys are
    sorted, because the order of a `Map` depends on the process's hash seed.

    Args:
        state: A frozen data class made of data classes, tuples, plain values
            and `Map` with text or integer keys.

    Returns:
        Compressed JSON.
    """
    json_bytes = msgspec.json.encode(
        state, enc_hook=_map_to_dict, order="deterministic"
    )
    return zlib.compress(json_bytes, _COMPRESSION_LEVEL)


def decode_state(body: bytes, state_type: type[T]) -> T | Undecodable:
    """Decodes the output of `encode_state`; never raises on bad input.

    >>> decode_state(b"", int)
    Undecodable(detail='truncated or too large')
    """
    inflater = zlib.decompressobj()
    try:
        json_bytes = inflater.decompress(body, _MAX_STATE_BYTES)
        if not inflater.eof or inflater.unused_data:
            return Undecodable("truncated or too large")
        return msgspec.json.decode(
            json_bytes, type=state_type, dec_hook=_dict_to_map
        )
    except (zlib.error, ValueError, *DECODE_ERRORS) as error:
        return Undecodable(str(error))


def schema_of(state_type: type) -> str:
    """Returns a digest of the fields and types of a state."""
    lines: list[str] = []
    _describe(state_type, lines, set())
    text = f"{FOLD_VERSION};" + ";".join(lines)
    return xxh3_64_hexdigest(text.encode())


def _map_to_dict(value: object) -> object:
    if isinstance(value, Map):
        # JSON has text keys only; `_dict_to_map` converts numbers back.
        return {_text_key(key): item for key, item in value.items()}
    raise NotImplementedError(type(value).__name__)


def _text_key(key: object) -> str:
    if isinstance(key, str | int):
        return str(key)
    raise NotImplementedError(f"key of type {type(key).__name__}")


def _dict_to_map(annotation: Any, value: Any) -> Any:
    if get_origin(annotation) is Map:
        dict_type: Any = types.GenericAlias(dict, get_args(annotation))
        plain_dict = msgspec.convert(
            value, dict_type, dec_hook=_dict_to_map, str_keys=True
        )
        return Map(plain_dict)
    raise NotImplementedError(str(annotation))


def _describe(kind: Any, lines: list[str], visited: set[Any]) -> None:
    for argument in get_args(kind):
        _describe(argument, lines, visited)
    if not dataclasses.is_dataclass(kind) or kind in visited:
        return
    visited.add(kind)
    hints = get_type_hints(kind)
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        lines.append(f"{kind}.{field.name}:{hint}")
        _describe(hint, lines, visited)
