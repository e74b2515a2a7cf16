/** The session pipes of many instances in virtual time, with simulated databases, networks and processor costs. */
import { ColdBudgets } from "../../fleet/coldBudgets.ts";
import { ColdRequester } from "../../fleet/coldRequester.ts";
import type { ColdTolerance } from "../../model/coldLimits.ts";
import { ControlKind, type ControlPropose, ProposalStatus } from "../../model/controlMessages.ts";
import { type ExplanationAsked, type ExplanationEnded, ExplanationKind } from "../../model/explanation.ts";
import {
    type DatabaseReport,
    type FleetFrame,
    FleetKind,
    type PermitsGranted,
    type PolicyApplied,
    ReportedState,
    type SendFrame,
} from "../../model/fleetMessages.ts";
import { LinkKind, type LinkOpen, type LinkSend } from "../../model/linkMessages.ts";
import { Pace } from "../../model/pace.ts";
import {
    type PeerAnswer,
    type PeerInstance,
    PeerKind,
    type PeerQuestion,
    type PeerSend,
} from "../../model/peerMessages.ts";
import { SchedulingKind } from "../../model/schedulingMessages.ts";
import { type SessionAnswer, type SessionEnding, SessionKind } from "../../model/sessionMessages.ts";
import {
    isNotRun,
    type SessionStatement,
    SessionStatementKind,
    type StatementAnswer,
    StatementFault,
    TaskMode,
} from "../../model/sessionStatement.ts";
import {
    commonHomeRegions,
    RouteConsistency,
    type RoutePolicy,
    type WorkspacePolicy,
} from "../../model/trafficPolicy.ts";
import { type Clock, EventLoop } from "../../pipeline/eventLoop.ts";
import type { Filter } from "../../pipeline/filter.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import type { Sink } from "../../pipeline/sink.ts";
import { TaskFrameMessage } from "../../rpc/generated/tasks.ts";
import { encodeQuestion, encodeResult } from "../../rpc/taskCodec.ts";
import { Admission } from "../admission.ts";
import { ColdGate } from "../coldGate.ts";
import { ColdRule } from "../coldRule.ts";
import { EvacuationRule } from "../evacuationRule.ts";
import { EvacuationStages } from "../evacuationStages.ts";
import { FloorExchange } from "../floorExchange.ts";
import { Forwarding } from "../forwarding.ts";
import { HolderRanking } from "../holderRanking.ts";
import { HomeRule } from "../homeRule.ts";
import { Links } from "../links.ts";
import { PassedTasks } from "../passedTasks.ts";
import { Routing } from "../routing.ts";
import { SessionAccess } from "../sessionAccess.ts";
import { Sessions } from "../sessions.ts";
import { TaskKind, type TaskPlaced } from "../taskMessages.ts";
import { AnswerChecker } from "./answerChecker.ts";
import { askedFor } from "./explanationQuestions.ts";
import { Schedule } from "./schedule.ts";
import { statement } from "./sessionFixture.ts";
import { StandInDatabase } from "./standInDatabase.ts";

/** One-way delays between and inside data centres. */
const crossDataCentreDelayMs = 4;
const localDelayMs = 0.3;

/** Overhead of HTTP/2, gRPC and TCP per message between instances. */
const framingBytes = 90;

const coldTolerance: ColdTolerance = { excess: 1.5, statements: 5 };

/** Matches the ids of probes and floor questions, and of answers without a question, but not those of callers' tasks. */
const probeIdPattern = /^([pf]\d|$)/;

/** Mean pause between operations of one session; pauses are uniform up to twice this long. */
const meanPauseMs = 3_300;

/** Time after an evacuation from which no statement may reach its databases. */
export const evacuationBoundMs = 5_000;

export interface SessionFleetOptions {
    readonly instances: number;
    readonly dataCentres: number;
    readonly services: number;
    readonly workspaces: number;
    /** Number of sessions in the whole fleet; each starts an operation every 3.3 s on average. */
    readonly sessions: number;
    readonly connectionLimit?: number;
    /** Replication lag of the replicas. */
    readonly lagMs?: number;
    readonly seed?: number;
    /** Share of a core that each instance has; without it, work takes no time. */
    readonly processorShare?: number;
    /** Pause between two statements of a transaction. */
    readonly transactionPauseMs?: number;
    /** Region of each data centre; by default none is known. */
    readonly regions?: ReadonlyMap<string, string>;
    /** Home regions by the name of the route or of the workspace; by default none has any. */
    readonly homeRegions?: ReadonlyMap<string, readonly string[]>;
    /** Statements per second that a cold database bears; by default there is no limit. */
    readonly coldPerSecond?: number;
    /** Databases that say that they are cold. */
    readonly coldDatabaseIds?: readonly string[];
    /** Instances know nothing until the test tells them; by default they know everything from the start. */
    readonly isStateWithheld?: boolean;
}

/** Time from SIGTERM to SIGKILL, and the part of it in which new sessions are still accepted. */
const killGraceMs = 6_000;
const newSessionsMs = 2_400;

