/** Tells the decisions of a promotion, with what they were based on. Takes no part in them. */
import {
    type DatabaseEvidence,
    DatabaseEvidenceState,
    DecisionStage,
    type DroppedDatabase,
    DropReason,
    type InstanceEvidence,
    type LeaseEvidence,
    type PromotionDecided,
    PromotionRule,
} from "../model/promotionDecision.ts";
import { PromotionKind } from "../model/promotionMessages.ts";
import type { ClosingAnswer } from "./closedInstances.ts";
import type { WitnessLease } from "./commitWitnesses.ts";
import type { ElectorateMember } from "./electorate.ts";
import type { FencedDatabase } from "./fencedDatabase.ts";
import type { ServiceDatabases, ServicePromotionOptions } from "./serviceDatabases.ts";

/** What the fencing knows at the time of a decision. */
export interface FencingEvidence {
    readonly databases: ReadonlyMap<string, FencedDatabase>;
    /** Attachments that were asked to acknowledge no further commits. */
    readonly askedAttachments: readonly string[];
    /** Their answers, by attachment id. */
    readonly answers: ReadonlyMap<string, ClosingAnswer>;
    readonly openLeases: readonly WitnessLease[];
}

/** What a decision was based on. */
type DecisionBasis = Pick<PromotionDecided, "databases" | "instances" | "leases">;

const noFencing: FencingEvidence = { databases: new Map(), askedAttachments: [], answers: new Map(), openLeases: [] };

export class PromotionDecisions {
    private readonly options: ServicePromotionOptions;
    private readonly databases: ServiceDatabases;
    /** A promotion was begun, and is neither completed nor given up. */
    private open = false;
    private fence = 0;
    private formerPrimaryId: string | undefined;
    private chosenDatabaseId = "";
    private rule: PromotionRule | undefined;
    /** Basis of a promotion that was given up; its substitute is chosen by that. */
    private abandonedBasis: DecisionBasis | undefined;

    constructor(options: ServicePromotionOptions, databases: ServiceDatabases) {
        this.options = options;
        this.databases = databases;
    }

    begin(fence: number, formerPrimaryId: string | undefined, nowMs: number): PromotionDecided {
        this.open = true;
        this.fence = fence;
        this.formerPrimaryId = formerPrimaryId;
        this.chosenDatabaseId = "";
        this.rule = undefined;
        return this.message(DecisionStage.Begun, this.basis(noFencing, nowMs));
    }

    choose(databaseId: string, rule: PromotionRule, fencing: FencingEvidence, nowMs: number): PromotionDecided {
        this.chosenDatabaseId = databaseId;
        this.rule = rule;
        const known = rule === PromotionRule.Substitute ? this.abandonedBasis : undefined;
        return this.message(DecisionStage.Chosen, known ?? this.basis(fencing, nowMs));
    }

    /** An order for the present primary, for which no promotion was begun. */
    invalidateOrders(fence: number, databaseId: string, nowMs: number): PromotionDecided {
        this.fence = fence;
        this.formerPrimaryId = databaseId;
        return this.choose(databaseId, PromotionRule.OrderInvalidation, noFencing, nowMs);
    }

    complete(databaseId: string, fencing: FencingEvidence, nowMs: number): PromotionDecided {
        this.open = false;
        this.chosenDatabaseId = databaseId;
        return this.message(DecisionStage.Completed, this.basis(fencing, nowMs));
    }

    /** To be called whenever a fencing ends; tells nothing if the promotion is complete. */
    giveUp(fencing: FencingEvidence, nowMs: number): readonly PromotionDecided[] {
        if (!this.open) {
            return [];
        }
        this.open = false;
        this.abandonedBasis = this.basis(fencing, nowMs);
        return [this.message(DecisionStage.GivenUp, this.abandonedBasis)];
    }

    private message(stage: DecisionStage, basis: DecisionBasis): PromotionDecided {
        const { fence, chosenDatabaseId, rule, formerPrimaryId } = this;
        return {
            kind: PromotionKind.Decided,
            service: this.options.service,
            fence,
            stage,
            databaseId: chosenDatabaseId,
            rule,
            formerPrimaryId,
            ...basis,
            dropped: this.dropped(),
        };
    }

    private basis(fencing: FencingEvidence, nowMs: number): DecisionBasis {
        return {
            databases: this.databases.members().map(member => this.describe(member, fencing, nowMs)),
            instances: fencing.askedAttachments.map(attachmentId =>
                this.describeInstance(attachmentId, fencing, nowMs)
            ),
            leases: fencing.openLeases.map(lease => this.describeLease(lease, nowMs)),
        };
    }

    private describe(member: ElectorateMember, { databases }: FencingEvidence, nowMs: number): DatabaseEvidence {
        const { databaseId, bornUnixMs, isLost } = member;
        // The fencing knows the present process under the id, not a lost one.
        const fenced = isLost ? undefined : databases.get(databaseId);
        const candidate = isLost ? undefined : this.options.fleet.databases.get(databaseId);
        return {
            databaseId,
            state: isLost ? DatabaseEvidenceState.Lost : stateOf(fenced),
            hasLostLog: fenced?.hasLostLog === true,
            receivedPosition: fenced?.receivedPosition,
            bornUnixMs,
            stopProofAgeMs: fenced === undefined || fenced.provedStoppedMs === -Infinity
                ? undefined
                : nowMs - fenced.provedStoppedMs,
            reportAgeMs: candidate === undefined ? undefined : nowMs - candidate.lastReportAtMs,
            reportsLead: candidate?.report.leads,
        };
    }

    private describeInstance(attachmentId: string, { answers }: FencingEvidence, nowMs: number): InstanceEvidence {
        const answer = answers.get(attachmentId);
        return {
            instanceId: this.instanceIdOf(attachmentId) ?? attachmentId,
            answerAgeMs: answer === undefined ? undefined : nowMs - answer.arrivedMs,
            logEnd: answer?.logEnd,
            reached: answer?.reached,
        };
    }

    private describeLease({ attachmentId, untilMs }: WitnessLease, nowMs: number): LeaseEvidence {
        const instanceId = attachmentId === undefined ? undefined : this.instanceIdOf(attachmentId);
        return { instanceId, leftMs: untilMs - nowMs };
    }

    private instanceIdOf(attachmentId: string): string | undefined {
        return this.options.fleet.witnesses.serving.get(attachmentId)?.instanceId;
    }

    private dropped(): readonly DroppedDatabase[] {
        const { record, fleet } = this.options;
        return record().databases.filter(({ databaseId, isLost }) => isLost || fleet.departedDatabases.has(databaseId))
            .map(({ databaseId, bornUnixMs, isLost }) => ({
                databaseId,
                reason: isLost ? DropReason.Lost : DropReason.Departed,
                bornUnixMs,
            }));
    }
}

function stateOf(database: FencedDatabase | undefined): DatabaseEvidenceState {
    if (database === undefined) {
        return DatabaseEvidenceState.NotAsked;
    }
    if (database.stopped) {
        return DatabaseEvidenceState.Stopped;
    }
    return database.hasNoListener ? DatabaseEvidenceState.NoListener : DatabaseEvidenceState.Awaited;
}
