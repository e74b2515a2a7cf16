/** Answers to requests of an older term. */
import { LogKind, type PeerMessage, send } from "../model/logMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import type { Message } from "../pipeline/message.ts";

/** Refuses a request and tells its sender the current term; an outdated answer is dropped. */
export function refusePeerRequest(message: PeerMessage, self: Member, term: number): readonly Message[] {
    const head = { from: self, to: message.from, term, callId: message.callId };
    switch (message.kind) {
        case LogKind.VoteRequest: {
            const { preVote, term: requestTerm } = message;
            return [send({ ...head, kind: LogKind.VoteAnswer, preVote, granted: false, requestTerm })];
        }
        case LogKind.AppendRequest:
            return [send({ ...head, kind: LogKind.AppendAnswer, accepted: false, index: 0 })];
        case LogKind.SnapshotRequest: {
            const { lastIndex } = message;
            return [send({ ...head, kind: LogKind.SnapshotAnswer, lastIndex, nextOffset: 0, installed: false })];
        }
        default:
            return [];
    }
}
