import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CommandKind, ControlKind, type ControlPropose, ProposalStatus } from "../../model/controlMessages.ts";
import { EvacuationAction, type EvacuationAnswered, EvacuationKind, EvacuationResult } from "../../model/evacuation.ts";
import { FleetKind } from "../../model/fleetMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { EvacuationOrders } from "../evacuationOrders.ts";

const { Begin, End } = EvacuationAction;

class OrdersFixture {
    readonly proposals: ControlPropose[] = [];
    readonly answers = new Map<string, EvacuationAnswered>();
    private readonly orders = new EvacuationOrders({ dataCentres: new Set(["a", "b"]) });

    feed(message: object): void {
        for (const output of this.orders.process(message as never, 0)) {
            if (output.kind === ControlKind.Propose) {
                this.proposals.push(output as ControlPropose);
            }
            else if (output.kind === EvacuationKind.Answered) {
                const answered = output as EvacuationAnswered;
                assert.ok(!this.answers.has(answered.requestId), "an order has two answers");
                this.answers.set(answered.requestId, answered);
            }
        }
    }

    lead(leading: boolean, leaderAddress: string | undefined = "m1:1"): this {
        this.feed({ kind: ControlKind.LeaderChanged, leading, term: 1, leaderAddress });
        return this;
    }

    order(requestId: string, action: EvacuationAction, dataCentre = "a"): void {
        const origin = { orderedBy: "operator", orderedAtUnixMs: 7 };
        this.feed({ kind: EvacuationKind.Ordered, requestId, action, dataCentre, ...origin });
    }

    hello(attachmentId: string, instanceId: string, serves: boolean, knowsEvacuations?: boolean): void {
        const frame = { kind: "hello", instanceId, serves, leaving: false, dataCentre: "a", address: "" };
        this.feed({ kind: FleetKind.FrameReceived, attachmentId, frame: { ...frame, knowsEvacuations } } as Message);
    }

    endProposal(index: number, status: ProposalStatus, detail = ""): void {
        const { proposalId } = this.proposals[index]!;
        this.feed({ kind: ControlKind.ProposalEnded, proposalId, status, detail });
    }

    resultOf(requestId: string): EvacuationResult | undefined {
        return this.answers.get(requestId)?.result;
    }
}

describe("evacuation orders", () => {
    it("are acknowledged only after their commit, also if they change nothing", () => {
        const fixture = new OrdersFixture().lead(true);
        fixture.order("1", Begin);
        fixture.order("2", Begin);
        assert.equal(fixture.answers.size, 0);
        assert.deepEqual(fixture.proposals[0]!.command, {
            kind: CommandKind.BeginEvacuation,
            evacuation: { dataCentre: "a", orderedBy: "operator", orderedAtUnixMs: 7 },
        });
        fixture.endProposal(0, ProposalStatus.Applied);
        fixture.endProposal(1, ProposalStatus.Conflict, "evacuated already");
        assert.equal(fixture.resultOf("1"), EvacuationResult.Accepted);
        assert.equal(fixture.resultOf("2"), EvacuationResult.Accepted);
        assert.equal(fixture.answers.get("2")!.detail, "evacuated already");
    });

    it("are proposed in the order of their arrival, so that the log decides", () => {
        const fixture = new OrdersFixture().lead(true);
        fixture.order("1", Begin);
        fixture.order("2", End);
        fixture.order("3", Begin, "b");
        assert.deepEqual(fixture.proposals.map(({ command }) => command.kind), [
            CommandKind.BeginEvacuation,
            CommandKind.EndEvacuation,
            CommandKind.BeginEvacuation,
        ]);
    });

    it("are refused for a data centre that does not exist, at every member, and nothing is proposed", () => {
        for (const leading of [true, false]) {
            const fixture = new OrdersFixture().lead(leading);
            for (const [index, dataCentre] of ["c", "", "A", "a/b", "__proto__"].entries()) {
                fixture.order(`${index}`, index % 2 === 0 ? Begin : End, dataCentre);
                assert.equal(fixture.resultOf(`${index}`), EvacuationResult.Refused);
                assert.match(fixture.answers.get(`${index}`)!.detail, /only: a, b/);
            }
            assert.deepEqual(fixture.proposals, []);
        }
    });

    it("are redirected to the leader, and unavailable during an election", () => {
        const fixture = new OrdersFixture().lead(false);
        fixture.order("1", Begin);
        assert.equal(fixture.resultOf("1"), EvacuationResult.Redirect);
        assert.equal(fixture.answers.get("1")!.leaderAddress, "m1:1");
        const election = new OrdersFixture();
        election.order("2", Begin);
        assert.equal(election.resultOf("2"), EvacuationResult.Unavailable);
        assert.deepEqual([...fixture.proposals, ...election.proposals], []);
    });

    it("are unavailable once their member leads no more, a majority is silent, or the commit is unknown", () => {
        const fixture = new OrdersFixture().lead(true);
        fixture.order("1", Begin);
        fixture.order("2", Begin);
        fixture.order("3", Begin);
        fixture.feed({ kind: EvacuationKind.LimitDue, requestId: "1" });
        fixture.endProposal(0, ProposalStatus.Applied);
        fixture.endProposal(1, ProposalStatus.Unknown);
        fixture.lead(false);
        assert.deepEqual(["1", "2", "3"].map(id => fixture.resultOf(id)), [
            EvacuationResult.Unavailable,
            EvacuationResult.Unavailable,
            EvacuationResult.Unavailable,
        ]);
    });

    it("do not begin while a control member of an earlier release is attached, but end", () => {
        const fixture = new OrdersFixture().lead(true);
        fixture.hello("f1", "proxy of an earlier release", true);
        fixture.hello("f2", "m2", false, true);
        fixture.hello("f3", "m3", false);
        fixture.order("1", Begin);
        fixture.order("2", End);
        assert.equal(fixture.resultOf("1"), EvacuationResult.Unavailable);
        assert.match(fixture.answers.get("1")!.detail, /updated first: m3$/);
        assert.equal(fixture.proposals.length, 1);
        fixture.feed({ kind: FleetKind.Detached, attachmentId: "f3" });
        fixture.order("3", Begin);
        assert.equal(fixture.proposals.length, 2);
    });
});
