/**
 * Fencing before a promotion: makes sure that no further commit of a service can be acknowledged, and chooses a
 * database that holds all acknowledged commits.
 */
import {
    type CommitsSeenFrame,
    type DatabaseReport,
    FleetKind,
    ReportedState,
    type SendFrame,
} from "../model/fleetMessages.ts";
import {
    type DatabaseStatus,
    type LinkCommand,
    LinkCommandKind,
    LinkKind,
    LinkLoss,
    type LinkLost,
    type LinkOpened,
    type LinkReplied,
} from "../model/linkMessages.ts";
import { hasReached, type Position } from "../model/position.ts";
import type { Message } from "../pipeline/message.ts";
import type { ServingInstance } from "./promotions.ts";

/** Time to wait for a replica that does not answer before a database is chosen without it. */
const replicaWaitMs = 1_200;

/** Delay before a command is sent to a database again, or a connection to it is opened again. */
const retryDelayMs = 60;

/** Time that replicas have to catch up with a primary that has stepped down. */
const catchUpTimeoutMs = 1_000;

/** Time after which a connection that is still opening is closed and opened again. */
const openTimeoutMs = 600;

/**
 * Delay before instances that have not reported their acknowledged commits are asked again; longer than the round trip
 * on a congested network link.
 */
const questionRetryMs = 500;

interface DatabaseState {
    readonly report: DatabaseReport;
    linkId: string | undefined;
    isOpen: boolean;
    openStartedAtMs: number;
    status: DatabaseStatus | undefined;
    /** A replica has stopped receiving, or the primary has stepped down. */
    stopped: boolean;
    /** No process listens at the database's address. */
    hasNoListener: boolean;
    /** A command was sent and is not answered yet. */
    commandPending: boolean;
    retryAtMs: number;
}

/** The acknowledged commits that an instance reported, with times on the clock of this member. */
interface CommitReport {
    readonly highest: Position | undefined;
    /** Lower bound of the time at which the highest commit was sent; undefined if unknown. */
    readonly sentAtMs: number | undefined;
    /** Upper bound of the time at which the instance's process began to record commits. */
    readonly watchedFromMs: number;
}

export interface FencingOptions {
    readonly service: string;
    /** Fencing token of the promotion; unique among the promotions of the service. */
    readonly fence: number;
    readonly reports: readonly DatabaseReport[];
    readonly primaryId: string | undefined;
    /** The primary is reachable and shutting down: it steps down first, then the replicas catch up with it. */
    readonly planned: boolean;
    /** Replication is synchronous: a commit is acknowledged only after a replica has received it. */
    readonly synchronous: boolean;
    /** Instances that may have seen acknowledgements, by attachment id; updated as attachments open and end. */
    readonly servingByAttachment: ReadonlyMap<string, ServingInstance>;
    nextLinkId(): string;
    readonly startedAtMs: number;
}

export interface FencingDecision {
    readonly messages: readonly Message[];
    /** The database to promote; undefined while none can be chosen safely. */
    readonly chosenDatabaseId: string | undefined;
    /** The database already leads, because an earlier order was executed; no order is needed. */
    readonly alreadyLeads: boolean;
}

export class Fencing {
    private readonly options: FencingOptions;
    private readonly databases = new Map<string, DatabaseState>();
    /** Instances that must answer; also those whose attachment ended, as they may have seen the last commit. */
    private readonly requiredInstances = new Set<string>();
    private readonly commitReports = new Map<string, CommitReport>();
    /** Incremented whenever commits can be acknowledged again, which invalidates earlier answers. */
    private round = 0;
    /** Time at which the first question of the round was sent. */
    private roundStartedAtMs = 0;
    /** Position of the primary after it stepped down. */
    private finalPosition: Position | undefined;
    private steppedDownAtMs = 0;
    private lastQuestionAtMs: number | undefined;

