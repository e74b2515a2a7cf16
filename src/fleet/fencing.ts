/**
 * Fencing before a promotion: makes sure that no further commit of a service can be acknowledged, and chooses a
 * database that holds all acknowledged commits.
 */
import type { CommitsSeenFrame } from "../model/fleetMessages.ts";
import {
    type LinkCommand,
    LinkCommandKind,
    type LinkLost,
    type LinkOpened,
    type LinkReplied,
} from "../model/linkMessages.ts";
import { comparePositions, hasReached, type Position } from "../model/position.ts";
import { PromotionRule } from "../model/promotionDecision.ts";
import { PromotionWait } from "../model/promotionMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { ClosedInstances } from "./closedInstances.ts";
import { CommitSurvey } from "./commitSurvey.ts";
import { FencedDatabase, retryDelayMs } from "./fencedDatabase.ts";
import { FencedLogs } from "./fencedLogs.ts";
import type { FencingDecision, FencingOptions } from "./fencingOptions.ts";
import type { FencingEvidence } from "./promotionDecision.ts";

/** Time to wait for a replica that does not answer before a database is chosen without it. */
const replicaWaitMs = 1_200;

/** Time that replicas have to catch up with a primary that has stepped down. */
const catchUpTimeoutMs = 1_000;

/** Time after which a primary that must keep the lead and answers is not replaced after all. */
const keptPrimaryWaitMs = 5_000;

export class Fencing {
    private readonly options: FencingOptions;
    private readonly databases = new Map<string, FencedDatabase>();
    private readonly closedInstances = new ClosedInstances();
    private readonly survey: CommitSurvey;
    private readonly logs: FencedLogs;
    /** Position of the primary after it stepped down. */
    private finalPosition: Position | undefined;
    private steppedDownAtMs = 0;
    private orderedDatabaseId: string | undefined;
    private orderedAtMs = -Infinity;
    private hadStoppedBeforeOrder = false;
    /** The primary whose last position decided on the order for another database; undefined if it did not. */
    private steppedDownPrimary: FencedDatabase | undefined;
    private logLossesBeforeOrder = 0;
    /** A database leads: the others receive again. */
    private released = false;
    private wait: PromotionWait | undefined;
    private rule: PromotionRule | undefined;

    constructor(options: FencingOptions) {
        this.options = options;
        this.survey = new CommitSurvey({ ...options, closedInstances: this.closedInstances });
        const { databases, closedInstances, survey } = this;
        const primaryAddress = options.members().find(({ databaseId }) => databaseId === options.primaryId)?.address;
        this.logs = new FencedLogs({ options, databases, closedInstances, survey, primaryAddress });
        this.followMembers(options.startedAtMs);
    }

    open(): readonly Message[] {
        const { startedAtMs } = this.options;
        return [...this.closeInstances(startedAtMs), ...this.advance(startedAtMs)];
    }

    linkOpened(message: LinkOpened, nowMs: number): readonly Message[] {
        const database = this.databaseOfLink(message.linkId);
        if (database === undefined) {
            return [];
        }
        database.linkOpened(message);
        this.discardOutdatedReports();
        return database.advance(this.nextCommand(database, nowMs), nowMs);
    }

    linkReplied(message: LinkReplied, nowMs: number): readonly Message[] {
        const database = this.databaseOfLink(message.linkId);
        if (database === undefined) {
            return [];
        }
        database.linkReplied(message, nowMs);
        if (this.mayReceive(database)) {
            database.stopped = false;
        }
        if (this.logs.isPrimary(database)) {
            this.followPrimary(database, nowMs);
        }
        return [];
    }

    linkLost(message: LinkLost, nowMs: number): readonly Message[] {
        this.databaseOfLink(message.linkId)?.linkLost(message, nowMs);
        this.discardOutdatedReports();
        return [];
    }

    /** Records the answer of an instance, unless commits could still be acknowledged after the question. */
    recordCommitsSeen(attachmentId: string, frame: CommitsSeenFrame, nowMs: number): void {
        this.survey.record(attachmentId, frame, nowMs);
    }

    /** Whether an instance may get a lease: it acknowledges only what the promotion keeps, or nothing is ordered yet. */
    mayGrantLease(attachmentId: string): boolean {
        const mayBeOrdered = this.finalPosition === undefined && this.expectedLeaderId() !== "";
        return this.closedInstances.has(attachmentId) || this.orderedDatabaseId === undefined && !mayBeOrdered;
    }

