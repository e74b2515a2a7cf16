import { LogKind, outgoingMessage, type PeerMessage } from "../model/logMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import type { Message } from "../pipeline/message.ts";

/** Refuses a request of an older term and sends the current term; drops an answer of an older term. */
export function refuseStaleRequest(message: PeerMessage, self: Member, term: number): readonly Message[] {
    const envelope = { from: self, to: message.from, term, callId: message.callId };
    switch (message.kind) {
        case LogKind.VoteRequest: {
            const { preVote, term: requestTerm } = message;
            return [outgoingMessage({ ...envelope, kind: LogKind.VoteAnswer, preVote, granted: false, requestTerm })];
        }
        case LogKind.AppendRequest:
            return [
                outgoingMessage({
                    ...envelope,
                    kind: LogKind.AppendAnswer,
                    accepted: false,
                    index: 0,
                    knowsEvacuations: true,
                }),
            ];
        case LogKind.SnapshotRequest: {
            const { lastIndex } = message;
            return [
                outgoingMessage({
                    ...envelope,
                    kind: LogKind.SnapshotAnswer,
                    lastIndex,
                    nextOffset: 0,
                    installed: false,
                }),
            ];
        }
        case LogKind.StandRequest:
            return [outgoingMessage({ ...envelope, kind: LogKind.StandAnswer, standing: false })];
        default:
            return [];
    }
}
