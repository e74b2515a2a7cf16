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
const patienceMs = 1_200;

/** Wait before a database is asked or connected to again. */
const repeatMs = 60;

/** Time that replicas have to catch up with a primary that has stepped down. */
const catchUpMs = 1_000;

/** Time after which a connection that does not open is tried again. */
const openLimitMs = 600;

/** Wait before instances that have not told what they saw acknowledged are asked again; above their way on a full link. */
const repeatQuestionMs = 500;

interface Party {
    readonly report: DatabaseReport;
    linkId: string | undefined;
    opened: boolean;
    openedMs: number;
    status: DatabaseStatus | undefined;
    /** It has stopped: as a replica receiving, as a primary leading. */
    stopped: boolean;
    /** No process listens at its address. */
    absent: boolean;
    /** A command is under way. */
    asked: boolean;
    retryAtMs: number;
}

/** What an instance told, on the clock of this member. */
interface Testimony {
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
    private readonly parties = new Map<string, Party>();
    /** Instances whose answers are needed; one whose attachment ends may have seen the last commit. */
    private readonly witnesses = new Set<string>();
    private readonly testimonies = new Map<string, Testimony>();
    /** Rises each time that commits can be acknowledged again, which takes the worth from earlier answers. */
    private round = 0;
    /** When the first question of the round was sent. */
    private roundStartedMs = 0;
    /** Position of the primary when it had stepped down. */
    private target: Position | undefined;
    private steppedDownMs = 0;
    private askedAcknowledgementsMs: number | undefined;

    constructor(options: FencingOptions) {
        this.options = options;
        for (const report of options.reports) {
            this.parties.set(report.databaseId, {
                report,
                linkId: undefined,
                opened: false,
                openedMs: 0,
                status: undefined,
                stopped: false,
                absent: false,
                asked: false,
                retryAtMs: 0,
            });
        }
    }

    open(): readonly Message[] {
        return [...this.parties.values()].flatMap(party => this.connect(party, this.options.startedMs));
    }

    linkOpened({ linkId, position }: LinkOpened, nowMs: number): readonly Message[] {
        const party = this.partyOf(linkId);
        if (party === undefined) {
            return [];
        }
        party.opened = true;
        party.absent = false;
        this.checkSilence();
        if (position !== undefined && party.status === undefined) {
            party.status = { leads: false, term: position.term, received: position };
        }
        return this.ask(party, nowMs);
    }

    linkReplied({ linkId, reply }: LinkReplied, nowMs: number): readonly Message[] {
        const party = this.partyOf(linkId);
        if (party === undefined) {
            return [];
        }
        party.asked = false;
        party.retryAtMs = nowMs + repeatMs;
        if (reply.fault !== undefined || reply.status === undefined) {
            return [];
        }
        party.status = reply.status;
        party.stopped ||= this.isPrimary(party) ? !reply.status.leads : true;
        if (this.isPrimary(party) && party.stopped && this.target === undefined) {
            this.target = reply.status.received;
            this.steppedDownMs = nowMs;
        }
        return [];
    }

    linkLost({ linkId, loss }: LinkLost, nowMs: number): readonly Message[] {
        const party = this.partyOf(linkId);
        if (party !== undefined) {
            Object.assign(party, { linkId: undefined, opened: false, asked: false, retryAtMs: nowMs + repeatMs });
            party.absent = loss === LinkLoss.NoListener;
            // A replica that starts again receives again.
            party.stopped = this.isPrimary(party) && party.stopped;
            this.checkSilence();
        }
        return [];
    }

    /** Notes an answer of an instance. One that was given before nothing more could be acknowledged says too little. */
    recordCommitsSeen(attachmentId: string, frame: CommitsSeenFrame, nowMs: number): void {
        const { highest, sentAgeMs, watchedMs, questionId } = frame;
        const instance = this.options.servingByAttachment.get(attachmentId);
        if (
            instance !== undefined && this.askedAcknowledgementsMs !== undefined && questionId === this.questionId()
        ) {
            this.testimonies.set(instance.instanceId, {
                highest,
                sentMs: sentAgeMs === undefined ? undefined : this.roundStartedMs - sentAgeMs,
                // A step of the instance's clock makes the first too early, a step of the clock here the second.
                watchedFromMs: Math.max(nowMs - watchedMs, instance.attachedAtMs),
            });
        }
    }

