"""Baseline control loop that trusts its appends before reading them back."""

from acaciawing.control import ControlLoop, StepsFolded
from acaciawing.fold import step
from acaciawing.records import LogPosition, encode


class AppendTrustingLoop(ControlLoop):
    """Folds each record at the offset it expects, and acts on the result."""

    def _append(self, record: object) -> bool:
        answered = super()._append(record)
        payload = encode(record, self._view.writer)
        position = LogPosition(self.state.offset, self._view.log_now)
        folded = step(self.state, payload, position)
        self.handle(StepsFolded(folded.state, (folded,)))
        return answered
