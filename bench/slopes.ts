/** Costs per workspace, instance and statement, for docs/CAPACITY.md. */
import { performance } from "node:perf_hooks";
import { ClusterKind } from "../src/model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../src/model/configuration.ts";
import { type LeaseAssignment, ResourceKind } from "../src/model/lease.ts";
import { PermitKind } from "../src/model/permitMessages.ts";
import { StatementKind } from "../src/model/statement.ts";
import type { Message } from "../src/pipeline/message.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { GrantPermitsFilter } from "../src/rates/grantPermits.ts";
import { AdmitFilter, AdmitKind } from "../src/request/admit.ts";
import { type DeltaSlope, type HeartbeatSlope, measureDeltas, measureHeartbeats } from "./controlSlopes.ts";
import { RateCluster } from "./rateCluster.ts";
import { measureScheduling, type SchedulingSlope } from "./schedulingDecisions.ts";
import { openSessions, startPendingStatements, timeHolderPipe, timeRequestPipe } from "./statementSlopes.ts";
import { measureWire, type WireSlope } from "./wireSlopes.ts";

export interface Slopes {
    /** Heap bytes of a permit home and of an admit filter; undefined unless node runs with --expose-gc. */
    readonly homeBytesPerWorkspace: number | undefined;
    readonly entryBytesPerWorkspace: number | undefined;
    readonly admissionMicroseconds: number;
    /** Time of a permit home for one permit request. */
    readonly questionMicroseconds: number;
    /** Classify, route and answer filters, without admission, codecs and sockets. */
    readonly requestPipeMicroseconds: number;
    /** Heap bytes of the request pipe, measured with `heapObjectCount` sessions. */
    readonly bytesPerSession: number | undefined;
    readonly bytesPerPendingStatement: number | undefined;
    readonly holderPipeMicroseconds: number;
    readonly messages: readonly MessageSlope[];
    readonly heartbeats: readonly HeartbeatSlope[];
    readonly deltas: readonly DeltaSlope[];
    readonly wire: readonly WireSlope[];
    readonly scheduling: readonly SchedulingSlope[];
}

export interface MessageSlope {
    readonly workspaces: number;
    readonly instances: number;
    readonly statementsPerSecond: number;
    /** Permit requests to other instances, per instance and second. */
    readonly questionsPerSecond: number;
    readonly demandReportsPerSecond: number;
    readonly configurationChangesPerSecond: number;
}

const heapObjectCount = 20_000;
const timedCalls = 200_000;
const dataCentre = "north";

export function measureSlopes(): Slopes {
    return {
        homeBytesPerWorkspace: heapBytesPerObject(() => createPermitHome(heapObjectCount)),
        entryBytesPerWorkspace: heapBytesPerObject(() => createAdmitFilter(heapObjectCount)),
        admissionMicroseconds: timeAdmissions(),
        questionMicroseconds: timePermitRequests(),
        requestPipeMicroseconds: timeRequestPipe(),
        bytesPerSession: heapBytesPerObject(() => openSessions(heapObjectCount)),
        bytesPerPendingStatement: heapBytesPerObject(() => startPendingStatements(heapObjectCount)),
        holderPipeMicroseconds: timeHolderPipe(),
        messages: [[8, 3], [8, 6], [8, 9], [32, 9], [128, 9]].map(([workspaces, instances]) =>
            countMessages(workspaces!, instances!)
        ),
        heartbeats: measureHeartbeats(),
        deltas: measureDeltas(),
        wire: measureWire(),
        scheduling: measureScheduling(),
    };
}

function configurationOf(workspaces: number): Configuration {
    const names = Array.from({ length: workspaces }, (_, index) => `workspace${index}`);
    return {
        ...emptyConfiguration,
        version: 1,
        workspaces: names.map(name => ({ name, ratePerSecond: 1e6, burst: 1e6, keyValidityMs: 10_000, version: 1 })),
        leases: names.map((name): LeaseAssignment => ({
            resource: ResourceKind.Permits,
            resourceId: `${name}@${dataCentre}`,
            instanceId: "a",
            instanceAddress: "a:1",
            epoch: 1,
        })),
        rateShares: names.map(workspace => ({ workspace, dataCentre, ratePerSecond: 1e6, burst: 1e6 })),
    };
}

function createPermitHome(workspaces: number): GrantPermitsFilter {
    const configuration = configurationOf(workspaces);
    const permitHome = new GrantPermitsFilter({ dataCentre });
    processMessage(permitHome, 0, { kind: ClusterKind.ConfigurationApplied, configuration });
    processMessage(permitHome, 0, {
        kind: ClusterKind.LeasesRenewed,
        leases: configuration.leases,
        validUntilMs: 1e9,
        permitsUntilMs: 1e9,
    });
    processMessage(permitHome, 0, { kind: ClusterKind.ConfigurationProved, version: 1, provedAtMs: 0 });
    return permitHome;
}

/** Creates an admit filter in which every workspace has had one statement. */
function createAdmitFilter(workspaces: number): AdmitFilter {
    const entry = new AdmitFilter({ instanceId: "b", dataCentre, incarnation: "b.1" });
    processMessage(entry, 0, { kind: ClusterKind.ConfigurationApplied, configuration: configurationOf(workspaces) });
    for (let index = 0; index < workspaces; index++) {
        admitOne(entry, `workspace${index}`, index, 1);
    }
    return entry;
}

