import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import {
    type FleetFrame,
    FleetKind,
    type PolicyApplied,
    type PolicyProved,
    type SendFrame,
} from "../../model/fleetMessages.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import { DeadlineKind, type SetDeadline } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { PolicyConfirmation } from "../policyConfirmation.ts";

/** The filter in a pipe. As in a proxy, a policy has the version of its configuration. */
class ConfirmationFixture {
    nowMs = 0;
    /** Ids of the questions for a proof that were sent. */
    readonly questions: string[] = [];
    /** Times for which the policy was proved, and "unavailable". */
    readonly proofs: (number | string)[] = [];
    private readonly pipe = new Pipe("fleet", [new PolicyConfirmation()]);

    /** Returns the versions of the emitted policies, marked if unconfirmed. */
    push(message: Message): readonly string[] {
        const outputs = this.pipe.process(message, this.nowMs);
        outputs.forEach(output => this.recordProof(output));
        return outputs.filter(isPolicy).map(({ policy, confirmed }) =>
            `${policy.version}${confirmed ? "" : " unconfirmed"}`
        );
    }

    /** Passes on what a proof timer that is due at once would post. */
    private recordProof(output: Message): void {
        if (output.kind === FleetKind.SendFrame) {
            const { frame } = output as SendFrame;
            assert.ok(frame.kind === "proof_asked");
            this.questions.push(frame.questionId);
        }
        else if (output.kind === FleetKind.PolicyProved) {
            this.proofs.push((output as PolicyProved).provedAtMs);
        }
        else if (output.kind === FleetKind.PolicyProofUnavailable) {
            this.proofs.push("unavailable");
        }
        else if (output.kind === DeadlineKind.Set && (output as SetDeadline).key === "fleet.policy_proof") {
            assert.ok((output as SetDeadline).atMs <= this.nowMs);
            this.proofIsDue = true;
        }
    }

    private proofIsDue = false;

    /** Processes the timer that publishes a proof, if it is set. */
    runTimer(): void {
        if (this.proofIsDue) {
            this.proofIsDue = false;
            this.push({ kind: FleetKind.PolicyProofDue });
        }
    }

    needProof(): void {
        this.push({ kind: FleetKind.PolicyProofNeeded });
    }

    receiveProof(questionId: string, configurationVersion: number): void {
        this.receiveFrame("a", { kind: "proof", questionId, configurationVersion });
        this.runTimer();
    }

    applyPolicy(version: number): readonly string[] {
        this.push({ kind: ClusterKind.ConfigurationApplied, configuration: { version } } as unknown as Message);
        const policy = { ...emptyTrafficPolicy, version };
        return this.push(
            {
                kind: FleetKind.PolicyApplied,
                policy,
                confirmed: false,
                promoted: new Map(),
                ordered: new Map(),
                completedFences: new Map(),
            } as Message,
        );
    }