    /** Whether an instance that has not answered the question to stop may still acknowledge commits. */
    hasOpenLeases(nowMs: number): boolean {
        return this.options.synchronousReplicas > 0
            && this.logs.openLeases().some(({ untilMs }) => untilMs > nowMs);
    }

    /** The database is ordered to lead: from now on it is checked whether it does, and the others stay stopped. */
    beginOrder(databaseId: string, nowMs: number): readonly Message[] {
        this.orderedDatabaseId = databaseId;
        this.orderedAtMs = nowMs;
        const steppedDown = this.finalPosition === undefined ? undefined : this.logs.primary();
        this.steppedDownPrimary = steppedDown?.databaseId === databaseId ? undefined : steppedDown;
        const database = this.databases.get(databaseId);
        this.logLossesBeforeOrder = database?.logLosses ?? 0;
        this.hadStoppedBeforeOrder = database?.stopped === true;
        return this.hadStoppedBeforeOrder ? database!.proveNow(nowMs) : [];
    }

    /** Whether the chosen database has answered since it was chosen, if it had stopped; its last answer before may be old. */
    isChoiceProved(): boolean {
        return !this.hadStoppedBeforeOrder
            || (this.orderedDatabase()?.provedStoppedMs ?? -Infinity) >= this.orderedAtMs;
    }

    /** Whether the chosen database had stopped and is not known to be so any more. */
    hasChoiceChanged(): boolean {
        return this.hadStoppedBeforeOrder && this.orderedDatabase()?.stopped !== true;
    }

    /** The order was not sent after all: the choice goes on, with all that is known of the databases. */
    withdrawOrder(): void {
        this.orderedDatabaseId = undefined;
        this.finalPosition = undefined;
    }

    /**
     * Whether the step down that decided on the order may have ended: a primary that led again may have had commits that an
     * instance acknowledged whose lease has ended without an answer.
     */
    hasLostStepDown(): boolean {
        const primary = this.steppedDownPrimary;
        return this.reliesOnStepDown()
            && !(primary!.stopped && this.logs.primary() === primary && this.logs.keepsLog(primary!));
    }

    /** Whether the primary whose step down decided on the order has to show that it still had not led after the last lease. */
    awaitsStepDownProof(): boolean {
        const isAwaited = this.reliesOnStepDown()
            && this.steppedDownPrimary!.provedStoppedMs <= this.logs.lastLeaseEnd();
        if (isAwaited) {
            this.steppedDownPrimary!.proveAgain();
        }
        return isAwaited;
    }

    decide(nowMs: number): FencingDecision {
        const closed = this.followMembers(nowMs);
        const messages = [...closed, ...this.advance(nowMs)];
        const leader = this.newLeader();
        if (leader !== undefined) {
            this.rule = PromotionRule.AlreadyLeads;
            return { messages, chosenDatabaseId: leader.databaseId, alreadyLeads: true, wait: undefined };
        }
        const questions = [...this.closeInstances(nowMs), ...this.askForCommits(nowMs)];
        this.wait = undefined;
        this.rule = undefined;
        const chosenDatabaseId = this.finalPosition === undefined
            ? this.chooseFurthestReplica(nowMs)
            : this.chooseCaughtUpReplica(nowMs);
        const kept = chosenDatabaseId === undefined ? this.keptPrimary(nowMs) : undefined;
        if (kept !== undefined) {
            this.rule = PromotionRule.PrimaryKeepsLead;
            return { messages, chosenDatabaseId: kept.databaseId, alreadyLeads: true, wait: undefined };
        }
        return {
            messages: [...messages, ...questions],
            chosenDatabaseId,
            alreadyLeads: false,
            wait: chosenDatabaseId === undefined ? this.wait : undefined,
        };
    }

    /** What allowed the last decision; undefined if there was none. */
    get decidingRule(): PromotionRule | undefined {
        return this.rule;
    }

    evidence(): FencingEvidence {
        return {
            databases: this.databases,
            askedAttachments: this.survey.closingAsked,
            answers: this.closedInstances.byAttachment,
            openLeases: this.logs.openLeases(),
        };
    }

