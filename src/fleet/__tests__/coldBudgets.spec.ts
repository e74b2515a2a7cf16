import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CommandKind, ControlKind, type ControlPropose, ProposalStatus } from "../../model/controlMessages.ts";
import { type DatabaseReport, FleetKind, ReportedState, type SendFrame } from "../../model/fleetMessages.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { accountedMs, ColdBudgets, takeOverMs } from "../coldBudgets.ts";

const report: DatabaseReport = {
    databaseId: "d",
    service: "s",
    address: "d:1",
    dataCentre: "dc",
    slots: 3,
    state: ReportedState.Ready,
    leads: false,
    sequence: 1,
    bornUnixMs: 1,
};

/** A leader of which each barrier is committed as soon as the test says so. */
class BudgetsFixture {
    nowMs = 0;
    commitsBarriers = true;
    barriers = 0;
    private readonly filter = new ColdBudgets({ tolerance: { excess: 1.5, statements: 5 } });
    private sequence = 0;

    constructor(ratePerSecond = 30, leading = true) {
        this.setRate(ratePerSecond);
        this.push({ kind: FleetKind.DatabaseChanged, report } as Message);
        this.push({ kind: ControlKind.LeaderChanged, leading, term: 1 } as Message);
    }

    setRate(coldPerSecond: number): void {
        const service = { name: "s", connectionLimit: 50, synchronousReplicas: 1, coldPerSecond };
        const policy = { ...emptyTrafficPolicy, services: new Map([["s", service]]) };
        this.push({ kind: FleetKind.PolicyApplied, policy } as unknown as Message);
    }

    /** Number of databases of which grants are remembered. */
    get countedDatabases(): number {
        return (this.filter as unknown as { readonly issued: ReadonlyMap<string, unknown>; }).issued.size;
    }

    push(message: Message): readonly Message[] {
        const outputs = this.filter.process(message as never, this.nowMs);
        for (const { kind, proposalId, command } of outputs as readonly ControlPropose[]) {
            if (kind === ControlKind.Propose) {
                assert.equal(command.kind, CommandKind.ReadBarrier);
                this.barriers += 1;
                if (this.commitsBarriers) {
                    const status = ProposalStatus.Conflict;
                    this.push({ kind: ControlKind.ProposalEnded, proposalId, status } as Message);
                }
            }
        }
        return outputs;
    }

    /** Asks for a database; undefined if there is no answer. */
    ask(count: number, databaseId = "d"): number | undefined {
        const frame = { kind: "cold_want", sequence: ++this.sequence, wants: [[databaseId, count]] };
        const answer = this.push({ kind: FleetKind.FrameReceived, attachmentId: "a", frame } as unknown as Message)
            .find(({ kind }) => kind === FleetKind.SendFrame) as SendFrame | undefined;
        return answer?.frame.kind === "cold_grant" ? answer.frame.grants[0]![1] : undefined;
    }

    /** Asks for as much as possible every 50 ms, and returns what was granted. */
    askFor(durationMs: number): number {
        let granted = 0;
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += 50) {
            granted += this.ask(1_000) ?? 0;
        }
        return granted;
    }
}

describe("budgets of cold databases", () => {
    it("are granted by the leader alone, once what an earlier one granted is over", () => {
        assert.equal(new BudgetsFixture(30, false).ask(1), undefined);
        const fixture = new BudgetsFixture();
        fixture.askFor(takeOverMs - 60);
        assert.equal(fixture.ask(1), 0);
        fixture.nowMs = takeOverMs;
        assert.equal(fixture.ask(1), 1);
    });

    it("are spread over the time in which they count, and never exceed the limit in it", () => {
        const fixture = new BudgetsFixture();
        fixture.askFor(4_000);
        const granted = fixture.askFor(accountedMs - 50);
        assert.ok(granted <= 50 && granted >= 40, `${granted}`);
        const [first, second] = [fixture.askFor(500), fixture.askFor(500)];
        assert.ok(Math.abs(first - second) <= 10, `${first}, ${second}`);
    });

    it("end with the lease: without a barrier that was committed nothing is granted", () => {
        const fixture = new BudgetsFixture();
        fixture.askFor(4_000);
        fixture.commitsBarriers = false;
        assert.ok(fixture.askFor(500) > 0);
        fixture.askFor(150);
        assert.equal(fixture.askFor(2_000), 0);
        fixture.commitsBarriers = true;
        fixture.askFor(1_100);
        assert.ok(fixture.askFor(500) > 0);
    });

    it("need no barrier while nobody asks, and four a second at most", () => {
        const fixture = new BudgetsFixture();
        fixture.askFor(4_000);
        assert.ok(fixture.barriers <= 17, `${fixture.barriers}`);
        const before = fixture.barriers;
        fixture.nowMs += 60_000;
        assert.equal(fixture.barriers, before);
    });

    it("forget what no longer counts, also of databases that have left", () => {
        // Guards against memory that grows with each database that starts under another id.
        const fixture = new BudgetsFixture();
        fixture.askFor(2_500);
        for (let index = 0; index < 200; index++) {
            const databaseId = `d${index}`;
            fixture.push({ kind: FleetKind.DatabaseChanged, report: { ...report, databaseId } } as Message);
            assert.ok(fixture.ask(1, databaseId) === 1);
            fixture.push({ kind: FleetKind.DatabaseRemoved, databaseId } as Message);
            fixture.nowMs += 200;
        }
        assert.ok(fixture.countedDatabases <= accountedMs / 200 + 2, `${fixture.countedDatabases} databases`);
    });

    it("follow the policy; a database that has not reported gets nothing", () => {
        const fixture = new BudgetsFixture();
        fixture.askFor(4_000);
        assert.equal(fixture.ask(5, "unknown"), 0);
        fixture.setRate(0);
        assert.equal(fixture.ask(700), 700);
        fixture.setRate(1);
        assert.equal(fixture.askFor(500), 0);
        fixture.push({ kind: FleetKind.DatabaseRemoved, databaseId: "d" } as Message);
        fixture.askFor(3_000);
        assert.equal(fixture.ask(5), 0);
    });
});
