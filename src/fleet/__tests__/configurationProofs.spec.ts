import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { CommandKind, ControlKind, type ControlPropose, ProposalStatus } from "../../model/controlMessages.ts";
import { FleetKind, type SendFrame } from "../../model/fleetMessages.ts";
import { type DeadlineMessage, DeadlineQueue } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { ConfigurationProofs } from "../configurationProofs.ts";

/** The filter on a leader; the test decides when a barrier ends. */
class ProofsFixture {
    readonly proposals: string[] = [];
    /** `QUESTION=VERSION` of each proof that was sent. */
    proofs: string[] = [];
    nowMs = 0;
    private readonly pipe = new Pipe("fleet", [new ConfigurationProofs()]);
    private readonly deadlines = new DeadlineQueue();

    constructor(leading = true) {
        this.push({ kind: ControlKind.LeaderChanged, leading, term: 1 } as Message);
        this.apply(7);
    }

    push(message: Message): void {
        for (const output of this.pipe.process(message, this.nowMs)) {
            if (output.kind === ControlKind.Propose) {
                assert.equal((output as ControlPropose).command.kind, CommandKind.ReadBarrier);
                this.proposals.push((output as ControlPropose).proposalId);
            }
            else if (output.kind === FleetKind.SendFrame) {
                const { frame } = output as SendFrame;
                assert.ok(frame.kind === "proof");
                this.proofs.push(`${frame.questionId}=${frame.configurationVersion}`);
            }
            else if (output.kind.startsWith("deadline.")) {
                this.deadlines.apply(output as DeadlineMessage);
            }
        }
    }

    advance(durationMs: number): void {
        this.nowMs += durationMs;
        for (let due = this.deadlines.popDue(this.nowMs); due !== undefined; due = this.deadlines.popDue(this.nowMs)) {
            this.push(due);
        }
    }

    apply(version: number): void {
        this.push({ kind: ClusterKind.ConfigurationApplied, configuration: { version } } as unknown as Message);
    }

    ask(questionId: string): void {
        const frame = { kind: "proof_asked", questionId };
        this.push({ kind: FleetKind.FrameReceived, attachmentId: `a-${questionId}`, frame } as Message);
    }

    /** Ends the last barrier, or the one at this index. */
    endBarrier(status: ProposalStatus = ProposalStatus.Conflict, index = -1): void {
        this.push({ kind: ControlKind.ProposalEnded, proposalId: this.proposals.at(index)!, status } as Message);
    }
}

describe("proofs of the newest configuration", () => {
    it("rest on a barrier that was proposed after the question", () => {
        // Guards against a leader that was replaced, or stood still, and proves an old version.
        const fixture = new ProofsFixture();
        fixture.ask("q1");
        fixture.ask("q2");
        assert.equal(fixture.proposals.length, 1);
        fixture.apply(8);
        fixture.endBarrier();
        assert.deepEqual(fixture.proofs, ["q1=8"]);
        fixture.advance(200);
        assert.equal(fixture.proposals.length, 2);
        fixture.endBarrier();
        assert.deepEqual(fixture.proofs, ["q1=8", "q2=8"]);
    });

    it("are not given without a barrier that was committed, nor by a member that does not lead", () => {
        const fixture = new ProofsFixture();
        fixture.ask("q1");
        fixture.endBarrier(ProposalStatus.Unknown);
        fixture.advance(100);
        fixture.ask("q2");
        fixture.push({ kind: ControlKind.LeaderChanged, leading: false, term: 2 } as Message);
        fixture.endBarrier();
        assert.deepEqual(fixture.proofs, []);
        const follower = new ProofsFixture(false);
        follower.ask("q1");
        assert.deepEqual(follower.proposals, []);
    });

    it("share a barrier, of which there are at most 6 a second however many instances ask", () => {
        const fixture = new ProofsFixture();
        for (let question = 0; question < 200; question++) {
            fixture.ask(`q${question}`);
            fixture.endBarrier();
            fixture.advance(question < 199 ? 5 : 0);
        }
        assert.ok(fixture.proposals.length <= 6, `${fixture.proposals.length} barriers in ${fixture.nowMs} ms`);
        fixture.advance(200);
        fixture.endBarrier();
        assert.equal(fixture.proofs.length, 200);
    });

    it("do not wait for the barrier of an earlier question, which takes long on slow disks", () => {
        // Guards against proofs that are too old when they arrive, while a leader commits.
        const fixture = new ProofsFixture();
        fixture.ask("q1");
        fixture.advance(50);
        fixture.ask("q2");
        fixture.advance(150);
        assert.equal(fixture.proposals.length, 2);
        fixture.advance(400);
        fixture.endBarrier(ProposalStatus.Conflict, 0);
        assert.deepEqual(fixture.proofs, ["q1=7"]);
        fixture.advance(200);
        fixture.endBarrier(ProposalStatus.Conflict, 1);
        assert.deepEqual(fixture.proofs, ["q1=7", "q2=7"]);
    });

    it("have a bounded number of barriers under way while the disks stand still", () => {
        const fixture = new ProofsFixture();
        for (let question = 0; question < 100; question++) {
            fixture.ask(`q${question}`);
            fixture.advance(100);
        }
        assert.equal(fixture.proposals.length, 5);
        fixture.endBarrier(ProposalStatus.Conflict, 0);
        assert.equal(fixture.proposals.length, 6);
        [1, 2, 3, 4, 5].forEach(index => fixture.endBarrier(ProposalStatus.Conflict, index));
        assert.equal(fixture.proofs.length, 100);
    });

    it("are not delayed for a question that follows no other one", () => {
        const fixture = new ProofsFixture();
        fixture.ask("q1");
        fixture.endBarrier();
        fixture.advance(200);
        fixture.ask("q2");
        assert.equal(fixture.proposals.length, 2);
    });
});
