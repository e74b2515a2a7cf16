import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseReport, FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import { PeerKind } from "../../model/peerMessages.ts";
import {
    emptySessionContext,
    SessionStatementKind,
    StatementFault,
    TransactionState,
} from "../../model/sessionStatement.ts";
import { commonHomeRegions, RouteConsistency, type RoutePolicy } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { Forwarding } from "../forwarding.ts";
import { HomeRule } from "../homeRule.ts";
import { PassOverReason } from "../placementRule.ts";
import { TaskKind } from "../taskMessages.ts";
import { position, route, SessionFixture, statement } from "./sessionFixture.ts";
import { type FleetNode, SessionFleet } from "./sessionFleet.ts";

const dataCentres = 6;

/** Two data centres of each region; the databases of a service are in three regions. */
const regions = new Map(Array.from({ length: dataCentres }, (_, index) => [`dc${index}`, `r${index % 3}`]));

/** Sessions that have other home regions on each route, and some workspaces with home regions of their own. */
const homeRegions = new Map<string, readonly string[]>([
    ["orders-service0", ["r0"]],
    ["orders-service1", ["r0"]],
    ["lookup-service0", ["r1"]],
    ["lookup-service1", ["r0", "r2"]],
    ["status-service1", ["r1"]],
    ["status-service2", ["nowhere"]],
    ["w1", ["r1", "r0"]],
    ["w2", ["r2"]],
]);

function buildFleet(seed: number): SessionFleet {
    return new SessionFleet({
        instances: 18,
        dataCentres,
        services: 3,
        workspaces: 6,
        sessions: 400,
        transactionPauseMs: 20,
        seed,
        regions,
        homeRegions,
    });
}

function served(fleet: SessionFleet): number {
    return fleet.answers.get("served") ?? 0;
}

describe("regions that two policies allow together", () => {
    it("are those of both, and none if they exclude each other", () => {
        assert.equal(commonHomeRegions(undefined, []), undefined);
        assert.deepEqual(commonHomeRegions(["a"], []), ["a"]);
        assert.deepEqual(commonHomeRegions(undefined, ["b"]), ["b"]);
        assert.deepEqual(commonHomeRegions(["a", "b"], ["b", "c"]), ["b"]);
        assert.deepEqual(commonHomeRegions(["a"], ["b"]), []);
    });
});

describe("work with home regions", () => {
    it("stays at home whichever instance holds a database, and whichever one is lost", () => {
        const holders = new Set(
            [...buildFleet(1).databases.values()].map(database => buildFleet(1).holderOf(database)),
        );
        const lost = buildFleet(1).nodes.map(({ peer }) => peer).filter(peer =>
            [...holders].some(holder => holder?.instanceId === peer.instanceId)
        );
        assert.ok(lost.length >= 6, `${lost.length} holders`);
        for (const [index, { instanceId }] of lost.entries()) {
            const fleet = buildFleet(index + 1);
            fleet.startCallers();
            fleet.advance(4_000);
            const node = fleet.nodes.find(({ peer }) => peer.instanceId === instanceId)!;
            fleet.disturb(node, 3_000, () => node.kill(), () => removeFromLists(fleet, node));
            fleet.advance(5_000);
            assert.deepEqual(fleet.outsideHome, [], instanceId);
            assert.deepEqual(fleet.staleStatementIds, []);
            assert.ok(served(fleet) > 100, `${served(fleet)} operations`);
        }
    });

    it("stays at home while instances are frozen, cut off and killed, and a data centre has no instance left", () => {
        for (let seed = 1; seed <= 6; seed++) {
            const random = new SeededRandom(seed * 7_919);
            const fleet = buildFleet(seed);
            fleet.startCallers();
            fleet.advance(3_000);
            for (let round = 0; round < 10; round++) {
                disturb(fleet, fleet.nodes[random.nextInteger(fleet.nodes.length)]!, round);
                fleet.advance(200 + random.nextInteger(700));
            }
            fleet.nodes.filter(({ peer, killed }) => peer.dataCentre === "dc2" && !killed).forEach(node => {
                fleet.disturb(node, 1_000, () => node.kill(), () => removeFromLists(fleet, node));
            });
            fleet.advance(6_000);
            assert.deepEqual(fleet.outsideHome, [], `seed ${seed}`);
            assert.deepEqual(fleet.staleStatementIds, [], `seed ${seed}`);
            assert.ok(served(fleet) > 100, `${served(fleet)} operations`);
        }
    });

    it("is served where all its databases are at home, and refused where there is none", () => {
        const fleet = buildFleet(3);
        fleet.startCallers();
        fleet.advance(8_000);
        const faults = [...fleet.answers.keys()].filter(answer => answer !== "served");
        assert.deepEqual(faults, [StatementFault.Busy]);
    });
});

