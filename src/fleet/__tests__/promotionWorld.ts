/**
 * One service in virtual time: databases with a replicated log, the platform that executes promotions, instances that
 * commit and remember what they saw acknowledged, and the control leader with its replicated state.
 */
import { applyCommand } from "../../control/applyCommand.ts";
import { type ControlState, emptyControlState } from "../../control/controlState.ts";
import { ClusterKind } from "../../model/clusterMessages.ts";
import type { Configuration } from "../../model/configuration.ts";
import { ControlKind, type ControlPropose } from "../../model/controlMessages.ts";
import {
    type DatabaseReport,
    type FleetFrame,
    FleetKind,
    type LeaseChanged,
    type SendFrame,
} from "../../model/fleetMessages.ts";
import {
    type LinkClose,
    type LinkCommand,
    LinkCommandKind,
    LinkKind,
    LinkLoss,
    type LinkOpen,
    type LinkSend,
} from "../../model/linkMessages.ts";
import type { Position } from "../../model/position.ts";
import { promotionOf, type PromotionRecord } from "../../model/promotion.ts";
import type { PromotionDatabaseDropped, PromotionDecided } from "../../model/promotionDecision.ts";
import {
    OrderResult,
    PromotionKind,
    type PromotionOrder,
    type PromotionProgressed,
} from "../../model/promotionMessages.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import {
    DeadlineKind,
    type DeadlineMessage,
    DeadlineQueue,
    type SetDeadline,
    setDeadline,
} from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { CommitGate } from "../../session/commitGate.ts";
import { CommitTracker } from "../../session/commitTracker.ts";
import { LeaseRequester } from "../leaseRequester.ts";
import { SimulatedDatabase } from "./simulatedDatabase.ts";
import type { SimulatedInstance } from "./simulatedInstance.ts";
import { SimulatedMember } from "./simulatedMember.ts";

const service = "s";
const latencyMs = 3;
const proposalMs = 8;
const publicationMs = 30;
const reportIntervalMs = 1_200;
const platformTimeoutMs = 1_000;
const promoteMs = 600;

/** Longest interval of a database whose reports fail. */
const maximumReportIntervalMs = 8_000;
const detachmentMs = 1_500;

/** Time for which instances go on at a primary after its evacuation was ordered. */
const evacuatedPrimaryMs = 2_000;

interface Timer extends Message {
    run(): void;
}

interface PublishedConfiguration {
    readonly configuration: Configuration;
    readonly logIndex: number;
}

export class PromotionWorld {
    nowMs = 0;
    readonly databases: SimulatedDatabase[] = [];
    readonly instances: SimulatedInstance[] = [];
    /** Ids of the databases that were promoted, in order. */
    readonly promoted: string[] = [];
    /** Acknowledged commits that a promotion has rolled back. */
    readonly lost: number[] = [];
    /** Those of them that were lost because the database lost its log after the platform had accepted the order for it. */
    readonly lostAfterAcceptance: number[] = [];
    /** Those of them that no database had any more at the promotion, on its machine or on its disk. */
    readonly lostWithAllCopies: number[] = [];
    /** Calls to the platform as `databaseId/fence`. */
    readonly orders: string[] = [];
    /** Why the choice of a new primary waits. */
    readonly waits = new Set<string>();
    readonly decisions: PromotionDecided[] = [];
    readonly dropped: PromotionDatabaseDropped[] = [];
    /** The last line of the log about a promotion. */
    progress: PromotionProgressed | undefined;
    acknowledgedCount = 0;
    /** Interval between two commits of the callers; a commit takes 6 ms. */
    writeIntervalMs = 20;
    /** Time after which the platform takes a call up, checks its fence and answers. */
    platformDelayMs = 0;
    /** Takes the place of `platformDelayMs` for each call. */
    nextPlatformDelayMs = (): number => this.platformDelayMs;
    /** The platform refuses each call, whatever its fence. */
    platformRefuses = false;
    /** Delay of a second, identical answer on a link of the control leader; undefined if there is none. */
    nextRepetitionDelayMs = (): number | undefined => undefined;
    /** Delay of a report; undefined if it is lost. */
    nextReportDelayMs = (): number | undefined => 0;
    /** Whether an elected member has what the former leader proposed last. */
    nextProposalIsKept = (): boolean => true;
    /** The platform was called. */
    orderSent: (databaseId: string) => void = () => undefined;
    /** Data centres whose evacuation is in force. */
    private evacuated: ReadonlySet<string> = new Set();
    /** Time from which instances send nothing to primaries there. */
    private readonly refusedFromMs = new Map<string, number>();
    /** Databases that run and do not report. */
    readonly silentDatabases = new Set<SimulatedDatabase>();
    private readonly events = new DeadlineQueue();
    private readonly acknowledged = new Set<number>();
    private readonly fences: number[] = [];
    private readonly suspectedAtMs = new Map<string, number>();
    /** The control members that run. */
    members: readonly SimulatedMember[] = [];
    /** The one that was elected last; undefined while none is. */
    leader: SimulatedMember | undefined;
    private readonly memberCount: number;
    private controlGeneration = 0;
    private controlTerm = 0;
    /** Proposals of the leader that have not been applied. */
    private readonly proposals = new Set<ControlPropose>();
    private state: ControlState = emptyControlState;
    private logIndex = 0;
    /** Commits that a promotion has dropped. */
    private readonly rolledBack = new Set<number>();
    /** Configuration that instances in contact with the control members have applied. */
    private published: PublishedConfiguration | undefined;
    /** Term that a database led last, also if its log is gone. */
    private newestLedTerm = 1;
    private nextEvent = 0;
    private nextCommit = 1;
    private nextAttachment = 0;
    private nextDatabase: number;

