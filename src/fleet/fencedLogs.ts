/** What the logs of the databases that take part in a promotion hold, as far as is known while they are being fenced. */
import { hasReached, type Position } from "../model/position.ts";
import { PromotionRule } from "../model/promotionDecision.ts";
import type { ClosedInstances } from "./closedInstances.ts";
import type { CommitSurvey } from "./commitSurvey.ts";
import type { WitnessLease } from "./commitWitnesses.ts";
import type { ElectorateMember } from "./electorate.ts";
import type { FencedDatabase } from "./fencedDatabase.ts";
import type { FencingOptions } from "./fencingOptions.ts";

export interface FencedLogsOptions {
    readonly options: FencingOptions;
    readonly databases: ReadonlyMap<string, FencedDatabase>;
    readonly closedInstances: ClosedInstances;
    readonly survey: CommitSurvey;
    /** Address of the primary, which it keeps when it starts again under another id. */
    readonly primaryAddress: string | undefined;
}

export class FencedLogs {
    private readonly options: FencingOptions;
    private readonly databases: ReadonlyMap<string, FencedDatabase>;
    private readonly closedInstances: ClosedInstances;
    private readonly survey: CommitSurvey;
    private readonly primaryAddress: string | undefined;

    constructor({ options, databases, closedInstances, survey, primaryAddress }: FencedLogsOptions) {
        this.options = options;
        this.databases = databases;
        this.closedInstances = closedInstances;
        this.survey = survey;
        this.primaryAddress = primaryAddress;
    }

    stoppedDatabases(): readonly FencedDatabase[] {
        return [...this.databases.values()].filter(database => database.stopped);
    }

    /**
     * Number of databases that may have confirmed commits and have not stopped with them. The processes of one database count
     * once: no commit was confirmed by two of them.
     */
    missingCount(stopped: readonly FencedDatabase[]): number {
        const withLog = this.withLog(stopped).map(({ databaseId }) => databaseId);
        const missing = new Set([...this.databases.keys()].filter(databaseId => !withLog.includes(databaseId)));
        this.lostMembers().forEach(({ databaseId }) => missing.add(databaseId));
        return missing.size;
    }

    /**
     * Whether `best` holds what replicas had confirmed before they stopped: an acknowledged commit is on the primary and on
     * `synchronousReplicas` others, so on one of those that stopped.
     */
    holdsConfirmedCommits(best: FencedDatabase, stopped: readonly FencedDatabase[]): boolean {
        return this.confirmationRule(best, stopped) !== undefined;
    }

    /** Why `best` holds what replicas had confirmed; undefined if that is not known. */
    confirmationRule(best: FencedDatabase, stopped: readonly FencedDatabase[]): PromotionRule | undefined {
        const missingCount = this.missingCount(stopped);
        // What no log has any more, an order may have rolled back that was executed without being seen; nothing else can hold it.
        const holdsMost = missingCount === 0 || this.holdsBase(best);
        if (missingCount <= this.options.synchronousReplicas && holdsMost) {
            return PromotionRule.ConfirmationsStopped;
        }
        return stopped.some(database => this.holdsPrimaryLog(database)) ? PromotionRule.FormerPrimaryLog : undefined;
    }

    /** Recorded databases that have ended without a successor that has their logs. */
    lostMembers(): readonly ElectorateMember[] {
        return this.options.members().filter(({ isLost }) => isLost);
    }

    isLost(databaseId: string): boolean {
        return this.lostMembers().some(lost => lost.databaseId === databaseId);
    }

    /** Whether no log was lost at the address of the database, neither in this promotion nor, as recorded, before. */
    keepsLog({ member, hasLostLog }: FencedDatabase): boolean {
        return !hasLostLog && !this.lostMembers().some(({ address }) => address === member.address);
    }

    /**
     * Whether the database holds the commits that instances had acknowledged when they stopped to. What they tell is an upper
     * bound, beyond which the log of a lost primary may have had commits that nobody acknowledged.
     */
    holdsClosedCommits(database: FencedDatabase): boolean {
        return holdsUpTo(database, this.closedInstances.highestLogEnd());
    }

    /** Whether the database holds the commits that were certainly acknowledged, as far as instances have answered. */
    holdsReached(database: FencedDatabase): boolean {
        return holdsUpTo(database, this.closedInstances.highestReached());
    }

    /**
     * The databases that were not shown to be still stopped after the last instance had answered that may have acknowledged
     * commits beyond `best`. If there is none, what was acknowledged had been confirmed by a database that has stopped.
     */
    unprovedSinceClosing(
        best: FencedDatabase,
        stopped: readonly FencedDatabase[],
    ): readonly FencedDatabase[] {
        const answeredMs = this.closedInstances.lastAnswerBeyond(best.receivedPosition!);
        const endedMs = Math.max(answeredMs, this.lastLeaseEnd());
        return this.withLog(stopped).filter(({ provedStoppedMs }) => provedStoppedMs <= endedMs);
    }

    /** End of the last lease of an instance that has not answered; -Infinity if there is none. */
    lastLeaseEnd(): number {
        return Math.max(...this.openLeases().map(({ untilMs }) => untilMs));
    }

    /** Leases of instances that have not answered that they acknowledge nothing further. */
    openLeases(): readonly WitnessLease[] {
        return this.options.witnesses.leases().filter(({ attachmentId }) =>
            attachmentId === undefined || !this.closedInstances.has(attachmentId)
        );
    }

    isFurthestSinceClosing(chosen: FencedDatabase): boolean {
        const stopped = this.stoppedDatabases();
        return stopped.every(({ receivedPosition }) => hasReached(chosen.receivedPosition!, receivedPosition!))
            && this.holdsReached(chosen) && this.holdsConfirmedCommits(chosen, stopped)
            && this.unprovedSinceClosing(chosen, stopped).length === 0;
    }

    /** Whether no commit can be acknowledged: the primary is gone, or every replica has stopped or is gone. */
    commitsAreBlocked(): boolean {
        const databases = [...this.databases.values()];
        const primary = this.primary();
        return primary !== undefined && isDown(primary)
            || databases.filter(database => database !== primary).every(isDown);
    }

    /** Whether the database holds all commits that instances have seen acknowledged. */
    holdsReportedCommits({ receivedPosition }: FencedDatabase): boolean {
        return this.survey.isCoveredBy(receivedPosition!);
    }

    primary(): FencedDatabase | undefined {
        return [...this.databases.values()].find(database => this.isPrimary(database));
    }

    isPrimary({ member }: FencedDatabase): boolean {
        return member.address === this.primaryAddress;
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

    /** Whether nothing speaks for a commit of the service: no replica has one, and no instance has seen one. */
    private isServiceEmpty(stopped: readonly FencedDatabase[]): boolean {
        return this.options.basePosition === undefined && this.lostMembers().length === 0
            && stopped.every(({ hasLostLog, receivedPosition }) => !hasLostLog && receivedPosition!.offset === 0)
            && this.survey.hasSeenNoCommit();
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

    /** Whether the database holds what the last promotion kept, of which other databases may have lost their copies. */
    private holdsBase(database: FencedDatabase): boolean {
        return holdsUpTo(database, this.options.basePosition);
    }
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
