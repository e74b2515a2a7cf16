/** Runs one load under one policy through the request and holder filters in virtual time. */
import type { CallerAnswer } from "../src/model/callerMessages.ts";
import { DatabaseRole } from "../src/model/database.ts";
import { OutcomeKind } from "../src/model/outcome.ts";
import { Execution, refusalTable } from "../src/model/refusal.ts";
import { StatementKind } from "../src/model/statement.ts";
import { defaultWorkClass, type WorkClass } from "../src/model/workClass.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { type AdmittedRequest, LocalAction, RequestKind } from "../src/request/requestMessages.ts";
import { AcknowledgedWrites } from "./acknowledgedWrites.ts";
import { FixedLag, type LagPattern, RandomStalls } from "./lagPattern.ts";
import { type Arrival, runDurationMs, ShapeName } from "./loadShapes.ts";
import type { ModelDatabase } from "./modelDatabase.ts";
import { groupCount, ProxyCluster } from "./proxyCluster.ts";
import { measureProxy, type ProxyFigures } from "./proxyFigures.ts";
import type { ProxyPolicy } from "./proxyPolicies.ts";
import { readText, writeText } from "./statementText.ts";
import type { User } from "./users.ts";

/** Work class whose reads accept data up to a maximum age; the other class requires the primary's current data. */
const boundedAgeClass: WorkClass = { ...defaultWorkClass, name: "lookups", maximumAgeMs: 1_500 };
const currentClass: WorkClass = { ...defaultWorkClass, name: "orders", maximumAgeMs: 0 };

// The statement mix and the number of callers are assumptions of the benchmark.
const readShare = 0.8;
const currentReadShare = 0.1;
const callersPerWorkspace = 25;

const normalLagMs = 5;
const faultAtMs = 8_000;
const healAtMs = 16_000;
const lostGroupIndex = 0;
const cutOffDataCentreIndex = 2;

/** State of one statement in the model. */
export interface ModelStatement {
    readonly arrival: Arrival;
    readonly group: number;
    readonly callerId: string;
    readonly isWrite: boolean;
    readonly targets: WorkClass;
    startedAtMs: number | undefined;
    /** Whether the last attempt ran on a replica, and whether its database was stale when the statement started. */
    ranOnReplica: boolean;
    isStale: boolean;
    servedAtMs: number | undefined;
    isOutcomeUnknown: boolean;
}

export interface ProxyRun {
    readonly user: string;
    readonly shape: string;
    readonly policy: string;
    readonly figures: ProxyFigures;
}

export interface ProxyLoad {
    readonly shape: string;
    readonly seed: number;
    readonly arrivals: readonly Arrival[];
    /** Time of admission by index of the arrival; a missing statement was refused because of its rate. */
    readonly admittedAtMs: ReadonlyMap<number, number>;
    /** Undefined if the load has no rates. */
    readonly overRateAdmissions: number | undefined;
}

export function runProxy(user: User, load: ProxyLoad, policy: ProxyPolicy): ProxyRun {
    const { seed } = load;
    const statements = createStatements(user, load.arrivals, new SeededRandom(seed + 2));
    const histories = Array.from({ length: groupCount }, () => new AcknowledgedWrites());
    const cluster = new ProxyCluster({
        user,
        lag: lagPatternOf(load.shape, seed),
        seed: seed + 3,
        observer: { statementStarted: (id, database) => recordStart(statements[id]!, database, histories, cluster) },
        onAnswer: answer => {
            const statement = statements[answer.connectionId]!;
            recordAnswer(statement, answer, histories, cluster);
            cluster.endSession(statement.arrival.instanceIndex, answer.connectionId);
        },
    });
    for (const [id, admittedAtMs] of load.admittedAtMs) {
        const statement = statements[id]!;
        const request = policy.prepare(createRequest(user, statement, id), admittedAtMs);
        cluster.simulation.at(admittedAtMs, () => cluster.offer(statement.arrival.instanceIndex, request));
    }
    scheduleFaults(load.shape, cluster);
    // Leaves statements that arrive at the end their waiting time and the time for confirmation.
    cluster.simulation.runUntil(runDurationMs + 2 * defaultWorkClass.waitingMs);
    const groupsWithLostWrites = histories.filter((history, group) => history.hasLost(cluster.primary(group))).length;
    const figures = measureProxy({
        user,
        load,
        statements,
        cluster,
        groupsWithLostWrites,
        primaryLostAtMs: primaryLossAtMs(load.shape),
    });
    return { user: user.name, shape: load.shape, policy: policy.name, figures };
}

