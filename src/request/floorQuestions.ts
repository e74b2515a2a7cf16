/** Asks the holder of each group's primary for floors, at most one question in flight per group. */
import type { DatabaseView } from "../model/clusterMessages.ts";
import {
    type HolderFloorAnswer,
    type HolderFloorRequest,
    type HolderForwardFloorRequest,
    HolderKind,
} from "../model/holderMessages.ts";
import type { Position } from "../model/position.ts";
import { PrimarySamples } from "./primarySamples.ts";

export type FloorQuestion = HolderFloorRequest | HolderForwardFloorRequest;

/** What a waiting read learns: its floor, or that the holder could not prove anything. */
export interface FloorResult {
    readonly requestId: string;
    readonly floor: Position | undefined;
}

interface Waiting {
    readonly requestId: string;
    readonly callerId: string;
}

interface Question {
    readonly questionId: string;
    readonly askedAtMs: number;
    readonly callerIds: readonly string[];
    readonly waiting: readonly Waiting[];
}

interface Group {
    readonly samples: PrimarySamples;
    inFlight: Question | undefined;
    /** Reads that arrived after the question in flight was sent; its answer would not cover them. */
    next: Waiting[];
}

const questionTimeoutMs = 500;

export class FloorQuestions {
    private readonly instanceId: string;
    private readonly groups = new Map<string, Group>();
    private nextQuestion = 0;

    constructor(instanceId: string) {
        this.instanceId = instanceId;
    }

    samples(groupId: string): PrimarySamples {
        return this.group(groupId).samples;
    }

    /** Adds a read to the next question. */
    add(groupId: string, requestId: string, callerId: string): void {
        this.group(groupId).next.push({ requestId, callerId });
    }

    /** Sends the next question of a group unless one is in flight or nobody waits. */
    ask(groupId: string, primary: DatabaseView | undefined, nowMs: number): FloorQuestion | undefined {
        const group = this.group(groupId);
        if (primary?.holder === undefined || group.next.length === 0 || this.isInFlight(group, nowMs)) {
            return undefined;
        }
        // Reads of a question that timed out are asked for again.
        const waiting = [...group.inFlight?.waiting ?? [], ...group.next];
        const callerIds = [...new Set(waiting.map(each => each.callerId))];
        const requestId = `floor:${groupId}:${this.nextQuestion++}`;
        group.inFlight = { questionId: requestId, askedAtMs: nowMs, callerIds, waiting };
        group.next = [];
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

    /** Takes an answer; late and repeated ones are ignored. */
    answer(answer: HolderFloorAnswer): readonly FloorResult[] {
        const group = [...this.groups.values()].find(each => each.inFlight?.questionId === answer.requestId);
        if (group === undefined) {
            return [];
        }
        const { askedAtMs, callerIds, waiting } = group.inFlight!;
        group.inFlight = undefined;
        if (answer.floors === undefined) {
            return waiting.map(({ requestId }) => ({ requestId, floor: undefined }));
        }
        group.samples.add(answer.current, askedAtMs, answer.currentAgeMs);
        const floors = new Map(callerIds.map((callerId, index) => [callerId, answer.floors![index]]));
        return waiting.map(({ requestId, callerId }) => ({ requestId, floor: floors.get(callerId) }));
    }

    /** The stream to a holder ended: its questions get no answer. */
    fail(questionIds: readonly string[]): readonly FloorResult[] {
        return questionIds.flatMap(requestId =>
            [...this.groups.values()].filter(each => each.inFlight?.questionId === requestId).flatMap(group => {
                const { waiting } = group.inFlight!;
                group.inFlight = undefined;
                return waiting.map(each => ({ requestId: each.requestId, floor: undefined }));
            })
        );
    }

    private isInFlight(group: Group, nowMs: number): boolean {
        return group.inFlight !== undefined && nowMs - group.inFlight.askedAtMs < questionTimeoutMs;
    }

    private group(groupId: string): Group {
        let group = this.groups.get(groupId);
        if (group === undefined) {
            group = { samples: new PrimarySamples(), inFlight: undefined, next: [] };
            this.groups.set(groupId, group);
        }
        return group;
    }
}
