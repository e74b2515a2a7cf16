import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseHealth, type HeldReport, HolderHealthKind } from "../../model/healthMessages.ts";
import { ResourceKind } from "../../model/lease.ts";
import { GroupView } from "../groupView.ts";
import { HeldDatabases } from "../heldDatabases.ts";
import { PhaseName } from "../primaryChangePhase.ts";
import { ReadingPositionsPhase } from "../readingPositionsPhase.ts";

const lease = { resource: ResourceKind.Database, resourceId: "d1", epoch: 1 };

function health(lastPositionAtMs: number): DatabaseHealth {
    const lastPosition = { term: 1, offset: lastPositionAtMs };
    const probe = { databaseId: "d1", reachable: true, consecutiveFailures: 0, lastPosition, lastPositionAtMs };
    return { kind: HolderHealthKind.DatabaseHealth, ...probe };
}

function report(databaseId: string, offset: number, askId: string): HeldReport {
    return { databaseId, reachable: true, consecutiveFailures: 0, position: { term: 1, offset }, askId };
}

// A position read before the end of the old lease may miss a write that was acknowledged after the read.
describe("positions for a change of primary", () => {
    it("answers a position request only with a position whose read began after the request arrived", () => {
        const heldDatabases = new HeldDatabases();
        heldDatabases.recordHealth(health(90));
        heldDatabases.recordAsks([{ databaseId: "d1", askId: "q" }], 100);
        assert.equal(heldDatabases.recordHealth(health(99)), false);
        assert.equal(heldDatabases.reports([lease])[0]!.askId, "");
        assert.equal(heldDatabases.recordHealth(health(100)), true, "the answer must be sent at once");
        assert.equal(heldDatabases.reports([lease])[0]!.askId, "q");
    });

    it("counts only answers to the request of this change, and chooses the most advanced member of a majority", () => {
        const group = {
            groupId: "g",
            service: "s",
            term: 1,
            primaryId: "d0",
            memberIds: ["d0", "d1", "d2", "d3", "d4"],
        };
        const facts = new GroupView(group, {
            directoryEntry: () => undefined,
            latestReport: () => undefined,
            holderOf: () => undefined,
            hasAvailableInstances: () => true,
            isEvacuated: () => false,
            leadershipStartMs: 0,
        });
        const phase = new ReadingPositionsPhase(facts, "q2", false, 0);
        phase.onReport(report("d1", 900, "q1"));
        phase.onReport(report("d2", 500, "q2"));
        phase.onReport(report("d3", 700, "q2"));
        phase.onReport(report("d0", 999, "q2"));
        assert.equal(phase.decide(10).transition, undefined, "two of five members are no majority");
        phase.onReport(report("d4", 600, "q2"));
        assert.deepEqual(phase.decide(20).transition, { to: PhaseName.Proposing, newPrimaryId: "d3" });
    });
});