    /** Lets the replicas receive again; `keepReleasing` repeats that for those that don't answer. */
    release(nowMs: number): readonly Message[] {
        this.released = true;
        return this.advance(nowMs);
    }

    keepReleasing(nowMs: number): readonly Message[] {
        return this.advance(nowMs);
    }

    /** Whether the database can still be ordered to lead, as far as is known since it was chosen. */
    mayLead(databaseId: string): boolean {
        const database = this.databases.get(databaseId);
        return database !== undefined && !this.hasLostLogSinceChoice()
            && (this.logs.holdsClosedCommits(database) || this.logs.isFurthestSinceClosing(database));
    }

    /** Whether the chosen database has started again without its log. */
    hasLostLogSinceChoice(): boolean {
        return (this.orderedDatabase()?.logLosses ?? 0) > this.logLossesBeforeOrder;
    }

    receivedPosition(databaseId: string): Position | undefined {
        return this.databases.get(databaseId)?.receivedPosition;
    }

    /** Databases that have received the log up to `position` and have not lost it, those that have stopped first. */
    holdersOf(position: Position): readonly string[] {
        return [...this.databases.values()]
            .filter(({ hasLostLog, receivedPosition }) =>
                !hasLostLog && receivedPosition !== undefined && hasReached(receivedPosition, position)
            )
            .sort((left, right) => Number(right.stopped) - Number(left.stopped))
            .map(({ databaseId }) => databaseId);
    }

    hasNoListener(databaseId: string): boolean {
        return this.databases.get(databaseId)?.hasNoListener === true;
    }

    close(): readonly Message[] {
        return [...this.databases.values()].flatMap(database => database.close());
    }

    /** States of the databases for the log, as `id:state@position`. */
    describeDatabases(): string {
        const lost = this.logs.lostMembers().map(({ databaseId }) => `${databaseId}:lost@-`);
        const present = [...this.databases.values()].map(database => {
            const { databaseId, stopped, hasNoListener, hasLostLog, receivedPosition } = database;
            const state = stopped ? "stopped" : hasNoListener ? "no_listener" : "awaited";
            const restarted = hasLostLog ? "+restarted" : "";
            return `${databaseId}:${state}${restarted}@${positionText(receivedPosition)}`;
        });
        return [...present, ...lost].join(",");
    }

    /** Highest commit that is known to have been acknowledged, for the log; `-` if none is. */
    describeAcknowledged(): string {
        return positionText(this.closedInstances.highestLogEnd());
    }

    /** Instances whose answer is missing, or that are absent and not covered by an answer of another one. */
    awaitedWitnesses(): readonly string[] {
        return this.survey.awaitedWitnesses();
    }

    /** Adds databases that joined, and drops those that another process replaced at their address. */
    private followMembers(nowMs: number): readonly Message[] {
        const members = this.options.members().filter(({ isLost }) => !isLost);
        const ids = new Set(members.map(({ databaseId }) => databaseId));
        const replaced = [...this.databases.values()].filter(({ databaseId }) => !ids.has(databaseId));
        for (const database of replaced) {
            this.databases.delete(database.databaseId);
            if (this.logs.isPrimary(database)) {
                // Its successor may lead and acknowledge further commits.
                this.finalPosition = undefined;
            }
        }
        const closed = replaced.flatMap(database => database.close());
        for (const member of members) {
            const known = this.databases.get(member.databaseId);
            if (known === undefined) {
                this.databases.set(member.databaseId, new FencedDatabase(member, this.options));
            }
            else {
                if (known.member.bornUnixMs !== undefined && known.member.bornUnixMs !== member.bornUnixMs) {
                    closed.push(...known.restarted(nowMs));
                }
                known.member = member;
            }
        }
        if (replaced.length > 0) {
            this.discardOutdatedReports();
        }
        return closed;
    }

    private advance(nowMs: number): readonly Message[] {
        return [...this.databases.values()].flatMap(database =>
            database.advance(this.nextCommand(database, nowMs), nowMs)
        );
    }