    constructor(databaseCount = 3, instanceCount = 2, memberCount = 1) {
        this.memberCount = memberCount;
        this.nextDatabase = databaseCount;
        for (let index = 0; index < databaseCount; index++) {
            const database = new SimulatedDatabase(`d${index}`, `host${index}:1`, 0);
            database.leads = index === 0;
            this.databases.push(database);
            this.scheduleReports(database);
        }
        for (let index = 0; index < instanceCount; index++) {
            this.instances.push({
                instanceId: `i${index}`,
                commits: new CommitTracker(),
                leaseTimer: 0,
                feedDelayMs: 0,
                appliedIndex: 0,
                knownPosition: undefined,
                running: true,
                writes: true,
                cutFromControl: false,
                feedLost: false,
                orderedDatabaseId: "",
                gate: new CommitGate(),
                leases: new LeaseRequester(),
            });
        }
        this.startControl();
        this.writeAgain();
        this.every(100, () => this.suspectPrimary());
    }

    get primary(): SimulatedDatabase | undefined {
        return this.databases.find(({ leads, running }) => leads && running);
    }

    /** Number of acknowledged commits that no database has any more, on its machine or on its disk. */
    get destroyedCount(): number {
        const kept = new Set(this.databases.flatMap(({ log }) => log.map(({ number }) => number)));
        return [...this.acknowledged].filter(number => !kept.has(number)).length;
    }

    get record(): PromotionRecord {
        return promotionOf(this.state.configuration.promotions, service);
    }

    get hasControl(): boolean {
        return this.leader !== undefined;
    }

    database(index: number): SimulatedDatabase {
        return this.databases[index]!;
    }

    advance(elapsedMs: number): void {
        const untilMs = this.nowMs + elapsedMs;
        for (;;) {
            const eventAtMs = this.events.earliestAtMs() ?? Infinity;
            const member = this.nextDueMember();
            const deadlineAtMs = member?.deadlines.earliestAtMs() ?? Infinity;
            const nextAtMs = Math.min(eventAtMs, deadlineAtMs);
            if (nextAtMs > untilMs) {
                break;
            }
            this.nowMs = Math.max(this.nowMs, nextAtMs);
            if (eventAtMs <= deadlineAtMs) {
                (this.events.popDue(this.nowMs) as Timer).run();
            }
            else {
                this.push(member, member!.deadlines.popDue(this.nowMs)!);
            }
        }
        this.nowMs = untilMs;
    }

    /** Ends the process of a database; its links are refused until another one starts at its address. */
    crash(database: SimulatedDatabase): void {
        database.running = false;
        database.leads = false;
        this.members.forEach(member =>
            [...member.links].filter(([, linked]) => linked === database)
                .forEach(([linkId]) => this.loseLink(member, linkId))
        );
    }

    /** Starts a database again at its address under another id, with its log; as the primary if none was promoted since. */
    restart(database: SimulatedDatabase): SimulatedDatabase {
        if (!this.databases.includes(database)) {
            // Another process has taken its place.
            return database;
        }
        const next = new SimulatedDatabase(`${database.id}x`, database.address, this.nowMs);
        next.log = database.log;
        next.term = database.term;
        next.ledTerm = database.ledTerm;
        takeOverCuts(database, next);
        next.leads = database.ledTerm === this.newestLedTerm
            && !this.databases.some(({ leads, running }) => leads && running);
        this.databases.splice(this.databases.indexOf(database), 1, next);
        this.scheduleReports(next);
        return next;
    }

    /**
     * Starts a database again under its id, without its log.
     * @param silent its links are not reset, as behind a cut that drops packets
     */
    restartEmpty(database: SimulatedDatabase, silent: boolean): SimulatedDatabase {
        if (silent) {
            database.running = false;
        }
        else {
            this.crash(database);
        }
        const next = new SimulatedDatabase(database.id, database.address, this.nowMs);
        takeOverCuts(database, next);
        this.databases.splice(this.databases.indexOf(database), 1, next);
        this.scheduleReports(next);
        this.after(2 * latencyMs, () => this.catchUp(next));
        return next;
    }

    /** Starts a database with an empty log at an address of its own. */
    join(): SimulatedDatabase {
        const number = this.nextDatabase++;
        const database = new SimulatedDatabase(`d${number}`, `host${number}:1`, this.nowMs);
        this.databases.push(database);
        this.scheduleReports(database);
        this.after(2 * latencyMs, () => this.catchUp(database));
        return database;
    }

    /** Ends a database for good; its log is gone with it. */
    leave(database: SimulatedDatabase): void {
        this.crash(database);
        this.databases.splice(this.databases.indexOf(database), 1);
        if (!database.cutFromControl) {
            this.after(
                latencyMs,
                this.ofControl(member =>
                    this.push(member, { kind: FleetKind.DatabaseLeft, databaseId: database.id } as Message)
                ),
            );
        }
    }