/** Time after which all instances know that one is leaving. */
const leavePropagationMs = 250;

/** Processor time of gRPC and sockets per message or stream, in ms, before the JIT compiler has optimized the code. */
const ProcessorCostMs = {
    peerIn: 0.15,
    peerOut: 0.15,
    streamOpened: 1.5,
    streamAccepted: 0.9,
    linkIn: 0.06,
    linkOut: 0.06,
    callerIn: 0.1,
    callerOut: 0.1,
} as const;

/** Counters of one instance. */
export interface InstanceCounters {
    questions: number;
    probes: number;
    bytesIn: number;
    bytesOut: number;
    /** Bytes in and out of floor questions, probes and their answers. */
    floorBytes: number;
    linksOpened: number;
    /** Number of streams opened to other instances. */
    streams: number;
    /** Processor time of gRPC and sockets. */
    busyMs: number;
}

export class SessionFleet {
    readonly schedule = new Schedule();
    readonly databases = new Map<string, StandInDatabase>();
    readonly nodes: FleetNode[] = [];
    readonly random: SeededRandom;
    readonly options: SessionFleetOptions;
    /** Number of answers to operations, by fault; "served" without a fault. */
    readonly answers = new Map<string, number>();
    operationCount = 0;
    /** Number of operations that were served within the latency objective of their route. */
    servedInTimeCount = 0;
    /** Number of passed attempts that were refused because a database lags, by the database or by its holder. */
    readonly laggingAttempts = new Map<string, number>();
    /** Database of each passed task, by the ids of its attempt and of the instance that passed it. */
    readonly passedDatabases = new Map<string, string>();
    /** Delay added to every message between instances. */
    congestionMs = 0;
    /** Sessions that were closed while a request waited for its answer. */
    readonly abortedSessionIds: string[] = [];
    /** Statements that ran on a database without a commit that they had to see. */
    readonly staleStatementIds: string[] = [];
    /** Called when an instance opens a link or sends commands on one. */
    onLinkUsed: (node: FleetNode, message: LinkOpen | LinkSend) => void = () => undefined;
    readonly checker = new AnswerChecker();
    /** What was done for sessions and workspaces outside of their home regions. */
    readonly outsideHome: string[] = [];
    /** Sessions with the home regions of their route and workspace together. */
    readonly homesBySession = new Map<string, readonly string[]>();
    private readonly coldLeader = new ColdLeader(this);
    /** Called for each message that leaves the pipes of an instance, except the answers to questions. */
    onOutput: (node: FleetNode, message: Message) => void = () => undefined;
    /** Called when an instance assigns a task to a database. */
    onPlaced: (node: FleetNode, placed: TaskPlaced) => void = () => undefined;
    /** Called with the answer to a question where a statement would go. */
    onExplained: (node: FleetNode, ended: ExplanationEnded) => void = () => undefined;
    /** Called at the end of each operation, with its start and the fault of its last answer. */
    onOperationEnded: (startMs: number, fault: string | undefined) => void = () => undefined;
    /** Time before which all commits must be visible to a statement, by its id. */
    private readonly visibleBeforeMs = new Map<string, number>();

    constructor(options: SessionFleetOptions) {
        this.options = options;
        this.random = new SeededRandom(options.seed ?? 1);
        const peers = Array.from({ length: options.instances }, (_, index): PeerInstance => ({
            instanceId: `front-${index}`,
            address: `10.0.0.${index}:7000`,
            dataCentre: `dc${index % options.dataCentres}`,
        }));
        peers.forEach(peer => this.nodes.push(new FleetNode(this, peer)));
        for (let index = 0; index < 3 * options.services; index++) {
            const database = new StandInDatabase(this.schedule, this.report(index), {
                connectionLimit: options.connectionLimit ?? 82,
                lagMs: options.lagMs ?? 60,
                random: new SeededRandom((options.seed ?? 1) + index),
                checker: this.checker,
            });
            database.onStatement = (statementId, commits) => {
                this.checkRead(database, statementId, commits);
                this.checkHome(sessionIdOf(statementId), database.report.dataCentre, "run");
            };
            this.databases.set(database.report.databaseId, database);
        }
        this.databases.forEach(database => this.linkReplicas(database));
        if (options.isStateWithheld !== true) {
            this.nodes.forEach(node => this.sendInitialState(node, peers));
        }
    }

    /**
     * Opens the sessions of callers, each of which then runs one operation after another.
     * @param spreadMs time over which the first operations are spread
     */
    startCallers(nodes: readonly FleetNode[] = this.nodes, spreadMs = meanPauseMs * 2): void {
        for (let index = 0; index < this.options.sessions; index++) {
            const node = nodes[this.random.nextInteger(nodes.length)]!;
            const routes = [...this.policy().routesByDatabase.values()];
            const share = this.random.nextFloat();
            const kinds = routes.filter(({ name }) =>
                name.startsWith(share < 0.15 ? "orders" : share < 0.3 ? "lookup" : "status")
            );
            const route = kinds[this.random.nextInteger(kinds.length)]!;
            const caller = new Caller(this, node, `s${index}`, route);
            this.schedule.at(spreadMs * this.random.nextFloat(), () => caller.start());
        }
    }

