/** Answers to requests of an older term. */
import { LogKind, outgoingMessage, type PeerMessage } from "../model/logMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import type { Message } from "../pipeline/message.ts";

/** Refuses a request and tells its sender the current term; an outdated answer is dropped. */
export function refuseStaleRequest(message: PeerMessage, self: Member, term: number): readonly Message[] {
    const head = { from: self, to: message.from, term, callId: message.callId };
    switch (message.kind) {
        case LogKind.VoteRequest: {
            const { preVote, term: requestTerm } = message;
            return [outgoingMessage({ ...head, kind: LogKind.VoteAnswer, preVote, granted: false, requestTerm })];
        }
        case LogKind.AppendRequest:
            return [outgoingMessage({ ...head, kind: LogKind.AppendAnswer, accepted: false, index: 0 })];
        case LogKind.SnapshotRequest: {
            const { lastIndex } = message;
            return [
                outgoingMessage({ ...head, kind: LogKind.SnapshotAnswer, lastIndex, nextOffset: 0, installed: false }),
            ];
        }
        default:
            return [];
    }
}
