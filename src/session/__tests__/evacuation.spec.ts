import * as fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseReport, type PolicyApplied, ReportedState } from "../../model/fleetMessages.ts";
import { LinkKind } from "../../model/linkMessages.ts";
import { StatementFault } from "../../model/sessionStatement.ts";
import { Evacuations, EvacuationStage } from "../../scheduling/evacuations.ts";
import { EvacuationRule } from "../evacuationRule.ts";
import { PassOverReason } from "../placementRule.ts";
import { evacuationBoundMs, type FleetNode, SessionFleet, type SessionFleetOptions } from "./sessionFleet.ts";

/** Longest time after the acknowledgement of an order at which an instance learns of it, in these tests. */
const maximumLearningMs = 1_000;

const propertyRuns = Number(process.env["EVACUATION_RUNS"] ?? 25);

interface LinkUse {
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly atMs: number;
}

class EvacuationFixture {
    readonly fleet: SessionFleet;
    /** What instances have sent to databases. */
    readonly uses: LinkUse[] = [];
    private readonly dataCentreByLink = new Map<string, string>();

    constructor(options: Partial<SessionFleetOptions> = {}) {
        this.fleet = new SessionFleet({
            instances: 6,
            dataCentres: 3,
            services: 3,
            workspaces: 4,
            sessions: 240,
            ...options,
        });
        this.fleet.onLinkUsed = ({ peer: { instanceId } }, message) => {
            const key = `${instanceId}/${message.linkId}`;
            if (message.kind === LinkKind.Open) {
                this.dataCentreByLink.set(key, this.fleet.databases.get(message.databaseId)!.report.dataCentre);
            }
            const dataCentre = this.dataCentreByLink.get(key)!;
            this.uses.push({ instanceId, dataCentre, atMs: this.fleet.schedule.nowMs });
        };
    }

    /** Tells each instance of the evacuation; the times count from now. Those without a time do not learn of it. */
    evacuate(dataCentre: string, learningMs: readonly (number | undefined)[]): void {
        this.fleet.nodes.forEach((node, index) => {
            const delayMs = learningMs[index];
            if (delayMs !== undefined) {
                this.fleet.schedule.after(delayMs, () => this.fleet.tellEvacuated(node, dataCentre));
            }
        });
    }

    /** What was sent to databases of a data centre from a time on. */
    usesSince(dataCentre: string, sinceMs: number): readonly LinkUse[] {
        return this.uses.filter(use => use.dataCentre === dataCentre && use.atMs >= sinceMs);
    }

    connectionsTo(dataCentre: string): number {
        return [...this.fleet.databases.values()].filter(({ report }) => report.dataCentre === dataCentre)
            .reduce((sum, { connectionCount }) => sum + connectionCount, 0);
    }
}

function allNodes(delayMs: number): readonly number[] {
    return Array.from({ length: 6 }, () => delayMs);
}

