/** The state machine of one group: goes from phase to phase of a change of primary. */
import { match } from "ts-pattern";
import type { ControlProposalEnded } from "../model/controlMessages.ts";
import type { DatabaseGroup } from "../model/database.ts";
import type { DatabaseOrder, HeldReport, OrderResult, PositionAsk } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { type Phase, PhaseName, type Transition } from "./changePhase.ts";
import { EndingLeasePhase } from "./endingLeasePhase.ts";
import { GroupFacts, type GroupSources } from "./groupFacts.ts";
import { MemberOrders } from "./memberOrders.ts";
import { PreparingPhase } from "./preparingPhase.ts";
import { PromotingPhase } from "./promotingPhase.ts";
import { ProposingPhase } from "./proposingPhase.ts";
import { ReadingPositionsPhase } from "./readingPositionsPhase.ts";
import { SteadyPhase } from "./steadyPhase.ts";

export class GroupChange {
    private readonly facts: GroupFacts;
    private readonly officeTerm: number;
    private readonly orders: MemberOrders;
    private phase: Phase;
    private lastChangeMs: number | undefined;
    private nextChange = 1;

    /** @param officeTerm term of the leader; keeps the ids of two leaders apart */
    constructor(group: DatabaseGroup, sources: GroupSources, officeTerm: number) {
        this.facts = new GroupFacts(group, sources);
        this.officeTerm = officeTerm;
        this.orders = new MemberOrders(this.facts, officeTerm);
        this.phase = new SteadyPhase(this.facts, undefined);
    }

    get group(): DatabaseGroup {
        return this.facts.group;
    }

    set group(group: DatabaseGroup) {
        this.facts.group = group;
    }

    get isSteady(): boolean {
        return this.phase.name === PhaseName.Steady;
    }

    /** The holders of the members should send quick heartbeats. */
    isUrgent(nowMs: number): boolean {
        return !this.isSteady || this.facts.isSuspected(nowMs);
    }

    wantChange(): void {
        if (this.phase instanceof SteadyPhase) {
            this.phase.wantChange();
        }
    }

    leaseEnded(changeId: string, nowMs: number): readonly Message[] {
        this.phase.leaseEnded?.(changeId, nowMs);
        return this.decide(nowMs);
    }

    proposalEnded(ended: ControlProposalEnded, nowMs: number): readonly Message[] {
        this.phase.proposalEnded?.(ended);
        return this.decide(nowMs);
    }

    reported(report: HeldReport, nowMs: number): readonly Message[] {
        this.phase.reported?.(report);
        return this.decide(nowMs);
    }

    orderDone(result: OrderResult, nowMs: number): readonly Message[] {
        this.orders.take(result, nowMs);
        return this.decide(nowMs);
    }

    askFor(databaseId: string): PositionAsk | undefined {
        return this.phase.askFor?.(databaseId);
    }

    orderFor(databaseId: string, nowMs: number): DatabaseOrder | undefined {
        const inOrder = this.isSteady || this.phase.name === PhaseName.Promoting;
        return inOrder ? this.orders.orderFor(databaseId, nowMs) : undefined;
    }

    decide(nowMs: number): readonly Message[] {
        const messages: Message[] = [];
        // Bounded: each phase takes at least one event or some time before it ends, except the first two.
        for (let step = 0; step < 3; step++) {
            const decision = this.phase.decide(nowMs);
            messages.push(...decision.messages);
            if (decision.transition === undefined) {
                break;
            }
            this.phase = this.enter(decision.transition, nowMs);
            messages.push(...this.phase.enter?.(nowMs) ?? []);
        }
        return messages;
    }

    private enter(transition: Transition, nowMs: number): Phase {
        return match(transition)
            .with({ to: PhaseName.Steady }, () => new SteadyPhase(this.facts, this.lastChangeMs))
            .with({ to: PhaseName.Preparing }, () => new PreparingPhase(this.facts, nowMs))
            .with({ to: PhaseName.EndingLease }, ({ planned }) => {
                this.nextChange++;
                return new EndingLeasePhase(this.facts, this.changeId, planned);
            })
            .with({ to: PhaseName.ReadingPositions }, ({ planned }) => {
                return new ReadingPositionsPhase(this.facts, this.changeId, planned, nowMs);
            })
            .with({ to: PhaseName.Proposing }, ({ targetId }) => {
                return new ProposingPhase(this.facts, this.changeId, targetId);
            })
            .with({ to: PhaseName.Promoting }, ({ replacedId }) => {
                this.lastChangeMs = nowMs;
                return new PromotingPhase(this.facts, this.orders, replacedId);
            })
            .exhaustive();
    }

    private get changeId(): string {
        return `change/${this.officeTerm}/${this.facts.group.groupId}/${this.nextChange}`;
    }
}
