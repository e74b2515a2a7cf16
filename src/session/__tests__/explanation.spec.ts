import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ExplanationEnded, ExplanationKind, Verdict } from "../../model/explanation.ts";
import { FleetKind } from "../../model/fleetMessages.ts";
import { PeerKind, type PeerSend } from "../../model/peerMessages.ts";
import { SessionKind } from "../../model/sessionMessages.ts";
import { SessionStatementKind } from "../../model/sessionStatement.ts";
import { RouteConsistency } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { chosenBy, findingsOf } from "./explanationQuestions.ts";
import { position, route, SessionFixture, statement } from "./sessionFixture.ts";
import { SessionFleet } from "./sessionFleet.ts";

const regions = new Map([["dc0", "north"], ["dc1", "north"], ["dc2", "south"]]);

interface FleetState {
    readonly seed: number;
    /** Replication lag of the two replicas. */
    readonly lagsMs: readonly number[];
    readonly evacuated: readonly string[];
    /** Time since the evacuation; a primary is used for the first 2 s. */
    readonly evacuatedForMs: number;
    readonly homes: readonly string[];
    readonly coldDatabaseIds: readonly string[];
}

const anyState: fc.Arbitrary<FleetState> = fc.record({
    seed: fc.integer({ min: 1, max: 1_000 }),
    lagsMs: fc.array(fc.constantFrom(0, 60, 900, 6_000), { minLength: 2, maxLength: 2 }),
    evacuated: fc.subarray(["dc0", "dc1", "dc2"], { maxLength: 2 }),
    evacuatedForMs: fc.constantFrom(500, 2_500),
    homes: fc.constantFrom([], [], ["north"], ["south"], ["west"]),
    coldDatabaseIds: fc.subarray(["db1", "db2"], { maxLength: 1 }),
});

/** Six instances that serve three databases for two seconds, in one of many states. */
function startFleet(state: FleetState): SessionFleet {
    const { seed, lagsMs, evacuated, evacuatedForMs, homes, coldDatabaseIds } = state;
    const fleet = new SessionFleet({
        instances: 6,
        dataCentres: 3,
        services: 1,
        workspaces: 5,
        sessions: 300,
        seed,
        regions,
        homeRegions: new Map([["w4", homes]]),
        coldDatabaseIds,
        coldPerSecond: 20,
    });
    [...fleet.databases.values()].filter(({ report }) => !report.leads)
        .forEach((replica, index) => replica.lagMs = lagsMs[index]!);
    fleet.startCallers(fleet.nodes, 500);
    fleet.advance(1_500);
    fleet.nodes.forEach(node => fleet.tellEvacuated(node, ...evacuated));
    fleet.advance(evacuatedForMs);
    return fleet;
}

