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
import { decodeFrame, encodeFrame } from "../../rpc/fleetCodec.ts";
import { checkIntervalMs, PermitLeader } from "../permitLeader.ts";
import { fallbackFraction } from "../workspacePermits.ts";

const tolerance: RateTolerance = { windowMs: 5_000, share: 0.1, operations: 20 };

/** Minimum time between two leaders: the election timeout of a majority and the vote. */
const leaderGapMs = 2_000;

interface RequestState {
    sequence: number;
    heard: number;
    term: number;
}

class LeaderFixture {
    readonly leader = new PermitLeader({ tolerance });
    nowMs = 0;
    /** Time of each granted permit. */
    readonly grantTimesMs: number[] = [];
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

    setRate(ratePerSecond: number | undefined, burst = ratePerSecond ?? 0): void {
        const workspaces = new Map(
            ratePerSecond === undefined ? [] : [["w", { name: "w", keys: [], ratePerSecond, burst }]],
        );
        const policy = { ...emptyTrafficPolicy, version: 1, workspaces };
        this.feed(
            {
                kind: FleetKind.PolicyApplied,
                policy,
                confirmed: true,
                promoted: new Map(),
                ordered: new Map(),
                completedFences: new Map(),
            } as Message,
        );
    }

    attach(id: string): void {
        this.requestStates.set(id, { sequence: 0, heard: 0, term: 0 });
        this.receiveFrame(id, {
            kind: "hello",
            instanceId: id,
            serves: true,
            leaving: false,
            dataCentre: "d",
            address: `${id}:1`,
        });
    }

    /** Requests permits and returns the number granted. */
    requestPermits(id: string, waiting: number, held = 0, fallbackUsed = 0, prefetch = 0): number {
        return this.answer(id, ["w", waiting, prefetch, held, fallbackUsed])?.[1] ?? 0;
    }

    answer(id: string, request: WorkspacePermitRequest): PermitAnswer | undefined {
        const requestState = this.requestStates.get(id)!;
        requestState.sequence += 1;
        const { sequence, heard, term } = requestState;
        this.answers = [];
        this.receiveFrame(id, { kind: "want", sequence, heard, term, wants: [request] });
        Object.assign(requestState, { heard: sequence, term: this.term });
        const [answer] = this.answers;
        this.grantTimesMs.push(...Array.from({ length: answer?.[1] ?? 0 }, () => this.nowMs));
        return answer;
    }

