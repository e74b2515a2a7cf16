import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type LeaseAssignment, permitLeaseDurationMs, ResourceKind } from "../../model/lease.ts";
import { RetireOutcome } from "../../model/permitMessages.ts";
import { HomeTakeover } from "../homeTakeover.ts";

const resourceId = "shop@north";

function leaseOf(instanceId: string, epoch: number): LeaseAssignment {
    return { resource: ResourceKind.Permits, resourceId, instanceId, instanceAddress: `${instanceId}:1`, epoch };
}

/** Instance `b` has seen the lease of `a` since time 0 and gets the next lease itself at `reassignedAtMs`. */
function takeoverAfterReassignment(reassignedAtMs: number): HomeTakeover {
    const takeover = new HomeTakeover();
    takeover.updateAssignments([leaseOf("a", 4)], 0);
    takeover.updateAssignments([leaseOf("b", 5)], reassignedAtMs);
    return takeover;
}

describe("takeover of a permit home", () => {
    it("requests the former home to retire and starts at once when that has ended", () => {
        const takeover = takeoverAfterReassignment(20_000);
        const { mayStart, retireRequest } = takeover.tryStart(leaseOf("b", 5), 20_000);
        assert.equal(mayStart, false);
        assert.deepEqual([retireRequest?.homeAddress, retireRequest?.resourceId, retireRequest?.epoch], [
            "a:1",
            resourceId,
            5,
        ]);
        takeover.recordRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Ended, waitMs: 0 }, 20_010);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_010).mayStart, true);
    });

    it("waits for the lease duration if the former home is unresponsive, and repeats the request meanwhile", () => {
        const takeover = takeoverAfterReassignment(20_000);
        takeover.tryStart(leaseOf("b", 5), 20_000);
        takeover.recordRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Unresponsive, waitMs: 0 }, 20_400);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_400).retireRequest, undefined);
        assert.equal(takeover.tryStart(leaseOf("b", 5), takeover.nextActionAtMs()).retireRequest?.homeAddress, "a:1");
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_000 + permitLeaseDurationMs - 1).mayStart, false);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_000 + permitLeaseDurationMs).mayStart, true);
    });

    // A process that is gone cannot report whether its start was still pending because of an earlier home.
    it("starts after a former home whose process is gone once the homes before that have ended", () => {
        const observedLongAgo = takeoverAfterReassignment(20_000);
        observedLongAgo.tryStart(leaseOf("b", 5), 20_000);
        observedLongAgo.recordRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Gone, waitMs: 0 }, 20_010);
        assert.equal(observedLongAgo.tryStart(leaseOf("b", 5), 20_010).mayStart, true);
        const observedRecently = takeoverAfterReassignment(4_000);
        observedRecently.tryStart(leaseOf("b", 5), 4_000);
        observedRecently.recordRetired({ resourceId, epoch: 5, outcome: RetireOutcome.Gone, waitMs: 0 }, 4_010);
        assert.equal(observedRecently.tryStart(leaseOf("b", 5), permitLeaseDurationMs - 1).mayStart, false);
        assert.equal(observedRecently.tryStart(leaseOf("b", 5), permitLeaseDurationMs).mayStart, true);
    });

    it("reports its remaining wait to the next home and never starts afterwards", () => {
        const takeover = takeoverAfterReassignment(20_000);
        takeover.tryStart(leaseOf("b", 5), 20_000);
        assert.deepEqual(takeover.retire(resourceId, 6, 24_000), {
            known: true,
            waitMs: permitLeaseDurationMs - 4_000,
        });
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_000 + permitLeaseDurationMs).mayStart, false);
        assert.deepEqual(new HomeTakeover().retire(resourceId, 6, 24_000), { known: false, waitMs: 0 });
    });

    it("starts again after a request to retire for an epoch that was never assigned, once that is proved", () => {
        const takeover = takeoverAfterReassignment(0);
        const startMs = 20_000;
        assert.equal(takeover.tryStart(leaseOf("b", 5), startMs).mayStart, true);
        takeover.retire(resourceId, Number.MAX_SAFE_INTEGER, startMs);
        takeover.retire(resourceId, 5, startMs);
        takeover.releaseUnfounded(startMs);
        assert.equal(takeover.tryStart(leaseOf("b", 5), startMs).mayStart, false, "proved before the request");
        takeover.releaseUnfounded(startMs + 1);
        assert.equal(takeover.tryStart(leaseOf("b", 5), startMs + 1).mayStart, true);
    });

    it("keeps a home retired whose successor a proved configuration assigns", () => {
        const takeover = takeoverAfterReassignment(0);
        takeover.retire(resourceId, 6, 20_000);
        takeover.updateAssignments([leaseOf("c", 6)], 20_010);
        takeover.releaseUnfounded(20_020);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 20_020).mayStart, false);
    });

    it("waits for the lease duration if it has not seen the previous epoch", () => {
        const takeover = new HomeTakeover();
        takeover.updateAssignments([leaseOf("b", 5)], 1_000);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 1_000 + permitLeaseDurationMs - 1).mayStart, false);
        assert.equal(takeover.tryStart(leaseOf("b", 5), 1_000 + permitLeaseDurationMs).mayStart, true);
    });

    it("starts the first home of a resource at once", () => {
        const takeover = new HomeTakeover();
        takeover.updateAssignments([leaseOf("b", 1)], 1_000);
        assert.equal(takeover.tryStart(leaseOf("b", 1), 1_000).mayStart, true);
    });
});
