import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ControlKind } from "../../model/controlMessages.ts";
import {
    type FleetFrame,
    FleetKind,
    type PermitAnswer,
    type SendFrame,
    type WorkspacePermitRequest,
} from "../../model/fleetMessages.ts";
import { fallbackLimitMs, type RateTolerance, toleratedOperations } from "../../model/rateLimits.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { checkIntervalMs, PermitLeader } from "../permitLeader.ts";
import { fallbackFraction } from "../workspacePermits.ts";

const tolerance: RateTolerance = { windowMs: 5_000, share: 0.1, operations: 20 };

/** Least time between two leaders: silence of a majority, and a vote. */
const leaderGapMs = 2_000;

interface RequestState {
    sequence: number;
    heard: number;
    term: number;
}

class Fleet {
    readonly leader = new PermitLeader({ tolerance });
    nowMs = 0;
    /** Times at which permits were given out, one for each. */
    readonly grantedMs: number[] = [];
    private readonly requestStates = new Map<string, RequestState>();
    private answers: readonly PermitAnswer[] = [];
    private term = 1;

    constructor(ids: readonly string[] = []) {
        this.setRate(100);
        ids.forEach(id => this.attach(id));
        this.lead();
    }

    lead(): void {
        this.feed({ kind: ControlKind.LeaderChanged, leading: true, term: ++this.term } as Message);
    }

    setRate(ratePerSecond: number | undefined): void {
        const workspaces = new Map(
            ratePerSecond === undefined ? [] : [["w", { name: "w", keys: [], ratePerSecond, burst: ratePerSecond }]],
        );
        const policy = { ...emptyTrafficPolicy, version: 1, workspaces };
        this.feed({ kind: FleetKind.PolicyApplied, policy, confirmed: true, promoted: new Map() } as Message);
    }

    attach(id: string): void {
        this.requestStates.set(id, { sequence: 0, heard: 0, term: 0 });
        this.frame(id, {
            kind: "hello",
            instanceId: id,
            serves: true,
            leaving: false,
            dataCentre: "d",
            address: `${id}:1`,
        });
    }

    /** Asks for permits, and returns those given out. */
    requestPermits(id: string, waiting: number, held = 0, fallbackUsed = 0, prefetch = 0): number {
        return this.answer(id, ["w", waiting, prefetch, held, fallbackUsed])?.[1] ?? 0;
    }

    answer(id: string, request: WorkspacePermitRequest): PermitAnswer | undefined {
        const counters = this.requestStates.get(id)!;
        counters.sequence += 1;
        const { sequence, heard, term } = counters;
        this.answers = [];
        this.frame(id, { kind: "want", sequence, heard, term, wants: [request] });
        Object.assign(counters, { heard: sequence, term: this.term });
        const [answer] = this.answers;
        this.grantedMs.push(...Array.from({ length: answer?.[1] ?? 0 }, () => this.nowMs));
        return answer;
    }

    advance(durationMs: number): void {
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
            this.nowMs = Math.min(endMs, this.nowMs + checkIntervalMs);
            this.feed({ kind: FleetKind.PermitCheckDue } as Message);
        }
    }

    /** Most permits given out in one window. */
    mostInWindow(): number {
        return Math.max(
            0,
            ...this.grantedMs.map((atMs, index) => {
                const endMs = atMs + tolerance.windowMs;
                return this.grantedMs.slice(index).filter(laterMs => laterMs <= endMs).length;
            }),
        );
    }

    private frame(id: string, frame: FleetFrame): void {
        this.feed({ kind: FleetKind.FrameReceived, attachmentId: id, frame } as Message);
    }

    private feed(message: Message): void {
        for (const output of this.leader.process(message as never, this.nowMs)) {
            if (output.kind === FleetKind.SendFrame) {
                const { frame } = output as SendFrame;
                this.answers = frame.kind === "permits" ? frame.answers : this.answers;
            }
        }
    }
}

