import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ControlProposalEnded, ProposalStatus } from "../../model/controlMessages.ts";
import { CommitWitnesses } from "../commitWitnesses.ts";
import { PromotionRecorder } from "../promotionRecorder.ts";

describe("records for promotions", () => {
    it("are proposed one at a time, and after a refusal only after a pause", () => {
        // Guards against a command that is refused, proposed again at once, and fills the log of the control members.
        const recorder = new PromotionRecorder();
        const witnesses = new CommitWitnesses();
        witnesses.attach("f1", "not a name", 0);
        const end = (proposalId: string, status: ProposalStatus): void =>
            recorder.endProposal({ proposalId, status } as ControlProposalEnded);
        const [first] = recorder.recordWitnesses(witnesses, 0);
        assert.deepEqual(recorder.recordWitnesses(witnesses, 10), []);
        end(first!.proposalId, ProposalStatus.Invalid);
        assert.deepEqual(recorder.recordWitnesses(witnesses, 4_000), []);
        const [second] = recorder.recordWitnesses(witnesses, 5_000);
        assert.notEqual(second!.proposalId, first!.proposalId);
        end(second!.proposalId, ProposalStatus.Applied);
        witnesses.setRecorded([{ instanceId: "not a name" }], 5_010);
        assert.deepEqual(recorder.recordWitnesses(witnesses, 5_010), []);
        witnesses.attach("f2", "i2", 5_020);
        assert.equal(recorder.recordWitnesses(witnesses, 5_020).length, 1);
    });
});
