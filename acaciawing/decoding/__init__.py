"""Decoding of bytes that another party has written."""

import ipaddress

import msgspec

# All that a msgspec decoder raises for malformed input: besides its own errors,
# for text that is not UTF-8 and for values nested more deeply than the stack.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

# Largest whole number that records and most other parties can hold.
MAX_WHOLE_NUMBER = 2**63 - 1

_MAX_PORT = 65535

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


def is_address(value: str, lowest_port: int = 0) -> bool:
    """Whether a string is ``ip:port``; an IPv6 address is in brackets.

    >>> is_address("127.0.0.1:8080"), is_address("[::1]:80")
    (True, True)
    >>> is_address("localhost:80"), is_address("127.0.0.1:99999")
    (False, False)
    """
    host, _, port = value.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    if bracketed != (address.version == 6):
        return False
    number = parse_digits(port) if len(port) <= len(str(_MAX_PORT)) else None
    return number is not None and lowest_port <= number <= _MAX_PORT
