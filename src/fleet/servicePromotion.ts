/**
 * Changes the primary of one service. Before a database is promoted, it must be impossible that a commit which the
 * database lacks is acknowledged: either the primary has stepped down and the chosen replica has caught up with it, or
 * every replica that could confirm a commit has stopped receiving and the one with the highest position is chosen. The
 * databases stay stopped until one of them is seen to lead, because an order without an answer may still be executed.
 */
import {
    CommandKind,
    ControlKind,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import { type CommitsSeenFrame, type DatabaseReport, type FleetFrame, ReportedState } from "../model/fleetMessages.ts";
import type { LinkLost, LinkOpened, LinkReplied } from "../model/linkMessages.ts";
import type { Position } from "../model/position.ts";
import type { RecordedDatabase } from "../model/promotion.ts";
import { type PromotionDecided, PromotionRule } from "../model/promotionDecision.ts";
import {
    OrderResult,
    PromotionKind,
    type PromotionOrder,
    type PromotionOrdered,
    type PromotionProgressed,
    PromotionWait,
} from "../model/promotionMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { Assessment } from "./assessment.ts";
import { CatchUpCheck } from "./catchUpCheck.ts";
import type { DatabaseCheck } from "./databaseCheck.ts";
import type { FencedDatabaseOptions } from "./fencedDatabase.ts";
import { Fencing } from "./fencing.ts";
import { HeldReplicas } from "./heldReplicas.ts";
import { LeadCheck } from "./leadCheck.ts";
import { PromotionDecisions } from "./promotionDecision.ts";
import { ServiceDatabases, type ServicePromotionOptions } from "./serviceDatabases.ts";

type AssessmentFrame = Extract<FleetFrame, { readonly kind: "assessment"; }>;

const Phase = {
    Steady: "steady",
    Assessing: "assessing",
    Reserving: "reserving",
    Fencing: "fencing",
    /** The order is being recorded, so that a new leader knows of it. */
    Recording: "recording",
    /** The order is recorded, and sent once no instance acknowledges commits of another database any more. */
    Closing: "closing",
    /** The present primary is asked whether it leads, before it is ordered to make earlier orders void. */
    Proving: "proving",
    /** The order was sent, and no database has been seen to lead since. */
    Ordering: "ordering",
    Completing: "completing",
    /** The new primary takes over and is not suspected yet. */
    Settling: "settling",
} as const;
type Phase = typeof Phase[keyof typeof Phase];

/** Time that a new primary has to take over before it may be suspected. */
const settleTimeMs = 1_200;

/** Time after which an order is repeated to which the platform gave no answer. */
const orderRetryMs = 1_200;

/**
 * Interval of attempts to get an answer from the platform while it may still execute an earlier order for the present
 * primary. Between them, the primary can be suspected.
 */
const invalidationIntervalMs = 1_000;

/**
 * Interval at which an order is repeated until the first answer while an earlier one for another database may still be
 * executed: only a call that the platform has taken up makes it refuse the earlier one, and any call may be late.
 */
const supersedingOrderRetryMs = 100;

/** Number of calls at that interval. A platform that has not answered them is silent, and each call has a price. */
const maximumSupersedingOrders = 20;

/** Number of orders in a row that the platform may refuse before further ones are spaced by `orderRetryMs`. */
const maximumPromptRefusals = 3;

/** Time after which an accepted order is repeated if the database does not lead yet; longer than a promotion takes. */
const takeOverLimitMs = 3_000;

/** Time after which a command to the replicated state is proposed again. */
const proposalTimeoutMs = 5_000;

/** Time that databases have to report to a new leader before a primary without reports counts as lost. */
const newLeaderGraceMs = 3_000;

/**
 * Changes in a row that may leave the primary in an evacuated data centre before further ones are spaced. The first one fails
 * if the primary has a commit that no replica received before it stepped down; instances send it no more work soon.
 */
const maximumPromptEvacuations = 3;

/** Interval of further changes. */
const evacuationRetryMs = 5_000;

/** Interval of log lines while a promotion waits. */
const progressIntervalMs = 1_000;

export class ServicePromotion {
    private readonly options: ServicePromotionOptions;
    private readonly databases: ServiceDatabases;
    private readonly decisions: PromotionDecisions;
    private phase: Phase = Phase.Steady;
    private phaseSinceMs = 0;
    private assessment: Assessment | undefined;
    private fencing: Fencing | undefined;
    private catchUpCheck: CatchUpCheck | undefined;
    private heldReplicas: HeldReplicas;
    /** Asks the present primary whether it leads, before the order that makes earlier ones void. */
    private leadCheck: LeadCheck | undefined;
    /** The databases that the check is about. */
    private checkedDatabases: readonly RecordedDatabase[] = [];
    private replaceable: readonly RecordedDatabase[] = [];
    private fence = 0;
    private chosenDatabaseId = "";
    /** Primary at the start of the fencing. */
    private replacedDatabaseId: string | undefined;
    /** The same, also if an earlier order names it. */
    private formerPrimaryId: string | undefined;
    /** Position of the chosen database; the log up to it is what the promotion keeps. */
    private chosenPosition: Position | undefined;
    private orderDueMs = 0;
    /** Addresses of the databases ordered since the last completed promotion; undefined if an earlier leader ordered some. */
    private orderedAddresses: readonly string[] | undefined;
    /** An earlier order for another database may be executed until the platform has seen the current fence. */
    private supersedes = false;
    /** Calls to the platform with the current fence, and those of them that were answered. */
    private sentOrders = 0;
    private answeredOrders = 0;
    /** Orders that were refused in a row. */
    private refusedOrders = 0;
    private lastOrderAtMs = -Infinity;
    /**
     * The ordered database has lost its log: an order for another one whose log is complete makes the platform refuse the
     * earlier one. Undefined if there is nothing to revoke, or no such database.
     */
    private substituteId: string | undefined;
    /**
     * The order under way is for the present primary. It changes nothing there, and once it is answered the platform
     * refuses all earlier ones, which could make the primary lead again after it has lost its log.
     */
    private invalidatesOrders = false;
    private lastInvalidationAtMs = -Infinity;
    /** The primary shuts down by itself and is reachable. */
    private planned = false;
    private proposalId = "";
    private proposedCommand: ControlPropose["command"] | undefined;
    private nextProposal = 0;
    private lastAssessedAtMs = -Infinity;
    private lastEvacuatedAtMs = -Infinity;
    /** Changes that were begun because the primary is in an evacuated data centre, since it was elsewhere. */
    private evacuationAttempts = 0;
    private lastProgressAtMs = -Infinity;
    private lastWait: PromotionWait | undefined;

    constructor(options: ServicePromotionOptions) {
        this.options = options;
        this.databases = new ServiceDatabases(options);
        this.heldReplicas = new HeldReplicas(this.linkOptions());
        this.decisions = new PromotionDecisions(options, this.databases);
    }

    /** Whether a change of primary or an assessment is in progress. */
    get isActive(): boolean {
        return this.phase !== Phase.Steady;
    }

    /** Recorded databases that are gone, and whose commits a replica has received. */
    get replaceableDatabases(): readonly RecordedDatabase[] {
        return this.replaceable;
    }

    ownsProposal(proposalId: string): boolean {
        return proposalId !== "" && proposalId === this.proposalId;
    }

    /** Closes all links when this member stops being the leader. */
    dispose(nowMs: number): readonly Message[] {
        const messages = [
            ...this.assessment?.close() ?? [],
            ...this.closeFencing(nowMs),
            ...this.closeCatchUpCheck(),
            ...this.closeLeadCheck(),
            ...this.heldReplicas.close(),
        ];
        this.assessment = undefined;
        this.invalidatesOrders = false;
        this.phase = Phase.Steady;
        return messages;
    }

    tick(nowMs: number): readonly Message[] {
        const elapsedMs = nowMs - this.phaseSinceMs;
        switch (this.phase) {
            case Phase.Steady: {
                const checked = this.checkPrimary(nowMs);
                return [
                    ...checked,
                    ...this.checkCatchUp(nowMs),
                    ...this.releaseReplicas(nowMs),
                    ...this.invalidateOrders(nowMs),
                ];
            }
            case Phase.Assessing:
                return this.concludeAssessment(nowMs);
            case Phase.Fencing:
                return this.continueFencing(nowMs);
            case Phase.Closing:
                return this.continueClosing(nowMs);
            case Phase.Proving:
                return this.continueProving(nowMs);
            case Phase.Ordering:
                return this.continueOrdering(nowMs);
            case Phase.Settling:
                return elapsedMs < settleTimeMs
                    ? this.fencing?.keepReleasing(nowMs) ?? []
                    : [...this.closeFencing(nowMs), ...this.enter(Phase.Steady, nowMs)];
            default:
                return this.continueProposing(nowMs);
        }
    }

    /** An instance reported that a database does not answer. */
    suspect(databaseId: string, nowMs: number): readonly Message[] {
        return this.phase === Phase.Steady && databaseId === this.databases.primary()
            ? this.assessAgain(this.options.fleet.databases.get(databaseId)!.report, nowMs)
            : [];
    }

    assessmentReceived(attachmentId: string, frame: AssessmentFrame): readonly Message[] {
        this.assessment?.recordAnswer(attachmentId, frame);
        return [];
    }

    /** An instance reported the commits that it has seen acknowledged. */
    commitsSeenReceived(attachmentId: string, frame: CommitsSeenFrame, nowMs: number): readonly Message[] {
        this.fencing?.recordCommitsSeen(attachmentId, frame, nowMs);
        return this.afterLinkEvent(nowMs);
    }

    linkOpened(message: LinkOpened, nowMs: number): readonly Message[] {
        return [
            ...this.assessment?.linkOpened(message) ?? [],
            ...this.fencing?.linkOpened(message, nowMs) ?? [],
            ...this.checks().flatMap(check => check.linkOpened(message, nowMs)),
        ];
    }

    linkReplied(message: LinkReplied, nowMs: number): readonly Message[] {
        const sent = [
            ...this.assessment?.linkReplied(message) ?? [],
            ...this.fencing?.linkReplied(message, nowMs) ?? [],
        ];
        const asked = this.checks().flatMap(check => check.linkReplied(message, nowMs));
        return [...sent, ...asked, ...this.afterLinkEvent(nowMs)];
    }

    linkLost(message: LinkLost, nowMs: number): readonly Message[] {
        this.checks().forEach(check => check.linkLost(message, nowMs));
        this.assessment?.linkLost(message);
        return [...this.fencing?.linkLost(message, nowMs) ?? [], ...this.afterLinkEvent(nowMs)];
    }

    proposalEnded({ status, version }: ControlProposalEnded, nowMs: number): readonly Message[] {
        this.proposalId = "";
        if (this.phase === Phase.Completing) {
            return this.invalidatesOrders ? this.endInvalidation(nowMs) : this.enter(Phase.Settling, nowMs);
        }
        if (status === ProposalStatus.Conflict && !this.invalidatesOrders) {
            return this.reserve(version, nowMs);
        }
        if (status !== ProposalStatus.Applied) {
            this.substituteId = undefined;
            this.invalidatesOrders = false;
            return [...this.closeFencing(nowMs), ...this.enter(Phase.Steady, nowMs)];
        }
        if (this.phase === Phase.Recording) {
            return this.substituteId === undefined
                ? [...this.enter(Phase.Closing, nowMs), ...this.continueClosing(nowMs)]
                : [...this.enter(Phase.Ordering, nowMs), ...this.order(nowMs)];
        }
        this.fence = version;
        if (this.invalidatesOrders) {
            return this.provePrimary(nowMs);
        }
        const { substituteId } = this;
        const begun = this.startFencing(nowMs);
        return substituteId === undefined
            ? begun
            : [
                ...begun,
                this.tellChoice(substituteId, PromotionRule.Substitute, nowMs),
                ...this.recordOrder(substituteId, nowMs),
            ];
    }

    promotionOrdered({ fence, result }: PromotionOrdered, nowMs: number): readonly Message[] {
        if (this.phase !== Phase.Ordering || fence !== this.fence) {
            return [];
        }
        if (this.invalidatesOrders) {
            return result === OrderResult.Accepted ? this.recordInvalidation(nowMs) : this.endInvalidation(nowMs);
        }
        this.refusedOrders = result === OrderResult.Refused ? this.refusedOrders + 1 : 0;
        const keepsFormer = this.substituteId !== undefined && this.isFormerPrimary(this.substituteId);
        if (result === OrderResult.Refused || result === OrderResult.Accepted && keepsFormer) {
            this.substituteId = undefined;
            return this.reserve(this.fence, nowMs);
        }
        if (result === OrderResult.Accepted) {
            this.answeredOrders++;
            this.orderDueMs = nowMs + takeOverLimitMs;
        }
        return [];
    }

    /** Whether an instance that gets a lease during a promotion acknowledges no commit that the promoted database may lack. */
    mayGrantLease(attachmentId: string): boolean {
        return this.options.synchronousReplicas() === 0 || this.fencing?.mayGrantLease(attachmentId) === true;
    }

    private checkPrimary(nowMs: number): readonly Message[] {
        const { fleet } = this.options;
        const record = this.options.record();
        if (record.open) {
            // A previous leader may have stopped replicas or sent an order.
            return this.reserve(record.fence, nowMs);
        }
        const primaryId = this.databases.primary();
        const primary = primaryId === undefined ? undefined : fleet.databases.get(primaryId);
        if (primary === undefined) {
            if (
                nowMs - fleet.leadingSinceMs < newLeaderGraceMs || this.databases.otherDatabases(undefined).length === 0
            ) {
                return [];
            }
            const remembered = this.databases.rememberedPrimary(nowMs);
            return remembered === undefined ? this.reserve(record.fence, nowMs) : this.assessAgain(remembered, nowMs);
        }
        if (this.databases.hasPrimaryLostLog(primary.report)) {
            return this.reserve(record.fence, nowMs);
        }
        if (primary.report.state === ReportedState.Draining) {
            const successors = this.databases.otherDatabases(primaryId).filter(id => this.databases.isReady(id));
            this.planned = true;
            return successors.length === 0 ? [] : this.reserve(record.fence, nowMs);
        }
        if (this.mustBeEvacuated(primary.report, nowMs)) {
            this.planned = true;
            this.evacuationAttempts++;
            this.lastEvacuatedAtMs = nowMs;
            return this.reserve(record.fence, nowMs);
        }
        const isSilent = this.databases.isSilent(primaryId!, nowMs) && nowMs - fleet.leadingSinceMs > newLeaderGraceMs;
        return isSilent ? this.assessAgain(primary.report, nowMs) : [];
    }

    /** Whether a primary has to leave an evacuated data centre, and a database elsewhere may take its place. */
    private mustBeEvacuated(primary: DatabaseReport, nowMs: number): boolean {
        if (!this.options.fleet.evacuations.isDue(primary, nowMs)) {
            this.evacuationAttempts = 0;
            return false;
        }
        const spacedMs = this.evacuationAttempts < maximumPromptEvacuations ? 0 : evacuationRetryMs;
        return nowMs - this.lastEvacuatedAtMs >= spacedMs
            && this.databases.otherDatabases(primary.databaseId).some(id =>
                this.databases.isReady(id) && !this.databases.isSilent(id, nowMs)
            );
    }

    /** Clears the way for a choice without databases that are gone, as soon as a replica has what they confirmed. */
    private checkCatchUp(nowMs: number): readonly Message[] {
        const { record } = this.options;
        const { open, databases } = record();
        const gone = this.phase !== Phase.Steady || open
            ? []
            : databases.filter(database => this.databases.isGone(database));
        const primaryId = gone.length === 0 ? undefined : this.databases.primary();
        const members = primaryId === undefined ? [] : this.databases.members();
        const primary = members.find(({ databaseId, isLost }) => databaseId === primaryId && !isLost);
        if (primary === undefined) {
            this.replaceable = [];
            return this.closeCatchUpCheck();
        }
        if (this.catchUpCheck?.hasCaughtUp === true) {
            this.replaceable = this.checkedDatabases;
            return this.closeCatchUpCheck();
        }
        const isSame = gone.length === this.checkedDatabases.length
            && gone.every(database => this.checkedDatabases.includes(database));
        if (this.catchUpCheck !== undefined && isSame) {
            return this.catchUpCheck.advance(nowMs);
        }
        const closed = this.closeCatchUpCheck();
        this.checkedDatabases = gone;
        this.catchUpCheck = new CatchUpCheck({
            ...this.linkOptions(),
            primary,
            replicas: members.filter(({ databaseId, isReady }) => isReady && databaseId !== primary.databaseId),
        });
        return [...closed, ...this.catchUpCheck.advance(nowMs)];
    }

    /**
     * An order that the platform has not answered may be executed at any later time. The reservation leaves the promotion
     * closed: a leader that finds it open would replace the primary.
     */
    private invalidateOrders(nowMs: number): readonly Message[] {
        const isDue = this.phase === Phase.Steady && nowMs - this.lastInvalidationAtMs >= invalidationIntervalMs;
        if (!isDue || !this.databases.mayInvalidateOrders()) {
            return [];
        }
        this.invalidatesOrders = true;
        return this.reserve(this.options.record().fence, nowMs);
    }

    /** Sends the order that makes earlier ones void, unless the primary has gone or does not answer that it leads. */
    private provePrimary(nowMs: number): readonly Message[] {
        const { databaseId } = this.options.record();
        const primary = this.databases.members().find(member => member.databaseId === databaseId && !member.isLost);
        if (!this.databases.mayInvalidateOrders() || primary === undefined) {
            return this.endInvalidation(nowMs);
        }
        this.chosenDatabaseId = databaseId;
        this.supersedes = false;
        this.leadCheck = new LeadCheck(primary, this.linkOptions());
        return [...this.enter(Phase.Proving, nowMs), ...this.continueProving(nowMs)];
    }

    private continueProving(nowMs: number): readonly Message[] {
        const { leads } = this.leadCheck!;
        if (leads === true) {
            return [...this.closeLeadCheck(), ...this.orderPrimary(nowMs)];
        }
        const hasWaited = nowMs - this.phaseSinceMs >= invalidationIntervalMs;
        return leads === false || hasWaited || !this.databases.mayInvalidateOrders()
            ? [...this.closeLeadCheck(), ...this.endInvalidation(nowMs)]
            : this.leadCheck!.advance(nowMs);
    }

    private closeLeadCheck(): readonly Message[] {
        const closed = this.leadCheck?.close() ?? [];
        this.leadCheck = undefined;
        return closed;
    }

    private orderPrimary(nowMs: number): readonly Message[] {
        const decided = this.decisions.invalidateOrders(this.fence, this.chosenDatabaseId, nowMs);
        return [decided, ...this.enter(Phase.Ordering, nowMs), ...this.order(nowMs)];
    }

    private endInvalidation(nowMs: number): readonly Message[] {
        this.invalidatesOrders = false;
        this.lastInvalidationAtMs = nowMs;
        return this.enter(Phase.Steady, nowMs);
    }

    /** Records that the platform has taken up the order for the present primary. */
    private recordInvalidation(nowMs: number): readonly Message[] {
        const command = {
            kind: CommandKind.CompletePromotion,
            service: this.options.service,
            fence: this.fence,
            databaseId: this.chosenDatabaseId,
            orderPending: false,
            basePosition: undefined,
            departed: [],
            keepsPrimary: true,
        };
        return [...this.enter(Phase.Completing, nowMs), this.propose(command)];
    }

    private checks(): readonly DatabaseCheck[] {
        return [this.catchUpCheck, this.heldReplicas, this.leadCheck].filter(check => check !== undefined);
    }

    private releaseReplicas(nowMs: number): readonly Message[] {
        const { open, fence } = this.options.record();
        if (this.phase !== Phase.Steady || open || fence === 0) {
            return [];
        }
        const primaryId = this.databases.primary();
        const replicas = this.databases.members().filter(({ databaseId, isLost }) =>
            !isLost && databaseId !== primaryId
        );
        return this.heldReplicas.advance(replicas, nowMs);
    }

    private linkOptions(): FencedDatabaseOptions {
        const { service, fleet } = this.options;
        return { service, nextLinkId: () => fleet.nextLinkId() };
    }

    private closeCatchUpCheck(): readonly Message[] {
        const closed = this.catchUpCheck?.close() ?? [];
        this.catchUpCheck = undefined;
        return closed;
    }

    private assessAgain(report: DatabaseReport, nowMs: number): readonly Message[] {
        return this.mayAssess(nowMs) ? this.assess(report, nowMs) : [];
    }

    private mayAssess(nowMs: number): boolean {
        return nowMs - this.lastAssessedAtMs >= Assessment.intervalMs;
    }

    private assess(report: DatabaseReport, nowMs: number): readonly Message[] {
        const { fleet } = this.options;
        this.lastAssessedAtMs = nowMs;
        this.planned = false;
        this.assessment = new Assessment(report, fleet.nextLinkId());
        return [
            ...this.enter(Phase.Assessing, nowMs),
            ...this.assessment.open([...fleet.witnesses.serving.keys()]),
        ];
    }

    private concludeAssessment(nowMs: number): readonly Message[] {
        const shouldReplace = this.assessment!.shouldReplace(nowMs - this.phaseSinceMs);
        if (shouldReplace === undefined) {
            return [];
        }
        const closed = this.assessment!.close();
        this.assessment = undefined;
        return shouldReplace
            ? [...closed, ...this.reserve(this.options.record().fence, nowMs)]
            : [...closed, ...this.enter(Phase.Steady, nowMs)];
    }

    private reserve(expectedFence: number, nowMs: number): readonly Message[] {
        const { service } = this.options;
        const keepsPrimary = this.invalidatesOrders;
        const command = { kind: CommandKind.ReservePromotion, service, expectedFence, keepsPrimary };
        const messages = [...this.closeFencing(nowMs), ...this.enter(Phase.Reserving, nowMs), this.propose(command)];
        if (!keepsPrimary) {
            this.heldReplicas = new HeldReplicas(this.linkOptions());
        }
        return messages;
    }

    private startFencing(nowMs: number): readonly Message[] {
        const { fleet, service, synchronousReplicas } = this.options;
        const record = this.options.record();
        const { databaseId, orderedDatabaseId, orderPending, basePosition } = record;
        const primaryId = this.databases.primary();
        // A database that leads because an earlier order was executed is not replaced.
        this.replacedDatabaseId = primaryId === orderedDatabaseId ? undefined : primaryId;
        this.formerPrimaryId = primaryId;
        this.orderedAddresses = orderedDatabaseId === "" ? [] : this.orderedAddresses;
        const isOrderedPrimary = orderedDatabaseId === "" || orderedDatabaseId === databaseId;
        this.fencing = new Fencing({
            service,
            fence: this.fence,
            members: () => this.databases.members(),
            primaryId: this.replacedDatabaseId,
            preferredDatabaseId: orderedDatabaseId,
            homeShare: databaseId => this.databases.homeShareOf(databaseId),
            primaryKeepsLead: orderPending && primaryId === databaseId && synchronousReplicas() > 0,
            planned: this.planned,
            synchronousReplicas: synchronousReplicas(),
            primaryLogAddress: record.primaryAddress === "" ? undefined : record.primaryAddress,
            otherLogAddresses: isOrderedPrimary ? [] : this.orderedAddresses,
            basePosition,
            witnesses: fleet.witnesses,
            reportIntervalMs: fleet.reportIntervalMs,
            nextLinkId: () => fleet.nextLinkId(),
            startedAtMs: nowMs,
        });
        this.planned = false;
        this.sentOrders = 0;
        this.answeredOrders = 0;
        const begun = this.decisions.begin(this.fence, this.formerPrimaryId, nowMs);
        return [begun, ...this.enter(Phase.Fencing, nowMs), ...this.fencing.open()];
    }

    /** A link changed, or an instance answered: a decision may be possible before the next tick. */
    private afterLinkEvent(nowMs: number): readonly Message[] {
        switch (this.phase) {
            case Phase.Fencing:
                return this.continueFencing(nowMs);
            case Phase.Closing:
                return this.continueClosing(nowMs);
            case Phase.Proving:
                return this.continueProving(nowMs);
            case Phase.Ordering:
                return this.continueOrdering(nowMs);
            default:
                return [];
        }
    }

    private continueFencing(nowMs: number): readonly Message[] {
        const { messages, chosenDatabaseId, alreadyLeads, wait } = this.fencing!.decide(nowMs);
        if (chosenDatabaseId === undefined) {
            return [...messages, ...this.reportWait(wait, nowMs)];
        }
        this.chosenDatabaseId = chosenDatabaseId;
        const receivedPosition = this.fencing!.receivedPosition(chosenDatabaseId);
        this.chosenPosition = alreadyLeads
            ? this.databases.keptPosition(chosenDatabaseId) ?? receivedPosition
            : receivedPosition;
        const decided = this.tellChoice(chosenDatabaseId, this.fencing!.decidingRule!, nowMs);
        if (alreadyLeads) {
            return [...messages, decided, ...this.complete(chosenDatabaseId, nowMs)];
        }
        return [...messages, decided, ...this.recordOrder(chosenDatabaseId, nowMs)];
    }

    private tellChoice(databaseId: string, rule: PromotionRule, nowMs: number): PromotionDecided {
        return this.decisions.choose(databaseId, rule, this.fencing!.evidence(), nowMs);
    }

    private recordOrder(databaseId: string, nowMs: number): readonly Message[] {
        const { orderedDatabaseId, orderPending, databaseId: recordedId } = this.options.record();
        this.supersedes = orderedDatabaseId !== "" && orderedDatabaseId !== databaseId
            || orderPending && recordedId !== databaseId;
        const ordered = this.databases.members().filter(member => member.databaseId === databaseId && !member.isLost);
        this.orderedAddresses = this.orderedAddresses?.concat(ordered.map(({ address }) => address));
        this.chosenDatabaseId = databaseId;
        const asked = this.fencing?.beginOrder(databaseId, nowMs) ?? [];
        const command = {
            kind: CommandKind.RecordPromotionOrder,
            service: this.options.service,
            fence: this.fence,
            databaseId,
            position: this.substituteId === undefined ? this.chosenPosition : undefined,
        };
        return [...asked, ...this.enter(Phase.Recording, nowMs), this.propose(command)];
    }

    private continueClosing(nowMs: number): readonly Message[] {
        const fencing = this.fencing!;
        const { messages, chosenDatabaseId, alreadyLeads } = fencing.decide(nowMs);
        if (alreadyLeads) {
            return [...messages, ...this.complete(chosenDatabaseId!, nowMs)];
        }
        const mayLead = !fencing.hasChoiceChanged() && fencing.mayLead(this.chosenDatabaseId);
        if (mayLead && fencing.hasOpenLeases(nowMs)) {
            return [...messages, ...this.reportWait(PromotionWait.AcknowledgementLeases, nowMs)];
        }
        if (!mayLead || fencing.hasLostStepDown()) {
            // It started again meanwhile, or an instance may have acknowledged a commit that it lacks. As no order was sent,
            // the choice goes on, with the same fence and all that is known.
            fencing.withdrawOrder();
            return [...messages, ...this.enter(Phase.Fencing, nowMs), ...this.continueFencing(nowMs)];
        }
        const awaitsProof = fencing.awaitsStepDownProof() || !fencing.isChoiceProved();
        return awaitsProof
            ? [...messages, ...this.reportWait(PromotionWait.DatabasesToStop, nowMs)]
            : [...messages, ...this.enter(Phase.Ordering, nowMs), ...this.order(nowMs)];
    }

    /**
     * Waits until a database leads. The same order is repeated while that isn't seen: another database must not be
     * ordered to lead while this order may still be executed.
     */
    private continueOrdering(nowMs: number): readonly Message[] {
        if (this.invalidatesOrders) {
            return nowMs < this.orderDueMs && this.databases.mayInvalidateOrders() ? [] : this.endInvalidation(nowMs);
        }
        const { messages, chosenDatabaseId, alreadyLeads } = this.fencing!.decide(nowMs);
        if (alreadyLeads) {
            return [...messages, ...this.complete(chosenDatabaseId!, nowMs)];
        }
        if (!this.databases.members().some(({ databaseId }) => databaseId === this.chosenDatabaseId)) {
            // The process that was ordered to lead is gone, and the platform refuses orders for it.
            this.substituteId = undefined;
            return [...messages, ...this.reserve(this.fence, nowMs)];
        }
        if (this.fencing!.hasLostLogSinceChoice()) {
            this.substituteId = this.substituteId === undefined ? this.findSubstitute() : undefined;
            return [...messages, ...this.reserve(this.fence, nowMs)];
        }
        return nowMs < this.orderDueMs ? messages : [...messages, ...this.order(nowMs)];
    }

    /**
     * A database that can be ordered to lead in place of the chosen one: the former primary, whose log is complete, or one
     * that has received as much as the chosen one. While the former one is there, instances without contact to the control
     * members may be told of further commits, so that it comes first then.
     */
    private findSubstitute(): string | undefined {
        const members = this.databases.members();
        const lostIds = members.filter(({ isLost }) => isLost).map(({ databaseId }) => databaseId);
        const holderIds = this.chosenPosition === undefined ? [] : this.fencing!.holdersOf(this.chosenPosition);
        const formerIds = members.map(({ databaseId }) => databaseId).filter(id => this.isFormerPrimary(id));
        const isFormerDown = formerIds.every(id => this.fencing!.hasNoListener(id));
        const preferredIds = isFormerDown ? [...holderIds, ...formerIds] : [...formerIds, ...holderIds];
        return preferredIds.find(id => id !== this.chosenDatabaseId && !lostIds.includes(id));
    }

    private isFormerPrimary(databaseId: string): boolean {
        return databaseId === this.options.record().databaseId || databaseId === this.formerPrimaryId;
    }

    private order(nowMs: number): readonly Message[] {
        const spacedMs = this.refusedOrders < maximumPromptRefusals ? 0 : orderRetryMs;
        if (nowMs < this.lastOrderAtMs + spacedMs) {
            this.orderDueMs = this.lastOrderAtMs + spacedMs;
            return [];
        }
        this.lastOrderAtMs = nowMs;
        const awaitsFirstAnswer = this.supersedes && this.answeredOrders === 0
            && this.sentOrders < maximumSupersedingOrders;
        this.orderDueMs = nowMs + (awaitsFirstAnswer ? supersedingOrderRetryMs : orderRetryMs);
        this.sentOrders++;
        const order: PromotionOrder = {
            kind: PromotionKind.Order,
            service: this.options.service,
            databaseId: this.chosenDatabaseId,
            fence: this.fence,
        };
        return [order];
    }

    private complete(databaseId: string, nowMs: number): readonly Message[] {
        this.substituteId = undefined;
        const decided = this.decisions.complete(databaseId, this.fencing!.evidence(), nowMs);
        const released = this.fencing?.release(nowMs) ?? [];
        this.chosenDatabaseId = databaseId;
        const { service, fleet, record } = this.options;
        const recordedIds = record().databases.map(recorded => recorded.databaseId);
        const command = {
            kind: CommandKind.CompletePromotion,
            service,
            fence: this.fence,
            databaseId,
            orderPending: this.mayOrderBeExecuted(),
            basePosition: this.databases.dropsDatabases()
                ? this.fencing?.receivedPosition(databaseId) ?? this.chosenPosition
                : this.chosenPosition,
            departed: recordedIds.filter(recordedId => fleet.departedDatabases.has(recordedId)),
        };
        return [decided, ...released, ...this.enter(Phase.Completing, nowMs), this.propose(command)];
    }

    /** Whether the platform may still execute an order for the database that leads now. */
    private mayOrderBeExecuted(): boolean {
        const { orderPending, orderedDatabaseId } = this.options.record();
        // The first answer to an order shows that the platform has seen its fence, and refuses those of earlier orders.
        return this.sentOrders === 0 ? orderPending || orderedDatabaseId !== "" : this.answeredOrders < this.sentOrders;
    }

    private propose(command: ControlPropose["command"]): ControlPropose {
        this.proposedCommand = command;
        this.proposalId = `promotion/${this.options.service}/${this.nextProposal++}`;
        return { kind: ControlKind.Propose, proposalId: this.proposalId, operationId: "", command };
    }

    /** Proposes a command again whose result was lost. A second reservation conflicts, and the others may be repeated. */
    private continueProposing(nowMs: number): readonly Message[] {
        const kept = this.phase === Phase.Completing
            ? this.fencing?.keepReleasing(nowMs) ?? []
            : this.fencing?.decide(nowMs).messages ?? [];
        if (nowMs - this.phaseSinceMs < proposalTimeoutMs) {
            return kept;
        }
        return [...kept, ...this.enter(this.phase, nowMs), this.propose(this.proposedCommand!)];
    }

    private closeFencing(nowMs: number): readonly Message[] {
        if (this.fencing === undefined) {
            return [];
        }
        const messages = [...this.decisions.giveUp(this.fencing.evidence(), nowMs), ...this.fencing.close()];
        this.fencing = undefined;
        return messages;
    }

    private enter(phase: Phase, nowMs: number): readonly Message[] {
        this.phase = phase;
        this.phaseSinceMs = nowMs;
        this.lastWait = undefined;
        const closed = phase === Phase.Steady ? [] : [...this.closeCatchUpCheck(), ...this.heldReplicas.close()];
        const isRoutine = phase === Phase.Steady || phase === Phase.Assessing || phase === Phase.Settling;
        return isRoutine ? closed : [...closed, this.progress(undefined, nowMs)];
    }

    private reportWait(wait: PromotionWait | undefined, nowMs: number): readonly Message[] {
        if (wait === this.lastWait && nowMs - this.lastProgressAtMs < progressIntervalMs) {
            return [];
        }
        this.lastWait = wait;
        return [this.progress(wait, nowMs)];
    }

    private progress(wait: PromotionWait | undefined, nowMs: number): PromotionProgressed {
        this.lastProgressAtMs = nowMs;
        const choosing = this.phase === Phase.Reserving || this.phase === Phase.Fencing;
        return {
            kind: PromotionKind.Progressed,
            service: this.options.service,
            phase: this.phase,
            fence: this.fence,
            databaseId: choosing ? "" : this.chosenDatabaseId,
            wait,
            databases: this.fencing?.describeDatabases() ?? "",
            acknowledged: this.fencing?.describeAcknowledged() ?? "-",
            awaitedInstances: this.fencing?.awaitedWitnesses() ?? [],
        };
    }
}