describe("permits of the leader", () => {
    it("never exceed a rate in any window, in any order of questions, attachments and leaders", () => {
        // Guards against a workspace above its rate.
        const step = fc.record({
            kind: fc.constantFrom("ask", "ask", "ask", "ask", "attach", "wait", "lead"),
            id: fc.constantFrom("a", "b", "c", "d"),
            waiting: fc.integer({ min: 0, max: 300 }),
            held: fc.integer({ min: 0, max: 20 }),
            elapsedMs: fc.integer({ min: 0, max: 900 }),
        });
        const limit = 100 * 5 + 100 + toleratedOperations(tolerance, 100, 100);
        fc.assert(
            fc.property(fc.array(step, { maxLength: 80 }), steps => {
                const fleet = new Fleet(["a", "b", "c", "d"]);
                for (const { kind, id, waiting, held, elapsedMs } of steps) {
                    fleet.advance(elapsedMs);
                    if (kind === "lead") {
                        fleet.advance(leaderGapMs);
                        fleet.lead();
                    }
                    if (kind === "attach") {
                        fleet.attach(id);
                    }
                    else if (kind === "ask") {
                        fleet.requestPermits(id, waiting, held, 0, held);
                    }
                }
                const most = fleet.mostInWindow();
                assert.equal(most <= limit, true, `${most} in a window, limit ${limit}`);
            }),
            { seed: 20261204, numRuns: 300 },
        );
    });

    it("go to the instance with the callers", () => {
        const fleet = new Fleet(["a", "b", "c"]);
        const granted = { a: 0, b: 0, c: 0 };
        for (let round = 0; round < 50; round++) {
            fleet.advance(100);
            granted.a += fleet.requestPermits("a", 9);
            granted.b += fleet.requestPermits("b", round % 10 === 0 ? 1 : 0);
            granted.c += fleet.requestPermits("c", round % 10 === 5 ? 1 : 0);
        }
        assert.deepEqual(granted, { a: 450, b: 5, c: 5 });
    });

    it("are shared by instances that all ask for more than there is", () => {
        const fleet = new Fleet(["a", "b"]);
        const granted = { a: 0, b: 0 };
        for (let round = 0; round < 200; round++) {
            fleet.advance(25);
            granted.a += fleet.requestPermits("a", 50);
            granted.b += fleet.requestPermits("b", 5);
        }
        assert.equal(granted.b > 0.4 * (granted.a + granted.b), true, JSON.stringify(granted));
    });

    it("are given at the first question after all machines started", () => {
        // Guards against callers that are refused because an instance waits for its first permits.
        const fleet = new Fleet(["a", "b"]);
        assert.deepEqual([fleet.requestPermits("a", 5), fleet.requestPermits("b", 5)], [5, 5]);
    });

    it("begin at a new leader with a small part of what a window tolerates, not with a burst", () => {
        const fleet = new Fleet(["a"]);
        fleet.advance(5_000);
        fleet.lead();
        const granted = fleet.requestPermits("a", 1_000);
        assert.equal(granted <= toleratedOperations(tolerance, 100, 100) / 4, true, `${granted}`);
    });

    it("leave room at a new leader for instances that it does not hear, for as long as those may go on", () => {
        // Guards against a rate given out twice while an instance is cut off from a new leader.
        const fleet = new Fleet(["a", "b"]);
        fleet.advance(60_000);
        fleet.lead();
        let granted = fleet.requestPermits("a", 0);
        for (let round = 0; round < 100; round++) {
            fleet.advance(100);
            granted += fleet.requestPermits("a", 20);
        }
        assert.equal(granted <= 50 * fallbackLimitMs / 1_000 + 20, true, `${granted}`);
        fleet.advance(1_000);
        fleet.requestPermits("a", 1_000);
        granted = 0;
        for (let round = 0; round < 10; round++) {
            fleet.advance(100);
            granted += fleet.requestPermits("a", 20);
        }
        assert.equal(granted >= 95, true, `${granted}`);
    });

    it("leave room for an instance that falls silent, and count once what it ran meanwhile", () => {
        const fleet = new Fleet(["a", "b"]);
        for (let round = 0; round < 200; round++) {
            fleet.advance(100);
            fleet.requestPermits("a", 3);
            fleet.requestPermits("b", 3);
        }
        const duringMs = 4_000;
        let granted = 0;
        fleet.advance(2_000);
        fleet.requestPermits("a", 1_000);
        for (let round = 0; round < duringMs / 100; round++) {
            fleet.advance(100);
            granted += fleet.requestPermits("a", 20);
        }
        assert.equal(granted < 0.75 * 100 * duringMs / 1_000, true, `${granted}`);
        fleet.requestPermits("b", 0, 0, 100);
        fleet.advance(1_000);
        const after = fleet.requestPermits("a", 1_000);
        assert.equal(after > 80, true, `${after}`);
    });

    it("are not withheld from others when an instance is back after longer than its limit", () => {
        // Guards against a rate that is used up twice: set aside for an instance, and counted when it is heard again.
        const fleet = new Fleet(["a", "b"]);
        for (let round = 0; round < 200; round++) {
            fleet.advance(100);
            fleet.requestPermits("a", 3);
            fleet.requestPermits("b", 3);
        }
        fleet.advance(2 * fallbackLimitMs);
        fleet.requestPermits("a", 1_000);
        fleet.requestPermits("a", 0);
        fleet.requestPermits("b", 0, 0, 300);
        fleet.advance(1_000);
        const granted = fleet.requestPermits("a", 1_000);
        assert.equal(granted > 80, true, `${granted}`);
    });

    it("are fewer after operations without a permit that were not set aside", () => {
        const fleet = new Fleet(["a"]);
        fleet.requestPermits("a", 1);
        fleet.advance(1_000);
        fleet.requestPermits("a", 0, 0, 60);
        const granted = fleet.requestPermits("a", 1_000, 0, 60);
        assert.equal(granted < 100, true, `${granted}`);
    });

    it("follow a lower rate and a removed workspace at once", () => {
        const fleet = new Fleet(["a"]);
        fleet.advance(5_000);
        fleet.setRate(10);
        const burst = fleet.requestPermits("a", 1_000);
        assert.equal(burst <= 10 + toleratedOperations(tolerance, 10, 10), true, `${burst}`);
        fleet.setRate(undefined);
        fleet.advance(1_000);
        assert.deepEqual(fleet.answer("a", ["w", 1, 0, 0, 0])?.slice(0, 2), ["w", 0]);
    });

    it("tell an instance its part of the rate for a time without a leader, all parts at most the whole", () => {
        const ids = Array.from({ length: 40 }, (_, index) => `i${index}`);
        const fleet = new Fleet(ids);
        const parts = new Map<string, readonly [number, number]>();
        for (let round = 0; round < 200; round++) {
            fleet.advance(100);
            for (const id of ids) {
                const answer = fleet.answer(id, ["w", Number((round + ids.indexOf(id)) % 8 === 0), 0, 0, 0]);
                if (answer?.[3] !== undefined) {
                    parts.set(id, [answer[3] / 1e6, answer[4]! / 100]);
                }
            }
        }
        const share = [...parts.values()].reduce((sum, [part]) => sum + part, 0);
        const burst = [...parts.values()].reduce((sum, [, part]) => sum + part, 0);
        assert.equal(share > 0.5 && share <= 1, true, `${share}`);
        assert.equal(burst <= fallbackFraction * toleratedOperations(tolerance, 100, 100), true, `${burst}`);
    });
});
