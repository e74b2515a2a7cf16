import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type Command,
    CommandKind,
    ControlKind,
    type ControlPropose,
    ProposalStatus,
} from "../../model/controlMessages.ts";
import { type AppendAnswer, LogKind } from "../../model/logMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { AppendResult } from "../../rpc/generated/log.ts";
import { decodeAppendResult, encodeCallResult } from "../../rpc/logCodec.ts";
import { EvacuationGuardFilter } from "../evacuationGuardFilter.ts";
import { FakeCluster } from "./fakeCluster.ts";

const begin: Command = {
    kind: CommandKind.BeginEvacuation,
    evacuation: { dataCentre: "a", orderedBy: "operator", orderedAtUnixMs: 5 },
};
const end: Command = { kind: CommandKind.EndEvacuation, dataCentre: "a" };

function answerOf(memberId: string): AppendAnswer {
    return {
        kind: LogKind.AppendAnswer,
        from: { memberId, address: `${memberId}:1`, incarnation: "i" },
        to: { memberId: "m0", address: "m0:1", incarnation: "i" },
        term: 1,
        callId: "",
        accepted: true,
        index: 1,
        knowsEvacuations: true,
    };
}

/** As an earlier release answers: its messages lack the field. */
function earlierAnswerOf(memberId: string): AppendAnswer {
    const { head, accepted, index } = encodeCallResult(answerOf(memberId)) as AppendResult;
    const bytes = AppendResult.encode({ head, accepted, index, knowsEvacuations: false }).finish();
    return decodeAppendResult(AppendResult.decode(bytes)) as AppendAnswer;
}

class GuardFixture {
    private readonly guard = new EvacuationGuardFilter();

    hear(answer: AppendAnswer, nowMs: number): void {
        assert.deepEqual(this.guard.process(answer, nowMs), [answer]);
    }

    /** Returns the proposal if it passes, and otherwise the refusal. */
    propose(command: Command, nowMs: number): Message {
        const proposal: ControlPropose = { kind: ControlKind.Propose, proposalId: "p", operationId: "", command };
        const [output, ...others] = this.guard.process(proposal, nowMs);
        assert.deepEqual(others, []);
        return output!;
    }

    kindOf(command: Command, nowMs: number): string {
        return this.propose(command, nowMs).kind;
    }
}

describe("the guard of evacuations", () => {
    it("lets all proposals pass while all members are of this release", () => {
        const fixture = new GuardFixture();
        ["m1", "m2"].forEach(id => fixture.hear(answerOf(id), 0));
        assert.deepEqual([begin, end].map(command => fixture.kindOf(command, 10)), [
            ControlKind.Propose,
            ControlKind.Propose,
        ]);
    });

    it("refuses to begin one, but not to end it, while a member of an earlier release answers", () => {
        const fixture = new GuardFixture();
        fixture.hear(answerOf("m1"), 0);
        fixture.hear(earlierAnswerOf("m2"), 0);
        const { status, detail } = fixture.propose(begin, 10) as Message & { status: string; detail: string; };
        assert.equal(status, ProposalStatus.Invalid);
        assert.match(detail, /updated first: m2$/);
        assert.equal(fixture.kindOf(end, 10), ControlKind.Propose);
    });

    it("refuses no longer once the member is updated, or has not answered for some time", () => {
        const fixture = new GuardFixture();
        ["m1", "m2"].forEach(id => fixture.hear(earlierAnswerOf(id), 0));
        fixture.hear(answerOf("m1"), 1_000);
        assert.equal(fixture.kindOf(begin, 1_000), ControlKind.ProposalEnded);
        assert.equal(fixture.kindOf(begin, 2_999), ControlKind.ProposalEnded);
        assert.equal(fixture.kindOf(begin, 3_000), ControlKind.Propose);
    });

    it("hears of an earlier release from the answers to a leader's heartbeats", () => {
        const guards = new Map<string, EvacuationGuardFilter>();
        const cluster = new FakeCluster(3, 1, {
            processPartsOf: memberId => {
                const guard = new EvacuationGuardFilter();
                guards.set(memberId, guard);
                // The guard of the product is in the control pipe; this one only listens.
                const listen = (message: AppendAnswer): readonly Message[] => {
                    guard.process(message, cluster.nowMs);
                    return [];
                };
                const listener = { step: "listener", accepts: [LogKind.AppendAnswer], process: listen };
                return { pipes: [new Pipe("guard", [listener])], sinks: [] };
            },
        });
        cluster.runUntil("a leader", () => cluster.leader() !== undefined);
        cluster.run(1_000);
        const leaderId = cluster.leader()!.memberId;
        const proposal: ControlPropose = {
            kind: ControlKind.Propose,
            proposalId: "p",
            operationId: "",
            command: begin,
        };
        assert.deepEqual(guards.get(leaderId)!.process(proposal, cluster.nowMs), [proposal]);
        const [other] = ["m0", "m1", "m2"].filter(id => id !== leaderId);
        const { term } = cluster.leader()!.leaderView!;
        cluster.post(leaderId, { ...earlierAnswerOf(other!), term, index: 0 } as Message);
        cluster.run(10);
        assert.notDeepEqual(guards.get(leaderId)!.process(proposal, cluster.nowMs), [proposal]);
        cluster.run(1_000);
        assert.deepEqual(guards.get(leaderId)!.process(proposal, cluster.nowMs), [proposal]);
    });
});
