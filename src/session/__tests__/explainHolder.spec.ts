import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ExplanationEnded, ExplanationKind, type Finding, Verdict } from "../../model/explanation.ts";
import { type DatabaseReport, FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import { type PeerInstance, PeerKind, type PeerSend } from "../../model/peerMessages.ts";
import { emptySessionContext, TaskMode } from "../../model/sessionStatement.ts";
import { RouteConsistency } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { ColdGate } from "../coldGate.ts";
import { Forwarding } from "../forwarding.ts";
import { TaskKind } from "../taskMessages.ts";
import { askedFor } from "./explanationQuestions.ts";
import { route } from "./sessionFixture.ts";

const report: DatabaseReport = {
    databaseId: "d",
    service: "s",
    address: "d:1",
    dataCentre: "dc1",
    slots: 3,
    state: ReportedState.Ready,
    leads: true,
    sequence: 1,
    bornUnixMs: 1,
};
const instances = ["a", "b", "c", "e"].map((instanceId): PeerInstance => (
    { instanceId, address: `${instanceId}:1`, dataCentre: "dc1" }
));
const load = { expected_wait_ms: 12 };
const placement = { databaseId: "d", floor: undefined, attemptLimitMs: 100, load };
const request = { database: "orders", workspace: "w", writes: true };

function question(homeRegions?: readonly string[]) {
    return askedFor(request, {
        route: route(RouteConsistency.Primary, "orders"),
        placement,
        ...homeRegions === undefined ? {} : { homeRegions },
    });
}

/** Forwarding of the instance "a", or of one in another data centre. */
class ForwardingWorld {
    nowMs = 0;
    readonly outputs: string[] = [];
    private readonly filter: Forwarding;
    private nextTask = 0;

    constructor(instanceId: string) {
        this.filter = new Forwarding({ instanceId, dataCentreRegions: new Map([["dc1", "north"]]) });
        this.push({ kind: PeerKind.InstancesKnown, instances } as Message);
        this.push({ kind: FleetKind.DatabaseChanged, report } as Message);
    }

    push(message: Message): readonly Message[] {
        const outputs = this.filter.process(message as never, this.nowMs);
        this.outputs.push(JSON.stringify(outputs));
        return outputs;
    }

    ask(homeRegions?: readonly string[]): { readonly passesOn: boolean; readonly findings: readonly Finding[]; } {
        const outputs = this.filter.process(question(homeRegions), this.nowMs);
        assert.equal(outputs.length, 1);
        return {
            passesOn: outputs[0]!.kind === ExplanationKind.Asked,
            findings: (outputs[0] as ExplanationEnded).findings,
        };
    }

    /** Returns the address to which a statement is passed; undefined if it goes on to the own links. */
    place(): string | undefined {
        const task = {
            taskId: `t${this.nextTask++}`,
            sessionId: "s",
            service: "s",
            workspace: "w",
            mode: TaskMode.Single,
            statement: undefined,
            writes: false,
            needsPrimary: false,
            context: emptySessionContext,
            deadlineMs: this.nowMs + 1_000,
        };
        const placed = { kind: TaskKind.Placed, task, databaseId: "d", attemptDeadlineMs: task.deadlineMs };
        const outputs = this.push({ ...placed, floor: undefined } as Message);
        return (outputs.find(({ kind }) => kind === PeerKind.Send) as PeerSend | undefined)?.address;
    }

    lose(address: string): void {
        this.push({ kind: PeerKind.Lost, address } as Message);
    }

    suspect(address: string | undefined): void {
        this.push({ kind: FleetKind.DatabaseSuspected, databaseId: "d", address, sent: false } as Message);
    }
}

type Step = (world: ForwardingWorld) => void;

const anyStep: fc.Arbitrary<Step> = fc.oneof(
    fc.constantFrom("a:1", "b:1", "c:1", "e:1").map((address): Step => world => world.lose(address)),
    fc.constantFrom("b:1", "c:1", "e:1", undefined).map((address): Step => world => world.suspect(address)),
    fc.integer({ min: 0, max: 900 }).map((ms): Step => world => {
        world.nowMs += ms;
    }),
);

describe("what forwarding says of a statement", () => {
    it("names the holder to which the statement goes, and ends at another instance", () => {
        let passedOn = 0;
        let passedOver = 0;
        fc.assert(
            fc.property(fc.constantFrom("a", "b", "far"), fc.array(anyStep, { maxLength: 12 }), (self, steps) => {
                const world = new ForwardingWorld(self);
                steps.forEach(step => {
                    step(world);
                    const { passesOn, findings } = world.ask();
                    const address = world.place();
                    const chosen = findings.filter(({ verdict }) => verdict === Verdict.Chosen);
                    assert.deepEqual(chosen.map(({ facts }) => facts["address"]), [address]);
                    assert.equal(passesOn, address === undefined);
                    assert.equal(chosen[0]!.facts["expected_wait_ms"], address === undefined ? undefined : 12);
                    if (address === undefined) {
                        assert.equal(chosen[0]!.subject, self);
                    }
                    passedOn += Number(passesOn);
                    passedOver += findings.length - 1;
                });
            }),
            { seed: 8, numRuns: 300 },
        );
        assert.ok(passedOn > 100 && passedOver > 100);
    });

    it("changes nothing", () => {
        fc.assert(
            fc.property(fc.array(anyStep, { maxLength: 12 }), steps => {
                const run = (asks: boolean): readonly string[] => {
                    const world = new ForwardingWorld("a");
                    steps.forEach(step => {
                        step(world);
                        if (asks) {
                            world.ask();
                            world.ask(["south"]);
                        }
                        world.place();
                    });
                    return world.outputs;
                };
                assert.deepEqual(run(true), run(false));
            }),
            { seed: 9, numRuns: 200 },
        );
    });

    it("tells why better ranked instances are passed over", () => {
        const world = new ForwardingWorld("far");
        const first = world.ask().findings[0]!.facts["address"] as string;
        world.lose(first);
        const second = world.ask().findings[1]!.facts["address"] as string;
        world.suspect(second);
        assert.deepEqual(world.ask().findings.map(({ verdict, reason }) => [verdict, reason]), [
            [Verdict.PassedOver, "its connection has ended"],
            [Verdict.PassedOver, "it could not reach the database"],
            [Verdict.Chosen, "holder: the first instance by rank that is not skipped; ask it for more"],
        ]);
    });

    it("keeps a statement with home regions elsewhere on this instance", () => {
        const { passesOn, findings } = new ForwardingWorld("far").ask(["south"]);
        assert.ok(passesOn);
        assert.deepEqual(findings.map(({ subject, verdict }) => [subject, verdict]), [["far", Verdict.Chosen]]);
    });
});

describe("what the gate of a cold database says of a statement", () => {
    const services = new Map([["s", { name: "s", connectionLimit: 10, synchronousReplicas: 1, coldPerSecond: 5 }]]);

    function gateFor(coldLeftMs: number): ColdGate {
        const gate = new ColdGate();
        const process = (message: unknown): unknown => gate.process(message as never, 0);
        process({ kind: FleetKind.PolicyApplied, policy: { services } });
        process({ kind: FleetKind.DatabaseChanged, report: { ...report, coldLeftMs } });
        return gate;
    }

    function findingsAt(gate: ColdGate): readonly Finding[] {
        const [output, ...others] = gate.process(question(), 0);
        assert.deepEqual(others, []);
        assert.equal(output!.kind, ExplanationKind.Asked);
        return (output as ExplanationEnded).findings;
    }

    it("is nothing if the database is not cold", () => {
        assert.deepEqual(findingsAt(gateFor(0)), []);
    });

    it("is that it waits for a grant, or takes one, which the question leaves there", () => {
        const gate = gateFor(5_000);
        assert.deepEqual(findingsAt(gate).map(({ verdict }) => verdict), [Verdict.Waits]);
        const grants = [{ databaseId: "d", count: 1 }];
        gate.process({ kind: FleetKind.ColdGranted, grants, validUntilMs: 1_000 } as never, 0);
        const expected = { granted: 1, waiting: 0, hold_limit_ms: 250 };
        for (let count = 0; count < 3; count++) {
            assert.deepEqual(findingsAt(gate).map(({ verdict, facts }) => [verdict, facts]), [
                [Verdict.Passes, expected],
            ]);
        }
    });
});
