"""Tests of the non-blocking log stream."""

import io
import os
import threading

from acaciawing.telemetry.stream import (
    MAX_BURST_LINES,
    MAX_LINES_PER_S,
    BoundedStream,
    TokenBucket,
)


def format_dropped(count: int) -> str:
    return f"dropped {count}"


class TestBoundedStream:
    """Guards against logs that block requests or fill a disk."""

    def test_unread_target_does_not_block_the_writer(self) -> None:
        reader, writer = os.pipe()
        stream = BoundedStream(os.fdopen(writer, "wb"), format_dropped)
        done = threading.Event()

        def write() -> None:
            for _ in range(20_000):
                stream.write("x" * 200 + "\n")
            done.set()

        threading.Thread(target=write, daemon=True).start()
        assert done.wait(30)
        os.close(reader)

    def test_dropped_lines_are_counted(self) -> None:
        target = io.BytesIO()
        stream = BoundedStream(target, format_dropped, clock=lambda: 0.0)
        for _ in range(MAX_BURST_LINES + 7):
            stream.write("line\n")
        stream.close(5)
        text = target.getvalue().decode()
        assert text.count("line") == MAX_BURST_LINES
        assert text.endswith("dropped 7\n")

    def test_token_bucket_refills_with_time(self) -> None:
        bucket = TokenBucket(MAX_LINES_PER_S, 1)
        assert bucket.try_take(0.0)
        assert not bucket.try_take(0.0)
        assert bucket.try_take(1 / MAX_LINES_PER_S)
