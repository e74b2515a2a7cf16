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
