"""Converts the result of an attempt for the decision module and the log."""

from msgspec import Struct

from function_router.decisions.types import Outcome, StartKind
from function_router.net.close_reason import outcome_without_answer
from function_router.net.worker_messages import Attempt, Result, WorkerAnswer

# Maximum number of requests in flight that is reported to the decision module; a larger one is reported as
# this number.
MAX_REPORTED_IN_FLIGHT = 30


class AttemptReport(Struct, frozen=True):
    """The result of an attempt in the types of the decision module.

    Attributes:
        outcome: How the attempt ended.
        start_kind: Whether the worker reused or started an instance for it.
        in_flight: Number of requests for the function that were in flight at the worker before this one; None
            if unknown.
        description: The result as text for the log.
    """

    outcome: Outcome
    start_kind: StartKind
    in_flight: int | None
    description: str

    @classmethod
    def from_result(
        cls, attempt: Attempt, result: Result, *, workers_report_in_flight: bool
    ) -> "AttemptReport":
        """Convert the result of an attempt.

        Args:
            attempt: An attempt that has ended.
            result: The worker's answer, or the reason why there is none.
            workers_report_in_flight: Whether workers state in their answers how many requests are in flight.
        """
        if not isinstance(result, WorkerAnswer):
            outcome = outcome_without_answer(result, is_started=attempt.is_started)
            cause = f" ({attempt.not_sent_reason.name})" if attempt.not_sent_reason else ""
            return cls(outcome, StartKind.UNKNOWN, None, result.name + cause)
        in_flight = _in_flight(result) if workers_report_in_flight else None
        description = f"{result.outcome.name} {result.start_kind.name} in flight {in_flight}"
        return cls(result.outcome, result.start_kind, in_flight, description)


def _in_flight(answer: WorkerAnswer) -> int | None:
    """Return the number of requests in flight; None unless the outcome is OK or QUEUE_FULL."""
    if answer.outcome not in (Outcome.OK, Outcome.QUEUE_FULL):
        return None
    return min(MAX_REPORTED_IN_FLIGHT, answer.in_flight)
