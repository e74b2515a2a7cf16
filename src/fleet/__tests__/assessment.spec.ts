import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DatabaseReport } from "../../model/fleetMessages.ts";
import { LinkKind, LinkLoss } from "../../model/linkMessages.ts";
import { Assessment } from "../assessment.ts";

const report: DatabaseReport = {
    databaseId: "p",
    service: "s",
    address: "p:1",
    dataCentre: "d",
    slots: 3,
    state: "ready",
    leads: true,
    sequence: 1,
    bornUnixMs: 1,
};

/** Longer than the timeouts for the answers and for the leader's own connection. */
const afterTimeoutsMs = 600;

function openAssessment(...attachmentIds: readonly string[]): Assessment {
    const assessment = new Assessment(report, "m0");
    assessment.open(attachmentIds);
    return assessment;
}

function answer(assessment: Assessment, attachmentId: string, answeredAgeMs?: number, unansweredAgeMs?: number): void {
    assessment.recordAnswer(attachmentId, { kind: "assessment", databaseId: "p", answeredAgeMs, unansweredAgeMs });
}

describe("assessment of a primary", () => {
    it("keeps a primary when no instance answers and the leader's own connection is still opening", () => {
        // Guards against a change of primary without evidence while frames are delayed.
        assert.equal(openAssessment("f1", "f2", "f3").shouldReplace(afterTimeoutsMs), false);
        assert.equal(openAssessment().shouldReplace(afterTimeoutsMs), false);
    });

    it("keeps a primary when only a minority of the instances answers and has no evidence", () => {
        const assessment = openAssessment("f1", "f2", "f3");
        answer(assessment, "f1");
        assert.equal(assessment.shouldReplace(afterTimeoutsMs), false);
    });

    it("replaces a primary when one instance has lost it and no instance reaches it", () => {
        const assessment = openAssessment("f1", "f2", "f3");
        answer(assessment, "f1", 2_000, 380);
        assert.equal(assessment.shouldReplace(afterTimeoutsMs), true);
    });

    it("replaces a primary when the leader's own connection to it is lost", () => {
        const assessment = openAssessment("f1", "f2", "f3");
        assessment.linkLost({ kind: LinkKind.Lost, linkId: "m0", loss: LinkLoss.Broken, fault: undefined });
        assert.equal(assessment.shouldReplace(afterTimeoutsMs), true);
    });

    it("replaces a primary that answers neither the leader nor any instance", () => {
        const assessment = openAssessment("f1", "f2");
        answer(assessment, "f1");
        answer(assessment, "f2", 2_000);
        assert.equal(assessment.shouldReplace(afterTimeoutsMs), true);
    });

    it("keeps a primary that most instances reach", () => {
        const assessment = openAssessment("f1", "f2", "f3");
        answer(assessment, "f1", 2_000, 380);
        answer(assessment, "f2", 100);
        answer(assessment, "f3", 100);
        assert.equal(assessment.shouldReplace(afterTimeoutsMs), false);
    });
});
