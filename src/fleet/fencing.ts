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
import { PromotionWait } from "../model/promotionMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { ClosedInstances } from "./closedInstances.ts";
import { CommitSurvey } from "./commitSurvey.ts";
import type { CommitWitnesses, WitnessLease } from "./commitWitnesses.ts";
import type { ElectorateMember } from "./electorate.ts";
import { FencedDatabase, retryDelayMs } from "./fencedDatabase.ts";

/** Time to wait for a replica that does not answer before a database is chosen without it. */
const replicaWaitMs = 1_200;

/** Time that replicas have to catch up with a primary that has stepped down. */
const catchUpTimeoutMs = 1_000;

/** Time after which a primary that must keep the lead and answers is not replaced after all. */
const keptPrimaryWaitMs = 5_000;

export interface FencingOptions {
    readonly service: string;
    /** Fencing token of the promotion; unique among the promotions of the service. */
    readonly fence: number;
    /** The databases that may hold acknowledged commits; changes while databases join and start again. */
    members(): readonly ElectorateMember[];
    readonly primaryId: string | undefined;
    /**
     * Address of the primary of the last completed promotion; its log holds every acknowledged commit unless a database that
     * was ordered since has led. Undefined if unknown.
     */
    readonly primaryLogAddress: string | undefined;
    /** Addresses of the databases that were ordered since; undefined if they are not all known. */
    readonly otherLogAddresses: readonly string[] | undefined;
    /** Database named by an earlier order, which may still be executed; preferred among equals. */
    readonly preferredDatabaseId: string;
    /** Share of the service's routes that a database could serve as primary, 0 to 1; decides among equals only. */
    readonly homeShare?: (databaseId: string) => number;
    /**
     * The primary's last order may still be executed: it must keep the lead until another database takes it, because a
     * primary that has stepped down would be made to lead again.
     */
    readonly primaryKeepsLead: boolean;
    /** The primary is reachable and shutting down: it steps down first, then the replicas catch up with it. */
    readonly planned: boolean;
    /** Number of replicas that have received a commit before it is acknowledged; 0 if replication is asynchronous. */
    readonly synchronousReplicas: number;
    /** Position below which a replica lacks commits that other databases confirmed; undefined if there is none. */
    readonly basePosition: Position | undefined;
    /** Instances that may have seen acknowledgements. */
    readonly witnesses: CommitWitnesses;
    /** Interval at which databases report. */
    readonly reportIntervalMs: number;
    nextLinkId(): string;
    readonly startedAtMs: number;
}

export interface FencingDecision {
    readonly messages: readonly Message[];
    /** The database to promote; undefined while none can be chosen safely. */
    readonly chosenDatabaseId: string | undefined;
    /** The database already leads, because an order was executed; no further order is needed. */
    readonly alreadyLeads: boolean;
    /** Why no database is chosen yet. */
    readonly wait: PromotionWait | undefined;
}

export class Fencing {
    private readonly options: FencingOptions;
    private readonly databases = new Map<string, FencedDatabase>();
    /** Address of the primary, which it keeps when it starts again under another id. */
    private readonly primaryAddress: string | undefined;
    private readonly closedInstances = new ClosedInstances();
    private readonly survey: CommitSurvey;
    /** Position of the primary after it stepped down. */
    private finalPosition: Position | undefined;
    private steppedDownAtMs = 0;
    private orderedDatabaseId: string | undefined;
    private logLossesBeforeOrder = 0;
    /** A database leads: the others receive again. */
    private released = false;
    private wait: PromotionWait | undefined;

