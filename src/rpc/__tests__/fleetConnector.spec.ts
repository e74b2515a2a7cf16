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

/** Minimum interval between two attempts once the backoff has reached its maximum (docs/CAPACITY.md). */
const attemptIntervalMs = 750;

const frame = encodeFrame({ kind: "status_asked" });

class Stream extends EventEmitter {
    cancelled = false;

    write(): void {
        // The simulated member ignores frames.
    }

    cancel(): void {
        this.cancelled = true;
    }
}

/** A connector and a simulated control member, in virtual time. */
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

    /** Sends the first frame of each attachment after 20 ms and closes the attachment `lifetimeMs` later. */
    run(durationMs: number, lifetimeMs: number): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs++) {
            const stream = this.streams.at(-1)!;
            if (!stream.cancelled && stream.listenerCount("answered") === 0) {
                stream.once("answered", () => undefined);
                setTimeout(() => stream.emit("data", frame), 20);
                setTimeout(() => stream.emit("end"), 20 + lifetimeMs);
            }
            mock.timers.tick(1);
        }
    }
}

describe("fleet connector", () => {
    beforeEach(() => mock.timers.enable({ apis: ["setTimeout"] }));
    afterEach(() => mock.timers.reset());

    it("backs off from a member that closes each attachment shortly after its first frame", () => {
        // Guards against reconnections that put the highest load on a member or a slow link when it is overloaded.
        const fixture = new Fixture();
        fixture.run(5_000, 30);
        const attemptsBefore = fixture.streams.length;
        fixture.run(15_000, 30);
        const attempts = fixture.streams.length - attemptsBefore;
        const maximumAttempts = 15_000 / attemptIntervalMs;
        assert.deepEqual({ attempts, within: attempts <= maximumAttempts }, { attempts, within: true });
    });

    it("reconnects at once when a stable attachment is lost", () => {
        const fixture = new Fixture();
        fixture.run(5_000, 30);
        const attemptsBefore = fixture.streams.length;
        fixture.run(1_500, 3_000);
        assert.equal(fixture.streams.length, attemptsBefore + 1);
        while (!fixture.streams.at(-1)!.cancelled) {
            fixture.run(1, 60_000);
        }
        // The initial delay with its jitter is at most 100 ms.
        fixture.run(101, 60_000);
        assert.equal(fixture.streams.length, attemptsBefore + 2);
    });

    it("sets no timer after it was closed", async () => {
        const fixture = new Fixture();
        fixture.run(100, 60_000);
        await fixture.connector[Symbol.asyncDispose]();
        mock.timers.tick(10_000);
        assert.equal(fixture.streams.length, 1);
    });
});