    advance(durationMs: number): void {
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
            this.nowMs = Math.min(endMs, this.nowMs + checkIntervalMs);
            this.feed({ kind: FleetKind.PermitCheckDue } as Message);
        }
    }

    /** Maximum number of permits granted in one window. */
    maximumInWindow(): number {
        return Math.max(
            0,
            ...this.grantTimesMs.map((atMs, index) => {
                const endMs = atMs + tolerance.windowMs;
                return this.grantTimesMs.slice(index).filter(laterMs => laterMs <= endMs).length;
            }),
        );
    }

    private receiveFrame(id: string, frame: FleetFrame): void {
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
    it("never exceed the rate in any window, in any order of requests, attachments and leaders", () => {
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
                const fixture = new LeaderFixture(["a", "b", "c", "d"]);
                for (const { kind, id, waiting, held, elapsedMs } of steps) {
                    fixture.advance(elapsedMs);
                    if (kind === "lead") {
                        fixture.advance(leaderGapMs);
                        fixture.lead();
                    }
                    if (kind === "attach") {
                        fixture.attach(id);
                    }
                    else if (kind === "ask") {
                        fixture.requestPermits(id, waiting, held, 0, held);
                    }
                }
                const maximum = fixture.maximumInWindow();
                assert.equal(maximum <= limit, true, `${maximum} in a window, limit ${limit}`);
            }),
            { seed: 20261204, numRuns: 300 },
        );
    });

    it("keep the rate when the workspace is removed and added again", () => {
        // Guards against a new bucket, with the operations of a new leader, at each return of a workspace.
        const fixture = new LeaderFixture(["a", "b"]);
        const limit = 100 * 5 + 100 + toleratedOperations(tolerance, 100, 100);
        for (let round = 0; round < 60; round++) {
            fixture.advance(100);
            fixture.setRate(undefined);
            fixture.setRate(100);
            fixture.requestPermits("a", 200);
            fixture.requestPermits("b", 200);
        }
        const maximum = fixture.maximumInWindow();
        assert.ok(maximum <= limit, `${maximum} in a window, limit ${limit}`);
    });

    it("are granted where the demand is", () => {
        const fixture = new LeaderFixture(["a", "b", "c"]);
        const granted = { a: 0, b: 0, c: 0 };
        for (let round = 0; round < 50; round++) {
            fixture.advance(100);
            granted.a += fixture.requestPermits("a", 9);
            granted.b += fixture.requestPermits("b", round % 10 === 0 ? 1 : 0);
            granted.c += fixture.requestPermits("c", round % 10 === 5 ? 1 : 0);
        }
        assert.deepEqual(granted, { a: 450, b: 5, c: 5 });
    });

    it("are shared fairly by instances that together request more than is available", () => {
        const fixture = new LeaderFixture(["a", "b"]);
        const granted = { a: 0, b: 0 };
        for (let round = 0; round < 200; round++) {
            fixture.advance(25);
            granted.a += fixture.requestPermits("a", 50);
            granted.b += fixture.requestPermits("b", 5);
        }
        assert.equal(granted.b > 0.4 * (granted.a + granted.b), true, JSON.stringify(granted));
    });

    it("are granted to the first requests after all machines started", () => {
        // Guards against refused callers while an instance waits for its first permits.
        const fixture = new LeaderFixture(["a", "b"]);
        assert.deepEqual([fixture.requestPermits("a", 5), fixture.requestPermits("b", 5)], [5, 5]);
    });

    it("start at a new leader with a small part of the tolerance, not with a full burst", () => {
        const fixture = new LeaderFixture(["a"]);
        fixture.advance(5_000);
        fixture.lead();
        const granted = fixture.requestPermits("a", 1_000);
        assert.equal(granted <= toleratedOperations(tolerance, 100, 100) / 4, true, `${granted}`);
    });

    it("are reduced at a new leader by the shares of unreachable instances until their fallback limit passes", () => {
        // Guards against granting a rate twice while an instance is partitioned from a new leader.
        const fixture = new LeaderFixture(["a", "b"]);
        fixture.advance(60_000);
        fixture.lead();
        let granted = fixture.requestPermits("a", 0);
        for (let round = 0; round < 100; round++) {
            fixture.advance(100);
            granted += fixture.requestPermits("a", 20);
        }
        assert.equal(granted <= 50 * fallbackLimitMs / 1_000 + 20, true, `${granted}`);
        fixture.advance(1_000);
        fixture.requestPermits("a", 1_000);
        granted = 0;
        for (let round = 0; round < 10; round++) {
            fixture.advance(100);
            granted += fixture.requestPermits("a", 20);
        }
        assert.equal(granted >= 95, true, `${granted}`);
    });

    it("are reduced by the share of a silent instance, whose operations are counted only once", () => {
        const fixture = new LeaderFixture(["a", "b"]);
        for (let round = 0; round < 200; round++) {
            fixture.advance(100);
            fixture.requestPermits("a", 3);
            fixture.requestPermits("b", 3);
        }
        const duringMs = 4_000;
        let granted = 0;
        fixture.advance(2_000);
        fixture.requestPermits("a", 1_000);
        for (let round = 0; round < duringMs / 100; round++) {
            fixture.advance(100);
            granted += fixture.requestPermits("a", 20);
        }
        assert.equal(granted < 0.75 * 100 * duringMs / 1_000, true, `${granted}`);
        fixture.requestPermits("b", 0, 0, 100);
        fixture.advance(1_000);
        const after = fixture.requestPermits("a", 1_000);
        assert.equal(after > 80, true, `${after}`);
    });

    it("are not withheld when an instance returns after its fallback limit has passed", () => {
        // Guards against deducting the same operations twice: once as a reservation and again when the instance reports
        // them.
        const fixture = new LeaderFixture(["a", "b"]);
        for (let round = 0; round < 200; round++) {
            fixture.advance(100);
            fixture.requestPermits("a", 3);
            fixture.requestPermits("b", 3);
        }
        fixture.advance(2 * fallbackLimitMs);
        fixture.requestPermits("a", 1_000);
        fixture.requestPermits("a", 0);
        fixture.requestPermits("b", 0, 0, 300);
        fixture.advance(1_000);
        const granted = fixture.requestPermits("a", 1_000);
        assert.equal(granted > 80, true, `${granted}`);
    });

    it("are fewer after operations at the fallback rate that were not reserved", () => {
        const fixture = new LeaderFixture(["a"]);
        fixture.requestPermits("a", 1);
        fixture.advance(1_000);
        fixture.requestPermits("a", 0, 0, 60);
        const granted = fixture.requestPermits("a", 1_000, 0, 60);
        assert.equal(granted < 100, true, `${granted}`);
    });

    it("reflect a lowered rate and a removed workspace at once", () => {
        const fixture = new LeaderFixture(["a"]);
        fixture.advance(5_000);
        fixture.setRate(10);
        const burst = fixture.requestPermits("a", 1_000);
        assert.equal(burst <= 10 + toleratedOperations(tolerance, 10, 10), true, `${burst}`);
        fixture.setRate(undefined);
        fixture.advance(1_000);
        assert.deepEqual(fixture.answer("a", ["w", 1, 0, 0, 0])?.slice(0, 2), ["w", 0]);
    });

    it("include fallback shares that add up to at most the whole rate", () => {
        const ids = Array.from({ length: 40 }, (_, index) => `i${index}`);
        const fixture = new LeaderFixture(ids);
        const parts = new Map<string, readonly [number, number]>();
        for (let round = 0; round < 200; round++) {
            fixture.advance(100);
            for (const id of ids) {
                const answer = fixture.answer(id, ["w", Number((round + ids.indexOf(id)) % 8 === 0), 0, 0, 0]);
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

    it("carry no share of a burst that a message cannot carry", () => {
        // Guards against attachments that end, and a leader that ends, because of a configuration that is valid.
        const fixture = new LeaderFixture(["i"]);
        fixture.setRate(100, 1e302);
        const shares: (number | undefined)[] = [];
        for (let round = 0; round < 200; round++) {
            fixture.advance(100);
            const answer = fixture.answer("i", ["w", 1, 0, 0, 0]);
            shares.push(answer?.[4]);
            assert.doesNotThrow(() => {
                const permits: FleetFrame = {
                    kind: "permits",
                    term: 1,
                    sequence: 1,
                    answers: answer === undefined ? [] : [answer],
                };
                decodeFrame(encodeFrame(permits));
                decodeFrame(encodeFrame(permits, true));
            });
        }
        assert.ok(shares.includes(Number.MAX_SAFE_INTEGER), "a share was answered");
    });
});
