import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type FleetFrame, FleetKind, type LeaseChanged, type SendFrame } from "../../model/fleetMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { LeaseRequester } from "../leaseRequester.ts";

class RequesterFixture {
    nowMs = 0;
    private readonly filter = new LeaseRequester();

    push(message: object): readonly Message[] {
        return this.filter.process(message as never, this.nowMs);
    }

    /** A member tells whether it leads. */
    status(attachmentId: string, leading: boolean, term: number, grantsLeases?: boolean): readonly Message[] {
        const frame = { kind: "status", leading, term, grantsLeases };
        return this.push({ kind: FleetKind.FrameReceived, attachmentId, frame });
    }

    due(): readonly Message[] {
        return this.push({ kind: FleetKind.LeaseDue });
    }

    grant(attachmentId: string, sequence: number, validMs: number): readonly Message[] {
        const frame: FleetFrame = { kind: "lease_granted", sequence, validMs };
        return this.push({ kind: FleetKind.FrameReceived, attachmentId, frame });
    }
}

/** The requests in messages, as attachment and sequence. */
function requestsIn(messages: readonly Message[]): readonly string[] {
    return messages.filter(({ kind }) => kind === FleetKind.SendFrame).map(message => {
        const { attachmentId, frame } = message as SendFrame;
        return `${attachmentId} ${frame.kind === "lease_asked" ? frame.sequence : frame.kind}`;
    });
}

/** Ends of the lease that messages tell. */
function endsIn(messages: readonly Message[]): readonly number[] {
    return messages.filter(({ kind }) => kind === FleetKind.LeaseChanged)
        .map(message => (message as LeaseChanged).untilMs);
}

describe("leases on acknowledgements, as an instance asks for them", () => {
    it("last from the time of the request, and for the usual duration at most", () => {
        // Guards against a lease that outlasts what the leader waits for, because its answer was late.
        const fixture = new RequesterFixture();
        const asked = fixture.status("a", true, 4, true);
        assert.deepEqual([requestsIn(asked), endsIn(asked)], [["a 1"], [-Infinity]]);
        fixture.nowMs = 1_000;
        assert.deepEqual(endsIn(fixture.grant("a", 1, 700)), [700]);
        assert.deepEqual(requestsIn(fixture.due()), ["a 2"]);
        assert.deepEqual(endsIn(fixture.grant("a", 2, 60_000)), [2_600]);
    });

    it("are not extended by answers of other members, to unknown requests, or given twice", () => {
        const fixture = new RequesterFixture();
        fixture.status("a", true, 4, true);
        assert.deepEqual(endsIn(fixture.grant("b", 1, 700)), []);
        assert.deepEqual(endsIn(fixture.grant("a", 9, 700)), []);
        assert.deepEqual(endsIn(fixture.grant("a", 1, 700)), [700]);
        assert.deepEqual(endsIn(fixture.grant("a", 1, 800)), []);
    });

    it("are asked of the leader of the latest term, and of nobody while none is known", () => {
        const fixture = new RequesterFixture();
        fixture.status("a", true, 4, true);
        assert.deepEqual(requestsIn(fixture.status("b", true, 5, true)), ["b 2"]);
        fixture.push({ kind: FleetKind.Detached, attachmentId: "b" });
        assert.deepEqual(requestsIn(fixture.due()), ["a 3"]);
        fixture.status("a", false, 5, true);
        assert.deepEqual(requestsIn(fixture.due()), []);
    });

    it("are not needed while the leader is of a release that grants none", () => {
        // Guards against an instance that refuses all commits beside control members of an earlier release.
        const fixture = new RequesterFixture();
        assert.deepEqual(endsIn(fixture.status("a", true, 4)), []);
        assert.deepEqual(endsIn(fixture.status("b", true, 5, true)), [-Infinity]);
        assert.deepEqual(endsIn(fixture.status("a", true, 6)), [Infinity]);
        assert.deepEqual(requestsIn(fixture.due()), []);
    });
});