    /** Ends the cuts of a machine. */
    rejoin(address: string): void {
        this.databases.filter(database => database.address === address).forEach(database => {
            database.cutFromControl = false;
            database.cutFrom.clear();
            database.cutFromMembers.clear();
            if (this.memberCount === 1) {
                this.report(database);
            }
            this.releaseReports(database);
        });
        this.databases.forEach(database => this.catchUp(database));
    }

    /** Cuts an instance from the control members; they notice after a while that its stream has ended. */
    cutInstance(instance: SimulatedInstance): void {
        instance.cutFromControl = true;
        const attachments = this.members.map(member => [member, member.attachments.get(instance)] as const);
        this.after(detachmentMs, () => {
            attachments.forEach(([member, attachmentId]) => {
                if (instance.cutFromControl && attachmentId !== undefined) {
                    this.detach(member, instance, attachmentId);
                }
            });
        });
    }

    joinInstance(instance: SimulatedInstance): void {
        instance.cutFromControl = false;
        if (this.published !== undefined) {
            this.publish(instance, this.published);
        }
        if (instance.running) {
            this.attachLater(instance);
        }
    }

    stopControl(): void {
        this.members.forEach(member => this.stopMember(member));
        this.members = [];
        this.leader = undefined;
        this.proposals.clear();
        this.controlGeneration++;
    }

    /** What the disk of a control leader lists now. */
    listDatabases(): readonly DatabaseReport[] {
        return this.databases.map(database => database.report(service));
    }

    /** Starts control members that know the replicated state, and the databases that their disks list. */
    startControl(remembered: readonly DatabaseReport[] = []): void {
        const memberIds = Array.from({ length: this.memberCount }, (_, index) => `c${index}`);
        memberIds.forEach(memberId => this.startMember(memberId, remembered));
        this.lead(this.members[0]!);
        this.publishLater();
        this.databases.forEach(database => this.after(50, () => this.report(database)));
    }

    /** Starts a control member, which attaches to those that run. */
    startMember(memberId: string, remembered: readonly DatabaseReport[] = []): SimulatedMember {
        const member = new SimulatedMember(memberId, reportIntervalMs, this.memberCount > 1);
        const others = this.members;
        this.members = [...others, member];
        this.push(member, this.policy());
        this.pushConfiguration(member);
        this.push(member, { kind: FleetKind.DatabasesRemembered, reports: remembered } as Message);
        others.forEach(other => this.attachMembers(member, other));
        this.instances.filter(({ running }) => running).forEach(instance => this.attachLater(instance, member));
        return member;
    }

    /** Starts a control member again, unless all were started again meanwhile. */
    restartMember(memberId: string, remembered: readonly DatabaseReport[]): void {
        const isStarted = this.members.some(member => member.memberId === memberId);
        if (this.members.length > 0 && !isStarted) {
            this.announceLeader(this.startMember(memberId, remembered));
        }
    }

    /** Ends the process of a control member. */
    stopMember(member: SimulatedMember): void {
        member.running = false;
        member.links.clear();
        [...member.attachments].forEach(([instance, attachmentId]) => this.detach(member, instance, attachmentId));
        this.members = this.members.filter(other => other !== member);
        this.members.forEach(other => this.pushDetached(other, attachmentOf(member)));
        if (this.leader === member) {
            this.leader = undefined;
        }
    }

    /** A process that stood still goes on; its timers are due at once, and then it takes up what has arrived. */
    wake(member: SimulatedMember): void {
        const arrived = member.wake();
        for (const { deadlines } = member; (deadlines.earliestAtMs() ?? Infinity) <= this.nowMs;) {
            this.push(member, deadlines.popDue(this.nowMs)!);
        }
        arrived.forEach(action => member.arrive(action));
    }

    /** Ends the cut between a control member and the others, whose streams are opened again. */
    rejoinMember(member: SimulatedMember): void {
        member.cutFromMembers = false;
        if (!member.running) {
            return;
        }
        if (member !== this.leader) {
            member.arrive(() => this.pushConfiguration(member));
            member.arrive(() => this.announceLeader(member));
        }
        this.members.filter(other => other !== member && !other.cutFromMembers).forEach(other => {
            this.pushDetached(member, attachmentOf(other));
            this.pushDetached(other, attachmentOf(member));
            this.attachMembers(member, other);
        });
    }

    /**
     * Another member is elected.
     * @param leadsOnMs time for which the former leader believes that it still leads
     */
    changeLeader(next: SimulatedMember, leadsOnMs = 0): void {
        const { leader: former } = this;
        this.leader = undefined;
        if (former !== undefined) {
            this.after(
                leadsOnMs,
                this.ofMember(former, () => {
                    if (this.leader !== former) {
                        this.announceLeader(former);
                    }
                }),
            );
        }
        // The elected member commits what the former one has replicated, before it leads.
        this.proposals.forEach(proposal => {
            if (this.nextProposalIsKept()) {
                this.applyProposal(proposal);
            }
        });
        this.proposals.clear();
        this.lead(next);
        this.members.filter(member => member !== next && member !== former).forEach(member =>
            this.after(latencyMs, this.ofMember(member, () => this.announceLeader(member)))
        );
    }

