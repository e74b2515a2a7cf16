import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseReport, FleetKind, type PolicyApplied, ReportedState } from "../../model/fleetMessages.ts";
import { LinkKind, type LinkOpen, type LinkReply, type LinkSend } from "../../model/linkMessages.ts";
import { Pace } from "../../model/pace.ts";
import { emptySessionContext, SessionStatementKind, TaskMode, TransactionState } from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { Links } from "../links.ts";
import type { LinkTable } from "../linkTable.ts";
import { type TaskAttempted, TaskKind } from "../taskMessages.ts";
import { statement } from "./sessionFixture.ts";

const report: DatabaseReport = {
    databaseId: "d",
    service: "s",
    address: "d:1",
    dataCentre: "dc1",
    slots: 5,
    state: ReportedState.Ready,
    leads: true,
    sequence: 1,
    bornUnixMs: 1,
};

const reply: LinkReply = {
    rows: [],
    signature: undefined,
    fault: undefined,
    detail: "",
    transaction: TransactionState.None,
    position: undefined,
    status: undefined,
};

/** The links of a holder to one database. */
class LinksFixture {
    visits = 0;
    /** Ids of statements in the order in which they were sent. */
    readonly sentStatementIds: string[] = [];
    /** Ids of tasks that ended as not run. */
    readonly unsentTaskIds: string[] = [];
    private readonly links = new Links({ random: new SeededRandom(1), pace: Pace.Adaptive });
    private readonly openingLinkIds: string[] = [];
    private readonly busyLinkIds: string[] = [];
    private nextTaskNumber = 0;
    private nextSignature = 0;

    constructor(connectionLimit: number, coldPerSecond = 0) {
        const services = new Map([["s", { name: "s", connectionLimit, synchronousReplicas: 1, coldPerSecond }]]);
        const policy = { ...emptyTrafficPolicy, services };
        this.push(
            {
                kind: FleetKind.PolicyApplied,
                policy,
                confirmed: true,
                promoted: new Map(),
                ordered: new Map(),
                completedFences: new Map(),
            } as PolicyApplied,
        );
        this.push({ kind: FleetKind.DatabaseChanged, report } as Message);
        this.push({ kind: TaskKind.HolderChanged, databaseId: "d", isHolder: true } as Message);
        this.countVisits();
    }

    place(workspace: string, mode: TaskMode = TaskMode.Single): void {
        const id = `t${this.nextTaskNumber++}`;
        const task = {
            taskId: id,
            sessionId: id,
            service: "s",
            workspace,
            mode,
            statement: statement(SessionStatementKind.Read, id),
            writes: false,
            needsPrimary: mode === TaskMode.Probe,
            context: emptySessionContext,
            deadlineMs: 1e6,
        };
        this.push(
            { kind: TaskKind.Placed, task, databaseId: "d", floor: undefined, attemptDeadlineMs: 1e6 } as Message,
        );
    }

    restartDatabase(): void {
        this.push({ kind: FleetKind.DatabaseChanged, report: { ...report, bornUnixMs: 2 } } as Message);
    }

    openLinks(): void {
        this.openingLinkIds.splice(0).forEach(linkId =>
            this.push({ kind: LinkKind.Opened, linkId, position: undefined } as Message)
        );
    }

    /** Replies to the statement on the link that has been busy for the longest time. */
    replyToOldest(): void {
        const signed = { ...reply, signature: `signature${this.nextSignature++}` };
        this.push({ kind: LinkKind.Replied, linkId: this.busyLinkIds.shift(), reply: signed } as Message);
    }

    private push(message: Message): void {
        for (const output of this.links.process(message as never, 0)) {
            if (output.kind === LinkKind.Open) {
                this.openingLinkIds.push((output as LinkOpen).linkId);
            }
            else if (output.kind === TaskKind.Attempted && !(output as TaskAttempted).sent) {
                this.unsentTaskIds.push((output as TaskAttempted).task.taskId);
            }
            else if (output.kind === LinkKind.Send) {
                const { linkId, commands } = output as LinkSend;
                this.busyLinkIds.push(linkId);
                commands.forEach(command =>
                    this.sentStatementIds.push("statement" in command ? command.statement.id : command.kind)
                );
            }
        }
    }