    constructor(options: FencingOptions) {
        this.options = options;
        for (const report of options.reports) {
            this.databases.set(report.databaseId, {
                report,
                linkId: undefined,
                isOpen: false,
                openStartedAtMs: 0,
                status: undefined,
                stopped: false,
                hasNoListener: false,
                commandPending: false,
                retryAtMs: 0,
            });
        }
    }

    open(): readonly Message[] {
        return [...this.databases.values()].flatMap(database => this.connect(database, this.options.startedAtMs));
    }

    linkOpened({ linkId, position }: LinkOpened, nowMs: number): readonly Message[] {
        const database = this.databaseOfLink(linkId);
        if (database === undefined) {
            return [];
        }
        database.isOpen = true;
        database.hasNoListener = false;
        this.discardOutdatedReports();
        if (position !== undefined && database.status === undefined) {
            database.status = { leads: false, term: position.term, receivedPosition: position };
        }
        return this.sendNextCommand(database, nowMs);
    }

    linkReplied({ linkId, reply }: LinkReplied, nowMs: number): readonly Message[] {
        const database = this.databaseOfLink(linkId);
        if (database === undefined) {
            return [];
        }
        database.commandPending = false;
        database.retryAtMs = nowMs + retryDelayMs;
        if (reply.fault !== undefined || reply.status === undefined) {
            return [];
        }
        database.status = reply.status;
        database.stopped ||= this.isPrimary(database) ? !reply.status.leads : true;
        if (this.isPrimary(database) && database.stopped && this.finalPosition === undefined) {
            this.finalPosition = reply.status.receivedPosition;
            this.steppedDownAtMs = nowMs;
        }
        return [];
    }

    linkLost({ linkId, loss }: LinkLost, nowMs: number): readonly Message[] {
        const database = this.databaseOfLink(linkId);
        if (database !== undefined) {
            Object.assign(database, {
                linkId: undefined,
                isOpen: false,
                commandPending: false,
                retryAtMs: nowMs + retryDelayMs,
            });
            database.hasNoListener = loss === LinkLoss.NoListener;
            // A restarted replica receives again.
            database.stopped = this.isPrimary(database) && database.stopped;
            this.discardOutdatedReports();
        }
        return [];
    }

    /** Records the answer of an instance, unless commits could still be acknowledged after the question. */
    recordCommitsSeen(attachmentId: string, frame: CommitsSeenFrame, nowMs: number): void {
        const { highest, sentAgeMs, watchedMs, questionId } = frame;
        const instance = this.options.servingByAttachment.get(attachmentId);
        if (
            instance !== undefined && this.lastQuestionAtMs !== undefined && questionId === this.questionId()
        ) {
            this.commitReports.set(instance.instanceId, {
                highest,
                sentAtMs: sentAgeMs === undefined ? undefined : this.roundStartedAtMs - sentAgeMs,
                // The maximum guards against clock steps: one on the instance makes the first value too early, one on
                // this member the second.
                watchedFromMs: Math.max(nowMs - watchedMs, instance.attachedAtMs),
            });
        }
    }

    decide(nowMs: number): FencingDecision {
        const messages = [...this.databases.values()].flatMap(database => this.connectOrCommand(database, nowMs));
        const leader = this.newLeader();
        if (leader !== undefined) {
            return { messages, chosenDatabaseId: leader.report.databaseId, alreadyLeads: true };
        }
        const questions = this.askForCommits(nowMs);
        const chosenDatabaseId = this.finalPosition === undefined
            ? this.chooseFurthestReplica(nowMs)
            : this.chooseCaughtUpReplica(nowMs);
        return { messages: [...messages, ...questions], chosenDatabaseId, alreadyLeads: false };
    }

    /** Lets the replicas resume receiving and closes the links. */
    resumeAndClose(): readonly Message[] {
        const resumed = [...this.databases.values()].filter(({ isOpen }) => isOpen).map(({ linkId }) =>
            sendCommand(linkId!, { kind: LinkCommandKind.Resume })
        );
        return [...resumed, ...this.close()];
    }

    close(): readonly Message[] {
        return [...this.databases.values()].flatMap(({ linkId }) =>
            linkId === undefined ? [] : [{ kind: LinkKind.Close, linkId } as Message]
        );
    }

