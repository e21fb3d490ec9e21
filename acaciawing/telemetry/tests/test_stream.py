"""Tests of the stream of log lines."""

import io
import os
import threading

from acaciawing.telemetry.stream import (
    BURST_LINES,
    LINES_PER_S,
    Allowance,
    BoundedStream,
)


def _left_out(count: int) -> str:
    return f"left out {count}"


class TestBoundedStream:
    """Guards against logs that hold up requests or fill a disk."""

    def test_writer_goes_on_while_nobody_reads(self) -> None:
        reader, writer = os.pipe()
        stream = BoundedStream(os.fdopen(writer, "wb"), _left_out)
        done = threading.Event()

        def write() -> None:
            for _ in range(20_000):
                stream.write("x" * 200 + "\n")
            done.set()

        threading.Thread(target=write, daemon=True).start()
        assert done.wait(30)
        os.close(reader)

    def test_left_out_lines_are_counted(self) -> None:
        target = io.BytesIO()
        stream = BoundedStream(target, _left_out, clock=lambda: 0.0)
        for _ in range(BURST_LINES + 7):
            stream.write("line\n")
        stream.close(5)
        text = target.getvalue().decode()
        assert text.count("line") == BURST_LINES
        assert text.endswith("left out 7\n")

    def test_allowance_refills_with_time(self) -> None:
        allowance = Allowance(LINES_PER_S, 1)
        assert allowance.take(0.0)
        assert not allowance.take(0.0)
        assert allowance.take(1 / LINES_PER_S)
