/** Makes sure that no further commit is acknowledged, and finds the database that holds all that were. */
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

/** Time that a replica which does not answer may still come back before the choice is made without it. */
const replicaWaitMs = 1_200;

/** Wait before a database is asked or connected to again. */
const retryDelayMs = 60;

/** Time that replicas have to catch up with a primary that has stepped down. */
const catchUpTimeoutMs = 1_000;

/** Time after which a connection that does not open is tried again. */
const openTimeoutMs = 600;

/** Wait before instances that have not told what they saw acknowledged are asked again; above their way on a full link. */
const questionRetryMs = 500;

interface DatabaseState {
    readonly report: DatabaseReport;
    linkId: string | undefined;
    isOpen: boolean;
    openStartedAtMs: number;
    status: DatabaseStatus | undefined;
    /** It has stopped: as a replica receiving, as a primary leading. */
    stopped: boolean;
    /** No process listens at its address. */
    hasNoListener: boolean;
    /** A command is under way. */
    commandPending: boolean;
    retryAtMs: number;
}

/** What an instance told, on the clock of this member. */
interface CommitReport {
    readonly highest: Position | undefined;
    /** Not after its highest commit was sent; undefined when that isn't known. */
    readonly sentMs: number | undefined;
    /** Not before its process began to watch. */
    readonly watchedFromMs: number;
}

export interface FencingOptions {
    readonly service: string;
    /** Fence of the promotion, which no other fencing of the service has. */
    readonly fence: number;
    readonly reports: readonly DatabaseReport[];
    readonly primaryId: string | undefined;
    /** The primary is there and leaves; it steps down first, and replicas catch up with it. */
    readonly planned: boolean;
    /** A commit is acknowledged only after a replica has received it. */
    readonly synchronous: boolean;
    /** Instances that may have seen acknowledgements, by their attachments; attachments come and go. */
    readonly servingByAttachment: ReadonlyMap<string, ServingInstance>;
    nextLinkId(): string;
    readonly startedMs: number;
}

export interface FencingDecision {
    readonly messages: readonly Message[];
    /** The database to promote; undefined while it is not certain. */
    readonly chosenDatabaseId: string | undefined;
    /** An earlier order was carried out, and nothing is left to do. */
    readonly alreadyLeads: boolean;
}