    private connect(database: DatabaseState, nowMs: number): readonly Message[] {
        const { databaseId, address, service } = database.report;
        database.linkId = this.options.nextLinkId();
        database.openStartedAtMs = nowMs;
        return [
            { kind: LinkKind.Open, linkId: database.linkId, address, service, workspace: "", databaseId } as Message,
        ];
    }

    private connectOrCommand(database: DatabaseState, nowMs: number): readonly Message[] {
        if (nowMs < database.retryAtMs || database.commandPending) {
            return [];
        }
        if (database.linkId === undefined) {
            return this.connect(database, nowMs);
        }
        if (!database.isOpen) {
            if (nowMs - database.openStartedAtMs < openTimeoutMs) {
                return [];
            }
            const close = { kind: LinkKind.Close, linkId: database.linkId } as Message;
            return [close, ...this.connect(database, nowMs)];
        }
        return this.sendNextCommand(database, nowMs);
    }

    private sendNextCommand(database: DatabaseState, nowMs: number): readonly Message[] {
        if (database.commandPending || nowMs < database.retryAtMs) {
            return [];
        }
        const command = this.nextCommand(database, nowMs);
        if (command === undefined) {
            return [];
        }
        database.commandPending = true;
        return [sendCommand(database.linkId!, command)];
    }

    private nextCommand(database: DatabaseState, nowMs: number): LinkCommand | undefined {
        if (this.isPrimary(database)) {
            return database.stopped ? undefined : { kind: LinkCommandKind.StepDown, term: this.nextTerm() };
        }
        if (this.finalPosition !== undefined) {
            // The primary has stopped; entries that it has already sent may still arrive.
            return { kind: database.stopped ? LinkCommandKind.Resume : LinkCommandKind.Status };
        }
        // In a planned change the replicas keep receiving, unless the primary is lost before it has stepped down.
        if (this.options.planned && nowMs - this.options.startedAtMs < replicaWaitMs) {
            return undefined;
        }
        return database.stopped ? undefined : { kind: LinkCommandKind.Pause, term: this.nextTerm() };
    }

    private nextTerm(): number {
        const terms = [...this.databases.values()].map(({ status }) => status?.term ?? 0);
        return Math.max(0, ...terms) + 1;
    }

    /** A database other than the former primary that already leads. */
    private newLeader(): DatabaseState | undefined {
        return this.replicas().find(({ status }) => status?.leads === true);
    }

    /** The replica with the highest position, if no commit beyond that position can have been acknowledged. */
    private chooseFurthestReplica(nowMs: number): string | undefined {
        const replicas = this.replicas();
        const stopped = replicas.filter(database => database.stopped);
        const best = mostAdvanced(stopped);
        if (best === undefined || this.options.planned && nowMs - this.options.startedAtMs < replicaWaitMs) {
            return undefined;
        }
        if (!this.options.synchronous) {
            const hasWaited = nowMs - this.options.startedAtMs >= retryDelayMs;
            return stopped.length === replicas.length || hasWaited ? best.report.databaseId : undefined;
        }
        if (stopped.length === replicas.length) {
            return best.report.databaseId;
        }
        const isWaiting = nowMs - this.options.startedAtMs < replicaWaitMs;
        return isWaiting || !this.commitsAreBlocked() || !this.holdsAcknowledgedCommits(best)
            ? undefined
            : best.report.databaseId;
    }

    /** Whether no commit can be acknowledged: the primary is gone, or every replica has stopped or is gone. */
    private commitsAreBlocked(): boolean {
        const primary = this.databases.get(this.options.primaryId ?? "");
        return primary === undefined || primary.hasNoListener || primary.stopped
            || this.replicas().every(database => database.stopped || database.hasNoListener);
    }

    /** Discards the answers of instances once commits can be acknowledged again. */
    private discardOutdatedReports(): void {
        if (this.lastQuestionAtMs !== undefined && !this.commitsAreBlocked()) {
            this.round++;
            this.commitReports.clear();
            this.lastQuestionAtMs = undefined;
        }
    }

