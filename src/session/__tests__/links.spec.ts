import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseReport, FleetKind, type PolicyApplied, ReportedState } from "../../model/fleetMessages.ts";
import { LinkKind, type LinkOpen, type LinkReply, type LinkSend } from "../../model/linkMessages.ts";
import { emptySessionContext, SessionStatementKind, TransactionState } from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { Links } from "../links.ts";
import type { LinkTable } from "../linkTable.ts";
import { TaskKind, TaskMode } from "../taskMessages.ts";
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
    signature: "signature",
    fault: undefined,
    detail: "",
    transaction: TransactionState.None,
    position: undefined,
    status: undefined,
};

/** A holder whose links are all busy, with tasks of 87 workspaces that wait for one. */
class Fixture {
    visits = 0;
    /** Ids of statements in the order in which they were sent. */
    readonly ran: string[] = [];
    private readonly links = new Links();
    private readonly opening: string[] = [];
    private readonly busy: string[] = [];
    private nextTask = 0;

    constructor(connectionLimit: number) {
        const services = new Map([["s", { name: "s", connectionLimit, synchronousReplicas: 1 }]]);
        const policy = { ...emptyTrafficPolicy, services };
        this.push({ kind: FleetKind.PolicyApplied, policy, confirmed: true, promoted: new Map() } as PolicyApplied);
        this.push({ kind: FleetKind.DatabaseChanged, report } as Message);
        this.push({ kind: TaskKind.HolderChanged, databaseId: "d", isHolder: true } as Message);
        this.countVisits();
    }

    place(workspace: string, mode: TaskMode = TaskMode.Single): void {
        const id = `t${this.nextTask++}`;
        const task = {
            taskId: id,
            sessionId: id,
            service: "s",
            workspace,
            mode,
            statement: statement(SessionStatementKind.Read, id),
            writes: false,
            needsPrimary: false,
            context: emptySessionContext,
            deadlineMs: 1e6,
        };
        this.push(
            { kind: TaskKind.Placed, task, databaseId: "d", floor: undefined, attemptDeadlineMs: 1e6 } as Message,
        );
    }

    openLinks(): void {
        this.opening.splice(0).forEach(linkId =>
            this.push({ kind: LinkKind.Opened, linkId, position: undefined } as Message)
        );
    }

    /** Answers the statement that has run longest. */
    answer(): void {
        this.push({ kind: LinkKind.Replied, linkId: this.busy.shift(), reply } as Message);
    }

    private push(message: Message): void {
        for (const output of this.links.process(message as never, 0)) {
            if (output.kind === LinkKind.Open) {
                this.opening.push((output as LinkOpen).linkId);
            }
            else if (output.kind === LinkKind.Send) {
                const { linkId, commands } = output as LinkSend;
                this.busy.push(linkId);
                commands.forEach(command =>
                    this.ran.push("statement" in command ? command.statement.id : command.kind)
                );
            }
        }
    }

    /** Counts how often a link of the database is looked at in a pass over all of them. */
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
    it("are not all looked at again for each task that waits", () => {
        // Guards against work that grows with the queue, and lets an overloaded holder fall further behind.
        const visits = [10, 500].map(waiting => {
            const fixture = new Fixture(82);
            for (let index = 0; index < 61 + waiting; index++) {
                fixture.place(`w${index % 87}`);
            }
            fixture.openLinks();
            fixture.visits = 0;
            for (let index = 0; index < 200; index++) {
                fixture.answer();
                fixture.place(`w${index % 87}`);
                fixture.openLinks();
            }
            return fixture.visits;
        });
        assert.equal(visits[1]! <= 2 * visits[0]!, true, `${visits[1]} visits against ${visits[0]}`);
    });

    it("serve the tasks of a workspace in the order of their arrival", () => {
        const fixture = new Fixture(3);
        ["a", "a", "a", "a"].forEach(workspace => fixture.place(workspace));
        fixture.openLinks();
        fixture.answer();
        fixture.answer();
        assert.deepEqual(fixture.ran, ["t0", "t1", "t2", "t3"]);
    });

    it("give way to another workspace whose task has waited longer", () => {
        const fixture = new Fixture(3);
        ["a", "a", "b", "a"].forEach(workspace => fixture.place(workspace));
        fixture.openLinks();
        fixture.answer();
        fixture.openLinks();
        fixture.answer();
        fixture.openLinks();
        assert.equal(fixture.ran.includes("t2"), true);
    });

    it("take a probe on whichever of them is idle", () => {
        const fixture = new Fixture(3);
        fixture.place("a");
        fixture.openLinks();
        fixture.answer();
        fixture.place("b", TaskMode.Probe);
        assert.deepEqual(fixture.ran, ["t0", "begin", "rollback"]);
    });
});
