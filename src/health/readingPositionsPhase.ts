/** Reads the positions of a majority after the old lease ended, and picks the member that is furthest ahead. */
import { type AllowLease, HealthKind, type HeldReport, type PositionAsk } from "../model/healthMessages.ts";
import { comparePositions, type Position } from "../model/position.ts";
import type { GroupView } from "./groupView.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

/** Time without a majority after which the old primary gets a holder again; it may have come back. */
const giveUpMs = 5_000;

/** Time for which a planned change waits for the members beyond a majority, so that it need not skip a closer one. */
const plannedWaitMs = 300;

export class ReadingPositionsPhase implements Phase {
    readonly name = PhaseName.ReadingPositions;
    private readonly groupView: GroupView;
    private readonly askId: string;
    private readonly planned: boolean;
    private readonly startMs: number;
    private readonly positions = new Map<string, Position>();

    constructor(groupView: GroupView, changeId: string, planned: boolean, nowMs: number) {
        this.groupView = groupView;
        this.askId = changeId;
        this.planned = planned;
        this.startMs = nowMs;
    }

    positionAskFor(databaseId: string): PositionAsk | undefined {
        const asked = this.groupView.membersExcept(this.groupView.group.primaryId).includes(databaseId);
        return asked ? { databaseId, askId: this.askId } : undefined;
    }

    onReport(report: HeldReport): void {
        // Only the id of this question proves that the position was read after the old lease ended.
        if (report.askId === this.askId && this.positionAskFor(report.databaseId) !== undefined) {
            this.positions.set(report.databaseId, report.position);
        }
    }

    decide(nowMs: number): Decision {
        const elapsedMs = nowMs - this.startMs;
        const others = this.groupView.membersExcept(this.groupView.group.primaryId);
        const complete = this.positions.size === others.length || !this.planned || elapsedMs >= plannedWaitMs;
        if (this.positions.size >= this.groupView.majoritySize && complete) {
            return { messages: [], transition: { to: PhaseName.Proposing, targetId: this.furthest() } };
        }
        if (elapsedMs >= giveUpMs) {
            const allow: AllowLease = { kind: HealthKind.AllowLease, databaseId: this.groupView.group.primaryId };
            return { messages: [allow], transition: { to: PhaseName.Steady } };
        }
        return stayInPhase;
    }

    /** Among equals, one that takes new work, then one in the data centre of the old primary, then by id. */
    private furthest(): string {
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
        return (entry?.available ? 2 : 0) + (entry?.announcement.dataCentre === oldDataCentre ? 1 : 0);
    }
}
