import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ColdGranted, type FleetFrame, FleetKind, type SendFrame } from "../../model/fleetMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { ColdRequester } from "../coldRequester.ts";

class RequesterFixture {
    nowMs = 0;
    private readonly filter = new ColdRequester();

    push(message: object): readonly Message[] {
        return this.filter.process(message as never, this.nowMs);
    }

    /** A member tells whether it leads. */
    status(attachmentId: string, leading: boolean, term: number): readonly Message[] {
        return this.push({ kind: FleetKind.FrameReceived, attachmentId, frame: { kind: "status", leading, term } });
    }

    need(waiting: number): readonly Message[] {
        return this.push({ kind: FleetKind.ColdNeeded, databaseId: "d", waiting });
    }

    /** Returns the grants that the answer of a member leaves. */
    answer(attachmentId: string, sequence: number, count: number, validMs = 300): readonly ColdGranted[] {
        const frame: FleetFrame = { kind: "cold_grant", sequence, validMs, grants: [["d", count], ["other", 9]] };
        return this.push({ kind: FleetKind.FrameReceived, attachmentId, frame })
            .filter((message): message is ColdGranted => message.kind === FleetKind.ColdGranted);
    }
}

function requestsIn(messages: readonly Message[]): readonly string[] {
    return messages.filter(({ kind }) => kind === FleetKind.SendFrame).map(message => {
        const { attachmentId, frame } = message as SendFrame;
        return `${attachmentId} ${frame.kind === "cold_want" ? JSON.stringify(frame.wants) : frame.kind}`;
    });
}

describe("requests for cold databases", () => {
    it("go to the leader of the latest term, at intervals, and are repeated without an answer", () => {
        const fixture = new RequesterFixture();
        assert.deepEqual(requestsIn(fixture.need(3)), []);
        assert.deepEqual(requestsIn(fixture.status("a", true, 4)), ["a [[\"d\",3]]"]);
        fixture.status("b", true, 5);
        fixture.nowMs = 149;
        assert.deepEqual(requestsIn(fixture.push({ kind: FleetKind.ColdRequestDue })), []);
        fixture.nowMs = 150;
        assert.deepEqual(requestsIn(fixture.push({ kind: FleetKind.ColdRequestDue })), ["b [[\"d\",3]]"]);
        fixture.need(0);
        fixture.nowMs = 400;
        assert.deepEqual(requestsIn(fixture.push({ kind: FleetKind.ColdRequestDue })), []);
        fixture.status("b", false, 5);
        fixture.push({ kind: FleetKind.Detached, attachmentId: "a" });
        assert.deepEqual(requestsIn(fixture.need(1)), []);
    });

    it("have answers that are valid from the sending of the request, once, from the asked member, for what was asked", () => {
        const fixture = new RequesterFixture();
        fixture.status("a", true, 1);
        fixture.need(3);
        fixture.nowMs = 280;
        assert.deepEqual(fixture.answer("b", 1, 3), []);
        assert.deepEqual(fixture.answer("a", 7, 3), []);
        const [granted] = fixture.answer("a", 1, 1e9, 1e9);
        assert.deepEqual(granted?.grants, [{ databaseId: "d", count: 3 }]);
        assert.deepEqual([granted.askedMs, granted.validUntilMs], [0, 300]);
        assert.deepEqual(fixture.answer("a", 1, 3), []);
    });
});
