/** Orders to the members of one group: the primary is promoted first, then the others are told to follow it. */
import { DatabaseRole } from "../model/database.ts";
import { type DatabaseOrder, type Order, OrderKind, type OrderResult } from "../model/healthMessages.ts";
import type { GroupView } from "./groupView.ts";

/** Time after a completed order during which announcements may still show the state before it. */
const announcementSettleMs = 10_000;

/** Delay after a failed order to follow; a failed promotion is retried at once. */
const followRetryMs = 1_000;

interface MemberState {
    attempt: number;
    /** Whether the member needs an order regardless of its announcement. */
    orderRequired: boolean;
    /** Whether an order was sent whose result has not arrived. */
    inFlight: boolean;
    completedAtMs: number | undefined;
    failedAtMs: number | undefined;
}

export class MemberOrders {
    private readonly groupView: GroupView;
    private readonly leaderTerm: number;
    private readonly members = new Map<string, MemberState>();

    /** @param leaderTerm term of the control leader; makes order ids unique across leaders */
    constructor(groupView: GroupView, leaderTerm: number) {
        this.groupView = groupView;
        this.leaderTerm = leaderTerm;
    }

    /** Makes every member get an order, as after a change of primary. */
    requireOrders(): void {
        this.groupView.group.memberIds.forEach(memberId => {
            this.members.set(memberId, {
                ...this.stateOf(memberId),
                orderRequired: true,
                inFlight: false,
                completedAtMs: undefined,
            });
        });
    }

    get isPromoted(): boolean {
        return !this.stateOf(this.groupView.group.primaryId).orderRequired;
    }

    /** Order that a reachable member needs now; repeats the same order until its result arrives. */
    orderFor(databaseId: string, nowMs: number): DatabaseOrder | undefined {
        const order = this.requiredOrder(databaseId);
        const state = this.stateOf(databaseId);
        if (order === undefined || !state.inFlight && !this.isDue(databaseId, state, nowMs)) {
            return undefined;
        }
        state.inFlight = true;
        return { orderId: this.orderId(databaseId, state), databaseId, order };
    }

    recordResult(result: OrderResult, nowMs: number): void {
        for (const [memberId, state] of this.members) {
            if (state.inFlight && this.orderId(memberId, state) === result.orderId) {
                const succeeded = result.failure === undefined;
                state.inFlight = false;
                state.attempt++;
                state.orderRequired = state.orderRequired && !succeeded;
                state.completedAtMs = succeeded ? nowMs : state.completedAtMs;
                state.failedAtMs = succeeded ? undefined : nowMs;
            }
        }
    }

    private isDue(databaseId: string, state: MemberState, nowMs: number): boolean {
        const isPrimary = databaseId === this.groupView.group.primaryId;
        const retryMs = isPrimary ? 0 : followRetryMs;
        if (nowMs - (state.failedAtMs ?? -Infinity) < retryMs) {
            return false;
        }
        const isSettled = nowMs - (state.completedAtMs ?? -Infinity) >= announcementSettleMs;
        return state.orderRequired || isSettled && this.deviatesFromAgreedState(databaseId);
    }

    /** Detects a returning old primary, a wiped member, or one that missed an order of an earlier leader. */
    private deviatesFromAgreedState(databaseId: string): boolean {
        const announcement = this.groupView.directoryEntry(databaseId)?.announcement;
        if (announcement === undefined) {
            return false;
        }
        const agreedRole = databaseId === this.groupView.group.primaryId ? DatabaseRole.Primary : DatabaseRole.Replica;
        return announcement.role !== agreedRole || announcement.position.term < this.groupView.group.term;
    }

    private requiredOrder(databaseId: string): Order | undefined {
        const { primaryId, term } = this.groupView.group;
        if (databaseId === primaryId) {
            return { kind: OrderKind.Promote, term };
        }
        const primaryAddress = this.groupView.directoryEntry(primaryId)?.announcement.address;
        return primaryAddress === undefined || !this.isPromoted
            ? undefined
            : { kind: OrderKind.Follow, term, primaryAddress };
    }

    private stateOf(databaseId: string): MemberState {
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
