/** The orders to the members of one group: the primary is promoted first, then the others follow it. */
import { DatabaseRole } from "../model/database.ts";
import { type DatabaseOrder, type Order, OrderKind, type OrderResult } from "../model/healthMessages.ts";
import type { GroupView } from "./groupView.ts";

/** Time after a carried-out order in which announcements may still show the state before it. */
const settleMs = 10_000;

/** Pause after a failed order to follow; a failed promotion is repeated at once. */
const followRetryMs = 1_000;

interface MemberState {
    attempt: number;
    /** Must be ordered whatever its announcement says. */
    orderRequired: boolean;
    /** An order is open until its result arrives. */
    inFlight: boolean;
    completedAtMs: number | undefined;
    failedAtMs: number | undefined;
}

export class MemberOrders {
    private readonly groupView: GroupView;
    private readonly leaderTerm: number;
    private readonly members = new Map<string, MemberState>();

    /** @param leaderTerm term of the leader; keeps order ids of two leaders apart */
    constructor(groupView: GroupView, leaderTerm: number) {
        this.groupView = groupView;
        this.leaderTerm = leaderTerm;
    }

    /** After a change of primary every member gets an order. */
    requireOrders(): void {
        this.groupView.group.memberIds.forEach(memberId => {
            this.members.set(memberId, {
                ...this.state(memberId),
                orderRequired: true,
                inFlight: false,
                completedAtMs: undefined,
            });
        });
    }

    get isPromoted(): boolean {
        return !this.state(this.groupView.group.primaryId).orderRequired;
    }

    /** The order that a reachable member needs now, the same one until its result arrives. */
    orderFor(databaseId: string, nowMs: number): DatabaseOrder | undefined {
        const order = this.neededBy(databaseId);
        const state = this.state(databaseId);
        if (order === undefined || !state.inFlight && !this.isDue(databaseId, state, nowMs)) {
            return undefined;
        }
        state.inFlight = true;
        return { orderId: this.orderId(databaseId, state), databaseId, order };
    }

    recordResult(result: OrderResult, nowMs: number): void {
        for (const [memberId, state] of this.members) {
            if (state.inFlight && this.orderId(memberId, state) === result.orderId) {
                const done = result.failure === undefined;
                state.inFlight = false;
                state.attempt++;
                state.orderRequired = state.orderRequired && !done;
                state.completedAtMs = done ? nowMs : state.completedAtMs;
                state.failedAtMs = done ? undefined : nowMs;
            }
        }
    }

    private isDue(databaseId: string, state: MemberState, nowMs: number): boolean {
        const isPrimary = databaseId === this.groupView.group.primaryId;
        const retryMs = isPrimary ? 0 : followRetryMs;
        if (nowMs - (state.failedAtMs ?? -Infinity) < retryMs) {
            return false;
        }
        const settled = nowMs - (state.completedAtMs ?? -Infinity) >= settleMs;
        return state.orderRequired || settled && this.isOutOfRole(databaseId);
    }

    /** A returning old primary, a wiped member, or one that missed an order of an earlier leader. */
    private isOutOfRole(databaseId: string): boolean {
        const announcement = this.groupView.directoryEntry(databaseId)?.announcement;
        if (announcement === undefined) {
            return false;
        }
        const agreedRole = databaseId === this.groupView.group.primaryId ? DatabaseRole.Primary : DatabaseRole.Replica;
        return announcement.role !== agreedRole || announcement.position.term < this.groupView.group.term;
    }

    private neededBy(databaseId: string): Order | undefined {
        const { primaryId, term } = this.groupView.group;
        if (databaseId === primaryId) {
            return { kind: OrderKind.Promote, term };
        }
        const primaryAddress = this.groupView.directoryEntry(primaryId)?.announcement.address;
        return primaryAddress === undefined || !this.isPromoted
            ? undefined
            : { kind: OrderKind.Follow, term, primaryAddress };
    }

    private state(databaseId: string): MemberState {
        let state = this.members.get(databaseId);
        if (state === undefined) {
            state = {
                attempt: 1,
                orderRequired: false,
                inFlight: false,
                completedAtMs: undefined,
                failedAtMs: undefined,
            };
            this.members.set(databaseId, state);
        }
        return state;
    }

    private orderId(databaseId: string, state: MemberState): string {
        return `${this.leaderTerm}/${this.groupView.group.term}/${databaseId}/${state.attempt}`;
    }
}