    advance(durationMs: number): void {
        this.schedule.advanceTo(this.schedule.nowMs + durationMs);
    }

    node(address: string): FleetNode | undefined {
        return this.nodes.find(({ peer }) => peer.address === address);
    }

    /** Returns the instances of a data centre that are the holder of no database. */
    nonHolders(dataCentre: string): readonly FleetNode[] {
        const holders = [...this.databases.values()].map(database => this.holderOf(database));
        return this.nodes.filter(({ peer }) => peer.dataCentre === dataCentre && !holders.includes(peer));
    }

    /** Shuts an instance down as the platform does: it drains, and is killed if it has not exited in time. */
    stop(node: FleetNode): void {
        const drain = {
            kind: FleetKind.DrainStarted,
            transactionsUntilMs: this.schedule.nowMs + killGraceMs / 2,
            answersUntilMs: this.schedule.nowMs + killGraceMs - 600,
        };
        node.leaving = true;
        node.post({ ...drain, final: false } as Message);
        this.schedule.after(leavePropagationMs, () => {
            const instances = this.nodes.filter(({ leaving }) => !leaving).map(({ peer }) => peer);
            this.nodes.forEach(other => other.post({ kind: PeerKind.InstancesKnown, instances } as Message));
        });
        this.schedule.after(newSessionsMs, () => node.post({ ...drain, final: true } as Message));
        this.schedule.after(killGraceMs - 400, () => node.end());
    }

    /** Disturbs an instance; `end` undoes it after `durationMs`. */
    disturb(node: FleetNode, durationMs: number, start: () => void, end: () => void): void {
        node.disturbed = true;
        start();
        this.schedule.after(durationMs, end);
    }

    primariesHeldBy({ peer }: FleetNode): number {
        return [...this.databases.values()].filter(database =>
            database.report.leads && this.holderOf(database) === peer
        ).length;
    }

    holderOf({ report }: StandInDatabase): PeerInstance | undefined {
        const ranking = new HolderRanking();
        ranking.setInstances(this.nodes.map(node => node.peer));
        return ranking.rank(report.databaseId, report.dataCentre)[0];
    }

    /** One-way delay of a message between instances of two data centres. */
    delayMs(from: string, to: string): number {
        return this.linkDelayMs(from, to) + this.congestionMs;
    }

    /** One-way delay of a message between an instance and a database. */
    linkDelayMs(from: string, to: string): number {
        return from === to ? localDelayMs : crossDataCentreDelayMs;
    }

    resetCounts(): void {
        this.nodes.forEach(node => node.counters = newCounters());
        this.answers.clear();
        this.operationCount = 0;
        this.servedInTimeCount = 0;
        this.laggingAttempts.clear();
        this.databases.forEach(database => Object.assign(database, { laggingCount: 0, openedCount: 0 }));
    }

    /** Counts an answer, except one of a disturbed instance. */
    recordAnswer(node: FleetNode, answer: string): void {
        if (node.disturbed) {
            return;
        }
        const counted = node.leaving ? `${answer} while leaving` : answer;
        this.answers.set(counted, (this.answers.get(counted) ?? 0) + 1);
    }

    expectCommits(statementId: string, beforeMs: number): void {
        this.visibleBeforeMs.set(statementId, beforeMs);
    }

    /** Records what is done for a session in a data centre outside of its home regions. */
    checkHome(sessionId: string, dataCentre: string, action: string): void {
        const homes = this.homesBySession.get(sessionId);
        if (homes !== undefined && !homes.includes(this.options.regions?.get(dataCentre) ?? "")) {
            this.outsideHome.push(`${sessionId} ${action} in ${dataCentre}`);
        }
    }

    private checkRead(database: StandInDatabase, statementId: string, commits: number): void {
        const beforeMs = this.visibleBeforeMs.get(statementId) ?? -Infinity;
        if ((database.primary?.commits[commits] ?? Infinity) < beforeMs) {
            this.staleStatementIds.push(statementId);
        }
    }

    /** Picks a workspace at random; a few workspaces have most of the sessions. */
    workspace(): string {
        const { workspaces } = this.options;
        return `w${Math.min(workspaces - 1, Math.floor(workspaces ** this.random.nextFloat() - 1))}`;
    }

    /** The instance learns that the databases of these data centres get no more work, and those of the others do. */
    tellEvacuated(node: FleetNode, ...dataCentres: readonly string[]): void {
        node.post(
            {
                kind: FleetKind.PolicyApplied,
                policy: this.policy(),
                confirmed: true,
                promoted: new Map(),
                ordered: new Map(),
                completedFences: new Map(),
                evacuated: new Set(dataCentres),
            } as PolicyApplied,
        );
    }

