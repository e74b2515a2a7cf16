import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ExplanationAsked, ExplanationKind, type Finding, Verdict } from "../../model/explanation.ts";
import { type DatabaseReport, FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import { emptyTrafficPolicy, RouteConsistency } from "../../model/trafficPolicy.ts";
import { EvacuationRule } from "../evacuationRule.ts";
import { HomeRule } from "../homeRule.ts";
import { Routing } from "../routing.ts";
import { type LinkTask, TaskKind } from "../taskMessages.ts";
import { askedFor } from "./explanationQuestions.ts";
import { position, route } from "./sessionFixture.ts";

const regions = new Map([["dc1", "north"], ["dc2", "north"], ["dc3", "south"]]);
const lookup = route(RouteConsistency.Bounded, "lookup", 2_000);

function routingWith(...databases: readonly (Partial<DatabaseReport> & { readonly databaseId: string; })[]): Routing {
    const rules = [new EvacuationRule(5_000), new HomeRule(regions)];
    const routing = new Routing({ dataCentre: "dc1", dataCentreRegions: regions, rules });
    databases.forEach(({ databaseId, ...parts }) => {
        const report: DatabaseReport = {
            databaseId,
            service: "s",
            address: `${databaseId}:1`,
            dataCentre: "dc1",
            slots: 3,
            state: ReportedState.Ready,
            leads: databaseId === "p",
            sequence: 1,
            bornUnixMs: 1,
            ...parts,
        };
        routing.process({ kind: FleetKind.DatabaseChanged, report }, 0);
    });
    return routing;
}

function ask(
    routing: Routing,
    nowMs: number,
    parts: { readonly writes?: boolean; readonly homeRegions?: readonly string[]; } = {},
): { readonly passesOn: boolean; readonly findings: readonly Finding[]; readonly asked: ExplanationAsked; } {
    const { writes = false, ...rest } = parts;
    const asked = askedFor({ database: "lookup", workspace: "w", writes }, { route: lookup, ...rest });
    const [output, ...others] = routing.process(asked, nowMs);
    assert.deepEqual(others, []);
    const answer = output as ExplanationAsked;
    return { passesOn: answer.kind === ExplanationKind.Asked, findings: answer.findings, asked: answer };
}

function learnFloor(routing: Routing, atMs: number): void {
    routing.process({ kind: TaskKind.FloorLearned, service: "s", sample: { position: position(2, 9), atMs } }, atMs);
}

function applyPolicy(routing: Routing, evacuated: readonly string[], ordered: ReadonlyMap<string, string>): void {
    routing.process(
        {
            kind: FleetKind.PolicyApplied,
            policy: emptyTrafficPolicy,
            promoted: new Map(),
            ordered,
            completedFences: new Map(),
            evacuated: new Set(evacuated),
        } as never,
        0,
    );
}

function verdicts(findings: readonly Finding[]): readonly (readonly string[])[] {
    return findings.map(({ subject, verdict, reason }) => [subject, verdict, reason]);
}

describe("what routing says of a read", () => {
    it("is why each database is chosen or passed over", () => {
        const routing = routingWith(
            { databaseId: "p", dataCentre: "dc2" },
            { databaseId: "near" },
            { databaseId: "far", dataCentre: "dc3" },
            { databaseId: "leaving", state: ReportedState.Draining },
            { databaseId: "failed" },
            { databaseId: "lagging" },
        );
        applyPolicy(routing, [], new Map());
        learnFloor(routing, 0);
        const attempt = {
            kind: TaskKind.Attempted,
            task: { taskId: "other", service: "s", mode: "single" } as unknown as LinkTask,
            address: undefined,
            fault: undefined,
            sent: true,
            holderUnavailable: false,
            sentMs: 0,
            leads: false,
            pinned: false,
        } as const;
        routing.process({ ...attempt, databaseId: "failed", reply: undefined }, 10);
        const positions = new Map([["lagging", { position: position(2, 1), atMs: 10, lagMs: 5_000 }]]);
        routing.process({ kind: TaskKind.PositionsLearned, service: "s", positions }, 10);
        const { findings, passesOn, asked } = ask(routing, 20, { homeRegions: ["north"] });
        assert.ok(passesOn);
        assert.deepEqual(verdicts(findings), [
            ["s", Verdict.Passes, "a position of the primary is known that the read has to see"],
            ["near", Verdict.Chosen, "the lowest cost"],
            ["p", Verdict.PassedOver, "a higher cost"],
            ["far", Verdict.PassedOver, "outside of the home regions"],
            ["leaving", Verdict.PassedOver, "it leaves, and takes no more reads"],
            ["failed", Verdict.PassedOver, "suspected: it was not reached or did not answer"],
            ["lagging", Verdict.PassedOver, "it lags behind the position that the read needs"],
        ]);
        assert.deepEqual(findings[0]!.facts, {
            position: "2/9",
            maximum_age_ms: 2_000,
            newest_position_age_ms: 20,
        });
        assert.equal(findings[1]!.facts["distance"], "same_data_centre");
        assert.equal(findings[2]!.facts["distance"], "same_region");
        assert.ok(Number(findings[1]!.facts["cost_ms"]) < Number(findings[2]!.facts["cost_ms"]));
        assert.equal(findings[4]!.facts["retry_after_ms"], 2_000);
        assert.deepEqual(asked.placement, {
            databaseId: "near",
            floor: position(2, 9),
            attemptLimitMs: 500,
            load: {},
        });
    });

    it("is that it waits for a position, with the database that would get it", () => {
        const routing = routingWith({ databaseId: "p" }, { databaseId: "r" });
        learnFloor(routing, 0);
        const { passesOn, findings, asked } = ask(routing, 2_001);
        assert.ok(passesOn);
        assert.deepEqual([findings[0]!.verdict, findings[0]!.facts], [Verdict.Waits, {
            maximum_age_ms: 2_000,
            newest_position_age_ms: 2_001,
        }]);
        assert.equal(asked.placement?.databaseId, "r");
    });

    it("ends where no database may run it, or none is usable", () => {
        const routing = routingWith({ databaseId: "r", dataCentre: "dc3" });
        applyPolicy(routing, [], new Map());
        learnFloor(routing, 0);
        const refused = ask(routing, 1, { homeRegions: ["north"] });
        assert.deepEqual([refused.passesOn, refused.findings.at(-1)!.verdict], [false, Verdict.Refused]);
        assert.equal(refused.findings.at(-1)!.facts["retry_after_ms"], 10_000);
        assert.deepEqual(verdicts(ask(routing, 1, { homeRegions: [] }).findings), [
            ["s", Verdict.Refused, "the route and the workspace have no home region in common"],
        ]);
        const empty = ask(routingWith(), 1);
        assert.deepEqual([empty.passesOn, empty.findings.at(-1)!.verdict], [false, Verdict.Waits]);
    });
});

describe("what routing says of a write", () => {
    it("is the primary, or why it does not get it", () => {
        const routing = routingWith({ databaseId: "r" }, { databaseId: "p", dataCentre: "dc2" });
        applyPolicy(routing, [], new Map());
        assert.deepEqual(verdicts(ask(routing, 1, { writes: true }).findings), [
            ["p", Verdict.Chosen, "the primary"],
            ["r", Verdict.PassedOver, "only the primary may run it"],
        ]);
        applyPolicy(routing, ["dc2"], new Map());
        const late = ask(routing, 2_001, { writes: true });
        assert.equal(late.passesOn, false);
        assert.deepEqual(late.findings.map(({ subject, verdict }) => [subject, verdict]), [
            ["p", Verdict.PassedOver],
            ["r", Verdict.PassedOver],
            ["s", Verdict.Refused],
        ]);
        assert.equal(late.findings[0]!.reason, "its data centre is evacuated");
    });

    it("names the gate that withholds acknowledgements while the primary is replaced", () => {
        const routing = routingWith({ databaseId: "p" });
        const frame = { kind: "commits_asked", service: "s", questionId: "q", fence: 4 };
        routing.process({ kind: FleetKind.FrameReceived, attachmentId: "a", frame } as never, 0);
        const { findings } = ask(routing, 1, { writes: true });
        assert.deepEqual(findings.map(({ verdict }) => verdict), [Verdict.Chosen, Verdict.Passes]);
        assert.match(findings[1]!.reason, /being replaced/);
    });

    it("waits at an instance without a lease on acknowledgements, unless the service commits without a replica", () => {
        for (const synchronousReplicas of [0, 1]) {
            const routing = routingWith({ databaseId: "p" });
            const services = new Map([["s", { name: "s", connectionLimit: 4, synchronousReplicas }]]);
            const policy = { ...emptyTrafficPolicy, services };
            routing.process(
                { kind: FleetKind.PolicyApplied, policy, promoted: new Map(), ordered: new Map() } as never,
                0,
            );
            routing.process({ kind: FleetKind.LeaseChanged, untilMs: 0 }, 0);
            const { passesOn, findings } = ask(routing, 1, { writes: true });
            assert.equal(passesOn, synchronousReplicas === 0);
            assert.equal(findings.at(-1)!.verdict, synchronousReplicas === 0 ? Verdict.Chosen : Verdict.Waits);
        }
    });

    it("waits without a primary that answers", () => {
        const { passesOn, findings } = ask(routingWith({ databaseId: "r" }), 1, { writes: true });
        assert.equal(passesOn, false);
        assert.deepEqual(verdicts(findings), [
            ["r", Verdict.PassedOver, "only the primary may run it"],
            ["s", Verdict.Waits, "no primary is known that answers"],
        ]);
    });
});
