/**
 * Changes the primary of one service. Before a database is promoted, it must be impossible that a commit which the
 * database lacks is acknowledged: either the primary has stepped down and the chosen replica has caught up with it, or
 * every replica that could confirm a commit has stopped receiving and the one with the highest position is chosen.
 */
import {
    CommandKind,
    ControlKind,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import { type CommitsSeenFrame, type FleetFrame, ReportedState } from "../model/fleetMessages.ts";
import type { LinkLost, LinkOpened, LinkReplied } from "../model/linkMessages.ts";
import type { PromotionRecord } from "../model/promotion.ts";
import { OrderResult, PromotionKind, type PromotionOrder, type PromotionOrdered } from "../model/promotionMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { Assessment } from "./assessment.ts";
import { Fencing } from "./fencing.ts";
import type { FleetView } from "./promotions.ts";

type AssessmentFrame = Extract<FleetFrame, { readonly kind: "assessment"; }>;

const Phase = {
    Steady: "steady",
    Assessing: "assessing",
    Reserving: "reserving",
    Fencing: "fencing",
    Ordering: "ordering",
    Completing: "completing",
    /** The new primary takes over and is not suspected yet. */
    Settling: "settling",
} as const;
type Phase = typeof Phase[keyof typeof Phase];

/** Number of missed report intervals after which a primary is suspected even if no instance reports a failure. */
const missedReportLimit = 2.3;

/** Time that a new primary has to take over before it may be suspected; longer than a promotion takes. */
const settleTimeMs = 1_800;

/** Time after which an unanswered order is repeated with a higher fence. */
const orderTimeoutMs = 1_200;

/** Time that databases have to report to a new leader before a primary without reports counts as lost. */
const newLeaderGraceMs = 3_000;

export interface ServicePromotionOptions {
    readonly service: string;
    readonly fleet: FleetView;
    synchronousReplicas(): number;
}

export class ServicePromotion {
    private readonly options: ServicePromotionOptions;
    private phase: Phase = Phase.Steady;
    private phaseSinceMs = 0;
    private assessment: Assessment | undefined;
    private fencing: Fencing | undefined;
    private fence = 0;
    private chosenDatabaseId = "";
    /** The primary shuts down by itself and is reachable. */
    private planned = false;
    private proposalId = "";
    private nextProposal = 0;
    private lastAssessedAtMs = -Infinity;

    constructor(options: ServicePromotionOptions) {
        this.options = options;
    }

    /** Whether a change of primary or an assessment is in progress. */
    get isActive(): boolean {
        return this.phase !== Phase.Steady;
    }

    ownsProposal(proposalId: string): boolean {
        return proposalId !== "" && proposalId === this.proposalId;
    }

    /** Closes all links when this member stops being the leader. */
    dispose(): readonly Message[] {
        const messages = [...this.assessment?.close() ?? [], ...this.fencing?.close() ?? []];
        this.assessment = undefined;
        this.fencing = undefined;
        this.phase = Phase.Steady;
        return messages;
    }

    tick(record: PromotionRecord | undefined, nowMs: number): readonly Message[] {
        switch (this.phase) {
            case Phase.Steady:
                return this.checkPrimary(record, nowMs);
            case Phase.Assessing:
                return this.concludeAssessment(record, nowMs);
            case Phase.Fencing:
                return this.continueFencing(nowMs);
            case Phase.Ordering:
                return nowMs - this.phaseSinceMs < orderTimeoutMs ? [] : this.reserve(this.fence, nowMs);
            case Phase.Settling:
                return nowMs - this.phaseSinceMs < settleTimeMs ? [] : this.enter(Phase.Steady, nowMs);
            default:
                return [];
        }
    }

    /** An instance reported that a database does not answer. */
    suspect(databaseId: string, record: PromotionRecord | undefined, nowMs: number): readonly Message[] {
        return this.phase === Phase.Steady && databaseId === this.primary(record) && this.mayAssess(nowMs)
            ? this.assess(databaseId, nowMs)
            : [];
    }

    assessmentReceived(attachmentId: string, frame: AssessmentFrame): readonly Message[] {
        this.assessment?.recordAnswer(attachmentId, frame);
        return [];
    }

    /** An instance reported the commits that it has seen acknowledged. */
    commitsSeenReceived(attachmentId: string, frame: CommitsSeenFrame, nowMs: number): readonly Message[] {
        this.fencing?.recordCommitsSeen(attachmentId, frame, nowMs);
        return this.phase === Phase.Fencing ? this.continueFencing(nowMs) : [];
    }

    linkOpened(message: LinkOpened, nowMs: number): readonly Message[] {
        return [...this.assessment?.linkOpened(message) ?? [], ...this.fencing?.linkOpened(message, nowMs) ?? []];
    }

    linkReplied(message: LinkReplied, nowMs: number): readonly Message[] {
        const sent = [
            ...this.assessment?.linkReplied(message) ?? [],
            ...this.fencing?.linkReplied(message, nowMs) ?? [],
        ];
        return [...sent, ...this.phase === Phase.Fencing ? this.continueFencing(nowMs) : []];
    }

    linkLost(message: LinkLost, nowMs: number): readonly Message[] {
        this.assessment?.linkLost(message);
        const sent = this.fencing?.linkLost(message, nowMs) ?? [];
        return [...sent, ...this.phase === Phase.Fencing ? this.continueFencing(nowMs) : []];
    }

    proposalEnded({ status, version }: ControlProposalEnded, nowMs: number): readonly Message[] {
        this.proposalId = "";
        if (this.phase === Phase.Completing) {
            return this.enter(Phase.Settling, nowMs);
        }
        if (this.phase !== Phase.Reserving) {
            return [];
        }
        if (status === ProposalStatus.Conflict) {
            return this.reserve(version, nowMs);
        }
        if (status !== ProposalStatus.Applied) {
            return this.enter(Phase.Steady, nowMs);
        }
        this.fence = version;
        return this.startFencing(nowMs);
    }

    promotionOrdered({ fence, result, databaseId }: PromotionOrdered, nowMs: number): readonly Message[] {
        if (this.phase !== Phase.Ordering || fence !== this.fence) {
            return [];
        }
        return result === OrderResult.Accepted ? this.complete(databaseId, nowMs) : this.reserve(this.fence, nowMs);
    }

    private checkPrimary(record: PromotionRecord | undefined, nowMs: number): readonly Message[] {
        const { fleet } = this.options;
        if (record?.open === true) {
            // A previous leader may have stopped replicas or sent an order.
            return this.reserve(record.fence, nowMs);
        }
        const primaryId = this.primary(record);
        const primary = primaryId === undefined ? undefined : fleet.databases.get(primaryId);
        if (primary === undefined) {
            return nowMs - fleet.leadingSinceMs < newLeaderGraceMs || this.otherDatabases(undefined).length === 0
                ? []
                : this.reserve(record?.fence ?? 0, nowMs);
        }
        if (primary.report.state === ReportedState.Draining) {
            const successors = this.otherDatabases(primaryId).filter(id => this.isReady(id));
            this.planned = true;
            return successors.length === 0 ? [] : this.reserve(record?.fence ?? 0, nowMs);
        }
        const isSilent = nowMs - primary.lastReportAtMs > missedReportLimit * fleet.reportIntervalMs
            && nowMs - fleet.leadingSinceMs > newLeaderGraceMs;
        return isSilent && this.mayAssess(nowMs) ? this.assess(primaryId!, nowMs) : [];
    }

    /**
     * The database that claims to be the primary; of several, the last promoted one, or else the one that reported
     * last.
     */
    private primary(record: PromotionRecord | undefined): string | undefined {
        const claimants = [...this.options.fleet.databases.values()].filter(({ report }) =>
            report.service === this.options.service && report.leads
        );
        const named = claimants.find(({ report }) => report.databaseId === record?.databaseId);
        const newest = claimants.sort((left, right) => right.lastReportAtMs - left.lastReportAtMs)[0];
        const known = record !== undefined && this.options.fleet.databases.has(record.databaseId);
        return (named ?? newest)?.report.databaseId ?? (known ? record.databaseId : undefined);
    }

    private mayAssess(nowMs: number): boolean {
        return nowMs - this.lastAssessedAtMs >= Assessment.intervalMs;
    }

    private assess(databaseId: string, nowMs: number): readonly Message[] {
        const { fleet } = this.options;
        this.lastAssessedAtMs = nowMs;
        this.planned = false;
        this.assessment = new Assessment(fleet.databases.get(databaseId)!.report, fleet.nextLinkId());
        return [...this.enter(Phase.Assessing, nowMs), ...this.assessment.open([...fleet.servingByAttachment.keys()])];
    }

    private concludeAssessment(record: PromotionRecord | undefined, nowMs: number): readonly Message[] {
        const shouldReplace = this.assessment!.shouldReplace(nowMs - this.phaseSinceMs);
        if (shouldReplace === undefined) {
            return [];
        }
        const closed = this.assessment!.close();
        this.assessment = undefined;
        return shouldReplace
            ? [...closed, ...this.reserve(record?.fence ?? 0, nowMs)]
            : [...closed, ...this.enter(Phase.Steady, nowMs)];
    }

    private reserve(expectedFence: number, nowMs: number): readonly Message[] {
        const closed = this.fencing?.close() ?? [];
        this.fencing = undefined;
        const command = { kind: CommandKind.ReservePromotion, service: this.options.service, expectedFence };
        return [...closed, ...this.enter(Phase.Reserving, nowMs), this.propose(command)];
    }

    private startFencing(nowMs: number): readonly Message[] {
        const { fleet, service, synchronousReplicas } = this.options;
        const primaryId = this.primary(undefined);
        const reports = [...fleet.databases.values()].map(({ report }) => report)
            .filter(report => report.service === service);
        this.fencing = new Fencing({
            service,
            fence: this.fence,
            reports,
            primaryId,
            planned: this.planned,
            synchronous: synchronousReplicas() > 0,
            servingByAttachment: fleet.servingByAttachment,
            nextLinkId: () => fleet.nextLinkId(),
            startedAtMs: nowMs,
        });
        this.planned = false;
        return [...this.enter(Phase.Fencing, nowMs), ...this.fencing.open()];
    }

    private continueFencing(nowMs: number): readonly Message[] {
        const { messages, chosenDatabaseId, alreadyLeads } = this.fencing!.decide(nowMs);
        if (chosenDatabaseId === undefined) {
            return messages;
        }
        this.chosenDatabaseId = chosenDatabaseId;
        if (alreadyLeads) {
            return [...messages, ...this.complete(chosenDatabaseId, nowMs)];
        }
        const order: PromotionOrder = {
            kind: PromotionKind.Order,
            service: this.options.service,
            databaseId: chosenDatabaseId,
            fence: this.fence,
        };
        return [...messages, ...this.enter(Phase.Ordering, nowMs), order];
    }

    private complete(databaseId: string, nowMs: number): readonly Message[] {
        const released = this.fencing?.resumeAndClose() ?? [];
        this.fencing = undefined;
        const { service } = this.options;
        const command = { kind: CommandKind.CompletePromotion, service, fence: this.fence, databaseId };
        return [...released, ...this.enter(Phase.Completing, nowMs), this.propose(command)];
    }

    private propose(command: ControlPropose["command"]): ControlPropose {
        this.proposalId = `promotion/${this.options.service}/${this.nextProposal++}`;
        return { kind: ControlKind.Propose, proposalId: this.proposalId, operationId: "", command };
    }

    private enter(phase: Phase, nowMs: number): readonly Message[] {
        this.phase = phase;
        this.phaseSinceMs = nowMs;
        return [];
    }

    private otherDatabases(primaryId: string | undefined): readonly string[] {
        return [...this.options.fleet.databases.values()]
            .filter(({ report }) => report.service === this.options.service && report.databaseId !== primaryId)
            .map(({ report }) => report.databaseId);
    }

    private isReady(databaseId: string): boolean {
        return this.options.fleet.databases.get(databaseId)?.report.state === ReportedState.Ready;
    }
}