    sendInitialState(node: FleetNode, peers: readonly PeerInstance[]): void {
        this.sendPolicy(node, peers);
        this.databases.forEach(({ report }) => node.post({ kind: FleetKind.DatabaseChanged, report } as Message));
    }

    /** Sends all of the state but the databases. */
    sendPolicy(node: FleetNode, peers: readonly PeerInstance[]): void {
        this.tellEvacuated(node);
        const grants = [...this.policy().workspaces.keys()].map(workspace => (
            { workspace, count: 1e6, retryMs: 0, fallback: undefined }
        ));
        node.post({ kind: FleetKind.PermitsGranted, grants, validUntilMs: Infinity } as PermitsGranted);
        node.post({ kind: PeerKind.InstancesKnown, instances: peers } as Message);
        this.coldLeader.attach(node, this.policy());
    }

    /** Sends a frame of an instance to the control leader. */
    sendToLeader(node: FleetNode, { frame }: SendFrame): void {
        this.schedule.after(crossDataCentreDelayMs, () => this.coldLeader.receive(node, frame));
    }

    private linkReplicas(database: StandInDatabase): void {
        const { service } = database.report;
        const group = [...this.databases.values()].filter(({ report }) => report.service === service);
        database.primary = group.find(({ report }) => report.leads);
    }

    private report(index: number): DatabaseReport {
        return {
            databaseId: `db${index}`,
            service: `service${Math.floor(index / 3)}`,
            address: `db${index}:1`,
            dataCentre: `dc${(Math.floor(index / 3) + index % 3) % this.options.dataCentres}`,
            slots: 5,
            state: ReportedState.Ready,
            leads: index % 3 === 0,
            sequence: 1,
            bornUnixMs: 1,
            coldLeftMs: this.options.coldDatabaseIds?.includes(`db${index}`) === true ? 60_000 : 0,
        };
    }

    private policy(): PolicyApplied["policy"] {
        const names = Array.from({ length: this.options.workspaces }, (_, index) => `w${index}`);
        const workspaces = names.map((name): WorkspacePolicy => ({
            name,
            keys: [`k-${name}`],
            ratePerSecond: 1e4,
            burst: 1e4,
            homeRegions: this.options.homeRegions?.get(name) ?? [],
        }));
        const services = Array.from({ length: this.options.services }, (_, index) => `service${index}`);
        const routes = services.flatMap(service => [
            routeOf("orders", service, RouteConsistency.Primary, 0),
            routeOf("lookup", service, RouteConsistency.Bounded, 1_500),
            routeOf("status", service, RouteConsistency.Session, 2_500),
        ]).map(route => ({ ...route, homeRegions: this.options.homeRegions?.get(route.name) ?? [] }));
        const connectionLimit = this.options.connectionLimit ?? 82;
        const { coldPerSecond } = this.options;
        const cold = coldPerSecond === undefined ? {} : { coldPerSecond, coldStartMs: 5_000 };
        return {
            version: 1,
            routesByDatabase: new Map(routes.map(route => [route.database, route])),
            services: new Map(services.map(name => [name, { name, connectionLimit, synchronousReplicas: 1, ...cold }])),
            workspaces: new Map(workspaces.map(workspace => [workspace.name, workspace])),
            workspaceByKey: new Map(names.map(name => [`k-${name}`, name])),
            transactionIdleMs: 3_000,
        };
    }
}

/** One instance: its session pipe, and the network between it, its callers, other instances and the databases. */
export class FleetNode implements Sink {
    readonly accepts = [
        SessionKind.Accept,
        SessionKind.Refuse,
        SessionKind.Answer,
        SessionKind.Ending,
        SessionKind.Close,
        SessionKind.StopProgressed,
        LinkKind.Open,
        LinkKind.Send,
        LinkKind.Close,
        LinkKind.ReplyDiscarded,
        ...Object.values(SchedulingKind),
        FleetKind.PermitsNeeded,
        FleetKind.DatabaseSuspected,
        FleetKind.Drained,
        FleetKind.PolicyProofNeeded,
        FleetKind.SendFrame,
        PeerKind.Send,
        PeerKind.Answer,
        ExplanationKind.Ended,
    ];
    readonly peer: PeerInstance;
    readonly callers = new Map<string, Caller>();
    counters = newCounters();
    /** A frozen instance processes nothing; arriving messages wait. */
    frozen = false;
    killed = false;
    /** Messages between this instance and other instances are lost. */
    partitioned = false;
    /** The instance is draining. */
    leaving = false;
    /** The instance has been frozen, killed or partitioned. */
    disturbed = false;
    private readonly fleet: SessionFleet;
    private readonly loop: EventLoop;
    private readonly clock: NodeClock;
    private inbox: Message[] = [];
    private busyUntilMs = 0;
    private readonly streams = new Set<string>();