    /** Whether every instance has reported its highest acknowledged commit, and the database holds all of them. */
    private holdsAcknowledgedCommits({ status }: DatabaseState): boolean {
        const reports = [...this.commitReports.values()];
        const allAnswered = [...this.requiredInstances].every(instanceId => this.commitReports.has(instanceId));
        return allAnswered && reports.every(commitReport => coversEarlierProcesses(commitReport, reports))
            && reports.every(({ highest }) => highest === undefined || hasReached(status!.receivedPosition, highest));
    }

    /**
     * Asks the instances for their acknowledged commits once commits are blocked; asks again those that do not answer.
     */
    private askForCommits(nowMs: number): readonly Message[] {
        const { service, servingByAttachment, startedAtMs } = this.options;
        servingByAttachment.forEach(({ instanceId }) => this.requiredInstances.add(instanceId));
        if (
            nowMs - startedAtMs < replicaWaitMs || !this.commitsAreBlocked()
            || nowMs - (this.lastQuestionAtMs ?? -Infinity) < questionRetryMs
        ) {
            return [];
        }
        if (this.lastQuestionAtMs === undefined) {
            this.roundStartedAtMs = nowMs;
        }
        this.lastQuestionAtMs = nowMs;
        return [...servingByAttachment].filter(([, { instanceId }]) => !this.commitReports.has(instanceId))
            .map(([attachmentId]): SendFrame => ({
                kind: FleetKind.SendFrame,
                attachmentId,
                frame: { kind: "commits_asked", questionId: this.questionId(), service },
            }));
    }

    /** Distinguishes answers to the current question from late answers to earlier ones. */
    private questionId(): string {
        return `${this.options.fence}/${this.round}`;
    }

    /** A replica that has caught up with the primary, or the primary itself if none catches up in time. */
    private chooseCaughtUpReplica(nowMs: number): string | undefined {
        const reached = this.replicas().filter(({ status }) =>
            status !== undefined && hasReached(status.receivedPosition, this.finalPosition!)
        );
        const ready = reached.find(({ report }) => report.state === ReportedState.Ready);
        if (ready !== undefined) {
            return ready.report.databaseId;
        }
        return nowMs - this.steppedDownAtMs < catchUpTimeoutMs ? undefined : this.options.primaryId;
    }

    private replicas(): readonly DatabaseState[] {
        return [...this.databases.values()].filter(database => !this.isPrimary(database));
    }

    private isPrimary({ report }: DatabaseState): boolean {
        return report.databaseId === this.options.primaryId;
    }

    private databaseOfLink(linkId: string): DatabaseState | undefined {
        return [...this.databases.values()].find(database => database.linkId === linkId);
    }
}

/**
 * Whether a report also covers earlier processes of the same instance, whose acknowledgements the current process does
 * not know. Those processes ended before the current one started, so every commit that any instance sent after its
 * start has a higher position than the commits that they saw.
 */
function coversEarlierProcesses({ highest, watchedFromMs }: CommitReport, reports: readonly CommitReport[]): boolean {
    return highest !== undefined || reports.some(({ sentAtMs }) => sentAtMs !== undefined && sentAtMs >= watchedFromMs);
}

/** The database with the highest position; among equals, preferably one that is not draining. */
function mostAdvanced(databases: readonly DatabaseState[]): DatabaseState | undefined {
    return [...databases].sort((left, right) => {
        const later = hasReached(left.status!.receivedPosition, right.status!.receivedPosition);
        const earlier = hasReached(right.status!.receivedPosition, left.status!.receivedPosition);
        if (later && earlier) {
            return Number(right.report.state === ReportedState.Ready)
                - Number(left.report.state === ReportedState.Ready);
        }
        return later ? -1 : 1;
    })[0];
}

function sendCommand(linkId: string, command: LinkCommand): Message {
    return { kind: LinkKind.Send, linkId, commands: [command] } as Message;
}
