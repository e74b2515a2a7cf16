/** Reads the positions of a majority after the old lease ended, and chooses the most advanced member as primary. */
import { type AllowLease, HealthKind, type HeldReport, type PositionAsk } from "../model/healthMessages.ts";
import { comparePositions, type Position } from "../model/position.ts";
import type { GroupView } from "./groupView.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

/** Time without a majority after which the old primary may get a holder again, as it may have recovered. */
const majorityTimeoutMs = 5_000;

/** Time that a planned change waits for the members beyond a majority, so that it can choose a preferable one. */
const remainingMembersWaitMs = 300;

export class ReadingPositionsPhase implements Phase {
    readonly name = PhaseName.ReadingPositions;
    private readonly groupView: GroupView;
    private readonly askId: string;
    private readonly planned: boolean;
    private readonly startedAtMs: number;
    private readonly positions = new Map<string, Position>();

    constructor(groupView: GroupView, changeId: string, planned: boolean, nowMs: number) {
        this.groupView = groupView;
        this.askId = changeId;
        this.planned = planned;
        this.startedAtMs = nowMs;
    }

    positionAskFor(databaseId: string): PositionAsk | undefined {
        const isAsked = this.groupView.membersExcept(this.groupView.group.primaryId).includes(databaseId);
        return isAsked ? { databaseId, askId: this.askId } : undefined;
    }

    onReport(report: HeldReport): void {
        // Only the id of this request proves that the position was read after the old lease ended.
        if (report.askId === this.askId && this.positionAskFor(report.databaseId) !== undefined) {
            this.positions.set(report.databaseId, report.position);
        }
    }

    decide(nowMs: number): Decision {
        const elapsedMs = nowMs - this.startedAtMs;
        const others = this.groupView.membersExcept(this.groupView.group.primaryId);
        const isComplete = this.positions.size === others.length || !this.planned
            || elapsedMs >= remainingMembersWaitMs;
        if (this.positions.size >= this.groupView.majoritySize && isComplete) {
            return { messages: [], transition: { to: PhaseName.Proposing, newPrimaryId: this.mostAdvancedMember() } };
        }
        if (elapsedMs >= majorityTimeoutMs) {
            const allow: AllowLease = { kind: HealthKind.AllowLease, databaseId: this.groupView.group.primaryId };
            return { messages: [allow], transition: { to: PhaseName.Steady } };
        }
        return stayInPhase;
    }

    /**
     * Prefers among equals a member outside of evacuated data centres, then an available one, then one in the data centre of
     * the old primary, then the lowest id.
     */
    private mostAdvancedMember(): string {
        const ids = [...this.positions.keys()].sort((left, right) =>
            comparePositions(this.positions.get(right)!, this.positions.get(left)!)
            || this.preference(right) - this.preference(left)
            || (left < right ? -1 : 1)
        );
        return ids[0]!;
    }

    private preference(databaseId: string): number {
        const entry = this.groupView.directoryEntry(databaseId);
        const oldDataCentre = this.groupView.directoryEntry(this.groupView.group.primaryId)?.announcement.dataCentre;
        return (this.groupView.isEvacuated(databaseId) ? 0 : 4) + (entry?.available ? 2 : 0)
            + (entry?.announcement.dataCentre === oldDataCentre ? 1 : 0);
    }
}