    /** Counts how many links are visited by iterations over the links of the database. */
    private countVisits(): void {
        const { links } = (this.links as unknown as { readonly table: LinkTable; }).table.pools.get("d")!;
        const iterate = links[Symbol.iterator].bind(links);
        const count = () => this.visits += 1;
        links[Symbol.iterator] = function*() {
            for (const link of iterate()) {
                count();
                yield link;
            }
        } as typeof iterate;
    }
}

describe("links to a database", () => {
    it("are not all visited again for each waiting task", () => {
        // Guards against work that grows with the queue, by which an overloaded holder would fall further behind.
        const visits = [10, 500].map(waiting => {
            const fixture = new LinksFixture(82);
            for (let index = 0; index < 61 + waiting; index++) {
                fixture.place(`w${index % 87}`);
            }
            fixture.openLinks();
            fixture.visits = 0;
            for (let index = 0; index < 200; index++) {
                fixture.replyToOldest();
                fixture.place(`w${index % 87}`);
                fixture.openLinks();
            }
            return fixture.visits;
        });
        assert.equal(visits[1]! <= 2 * visits[0]!, true, `${visits[1]} visits against ${visits[0]}`);
    });

    it("are not all visited again for each workspace that waits for a busy one", () => {
        const visits = [1, 7].map(waiting => {
            const fixture = new LinksFixture(82);
            const workspaces = Array.from({ length: 40 }, (_, index) => `w${index}`);
            for (const workspace of workspaces) {
                fixture.place(workspace);
                fixture.openLinks();
                fixture.replyToOldest();
            }
            workspaces.slice(0, 7).forEach(workspace => fixture.place(workspace));
            workspaces.slice(0, waiting).forEach(workspace => fixture.place(workspace));
            fixture.visits = 0;
            fixture.place("w0");
            return fixture.visits;
        });
        assert.ok(visits[0]! > 0 && visits[1]! <= 1.5 * visits[0]!, `${visits[1]} visits against ${visits[0]}`);
    });

    it("run the tasks of a workspace in order of arrival", () => {
        const fixture = new LinksFixture(3);
        ["a", "a", "a", "a"].forEach(workspace => fixture.place(workspace));
        fixture.openLinks();
        fixture.replyToOldest();
        fixture.replyToOldest();
        assert.deepEqual(fixture.sentStatementIds, ["t0", "t1", "t2", "t3"]);
    });

    it("are replaced by links of another workspace whose task has waited longer", () => {
        const fixture = new LinksFixture(3);
        ["a", "a", "b", "a"].forEach(workspace => fixture.place(workspace));
        fixture.openLinks();
        fixture.replyToOldest();
        fixture.openLinks();
        fixture.replyToOldest();
        fixture.openLinks();
        assert.equal(fixture.sentStatementIds.includes("t2"), true);
    });

    it("do not run what waited for the earlier process of a database that bears little after a start", () => {
        // Guards against waiting tasks that reach a cold database without the right to.
        for (
            const { coldPerSecond, unsent } of [{ coldPerSecond: 10, unsent: ["t0", "t1", "t2"] }, {
                coldPerSecond: 0,
                unsent: [],
            }]
        ) {
            const fixture = new LinksFixture(2, coldPerSecond);
            ["a", "a", "a"].forEach(workspace => fixture.place(workspace));
            fixture.restartDatabase();
            fixture.openLinks();
            assert.deepEqual(fixture.unsentTaskIds, unsent);
            assert.equal(fixture.sentStatementIds.length > 0, unsent.length === 0);
        }
    });

    it("run a probe on an idle link of any workspace", () => {
        const fixture = new LinksFixture(3);
        fixture.place("a");
        fixture.openLinks();
        fixture.replyToOldest();
        fixture.place("b", TaskMode.Probe);
        assert.deepEqual(fixture.sentStatementIds, ["t0", "begin", "rollback"]);
    });
});
