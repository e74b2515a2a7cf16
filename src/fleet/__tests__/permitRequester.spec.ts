import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type FleetFrame,
    FleetKind,
    type PermitAnswer,
    type PermitsGranted,
    type SendFrame,
} from "../../model/fleetMessages.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import { DeadlineKind, type SetDeadline } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { PermitRequester } from "../permitRequester.ts";

type PermitRequestFrame = Extract<FleetFrame, { readonly kind: "want"; }>;

class RequesterFixture {
    private readonly requester = new PermitRequester();
    readonly requests: { readonly to: string; readonly frame: PermitRequestFrame; }[] = [];
    readonly granted: PermitsGranted[] = [];
    silentReports = 0;
    nowMs = 0;
    private dueMs = Infinity;

    status(attachmentId: string, leading: boolean, term: number): void {
        const frame = { kind: "status", instanceId: attachmentId, leading, term, members: [], configurationVersion: 0 };
        this.feed({ kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
    }

    detach(attachmentId: string): void {
        this.feed({ kind: FleetKind.Detached, attachmentId } as Message);
    }

    applyPolicy(workspaces: readonly string[]): void {
        const policy = { ...emptyTrafficPolicy, workspaces: new Map(workspaces.map(name => [name, { name }])) };
        this.feed(
            {
                kind: FleetKind.PolicyApplied,
                policy,
                confirmed: true,
                promoted: new Map(),
                ordered: new Map(),
                completedFences: new Map(),
            } as unknown as Message,
        );
    }

    setNeed(
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
                this.silentReports += 1;
            }
            else if (output.kind === DeadlineKind.Set) {
                this.dueMs = (output as SetDeadline).atMs;
            }
        }
    }
}

/** An instance whose first request was answered by leader "m". */
function instanceWithLeader(): RequesterFixture {
    const instance = new RequesterFixture();
    instance.status("m", true, 3);
    instance.answer("m", 3, 1);
    return instance;
}

describe("permit requests", () => {
    it("are sent one at a time and batch all workspaces that need permits", () => {
        // Guards against one frame per operation of a workspace that exceeds its rate.
        const instance = instanceWithLeader();
        instance.advance(100);
        instance.setNeed("a", 1);
        instance.setNeed("b", 2);
        instance.setNeed("c", 1);
        assert.equal(instance.requests.length, 2);
        instance.advance(30);
        instance.answer("m", 3, 2, ["a", 1]);
        assert.equal(instance.requests.length, 2);
        instance.advance(10);
        assert.deepEqual(instance.requests.at(-1)!.frame.wants, [["b", 2, 0, 0, 0], ["c", 1, 0, 0, 0]]);
        assert.equal(instance.granted.at(-1)!.grants[0]!.count, 1);
    });

    it("contain only workspaces that changed, and are sent once a second if nothing is needed", () => {
        const instance = instanceWithLeader();
        instance.setNeed("a", 0, { held: 3 });
        instance.advance(1_000);
        assert.deepEqual(instance.requests.at(-1)!.frame.wants, [["a", 0, 0, 3, 0]]);
        instance.answer("m", 3, 2);
        instance.advance(999);
        assert.equal(instance.requests.length, 2);
        instance.advance(1);
        assert.equal(instance.requests.length, 3);
        assert.deepEqual(instance.requests.at(-1)!.frame.wants, []);
    });

    it("are delayed and batched while no operation waits", () => {
        const instance = instanceWithLeader();
        instance.advance(10);
        instance.setNeed("a", 0, { prefetch: 2 });
        instance.setNeed("b", 0, { prefetch: 1 });
        assert.equal(instance.requests.length, 1);
        instance.advance(90);
        assert.deepEqual(instance.requests.at(-1)!.frame.wants, [["a", 0, 2, 0, 0], ["b", 0, 1, 0, 0]]);
    });

    it("are repeated without an answer, after the leader was reported as silent", () => {
        const instance = instanceWithLeader();
        instance.advance(50);
        instance.setNeed("a", 1);
        instance.advance(100);
        assert.deepEqual([instance.silentReports, instance.requests.length], [1, 2]);
        instance.advance(300);
        assert.deepEqual([instance.silentReports, instance.requests.length], [1, 3]);
        assert.deepEqual(instance.requests.at(-1)!.frame.wants, [["a", 1, 0, 0, 0]]);
        instance.answer("m", 3, 2, ["a", 1]);
        assert.equal(instance.granted.at(-1)!.validUntilMs, 1_050);
    });

    it("grant nothing if the answer arrives after the validity of its permits", () => {
        // Guards against using permits of a frame that was delayed by a partition.
        const instance = instanceWithLeader();
        instance.setNeed("a", 1);
        instance.advance(1_500);
        instance.answer("m", 3, 2, ["a", 1]);
        assert.equal(instance.granted.length, 1);
    });

    it("are sent to the leader of the highest term, and answers of other members are ignored", () => {
        // Guards against permits of a former leader that has not noticed the loss of its majority.
        const instance = instanceWithLeader();
        instance.status("n", true, 4);
        instance.status("m", true, 3);
        assert.deepEqual(instance.requests.map(({ to }) => to), ["m", "n"]);
        instance.answer("m", 3, 2, ["a", 5]);
        assert.equal(instance.granted.length, 1);
        instance.setNeed("a", 1);
        instance.detach("n");
        assert.equal(instance.requests.at(-1)!.to, "m");
        instance.detach("m");
        assert.equal(instance.silentReports, 1);
    });

    it("use the latest attachment to a leader", () => {
        // Guards against requests on a connection that broke silently.
        const instance = instanceWithLeader();
        instance.status("m again", true, 3);
        assert.equal(instance.requests.at(-1)!.to, "m again");
        instance.detach("m");
        assert.deepEqual([instance.requests.length, instance.silentReports], [2, 0]);
    });

    it("report only the fallback operations since the first answer of the leader", () => {
        const instance = instanceWithLeader();
        instance.setNeed("a", 0, { fallbackUsed: 4 });
        instance.advance(1_000);
        assert.equal(instance.requests.at(-1)!.frame.wants[0]![4], 4);
        instance.status("m", false, 3);
        instance.setNeed("a", 0, { fallbackUsed: 9 });
        instance.status("n", true, 4);
        instance.answer("n", 4, instance.requests.at(-1)!.frame.sequence);
        instance.advance(50);
        instance.setNeed("a", 1, { fallbackUsed: 11 });
        assert.equal(instance.requests.at(-1)!.frame.wants[0]![4], 2);
    });

    it("count fallback operations over the removal and the return of a workspace", () => {
        // Guards against negative counts, for which the leader closes the attachment again and again.
        const instance = instanceWithLeader();
        instance.setNeed("a", 0, { fallbackUsed: 7 });
        instance.status("m", true, 4);
        instance.answer("m", 4, instance.requests.at(-1)!.frame.sequence);
        instance.advance(1_000);
        instance.setNeed("a", 1, { fallbackUsed: 9 });
        instance.advance(1_000);
        instance.applyPolicy([]);
        instance.applyPolicy(["a"]);
        instance.setNeed("a", 1);
        instance.advance(1_000);
        instance.setNeed("a", 1, { fallbackUsed: 3 });
        instance.advance(1_000);
        const counts = instance.requests.flatMap(({ frame }) => frame.term === 4 ? frame.wants : [])
            .map(([, , , , fallbackUsed]) => fallbackUsed);
        assert.ok(counts.length >= 3 && counts.every((count, index) => count >= (counts[index - 1] ?? 0)), `${counts}`);
        assert.equal(counts.at(-1), 5);
    });
});
