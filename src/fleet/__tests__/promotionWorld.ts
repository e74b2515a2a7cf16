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
import { Pipe } from "../../pipeline/pipe.ts";
import { CommitGate } from "../../session/commitGate.ts";
import { CommitTracker } from "../../session/commitTracker.ts";
import { FleetDatabaseDirectory } from "../fleetDatabaseDirectory.ts";
import { LeaseRequester } from "../leaseRequester.ts";
import { Promotions } from "../promotions.ts";
import { SimulatedDatabase } from "./simulatedDatabase.ts";

const service = "s";
const latencyMs = 3;
const proposalMs = 8;
const publicationMs = 30;
const reportIntervalMs = 1_200;
const platformTimeoutMs = 1_000;
const promoteMs = 600;
const detachmentMs = 1_500;

/** Time for which instances go on at a primary after its evacuation was ordered. */
const evacuatedPrimaryMs = 2_000;

interface SimulatedInstance {
    readonly instanceId: string;
    attachmentId: string | undefined;
    commits: CommitTracker;
    /** Position of the last answer of a primary. */
    knownPosition: Position | undefined;
    running: boolean;
    /** Callers commit by way of this instance. */
    writes: boolean;
    /** Nothing passes between the instance and the control members. */
    cutFromControl: boolean;
    /** The instance gets no further configuration; nothing else is cut. */
    feedLost: boolean;
    /** Database of the order that is under way, as the instance knows it; it commits nowhere else. */
    orderedDatabaseId: string;
    gate: CommitGate;
    leases: LeaseRequester;
}

interface Timer extends Message {
    run(): void;
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
    /** Data centres whose evacuation is in force. */
    private evacuated: ReadonlySet<string> = new Set();
    /** Time from which instances send nothing to primaries there. */
    private readonly refusedFromMs = new Map<string, number>();
    /** Databases that run and do not report. */
    readonly silentDatabases = new Set<SimulatedDatabase>();
    private readonly events = new DeadlineQueue();
    private readonly acknowledged = new Set<number>();
    private readonly links = new Map<string, SimulatedDatabase | undefined>();
    private readonly fences: number[] = [];
    private readonly suspectedAtMs = new Map<string, number>();
    private deadlines = new DeadlineQueue();
    private control: Pipe | undefined;
    private controlGeneration = 0;
    private state: ControlState = emptyControlState;
    private logIndex = 0;
    /** Commits that a promotion has dropped. */
    private readonly rolledBack = new Set<number>();
    /** Configuration that instances in contact with the control members have applied. */
    private published: Configuration | undefined;
    /** Term that a database led last, also if its log is gone. */
    private newestLedTerm = 1;
    private nextEvent = 0;
    private nextCommit = 1;
    private nextAttachment = 0;
    private nextDatabase: number;