/** Sends a statement and answers its permit request, if there is one; returns the number of permit requests. */
function admitOne(entry: AdmitFilter, workspace: string, connectionId: number, nowMs: number): number {
    const outputs = processMessage(entry, nowMs, {
        kind: AdmitKind.Classified,
        connectionId,
        sequence: 0,
        workspace,
        deadlineMs: nowMs + 2_000,
        statementKind: StatementKind.Read,
        inTransaction: false,
    });
    const permitRequest = outputs.find(output => output.kind === PermitKind.Forward) as
        | { readonly requestId: string; readonly wanted: number; }
        | undefined;
    if (permitRequest === undefined) {
        return 0;
    }
    const { requestId, wanted } = permitRequest;
    const body = { requestId, workspace, granted: wanted, retryAfterMs: 0, answered: true };
    processMessage(entry, nowMs, { kind: PermitKind.Granted, ...body });
    return 1;
}

function processMessage(
    filter: { process(message: never, nowMs: number): readonly Message[]; },
    nowMs: number,
    message: Message & Record<string, unknown>,
): readonly Message[] {
    return filter.process(message as never, nowMs);
}

/** Admission for one workspace at 1,000 statements per second, including its permit requests. */
function timeAdmissions(): number {
    const entry = createAdmitFilter(8);
    return microsecondsPerCall(timedCalls, index => admitOne(entry, "workspace0", index, 1_000 + index));
}

function timePermitRequests(): number {
    const permitHome = createPermitHome(8);
    return microsecondsPerCall(timedCalls, index =>
        processMessage(permitHome, 1_000 + index, {
            kind: PermitKind.Request,
            origin: `call${index}`,
            requestId: `${index}`,
            instanceId: `instance${index % 9}`,
            workspace: `workspace${index % 8}`,
            wanted: 1,
            returned: 0,
            settledRequestId: "",
            held: 0,
            sentMs: index,
        }));
}

/** Mean time per call, after a warm-up of a tenth of the calls. */
function microsecondsPerCall(count: number, run: (index: number) => void): number {
    for (let index = 0; index < count / 10; index++) {
        run(index);
    }
    const startMs = performance.now();
    for (let index = count / 10; index < count; index++) {
        run(index);
    }
    return 1_000 * (performance.now() - startMs) / (0.9 * count);
}

function heapBytesPerObject(create: () => unknown): number | undefined {
    const { gc } = globalThis;
    if (gc === undefined) {
        return undefined;
    }
    gc();
    const before = process.memoryUsage().heapUsed;
    const retained = create();
    gc();
    const bytes = (process.memoryUsage().heapUsed - before) / heapObjectCount;
    return retained === undefined ? undefined : Math.round(bytes);
}

/** Counts messages under a steady load of 200 statements per second over all workspaces, in three data centres. */
function countMessages(workspaces: number, instances: number): MessageSlope {
    const runDurationMs = 30_000;
    // By then, the rates of the new cluster have been divided for the first time.
    const warmUpDurationMs = 10_000;
    const statementsPerSecond = 200;
    const random = new SeededRandom(3);
    const names = Array.from({ length: workspaces }, (_, index) => `workspace${index}`);
    const ratePerSecond = 2 * statementsPerSecond / workspaces;
    const cluster = new RateCluster({
        random,
        workspaces: names.map(name => ({ name, ratePerSecond, burst: 20, keyValidityMs: 10_000, version: 1 })),
        dataCentres: ["north", "south", "west"],
        instancesPerDataCentre: instances / 3,
        network: {
            localLatencyMs: 0.3,
            remoteLatencyMs: 4,
            jitterMs: 0.5,
            lossProbability: 0,
            duplicationProbability: 0,
            latenessProbability: 0,
        },
        sharesFollowDemand: true,
    });
    for (let arrivalId = 0; arrivalId < statementsPerSecond * runDurationMs / 1_000; arrivalId++) {
        const statement = {
            arrivalId,
            workspace: names[random.nextInteger(workspaces)]!,
            instanceIndex: random.nextInteger(instances),
            statementKind: StatementKind.Read,
            inTransaction: false,
            waitingMs: 2_000,
        };
        cluster.simulation.at(random.nextFloat() * runDurationMs, () => cluster.offer(statement));
    }
    cluster.simulation.runUntil(warmUpDurationMs);
    const before = { ...cluster.counters };
    cluster.simulation.runUntil(runDurationMs);
    const seconds = (runDurationMs - warmUpDurationMs) / 1_000;
    const perInstanceSecond = (count: number) => Math.round(100 * count / instances / seconds) / 100;
    return {
        workspaces,
        instances,
        statementsPerSecond,
        questionsPerSecond: perInstanceSecond(cluster.counters.permitRequests - before.permitRequests),
        demandReportsPerSecond: perInstanceSecond(cluster.counters.demandReports - before.demandReports),
        configurationChangesPerSecond: (cluster.counters.configurationChanges - before.configurationChanges) / seconds,
    };
}
