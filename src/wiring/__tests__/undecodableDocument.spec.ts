import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StatementFault } from "../../model/sessionStatement.ts";
import { ConfigurationFleet } from "./configurationFleet.ts";

const unknownKey = "unknown";
const unservedMs = 5_000;

function fleetWithUndecodableDocument(snapshotEntries: number): ConfigurationFleet {
    const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 2, seed: 7, snapshotEntries });
    fleet.runUntil("a first session", () => isServed(fleet, fleet.proxyIds[0]!, "key1"));
    fleet.putUnchecked(document => ({
        ...document,
        entries: [...document.entries, { entryId: "routes/x", section: "routes", body: "5", place: 9 }],
    }));
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