    constructor(databaseCount = 3, instanceCount = 2) {
        this.nextDatabase = databaseCount;
        for (let index = 0; index < databaseCount; index++) {
            const database = new SimulatedDatabase(`d${index}`, `host${index}:1`, 0);
            database.leads = index === 0;
            this.databases.push(database);
            this.scheduleReports(database);
        }
        for (let index = 0; index < instanceCount; index++) {
            const instance = { instanceId: `i${index}`, attachmentId: undefined, commits: new CommitTracker() };
            this.instances.push({
                ...instance,
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
        return this.control !== undefined;
    }

    database(index: number): SimulatedDatabase {
        return this.databases[index]!;
    }

    advance(elapsedMs: number): void {
        const untilMs = this.nowMs + elapsedMs;
        for (;;) {
            const eventAtMs = this.events.earliestAtMs() ?? Infinity;
            const deadlineAtMs = this.control === undefined ? Infinity : this.deadlines.earliestAtMs() ?? Infinity;
            const nextAtMs = Math.min(eventAtMs, deadlineAtMs);
            if (nextAtMs > untilMs) {
                break;
            }
            this.nowMs = Math.max(this.nowMs, nextAtMs);
            if (eventAtMs <= deadlineAtMs) {
                (this.events.popDue(this.nowMs) as Timer).run();
            }
            else {
                this.push(this.deadlines.popDue(this.nowMs)!);
            }
        }
        this.nowMs = untilMs;
    }

    /** Ends the process of a database; its links are refused until another one starts at its address. */
    crash(database: SimulatedDatabase): void {
        database.running = false;
        database.leads = false;
        [...this.links].filter(([, linked]) => linked === database).forEach(([linkId]) => this.loseLink(linkId));
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
                this.ofControl(() => this.push({ kind: FleetKind.DatabaseLeft, databaseId: database.id } as Message)),
            );
        }
    }

    /** Ends the cuts of a machine. */
    rejoin(address: string): void {
        this.databases.filter(database => database.address === address).forEach(database => {
            database.cutFromControl = false;
            database.cutFrom.clear();
            this.report(database);
        });
        this.databases.forEach(database => this.catchUp(database));
    }

    /** Cuts an instance from the control members; they notice after a while that its stream has ended. */
    cutInstance(instance: SimulatedInstance): void {
        instance.cutFromControl = true;
        const { attachmentId } = instance;
        this.after(detachmentMs, () => {
            if (instance.cutFromControl && attachmentId !== undefined && instance.attachmentId === attachmentId) {
                this.pushToLeases(instance, { kind: FleetKind.Detached, attachmentId } as Message);
                instance.attachmentId = undefined;
                this.push({ kind: FleetKind.Detached, attachmentId } as Message);
            }
        });
    }

    joinInstance(instance: SimulatedInstance): void {
        instance.cutFromControl = false;
        if (this.published !== undefined) {
            this.publish(instance, this.published);
        }
        if (instance.running && instance.attachmentId === undefined) {
            this.after(100, this.ofControl(() => this.attach(instance)));
        }
    }

    stopControl(): void {
        this.control = undefined;
        this.controlGeneration++;
        this.links.clear();
        this.instances.forEach(instance => {
            const { attachmentId } = instance;
            if (attachmentId !== undefined) {
                this.pushToLeases(instance, { kind: FleetKind.Detached, attachmentId } as Message);
            }
            instance.attachmentId = undefined;
        });
    }

    /** What the disk of a control leader lists now. */
    listDatabases(): readonly DatabaseReport[] {
        return this.databases.map(database => database.report(service));
    }

    /** Starts a control leader that knows the replicated state, and the databases that its disk lists. */
    startControl(remembered: readonly DatabaseReport[] = []): void {
        this.control = new Pipe("fleet", [new FleetDatabaseDirectory(), new Promotions({ reportIntervalMs })]);
        this.deadlines = new DeadlineQueue();
        this.applyPolicy();
        this.applyConfiguration();
        this.push({ kind: FleetKind.DatabasesRemembered, reports: remembered } as Message);
        this.push({ kind: ControlKind.LeaderChanged, leading: true, term: this.controlGeneration } as Message);
        this.instances.filter(({ running }) => running).forEach(instance =>
            this.after(100, this.ofControl(() => this.attach(instance)))
        );
        this.databases.forEach(database => this.after(50, () => this.report(database)));
    }

    /** An operator has ordered the evacuation of these data centres, and of no others. */
    evacuate(...dataCentres: readonly string[]): void {
        this.evacuated = new Set(dataCentres);
        [...this.refusedFromMs.keys()].filter(name => !this.evacuated.has(name))
            .forEach(name => this.refusedFromMs.delete(name));
        dataCentres.filter(name => !this.refusedFromMs.has(name))
            .forEach(name => this.refusedFromMs.set(name, this.nowMs + evacuatedPrimaryMs));
        this.applyPolicy();
    }

    killInstance(instance: SimulatedInstance): void {
        instance.running = false;
        const { attachmentId } = instance;
        instance.attachmentId = undefined;
        if (attachmentId !== undefined) {
            this.push({ kind: FleetKind.Detached, attachmentId } as Message);
        }
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
        this.after(100, this.ofControl(() => this.attach(instance)));
    }

    report(database: SimulatedDatabase): void {
        const isSilent = this.silentDatabases.has(database);
        if (database.running && !database.dark && !database.cutFromControl && !isSilent) {
            this.after(
                latencyMs,
                this.ofControl(() =>
                    this.push({ kind: FleetKind.DatabaseReported, report: database.report(service) } as Message)
                ),
            );
        }
    }

    private applyPolicy(): void {
        const policy = {
            ...emptyTrafficPolicy,
            services: new Map([[service, { name: service, connectionLimit: 50, synchronousReplicas: 1 }]]),
        };
        this.push(
            {
                kind: FleetKind.PolicyApplied,
                policy,
                confirmed: true,
                promoted: new Map(),
                ordered: new Map(),
                completedFences: new Map(),
                evacuated: this.evacuated,
            } as Message,
        );
    }

    private attach(instance: SimulatedInstance): void {
        if (this.control === undefined || instance.cutFromControl || instance.attachmentId !== undefined) {
            return;
        }
        instance.commits.startOnce(this.nowMs);
        instance.attachmentId = `f${this.nextAttachment++}`;
        const { instanceId, attachmentId } = instance;
        const hello = { kind: "hello", instanceId, serves: true, leaving: false, dataCentre: "d", address: "" };
        this.push({ kind: FleetKind.FrameReceived, attachmentId, frame: hello } as Message);
        const status: FleetFrame = {
            kind: "status",
            instanceId: "m",
            leading: true,
            term: this.controlGeneration,
            members: [],
            configurationVersion: 0,
            instanceCount: 0,
            grantsLeases: true,
        };
        this.answerFrame({ kind: FleetKind.SendFrame, attachmentId, frame: status });
    }

    /** Passes a message to the filter of an instance that asks for leases. */
    private pushToLeases(instance: SimulatedInstance, message: Message): void {
        const { leases, attachmentId } = instance;
        const outputs = leases.process(message as Parameters<LeaseRequester["process"]>[0], this.nowMs);
        outputs.filter(output => output !== message).forEach(output => {
            if (output.kind === FleetKind.LeaseChanged) {
                instance.gate.applyLease(output as LeaseChanged);
            }
            else if (output.kind === FleetKind.SendFrame) {
                const { frame } = output as SendFrame;
                this.after(
                    latencyMs,
                    this.ofControl(() => {
                        if (!instance.cutFromControl && instance.attachmentId === attachmentId) {
                            this.push({ kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
                        }
                    }),
                );
            }
            else if (output.kind === DeadlineKind.Set) {
                const { atMs, message: timer } = output as SetDeadline;
                this.after(atMs - this.nowMs, () => {
                    // Another timer or another process takes the place of one that was set again.
                    if (instance.leases === leases && instance.attachmentId === attachmentId) {
                        this.pushToLeases(instance, timer);
                    }
                });
            }
        });
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
            this.after(latencyMs, () => this.replicate(primary, replica, offset))
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
        const attached = this.instances.filter(({ attachmentId, cutFromControl }) =>
            attachmentId !== undefined && !cutFromControl
        );
        attached.forEach(({ attachmentId }) =>
            this.push({
                kind: FleetKind.FrameReceived,
                attachmentId,
                frame: { kind: "suspect", databaseId: suspected.id },
            } as Message)
        );
    }

    private push(message: Message): void {
        const { control } = this;
        const outputs = control?.process(message, this.nowMs) ?? [];
        outputs.filter(output => output !== message).forEach(output => this.handle(output));
    }

    private handle(message: Message): void {
        switch (message.kind) {
            case DeadlineKind.Set:
            case DeadlineKind.Clear:
                return this.deadlines.apply(message as DeadlineMessage);
            case ControlKind.Propose:
                return this.propose(message as ControlPropose);
            case LinkKind.Open:
                return this.openLink(message as LinkOpen);
            case LinkKind.Send:
                return this.sendCommands(message as LinkSend);
            case LinkKind.Close:
                this.links.delete((message as LinkClose).linkId);
                return;
            case FleetKind.SendFrame:
                return this.answerFrame(message as SendFrame);
            case PromotionKind.Order:
                return this.callPlatform(message as PromotionOrder);
            case PromotionKind.Progressed: {
                this.progress = message as PromotionProgressed;
                this.waits.add(this.progress.wait ?? "");
                return;
            }
        }
    }

    private propose({ proposalId, operationId, command }: ControlPropose): void {
        this.after(
            proposalMs,
            this.ofControl(() => {
                const { state, result } = applyCommand(this.state, ++this.logIndex, operationId, command);
                this.state = state;
                this.applyConfiguration();
                const { status, version } = result;
                this.push({ kind: ControlKind.ProposalEnded, proposalId, status, version } as Message);
            }),
        );
    }

    private applyConfiguration(): void {
        const { configuration } = this.state;
        this.push({ kind: ClusterKind.ConfigurationApplied, configuration } as Message);
        this.after(publicationMs, () => {
            this.published = configuration;
            this.instances.filter(({ cutFromControl, feedLost }) => !cutFromControl && !feedLost)
                .forEach(instance => this.publish(instance, configuration));
        });
    }

    private publish(instance: SimulatedInstance, { promotions }: Configuration, confirmed = true): void {
        const promotion = promotions[0];
        const orderedDatabaseId = promotion?.orderedDatabaseId ?? "";
        instance.orderedDatabaseId = orderedDatabaseId;
        instance.gate.applyPolicy({
            confirmed,
            ordered: new Map(orderedDatabaseId === "" ? [] : [[service, orderedDatabaseId]]),
            orderedFences: new Map(orderedDatabaseId === "" ? [] : [[service, promotion!.orderedFence ?? 0]]),
            completedFences: new Map(promotion?.open === false ? [[service, promotion.fence]] : []),
        });
    }

    private openLink({ linkId, address, databaseId }: LinkOpen): void {
        this.links.set(linkId, undefined);
        this.after(
            latencyMs,
            this.ofControl(() => {
                const database = this.databases.find(candidate => candidate.address === address);
                if (!this.links.has(linkId) || database?.dark === true || database?.cutFromControl === true) {
                    return;
                }
                if (database?.running !== true) {
                    this.loseLink(linkId);
                }
                else if (database.id !== databaseId) {
                    this.loseLink(linkId, LinkLoss.Refused);
                }
                else {
                    this.links.set(linkId, database);
                    this.push({ kind: LinkKind.Opened, linkId, position: database.position } as Message);
                }
            }),
        );
    }

    private loseLink(linkId: string, loss: LinkLoss = LinkLoss.NoListener): void {
        if (this.links.delete(linkId)) {
            this.push({ kind: LinkKind.Lost, linkId, loss, fault: undefined } as Message);
        }
    }

    private sendCommands({ linkId, commands }: LinkSend): void {
        const database = this.links.get(linkId);
        this.after(latencyMs, () => commands.forEach(command => this.execute(database, linkId, command)));
    }

    private execute(database: SimulatedDatabase | undefined, linkId: string, command: LinkCommand): void {
        if (database === undefined || !database.running || database.dark || database.cutFromControl) {
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
                this.ofControl(() => {
                    if (this.links.get(linkId) === database && !database.cutFromControl) {
                        this.push({ kind: LinkKind.Replied, linkId, reply: { fault: undefined, status } } as Message);
                    }
                }),
            )
        );
    }

    private answerFrame({ attachmentId, frame }: SendFrame): void {
        const instance = this.instances.find(candidate => candidate.attachmentId === attachmentId);
        if (instance === undefined || instance.cutFromControl) {
            return;
        }
        this.after(
            latencyMs,
            this.ofControl(() => {
                if (instance.attachmentId !== attachmentId) {
                    return;
                }
                this.pushToLeases(instance, { kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
                const answer = this.answerOf(instance, frame);
                if (answer !== undefined && instance.attachmentId === attachmentId) {
                    this.push({ kind: FleetKind.FrameReceived, attachmentId, frame: answer } as Message);
                }
            }),
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

    private callPlatform({ databaseId, fence }: PromotionOrder): void {
        this.orders.push(`${databaseId}/${fence}`);
        const answer = (result: OrderResult): void =>
            this.push({ kind: PromotionKind.Ordered, service, databaseId, fence, result } as Message);
        const platformDelayMs = this.nextPlatformDelayMs();
        this.after(platformDelayMs, () => {
            const chosen = this.databases.find(({ id, running }) => id === databaseId && running);
            const refused = this.platformRefuses || chosen === undefined || fence < Math.max(0, ...this.fences);
            this.fences.push(fence);
            if (platformDelayMs < platformTimeoutMs) {
                this.after(
                    latencyMs,
                    this.ofControl(() => answer(refused ? OrderResult.Refused : OrderResult.Accepted)),
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
            this.after(platformTimeoutMs, this.ofControl(() => answer(OrderResult.Unknown)));
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
        this.databases.forEach(database => database.follow(kept));
        Object.assign(chosen, { leads: true, term, ledTerm: term });
        this.newestLedTerm = term;
        this.promoted.push(databaseId);
        this.databases.forEach(database => {
            this.catchUp(database);
            this.report(database);
        });
    }

    private catchUp(database: SimulatedDatabase): void {
        const source = this.databases.find(({ ledTerm, running }) => ledTerm === this.newestLedTerm && running);
        if (source === undefined || source === database || source.isCutFrom(database)) {
            return;
        }
        this.after(2 * latencyMs, () => {
            if (source.leads) {
                this.replicate(source, database, source.log.length);
            }
            else {
                database.receive(source, source.log.length);
            }
        });
    }

    private scheduleReports(database: SimulatedDatabase): void {
        this.every(reportIntervalMs, () => this.report(database));
        this.after(1, () => this.report(database));
    }

    /** Runs an action unless the control leader was replaced meanwhile. */
    private ofControl(action: () => void): () => void {
        const generation = this.controlGeneration;
        return () => {
            if (generation === this.controlGeneration) {
                action();
            }
        };
    }

    private every(intervalMs: number, action: () => void): void {
        this.after(intervalMs, () => {
            action();
            this.every(intervalMs, action);
        });
    }

    private after(delayMs: number, action: () => void): void {
        const timer: Timer = { kind: "timer", run: action };
        this.events.apply(setDeadline(`e${this.nextEvent++}`, this.nowMs + delayMs, timer));
    }
}

/** A process that starts on the machine of another one is cut off as that one was. */
function takeOverCuts(database: SimulatedDatabase, next: SimulatedDatabase): void {
    next.cutFromControl = database.cutFromControl;
    database.cutFrom.forEach(address => next.cutFrom.add(address));
}
