import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { emptyConfiguration } from "../../model/configuration.ts";
import { type ConfigurationUpdate, FeedKind, type FeedReceived, UpdateKind } from "../../model/feedMessages.ts";
import { FleetKind } from "../../model/fleetMessages.ts";
import { LinkCommandKind, LinkKind, LinkLoss } from "../../model/linkMessages.ts";
import { PeerKind } from "../../model/peerMessages.ts";
import { SchedulingKind } from "../../model/schedulingMessages.ts";
import { SessionKind, StopPhase } from "../../model/sessionMessages.ts";
import { StorageKind } from "../../model/storageMessages.ts";
import { decisionLogFormatters } from "../decisionLogFormatters.ts";
import {
    linkLogFormatters,
    loggedEffects,
    requestLogFormatters,
    stateLogFormatters,
    stopLogFormatters,
} from "../eventLogFormatters.ts";
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

    it("log how many statements a database gets at once when that is limited in another way", () => {
        const changed = { databaseId: "d", phase: "minimum", window: 2, slots: 4, waiting: 17 };
        assert.deepEqual(
            stateLogFormatters.get(SchedulingKind.PaceChanged)!(
                { kind: SchedulingKind.PaceChanged, ...changed } as never,
            ),
            { database: "d", phase: "minimum", window: 2, slots: 4, waiting: 17 },
        );
        assert.ok(loggedEffects.includes(SchedulingKind.PaceChanged));
    });

    it("log with a refusal what the queue and the window of the database were", () => {
        const refused = {
            databaseId: "d",
            reason: "displaced",
            priority: 2,
            window: 8,
            inFlight: 7,
            slots: 4,
            waiting: 17,
            drainMs: 340.4,
        };
        assert.deepEqual(
            requestLogFormatters.get(SchedulingKind.Refused)!({ kind: SchedulingKind.Refused, ...refused } as never),
            {
                database: "d",
                reason: "displaced",
                priority: 2,
                window: 8,
                inFlight: 7,
                slots: 4,
                waiting: 17,
                drainMs: 340,
            },
        );
        assert.ok(loggedEffects.includes(SchedulingKind.Refused));
    });

    it("log what was wrong with a message, and a prepared statement, without any text of callers", () => {
        const refused = { kind: SessionKind.MessageRefused, sessionId: "s1", defect: "invalid_statement", bytes: 9 };
        assert.deepEqual(
            requestLogFormatters.get(refused.kind)!(refused),
            { session: "s1", defect: "invalid_statement", bytes: 9 },
        );
        const lost = { kind: LinkKind.Lost, linkId: "l1", loss: LinkLoss.Broken, fault: undefined, defect: "too long" };
        assert.deepEqual(
            requestLogFormatters.get(lost.kind)!(lost),
            { link: "l1", loss: LinkLoss.Broken, fault: undefined, defect: "too long" },
        );
        const prepared = { writes: true, shape: "secret" };
        const commands = [{ kind: LinkCommandKind.Prepare, name: "p1", prepared }];
        const send = { kind: LinkKind.Send, linkId: "l1", commands };
        const fields = linkLogFormatters.get(LinkKind.Send)!(send);
        assert.deepEqual(fields, { link: "l1", prepared: "p1", writes: true, shapeBytes: 6 });
        const other = { ...send, commands: [{ kind: LinkCommandKind.Begin }] };
        assert.equal(linkLogFormatters.get(LinkKind.Send)!(other), undefined);
    });

    it("log what is left of a stopping instance, apart from the lines of its load", () => {
        const counts = { phase: StopPhase.LastStep, sessions: 40, running: 3, transactions: 1, crossed: 2 };
        const progressed = { kind: SessionKind.StopProgressed, ...counts };
        assert.deepEqual(stopLogFormatters.get(progressed.kind)!(progressed), counts);
        assert.deepEqual([...stopLogFormatters.keys()], [SessionKind.StopProgressed]);
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
            PeerKind.LoadIgnored,
            SessionKind.MessageRefused,
            SessionKind.AnswerRefused,
            StorageKind.Suspended,
            StorageKind.Resumed,
        ];
        const formatters = [
            requestLogFormatters,
            stateLogFormatters,
            linkLogFormatters,
            stopLogFormatters,
            decisionLogFormatters,
        ];
        const silent = formatters.flatMap(byKind => [...byKind.keys()]).filter(kind =>
            !pipes.some(pipe => pipe.accepts.has(kind)) && !postedByAdapters.includes(kind)
            && !loggedEffects.includes(kind)
        );
        assert.deepEqual(silent, []);
        // A kind that a pipe accepts would be logged twice.
        assert.deepEqual(loggedEffects.filter(kind => pipes.some(pipe => pipe.accepts.has(kind))), []);
    });
});
