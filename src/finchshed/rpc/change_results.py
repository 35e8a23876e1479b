"""Converts results of configuration changes to and from RPC messages."""

from finchshed.configuration.changes import Accepted, ChangeResult, Conflict, Invalid
from finchshed.rpc.generated import finchshed_pb2 as pb


def result_to_message(result: ChangeResult) -> pb.ApplyResponse:
    """Return ``result`` as an RPC message."""
    if isinstance(result, Accepted):
        return pb.ApplyResponse(accepted=pb.Accepted(revision=result.revision))
    if isinstance(result, Conflict):
        return pb.ApplyResponse(
            conflict=pb.Conflict(
                current_revision=result.current_revision,
                winner_change_id=result.winner_change_id,
                winner_operator=result.winner_operator,
            )
        )
    return pb.ApplyResponse(invalid=pb.Invalid(problems=result.problems))


def result_from_message(message: pb.ApplyResponse) -> ChangeResult:
    """Return the result in ``message``."""
    kind = message.WhichOneof("result")
    if kind == "accepted":
        return Accepted(message.accepted.revision)
    if kind == "conflict":
        conflict = message.conflict
        return Conflict(
            current_revision=conflict.current_revision,
            winner_change_id=conflict.winner_change_id,
            winner_operator=conflict.winner_operator,
        )
    return Invalid(tuple(message.invalid.problems))