    private nextCommand(database: FencedDatabase, nowMs: number): LinkCommand | undefined {
        if (this.released) {
            return database.isHeld && database.status?.leads !== true ? { kind: LinkCommandKind.Resume } : undefined;
        }
        if (database.databaseId === this.orderedDatabaseId) {
            return this.isChoiceProved() ? { kind: LinkCommandKind.Status } : undefined;
        }
        if (this.options.primaryKeepsLead && database.databaseId === this.options.primaryId) {
            return { kind: LinkCommandKind.Status };
        }
        const stepsDown = this.logs.isPrimary(database) && !this.mayFollowAnother(database);
        if (stepsDown || this.leadsBesideOrder(database)) {
            return database.stopped ? undefined : { kind: LinkCommandKind.StepDown, term: this.nextTerm() };
        }
        if (this.finalPosition !== undefined && this.orderedDatabaseId === undefined) {
            // The primary has stopped; entries that it has already sent may still arrive.
            return { kind: database.isHeld ? LinkCommandKind.Resume : LinkCommandKind.Status };
        }
        // In a planned change the replicas keep receiving, unless the primary is lost before it has stepped down.
        if (this.awaitsStepDown(nowMs)) {
            return undefined;
        }
        return database.stopped
            ? undefined
            : { kind: LinkCommandKind.Pause, term: this.nextTerm() + database.termMargin };
    }

    private nextTerm(): number {
        const terms = [...this.databases.values()].map(({ status }) => status?.term ?? 0);
        return Math.max(0, ...terms) + 1;
    }

    private followPrimary(primary: FencedDatabase, nowMs: number): void {
        const expectedId = this.expectedLeaderId();
        const mayAnotherLead = expectedId !== "" && expectedId !== primary.databaseId;
        const mayReplicasReceive = !mayAnotherLead || this.orderedDatabaseId !== undefined;
        if (!primary.stopped || !mayReplicasReceive || !this.logs.keepsLog(primary)) {
            // While an earlier order for another database may be executed, the replicas must not receive. The position of an
            // empty primary tells nothing of what was acknowledged.
            this.finalPosition = undefined;
        }
        else if (this.finalPosition === undefined) {
            this.finalPosition = primary.receivedPosition;
            this.steppedDownAtMs = nowMs;
        }
    }

    /** Whether the step down decided on the order, and an instance may have acknowledged commits without having answered since. */
    private reliesOnStepDown(): boolean {
        return this.options.synchronousReplicas > 0 && this.steppedDownPrimary !== undefined
            && this.logs.openLeases().length > 0;
    }

    /**
     * A database other than the former primary that already leads. While an order may still be executed, only the ordered
     * database counts: another one that leads is about to lose the lead.
     */
    private newLeader(): FencedDatabase | undefined {
        const newestTerm = this.nextTerm() - 1;
        const leaders = [...this.databases.values()].filter(({ status }) =>
            status?.leads === true && status.term === newestTerm
        );
        const expectedId = this.expectedLeaderId();
        return expectedId === ""
            ? leaders.find(database => !this.logs.isPrimary(database))
            : leaders.find(({ databaseId }) => databaseId === expectedId);
    }

    private orderedDatabase(): FencedDatabase | undefined {
        return this.databases.get(this.orderedDatabaseId ?? "");
    }

    /** The primary that keeps the lead, if it still leads and no other database could be chosen in time. */
    private keptPrimary(nowMs: number): FencedDatabase | undefined {
        const { primaryKeepsLead, startedAtMs } = this.options;
        const primary = this.logs.primary();
        const leads = primary?.status?.leads === true && primary.status.term === this.nextTerm() - 1;
        const hasWaited = nowMs - startedAtMs >= keptPrimaryWaitMs;
        return primaryKeepsLead && leads && hasWaited && this.orderedDatabaseId === undefined ? primary : undefined;
    }

    /** A primary that came back although another database may be made to lead; it must not acknowledge commits. */
    private leadsBesideOrder({ status }: FencedDatabase): boolean {
        return this.expectedLeaderId() !== "" && status?.leads === true;
    }

    /** Whether an order of an earlier leader may have made another database lead, from which this one receives. */
    private mayFollowAnother({ databaseId }: FencedDatabase): boolean {
        const { preferredDatabaseId } = this.options;
        return this.orderedDatabaseId === undefined && preferredDatabaseId !== "" && preferredDatabaseId !== databaseId;
    }

    /** A database that does not lead receives, and confirms, what another one sends, unless it is paused. */
    private mayReceive(database: FencedDatabase): boolean {
        return !database.isHeld && this.mayFollowAnother(database);
    }

    /** The database of the last order, of this member or of an earlier leader; empty if there is none. */
    private expectedLeaderId(): string {
        return this.orderedDatabaseId ?? this.options.preferredDatabaseId;
    }