describe("where a statement would go", () => {
    it("is where it goes then, whatever lags, is cold, evacuated or outside of the home regions", () => {
        const seen = { read: new Set<string>(), write: new Set<string>(), notPlaced: 0 };
        fc.assert(
            fc.property(anyState, fc.integer({ min: 0, max: 5 }), (state, nodeIndex) => {
                const fleet = startFleet(state);
                const explanations: ExplanationEnded[] = [];
                const placed = new Map<string, string>();
                fleet.onExplained = (_node, ended) => explanations.push(ended);
                const passedTo = new Map<string, string>();
                fleet.onOutput = (_node, message) => {
                    const { address, question } = message as PeerSend;
                    if (message.kind === PeerKind.Send && question.kind === "task") {
                        passedTo.set(question.sessionId, address);
                    }
                };
                fleet.onPlaced = (_node, { task: { sessionId }, databaseId }) => placed.set(sessionId, databaseId);
                const node = fleet.nodes[nodeIndex]!;
                const questions = ["orders", "lookup", "status"].flatMap(name =>
                    ["w0", "w4"].flatMap(workspace =>
                        [false, true].map(writes => ({ database: `${name}-service0`, workspace, writes }))
                    )
                );
                questions.forEach((request, index) => {
                    const sessionId = `asked${index}`;
                    const { database, workspace, writes } = request;
                    node.ask(request);
                    node.post({ kind: SessionKind.Opened, sessionId, database, key: `k-${workspace}` } as Message);
                    const kind = writes ? SessionStatementKind.Write : SessionStatementKind.Read;
                    const sent = statement(kind, `${sessionId}-0`);
                    fleet.checker.ask(sent.id, sessionId, false);
                    node.post({ kind: SessionKind.Requested, sessionId, statement: sent } as Message);
                    fleet.advance(0);
                    const ended = explanations.at(-1)!;
                    const floorWaits = findingsOf(ended, "routing").some(({ subject, verdict }) =>
                        subject === "service0" && verdict === Verdict.Waits
                    );
                    const chosen = floorWaits ? undefined : chosenBy(ended, "routing");
                    assert.equal(placed.get(sessionId), chosen, JSON.stringify({ request, ended }));
                    const holder = findingsOf(ended, "forwarding").find(({ verdict }) => verdict === Verdict.Chosen);
                    assert.equal(passedTo.get(sessionId), floorWaits ? undefined : holder?.facts["address"]);
                    if (chosen === undefined) {
                        seen.notPlaced += 1;
                    }
                    else {
                        (writes ? seen.write : seen.read).add(chosen);
                    }
                    fleet.advance(7);
                });
                assert.equal(explanations.length, questions.length);
            }),
            { seed: 20, numRuns: 60 },
        );
        assert.equal(seen.read.size, 3);
        assert.deepEqual([...seen.write], ["db0"]);
        assert.ok(seen.notPlaced > 0);
    });

    it("changes nothing when it is asked", () => {
        fc.assert(
            fc.property(anyState, state => {
                const run = (asks: boolean): { readonly trace: readonly string[]; readonly count: number; } => {
                    const trace: string[] = [];
                    let count = 0;
                    const fleet = startFleet(state);
                    fleet.onOutput = ({ peer }, message) =>
                        trace.push(`${fleet.schedule.nowMs} ${peer.instanceId} ${toText(message)}`);
                    fleet.onExplained = () => count += 1;
                    const random = new SeededRandom(state.seed);
                    for (let step = 0; asks && step < 150; step++) {
                        const atMs = fleet.schedule.nowMs + 1_500 * random.nextFloat();
                        const node = fleet.nodes[random.nextInteger(6)]!;
                        const name = ["orders", "lookup", "status"][random.nextInteger(3)]!;
                        const workspace = ["w0", "w4", "w9", ""][random.nextInteger(4)]!;
                        const writes = random.nextFloat() < 0.5;
                        fleet.schedule.at(atMs, () => node.ask({ database: `${name}-service0`, workspace, writes }));
                    }
                    fleet.advance(2_000);
                    return { trace, count };
                };
                const asked = run(true);
                assert.equal(asked.count, 150);
                assert.deepEqual(asked.trace, run(false).trace);
                assert.ok(asked.trace.length > 500);
            }),
            { seed: 21, numRuns: 15 },
        );
    });
});

function toText(message: Message): string {
    return JSON.stringify(message, (_name, value: unknown) => value instanceof Map ? [...value] : value);
}

