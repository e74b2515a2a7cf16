import { array, assert as check, double, integer, option, property, record, string } from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { FloorResult, PassedResult } from "../../model/peerMessages.ts";
import { TaskFrameMessage } from "../generated/tasks.ts";
import { decodeResult, encodeResult, isLoadIgnored } from "../taskCodec.ts";

const seed = 20261207;

const result: PassedResult = {
    kind: "task",
    taskId: "t",
    reply: undefined,
    fault: undefined,
    sent: true,
    leads: false,
    pinned: false,
};
const floorResult: FloorResult = {
    kind: "floor",
    questionId: "f1",
    position: { term: 1, offset: 9 },
    proofAgeMs: 3,
};

const unsigned = integer({ min: 0, max: 0xffff_ffff });
const load = record({
    expectedWaitsMs: array(unsigned, { maxLength: 40 }),
    window: unsigned,
    inFlight: unsigned,
    availableLinks: unsigned,
    busyThousandths: unsigned,
    positionTerm: option(double(), { nil: undefined }),
    positionOffset: double(),
    positionAgeMs: unsigned,
});
const replica = record({ databaseId: string(), term: double(), offset: double(), ageMs: unsigned, lagMs: unsigned });

/** Passes a frame through its binary encoding. */
function sent(frame: TaskFrameMessage): TaskFrameMessage {
    return TaskFrameMessage.decode(TaskFrameMessage.encode(frame).finish());
}

describe("reports of load that are false", () => {
    it("never cost the result that they came with", () => {
        check(
            property(load, encoded => {
                const frame = sent({ ...encodeResult(result), load: encoded });
                const { load: decoded, ...rest } = decodeResult(frame) as PassedResult;
                assert.deepEqual(rest, result);
                assert.equal(
                    isLoadIgnored(frame, { ...result, ...decoded === undefined ? {} : { load: decoded } }),
                    decoded === undefined,
                );
                if (decoded !== undefined) {
                    assert.ok(decoded.expectedWaitsMs.length > 0 && decoded.busyShare <= 1);
                    const { term, offset } = decoded.position ?? { term: 0, offset: 0 };
                    assert.ok(Number.isSafeInteger(term) && Number.isSafeInteger(offset) && term >= 0 && offset >= 0);
                }
            }),
            { seed, numRuns: 2_000 },
        );
    });

    it("never cost the floor that they came with", () => {
        check(
            property(array(replica, { maxLength: 50 }), string(), (positions, service) => {
                const frame = sent({ ...encodeResult(floorResult), replicas: { positions, service } });
                const { replicas = [], ...rest } = decodeResult(frame) as FloorResult;
                assert.deepEqual(rest, { ...floorResult, service });
                assert.ok(
                    replicas.every(({ position: { term, offset } }) =>
                        Number.isSafeInteger(term) && Number.isSafeInteger(offset) && term >= 0 && offset >= 0
                    ),
                );
                assert.ok(replicas.length <= 32);
            }),
            { seed, numRuns: 2_000 },
        );
    });

    it("are encoded in range, whatever was measured", () => {
        check(
            property(double(), double(), (busyShare, waitMs) => {
                const measured = {
                    expectedWaitsMs: [waitMs],
                    window: waitMs,
                    inFlight: waitMs,
                    availableLinks: waitMs,
                    busyShare,
                    position: undefined,
                    positionAgeMs: waitMs,
                };
                decodeResult(sent(encodeResult({ ...result, load: measured })));
            }),
            { seed, numRuns: 2_000 },
        );
    });
});