/** The session pipe of one instance in region "r1"; the primary is in "r1", the replica in "r2". */
class HomeFixture extends SessionFixture {
    constructor() {
        super(100, new Map([["dc1", "r1"], ["dc2", "r2"]]));
        this.reportDatabase("p", true);
        this.reportDatabase("r", false, "dc2");
        const instances = [
            { instanceId: "front1", address: "front1:1", dataCentre: "dc1" },
            { instanceId: "front2", address: "front2:1", dataCentre: "dc2" },
        ];
        this.post({ kind: PeerKind.InstancesKnown, instances } as Message);
    }

    /** Sends a statement in a new session, and returns the databases that it was sent to, or passed on for. */
    reachedBy(sessionId: string, database: string, kind: SessionStatementKind): readonly string[] {
        this.connect(sessionId, database);
        this.request(sessionId, statement(kind, `${sessionId}1`));
        this.openLinks();
        const links = this.opened.map(({ databaseId }) => databaseId);
        const passed = this.otherMessages.filter(({ kind: sent }) => sent === PeerKind.Send)
            .map(message => (message as unknown as { question: { databaseId?: string; }; }).question.databaseId ?? "");
        return [...links, ...passed.filter(databaseId => databaseId !== "")];
    }
}

function withHomes(policy: RoutePolicy, ...homes: readonly string[]): RoutePolicy {
    return { ...policy, homeRegions: homes };
}

describe("one instance", () => {
    const orders = route(RouteConsistency.Primary, "orders");
    const lookup = route(RouteConsistency.Bounded, "lookup", 1_500);

    it("sends writes to a primary at home only, and refuses others at once as not run", () => {
        for (const [homes, reached] of [[["r1"], ["p"]], [["r2"], []], [["r1", "r2"], ["p"]], [[], ["p"]]] as const) {
            const fixture = new HomeFixture();
            fixture.configure(withHomes(orders, ...homes));
            assert.deepEqual(fixture.reachedBy("c", "orders", SessionStatementKind.Write), reached, homes.join());
            assert.equal(fixture.lastFault(), reached.length === 0 ? StatementFault.Busy : undefined);
            const detail = fixture.answers.at(-1)?.answer.detail ?? "";
            assert.ok(reached.length > 0 || /outside_home.*not run, retry after 10000 ms/.test(detail), detail);
        }
    });

    it("sends reads to databases at home, also before it knows a position", () => {
        for (const knowsFloor of [true, false]) {
            for (const [homes, reached] of [[["r1"], "p"], [["r2"], "r"]] as const) {
                const fixture = new HomeFixture();
                fixture.configure(withHomes(lookup, ...homes));
                if (knowsFloor) {
                    fixture.learnFloor(position(1, 5));
                }
                fixture.reachedBy("c", "lookup", SessionStatementKind.Read);
                fixture.advance(200);
                fixture.openLinks();
                const probed = fixture.opened.filter(({ workspace }) => workspace === "");
                assert.ok(probed.every(({ databaseId }) => databaseId === "p"));
                if (!knowsFloor) {
                    fixture.learnFloor(position(1, 5));
                    fixture.advance(100);
                }
                const named = fixture.opened.filter(({ workspace }) => workspace !== "").map(link => link.databaseId);
                const passed = fixture.otherMessages.filter(({ kind }) => kind === PeerKind.Send)
                    .map(message => message as unknown as { address: string; question: { databaseId: string; }; });
                assert.deepEqual([...new Set([...named, ...passed.map(({ question }) => question.databaseId)])], [
                    reached,
                ]);
                assert.ok(passed.every(({ address }) => address === "front2:1"));
            }
        }
    });

    it("refuses at once what no database at home can run, without a position and without a primary", () => {
        for (const policy of [orders, lookup]) {
            const fixture = new HomeFixture();
            fixture.configure(withHomes(policy, "r3"));
            assert.deepEqual(fixture.reachedBy("c", policy.database, SessionStatementKind.Read), []);
            assert.equal(fixture.lastFault(), StatementFault.Busy);
        }
        const leaderless = new HomeFixture();
        leaderless.reportDatabase("p", false, "dc2");
        leaderless.configure(withHomes(orders, "r1"));
        assert.deepEqual(leaderless.reachedBy("c", "orders", SessionStatementKind.Write), []);
        assert.equal(leaderless.lastFault(), StatementFault.Busy);
    });

    it("refuses at once reads whose databases at home are all about to leave", () => {
        const fixture = new HomeFixture();
        fixture.configure(withHomes(lookup, "r2"));
        fixture.learnFloor(position(1, 5));
        fixture.reportDatabase("r", false, "dc2", ReportedState.Draining);
        assert.deepEqual(fixture.reachedBy("c", "lookup", SessionStatementKind.Read), []);
        assert.match(fixture.answers.at(-1)!.answer.detail, /draining.*not run, retry after/);
    });

    it("passes nothing to an instance outside of the home regions", () => {
        const forwarding = new Forwarding({ instanceId: "front1", dataCentreRegions: regions });
        const push = (message: object): readonly Message[] => forwarding.process(message as never, 0);
        const instances = [
            { instanceId: "front1", address: "front1:1", dataCentre: "dc0" },
            { instanceId: "front2", address: "front2:1", dataCentre: "dc1" },
        ];
        push({ kind: PeerKind.InstancesKnown, instances });
        push({ kind: FleetKind.DatabaseChanged, report: reportIn("dc1") });
        const kindsFor = (homes: readonly string[] | undefined): readonly string[] => {
            const task = {
                taskId: homes?.join() ?? "",
                sessionId: "c",
                context: emptySessionContext,
                homeRegions: homes,
            };
            return push({ kind: TaskKind.Placed, task, databaseId: "d", floor: undefined, attemptDeadlineMs: 900 })
                .map(({ kind }) => kind);
        };
        assert.ok(kindsFor(undefined).includes(PeerKind.Send));
        assert.ok(kindsFor(["r1", "r2"]).includes(PeerKind.Send));
        for (const homes of [["r0"], ["r2"], []]) {
            assert.deepEqual(kindsFor(homes), [TaskKind.Placed], homes.join());
        }
    });

    it("applies another policy from the next transaction on", () => {
        const fixture = new HomeFixture();
        fixture.configure(orders);
        fixture.connect("c", "orders");
        fixture.request("c", statement(SessionStatementKind.Begin, "1"));
        fixture.request("c", statement(SessionStatementKind.Write, "2"));
        fixture.openLinks();
        const { linkId } = fixture.opened[0]!;
        fixture.reply(linkId, { transaction: TransactionState.Open, position: position(1, 1) });
        fixture.reply(linkId, { transaction: TransactionState.Open, position: position(1, 1) });
        assert.equal(fixture.lastFault(), undefined);
        fixture.configure(withHomes(orders, "r2"));
        fixture.request("c", statement(SessionStatementKind.Commit, "3"));
        fixture.reply(linkId, { position: position(1, 2) });
        assert.equal(fixture.lastFault(), undefined);
        fixture.request("c", statement(SessionStatementKind.Write, "4"));
        assert.equal(fixture.lastFault(), StatementFault.Busy);
        assert.equal(fixture.answers.length, 4);
    });

    it("is bound by the home regions of the workspace, too", () => {
        for (
            const [routeHomes, workspaceHomes, reached] of [
                [[], ["r2"], []],
                [["r1"], ["r1", "r2"], ["p"]],
                [["r1"], ["r2"], []],
            ] as const
        ) {
            const fixture = new HomeFixture();
            fixture.configure(withHomes(orders, ...routeHomes));
            fixture.configureWorkspaceHomes(withHomes(orders, ...routeHomes), workspaceHomes);
            assert.deepEqual(fixture.reachedBy("c", "orders", SessionStatementKind.Write), reached);
        }
    });
});