    /** The database with the highest position, if no commit beyond that position can have been acknowledged. */
    private chooseFurthestReplica(nowMs: number): string | undefined {
        const { startedAtMs, synchronousReplicas } = this.options;
        const stopped = this.logs.stoppedDatabases();
        const best = this.mostAdvanced(stopped);
        if (best === undefined || this.awaitsStepDown(nowMs)) {
            return this.waitFor(PromotionWait.DatabasesToStop);
        }
        if (synchronousReplicas === 0) {
            const hasWaited = nowMs - startedAtMs >= retryDelayMs;
            return this.logs.missingCount(stopped) <= 1 || hasWaited
                ? this.chooseBy(PromotionRule.AsynchronousReplication, best)
                : this.waitFor(PromotionWait.DatabasesToStop);
        }
        if (this.hasOpenLeases(nowMs)) {
            return this.waitFor(PromotionWait.AcknowledgementLeases);
        }
        if (this.logs.holdsConfirmedCommits(best, stopped)) {
            const unproved = this.logs.holdsClosedCommits(best) && this.logs.openLeases().length === 0
                ? []
                : this.logs.unprovedSinceClosing(best, stopped);
            if (unproved.length === 0 && this.logs.holdsReached(best)) {
                return this.choosePreferredOr(best, stopped, nowMs);
            }
            unproved.forEach(database => database.proveAgain());
        }
        if (nowMs - startedAtMs < replicaWaitMs) {
            return this.waitFor(PromotionWait.DatabasesToStop);
        }
        if (!this.logs.commitsAreBlocked()) {
            return this.waitFor(PromotionWait.CommitsToBeBlocked);
        }
        if (this.awaitedWitnesses().length > 0) {
            return this.waitFor(PromotionWait.CommitWitnesses);
        }
        return this.logs.holdsClosedCommits(best) && this.logs.holdsReportedCommits(best)
            ? this.chooseBy(PromotionRule.InstanceAnswers, best)
            : this.waitFor(PromotionWait.DatabaseWithLastCommit);
    }

    /**
     * The database of an earlier order that may still be executed, or else one outside of evacuated data centres, if it holds
     * all acknowledged commits, or else `best`. Commits that only `best` has were not acknowledged if no instance reports them.
     */
    private choosePreferredOr(
        best: FencedDatabase,
        stopped: readonly FencedDatabase[],
        nowMs: number,
    ): string | undefined {
        const ordered = stopped.find(({ databaseId }) => databaseId === this.options.preferredDatabaseId);
        const preferred = ordered ?? this.alternativeTo(best, stopped);
        if (
            preferred === undefined || preferred === best || this.logs.isLost(preferred.databaseId)
            || preferred.hasLostLog
        ) {
            return this.chooseConfirmed(best, stopped);
        }
        if (this.awaitedWitnesses().length > 0) {
            const canWait = nowMs - this.options.startedAtMs < 2 * replicaWaitMs;
            return canWait ? this.waitFor(PromotionWait.CommitWitnesses) : this.chooseConfirmed(best, stopped);
        }
        const isComplete = this.logs.holdsClosedCommits(preferred) && this.logs.holdsReportedCommits(preferred);
        return isComplete
            ? this.chooseBy(PromotionRule.PreferredByAnswers, preferred)
            : this.chooseConfirmed(best, stopped);
    }

    /** The most advanced database that work can go to, if none can go to `best` because its data centre is evacuated. */
    private alternativeTo(best: FencedDatabase, stopped: readonly FencedDatabase[]): FencedDatabase | undefined {
        return best.member.isEvacuated === true
            ? this.mostAdvanced(stopped.filter(({ member }) => member.isReady))
            : undefined;
    }

    /** In a planned change, whether the primary still has time to step down before the replicas are paused. */
    private awaitsStepDown(nowMs: number): boolean {
        const { planned, primaryKeepsLead, startedAtMs } = this.options;
        return planned && !primaryKeepsLead && this.orderedDatabaseId === undefined
            && nowMs - startedAtMs < replicaWaitMs;
    }

    private chooseConfirmed(best: FencedDatabase, stopped: readonly FencedDatabase[]): string {
        return this.chooseBy(this.logs.confirmationRule(best, stopped), best);
    }

