/** Costs of heartbeats and configuration changes, for docs/CAPACITY.md. */
import { performance } from "node:perf_hooks";
import { applyDelta, diffConfigurations } from "../src/control/configurationDelta.ts";
import { type Configuration, emptyConfiguration } from "../src/model/configuration.ts";
import { type Command, CommandKind } from "../src/model/controlMessages.ts";
import type { Heartbeat, HeartbeatAnswer } from "../src/model/healthMessages.ts";
import { heartbeatIntervalMs, ResourceKind } from "../src/model/lease.ts";
import { type EntryBody, EntryKind } from "../src/model/replicatedLog.ts";
import { decodeUpdate, encodeUpdate } from "../src/rpc/configurationCodec.ts";
import { HeartbeatRequest, HeartbeatResponse } from "../src/rpc/generated/health.ts";
import { decodeHeartbeat, encodeHeartbeat, encodeHeartbeatAnswer } from "../src/rpc/heartbeatCodec.ts";
import { encodeRecord } from "../src/storage/recordCodec.ts";

export interface HeartbeatSlope {
    readonly instances: number;
    readonly databases: number;
    /** Payload without gRPC framing, sent and received by one instance that holds an equal share of the databases. */
    readonly bytesPerSecondPerInstance: number;
    readonly bytesPerSecondAtLeader: number;
    /** Time to decode one heartbeat and encode its response, without the leader's filters. */
    readonly codecMicrosecondsPerHeartbeat: number;
}

export interface DeltaSlope {
    readonly objects: number;
    /** Size of an update with one changed key. */
    readonly deltaBytes: number;
    readonly decodeAndApplyMicroseconds: number;
    readonly logBytesPerChange: number;
}

const timedCalls = 2_000;

export function measureHeartbeats(): readonly HeartbeatSlope[] {
    return [[9, 9], [9, 90], [100, 90], [470, 660]].map(([instances, databases]) =>
        measureHeartbeat(instances!, databases!)
    );
}

function measureHeartbeat(instances: number, databases: number): HeartbeatSlope {
    const heldDatabaseIds = Array.from(
        { length: Math.ceil(databases / instances) },
        (_, index) => `group${index}-database0`,
    );
    const request = HeartbeatRequest.encode(encodeHeartbeat(createHeartbeat(heldDatabaseIds))).finish();
    const answer = createHeartbeatAnswer(heldDatabaseIds);
    const responseBytes = HeartbeatResponse.encode(encodeHeartbeatAnswer(answer)).finish().length;
    const perSecond = (request.length + responseBytes) * 1_000 / heartbeatIntervalMs;
    return {
        instances,
        databases,
        bytesPerSecondPerInstance: perSecond,
        bytesPerSecondAtLeader: perSecond * instances,
        codecMicrosecondsPerHeartbeat: microsecondsPerCall(() => {
            decodeHeartbeat(HeartbeatRequest.decode(request));
            HeartbeatResponse.encode(encodeHeartbeatAnswer(answer)).finish();
        }),
    };
}

function createHeartbeat(heldDatabaseIds: readonly string[]): Heartbeat {
    return {
        instanceId: "instance-100",
        address: "10.1.2.3:7000",
        dataCentre: "flanders",
        incarnation: "0123456789abcdef",
        configurationVersion: 100_000,
        directoryTerm: 10,
        directoryRevision: 1_000,
        draining: false,
        heard: [],
        heardUnchanged: heldDatabaseIds.map(databaseId => ({ databaseId, ageMs: 100 })),
        leases: heldDatabaseIds.map(resourceId => ({ resource: ResourceKind.Database, resourceId, epoch: 5 })),
        givenBack: [],
        held: heldDatabaseIds.map(databaseId => ({
            databaseId,
            reachable: true,
            consecutiveFailures: 0,
            position: { term: 3, offset: 1_000_000 },
            askId: "",
        })),
        orderResults: [],
        demands: [],
    };
}

function createHeartbeatAnswer(heldDatabaseIds: readonly string[]): HeartbeatAnswer {
    return {
        leading: true,
        leaderAddress: undefined,
        leaderTerm: 10,
        configurationVersion: 100_000,
        renewed: heldDatabaseIds.map(resourceId => ({ resource: ResourceKind.Database, resourceId, epoch: 5 })),
        directoryRevision: 1_000,
        directory: [],
        asks: [],
        releases: [],
        orders: [],
        resend: [],
        nextHeartbeatMs: heartbeatIntervalMs,
    };
}

export function measureDeltas(): readonly DeltaSlope[] {
    return [10, 100, 1_000].map(objects => {
        const before = configurationWith(objects);
        const [first, ...others] = before.keys;
        const changed = { ...first!, version: 2 };
        const after = { ...before, version: 2, keys: [changed, ...others] };
        const parts = encodeUpdate(diffConfigurations(before, after));
        const { version, ...key } = changed;
        const command: Command = { kind: CommandKind.IssueKey, expectedVersion: version - 1, key };
        const body: EntryBody = { kind: EntryKind.Command, operationId: "0123456789abcdef", command };
        // Same record format as in src/storage/logSegments.ts.
        const record = { fromIndex: 100_000, entries: [{ index: 100_000, term: 10, body }] };
        return {
            objects,
            deltaBytes: parts.reduce((sum, { content }) => sum + content.length, 0),
            decodeAndApplyMicroseconds: microsecondsPerCall(() => {
                applyDelta(before, decodeUpdate(parts) as never);
            }),
            logBytesPerChange: encodeRecord(Buffer.from(JSON.stringify(record))).length,
        };
    });
}

function configurationWith(objects: number): Configuration {
    const keys = Array.from({ length: objects }, (_, index) => ({
        id: `key${index}`,
        workspace: `workspace${index % 8}`,
        doubleSha1Hex: "0123456789".repeat(4),
        version: 1,
    }));
    return { ...emptyConfiguration, version: 1, keys };
}

/** Mean time per call, after a warm-up of a tenth of the calls. */
function microsecondsPerCall(run: () => void): number {
    for (let index = 0; index < timedCalls / 10; index++) {
        run();
    }
    const startMs = performance.now();
    for (let index = 0; index < timedCalls; index++) {
        run();
    }
    return 1_000 * (performance.now() - startMs) / timedCalls;
}