    constructor(fleet: SessionFleet, peer: PeerInstance) {
        this.fleet = fleet;
        this.peer = peer;
        const { instanceId, dataCentre } = peer;
        const dataCentreRegions = fleet.options.regions ?? new Map<string, string>();
        const coldRule = new ColdRule({ tolerance: coldTolerance });
        const filters = [
            new FloorExchange({ instanceId, dataCentre }),
            new SessionAccess(),
            new Sessions(),
            new Admission({ random: new SeededRandom(1) }),
            new PassedTasks(),
            coldRule,
            new Routing({
                dataCentre,
                dataCentreRegions,
                rules: [new EvacuationRule(evacuationBoundMs), new HomeRule(dataCentreRegions), coldRule],
                random: new SeededRandom(fleet.nodes.length + 1),
            }),
            new PlacementObserver(placed => fleet.onPlaced(this, placed)),
            new Forwarding({ instanceId, dataCentreRegions }),
            new ColdGate(),
            new EvacuationStages(evacuationBoundMs),
            new Links({ random: new SeededRandom(1), pace: Pace.Adaptive }),
        ];
        this.clock = new NodeClock(fleet.schedule, () => !this.frozen && !this.killed, () => this.busyUntilMs);
        this.loop = new EventLoop({
            clock: this.clock,
            pipes: [new Pipe("session", filters), new Pipe("fleet", [new ColdRequester()])],
            sinks: [this],
        });
    }

    post(message: Message): void {
        if (this.killed) {
            return;
        }
        if (this.frozen) {
            this.inbox.push(message);
            return;
        }
        const costMs = message.kind.startsWith("peer.")
            ? ProcessorCostMs.peerIn
            : message.kind.startsWith("link.")
            ? ProcessorCostMs.linkIn
            : message.kind.startsWith("session.")
            ? ProcessorCostMs.callerIn
            : 0;
        this.afterWork(costMs, () => this.loop.post(message));
    }

    /** Runs a function once the processor has done the work for it, after all earlier work. */
    afterWork(costMs: number, run: () => void): void {
        const share = this.fleet.options.processorShare;
        if (share === undefined) {
            run();
            return;
        }
        this.busyUntilMs = Math.max(this.busyUntilMs, this.fleet.schedule.nowMs) + costMs / share;
        this.counters.busyMs += costMs;
        this.fleet.schedule.at(this.busyUntilMs, run);
    }

    unfreeze(): void {
        this.frozen = false;
        const waiting = this.inbox;
        this.inbox = [];
        waiting.forEach(message => this.post(message));
        // Runs the timers that came due while the instance was frozen.
        this.clock.runMissed();
    }

    /** Kills the process; the streams of all other instances to it end at once. */
    kill(): void {
        this.killed = true;
        this.fleet.databases.forEach(database => database.closeConnections(this.peer.instanceId));
        this.fleet.nodes.filter(other => other !== this).forEach(other => this.endStreamsAt(other));
    }

    /** Exits the process in order: the messages that it has sent arrive before its streams end. */
    end(): void {
        if (this.killed) {
            return;
        }
        this.killed = true;
        this.fleet.abortedSessionIds.push(
            ...[...this.callers.values()].filter(({ awaitsAnswer }) => awaitsAnswer).map(({ sessionId }) => sessionId),
        );
        this.fleet.databases.forEach(database => database.closeConnections(this.peer.instanceId));
        this.fleet.nodes.filter(other => other !== this).forEach(other => {
            const delayMs = this.fleet.delayMs(this.peer.dataCentre, other.peer.dataCentre);
            this.fleet.schedule.after(delayMs, () => this.endStreamsAt(other));
        });
    }

    private endStreamsAt(other: FleetNode): void {
        other.post({ kind: PeerKind.Lost, address: this.peer.address } as Message);
        other.post({ kind: PeerKind.Gone, streamId: this.peer.instanceId } as Message);
    }

    /** Asks where a statement would go. */
    ask(request: ExplanationAsked["request"]): void {
        this.post(askedFor(request));
    }

    deliver(message: Message): void {
        if (message.kind === ExplanationKind.Ended) {
            this.fleet.onExplained(this, message as ExplanationEnded);
            return;
        }
        this.fleet.onOutput(this, message);
        const costMs = message.kind.startsWith("peer.")
            ? ProcessorCostMs.peerOut
            : message.kind.startsWith("link.")
            ? ProcessorCostMs.linkOut
            : message.kind === SessionKind.Answer
            ? ProcessorCostMs.callerOut
            : 0;
        this.afterWork(costMs, () => this.emit(message));
    }