    private chooseBy(rule: PromotionRule | undefined, { databaseId }: FencedDatabase): string {
        this.rule = rule;
        return databaseId;
    }

    private waitFor(wait: PromotionWait): undefined {
        this.wait = wait;
        return undefined;
    }

    /** Discards the answers of instances once commits can be acknowledged again. */
    private discardOutdatedReports(): void {
        if (!this.logs.commitsAreBlocked()) {
            this.survey.discard();
        }
    }

    /**
     * Unless the primary steps down first, whose last position tells what was acknowledged. Once a database is ordered, a
     * primary that starts again may acknowledge commits beyond that.
     */
    private closeInstances(nowMs: number): readonly Message[] {
        const stepsDown = this.orderedDatabaseId === undefined
            && (this.awaitsStepDown(nowMs) || this.finalPosition !== undefined);
        return this.options.synchronousReplicas === 0 || stepsDown ? [] : this.survey.close(nowMs);
    }

    /**
     * Asks the instances for their acknowledged commits once commits are blocked; at once if the furthest database may be one
     * that is preferably not chosen. From the question on, they withhold acknowledgements, also those of a primary that has
     * stepped down.
     */
    private askForCommits(nowMs: number): readonly Message[] {
        const hasWaited = nowMs - this.options.startedAtMs >= replicaWaitMs;
        const hasSteppedDown = this.awaitsStepDown(nowMs) || this.finalPosition !== undefined;
        const asksAtOnce = !hasSteppedDown
            && [...this.databases.values()].some(({ member }) => member.isEvacuated === true);
        return (hasWaited || asksAtOnce) && this.logs.commitsAreBlocked() ? this.survey.ask(nowMs) : [];
    }

    /** A replica that has caught up with the primary, or the primary itself if none catches up in time. */
    private chooseCaughtUpReplica(nowMs: number): string | undefined {
        const others = [...this.databases.values()].filter(database => !this.logs.isPrimary(database));
        const ready = this.mostAdvanced(
            others.filter(({ member, receivedPosition }) =>
                member.isReady && receivedPosition !== undefined && hasReached(receivedPosition, this.finalPosition!)
            ),
        );
        const { preferredDatabaseId } = this.options;
        const isPreferred = !others.some(({ databaseId }) => databaseId === preferredDatabaseId)
            || ready?.databaseId === preferredDatabaseId;
        const hasWaited = nowMs - this.steppedDownAtMs >= catchUpTimeoutMs;
        if (ready !== undefined && (isPreferred || hasWaited)) {
            // A primary that came back without its newest commits has stepped down below what was acknowledged.
            return this.mayLead(ready.databaseId)
                ? this.chooseBy(PromotionRule.CaughtUp, ready)
                : this.waitFor(PromotionWait.DatabaseWithLastCommit);
        }
        if (!hasWaited) {
            return this.waitFor(PromotionWait.CatchUp);
        }
        const primary = this.logs.primary();
        if (primary?.stopped === true && !primary.hasLostLog) {
            return this.mayLead(primary.databaseId)
                ? this.chooseBy(PromotionRule.NoneCaughtUp, primary)
                : this.waitFor(PromotionWait.DatabaseWithLastCommit);
        }
        // The primary was lost before a replica had caught up: the replicas stop, as without a planned change.
        this.finalPosition = undefined;
        return this.waitFor(PromotionWait.DatabasesToStop);
    }

    /**
     * The database with the highest position; among equals, the preferred one, or else one that is not draining, or else the
     * one that is at home for the most routes.
     */
    private mostAdvanced(databases: readonly FencedDatabase[]): FencedDatabase | undefined {
        const { preferredDatabaseId, homeShare } = this.options;
        const preference = ({ member: { databaseId, isReady } }: FencedDatabase): number =>
            4 * Number(databaseId === preferredDatabaseId) + 2 * Number(isReady) + (homeShare?.(databaseId) ?? 0);
        return [...databases].sort((left, right) =>
            comparePositions(right.receivedPosition!, left.receivedPosition!) || preference(right) - preference(left)
        )[0];
    }

    private databaseOfLink(linkId: string): FencedDatabase | undefined {
        return [...this.databases.values()].find(database => database.owns(linkId));
    }
}

function positionText(position: Position | undefined): string {
    return position === undefined ? "-" : `${position.term}.${position.offset}`;
}
