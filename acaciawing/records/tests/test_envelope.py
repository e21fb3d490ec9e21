"""Tests of the record envelope."""

from acaciawing.membership import EntryLeft
from acaciawing.records import Envelope, Malformed, decode, encode


class TestEnvelope:
    """Guards against a record that is decoded wrongly or raises."""

    def test_round_trip(self) -> None:
        record = EntryLeft("entry-1", 3)
        assert decode(encode(record, "entry-1/3")) == Envelope(
            "entry-1/3", record
        )

    def test_invalid_body_is_returned_as_malformed(self) -> None:
        payload = (
            b'{"type":"entry-left","version":1,"writer":"a/1",'
            b'"body":{"instance":5}}'
        )
        outcome = decode(payload)
        assert isinstance(outcome, Malformed)
        assert outcome.reason == "invalid-body"
