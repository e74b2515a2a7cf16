import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { emptyConfiguration } from "../../model/configuration.ts";
import { type ConfigurationUpdate, FeedKind, type FeedReceived, UpdateKind } from "../../model/feedMessages.ts";
import { FleetKind } from "../../model/fleetMessages.ts";
import { PeerKind } from "../../model/peerMessages.ts";
import { StorageKind } from "../../model/storageMessages.ts";
import { loggedEffects, requestLogFormatters, stateLogFormatters } from "../eventLogFormatters.ts";
import { buildMemberPipes, buildProxyPipes } from "../platformPipes.ts";

function logFieldsOf(update: ConfigurationUpdate): unknown {
    const received: FeedReceived = { kind: FeedKind.Received, address: "10.0.0.1:7460", update };
    return stateLogFormatters.get(received.kind)!(received);
}

describe("event log formatters", () => {
    it("log the member from which a configuration was received, and its versions", () => {
        const from = "10.0.0.1:7460";
        const configuration = { ...emptyConfiguration, version: 64 };
        assert.deepEqual(
            logFieldsOf({ kind: UpdateKind.Snapshot, configuration }),
            { from, update: UpdateKind.Snapshot, configuration: 64 },
        );
        assert.deepEqual(
            logFieldsOf({ kind: UpdateKind.Delta, fromVersion: 64, toVersion: 90, upserts: [], removals: [] }),
            { from, update: UpdateKind.Delta, since: 64, configuration: 90 },
        );
    });

    it("log each kind, whether a pipe, an adapter or nobody receives it", () => {
        // Guards against refusals, orders and readiness without a line: observers see no message that only a sink accepts.
        const pipes = [
            ...buildProxyPipes({ instanceId: "f", dataCentre: "d", rpcAddress: "f:1", seed: 1 }),
            ...buildMemberPipes({
                self: { memberId: "m", address: "m:1", incarnation: "1" },
                initialMembers: [],
                dataCentre: "d",
                canFormCluster: true,
                faultTolerance: 0,
                rateTolerance: { windowMs: 5_000, share: 0.1, operations: 20 },
                reportIntervalMs: 1_200,
                seed: 1,
            }),
        ];
        const postedByAdapters: readonly string[] = [
            FeedKind.Opened,
            FeedKind.Lost,
            FleetKind.FrameReceived,
            FleetKind.FrameRefused,
            PeerKind.FrameRefused,
            StorageKind.Suspended,
            StorageKind.Resumed,
        ];
        const silent = [...requestLogFormatters.keys(), ...stateLogFormatters.keys()].filter(kind =>
            !pipes.some(pipe => pipe.accepts.has(kind)) && !postedByAdapters.includes(kind)
            && !loggedEffects.includes(kind)
        );
        assert.deepEqual(silent, []);
        // A kind that a pipe accepts would be logged twice.
        assert.deepEqual(loggedEffects.filter(kind => pipes.some(pipe => pipe.accepts.has(kind))), []);
    });
});
