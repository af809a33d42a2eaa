"""What the end of an attempt means for the decision module and for the log."""

from msgspec import Struct

from function_router.decisions.types import Outcome, StartKind
from function_router.net.close_reason import outcome_of
from function_router.net.worker_messages import Answer, Attempt, Result

# A worker's figure above this is reported as this.
MAX_REPORTED_IN_FLIGHT = 30


class AttemptReport(Struct, frozen=True):
    """What became of an attempt, in the terms of the decision module."""

    outcome: Outcome
    start_kind: StartKind
    in_flight: int | None  # requests for the function that the worker had before this one
    description: str  # for the log

    @classmethod
    def from_result(cls, attempt: Attempt, result: Result, *, reports_in_flight: bool) -> "AttemptReport":
        """Convert the result of an attempt.

        Args:
            attempt: The attempt, which has ended.
            result: The worker's answer, or why there is none.
            reports_in_flight: Whether answers of workers say how many requests were in flight.
        """
        if not isinstance(result, Answer):
            outcome = outcome_of(result, is_started=attempt.is_started)
            cause = f" ({attempt.not_sent_reason.name})" if attempt.not_sent_reason else ""
            return cls(outcome, StartKind.UNKNOWN, None, result.name + cause)
        in_flight = _in_flight(result) if reports_in_flight else None
        description = f"{result.outcome.name} {result.start_kind.name} in flight {in_flight}"
        return cls(result.outcome, result.start_kind, in_flight, description)


def _in_flight(answer: Answer) -> int | None:
    if answer.outcome not in (Outcome.OK, Outcome.QUEUE_FULL):
        return None
    return min(MAX_REPORTED_IN_FLIGHT, answer.in_flight)
