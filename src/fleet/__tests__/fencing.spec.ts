import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type CommitsSeenFrame,
    type DatabaseReport,
    FleetKind,
    ReportedState,
    type SendFrame,
} from "../../model/fleetMessages.ts";
import {
    type LinkCommand,
    LinkCommandKind,
    LinkKind,
    LinkLoss,
    type LinkOpen,
    type LinkSend,
} from "../../model/linkMessages.ts";
import { TransactionState } from "../../model/sessionStatement.ts";
import type { Message } from "../../pipeline/message.ts";
import { Fencing, type FencingOptions } from "../fencing.ts";
import type { ServingInstance } from "../promotions.ts";

class Service {
    readonly fencing: Fencing;
    readonly commands = new Map<string, LinkCommand[]>();
    readonly questions: string[] = [];
    private readonly links = new Map<string, string>();
    private nextLink = 0;
    nowMs = 0;

    constructor(parts: Partial<FencingOptions> = {}) {
        this.fencing = new Fencing({
            service: "s",
            fence: 7,
            reports: ["p", "a", "b"].map(report),
            primaryId: "p",
            planned: false,
            synchronous: true,
            servingByAttachment: new Map([["f1", instance("i1")]]),
            nextLinkId: () => `m${this.nextLink++}`,
            startedAtMs: 0,
            ...parts,
        });
        this.handleMessages(this.fencing.open());
    }

    openLink(databaseId: string, term: number, offset: number): void {
        const linkId = this.linkOf(databaseId);
        this.handleMessages(
            this.fencing.linkOpened({ kind: LinkKind.Opened, linkId, position: { term, offset } }, this.nowMs),
        );
    }

    /** The database answers its last command. */
    answer(databaseId: string, leads: boolean, term: number, offset: number, logTerm = term): void {
        const linkId = this.linkOf(databaseId);
        const reply = {
            rows: [],
            signature: "-",
            fault: undefined,
            detail: "",
            transaction: TransactionState.None,
            position: undefined,
            status: { leads, term, received: { term: logTerm, offset } },
        };
        this.handleMessages(this.fencing.linkReplied({ kind: LinkKind.Replied, linkId, reply }, this.nowMs));
    }

    loseLink(databaseId: string, loss: LinkLoss): void {
        const linkId = this.linkOf(databaseId);
        this.handleMessages(this.fencing.linkLost({ kind: LinkKind.Lost, linkId, loss, fault: undefined }, this.nowMs));
    }

    /** An instance tells the highest commit that it saw acknowledged. */
    reportCommits(attachmentId: string, offset: number | undefined, parts: Partial<CommitsSeenFrame> = {}): void {
        const frame: CommitsSeenFrame = {
            kind: "commits_seen",
            questionId: "7/0",
            service: "s",
            highest: offset === undefined ? undefined : { term: 3, offset },
            sentAgeMs: undefined,
            watchedMs: 60_000,
            ...parts,
        };
        this.fencing.recordCommitsSeen(attachmentId, frame, this.nowMs);
    }

    decide(afterMs = 0): string | undefined {
        this.nowMs += afterMs;
        const { messages, chosenDatabaseId: choice } = this.fencing.decide(this.nowMs);
        this.handleMessages(messages);
        return choice;
    }

    lastCommand(databaseId: string): string | undefined {
        return this.commands.get(databaseId)?.at(-1)?.kind;
    }

    private handleMessages(messages: readonly Message[]): void {
        for (const message of messages) {
            if (message.kind === LinkKind.Open) {
                const { linkId, databaseId } = message as LinkOpen;
                this.links.set(linkId, databaseId);
            }
            else if (message.kind === FleetKind.SendFrame) {
                const { attachmentId, frame } = message as SendFrame;
                this.questions.push(
                    `${attachmentId} ${frame.kind === "commits_asked" ? frame.questionId : frame.kind}`,
                );
            }
            else if (message.kind === LinkKind.Send) {
                const { linkId, commands } = message as LinkSend;
                const databaseId = this.links.get(linkId)!;
                this.commands.set(databaseId, [...this.commands.get(databaseId) ?? [], ...commands]);
            }
        }
    }