export class Fencing {
    private readonly options: FencingOptions;
    private readonly databases = new Map<string, DatabaseState>();
    /** Instances whose answers are needed; one whose attachment ends may have seen the last commit. */
    private readonly requiredInstances = new Set<string>();
    private readonly commitReports = new Map<string, CommitReport>();
    /** Rises each time that commits can be acknowledged again, which takes the worth from earlier answers. */
    private round = 0;
    /** When the first question of the round was sent. */
    private roundStartedAtMs = 0;
    /** Position of the primary when it had stepped down. */
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
        return [...this.databases.values()].flatMap(database => this.connect(database, this.options.startedMs));
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
            database.status = { leads: false, term: position.term, received: position };
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
            this.finalPosition = reply.status.received;
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
            // A replica that starts again receives again.
            database.stopped = this.isPrimary(database) && database.stopped;
            this.discardOutdatedReports();
        }
        return [];
    }

    /** Notes an answer of an instance. One that was given before nothing more could be acknowledged says too little. */
    recordCommitsSeen(attachmentId: string, frame: CommitsSeenFrame, nowMs: number): void {
        const { highest, sentAgeMs, watchedMs, questionId } = frame;
        const instance = this.options.servingByAttachment.get(attachmentId);
        if (
            instance !== undefined && this.lastQuestionAtMs !== undefined && questionId === this.questionId()
        ) {
            this.commitReports.set(instance.instanceId, {
                highest,
                sentMs: sentAgeMs === undefined ? undefined : this.roundStartedAtMs - sentAgeMs,
                // A step of the instance's clock makes the first too early, a step of the clock here the second.
                watchedFromMs: Math.max(nowMs - watchedMs, instance.attachedAtMs),
            });
        }
    }

    decide(nowMs: number): FencingDecision {
        const messages = [...this.databases.values()].flatMap(database => this.continueWith(database, nowMs));
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

    /** Lets the replicas receive again and closes the links. */
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

    private continueWith(database: DatabaseState, nowMs: number): readonly Message[] {
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

    /** The next command for a database whose link is open. */
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
            // The primary has stopped; what it has shipped may arrive.
            return { kind: database.stopped ? LinkCommandKind.Resume : LinkCommandKind.Status };
        }
        // On a planned change the replicas go on receiving, unless the primary goes away before it has stepped down.
        if (this.options.planned && nowMs - this.options.startedMs < replicaWaitMs) {
            return undefined;
        }
        return database.stopped ? undefined : { kind: LinkCommandKind.Pause, term: this.nextTerm() };
    }

    private nextTerm(): number {
        const terms = [...this.databases.values()].map(({ status }) => status?.term ?? 0);
        return Math.max(0, ...terms) + 1;
    }

    /** A database other than the old primary that leads already. */
    private newLeader(): DatabaseState | undefined {
        return this.replicas().find(({ status }) => status?.leads === true);
    }

    /** The furthest replica, if nothing beyond it can have been acknowledged. */
    private chooseFurthestReplica(nowMs: number): string | undefined {
        const replicas = this.replicas();
        const stopped = replicas.filter(database => database.stopped);
        const best = mostAdvanced(stopped);
        if (best === undefined || this.options.planned && nowMs - this.options.startedMs < replicaWaitMs) {
            return undefined;
        }
        if (!this.options.synchronous) {
            const hasWaited = nowMs - this.options.startedMs >= retryDelayMs;
            return stopped.length === replicas.length || hasWaited ? best.report.databaseId : undefined;
        }
        if (stopped.length === replicas.length) {
            return best.report.databaseId;
        }
        const isWaiting = nowMs - this.options.startedMs < replicaWaitMs;
        return isWaiting || !this.commitsAreBlocked() || !this.holdsAcknowledgedCommits(best)
            ? undefined
            : best.report.databaseId;
    }

    /** Nothing can be acknowledged any more: the primary is gone, or every replica has stopped or is gone. */
    private commitsAreBlocked(): boolean {
        const primary = this.databases.get(this.options.primaryId ?? "");
        return primary === undefined || primary.hasNoListener || primary.stopped
            || this.replicas().every(database => database.stopped || database.hasNoListener);
    }

    /** Answers count only while nothing can be acknowledged after them. */
    private discardOutdatedReports(): void {
        if (this.lastQuestionAtMs !== undefined && !this.commitsAreBlocked()) {
            this.round++;
            this.commitReports.clear();
            this.lastQuestionAtMs = undefined;
        }
    }

    /** Every instance has vouched for its highest acknowledged commit, and the database has them all. */
    private holdsAcknowledgedCommits({ status }: DatabaseState): boolean {
        const reports = [...this.commitReports.values()];
        const complete = [...this.requiredInstances].every(instanceId => this.commitReports.has(instanceId));
        return complete && reports.every(commitReport => coversEarlierProcesses(commitReport, reports))
            && reports.every(({ highest }) => highest === undefined || hasReached(status!.received, highest));
    }

    /** Asks for acknowledgements once nothing more can be acknowledged, and again where the answer stays out. */
    private askForCommits(nowMs: number): readonly Message[] {
        const { service, servingByAttachment, startedMs } = this.options;
        servingByAttachment.forEach(({ instanceId }) => this.requiredInstances.add(instanceId));
        if (
            nowMs - startedMs < replicaWaitMs || !this.commitsAreBlocked()
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

    /** Tells answers to this question from those to earlier ones, which may arrive late on a full link. */
    private questionId(): string {
        return `${this.options.fence}/${this.round}`;
    }

    /** A replica that has all that the primary had; the primary itself if none gets there. */
    private chooseCaughtUpReplica(nowMs: number): string | undefined {
        const reached = this.replicas().filter(({ status }) =>
            status !== undefined && hasReached(status.received, this.finalPosition!)
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
 * Whether an answer covers earlier processes under the same id as well, whose acknowledgements their successor doesn't
 * know. All of those are older than the successor, so that any commit sent since, by whichever instance, is beyond them.
 */
function coversEarlierProcesses({ highest, watchedFromMs }: CommitReport, reports: readonly CommitReport[]): boolean {
    return highest !== undefined || reports.some(({ sentMs }) => sentMs !== undefined && sentMs >= watchedFromMs);
}

/** The furthest database; of equal ones, one that stays. */
function mostAdvanced(databases: readonly DatabaseState[]): DatabaseState | undefined {
    return [...databases].sort((left, right) => {
        const later = hasReached(left.status!.received, right.status!.received);
        const earlier = hasReached(right.status!.received, left.status!.received);
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
