/** State machine of one group; its states are the phases of a change of primary. */
import { match } from "ts-pattern";
import type { ControlProposalEnded } from "../model/controlMessages.ts";
import type { DatabaseGroup } from "../model/database.ts";
import type { DatabaseOrder, HeldReport, OrderResult, PositionAsk } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { EndingLeasePhase } from "./endingLeasePhase.ts";
import { GroupView, type GroupViewSource } from "./groupView.ts";
import { MemberOrders } from "./memberOrders.ts";
import { PreparingPhase } from "./preparingPhase.ts";
import { type Phase, PhaseName, type Transition } from "./primaryChangePhase.ts";
import { PromotingPhase } from "./promotingPhase.ts";
import { ProposingPhase } from "./proposingPhase.ts";
import { ReadingPositionsPhase } from "./readingPositionsPhase.ts";
import { SteadyPhase } from "./steadyPhase.ts";

export class GroupStateMachine {
    private readonly groupView: GroupView;
    private readonly leaderTerm: number;
    private readonly orders: MemberOrders;
    private phase: Phase;
    private lastChangeAtMs: number | undefined;
    private changeNumber = 1;

    /** @param leaderTerm term of the control leader; makes the ids of changes and orders unique across leaders */
    constructor(group: DatabaseGroup, source: GroupViewSource, leaderTerm: number) {
        this.groupView = new GroupView(group, source);
        this.leaderTerm = leaderTerm;
        this.orders = new MemberOrders(this.groupView, leaderTerm);
        this.phase = new SteadyPhase(this.groupView, undefined);
    }

    get group(): DatabaseGroup {
        return this.groupView.group;
    }

    set group(group: DatabaseGroup) {
        this.groupView.group = group;
    }

    get isSteady(): boolean {
        return this.phase.name === PhaseName.Steady;
    }

    /** Whether the holders of the members should send frequent heartbeats. */
    needsFrequentHeartbeats(nowMs: number): boolean {
        return !this.isSteady || this.groupView.isPrimarySuspected(nowMs);
    }

    requestChange(): void {
        if (this.phase instanceof SteadyPhase) {
            this.phase.requestChange();
        }
    }

    onLeaseEnded(changeId: string, nowMs: number): readonly Message[] {
        this.phase.onLeaseEnded?.(changeId, nowMs);
        return this.decide(nowMs);
    }

    onProposalEnded(ended: ControlProposalEnded, nowMs: number): readonly Message[] {
        this.phase.onProposalEnded?.(ended);
        return this.decide(nowMs);
    }

    onReport(report: HeldReport, nowMs: number): readonly Message[] {
        this.phase.onReport?.(report);
        return this.decide(nowMs);
    }

    onOrderResult(result: OrderResult, nowMs: number): readonly Message[] {
        this.orders.recordResult(result, nowMs);
        return this.decide(nowMs);
    }

    positionAskFor(databaseId: string): PositionAsk | undefined {
        return this.phase.positionAskFor?.(databaseId);
    }

    orderFor(databaseId: string, nowMs: number): DatabaseOrder | undefined {
        const ordersAllowed = this.isSteady || this.phase.name === PhaseName.Promoting;
        return ordersAllowed ? this.orders.orderFor(databaseId, nowMs) : undefined;
    }

    decide(nowMs: number): readonly Message[] {
        const messages: Message[] = [];
        // Three steps suffice: every phase except the first two needs an event or some time before it ends.
        for (let step = 0; step < 3; step++) {
            const decision = this.phase.decide(nowMs);
            messages.push(...decision.messages);
            if (decision.transition === undefined) {
                break;
            }
            this.phase = this.createPhase(decision.transition, nowMs);
            messages.push(...this.phase.enter?.(nowMs) ?? []);
        }
        return messages;
    }

    private createPhase(transition: Transition, nowMs: number): Phase {
        return match(transition)
            .with({ to: PhaseName.Steady }, () => new SteadyPhase(this.groupView, this.lastChangeAtMs))
            .with({ to: PhaseName.Preparing }, () => new PreparingPhase(this.groupView, nowMs))
            .with({ to: PhaseName.EndingLease }, ({ planned }) => {
                this.changeNumber++;
                return new EndingLeasePhase(this.groupView, this.changeId, planned);
            })
            .with({ to: PhaseName.ReadingPositions }, ({ planned }) => {
                return new ReadingPositionsPhase(this.groupView, this.changeId, planned, nowMs);
            })
            .with({ to: PhaseName.Proposing }, ({ newPrimaryId }) => {
                return new ProposingPhase(this.groupView, this.changeId, newPrimaryId);
            })
            .with({ to: PhaseName.Promoting }, ({ formerPrimaryId }) => {
                this.lastChangeAtMs = nowMs;
                return new PromotingPhase(this.groupView, this.orders, formerPrimaryId);
            })
            .exhaustive();
    }

    private get changeId(): string {
        return `change/${this.leaderTerm}/${this.groupView.group.groupId}/${this.changeNumber}`;
    }
}