function reportIn(dataCentre: string): DatabaseReport {
    return {
        databaseId: "d",
        service: "s",
        address: "d:1",
        dataCentre,
        slots: 1,
        state: ReportedState.Ready,
        leads: false,
        sequence: 1,
        bornUnixMs: 0,
    };
}

describe("the rule of home regions", () => {
    it("takes a data centre of an unknown region for no home, and allows all to work without homes", () => {
        const rule = new HomeRule(regions);
        const demand = { route: route(RouteConsistency.Bounded, "lookup"), workspace: "w" };
        assert.equal(rule.check(reportIn("elsewhere"), demand), undefined);
        assert.equal(
            rule.check(reportIn("elsewhere"), { ...demand, homeRegions: ["r0"] })?.reason,
            PassOverReason.OutsideHome,
        );
        assert.equal(rule.check(reportIn("dc3"), { ...demand, homeRegions: ["r0"] }), undefined);
        assert.equal(rule.check(reportIn("dc3"), { ...demand, homeRegions: [] })?.reason, PassOverReason.OutsideHome);
    });
});

function disturb(fleet: SessionFleet, node: FleetNode, round: number): void {
    if (node.killed || node.frozen) {
        return;
    }
    switch (round % 3) {
        case 0:
            return fleet.disturb(node, 1_500, () => node.frozen = true, () => node.unfreeze());
        case 1:
            return fleet.disturb(node, 1_500, () => node.partitioned = true, () => node.partitioned = false);
        default:
            return fleet.disturb(node, 1_500, () => node.kill(), () => removeFromLists(fleet, node));
    }
}

function removeFromLists(fleet: SessionFleet, node: FleetNode): void {
    const instances = fleet.nodes.map(({ peer }) => peer).filter(peer => peer !== node.peer);
    fleet.nodes.forEach(other => other.post({ kind: PeerKind.InstancesKnown, instances } as Message));
}
