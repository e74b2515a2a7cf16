import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DatabaseReport } from "../../model/fleetMessages.ts";
import { electorateMembers, updateElectorate } from "../electorate.ts";

describe("the databases that may hold acknowledged commits", () => {
    it("keep the process of a database that started again under its id as a lost one", () => {
        // Guards against an empty database that counts for the commits which its earlier process confirmed.
        const first = updateElectorate([], [report("a", 100)]);
        const restarted = updateElectorate(first, [report("a", 200)]);
        assert.deepEqual(restarted.map(({ bornUnixMs, isLost }) => [bornUnixMs, isLost]), [[100, true], [200, false]]);
        const members = electorateMembers(restarted, []);
        assert.deepEqual(members.map(({ isLost }) => isLost), [true, false]);
    });

    it("keep one lost process of a database that starts again and again", () => {
        const restarted = [100, 200, 300].reduce<ReturnType<typeof updateElectorate>>(
            (recorded, bornUnixMs) => updateElectorate(recorded, [report("a", bornUnixMs)]),
            [],
        );
        assert.deepEqual(restarted.map(({ bornUnixMs, isLost }) => [bornUnixMs, isLost]), [[200, true], [300, false]]);
    });

    it("replace a database by one that continues its log at its address", () => {
        const first = updateElectorate([], [report("a", 100)]);
        const next = updateElectorate(first, [report("b", 200, "a:1")]);
        assert.deepEqual(next.map(({ databaseId, isLost }) => [databaseId, isLost]), [["b", false]]);
    });

    it("take a record without the start of a process for the one that reports", () => {
        const recorded = [{ databaseId: "a", address: "a:1", bornUnixMs: undefined, isLost: false }];
        assert.deepEqual(updateElectorate(recorded, [report("a", 100)]).map(({ isLost }) => isLost), [false]);
    });
});

function report(databaseId: string, bornUnixMs: number, address = `${databaseId}:1`): DatabaseReport {
    return {
        databaseId,
        service: "s",
        address,
        dataCentre: "d",
        slots: 3,
        state: "ready",
        leads: false,
        sequence: 1,
        bornUnixMs,
    };
}