    private emit(message: Message): void {
        switch (message.kind) {
            case SessionKind.Answer:
                this.callers.get((message as SessionAnswer).sessionId)?.answered(message as SessionAnswer);
                return;
            case SessionKind.Ending:
                this.callers.get((message as SessionEnding).sessionId)?.toldEnd();
                return;
            case SessionKind.Close:
                this.callers.get((message as SessionAnswer).sessionId)?.closed();
                return;
            case FleetKind.Drained:
                return this.end();
            case FleetKind.SendFrame:
                return this.fleet.sendToLeader(this, message as SendFrame);
            case SessionKind.Refuse:
                this.fleet.recordAnswer(this, "refused");
                return;
            case PeerKind.Send:
                return this.sendQuestion(message as PeerSend);
            case PeerKind.Answer:
                return this.sendAnswer(message as PeerAnswer);
            case LinkKind.Open:
                this.counters.linksOpened += 1;
                this.fleet.onLinkUsed(this, message as LinkOpen);
                this.checkLink(message as LinkOpen);
                return this.sendToDatabase((message as unknown as { databaseId: string; }).databaseId, message);
            case LinkKind.Send:
            case LinkKind.Close:
                if (message.kind === LinkKind.Send) {
                    this.fleet.onLinkUsed(this, message as LinkSend);
                }
                return this.fleet.databases.forEach(database =>
                    this.sendToDatabase(database.report.databaseId, message)
                );
            default:
        }
    }

    /** A link tells the database the name of the workspace. */
    private checkLink({ databaseId, workspace }: LinkOpen): void {
        const { homeRegions, regions } = this.fleet.options;
        const homes = homeRegions?.get(workspace) ?? [];
        const { dataCentre } = this.fleet.databases.get(databaseId)!.report;
        if (homes.length > 0 && !homes.includes(regions?.get(dataCentre) ?? "")) {
            this.fleet.outsideHome.push(`${workspace} named in ${dataCentre}`);
        }
    }

    private sendQuestion({ address, question }: PeerSend): void {
        const other = this.fleet.node(address);
        if (other === undefined || other.killed) {
            this.fleet.schedule.after(localDelayMs, () => this.post({ kind: PeerKind.Lost, address } as Message));
            return;
        }
        if (question.kind === "task") {
            this.fleet.checkHome(question.sessionId, other.peer.dataCentre, "carried");
            this.fleet.passedDatabases.set(question.taskId + this.peer.instanceId, question.databaseId);
        }
        const bytes = frameBytes(encodeQuestion(question));
        this.counters.bytesOut += bytes;
        const floorBytes = isProbe(question) ? bytes : 0;
        this.counters.floorBytes += floorBytes;
        if (!this.streams.has(address)) {
            this.streams.add(address);
            this.counters.streams += 1;
            this.afterWork(ProcessorCostMs.streamOpened, () => undefined);
            other.afterWork(ProcessorCostMs.streamAccepted, () => undefined);
        }
        this.fleet.schedule.after(this.fleet.delayMs(this.peer.dataCentre, other.peer.dataCentre), () => {
            if (this.partitioned || other.partitioned) {
                return;
            }
            other.counters.bytesIn += bytes;
            other.counters.floorBytes += floorBytes;
            other.counters.questions += 1;
            other.counters.probes += isProbe(question) ? 1 : 0;
            other.post({ kind: PeerKind.Asked, streamId: this.peer.instanceId, question } as Message);
        });
    }

    private sendAnswer({ streamId, result }: PeerAnswer): void {
        const other = this.fleet.nodes.find(({ peer }) => peer.instanceId === streamId)!;
        const bytes = frameBytes(encodeResult(result));
        const fault = result.kind === "task" ? result.fault ?? result.reply?.fault : undefined;
        const databaseId = result.kind === "task"
            ? this.fleet.passedDatabases.get(result.taskId + streamId)
            : undefined;
        if (fault === StatementFault.Lagging && databaseId !== undefined) {
            const { laggingAttempts } = this.fleet;
            laggingAttempts.set(databaseId, (laggingAttempts.get(databaseId) ?? 0) + 1);
        }
        const floorBytes = probeIdPattern.test(result.kind === "task" ? result.taskId : result.questionId) ? bytes : 0;
        this.counters.bytesOut += bytes;
        this.counters.floorBytes += floorBytes;
        this.fleet.schedule.after(this.fleet.delayMs(this.peer.dataCentre, other.peer.dataCentre), () => {
            if (this.partitioned || other.partitioned) {
                return;
            }
            other.counters.bytesIn += bytes;
            other.counters.floorBytes += floorBytes;
            other.post({ kind: PeerKind.Answered, address: this.peer.address, result } as Message);
        });
    }

    private sendToDatabase(databaseId: string, message: Message): void {
        const database = this.fleet.databases.get(databaseId)!;
        const delayMs = this.fleet.linkDelayMs(this.peer.dataCentre, database.report.dataCentre);
        this.fleet.schedule.after(delayMs, () =>
            database.receive(
                this.peer.instanceId,
                message,
                answer => this.fleet.schedule.after(delayMs, () => this.post(answer)),
            ));
    }
}

/** Sees the tasks that routing has placed, and passes them on. */
class PlacementObserver implements Filter<TaskPlaced> {
    readonly step = "observer";
    readonly accepts = [TaskKind.Placed];
    private readonly onPlaced: (placed: TaskPlaced) => void;

    constructor(onPlaced: (placed: TaskPlaced) => void) {
        this.onPlaced = onPlaced;
    }