describe("the answer to a question", () => {
    function startFixture(): SessionFixture {
        const fixture = new SessionFixture();
        fixture.configure(
            route(RouteConsistency.Primary, "orders"),
            route(RouteConsistency.Bounded, "lookup", 2_000),
        );
        fixture.reportDatabase("p", true);
        fixture.reportDatabase("r", false);
        return fixture;
    }

    it("leaves the pipe, and the question never does, from a pipe that knows nothing on", () => {
        const fixture = new SessionFixture();
        const requests = ["orders", "lookup", "other"].flatMap(database =>
            ["w", "", "nobody"].flatMap(workspace => [true, false].map(writes => ({ database, workspace, writes })))
        );
        const steps = [
            () => undefined,
            () => fixture.configure(route(RouteConsistency.Primary, "orders")),
            () =>
                fixture.configure(
                    { ...route(RouteConsistency.Primary, "orders"), open: true, homeRegions: ["north"] },
                    route(RouteConsistency.Bounded, "lookup", 2_000),
                ),
            () => fixture.reportDatabase("r", false),
            () => fixture.reportDatabase("p", true),
            () => fixture.learnFloor(position(1, 7)),
        ];
        for (const step of steps) {
            step();
            requests.forEach(request => fixture.ask(request));
        }
        // The fixture accepts no question, so that one which left the pipe would have ended the loop with an error.
        assert.ok(!(fixture.accepts as string[]).includes(ExplanationKind.Asked));
        assert.equal(fixture.explanations.length, steps.length * requests.length);
        fixture.explanations.forEach(({ findings }) => assert.ok(findings.length > 0));
        assert.deepEqual(fixture.opened, []);
        assert.deepEqual(fixture.sent, []);
    });

    it("tells apart a read and a write of the same route", () => {
        const fixture = startFixture();
        fixture.learnFloor(position(1, 7));
        fixture.ask({ database: "lookup", workspace: "w", writes: false });
        fixture.ask({ database: "lookup", workspace: "w", writes: true });
        const [read, write] = fixture.explanations;
        assert.equal(chosenBy(read!, "routing"), "r");
        assert.equal(chosenBy(write!, "routing"), "p");
        assert.deepEqual(findingsOf(write!, "routing").map(({ subject, reason }) => [subject, reason]), [
            ["p", "the primary"],
            ["r", "only the primary may run it"],
        ]);
        assert.deepEqual(read!.findings.map(({ step, subject, verdict }) => [step, subject, verdict]), [
            ["sessions", "lookup", Verdict.Passes],
            ["admission", "w", Verdict.Passes],
            ["routing", "s", Verdict.Passes],
            ["routing", "r", Verdict.Chosen],
            ["routing", "p", Verdict.PassedOver],
            ["forwarding", "front1", Verdict.Chosen],
            ["links", "r", Verdict.Waits],
        ]);
    });

    it("says of a statement that no rule admits anywhere that it is refused, and where its homes are", () => {
        const fixture = new SessionFixture(100, new Map([["dc1", "north"]]));
        fixture.configureWorkspaceHomes(route(RouteConsistency.Primary, "orders"), ["south"]);
        fixture.reportDatabase("p", true);
        fixture.ask({ database: "orders", workspace: "w", writes: true });
        const { findings } = fixture.explanations[0]!;
        assert.equal(findings[0]!.facts["workspace_homes"], "south");
        assert.equal(findings.at(-1)!.verdict, Verdict.Refused);
        assert.equal(findings.at(-2)!.reason, "outside of the home regions");
    });

    it("is a refusal at an instance that stops, but not while it still takes sessions", () => {
        const fixture = startFixture();
        const request = { database: "orders", workspace: "w", writes: true };
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 1_000, answersUntilMs: 2_000 };
        for (const final of [false, true]) {
            fixture.post({ ...drain, final } as Message);
            fixture.ask(request);
        }
        assert.deepEqual(fixture.explanations.map(({ findings }) => [findings.length, findings[0]!.verdict]), [
            [6, Verdict.Passes],
            [1, Verdict.Refused],
        ]);
    });

    it("says that a newer configuration cannot be decoded, which an operator would otherwise only read in the log", () => {
        const fixture = startFixture();
        for (const outdated of [true, false]) {
            const applied = { kind: FleetKind.PolicyApplied, policy: fixture.policy, outdated, confirmed: true };
            const promotions = { promoted: new Map(), ordered: new Map(), completedFences: new Map() };
            fixture.post({ ...applied, ...promotions } as Message);
            for (const database of ["orders", "other"]) {
                fixture.ask({ database, workspace: "w", writes: false });
            }
        }
        const newer = fixture.explanations.map(({ findings }) => findings[0]!.facts["newer_configuration"]);
        assert.deepEqual(newer, ["cannot_be_decoded", "cannot_be_decoded", undefined, undefined]);
    });

    it("is of the sessions alone if the configuration has no such route, or the caller needs a key", () => {
        const fixture = startFixture();
        fixture.ask({ database: "other", workspace: "w", writes: false });
        fixture.ask({ database: "orders", workspace: "", writes: false });
        fixture.ask({ database: "orders", workspace: "nobody", writes: false });
        assert.deepEqual(
            fixture.explanations.map(({ findings }) => findings.map(({ step, verdict }) => [step, verdict])),
            Array.from({ length: 3 }, () => [["sessions", Verdict.Refused]]),
        );
    });
});
