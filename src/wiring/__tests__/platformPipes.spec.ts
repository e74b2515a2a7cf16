import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ExplanationEnded, ExplanationKind } from "../../model/explanation.ts";
import { FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import { PeerKind } from "../../model/peerMessages.ts";
import { RouteConsistency, type TrafficPolicy } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { askedFor } from "../../session/__tests__/explanationQuestions.ts";
import { position, route } from "../../session/__tests__/sessionFixture.ts";
import { TaskKind } from "../../session/taskMessages.ts";
import { buildProxyPipes } from "../platformPipes.ts";

const policy: TrafficPolicy = {
    version: 1,
    routesByDatabase: new Map(
        [
            { ...route(RouteConsistency.Primary, "orders"), homeRegions: ["north"] },
            { ...route(RouteConsistency.Session, "lookup", 2_000), open: true },
        ].map(each => [each.database, each]),
    ),
    services: new Map([["s", {
        name: "s",
        connectionLimit: 10,
        synchronousReplicas: 1,
        coldPerSecond: 5,
        coldStartMs: 1_000,
    }]]),
    workspaces: new Map([["w", { name: "w", keys: ["k"], ratePerSecond: 10, burst: 5 }]]),
    workspaceByKey: new Map([["k", "w"]]),
    transactionIdleMs: 3_000,
};

function policyApplied(evacuated: readonly string[]): Message {
    return {
        kind: FleetKind.PolicyApplied,
        policy,
        confirmed: true,
        promoted: new Map(),
        ordered: new Map(),
        completedFences: new Map(),
        evacuated: new Set(evacuated),
    } as Message;
}

const anyEvent: fc.Arbitrary<Message> = fc.oneof(
    fc.subarray(["dc1", "dc2"]).map(policyApplied),
    fc.record({
        databaseId: fc.constantFrom("a", "b", "c"),
        dataCentre: fc.constantFrom("dc1", "dc2"),
        state: fc.constantFrom(...Object.values(ReportedState)),
        leads: fc.boolean(),
        coldLeftMs: fc.constantFrom(0, 0, 5_000),
    }).map((parts): Message => {
        const report = { ...parts, service: "s", address: "a:1", slots: 3, sequence: 1, bornUnixMs: 1 };
        return { kind: FleetKind.DatabaseChanged, report } as Message;
    }),
    fc.constantFrom("a", "b", "c").map(databaseId => ({ kind: FleetKind.DatabaseRemoved, databaseId } as Message)),
    fc.nat(2_000).map((atMs): Message => {
        const sample = { position: position(1, atMs), atMs };
        return { kind: TaskKind.FloorLearned, service: "s", sample } as Message;
    }),
    fc.subarray(["front1", "front2", "front3"]).map((names): Message => {
        const instances = names.map(instanceId => ({ instanceId, address: `${instanceId}:1`, dataCentre: "dc1" }));
        return { kind: PeerKind.InstancesKnown, instances } as Message;
    }),
    fc.nat(3).map((count): Message => {
        const grants = [{ workspace: "w", count, retryMs: 500 * (3 - count), fallback: undefined }];
        return { kind: FleetKind.PermitsGranted, grants, validUntilMs: 2_000 } as Message;
    }),
);

describe("the session pipe of a proxy", () => {
    it("answers every question where a statement would go itself, with one message", () => {
        const lastSteps = new Set<string>();
        fc.assert(
            fc.property(fc.array(anyEvent, { minLength: 5, maxLength: 40, size: "max" }), events => {
                const options = { instanceId: "front1", dataCentre: "dc1", rpcAddress: "front1:1", seed: 1 };
                const dataCentreRegions = new Map([["dc1", "north"], ["dc2", "south"]]);
                const pipes = buildProxyPipes({ ...options, dataCentreRegions });
                assert.deepEqual(
                    pipes.filter(({ accepts }) => accepts.has(ExplanationKind.Asked)).map(pipe => pipe.name),
                    [
                        "session",
                    ],
                );
                const session = pipes.find(({ name }) => name === "session")!;
                session.process(policyApplied([]), 0);
                events.forEach((event, index) => {
                    session.process(event, 50 * index);
                    for (const database of ["orders", "lookup", "other"]) {
                        for (const workspace of ["w", "", "other"]) {
                            for (const writes of [true, false]) {
                                const asked = askedFor({ database, workspace, writes });
                                const outputs = session.process(asked, 50 * index + 1);
                                assert.deepEqual(outputs.map(({ kind }) => kind), [ExplanationKind.Ended]);
                                const { requestId, findings } = outputs[0] as ExplanationEnded;
                                assert.equal(requestId, asked.requestId);
                                lastSteps.add(findings.at(-1)!.step);
                            }
                        }
                    }
                });
            }),
            { seed: 10, numRuns: 150 },
        );
        assert.deepEqual([...lastSteps].sort(), ["admission", "forwarding", "links", "routing", "sessions"]);
    });
});