    process(placed: TaskPlaced): readonly TaskPlaced[] {
        this.onPlaced(placed);
        return [placed];
    }
}

/** The control leader, as far as it grants the right to send tasks to cold databases. */
class ColdLeader {
    private readonly budgets = new ColdBudgets({ tolerance: coldTolerance });
    private readonly fleet: SessionFleet;
    private readonly nodes = new Map<string, FleetNode>();

    constructor(fleet: SessionFleet) {
        this.fleet = fleet;
    }

    attach(node: FleetNode, policy: PolicyApplied["policy"]): void {
        if (this.nodes.size === 0) {
            this.push({ kind: FleetKind.PolicyApplied, policy } as unknown as Message);
            this.push({ kind: ControlKind.LeaderChanged, leading: true, term: 1 } as Message);
        }
        this.nodes.set(node.peer.instanceId, node);
        const status = { kind: "status", leading: true, term: 1 };
        node.post({ kind: FleetKind.FrameReceived, attachmentId: "leader", frame: status } as unknown as Message);
    }

    receive(node: FleetNode, frame: FleetFrame): void {
        this.fleet.databases.forEach(({ report }) => this.push({ kind: FleetKind.DatabaseChanged, report } as Message));
        this.push({ kind: FleetKind.FrameReceived, attachmentId: node.peer.instanceId, frame } as Message);
    }

    private push(message: Message): void {
        for (const output of this.budgets.process(message as never, this.fleet.schedule.nowMs)) {
            if (output.kind === FleetKind.SendFrame) {
                const { attachmentId, frame } = output as SendFrame;
                const received = { kind: FleetKind.FrameReceived, attachmentId: "leader", frame } as Message;
                this.fleet.schedule.after(crossDataCentreDelayMs, () => this.nodes.get(attachmentId)!.post(received));
            }
            else if (output.kind === ControlKind.Propose) {
                const { proposalId } = output as ControlPropose;
                const status = ProposalStatus.Conflict;
                const ended = { kind: ControlKind.ProposalEnded, proposalId, status } as Message;
                this.fleet.schedule.after(2 * crossDataCentreDelayMs, () => this.push(ended));
            }
        }
    }
}

/** One caller's session, which alternates between operations and pauses. */
class Caller {
    private readonly fleet: SessionFleet;
    private readonly node: FleetNode;
    readonly sessionId: string;
    /** A request waits for its answer. */
    awaitsAnswer = false;
    private isEnding = false;
    private isClosed = false;
    private readonly route: RoutePolicy;
    private remainingKinds: SessionStatementKind[] = [];
    private runningStatement: SessionStatement | undefined;
    private inTransaction = false;
    /** Writes of the operation that are acknowledged by the success of its last statement. */
    private writeIds: string[] = [];
    private nextId = 0;
    private operationStartMs = 0;

    constructor(fleet: SessionFleet, node: FleetNode, sessionId: string, route: RoutePolicy) {
        this.fleet = fleet;
        this.node = node;
        this.sessionId = sessionId;
        this.route = route;
        node.callers.set(sessionId, this);
    }

    start(): void {
        const workspace = this.fleet.workspace();
        const key = `k-${workspace}`;
        const { sessionId } = this;
        const homes = commonHomeRegions(this.route.homeRegions, this.fleet.options.homeRegions?.get(workspace));
        if (homes !== undefined) {
            this.fleet.homesBySession.set(sessionId, homes);
        }
        this.node.post({ kind: SessionKind.Opened, sessionId, database: this.route.database, key } as Message);
        this.startOperation();
    }

    closed(): void {
        this.isClosed = true;
        this.node.callers.delete(this.sessionId);
        if (this.awaitsAnswer) {
            this.fleet.abortedSessionIds.push(this.sessionId);
        }
    }

    /** A request that is on its way is refused, and the caller told once more. */
    toldEnd(): void {
        this.isEnding = true;
        if (!this.awaitsAnswer) {
            this.closed();
            this.node.post({ kind: SessionKind.Closed, sessionId: this.sessionId } as Message);
        }
    }

    answered({ answer }: SessionAnswer): void {
        this.awaitsAnswer = false;
        this.check(answer);
        if (answer.fault === undefined && this.remainingKinds.length > 0) {
            const pauseMs = this.fleet.options.transactionPauseMs ?? 0;
            if (pauseMs === 0) {
                this.request(this.remainingKinds.shift()!);
            }
            else {
                this.fleet.schedule.after(pauseMs, () => this.request(this.remainingKinds.shift()!));
            }
            return;
        }
        const open = answer.fault !== undefined && answer.transaction !== "none";
        this.fleet.recordAnswer(this.node, answer.fault ?? "served");
        this.fleet.onOperationEnded(this.operationStartMs, answer.fault);
        const elapsedMs = this.fleet.schedule.nowMs - this.operationStartMs;
        this.fleet.servedInTimeCount += answer.fault === undefined && elapsedMs <= this.route.targetLatencyMs ? 1 : 0;
        this.remainingKinds = [];
        if (this.isEnding) {
            return this.toldEnd();
        }
        if (open) {
            this.node.callers.delete(this.sessionId);
            this.node.post({ kind: SessionKind.Closed, sessionId: this.sessionId } as Message);
            return;
        }
        this.fleet.schedule.after(2 * meanPauseMs * this.fleet.random.nextFloat(), () => this.startOperation());
    }