    /** An operator has ordered the evacuation of these data centres, and of no others. */
    evacuate(...dataCentres: readonly string[]): void {
        this.evacuated = new Set(dataCentres);
        [...this.refusedFromMs.keys()].filter(name => !this.evacuated.has(name))
            .forEach(name => this.refusedFromMs.delete(name));
        dataCentres.filter(name => !this.refusedFromMs.has(name))
            .forEach(name => this.refusedFromMs.set(name, this.nowMs + evacuatedPrimaryMs));
        this.members.forEach(member => this.tell(member, this.policy()));
    }

    killInstance(instance: SimulatedInstance): void {
        instance.running = false;
        this.members.forEach(member => {
            const attachmentId = member.attachments.get(instance);
            if (attachmentId !== undefined) {
                member.attachments.delete(instance);
                this.pushDetached(member, attachmentId);
            }
        });
    }

    /**
     * Starts an instance again; its new process knows no commit of the earlier one. Without contact to a leader it serves with
     * the configuration of another member, which nobody has confirmed.
     */
    startInstance(instance: SimulatedInstance): void {
        instance.running = true;
        instance.commits = new CommitTracker();
        instance.gate = new CommitGate();
        instance.leases = new LeaseRequester();
        if (instance.cutFromControl && this.published !== undefined) {
            this.publish(instance, this.published, false);
        }
        this.attachLater(instance);
    }

    report(database: SimulatedDatabase): void {
        if (this.memberCount > 1) {
            this.reportToMember(database);
            return;
        }
        const isSilent = this.silentDatabases.has(database);
        if (database.running && !database.dark && !database.cutFromControl && !isSilent) {
            this.after(
                latencyMs,
                this.ofControl(member =>
                    this.push(member, { kind: FleetKind.DatabaseReported, report: database.report(service) } as Message)
                ),
            );
        }
    }

    /** @returns whether a control member has taken the report up */
    private reportToMember(database: SimulatedDatabase): boolean {
        if (!database.running || database.dark || this.silentDatabases.has(database)) {
            return false;
        }
        const report = database.report(service);
        const contact = this.members[database.contact % Math.max(1, this.members.length)];
        const isCut = contact === undefined || database.isCutFromMember(contact.memberId);
        const delayMs = this.nextReportDelayMs();
        if (isCut || delayMs === undefined) {
            // The next attempt goes to another member, and a cut may delay the report.
            database.contact++;
            database.heldReports.push(...isCut && delayMs !== undefined ? [report] : []);
            return false;
        }
        this.deliverReport(contact, report, delayMs);
        database.contact += contact.standsStill ? 1 : 0;
        return !contact.standsStill;
    }

    private deliverReport(member: SimulatedMember, report: DatabaseReport, delayMs: number): void {
        const message = { kind: FleetKind.DatabaseReported, report } as Message;
        this.after(latencyMs + delayMs, this.ofMember(member, () => this.push(member, message)));
    }

    /** Reports that were delayed by a cut arrive after it. */
    private releaseReports(database: SimulatedDatabase): void {
        const { heldReports } = database;
        database.heldReports = [];
        heldReports.forEach(report => {
            const contact = this.members[report.sequence % Math.max(1, this.members.length)];
            if (contact !== undefined) {
                this.deliverReport(contact, report, 0);
            }
        });
    }

    private policy(): Message {
        const policy = {
            ...emptyTrafficPolicy,
            services: new Map([[service, { name: service, connectionLimit: 50, synchronousReplicas: 1 }]]),
        };
        return {
            kind: FleetKind.PolicyApplied,
            policy,
            confirmed: true,
            promoted: new Map(),
            ordered: new Map(),
            completedFences: new Map(),
            evacuated: this.evacuated,
        } as Message;
    }

    /** The member leads, and knows all that is committed. */
    private lead(member: SimulatedMember): void {
        this.leader = member;
        this.controlTerm++;
        this.pushConfiguration(member);
        this.announceLeader(member);
    }

    /** A member learns who leads, and tells the instances that are attached to it. */
    private announceLeader(member: SimulatedMember): void {
        const leading = member === this.leader;
        member.leads = leading;
        const leaderId = this.leader?.memberId;
        const term = this.controlTerm;
        this.push(member, { kind: ControlKind.LeaderChanged, leading, term, leaderId } as Message);
        member.attachments.forEach(attachmentId => this.sendStatus(member, attachmentId));
    }

    /** Two members attach to each other. */
    private attachMembers(left: SimulatedMember, right: SimulatedMember): void {
        [[left, right] as const, [right, left] as const].forEach(([member, other]) => {
            const attachmentId = attachmentOf(other);
            const hello = { kind: "hello", instanceId: other.memberId, serves: false, leaving: false };
            this.tell(member, { kind: FleetKind.Attached, attachmentId, address: undefined } as Message);
            this.tell(member, { kind: FleetKind.FrameReceived, attachmentId, frame: hello } as Message);
        });
    }

    private attachLater(instance: SimulatedInstance, only?: SimulatedMember): void {
        const generation = this.controlGeneration;
        this.after(
            100,
            () =>
                this.members.filter(member =>
                    generation === this.controlGeneration && (only === undefined || member === only)
                ).forEach(member => member.arrive(() => this.attach(member, instance))),
        );
    }