    decide(nowMs: number): FencingDecision {
        const messages = [...this.parties.values()].flatMap(party => this.advance(party, nowMs));
        const leader = this.newLeader();
        if (leader !== undefined) {
            return { messages, chosenDatabaseId: leader.report.databaseId, alreadyLeads: true };
        }
        const questions = this.askAcknowledgements(nowMs);
        const chosenDatabaseId = this.target === undefined ? this.furthest(nowMs) : this.caughtUp(nowMs);
        return { messages: [...messages, ...questions], chosenDatabaseId, alreadyLeads: false };
    }

    /** Lets the replicas receive again and closes the links. */
    resumeAndClose(): readonly Message[] {
        const resumed = [...this.parties.values()].filter(({ opened }) => opened).map(({ linkId }) =>
            sendTo(linkId!, { kind: LinkCommandKind.Resume })
        );
        return [...resumed, ...this.close()];
    }

    close(): readonly Message[] {
        return [...this.parties.values()].flatMap(({ linkId }) =>
            linkId === undefined ? [] : [{ kind: LinkKind.Close, linkId } as Message]
        );
    }

    private connect(party: Party, nowMs: number): readonly Message[] {
        const { databaseId, address, service } = party.report;
        party.linkId = this.options.nextLinkId();
        party.openedMs = nowMs;
        return [
            { kind: LinkKind.Open, linkId: party.linkId, address, service, workspace: "", databaseId } as Message,
        ];
    }

    private advance(party: Party, nowMs: number): readonly Message[] {
        if (nowMs < party.retryAtMs || party.asked) {
            return [];
        }
        if (party.linkId === undefined) {
            return this.connect(party, nowMs);
        }
        if (!party.opened) {
            if (nowMs - party.openedMs < openLimitMs) {
                return [];
            }
            const close = { kind: LinkKind.Close, linkId: party.linkId } as Message;
            return [close, ...this.connect(party, nowMs)];
        }
        return this.ask(party, nowMs);
    }

    /** The next command for a database whose link is open. */
    private ask(party: Party, nowMs: number): readonly Message[] {
        if (party.asked || nowMs < party.retryAtMs) {
            return [];
        }
        const command = this.nextCommand(party, nowMs);
        if (command === undefined) {
            return [];
        }
        party.asked = true;
        return [sendTo(party.linkId!, command)];
    }

    private nextCommand(party: Party, nowMs: number): LinkCommand | undefined {
        if (this.isPrimary(party)) {
            return party.stopped ? undefined : { kind: LinkCommandKind.StepDown, term: this.nextTerm() };
        }
        if (this.target !== undefined) {
            // The primary has stopped; what it has shipped may arrive.
            return { kind: party.stopped ? LinkCommandKind.Resume : LinkCommandKind.Status };
        }
        // On a planned change the replicas go on receiving, unless the primary goes away before it has stepped down.
        if (this.options.planned && nowMs - this.options.startedMs < patienceMs) {
            return undefined;
        }
        return party.stopped ? undefined : { kind: LinkCommandKind.Pause, term: this.nextTerm() };
    }

    private nextTerm(): number {
        const terms = [...this.parties.values()].map(({ status }) => status?.term ?? 0);
        return Math.max(0, ...terms) + 1;
    }

    /** A database other than the old primary that leads already. */
    private newLeader(): Party | undefined {
        return this.replicas().find(({ status }) => status?.leads === true);
    }

    /** The furthest replica, if nothing beyond it can have been acknowledged. */
    private furthest(nowMs: number): string | undefined {
        const replicas = this.replicas();
        const stopped = replicas.filter(party => party.stopped);
        const best = furthestOf(stopped);
        if (best === undefined || this.options.planned && nowMs - this.options.startedMs < patienceMs) {
            return undefined;
        }
        if (!this.options.synchronous) {
            const waited = nowMs - this.options.startedMs >= repeatMs;
            return stopped.length === replicas.length || waited ? best.report.databaseId : undefined;
        }
        if (stopped.length === replicas.length) {
            return best.report.databaseId;
        }
        const patient = nowMs - this.options.startedMs < patienceMs;
        return patient || !this.isSilenced() || !this.holdsAcknowledged(best) ? undefined : best.report.databaseId;
    }