function createStatements(user: User, arrivals: readonly Arrival[], random: SeededRandom): ModelStatement[] {
    return arrivals.map(arrival => {
        const isWrite = random.nextFloat() >= readShare;
        const isCurrent = random.nextFloat() < currentReadShare;
        const workspace = user.workspaces[arrival.workspaceIndex]!.name;
        return {
            arrival,
            group: random.nextInteger(groupCount),
            callerId: `${workspace}/${random.nextInteger(callersPerWorkspace)}`,
            isWrite,
            targets: isCurrent ? currentClass : boundedAgeClass,
            startedAtMs: undefined,
            ranOnReplica: false,
            isStale: false,
            servedAtMs: undefined,
            isOutcomeUnknown: false,
        };
    });
}

function createRequest(user: User, statement: ModelStatement, id: number): AdmittedRequest {
    const { arrival, targets, isWrite, group, callerId } = statement;
    return {
        kind: RequestKind.Admitted,
        connectionId: id,
        sequence: 0,
        callerId,
        workspace: user.workspaces[arrival.workspaceIndex]!.name,
        service: `g${group}`,
        text: isWrite ? writeText(id) : readText(id),
        arrivedAtMs: arrival.atMs,
        statementKind: isWrite ? StatementKind.Write : StatementKind.Read,
        localAction: LocalAction.None,
        localArgument: "",
        attributes: { workClass: undefined, requestId: undefined, maximumAgeMs: undefined, sessionToken: undefined },
        workClass: targets.name,
        targets,
        deadlineMs: arrival.atMs + targets.waitingMs,
        inTransaction: false,
    };
}

function lagPatternOf(shape: string, seed: number): LagPattern {
    if (shape === ShapeName.Lagging) {
        return new RandomStalls(new SeededRandom(seed + 4));
    }
    return new FixedLag(shape === ShapeName.FixedLag ? 1_000 : normalLagMs);
}

function primaryLossAtMs(shape: string): number | undefined {
    return shape === ShapeName.PrimaryLost || shape === ShapeName.CutOff ? faultAtMs : undefined;
}

function scheduleFaults(shape: string, cluster: ProxyCluster): void {
    if (shape === ShapeName.PrimaryLost) {
        cluster.simulation.at(faultAtMs, () => cluster.killPrimary(lostGroupIndex));
    }
    if (shape === ShapeName.CutOff) {
        cluster.simulation.at(faultAtMs, () => cluster.cutOff(cutOffDataCentreIndex));
        cluster.simulation.at(healAtMs, () => cluster.heal(cutOffDataCentreIndex));
    }
}

function recordStart(
    statement: ModelStatement,
    database: ModelDatabase,
    histories: readonly AcknowledgedWrites[],
    cluster: ProxyCluster,
): void {
    const { arrival, callerId, group, targets, isWrite } = statement;
    statement.startedAtMs = cluster.simulation.nowMs;
    statement.ranOnReplica = database.role === DatabaseRole.Replica;
    statement.isStale = !isWrite && histories[group]!.isStale(database, callerId, arrival.atMs, targets.maximumAgeMs);
}

function recordAnswer(
    statement: ModelStatement,
    { connectionId, outcome }: CallerAnswer,
    histories: readonly AcknowledgedWrites[],
    cluster: ProxyCluster,
): void {
    const { nowMs } = cluster.simulation;
    if (outcome.kind === OutcomeKind.Refused) {
        statement.isOutcomeUnknown = refusalTable[outcome.refusal.code].execution === Execution.Unknown;
        return;
    }
    statement.servedAtMs = nowMs;
    if (statement.isWrite) {
        histories[statement.group]!.acknowledge(statement.callerId, connectionId, nowMs);
    }
}