    private linkOf(databaseId: string): string {
        return [...this.links].filter(([, owner]) => owner === databaseId).at(-1)![0];
    }
}

function report(databaseId: string): DatabaseReport {
    return {
        databaseId,
        service: "s",
        address: `${databaseId}:1`,
        dataCentre: "d",
        slots: 3,
        state: ReportedState.Ready,
        leads: databaseId === "p",
        sequence: 1,
        bornUnixMs: 1,
    };
}

function instance(instanceId: string, attachedAtMs = -60_000): ServingInstance {
    return { instanceId, attachedAtMs };
}

describe("fencing before a promotion", () => {
    it("chooses the furthest replica after all have stopped receiving", () => {
        const service = new Service();
        service.loseLink("p", LinkLoss.NoListener);
        service.openLink("a", 3, 10);
        assert.equal(service.lastCommand("a"), LinkCommandKind.Pause);
        service.answer("a", false, 3, 10);
        assert.equal(service.decide(), undefined);
        service.openLink("b", 3, 9);
        service.answer("b", false, 3, 12);
        assert.equal(service.decide(), "b");
    });

    it("asks with a term above every known one", () => {
        const service = new Service();
        service.openLink("a", 7, 10);
        const command = service.commands.get("a")!.at(-1)!;
        assert.ok(command.kind === LinkCommandKind.Pause && command.term === 8);
    });

    it("does not choose while a replica that is out of reach may still acknowledge", () => {
        // Guards against the loss of commits that only the unreachable replica has.
        const service = new Service();
        service.openLink("a", 3, 10);
        service.answer("a", false, 3, 10);
        assert.equal(service.decide(5_000), undefined);
    });

    it("chooses without a replica that is gone once every instance has told what it saw acknowledged", () => {
        const service = new Service();
        service.loseLink("p", LinkLoss.NoListener);
        service.loseLink("b", LinkLoss.NoListener);
        service.openLink("a", 3, 10);
        service.answer("a", false, 3, 10);
        assert.equal(service.decide(1_300), undefined);
        service.reportCommits("f1", 11);
        assert.equal(service.decide(), undefined);
        service.reportCommits("f1", 10);
        assert.equal(service.decide(), "a");
    });

    it("does not take an instance's answer from before the last acknowledgement for its word", () => {
        // Guards against the loss of commits acknowledged between the assessment of the primary and its end.
        const service = new Service();
        service.openLink("a", 3, 10);
        service.answer("a", false, 3, 10);
        service.reportCommits("f1", 10);
        service.loseLink("p", LinkLoss.NoListener);
        service.loseLink("b", LinkLoss.NoListener);
        assert.equal(service.decide(1_300), undefined);
        service.reportCommits("f1", 10, { questionId: "6/0" });
        assert.equal(service.decide(), undefined);
        service.reportCommits("f1", 11);
        assert.equal(service.decide(), undefined);
    });

    it("asks an instance again that attached anew, and waits for one that is gone", () => {
        const serving = new Map([["f1", instance("i1")], ["f2", instance("i2")]]);
        const service = new Service({ servingByAttachment: serving });
        service.loseLink("p", LinkLoss.NoListener);
        service.loseLink("b", LinkLoss.NoListener);
        service.openLink("a", 3, 10);
        service.answer("a", false, 3, 10);
        service.decide(1_300);
        service.reportCommits("f1", 10);
        serving.delete("f2");
        assert.equal(service.decide(600), undefined);
        serving.set("f3", instance("i2"));
        service.decide(600);
        assert.deepEqual(service.questions, ["f1 7/0", "f2 7/0", "f3 7/0"]);
        service.reportCommits("f3", 10);
        assert.equal(service.decide(), "a");
    });

    it("asks again after the primary and a replica came back and may have acknowledged more", () => {
        const service = new Service();
        service.loseLink("p", LinkLoss.NoListener);
        service.loseLink("b", LinkLoss.NoListener);
        service.openLink("a", 3, 10);
        service.answer("a", false, 3, 10);
        service.decide(1_300);
        service.reportCommits("f1", 11);
        service.decide(100);
        service.openLink("p", 3, 11);
        service.openLink("b", 3, 11);
        service.loseLink("b", LinkLoss.NoListener);
        service.loseLink("p", LinkLoss.NoListener);
        service.reportCommits("f1", 10);
        assert.equal(service.decide(100), undefined);
        assert.deepEqual(service.questions, ["f1 7/0", "f1 7/1"]);
        service.reportCommits("f1", 10, { questionId: "7/1" });
        assert.equal(service.decide(), "a");
    });

    it("waits for the replica that is gone when an instance has seen no commit since it started", () => {
        // Guards against the loss of commits that the instance acknowledged before it started again.
        const service = new Service();
        service.loseLink("p", LinkLoss.NoListener);
        service.loseLink("b", LinkLoss.NoListener);
        service.openLink("a", 3, 10);
        service.answer("a", false, 3, 10);
        service.decide(1_300);
        service.reportCommits("f1", undefined);
        assert.equal(service.decide(10_000), undefined);
        service.openLink("b", 3, 12);
        service.answer("b", false, 3, 12);
        assert.equal(service.decide(), "b");
    });

    it("takes a commit sent after an instance started for proof that its earlier process saw none beyond", () => {
        const service = new Service({ servingByAttachment: new Map([["f1", instance("i1")], ["f2", instance("i2")]]) });
        service.loseLink("p", LinkLoss.NoListener);
        service.loseLink("b", LinkLoss.NoListener);
        service.openLink("a", 3, 10);
        service.answer("a", false, 3, 10);
        service.decide(1_300);
        service.nowMs += 200;
        service.reportCommits("f1", undefined, { watchedMs: 20_000 });
        service.reportCommits("f2", 10);
        assert.equal(service.decide(), undefined);
        // Counted from the question, the commit may be older than the process by the way of the answer.
        service.reportCommits("f2", 10, { sentAgeMs: 19_900 });
        assert.equal(service.decide(), undefined);
        service.reportCommits("f2", 10, { sentAgeMs: 19_800 });
        assert.equal(service.decide(), "a");
    });

    it("takes no process for older than its attachment", () => {
        // Guards against the loss of commits where a step of an instance's clock makes its process look old.
        const service = new Service({
            servingByAttachment: new Map([["f1", instance("i1", -1_000)], ["f2", instance("i2")]]),
        });
        service.loseLink("p", LinkLoss.NoListener);
        service.loseLink("b", LinkLoss.NoListener);
        service.openLink("a", 3, 10);
        service.answer("a", false, 3, 10);
        service.decide(1_300);
        service.reportCommits("f1", undefined, { watchedMs: 20_000 });
        service.reportCommits("f2", 10, { sentAgeMs: 5_000 });
        assert.equal(service.decide(), undefined);
        service.reportCommits("f2", 10, { sentAgeMs: 2_300 });
        assert.equal(service.decide(), "a");
    });

    it("lets the primary step down on a planned change and waits for a replica that has all of it", () => {
        const service = new Service({ planned: true });
        service.openLink("p", 3, 20);
        assert.equal(service.lastCommand("p"), LinkCommandKind.StepDown);
        service.openLink("a", 3, 19);
        assert.equal(service.lastCommand("a"), undefined);
        service.answer("p", false, 4, 20, 3);
        assert.equal(service.decide(70), undefined);
        assert.equal(service.lastCommand("a"), LinkCommandKind.Status);
        service.answer("a", false, 3, 20);
        assert.equal(service.decide(), "a");
    });

    it("takes an earlier order that was carried out late for done", () => {
        const service = new Service();
        service.openLink("a", 3, 10);
        service.answer("a", true, 4, 10);
        const { chosenDatabaseId: choice, alreadyLeads } = service.fencing.decide(10);
        assert.deepEqual([choice, alreadyLeads], ["a", true]);
    });

    it("promotes the furthest that answers where nothing waits for replicas", () => {
        const service = new Service({ synchronous: false });
        service.openLink("a", 3, 10);
        service.answer("a", false, 3, 10);
        assert.equal(service.decide(100), "a");
    });
});