    private attach(member: SimulatedMember, instance: SimulatedInstance): void {
        const isGone = this.memberCount > 1 && !instance.running;
        if (isGone || instance.cutFromControl || member.attachments.has(instance)) {
            return;
        }
        instance.commits.startOnce(this.nowMs);
        const attachmentId = `f${this.nextAttachment++}`;
        member.attachments.set(instance, attachmentId);
        const { instanceId } = instance;
        const hello = { kind: "hello", instanceId, serves: true, leaving: false, dataCentre: "d", address: "" };
        this.push(member, { kind: FleetKind.Attached, attachmentId, address: undefined } as Message);
        this.push(member, { kind: FleetKind.FrameReceived, attachmentId, frame: hello } as Message);
        this.sendStatus(member, attachmentId);
    }

    private sendStatus(member: SimulatedMember, attachmentId: string): void {
        const status: FleetFrame = {
            kind: "status",
            instanceId: member.memberId,
            leading: member.leads,
            term: this.controlTerm,
            members: [],
            configurationVersion: 0,
            instanceCount: 0,
            grantsLeases: true,
        };
        this.answerFrame(member, { kind: FleetKind.SendFrame, attachmentId, frame: status });
    }

    /** The stream between an instance and a member ends at both ends. */
    private detach(member: SimulatedMember, instance: SimulatedInstance, attachmentId: string): void {
        if (member.attachments.get(instance) === attachmentId) {
            this.pushToLeases(instance, { kind: FleetKind.Detached, attachmentId } as Message);
            member.attachments.delete(instance);
            this.pushDetached(member, attachmentId);
        }
    }

    private pushDetached(member: SimulatedMember, attachmentId: string): void {
        this.tell(member, { kind: FleetKind.Detached, attachmentId } as Message);
    }

    /** A message arrives at a member. */
    private tell(member: SimulatedMember, message: Message): void {
        member.arrive(() => this.push(member, message));
    }

    /** Passes a message to the filter of an instance that asks for leases. */
    private pushToLeases(instance: SimulatedInstance, message: Message): void {
        const { leases } = instance;
        const outputs = leases.process(message as Parameters<LeaseRequester["process"]>[0], this.nowMs);
        outputs.filter(output => output !== message).forEach(output => {
            if (output.kind === FleetKind.LeaseChanged) {
                instance.gate.applyLease(output as LeaseChanged);
            }
            else if (output.kind === FleetKind.SendFrame) {
                const { attachmentId, frame } = output as SendFrame;
                const member = this.members.find(({ attachments }) => attachments.get(instance) === attachmentId);
                if (member !== undefined) {
                    this.after(latencyMs, () => this.sendToMember(member, instance, attachmentId, frame));
                }
            }
            else if (output.kind === DeadlineKind.Set) {
                const { atMs, message: timer } = output as SetDeadline;
                const timerNumber = ++instance.leaseTimer;
                this.after(atMs - this.nowMs, () => {
                    // Another timer or another process takes the place of one that was set again.
                    if (instance.leases === leases && instance.leaseTimer === timerNumber) {
                        this.pushToLeases(instance, timer);
                    }
                });
            }
        });
    }