    private check({ fault, signature }: StatementAnswer): void {
        const { checker } = this.fleet;
        const { id, kind } = this.runningStatement!;
        if (fault !== undefined) {
            if (isNotRun(fault)) {
                checker.refused(id, this.writeIds);
            }
        }
        else if (kind !== SessionStatementKind.Begin && kind !== SessionStatementKind.BeginRead) {
            checker.answerSucceeded(id, signature, this.remainingKinds.length === 0 ? this.writeIds : []);
        }
    }

    private startOperation(): void {
        if (this.isClosed) {
            return;
        }
        this.fleet.operationCount += 1;
        this.operationStartMs = this.fleet.schedule.nowMs;
        const [transactions, writes] = {
            [RouteConsistency.Primary]: [0.25, 0.2],
            [RouteConsistency.Bounded]: [0.1, 0],
            [RouteConsistency.Session]: [0.12, 0.12],
        }[this.route.consistency] as [number, number];
        const share = this.fleet.random.nextFloat();
        const { Begin, BeginRead, Read, Write, Commit } = SessionStatementKind;
        const begin = writes === 0 ? BeginRead : Begin;
        this.remainingKinds = share < transactions
            ? [begin, Read, ...writes === 0 ? [Read] : [Write], Commit]
            : [share < transactions + writes ? Write : Read];
        this.inTransaction = share < transactions;
        this.writeIds = [];
        this.request(this.remainingKinds.shift()!);
    }

    private request(kind: SessionStatementKind): void {
        this.awaitsAnswer = true;
        const sessionStatement = statement(kind, `${this.sessionId}-${this.nextId++}`);
        this.runningStatement = sessionStatement;
        if (kind === SessionStatementKind.Write) {
            this.writeIds.push(sessionStatement.id);
        }
        this.fleet.checker.ask(sessionStatement.id, this.sessionId, this.inTransaction);
        this.fleet.expectCommits(sessionStatement.id, this.operationStartMs - this.route.maximumAgeMs);
        this.node.post(
            { kind: SessionKind.Requested, sessionId: this.sessionId, statement: sessionStatement } as Message,
        );
    }
}

/** Clock of one instance, driven by the shared schedule. */
class NodeClock implements Clock {
    private wakeNumber = 0;
    private missedRun: (() => void) | undefined;
    private readonly schedule: Schedule;
    private readonly isRunning: () => boolean;
    private readonly busyUntilMs: () => number;

    constructor(schedule: Schedule, isRunning: () => boolean, busyUntilMs: () => number) {
        this.schedule = schedule;
        this.isRunning = isRunning;
        this.busyUntilMs = busyUntilMs;
    }

    nowMs(): number {
        return this.schedule.nowMs;
    }

    runSoon(run: () => void): void {
        this.schedule.after(0, run);
    }

    scheduleWakeUp(atMs: number, run: () => void): void {
        this.wakeNumber += 1;
        const wake = this.wakeNumber;
        this.missedRun = undefined;
        this.schedule.at(Math.max(atMs, this.busyUntilMs()), () => {
            if (wake === this.wakeNumber && this.isRunning()) {
                run();
            }
            else if (wake === this.wakeNumber) {
                this.missedRun = run;
            }
        });
    }

    /** Runs the wake-up that came due while the instance was not running. */
    runMissed(): void {
        const run = this.missedRun;
        this.missedRun = undefined;
        run?.();
    }

    cancelWakeUp(): void {
        this.wakeNumber += 1;
        this.missedRun = undefined;
    }
}

function sessionIdOf(statementId: string): string {
    return statementId.slice(0, statementId.lastIndexOf("-"));
}

function frameBytes(frame: TaskFrameMessage): number {
    return TaskFrameMessage.encode(frame).finish().length + framingBytes;
}

function isProbe(question: PeerQuestion): boolean {
    return question.kind === "floor" || question.kind === "task" && question.mode === TaskMode.Probe;
}

function newCounters(): InstanceCounters {
    return { questions: 0, probes: 0, bytesIn: 0, bytesOut: 0, floorBytes: 0, linksOpened: 0, streams: 0, busyMs: 0 };
}

function routeOf(name: string, service: string, consistency: RouteConsistency, maximumAgeMs: number): RoutePolicy {
    return {
        name: `${name}-${service}`,
        database: `${name}-${service}`,
        service,
        consistency,
        maximumAgeMs,
        statementLimitMs: 1_000,
        targetLatencyMs: 500,
        priority: 1,
        open: false,
    };
}
