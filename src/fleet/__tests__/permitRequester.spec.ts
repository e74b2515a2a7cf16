import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type FleetFrame,
    FleetKind,
    type PermitAnswer,
    type PermitsGranted,
    type SendFrame,
} from "../../model/fleetMessages.ts";
import { DeadlineKind, type SetDeadline } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { PermitRequester } from "../permitRequester.ts";

type PermitRequestFrame = Extract<FleetFrame, { readonly kind: "want"; }>;

class RequesterFixture {
    private readonly requester = new PermitRequester();
    readonly requests: { readonly to: string; readonly frame: PermitRequestFrame; }[] = [];
    readonly granted: PermitsGranted[] = [];
    silences = 0;
    nowMs = 0;
    private dueMs = Infinity;

    status(attachmentId: string, leading: boolean, term: number): void {
        const frame = { kind: "status", instanceId: attachmentId, leading, term, members: [], configurationVersion: 0 };
        this.feed({ kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
    }

    detach(attachmentId: string): void {
        this.feed({ kind: FleetKind.Detached, attachmentId } as Message);
    }

    need(
        workspace: string,
        waiting: number,
        extra: { prefetch?: number; held?: number; fallbackUsed?: number; } = {},
    ): void {
        const need = { workspace, waiting, prefetch: 0, held: 0, fallbackUsed: 0, ...extra };
        this.feed({ kind: FleetKind.PermitsNeeded, ...need } as Message);
    }

    answer(attachmentId: string, term: number, sequence: number, ...answers: readonly PermitAnswer[]): void {
        const frame = { kind: "permits", term, sequence, answers };
        this.feed({ kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
    }

    advance(durationMs: number): void {
        const untilMs = this.nowMs + durationMs;
        while (this.dueMs <= untilMs) {
            this.nowMs = Math.max(this.nowMs, this.dueMs);
            this.dueMs = Infinity;
            this.feed({ kind: FleetKind.PermitRequestDue } as Message);
        }
        this.nowMs = untilMs;
    }

    private feed(message: Message): void {
        for (const output of this.requester.process(message as never, this.nowMs)) {
            if (output.kind === FleetKind.SendFrame) {
                const { attachmentId, frame } = output as SendFrame;
                this.requests.push({ to: attachmentId, frame: frame as PermitRequestFrame });
            }
            else if (output.kind === FleetKind.PermitsGranted) {
                this.granted.push(output as PermitsGranted);
            }
            else if (output.kind === FleetKind.RateLeaderSilent) {
                this.silences += 1;
            }
            else if (output.kind === DeadlineKind.Set) {
                this.dueMs = (output as SetDeadline).atMs;
            }
        }
    }
}

/** An instance whose leader "m" has answered its first question. */
function instanceWithLeader(): RequesterFixture {
    const instance = new RequesterFixture();
    instance.status("m", true, 3);
    instance.answer("m", 3, 1);
    return instance;
}

describe("questions for permits", () => {
    it("go out one at a time, for all workspaces that lack some", () => {
        // Guards against a frame for each operation of a workspace beyond its rate.
        const instance = instanceWithLeader();
        instance.advance(100);
        instance.need("a", 1);
        instance.need("b", 2);
        instance.need("c", 1);
        assert.equal(instance.requests.length, 2);
        instance.advance(30);
        instance.answer("m", 3, 2, ["a", 1]);
        assert.equal(instance.requests.length, 2);
        instance.advance(10);
        assert.deepEqual(instance.requests.at(-1)!.frame.wants, [["b", 2, 0, 0, 0], ["c", 1, 0, 0, 0]]);
        assert.equal(instance.granted.at(-1)!.grants[0]!.count, 1);
    });

    it("name only workspaces that changed, and go out once a second without need", () => {
        const instance = instanceWithLeader();
        instance.need("a", 0, { held: 3 });
        instance.advance(1_000);
        assert.deepEqual(instance.requests.at(-1)!.frame.wants, [["a", 0, 0, 3, 0]]);
        instance.answer("m", 3, 2);
        instance.advance(999);
        assert.equal(instance.requests.length, 2);
        instance.advance(1);
        assert.equal(instance.requests.length, 3);
        assert.deepEqual(instance.requests.at(-1)!.frame.wants, []);
    });

    it("wait a little when no operation waits for them", () => {
        const instance = instanceWithLeader();
        instance.advance(10);
        instance.need("a", 0, { prefetch: 2 });
        instance.need("b", 0, { prefetch: 1 });
        assert.equal(instance.requests.length, 1);
        instance.advance(90);
        assert.deepEqual(instance.requests.at(-1)!.frame.wants, [["a", 0, 2, 0, 0], ["b", 0, 1, 0, 0]]);
    });

    it("are asked again without an answer, and the leader counts as silent sooner", () => {
        const instance = instanceWithLeader();
        instance.advance(50);
        instance.need("a", 1);
        instance.advance(100);
        assert.deepEqual([instance.silences, instance.requests.length], [1, 2]);
        instance.advance(300);
        assert.deepEqual([instance.silences, instance.requests.length], [1, 3]);
        assert.deepEqual(instance.requests.at(-1)!.frame.wants, [["a", 1, 0, 0, 0]]);
        instance.answer("m", 3, 2, ["a", 1]);
        assert.equal(instance.granted.at(-1)!.validUntilMs, 1_050);
    });

    it("bring nothing when their answer is older than the validity of a permit", () => {
        // Guards against permits of a frame that a partition held up.
        const instance = instanceWithLeader();
        instance.need("a", 1);
        instance.advance(1_500);
        instance.answer("m", 3, 2, ["a", 1]);
        assert.equal(instance.granted.length, 1);
    });

    it("go to the leader of the highest term, and only its answers count", () => {
        // Guards against permits of a member that lost its majority and does not know yet.
        const instance = instanceWithLeader();
        instance.status("n", true, 4);
        instance.status("m", true, 3);
        assert.deepEqual(instance.requests.map(({ to }) => to), ["m", "n"]);
        instance.answer("m", 3, 2, ["a", 5]);
        assert.equal(instance.granted.length, 1);
        instance.need("a", 1);
        instance.detach("n");
        assert.equal(instance.requests.at(-1)!.to, "m");
        instance.detach("m");
        assert.equal(instance.silences, 1);
    });

    it("go over the latest attachment to a leader", () => {
        // Guards against questions on a connection that ended without a word.
        const instance = instanceWithLeader();
        instance.status("m again", true, 3);
        assert.equal(instance.requests.at(-1)!.to, "m again");
        instance.detach("m");
        assert.deepEqual([instance.requests.length, instance.silences], [2, 0]);
    });

    it("tell a leader only what ran at the fallback rate since its first answer", () => {
        const instance = instanceWithLeader();
        instance.need("a", 0, { fallbackUsed: 4 });
        instance.advance(1_000);
        assert.equal(instance.requests.at(-1)!.frame.wants[0]![4], 4);
        instance.status("m", false, 3);
        instance.need("a", 0, { fallbackUsed: 9 });
        instance.status("n", true, 4);
        instance.answer("n", 4, instance.requests.at(-1)!.frame.sequence);
        instance.advance(50);
        instance.need("a", 1, { fallbackUsed: 11 });
        assert.equal(instance.requests.at(-1)!.frame.wants[0]![4], 2);
    });
});