    private sendToMember(
        member: SimulatedMember,
        instance: SimulatedInstance,
        attachmentId: string,
        frame: FleetFrame,
    ): void {
        if (instance.cutFromControl || member.attachments.get(instance) !== attachmentId) {
            return;
        }
        this.tell(member, { kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
    }

    private writeAgain(): void {
        this.after(this.writeIntervalMs, () => {
            this.write();
            this.writeAgain();
        });
    }

    /** A caller commits by way of one of the instances, in turn. */
    private write(): void {
        const serving = this.instances.filter(({ running, writes }) => running && writes);
        const instance = serving[this.nextCommit % Math.max(1, serving.length)];
        const { primary } = this;
        const isRefused = this.nowMs >= (this.refusedFromMs.get(primary?.dataCentre ?? "") ?? Infinity);
        if (instance === undefined || primary === undefined || primary.dark || isRefused) {
            return;
        }
        const { commits, orderedDatabaseId } = instance;
        if (orderedDatabaseId !== "" && orderedDatabaseId !== primary.id) {
            return;
        }
        const sentMs = this.nowMs;
        const commit = { term: primary.ledTerm, number: this.nextCommit++ };
        primary.log = [...primary.log, commit];
        const { offset } = primary.position;
        const { knownPosition } = instance;
        const acknowledge = (position: Position): void => {
            instance.knownPosition = position;
            const { gate } = instance;
            if (!gate.mayAcknowledge(service, primary.id) || !gate.hasLease(this.nowMs)) {
                return;
            }
            this.acknowledged.add(commit.number);
            this.acknowledgedCount++;
            commits.recordCommit(service, position, { sentMs, knownPosition });
            if (this.rolledBack.has(commit.number)) {
                // The database acknowledged the commit before it lost the lead, and the caller heard of it after that.
                this.recordLoss(commit.number);
            }
        };
        const confirm = (): void => {
            // The caller of a process that has ended hears of no commit.
            if (instance.running && instance.commits === commits) {
                // The position of an answer covers later commits that wait for a replica.
                const { position } = primary;
                this.after(latencyMs, () => acknowledge(position));
            }
        };
        primary.unconfirmed = [...primary.unconfirmed, { offset, confirm }];
        this.databases.filter(database => database !== primary).forEach(replica =>
            this.after(latencyMs + replica.lagMs, () => this.replicate(primary, replica, offset))
        );
    }

    private replicate(primary: SimulatedDatabase, replica: SimulatedDatabase, offset: number): void {
        const reaches = primary.leads && primary.running && !primary.dark && !primary.isCutFrom(replica);
        if (reaches && replica.receive(primary, offset)) {
            this.after(latencyMs, () => {
                if (primary.leads && primary.running && !primary.dark && !primary.isCutFrom(replica)) {
                    primary.confirm(offset);
                }
            });
        }
    }

    /** Whether a copy of a commit was lost in a promotion although a database still has it, or with all copies. */
    private recordLoss(number: number): void {
        this.lost.push(number);
        if (!this.databases.some(({ log }) => log.some(commit => commit.number === number))) {
            this.lostWithAllCopies.push(number);
        }
    }

    private suspectPrimary(): void {
        const { databaseId } = this.state.configuration.promotions[0] ?? { databaseId: "" };
        const suspected = this.databases.find(({ id }) => id === databaseId) ?? this.database(0);
        if (suspected.running && !suspected.dark && !suspected.cutFromControl) {
            this.suspectedAtMs.delete(suspected.id);
            return;
        }
        this.suspectedAtMs.set(suspected.id, this.suspectedAtMs.get(suspected.id) ?? this.nowMs);
        const { leader } = this;
        if (leader === undefined) {
            return;
        }
        const frame = { kind: "suspect", databaseId: suspected.id };
        this.instances.filter(({ cutFromControl }) => !cutFromControl)
            .flatMap(instance => leader.attachments.get(instance) ?? [])
            .forEach(attachmentId =>
                this.tell(leader, { kind: FleetKind.FrameReceived, attachmentId, frame } as Message)
            );
    }

    private push(member: SimulatedMember | undefined, message: Message): void {
        if (member === undefined || !member.running) {
            return;
        }
        const outputs = member.pipe.process(message, this.nowMs);
        outputs.filter(output => output !== message).forEach(output => this.handle(member, output));
    }

    private handle(member: SimulatedMember, message: Message): void {
        switch (message.kind) {
            case DeadlineKind.Set:
            case DeadlineKind.Clear:
                return member.deadlines.apply(message as DeadlineMessage);
            case ControlKind.Propose:
                return this.propose(member, message as ControlPropose);
            case LinkKind.Open:
                return this.openLink(member, message as LinkOpen);
            case LinkKind.Send:
                return this.sendCommands(member, message as LinkSend);
            case LinkKind.Close:
                member.links.delete((message as LinkClose).linkId);
                return;
            case FleetKind.SendFrame:
                return this.answerFrame(member, message as SendFrame);
            case PromotionKind.Order:
                return this.callPlatform(member, message as PromotionOrder);
            case PromotionKind.Progressed: {
                this.progress = message as PromotionProgressed;
                this.waits.add(this.progress.wait ?? "");
                return;
            }
            case PromotionKind.Decided: {
                this.decisions.push(message as PromotionDecided);
                return;
            }
            case PromotionKind.DatabaseDropped: {
                this.dropped.push(message as PromotionDatabaseDropped);
                return;
            }
        }
    }

    private propose(member: SimulatedMember, proposal: ControlPropose): void {
        if (member !== this.leader || member.cutFromMembers) {
            // It has no result without the other members.
            return;
        }
        this.proposals.add(proposal);
        this.after(
            proposalMs,
            this.ofMember(member, () => {
                if (!this.proposals.delete(proposal) || member !== this.leader) {
                    return;
                }
                const { status, version } = this.applyProposal(proposal);
                const { proposalId } = proposal;
                this.push(member, { kind: ControlKind.ProposalEnded, proposalId, status, version } as Message);
            }),
        );
    }

    private applyProposal({ operationId, command }: ControlPropose): ReturnType<typeof applyCommand>["result"] {
        const { state, result } = applyCommand(this.state, ++this.logIndex, operationId, command);
        this.state = state;
        this.members.filter(({ cutFromMembers }) => !cutFromMembers).forEach(member => {
            if (member === this.leader) {
                this.pushConfiguration(member);
            }
            else {
                this.after(latencyMs, this.ofMember(member, () => this.pushConfiguration(member)));
            }
        });
        this.publishLater();
        return result;
    }

    private publishLater(): void {
        const published = { configuration: this.state.configuration, logIndex: this.logIndex };
        this.after(publicationMs, () => {
            this.published = published;
            this.instances.filter(({ feedLost }) => !feedLost).forEach(instance => {
                if (instance.feedDelayMs === 0) {
                    this.publish(instance, published);
                }
                else {
                    this.after(instance.feedDelayMs, () => this.publish(instance, published));
                }
            });
        });
    }

    /** The member applies what is committed. */
    private pushConfiguration(member: SimulatedMember): void {
        const { configuration } = this.state;
        this.push(member, { kind: ClusterKind.ConfigurationApplied, configuration } as Message);
    }

    private publish(
        instance: SimulatedInstance,
        { configuration, logIndex }: PublishedConfiguration,
        confirmed = true,
    ): void {
        if (confirmed && instance.cutFromControl || logIndex < instance.appliedIndex) {
            return;
        }
        instance.appliedIndex = logIndex;
        const promotion = configuration.promotions[0];
        const orderedDatabaseId = promotion?.orderedDatabaseId ?? "";
        instance.orderedDatabaseId = orderedDatabaseId;
        instance.gate.applyPolicy({
            confirmed,
            ordered: new Map(orderedDatabaseId === "" ? [] : [[service, orderedDatabaseId]]),
            orderedFences: new Map(orderedDatabaseId === "" ? [] : [[service, promotion!.orderedFence ?? 0]]),
            completedFences: new Map(promotion?.open === false ? [[service, promotion.fence]] : []),
        });
    }

    private openLink(member: SimulatedMember, { linkId, address, databaseId }: LinkOpen): void {
        member.links.set(linkId, undefined);
        this.after(
            latencyMs,
            this.ofMember(member, () => {
                const database = this.databases.find(candidate => candidate.address === address);
                const isCut = database?.isCutFromMember(member.memberId) === true;
                if (!member.links.has(linkId) || database?.dark === true || isCut) {
                    return;
                }
                if (database?.running !== true) {
                    this.loseLink(member, linkId);
                }
                else if (database.id !== databaseId) {
                    this.loseLink(member, linkId, LinkLoss.Refused);
                }
                else {
                    member.links.set(linkId, database);
                    this.push(member, { kind: LinkKind.Opened, linkId, position: database.position } as Message);
                }
            }),
        );
    }

    private loseLink(member: SimulatedMember, linkId: string, loss: LinkLoss = LinkLoss.NoListener): void {
        if (member.links.delete(linkId)) {
            this.tell(member, { kind: LinkKind.Lost, linkId, loss, fault: undefined } as Message);
        }
    }

    private sendCommands(member: SimulatedMember, { linkId, commands }: LinkSend): void {
        const database = member.links.get(linkId);
        this.after(latencyMs, () => commands.forEach(command => this.execute(member, database, linkId, command)));
    }

    private execute(
        member: SimulatedMember,
        database: SimulatedDatabase | undefined,
        linkId: string,
        command: LinkCommand,
    ): void {
        const isCut = database?.isCutFromMember(member.memberId) === true;
        if (database === undefined || !database.running || database.dark || isCut) {
            return;
        }
        const newestTerm = Math.max(...this.databases.map(({ term }) => term));
        const led = database.leads;
        const status = database.execute(command, newestTerm);
        if (command.kind === LinkCommandKind.Resume) {
            this.catchUp(database);
        }
        if (led !== database.leads) {
            this.report(database);
        }
        const repeatedAfterMs = this.nextRepetitionDelayMs();
        [0, ...repeatedAfterMs === undefined ? [] : [repeatedAfterMs]].forEach(delayMs =>
            this.after(
                latencyMs + delayMs,
                this.ofMember(member, () => {
                    if (member.links.get(linkId) === database && !database.isCutFromMember(member.memberId)) {
                        const reply = { fault: undefined, status };
                        this.push(member, { kind: LinkKind.Replied, linkId, reply } as Message);
                    }
                }),
            )
        );
    }

    private answerFrame(member: SimulatedMember, { attachmentId, frame }: SendFrame): void {
        const other = this.members.find(candidate => attachmentOf(candidate) === attachmentId);
        if (other !== undefined) {
            this.sendBetweenMembers(member, other, frame);
        }
        const instance = [...member.attachments].find(([, attached]) => attached === attachmentId)?.[0];
        // The hub's own status is sent when the member learns who leads.
        if (instance === undefined || instance.cutFromControl) {
            return;
        }
        this.after(latencyMs, () => {
            if (!member.running || member.attachments.get(instance) !== attachmentId) {
                return;
            }
            this.pushToLeases(instance, { kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
            const answer = this.answerOf(instance, frame);
            if (answer !== undefined && member.attachments.get(instance) === attachmentId) {
                this.tell(member, { kind: FleetKind.FrameReceived, attachmentId, frame: answer } as Message);
            }
        });
    }

    private sendBetweenMembers(member: SimulatedMember, other: SimulatedMember, frame: FleetFrame): void {
        if (member.cutFromMembers || other.cutFromMembers) {
            return;
        }
        const attachmentId = `to_${member.memberId}`;
        this.after(
            latencyMs,
            this.ofMember(
                other,
                () => this.push(other, { kind: FleetKind.FrameReceived, attachmentId, frame } as Message),
            ),
        );
    }

    private answerOf({ commits, gate }: SimulatedInstance, frame: FleetFrame): FleetFrame | undefined {
        if (frame.kind === "commits_asked") {
            if (frame.fence !== undefined) {
                gate.close(frame.service, frame.fence);
            }
            return commits.commitsSeenFrame(frame.service, frame.questionId, this.nowMs);
        }
        if (frame.kind !== "assess") {
            return undefined;
        }
        if (!this.databases.some(({ id }) => id === frame.databaseId)) {
            // Instances have closed their links to a database whose place another one has taken.
            return {
                kind: "assessment",
                databaseId: frame.databaseId,
                answeredAgeMs: undefined,
                unansweredAgeMs: undefined,
            };
        }
        const sinceMs = this.suspectedAtMs.get(frame.databaseId);
        const unansweredAgeMs = sinceMs === undefined ? undefined : this.nowMs - sinceMs;
        const { databaseId } = frame;
        return { kind: "assessment", databaseId, answeredAgeMs: unansweredAgeMs ?? 10, unansweredAgeMs };
    }

    private callPlatform(member: SimulatedMember, { databaseId, fence }: PromotionOrder): void {
        this.orders.push(`${databaseId}/${fence}`);
        const answer = (result: OrderResult): void =>
            this.push(member, { kind: PromotionKind.Ordered, service, databaseId, fence, result } as Message);
        this.orderSent(databaseId);
        const platformDelayMs = this.nextPlatformDelayMs();
        this.after(platformDelayMs, () => {
            const chosen = this.databases.find(({ id, running }) => id === databaseId && running);
            const refused = this.platformRefuses || chosen === undefined || fence < Math.max(0, ...this.fences);
            this.fences.push(fence);
            if (platformDelayMs < platformTimeoutMs) {
                this.after(
                    latencyMs,
                    this.ofMember(member, () => answer(refused ? OrderResult.Refused : OrderResult.Accepted)),
                );
            }
            if (!refused && !chosen.leads) {
                this.after(promoteMs, () => {
                    const lostBefore = this.lost.length;
                    this.promote(databaseId);
                    if (!this.databases.includes(chosen)) {
                        this.lostAfterAcceptance.push(...this.lost.slice(lostBefore));
                    }
                });
            }
        });
        if (platformDelayMs >= platformTimeoutMs) {
            this.after(platformTimeoutMs, this.ofMember(member, () => answer(OrderResult.Unknown)));
        }
    }

    /** The database leads the next term with what it has received; the others drop what it lacks and receive again. */
    private promote(databaseId: string): void {
        const chosen = this.databases.find(({ id, running }) => id === databaseId && running);
        if (chosen === undefined || chosen.leads) {
            return;
        }
        const kept = new Set(chosen.log.map(({ number }) => number));
        const dropped = [...this.acknowledged].filter(number => !kept.has(number) && !this.rolledBack.has(number));
        dropped.forEach(number => this.recordLoss(number));
        this.databases.flatMap(({ log }) => log).filter(({ number }) => !kept.has(number))
            .forEach(({ number }) => this.rolledBack.add(number));
        dropped.forEach(number => this.rolledBack.add(number));
        const term = Math.max(...this.databases.map(database => database.term)) + 1;
        const former = this.databases.filter(({ leads }) => leads);
        this.databases.forEach(database => database.follow(kept));
        Object.assign(chosen, { leads: true, term, ledTerm: term });
        this.newestLedTerm = term;
        this.promoted.push(databaseId);
        this.databases.forEach(database => {
            this.catchUp(database);
            if (this.memberCount === 1 || database === chosen || former.includes(database)) {
                this.report(database);
            }
        });
    }

    private catchUp(database: SimulatedDatabase): void {
        const source = this.databases.find(({ ledTerm, running }) => ledTerm === this.newestLedTerm && running);
        if (source === undefined || source === database || source.isCutFrom(database)) {
            return;
        }
        this.after(2 * latencyMs + database.lagMs, () => {
            if (source.leads) {
                this.replicate(source, database, source.log.length);
            }
            else {
                database.receive(source, source.log.length);
            }
        });
    }

    private scheduleReports(database: SimulatedDatabase): void {
        if (this.memberCount > 1) {
            this.after(1, () => this.reportAgain(database, reportIntervalMs));
            return;
        }
        this.every(reportIntervalMs, () => this.report(database));
        this.after(1, () => this.report(database));
    }

    /** A database whose reports fail reports less and less often. */
    private reportAgain(database: SimulatedDatabase, intervalMs: number): void {
        if (!database.running) {
            return;
        }
        const nextMs = this.reportToMember(database)
            ? reportIntervalMs
            : Math.min(maximumReportIntervalMs, 2 * intervalMs);
        this.after(nextMs, () => this.reportAgain(database, nextMs));
    }

    /** The member whose timer is due first, of those that go on. */
    private nextDueMember(): SimulatedMember | undefined {
        const dueMs = ({ deadlines }: SimulatedMember): number => deadlines.earliestAtMs() ?? Infinity;
        const going = this.members.filter(({ standsStill }) => !standsStill);
        return going.length < 2 ? going[0] : going.sort((left, right) => dueMs(left) - dueMs(right))[0];
    }

    /** Runs an action of the control members unless they were replaced meanwhile. */
    private ofControl(action: (leader: SimulatedMember) => void): () => void {
        const generation = this.controlGeneration;
        return () => {
            const { leader } = this;
            if (generation === this.controlGeneration && leader !== undefined) {
                leader.arrive(() => action(leader));
            }
        };
    }

    /** Runs an action of a control member when its process goes on. */
    private ofMember(member: SimulatedMember, action: () => void): () => void {
        return () => member.arrive(action);
    }

    private every(intervalMs: number, action: () => void): void {
        this.after(intervalMs, () => {
            action();
            this.every(intervalMs, action);
        });
    }

    /** Runs an action after a delay. */
    after(delayMs: number, action: () => void): void {
        const timer: Timer = { kind: "timer", run: action };
        this.events.apply(setDeadline(`e${this.nextEvent++}`, this.nowMs + delayMs, timer));
    }
}

/** A process that starts on the machine of another one is cut off as that one was. */
function takeOverCuts(database: SimulatedDatabase, next: SimulatedDatabase): void {
    next.cutFromControl = database.cutFromControl;
    next.heldReports = database.heldReports;
    database.cutFrom.forEach(address => next.cutFrom.add(address));
    database.cutFromMembers.forEach(memberId => next.cutFromMembers.add(memberId));
}

/** Id of the stream that a control member has opened to another one. */
function attachmentOf({ memberId }: SimulatedMember): string {
    return `member_${memberId}`;
}
