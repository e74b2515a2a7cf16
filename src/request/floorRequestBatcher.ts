/**
 * Requests the floors of callers from the holder of each group's primary. The floor of a caller is the log position of
 * its last write, which its reads must observe. Requests are batched: at most one per group is in flight.
 */
import type { DatabaseView } from "../model/clusterMessages.ts";
import {
    type HolderFloorAnswer,
    type HolderFloorRequest,
    type HolderForwardFloorRequest,
    HolderKind,
} from "../model/holderMessages.ts";
import type { Position } from "../model/position.ts";
import { PrimaryPositionHistory } from "./primaryPositionHistory.ts";

export type FloorRequestMessage = HolderFloorRequest | HolderForwardFloorRequest;

/** The floor for a waiting read; undefined when the request failed or the holder could not vouch for a floor. */
export interface FloorResult {
    readonly requestId: string;
    readonly floor: Position | undefined;
}

interface WaitingRead {
    readonly requestId: string;
    readonly callerId: string;
}

interface FloorRequestBatch {
    readonly requestId: string;
    readonly sentAtMs: number;
    readonly callerIds: readonly string[];
    readonly reads: readonly WaitingRead[];
}

interface GroupState {
    readonly history: PrimaryPositionHistory;
    inFlight: FloorRequestBatch | undefined;
    /**
     * Reads that arrived after the request in flight was sent. Its answer may not include writes that were acknowledged
     * before these reads arrived.
     */
    queued: WaitingRead[];
}

const floorRequestTimeoutMs = 500;

export class FloorRequestBatcher {
    private readonly instanceId: string;
    private readonly groups = new Map<string, GroupState>();
    private nextRequestNumber = 0;

    constructor(instanceId: string) {
        this.instanceId = instanceId;
    }

    getHistory(groupId: string): PrimaryPositionHistory {
        return this.getOrCreateGroup(groupId).history;
    }

    /** Adds a read to the next batch. */
    add(groupId: string, requestId: string, callerId: string): void {
        this.getOrCreateGroup(groupId).queued.push({ requestId, callerId });
    }

    /** Returns the request for the next batch of a group unless one is in flight or no read waits. */
    startRequest(groupId: string, primary: DatabaseView | undefined, nowMs: number): FloorRequestMessage | undefined {
        const group = this.getOrCreateGroup(groupId);
        if (primary?.holder === undefined || group.queued.length === 0 || this.isInFlight(group, nowMs)) {
            return undefined;
        }
        // The reads of a request that timed out are part of the next one.
        const reads = [...group.inFlight?.reads ?? [], ...group.queued];
        const callerIds = [...new Set(reads.map(each => each.callerId))];
        const requestId = `floor:${groupId}:${this.nextRequestNumber++}`;
        group.inFlight = { requestId, sentAtMs: nowMs, callerIds, reads };
        group.queued = [];
        const { databaseId, holder } = primary;
        return holder.instanceId === this.instanceId
            ? { kind: HolderKind.FloorRequest, origin: "", requestId, databaseId, callerIds }
            : {
                kind: HolderKind.ForwardFloorRequest,
                holderAddress: holder.instanceAddress,
                requestId,
                databaseId,
                callerIds,
            };
    }

    /** Applies an answer to the reads of its batch; ignores late and duplicate answers. */
    applyAnswer(answer: HolderFloorAnswer): readonly FloorResult[] {
        const group = [...this.groups.values()].find(each => each.inFlight?.requestId === answer.requestId);
        if (group === undefined) {
            return [];
        }
        const { sentAtMs, callerIds, reads } = group.inFlight!;
        group.inFlight = undefined;
        if (answer.floors === undefined) {
            return reads.map(({ requestId }) => ({ requestId, floor: undefined }));
        }
        group.history.add(answer.current, sentAtMs, answer.currentAgeMs);
        const floors = new Map(callerIds.map((callerId, index) => [callerId, answer.floors![index]]));
        return reads.map(({ requestId, callerId }) => ({ requestId, floor: floors.get(callerId) }));
    }

    /** Fails the batches whose requests will not be answered because the stream to their holder ended. */
    failRequests(requestIds: readonly string[]): readonly FloorResult[] {
        return requestIds.flatMap(requestId =>
            [...this.groups.values()].filter(each => each.inFlight?.requestId === requestId).flatMap(group => {
                const { reads } = group.inFlight!;
                group.inFlight = undefined;
                return reads.map(each => ({ requestId: each.requestId, floor: undefined }));
            })
        );
    }

    private isInFlight(group: GroupState, nowMs: number): boolean {
        return group.inFlight !== undefined && nowMs - group.inFlight.sentAtMs < floorRequestTimeoutMs;
    }

    private getOrCreateGroup(groupId: string): GroupState {
        let group = this.groups.get(groupId);
        if (group === undefined) {
            group = { history: new PrimaryPositionHistory(), inFlight: undefined, queued: [] };
            this.groups.set(groupId, group);
        }
        return group;
    }
}
