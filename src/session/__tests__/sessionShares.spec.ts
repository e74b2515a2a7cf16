import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SessionKind, type SessionOpened } from "../../model/sessionMessages.ts";
import { StatementFault } from "../../model/sessionStatement.ts";
import { SessionShares } from "../sessionShares.ts";

const ends = [SessionKind.Closed, SessionKind.Refuse, SessionKind.Close] as const;

class Listener {
    readonly openKeys = new Map<string, string>();
    private readonly shares = new SessionShares({ maximumConnections: 20 });
    private nextNumber = 0;

    /** Returns whether the session takes a connection. */
    open(key: string): boolean {
        const sessionId = `s${this.nextNumber++}`;
        const opened: SessionOpened = { kind: SessionKind.Opened, sessionId, database: "orders", key };
        const [output] = this.shares.process(opened);
        if (output!.kind === SessionKind.Refuse) {
            assert.equal((output as unknown as { fault: StatementFault; }).fault, StatementFault.Busy);
            this.shares.process(output as never);
            return false;
        }
        assert.equal(output, opened);
        this.openKeys.set(sessionId, key);
        return true;
    }

    end(sessionId: string, kind: typeof ends[number]): void {
        this.shares.process({ kind, sessionId, fault: StatementFault.Busy, detail: "" });
        this.openKeys.delete(sessionId);
    }

    countOf(key: string): number {
        return [...this.openKeys.values()].filter(each => each === key).length;
    }
}

describe("shares of the connections of a listener", () => {
    it("keep the last tenth from the keys with most sessions", () => {
        const listener = new Listener();
        const opened = (key: string): number =>
            Array.from({ length: 30 }, () => listener.open(key)).filter(Boolean).length;
        assert.equal(opened("a"), 18);
        assert.equal(opened("b"), 18, "up to as many as the largest");
        assert.equal(opened("a"), 0);
    });

    it("refuse nobody below it, whatever ended before and by whom", () => {
        const step = fc.record({
            key: fc.constantFrom("a", "b", "c"),
            ended: fc.nat(40),
            kind: fc.constantFrom(...ends),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 120 }), steps => {
                const listener = new Listener();
                for (const { key, ended, kind } of steps) {
                    const sessionId = [...listener.openKeys.keys()][ended];
                    if (sessionId !== undefined) {
                        listener.end(sessionId, kind);
                    }
                    const count = listener.countOf(key);
                    const isLargest = ["a", "b", "c"].every(other => listener.countOf(other) <= count);
                    const isFull = listener.openKeys.size >= 18;
                    assert.equal(listener.open(key), !(isFull && isLargest));
                }
            }),
            { seed: 20261207, numRuns: 300 },
        );
    });
});
