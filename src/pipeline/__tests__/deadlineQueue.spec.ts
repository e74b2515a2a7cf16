import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { clearDeadline, DeadlineQueue, setDeadline } from "../deadlineQueue.ts";

const seed = 20_261_204;

describe("deadline queue", () => {
    it("returns messages at their deadlines after any sequence of sets, replacements and clears", () => {
        const operation = fc.record({ key: fc.integer({ min: 0, max: 9 }), atMs: fc.nat(100), clear: fc.boolean() });
        fc.assert(
            fc.property(fc.array(operation, { maxLength: 200 }), operations => {
                const queue = new DeadlineQueue();
                const expected = new Map<string, number>();
                for (const { key, atMs, clear } of operations) {
                    const name = `key${key}`;
                    if (clear) {
                        queue.apply(clearDeadline(name));
                        expected.delete(name);
                    }
                    else {
                        queue.apply(setDeadline(name, atMs, { kind: name }));
                        expected.set(name, atMs);
                    }
                }
                const popped: [string, number][] = [];
                for (let atMs = 0; atMs <= 100; atMs++) {
                    for (let due = queue.popDue(atMs); due !== undefined; due = queue.popDue(atMs)) {
                        popped.push([due.kind, atMs]);
                    }
                }
                assert.deepEqual(new Map(popped), expected);
                assert.equal(queue.size, 0);
            }),
            { seed },
        );
    });
});