describe("work for the databases of an evacuated data centre", () => {
    it("ends before the bound at each instance that knows, whatever runs meanwhile", () => {
        const learning = fc.option(fc.integer({ min: 0, max: maximumLearningMs }), { nil: undefined, freq: 8 });
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 1_000 }),
                fc.array(learning, { minLength: 6, maxLength: 6 }),
                fc.constantFrom(0, 150, 700, 1_500, 2_900),
                fc.constantFrom("dc0", "dc1", "dc2"),
                fc.boolean(),
                (seed, learningMs, transactionPauseMs, dataCentre, isCongested) => {
                    const fixture = new EvacuationFixture({ seed, transactionPauseMs });
                    const { fleet } = fixture;
                    fleet.startCallers();
                    fleet.congestionMs = isCongested ? 120 : 0;
                    fleet.advance(4_000);
                    const orderedMs = fleet.schedule.nowMs;
                    assert.ok(fixture.usesSince(dataCentre, 0).length > 0);
                    fixture.evacuate(dataCentre, learningMs);
                    fleet.advance(evacuationBoundMs + 6_000);
                    const informed = fleet.nodes.filter((_, index) => learningMs[index] !== undefined)
                        .map(({ peer }) => peer.instanceId);
                    const late = fixture.usesSince(dataCentre, orderedMs + evacuationBoundMs)
                        .filter(({ instanceId }) => informed.includes(instanceId));
                    assert.deepEqual(late, []);
                    assert.deepEqual(fleet.staleStatementIds, []);
                    assert.deepEqual(fleet.checker.violations, []);
                    const other = dataCentre === "dc0" ? "dc1" : "dc0";
                    assert.ok(fixture.usesSince(other, orderedMs + evacuationBoundMs).length > 0);
                },
            ),
            { numRuns: propertyRuns },
        );
    });

    it("goes to databases elsewhere, and what only the primary can run is refused as busy", () => {
        const fixture = new EvacuationFixture();
        const { fleet } = fixture;
        fleet.startCallers();
        fleet.advance(4_000);
        fixture.evacuate("dc0", allNodes(10));
        fleet.advance(evacuationBoundMs);
        fleet.resetCounts();
        fleet.advance(4_000);
        const served = fleet.answers.get("served") ?? 0;
        const refused = fleet.answers.get(StatementFault.Busy) ?? 0;
        assert.ok(served > refused && refused > 0, JSON.stringify([...fleet.answers]));
        assert.equal(served + refused, [...fleet.answers.values()].reduce((sum, count) => sum + count, 0));
        assert.equal(fixture.connectionsTo("dc0"), 0);
    });

    it("is refused by a holder that knows when it comes from instances that do not", () => {
        const fixture = new EvacuationFixture();
        const { fleet } = fixture;
        fleet.startCallers();
        fleet.advance(4_000);
        const holders = [...fleet.databases.values()].filter(({ report }) => report.dataCentre === "dc0")
            .map(database => fleet.holderOf(database)!.instanceId);
        const isInformed = ({ peer }: FleetNode): boolean => holders.includes(peer.instanceId);
        fixture.evacuate("dc0", fleet.nodes.map(node => isInformed(node) ? 0 : undefined));
        assert.ok(fleet.nodes.some(node => !isInformed(node)));
        fleet.advance(evacuationBoundMs);
        const sinceMs = fleet.schedule.nowMs;
        fleet.resetCounts();
        fleet.advance(4_000);
        assert.deepEqual(fixture.usesSince("dc0", sinceMs), []);
        assert.ok((fleet.answers.get("served") ?? 0) > 100, JSON.stringify([...fleet.answers]));
        assert.deepEqual(fleet.staleStatementIds, []);
    });

    it("is refused at once where every database of a service is in evacuated data centres", () => {
        const fixture = new EvacuationFixture();
        const { fleet } = fixture;
        fleet.startCallers();
        fleet.advance(4_000);
        fleet.nodes.forEach(node => fleet.tellEvacuated(node, "dc0", "dc1", "dc2"));
        fleet.advance(evacuationBoundMs);
        const sinceMs = fleet.schedule.nowMs;
        fleet.resetCounts();
        fleet.advance(4_000);
        assert.deepEqual(fixture.uses.filter(({ atMs }) => atMs >= sinceMs), []);
        assert.deepEqual([...fleet.answers.keys()], [StatementFault.Busy]);
        assert.ok(fleet.answers.get(StatementFault.Busy)! > 100);
    });

    it("is given again after the end of the evacuation", () => {
        const fixture = new EvacuationFixture();
        const { fleet } = fixture;
        fleet.startCallers();
        fleet.advance(4_000);
        fixture.evacuate("dc0", allNodes(0));
        fleet.advance(evacuationBoundMs);
        fleet.nodes.forEach(node => fleet.tellEvacuated(node));
        fleet.advance(1_000);
        const sinceMs = fleet.schedule.nowMs;
        fleet.resetCounts();
        fleet.advance(3_000);
        assert.ok(fixture.usesSince("dc0", sinceMs).length > 0);
        assert.deepEqual([...fleet.answers.keys()], ["served"]);
    });

    it("lets open transactions end, and aborts those that last too long", () => {
        const [short, long] = [300, 2_500].map(transactionPauseMs => {
            const fixture = new EvacuationFixture({ transactionPauseMs });
            fixture.fleet.startCallers();
            fixture.fleet.advance(8_000);
            fixture.fleet.resetCounts();
            // Of the services, each has one primary; its transactions go on until a part of the bound is over.
            fixture.evacuate("dc0", allNodes(0));
            fixture.fleet.advance(evacuationBoundMs);
            return fixture.fleet.answers;
        });
        const aborted = (answers: ReadonlyMap<string, number>): number =>
            [...answers].filter(([answer]) => !["served", StatementFault.Busy].includes(answer))
                .reduce((sum, [, count]) => sum + count, 0);
        assert.equal(aborted(short!), 0, JSON.stringify([...short!]));
        assert.ok(aborted(long!) > 0, JSON.stringify([...long!]));
    });
});

describe("evacuations that an instance knows of", () => {
    const primary: DatabaseReport = {
        databaseId: "d",
        service: "s",
        address: "d:1",
        dataCentre: "z",
        slots: 1,
        state: ReportedState.Ready,
        leads: true,
        sequence: 1,
        bornUnixMs: 1,
    };
    const replica = { ...primary, leads: false };
    const inForce = { evacuated: new Set(["z"]) };

    it("give a primary and open transactions their parts of the bound, from when the instance learnt of them", () => {
        const evacuations = new Evacuations(5_000);
        evacuations.apply({}, 0);
        evacuations.apply(inForce, 10_000);
        // A policy that changes meanwhile gives no more time.
        evacuations.apply(inForce, 11_900);
        const stages = [10_000, 11_999, 12_000, 12_999, 13_000].map(nowMs => evacuations.stageOf(primary, nowMs));
        const { Open, TransactionsOnly, Closed } = EvacuationStage;
        assert.deepEqual(stages, [Open, Open, TransactionsOnly, TransactionsOnly, Closed]);
        assert.equal(evacuations.stageOf(replica, 10_000), TransactionsOnly);
        assert.equal(evacuations.stageOf(replica, 13_000), Closed);
        assert.equal(evacuations.stageOf({ ...replica, dataCentre: "y" }, 13_000), Open);
        assert.deepEqual([10_000, 12_000, 13_000].map(nowMs => evacuations.nextChangeMs(nowMs)), [
            12_000,
            13_000,
            undefined,
        ]);
        evacuations.apply({}, 14_000);
        assert.equal(evacuations.stageOf(primary, 14_000), Open);
    });

    it("give no time to an instance whose first policy has them", () => {
        const rule = new EvacuationRule(5_000);
        rule.applyPolicy(inForce as unknown as PolicyApplied, 0);
        const passedOver = { reason: PassOverReason.Evacuated, retryAfterMs: 5_000 };
        assert.deepEqual(rule.checkProbe(primary, 0), passedOver);
        assert.deepEqual(rule.checkProbe({ ...primary, dataCentre: "y" }, 0), undefined);
    });
});
