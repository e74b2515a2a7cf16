import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseReport, ReportedState } from "../../model/fleetMessages.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { DatabaseTable } from "../databaseTable.ts";
import { FloorRequests } from "../floorRequests.ts";

function report(databaseId: string, leads: boolean, sequence: number): DatabaseReport {
    return {
        databaseId,
        service: "s",
        address: `${databaseId}:1`,
        dataCentre: "d",
        slots: 3,
        state: ReportedState.Ready,
        leads,
        sequence,
        bornUnixMs: 1,
    };
}

describe("the primary of a service", () => {
    it("is no other database while one is ordered to take the lead", () => {
        // Guards against commits at a primary that came back, which are lost when the order is executed.
        const table = new DatabaseTable({ dataCentre: "d", random: new SeededRandom(1), floors: new FloorRequests() });
        table.applyReport(report("old", true, 1));
        table.applyReport(report("new", false, 1));
        assert.equal(table.primary("s", 0), "old");
        table.recordPromotion("s", "new");
        assert.deepEqual(table.applyOrders(new Map([["s", "new"]])), ["s"]);
        table.applyReport(report("old", false, 2));
        table.applyReport(report("old", true, 3));
        assert.equal(table.primary("s", 0), "new");
        table.recordNotPrimary("new", 0);
        assert.equal(table.primary("s", 100), undefined);
        assert.equal(table.primary("s", 400), "new");
        assert.deepEqual(table.applyOrders(new Map()), ["s"]);
        assert.equal(table.primary("s", 400), "old");
    });
});

describe("the databases for a read", () => {
    const regions = new Map([["a1", "a"], ["a2", "a"], ["b1", "b"], ["c1", "c"]]);
    const demand = { priority: 0, workspace: "w" };

    function tableWith(...dataCentres: readonly string[]): DatabaseTable {
        const table = new DatabaseTable({
            dataCentre: "a1",
            dataCentreRegions: regions,
            random: new SeededRandom(1),
            floors: new FloorRequests(),
        });
        dataCentres.forEach(dataCentre => table.applyReport({ ...report(dataCentre, false, 1), dataCentre }));
        return table;
    }

    it("are those of the own data centre and region first", () => {
        const table = tableWith("c1", "b1", "a2", "a1");
        const ranked = table.rankForRead(["c1", "b1", "a2", "a1"], new Set(), demand, 0);
        assert.equal(ranked.length, 4);
        assert.ok(["a1", "a2"].includes(ranked[0]!));
    });

    it("are not in a second region after one attempt in another, as long as there is one here", () => {
        const table = tableWith("a1", "b1", "c1");
        const all = ["a1", "b1", "c1"];
        assert.deepEqual(table.rankForRead(all, new Set(["b1"]), demand, 0), ["a1"]);
        assert.deepEqual(table.rankForRead(all, new Set(["a1", "b1"]), demand, 0), ["a1"]);
        assert.deepEqual(table.rankForRead(["b1", "c1"], new Set(["b1"]), demand, 0), ["c1"]);
    });
});
