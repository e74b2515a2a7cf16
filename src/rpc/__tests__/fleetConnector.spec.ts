import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { encodeFrame } from "../fleetCodec.ts";
import { FleetConnector } from "../fleetConnector.ts";
import type { PeerClientFactory } from "../peerClientFactory.ts";
import { noopTraffic } from "./noopTraffic.ts";

/** Least time between two attempts after a while, from docs/CAPACITY.md. */
const attemptIntervalMs = 750;

const frame = encodeFrame({ kind: "status_asked" });

class Stream extends EventEmitter {
    cancelled = false;

    write(): void {
        // The member here needs no frame.
    }

    cancel(): void {
        this.cancelled = true;
    }
}

/** A member in virtual time, and an instance that attaches to it. */
class Fixture {
    readonly streams: Stream[] = [];
    readonly connector: FleetConnector;

    constructor() {
        const open = (): Stream => {
            const stream = new Stream();
            this.streams.push(stream);
            return stream;
        };
        const clientFactory = {
            createClient: () => ({ attach: open, close: () => undefined }),
        } as unknown as PeerClientFactory;
        const random = new SeededRandom(1);
        this.connector = new FleetConnector({
            clientFactory,
            post: () => undefined,
            random,
            traffic: noopTraffic,
            ownAddress: "front0:1",
        });
        this.connector.deliver({ kind: FleetKind.MembersKnown, addresses: ["core0:1"] } as Message as never);
    }

    /** Answers each attempt after 20 ms and ends the attachment `lifeMs` later. */
    run(durationMs: number, lifeMs: number): void {
        for (let passedMs = 0; passedMs < durationMs; passedMs++) {
            const stream = this.streams.at(-1)!;
            if (!stream.cancelled && stream.listenerCount("answered") === 0) {
                stream.once("answered", () => undefined);
                setTimeout(() => stream.emit("data", frame), 20);
                setTimeout(() => stream.emit("end"), 20 + lifeMs);
            }
            mock.timers.tick(1);
        }
    }
}

describe("fleet connector", () => {
    beforeEach(() => mock.timers.enable({ apis: ["setTimeout"] }));
    afterEach(() => mock.timers.reset());

    it("returns seldom to a member that greets it and cuts it off each time", () => {
        // Guards against attachments that load a busy member or a slow link most when it fails.
        const fixture = new Fixture();
        fixture.run(5_000, 30);
        const before = fixture.streams.length;
        fixture.run(15_000, 30);
        const attempts = fixture.streams.length - before;
        const bound = 15_000 / attemptIntervalMs;
        assert.deepEqual({ attempts, within: attempts <= bound }, { attempts, within: true });
    });

    it("returns at once to a member that was attached for a while", () => {
        const fixture = new Fixture();
        fixture.run(5_000, 30);
        const before = fixture.streams.length;
        fixture.run(1_500, 3_000);
        assert.equal(fixture.streams.length, before + 1);
        while (!fixture.streams.at(-1)!.cancelled) {
            fixture.run(1, 60_000);
        }
        // The shortest pause with its jitter is at most 100 ms.
        fixture.run(101, 60_000);
        assert.equal(fixture.streams.length, before + 2);
    });

    it("sets no timer once it is closed", async () => {
        const fixture = new Fixture();
        fixture.run(100, 60_000);
        await fixture.connector[Symbol.asyncDispose]();
        mock.timers.tick(10_000);
        assert.equal(fixture.streams.length, 1);
    });
});
