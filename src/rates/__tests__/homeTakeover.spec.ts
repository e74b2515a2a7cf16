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
    takeover.updateAssignments([leaseOf("a", 4)], 0);
    takeover.updateAssignments([leaseOf("b", 5)], takenMs);
    return takeover;
}

describe("take-over of a permit home", () => {
    it("asks the former home and begins at once when it has ended", () => {
        const takeover = heirOf(20_000);
        const { mayStart: begins, retireRequest: question } = takeover.tryStart(leaseOf("b", 5), 20_000);
        assert.equal(begins, false);
        assert.deepEqual([question?.homeAddress, question?.resourceId, question?.epoch], ["a:1", resourceId, 5]);
        takeover.recordRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Ended, waitMs: 0 }, 20_010);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_010).mayStart, true);
    });

    it("waits for the whole lease of a former home that does not answer, and asks again meanwhile", () => {
        const takeover = heirOf(20_000);
        takeover.tryStart(leaseOf("b", 5), 20_000);
        takeover.recordRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Unresponsive, waitMs: 0 }, 20_400);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_400).retireRequest, undefined);
        assert.equal(takeover.tryStart(leaseOf("b", 5), takeover.nextActionAtMs()).retireRequest?.homeAddress, "a:1");
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_000 + permitLeaseDurationMs - 1).mayStart, false);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_000 + permitLeaseDurationMs).mayStart, true);
    });

    // The process that is gone cannot tell whether it was still waiting for the home before it.
    it("takes a process that is gone for ended once the homes before it have ended as well", () => {
        const settled = heirOf(20_000);
        settled.tryStart(leaseOf("b", 5), 20_000);
        settled.recordRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Gone, waitMs: 0 }, 20_010);
        assert.equal(settled.tryStart(leaseOf("b", 5), 20_010).mayStart, true);
        const early = heirOf(4_000);
        early.tryStart(leaseOf("b", 5), 4_000);
        early.recordRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Gone, waitMs: 0 }, 4_010);
        assert.equal(early.tryStart(leaseOf("b", 5), permitLeaseDurationMs - 1).mayStart, false);
        assert.equal(early.tryStart(leaseOf("b", 5), permitLeaseDurationMs).mayStart, true);
    });

    it("hands its own wait on to the next home and never begins afterwards", () => {
        const takeover = heirOf(20_000);
        takeover.tryStart(leaseOf("b", 5), 20_000);
        assert.deepEqual(takeover.retire(resourceId, 6, 24_000), {
            known: true,
            waitMs: permitLeaseDurationMs - 4_000,
        });
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_000 + permitLeaseDurationMs).mayStart, false);
        assert.deepEqual(new HomeTakeover().retire(resourceId, 6, 24_000), { known: false, waitMs: 0 });
    });

    it("waits for a whole lease where it has not seen the epoch before", () => {
        const takeover = new HomeTakeover();
        takeover.updateAssignments([leaseOf("b", 5)], 1_000);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 1_000 + permitLeaseDurationMs - 1).mayStart, false);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 1_000 + permitLeaseDurationMs).mayStart, true);
    });

    it("begins the first home of a resource at once", () => {
        const takeover = new HomeTakeover();
        takeover.updateAssignments([leaseOf("b", 1)], 1_000);
        assert.equal(takeover.tryStart(leaseOf("b", 1), 1_000).mayStart, true);
    });
});
