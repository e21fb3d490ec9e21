"""Decoding of bytes that another party has written."""

import msgspec

# All that a msgspec decoder raises for malformed input: besides its own errors,
# for text that is not UTF-8 and for values nested more deeply than the stack.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

# Largest whole number that records and most other parties can hold.
MAX_WHOLE_NUMBER = 2**63 - 1

# Digits of the largest number that `parse_digits` accepts.
_MAX_DIGITS = 18


def parse_digits(text: str) -> int | None:
    """Parses a number of ASCII digits; returns None for any other text.

    >>> parse_digits("017"), parse_digits("+1"), parse_digits("9" * 5000)
    (17, None, None)
    """
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS):
        return None
    return int(text)