    /** Nothing can be acknowledged any more: the primary is gone, or every replica has stopped or is gone. */
    private isSilenced(): boolean {
        const primary = this.parties.get(this.options.primaryId ?? "");
        return primary === undefined || primary.absent || primary.stopped
            || this.replicas().every(party => party.stopped || party.absent);
    }

    /** Answers count only while nothing can be acknowledged after them. */
    private checkSilence(): void {
        if (this.askedAcknowledgementsMs !== undefined && !this.isSilenced()) {
            this.round++;
            this.testimonies.clear();
            this.askedAcknowledgementsMs = undefined;
        }
    }

    /** Every instance has vouched for its highest acknowledged commit, and the database has them all. */
    private holdsAcknowledged({ status }: Party): boolean {
        const given = [...this.testimonies.values()];
        const complete = [...this.witnesses].every(instanceId => this.testimonies.has(instanceId));
        return complete && given.every(testimony => vouches(testimony, given))
            && given.every(({ highest }) => highest === undefined || hasReached(status!.received, highest));
    }

    /** Asks for acknowledgements once nothing more can be acknowledged, and again where the answer stays out. */
    private askAcknowledgements(nowMs: number): readonly Message[] {
        const { service, servingByAttachment, startedMs } = this.options;
        servingByAttachment.forEach(({ instanceId }) => this.witnesses.add(instanceId));
        if (
            nowMs - startedMs < patienceMs || !this.isSilenced()
            || nowMs - (this.askedAcknowledgementsMs ?? -Infinity) < repeatQuestionMs
        ) {
            return [];
        }
        if (this.askedAcknowledgementsMs === undefined) {
            this.roundStartedMs = nowMs;
        }
        this.askedAcknowledgementsMs = nowMs;
        return [...servingByAttachment].filter(([, { instanceId }]) => !this.testimonies.has(instanceId))
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
    private caughtUp(nowMs: number): string | undefined {
        const reached = this.replicas().filter(({ status }) =>
            status !== undefined && hasReached(status.received, this.target!)
        );
        const ready = reached.find(({ report }) => report.state === ReportedState.Ready);
        if (ready !== undefined) {
            return ready.report.databaseId;
        }
        return nowMs - this.steppedDownMs < catchUpMs ? undefined : this.options.primaryId;
    }

    private replicas(): readonly Party[] {
        return [...this.parties.values()].filter(party => !this.isPrimary(party));
    }

    private isPrimary({ report }: Party): boolean {
        return report.databaseId === this.options.primaryId;
    }

    private partyOf(linkId: string): Party | undefined {
        return [...this.parties.values()].find(party => party.linkId === linkId);
    }
}

/**
 * Whether an answer covers earlier processes under the same id as well, whose acknowledgements their successor doesn't
 * know. All of those are older than the successor, so that any commit sent since, by whichever instance, is beyond them.
 */
function vouches({ highest, watchedFromMs }: Testimony, given: readonly Testimony[]): boolean {
    return highest !== undefined || given.some(({ sentMs }) => sentMs !== undefined && sentMs >= watchedFromMs);
}

/** The furthest database; of equal ones, one that stays. */
function furthestOf(parties: readonly Party[]): Party | undefined {
    return [...parties].sort((left, right) => {
        const later = hasReached(left.status!.received, right.status!.received);
        const earlier = hasReached(right.status!.received, left.status!.received);
        if (later && earlier) {
            return Number(right.report.state === ReportedState.Ready)
                - Number(left.report.state === ReportedState.Ready);
        }
        return later ? -1 : 1;
    })[0];
}

function sendTo(linkId: string, command: LinkCommand): Message {
    return { kind: LinkKind.Send, linkId, commands: [command] } as Message;
}
