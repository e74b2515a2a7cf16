import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type FleetFrame, FleetKind } from "../../model/fleetMessages.ts";
import { StatementFault } from "../../model/sessionStatement.ts";
import type { Message } from "../../pipeline/message.ts";
import { ConfigurationFleet } from "./configurationFleet.ts";

const unknownKey = "unknown";
const unservedMs = 5_000;

function fleetWithUndecodableDocument(snapshotEntries: number, documents = 1): ConfigurationFleet {
    const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 2, seed: 7, snapshotEntries });
    fleet.runUntil("a first session", () => isServed(fleet, fleet.proxyIds[0]!, "key1"));
    for (let index = 0; index < documents; index++) {
        fleet.putUnchecked(document => ({
            ...document,
            entries: [...document.entries, { entryId: "routes/x", section: "routes", body: "5", place: 9 + index }],
        }));
    }
    fleet.run(1_000);
    return fleet;
}

function isServed(fleet: ConfigurationFleet, proxyId: string, key: string): boolean {
    const caller = fleet.connectCaller(proxyId, key);
    fleet.run(2_000);
    return caller.outcome !== undefined && caller.outcome.fault === undefined;
}

function restartAll(fleet: ConfigurationFleet): void {
    fleet.proxyIds.forEach(proxyId => fleet.stopProxy(proxyId));
    fleet.memberIds.forEach(memberId => fleet.stopMember(memberId));
    fleet.run(500);
    fleet.memberIds.forEach(memberId => fleet.startMember(memberId));
    fleet.proxyIds.forEach(proxyId => fleet.startProxy(proxyId));
    fleet.run(3_000);
}

/** Permits that the leader grants to an instance that asks for 5. */
function requestPermits(fleet: ConfigurationFleet): number | undefined {
    const instance = { instanceId: "i", serves: true, leaving: false, dataCentre: "dc", address: "i:1" };
    const frames: readonly FleetFrame[] = [
        { kind: "hello", ...instance },
        { kind: "want", sequence: 1, heard: 0, term: 0, wants: [["t", 5, 0, 0, 0]] },
    ];
    fleet.permitAnswers.splice(0);
    const { memberId } = fleet.cluster.leader()!;
    frames.forEach(frame =>
        fleet.cluster.post(memberId, { kind: FleetKind.FrameReceived, attachmentId: "i", frame } as Message)
    );
    fleet.run(100);
    return fleet.permitAnswers[0]?.[1];
}

describe("a stored document that no process can decode", () => {
    it("leaves the last one in force, and refuses nobody for good", () => {
        const fleet = fleetWithUndecodableDocument(1_024);
        assert.ok(isServed(fleet, fleet.proxyIds[1]!, "key1"));
        const unknown = fleet.connectCaller(fleet.proxyIds[0]!, unknownKey);
        fleet.run(unservedMs);
        assert.equal(unknown.outcome, undefined);
        const processes = fleet.memberIds.length + fleet.proxyIds.length;
        assert.deepEqual(
            fleet.incompletePolicies.map(({ documentVersion, versionInForce, omittedEntries }) => [
                documentVersion,
                versionInForce,
                omittedEntries[0]!.entryId,
            ]),
            Array.from({ length: processes }, () => [2, 1, "routes/x"]),
        );
    });

    for (const documents of [1, 3]) {
        it(`leaves the last one in force at members that restart, so that the leader grants permits (${documents})`, () => {
            const fleet = fleetWithUndecodableDocument(1_024, documents);
            restartAll(fleet);
            assert.equal(requestPermits(fleet), 5);
        });
    }

    for (const snapshotEntries of [4, 1_024]) {
        it(`ends no process at a restart, and the next document heals it (snapshots of ${snapshotEntries})`, () => {
            const fleet = fleetWithUndecodableDocument(snapshotEntries);
            restartAll(fleet);
            const waiting = fleet.connectCaller(fleet.proxyIds[0]!, "key1");
            fleet.run(unservedMs);
            // A member that starts from a snapshot may have had the version before.
            assert.equal(waiting.outcome?.fault, undefined, waiting.outcome?.detail);
            const added = fleet.putKey();
            fleet.runUntil("a session after the next document", () => waiting.outcome !== undefined);
            assert.equal(waiting.outcome!.fault, undefined);
            fleet.proxyIds.forEach(proxyId => assert.ok(isServed(fleet, proxyId, added)));
            const unknown = fleet.connectCaller(fleet.proxyIds[0]!, unknownKey);
            fleet.run(unservedMs);
            assert.equal(unknown.outcome?.fault, StatementFault.NotAuthorized);
        });
    }
});