    constructor(options: FencingOptions) {
        this.options = options;
        this.survey = new CommitSurvey({ ...options, closedInstances: this.closedInstances });
        this.primaryAddress = options.members().find(({ databaseId }) => databaseId === options.primaryId)?.address;
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
        database?.linkReplied(message, nowMs);
        if (database !== undefined && this.isPrimary(database)) {
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

    /** Whether an instance may get a lease: it acknowledges only what the promotion keeps, or nothing is chosen yet. */
    mayGrantLease(attachmentId: string): boolean {
        return this.closedInstances.has(attachmentId) || this.finalPosition !== undefined
            || this.expectedLeaderId() === "";
    }

    /** The database was ordered to lead: from now on it is checked whether it does, and the others stay stopped. */
    orderSent(databaseId: string): void {
        this.orderedDatabaseId = databaseId;
        this.logLossesBeforeOrder = this.databases.get(databaseId)?.logLosses ?? 0;
    }

    /** The order was not sent after all: the choice goes on, with all that is known of the databases. */
    withdrawOrder(): void {
        this.orderedDatabaseId = undefined;
    }

    decide(nowMs: number): FencingDecision {
        const closed = this.followMembers(nowMs);
        const messages = [...closed, ...this.advance(nowMs)];
        const leader = this.newLeader();
        if (leader !== undefined) {
            return { messages, chosenDatabaseId: leader.databaseId, alreadyLeads: true, wait: undefined };
        }
        const questions = [...this.closeInstances(nowMs), ...this.askForCommits(nowMs)];
        this.wait = undefined;
        const chosenDatabaseId = this.finalPosition === undefined
            ? this.chooseFurthestReplica(nowMs)
            : this.chooseCaughtUpReplica(nowMs);
        const kept = chosenDatabaseId === undefined ? this.keptPrimary(nowMs) : undefined;
        if (kept !== undefined) {
            return { messages, chosenDatabaseId: kept.databaseId, alreadyLeads: true, wait: undefined };
        }
        return {
            messages: [...messages, ...questions],
            chosenDatabaseId,
            alreadyLeads: false,
            wait: chosenDatabaseId === undefined ? this.wait : undefined,
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
            && (this.holdsClosedCommits(database) || this.isFurthestSinceClosing(database));
    }

    /** Whether the chosen database has started again without its log. */
    hasLostLogSinceChoice(): boolean {
        return (this.databases.get(this.orderedDatabaseId ?? "")?.logLosses ?? 0) > this.logLossesBeforeOrder;
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
        const lost = this.lostMembers().map(({ databaseId }) => `${databaseId}:lost@-`);
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
            if (this.isPrimary(database)) {
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
            return { kind: LinkCommandKind.Status };
        }
        if (this.options.primaryKeepsLead && database.databaseId === this.options.primaryId) {
            return { kind: LinkCommandKind.Status };
        }
        if (this.isPrimary(database) || this.leadsBesideOrder(database)) {
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
        if (!primary.stopped || !mayReplicasReceive || !this.keepsLog(primary)) {
            // While an earlier order for another database may be executed, the replicas must not receive. The position of an
            // empty primary tells nothing of what was acknowledged.
            this.finalPosition = undefined;
        }
        else if (this.finalPosition === undefined) {
            this.finalPosition = primary.receivedPosition;
            this.steppedDownAtMs = nowMs;
        }
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
            ? leaders.find(database => !this.isPrimary(database))
            : leaders.find(({ databaseId }) => databaseId === expectedId);
    }

    /** The primary that keeps the lead, if it still leads and no other database could be chosen in time. */
    private keptPrimary(nowMs: number): FencedDatabase | undefined {
        const { primaryKeepsLead, startedAtMs } = this.options;
        const primary = this.primary();
        const leads = primary?.status?.leads === true && primary.status.term === this.nextTerm() - 1;
        const hasWaited = nowMs - startedAtMs >= keptPrimaryWaitMs;
        return primaryKeepsLead && leads && hasWaited && this.orderedDatabaseId === undefined ? primary : undefined;
    }

    /** A primary that came back although another database may be made to lead; it must not acknowledge commits. */
    private leadsBesideOrder({ status }: FencedDatabase): boolean {
        return this.expectedLeaderId() !== "" && status?.leads === true;
    }

    /** The database of the last order, of this member or of an earlier leader; empty if there is none. */
    private expectedLeaderId(): string {
        return this.orderedDatabaseId ?? this.options.preferredDatabaseId;
    }

    /** The database with the highest position, if no commit beyond that position can have been acknowledged. */
    private chooseFurthestReplica(nowMs: number): string | undefined {
        const { startedAtMs, synchronousReplicas } = this.options;
        const stopped = this.stoppedDatabases();
        const best = this.mostAdvanced(stopped);
        if (best === undefined || this.awaitsStepDown(nowMs)) {
            return this.waitFor(PromotionWait.DatabasesToStop);
        }
        if (synchronousReplicas === 0) {
            const hasWaited = nowMs - startedAtMs >= retryDelayMs;
            return this.missingCount(stopped) <= 1 || hasWaited
                ? best.databaseId
                : this.waitFor(PromotionWait.DatabasesToStop);
        }
        if (this.openLeases().some(({ untilMs }) => untilMs > nowMs)) {
            return this.waitFor(PromotionWait.AcknowledgementLeases);
        }
        if (this.holdsConfirmedCommits(best, stopped)) {
            const unproved = this.holdsClosedCommits(best) && this.openLeases().length === 0
                ? []
                : this.unprovedSinceClosing(best, stopped);
            if (unproved.length === 0 && this.holdsReached(best)) {
                return this.choosePreferredOr(best, stopped, nowMs);
            }
            unproved.forEach(database => database.proveAgain());
        }
        if (nowMs - startedAtMs < replicaWaitMs) {
            return this.waitFor(PromotionWait.DatabasesToStop);
        }
        if (!this.commitsAreBlocked()) {
            return this.waitFor(PromotionWait.CommitsToBeBlocked);
        }
        if (this.awaitedWitnesses().length > 0) {
            return this.waitFor(PromotionWait.CommitWitnesses);
        }
        return this.holdsClosedCommits(best) && this.holdsReportedCommits(best)
            ? best.databaseId
            : this.waitFor(PromotionWait.DatabaseWithLastCommit);
    }

    private stoppedDatabases(): readonly FencedDatabase[] {
        return [...this.databases.values()].filter(database => database.stopped);
    }

    /**
     * Number of databases that may have confirmed commits and have not stopped with them. The processes of one database count
     * once: no commit was confirmed by two of them.
     */
    private missingCount(stopped: readonly FencedDatabase[]): number {
        const withLog = this.withLog(stopped).map(({ databaseId }) => databaseId);
        const missing = new Set([...this.databases.keys()].filter(databaseId => !withLog.includes(databaseId)));
        this.lostMembers().forEach(({ databaseId }) => missing.add(databaseId));
        return missing.size;
    }

    private withLog(stopped: readonly FencedDatabase[]): readonly FencedDatabase[] {
        return this.isServiceEmpty(stopped)
            ? stopped
            : stopped.filter(database => hasKeptLog(database) || this.hasNeverReceived(database));
    }

    /**
     * Whether an empty database has confirmed no commit. One that has started again just now reports so within the interval;
     * what its earlier process had counts as lost.
     */
    private hasNeverReceived({ emptySinceMs, member, hasLostLog }: FencedDatabase): boolean {
        const { lastReportAtMs } = member;
        return !hasLostLog && emptySinceMs !== undefined && lastReportAtMs !== undefined
            && lastReportAtMs - emptySinceMs >= this.options.reportIntervalMs;
    }

    /**
     * Whether `best` holds what replicas had confirmed before they stopped: an acknowledged commit is on the primary and on
     * `synchronousReplicas` others, so on one of those that stopped.
     */
    private holdsConfirmedCommits(best: FencedDatabase, stopped: readonly FencedDatabase[]): boolean {
        return this.missingCount(stopped) <= this.options.synchronousReplicas && this.holdsBase(best)
            || stopped.some(database => this.holdsPrimaryLog(database));
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
            preferred === undefined || preferred === best || this.isLost(preferred.databaseId) || preferred.hasLostLog
        ) {
            return best.databaseId;
        }
        if (this.awaitedWitnesses().length > 0) {
            const canWait = nowMs - this.options.startedAtMs < 2 * replicaWaitMs;
            return canWait ? this.waitFor(PromotionWait.CommitWitnesses) : best.databaseId;
        }
        const isComplete = this.holdsClosedCommits(preferred) && this.holdsReportedCommits(preferred);
        return (isComplete ? preferred : best).databaseId;
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

    /** Whether nothing speaks for a commit of the service: no replica has one, and no instance has seen one. */
    private isServiceEmpty(stopped: readonly FencedDatabase[]): boolean {
        return this.options.basePosition === undefined && this.lostMembers().length === 0
            && stopped.every(({ hasLostLog, receivedPosition }) => !hasLostLog && receivedPosition!.offset === 0)
            && this.survey.hasSeenNoCommit();
    }

    /** Recorded databases that have ended without a successor that has their logs. */
    private lostMembers(): readonly ElectorateMember[] {
        return this.options.members().filter(({ isLost }) => isLost);
    }

    private isLost(databaseId: string): boolean {
        return this.lostMembers().some(lost => lost.databaseId === databaseId);
    }

    /**
     * Whether the database is the primary, or a later process with its log, and no other one has acknowledged commits
     * since.
     */
    private holdsPrimaryLog(database: FencedDatabase): boolean {
        const { primaryLogAddress, otherLogAddresses } = this.options;
        return database.member.address === primaryLogAddress && this.keepsLog(database)
            && otherLogAddresses?.every(address =>
                    address === primaryLogAddress || this.hasNotCommittedSince(address, database)
                ) === true;
    }

    /** Whether the log at an address shows that its database has not led after `primary`, or led without commits. */
    private hasNotCommittedSince(address: string, primary: FencedDatabase): boolean {
        return this.stoppedDatabases().some(database =>
            database.member.address === address && this.keepsLog(database)
            && database.receivedPosition!.term <= primary.receivedPosition!.term
        );
    }

    /** Whether no log was lost at the address of the database, neither in this promotion nor, as recorded, before. */
    private keepsLog({ member, hasLostLog }: FencedDatabase): boolean {
        return !hasLostLog && !this.lostMembers().some(({ address }) => address === member.address);
    }

    /** Whether the database holds what the last promotion kept, of which other databases may have lost their copies. */
    private holdsBase(database: FencedDatabase): boolean {
        return holdsUpTo(database, this.options.basePosition);
    }

    /**
     * Whether the database holds the commits that instances had acknowledged when they stopped to. What they tell is an upper
     * bound, beyond which the log of a lost primary may have had commits that nobody acknowledged.
     */
    private holdsClosedCommits(database: FencedDatabase): boolean {
        return holdsUpTo(database, this.closedInstances.highestLogEnd());
    }

    /** Whether the database holds the commits that were certainly acknowledged, as far as instances have answered. */
    private holdsReached(database: FencedDatabase): boolean {
        return holdsUpTo(database, this.closedInstances.highestReached());
    }

    /**
     * The databases that were not shown to be still stopped after the last instance had answered that may have acknowledged
     * commits beyond `best`. If there is none, what was acknowledged had been confirmed by a database that has stopped.
     */
    private unprovedSinceClosing(
        best: FencedDatabase,
        stopped: readonly FencedDatabase[],
    ): readonly FencedDatabase[] {
        const answeredMs = this.closedInstances.lastAnswerBeyond(best.receivedPosition!);
        const lapsedMs = Math.max(answeredMs, ...this.openLeases().map(({ untilMs }) => untilMs));
        return this.withLog(stopped).filter(({ provedStoppedMs }) => provedStoppedMs <= lapsedMs);
    }

    /** Leases of instances that have not answered that they acknowledge nothing further. */
    private openLeases(): readonly WitnessLease[] {
        return this.options.witnesses.leases().filter(({ attachmentId }) =>
            attachmentId === undefined || !this.closedInstances.has(attachmentId)
        );
    }

    private isFurthestSinceClosing(chosen: FencedDatabase): boolean {
        const stopped = this.stoppedDatabases();
        return stopped.every(({ receivedPosition }) => hasReached(chosen.receivedPosition!, receivedPosition!))
            && this.holdsReached(chosen) && this.holdsConfirmedCommits(chosen, stopped)
            && this.unprovedSinceClosing(chosen, stopped).length === 0;
    }

    private waitFor(wait: PromotionWait): undefined {
        this.wait = wait;
        return undefined;
    }

    /** Whether no commit can be acknowledged: the primary is gone, or every replica has stopped or is gone. */
    private commitsAreBlocked(): boolean {
        const databases = [...this.databases.values()];
        const primary = this.primary();
        return primary !== undefined && isDown(primary)
            || databases.filter(database => database !== primary).every(isDown);
    }

    /** Discards the answers of instances once commits can be acknowledged again. */
    private discardOutdatedReports(): void {
        if (!this.commitsAreBlocked()) {
            this.survey.discard();
        }
    }

    /** Whether the database holds all commits that instances have seen acknowledged. */
    private holdsReportedCommits({ receivedPosition }: FencedDatabase): boolean {
        return this.survey.isCoveredBy(receivedPosition!);
    }

    /** Unless the primary steps down first, whose last position tells what was acknowledged. */
    private closeInstances(nowMs: number): readonly Message[] {
        const stepsDown = this.awaitsStepDown(nowMs) || this.finalPosition !== undefined;
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
        return (hasWaited || asksAtOnce) && this.commitsAreBlocked() ? this.survey.ask(nowMs) : [];
    }

    /** A replica that has caught up with the primary, or the primary itself if none catches up in time. */
    private chooseCaughtUpReplica(nowMs: number): string | undefined {
        const others = [...this.databases.values()].filter(database => !this.isPrimary(database));
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
                ? ready.databaseId
                : this.waitFor(PromotionWait.DatabaseWithLastCommit);
        }
        if (!hasWaited) {
            return this.waitFor(PromotionWait.CatchUp);
        }
        const primary = this.primary();
        if (primary?.stopped === true && !primary.hasLostLog) {
            return this.mayLead(primary.databaseId)
                ? primary.databaseId
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

    private primary(): FencedDatabase | undefined {
        return [...this.databases.values()].find(database => this.isPrimary(database));
    }

    private isPrimary({ member }: FencedDatabase): boolean {
        return member.address === this.primaryAddress;
    }

    private databaseOfLink(linkId: string): FencedDatabase | undefined {
        return [...this.databases.values()].find(database => database.owns(linkId));
    }
}

function positionText(position: Position | undefined): string {
    return position === undefined ? "-" : `${position.term}.${position.offset}`;
}

/** Whether a database holds what it confirmed, as far as is known. One that is empty may have started again just now. */
function hasKeptLog({ hasLostLog, receivedPosition }: FencedDatabase): boolean {
    return !hasLostLog && receivedPosition!.offset > 0;
}

/** Whether a database has received the log up to a position; true if there is none. */
function holdsUpTo({ receivedPosition }: FencedDatabase, position: Position | undefined): boolean {
    return position === undefined || receivedPosition !== undefined && hasReached(receivedPosition, position);
}

/** Whether a database neither confirms nor acknowledges commits, as far as its machine answers. */
function isDown({ stopped, hasNoListener }: FencedDatabase): boolean {
    return stopped || hasNoListener;
}