    receiveFrame(attachmentId: string, frame: FleetFrame): readonly string[] {
        return this.push({ kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
    }

    receiveStatus(
        attachmentId: string,
        leading: boolean,
        term: number,
        configurationVersion: number,
    ): readonly string[] {
        const rest = { instanceId: attachmentId, members: [], instanceCount: 0 };
        return this.receiveFrame(attachmentId, { kind: "status", leading, term, configurationVersion, ...rest });
    }
}

function isPolicy(message: Message): message is PolicyApplied {
    return message.kind === FleetKind.PolicyApplied;
}

describe("confirmation of the first policy", () => {
    it("happens at the version that the leader reported first, even while changes keep arriving", () => {
        // Guards against a first policy that never catches up with a leader whose version keeps increasing.
        const confirmation = new ConfirmationFixture();
        assert.deepEqual(confirmation.receiveStatus("a", true, 3, 10), []);
        assert.deepEqual(confirmation.applyPolicy(9), []);
        assert.deepEqual(confirmation.receiveFrame("a", { kind: "configuration", version: 12 }), []);
        assert.deepEqual(confirmation.receiveStatus("a", true, 3, 13), []);
        assert.deepEqual(confirmation.applyPolicy(10), ["10"]);
        assert.deepEqual(confirmation.applyPolicy(11), ["11"]);
    });

    it("does not come from a follower or from the leader of an earlier term", () => {
        const confirmation = new ConfirmationFixture();
        assert.deepEqual(confirmation.applyPolicy(5), []);
        assert.deepEqual(confirmation.receiveStatus("a", false, 3, 5), []);
        assert.deepEqual(confirmation.receiveStatus("b", true, 4, 9), []);
        assert.deepEqual(confirmation.receiveStatus("a", true, 3, 5), []);
        assert.deepEqual(confirmation.applyPolicy(9), ["9"]);
    });

    it("times out: the latest policy takes effect unconfirmed and is confirmed later", () => {
        const confirmation = new ConfirmationFixture();
        assert.deepEqual(confirmation.applyPolicy(5), []);
        assert.deepEqual(confirmation.applyPolicy(6), []);
        assert.deepEqual(confirmation.push({ kind: FleetKind.ConfirmationDue }), ["6 unconfirmed"]);
        assert.deepEqual(confirmation.applyPolicy(7), ["7 unconfirmed"]);
        assert.deepEqual(confirmation.receiveStatus("a", true, 3, 7), ["7"]);
    });
});

describe("proof of the policy in effect", () => {
    function confirmedFixture(): ConfirmationFixture {
        const fixture = new ConfirmationFixture();
        fixture.receiveStatus("a", true, 3, 9);
        assert.deepEqual(fixture.applyPolicy(9), ["9"]);
        fixture.nowMs = 1_000;
        return fixture;
    }

    it("holds for the time of the question, and follows the policy that it covers", () => {
        // Guards against callers that are refused for good by a policy that is older than the proof.
        const fixture = confirmedFixture();
        fixture.needProof();
        fixture.nowMs = 1_030;
        fixture.receiveProof(fixture.questions[0]!, 11);
        assert.deepEqual(fixture.proofs, []);
        fixture.applyPolicy(10);
        fixture.runTimer();
        assert.deepEqual(fixture.proofs, []);
        assert.deepEqual(fixture.applyPolicy(11), ["11"]);
        assert.deepEqual(fixture.proofs, [], "the proof precedes its policy");
        fixture.runTimer();
        assert.deepEqual(fixture.proofs, [1_000]);
    });

    it("that is not covered yet does not take the place of an earlier one that is about to be published", () => {
        const fixture = confirmedFixture();
        fixture.needProof();
        fixture.receiveFrame("a", { kind: "proof", questionId: fixture.questions[0]!, configurationVersion: 9 });
        fixture.nowMs = 1_500;
        fixture.needProof();
        fixture.receiveFrame("a", { kind: "proof", questionId: fixture.questions[1]!, configurationVersion: 12 });
        fixture.runTimer();
        assert.deepEqual(fixture.proofs, []);
        fixture.applyPolicy(12);
        fixture.runTimer();
        assert.deepEqual(fixture.proofs, [1_500]);
    });

    it("does not come from an answer to an earlier question, which may have waited while the process stood still", () => {
        const fixture = confirmedFixture();
        fixture.needProof();
        fixture.nowMs = 9_000;
        fixture.needProof();
        const [earlier, later] = fixture.questions;
        fixture.receiveProof(earlier!, 9);
        assert.deepEqual(fixture.proofs, []);
        fixture.receiveProof(later!, 9);
        assert.deepEqual(fixture.proofs, [9_000]);
        fixture.receiveProof(later!, 9);
        assert.deepEqual(fixture.proofs, [9_000]);
    });

    it("comes from an answer that is later than the next question", () => {
        // Guards against callers that are never refused for good while a leader answers, but slowly.
        const fixture = confirmedFixture();
        [1_000, 1_500].forEach(atMs => {
            fixture.nowMs = atMs;
            fixture.needProof();
        });
        const [earlier, later] = fixture.questions;
        fixture.nowMs = 1_600;
        fixture.receiveProof(earlier!, 9);
        assert.deepEqual(fixture.proofs, [1_000]);
        fixture.receiveProof(later!, 9);
        fixture.receiveProof(earlier!, 9);
        assert.deepEqual(fixture.proofs, [1_000, 1_500]);
    });

    it("is not replaced by that of an earlier question, which is answered later", () => {
        const fixture = confirmedFixture();
        fixture.needProof();
        fixture.nowMs = 1_500;
        fixture.needProof();
        const [earlier, later] = fixture.questions;
        fixture.receiveProof(later!, 9);
        fixture.receiveProof(earlier!, 9);
        assert.deepEqual(fixture.proofs, [1_500]);
    });

    it("is asked for once while many callers need it, and again when nobody answers", () => {
        const fixture = confirmedFixture();
        [1, 2, 3].forEach(() => fixture.needProof());
        assert.equal(fixture.questions.length, 1);
        fixture.nowMs += 500;
        fixture.needProof();
        assert.equal(fixture.questions.length, 2);
    });

    it("is unavailable at once without a leader, and as soon as the last one is lost", () => {
        const fixture = confirmedFixture();
        fixture.needProof();
        fixture.push({ kind: FleetKind.Detached, attachmentId: "a" } as Message);
        assert.deepEqual(fixture.proofs, ["unavailable"]);
        fixture.needProof();
        assert.deepEqual(fixture.proofs, ["unavailable", "unavailable"]);
    });
});
