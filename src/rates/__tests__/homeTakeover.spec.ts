import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type LeaseAssignment, permitLeaseDurationMs, ResourceKind } from "../../model/lease.ts";
import { RetireOutcome } from "../../model/permitMessages.ts";
import { HomeTakeover } from "../homeTakeover.ts";

const resourceId = "shop@north";

function leaseOf(instanceId: string, epoch: number): LeaseAssignment {
    return { resource: ResourceKind.Permits, resourceId, instanceId, instanceAddress: `${instanceId}:1`, epoch };
}

/** An instance that has followed `a` since time 0 and gets the next lease at `takenMs`. */
function heirOf(takenMs: number): HomeTakeover {
    const takeover = new HomeTakeover();
    takeover.follow([leaseOf("a", 4)], 0);
    takeover.follow([leaseOf("b", 5)], takenMs);
    return takeover;
}

describe("take-over of a permit home", () => {
    it("asks the former home and begins at once when it has ended", () => {
        const takeover = heirOf(20_000);
        const { begins, question } = takeover.begin(leaseOf("b", 5), 20_000);
        assert.equal(begins, false);
        assert.deepEqual([question?.homeAddress, question?.resourceId, question?.epoch], ["a:1", resourceId, 5]);
        takeover.noteRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Ended, waitMs: 0 }, 20_010);
        assert.equal(takeover.begin(leaseOf("b", 5), 20_010).begins, true);
    });

    it("waits for the whole lease of a former home that does not answer, and asks again meanwhile", () => {
        const takeover = heirOf(20_000);
        takeover.begin(leaseOf("b", 5), 20_000);
        takeover.noteRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Silent, waitMs: 0 }, 20_400);
        assert.equal(takeover.begin(leaseOf("b", 5), 20_400).question, undefined);
        assert.equal(takeover.begin(leaseOf("b", 5), takeover.dueMs()).question?.homeAddress, "a:1");
        assert.equal(takeover.begin(leaseOf("b", 5), 20_000 + permitLeaseDurationMs - 1).begins, false);
        assert.equal(takeover.begin(leaseOf("b", 5), 20_000 + permitLeaseDurationMs).begins, true);
    });

    // The process that is gone cannot tell whether it was still waiting for the home before it.
    it("takes a process that is gone for ended once the homes before it have ended as well", () => {
        const settled = heirOf(20_000);
        settled.begin(leaseOf("b", 5), 20_000);
        settled.noteRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Gone, waitMs: 0 }, 20_010);
        assert.equal(settled.begin(leaseOf("b", 5), 20_010).begins, true);
        const early = heirOf(4_000);
        early.begin(leaseOf("b", 5), 4_000);
        early.noteRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Gone, waitMs: 0 }, 4_010);
        assert.equal(early.begin(leaseOf("b", 5), permitLeaseDurationMs - 1).begins, false);
        assert.equal(early.begin(leaseOf("b", 5), permitLeaseDurationMs).begins, true);
    });

    it("hands its own wait on to the next home and never begins afterwards", () => {
        const takeover = heirOf(20_000);
        takeover.begin(leaseOf("b", 5), 20_000);
        assert.deepEqual(takeover.retire(resourceId, 6, 24_000), {
            known: true,
            waitMs: permitLeaseDurationMs - 4_000,
        });
        assert.equal(takeover.begin(leaseOf("b", 5), 20_000 + permitLeaseDurationMs).begins, false);
        assert.deepEqual(new HomeTakeover().retire(resourceId, 6, 24_000), { known: false, waitMs: 0 });
    });

    it("waits for a whole lease where it has not seen the epoch before", () => {
        const takeover = new HomeTakeover();
        takeover.follow([leaseOf("b", 5)], 1_000);
        assert.equal(takeover.begin(leaseOf("b", 5), 1_000 + permitLeaseDurationMs - 1).begins, false);
        assert.equal(takeover.begin(leaseOf("b", 5), 1_000 + permitLeaseDurationMs).begins, true);
    });

    it("begins the first home of a resource at once", () => {
        const takeover = new HomeTakeover();
        takeover.follow([leaseOf("b", 1)], 1_000);
        assert.equal(takeover.begin(leaseOf("b", 1), 1_000).begins, true);
    });
});
