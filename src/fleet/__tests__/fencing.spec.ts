import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { type CommitsSeenFrame, FleetKind, type SendFrame } from "../../model/fleetMessages.ts";
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
import { CommitWitnesses } from "../commitWitnesses.ts";
import type { ElectorateMember } from "../electorate.ts";
import { Fencing } from "../fencing.ts";
import type { FencingOptions } from "../fencingOptions.ts";

class FencingFixture {
    readonly fencing: Fencing;
    readonly commands = new Map<string, LinkCommand[]>();
    readonly questions: string[] = [];
    /** Requests to acknowledge no further commits. */
    readonly closings: string[] = [];
    connections = 0;
    private readonly links = new Map<string, string>();
    private nextLink = 0;
    readonly witnesses: CommitWitnesses;
    members: readonly ElectorateMember[] = ["p", "a", "b"].map(databaseId => member(databaseId));
    nowMs = 0;

    constructor(overrides: Partial<FencingOptions> = {}, witnesses = attachedWitnesses({ f1: "i1" })) {
        this.witnesses = witnesses;
        this.fencing = new Fencing({
            service: "s",
            fence: 7,
            members: () => this.members,
            primaryId: "p",
            primaryLogAddress: undefined,
            otherLogAddresses: [],
            preferredDatabaseId: "",
            primaryKeepsLead: false,
            planned: false,
            synchronousReplicas: 1,
            basePosition: undefined,
            witnesses: this.witnesses,
            reportIntervalMs: 1_000,
            nextLinkId: () => `m${this.nextLink++}`,
            startedAtMs: 0,
            ...overrides,
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
    answer(
        databaseId: string,
        leads: boolean,
        term: number,
        offset: number,
        logTerm = term,
        heldTerm = this.heldTerm(databaseId),
    ): void {
        const linkId = this.linkOf(databaseId);
        const reply = {
            rows: [],
            signature: "-",
            fault: undefined,
            detail: "",
            transaction: TransactionState.None,
            position: undefined,
            status: { leads, term, receivedPosition: { term: logTerm, offset }, heldTerm },
        };
        this.handleMessages(this.fencing.linkReplied({ kind: LinkKind.Replied, linkId, reply }, this.nowMs));
    }

    loseLink(databaseId: string, loss: LinkLoss): void {
        const linkId = this.linkOf(databaseId);
        this.handleMessages(this.fencing.linkLost({ kind: LinkKind.Lost, linkId, loss, fault: undefined }, this.nowMs));
    }

    /** An instance reports the highest commit that it saw acknowledged. */
    reportCommits(attachmentId: string, offset: number | undefined, overrides: Partial<CommitsSeenFrame> = {}): void {
        const frame: CommitsSeenFrame = {
            kind: "commits_seen",
            questionId: "7/0",
            service: "s",
            highest: offset === undefined ? undefined : { term: 3, offset },
            sentAgeMs: undefined,
            watchedMs: 60_000,
            ...overrides,
        };
        this.fencing.recordCommitsSeen(attachmentId, frame, this.nowMs);
    }

    decide(elapsedMs = 0): string | undefined {
        this.nowMs += elapsedMs;
        const { messages, chosenDatabaseId } = this.fencing.decide(this.nowMs);
        this.handleMessages(messages);
        return chosenDatabaseId;
    }

    lastCommand(databaseId: string): string | undefined {
        return this.commands.get(databaseId)?.at(-1)?.kind;
    }

    private handleMessages(messages: readonly Message[]): void {
        for (const message of messages) {
            if (message.kind === LinkKind.Open) {
                const { linkId, databaseId } = message as LinkOpen;
                this.links.set(linkId, databaseId);
                this.connections++;
            }
            else if (message.kind === FleetKind.SendFrame) {
                const { attachmentId, frame } = message as SendFrame;
                const isClosing = frame.kind === "commits_asked" && frame.questionId === "7/close";
                (isClosing ? this.closings : this.questions).push(
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

    /** Term of the last pause, which the database obeys until it is told to resume. */
    private heldTerm(databaseId: string): number {
        const command = this.commands.get(databaseId)?.findLast(({ kind }) => kind !== LinkCommandKind.Status);
        return command?.kind === LinkCommandKind.Pause ? command.term : 0;
    }

    private linkOf(databaseId: string): string {
        return [...this.links].filter(([, owner]) => owner === databaseId).at(-1)![0];
    }
}

function member(databaseId: string, address = `${databaseId}:1`): ElectorateMember {
    return { databaseId, address, bornUnixMs: 1, isLost: false, isReady: true };
}

function attachedWitnesses(instances: Readonly<Record<string, string>>): CommitWitnesses {
    const witnesses = new CommitWitnesses();
    Object.entries(instances).forEach(([attachmentId, instanceId]) =>
        witnesses.attach(attachmentId, instanceId, -60_000)
    );
    return witnesses;
}

/** The primary is gone, and both replicas are paused at the same position. */
function stopReplicas(fixture: FencingFixture): void {
    fixture.loseLink("p", LinkLoss.NoListener);
    ["a", "b"].forEach(databaseId => {
        fixture.openLink(databaseId, 3, 12);
        fixture.answer(databaseId, false, 3, 12);
    });
}

describe("fencing before a promotion", () => {
    it("chooses the furthest replica after all have stopped receiving", () => {
        const fixture = new FencingFixture();
        fixture.loseLink("p", LinkLoss.NoListener);
        fixture.openLink("a", 3, 10);
        assert.equal(fixture.lastCommand("a"), LinkCommandKind.Pause);
        fixture.answer("a", false, 3, 10);
        assert.equal(fixture.decide(), undefined);
        fixture.openLink("b", 3, 9);
        fixture.answer("b", false, 3, 12);
        assert.equal(fixture.decide(), "b");
    });

    it("waits for the lease of an instance that does not answer, and for proof since then that all have stopped", () => {
        // Guards against commits that a replica confirms which has started again, and that the instance passes on.
        const witnesses = attachedWitnesses({ f1: "i1", f2: "i2" });
        witnesses.setRecorded([{ instanceId: "i1" }, { instanceId: "i2" }], -60_000);
        assert.deepEqual([witnesses.grantLease("f1", -1_500), witnesses.grantLease("f2", -100)], [true, true]);
        const fixture = new FencingFixture({}, witnesses);
        stopReplicas(fixture);
        assert.equal(fixture.decide(), undefined);
        fixture.reportCommits("f2", 8, { questionId: "7/close" });
        assert.equal(fixture.decide(115), undefined);
        assert.equal(fixture.decide(5), undefined);
        fixture.decide(1);
        ["a", "b"].forEach(databaseId => {
            fixture.openLink(databaseId, 3, 12);
            fixture.answer(databaseId, false, 3, 12);
        });
        assert.equal(fixture.decide(), "a");
    });

    it("does not wait for leases of instances that have answered", () => {
        const witnesses = attachedWitnesses({ f1: "i1" });
        witnesses.setRecorded([{ instanceId: "i1" }], -60_000);
        witnesses.grantLease("f1", -100);
        const fixture = new FencingFixture({}, witnesses);
        fixture.reportCommits("f1", 8, { questionId: "7/close" });
        stopReplicas(fixture);
        assert.equal(fixture.decide(), "a");
    });

    it("lets instances have leases until a database is ordered, and then those that have answered", () => {
        const fixture = new FencingFixture();
        assert.equal(fixture.fencing.mayGrantLease("f1"), true);
        fixture.fencing.beginOrder("a", fixture.nowMs);
        assert.equal(fixture.fencing.mayGrantLease("f1"), false);
        fixture.reportCommits("f1", 8, { questionId: "7/close" });
        assert.equal(fixture.fencing.mayGrantLease("f1"), true);
    });

    it("prefers a replica at home among those with the same position, and no other one", () => {
        const chosen = (offsets: readonly [number, number], overrides: Partial<FencingOptions> = {}) => {
            const fixture = new FencingFixture({ homeShare: id => id === "b" ? 1 : 0, ...overrides });
            fixture.loseLink("p", LinkLoss.NoListener);
            ["a", "b"].forEach((databaseId, index) => {
                fixture.openLink(databaseId, 3, 9);
                fixture.answer(databaseId, false, 3, offsets[index]!);
            });
            return fixture.decide();
        };
        assert.equal(chosen([12, 12]), "b");
        assert.equal(chosen([12, 12], { homeShare: id => id === "a" ? 0.5 : 0 }), "a");
        assert.equal(chosen([12, 11]), "a");
        assert.equal(chosen([12, 12], { preferredDatabaseId: "a" }), "a");
    });

    it("does not take the repeated status of a replica that catches up for the loss of its log", () => {
        // Guards against an order for the primary that shuts down, which takes back the one for its successor.
        const fixture = new FencingFixture({ planned: true });
        fixture.openLink("p", 3, 12);
        fixture.openLink("a", 3, 9);
        fixture.answer("p", false, 3, 12);
        fixture.decide(61);
        fixture.answer("a", false, 3, 10);
        fixture.decide(61);
        fixture.answer("a", false, 3, 12);
        assert.equal(fixture.decide(), "a");
        fixture.fencing.beginOrder("a", fixture.nowMs);
        fixture.decide(61);
        fixture.answer("a", false, 3, 10);
        assert.equal(fixture.fencing.hasLostLogSinceChoice(), false);
    });

    it("pauses replicas with a term above every known one", () => {
        const fixture = new FencingFixture();
        fixture.openLink("a", 7, 10);
        const command = fixture.commands.get("a")!.at(-1)!;
        assert.ok(command.kind === LinkCommandKind.Pause && command.term === 8);
    });

    it("does not choose while an unreachable replica may still confirm commits", () => {
        // Guards against the loss of commits that only the unreachable replica has.
        const fixture = new FencingFixture();
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        assert.equal(fixture.decide(5_000), undefined);
    });

    it("chooses without a lost replica once every instance has reported its acknowledged commits", () => {
        const fixture = new FencingFixture();
        fixture.loseLink("p", LinkLoss.NoListener);
        fixture.loseLink("b", LinkLoss.NoListener);
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        assert.equal(fixture.decide(1_300), undefined);
        fixture.reportCommits("f1", 11);
        assert.equal(fixture.decide(), undefined);
        fixture.reportCommits("f1", 10);
        assert.equal(fixture.decide(), "a");
    });

    it("ignores reports of an instance from before commits were blocked", () => {
        // Guards against the loss of commits acknowledged between the assessment of the primary and its end.
        const fixture = new FencingFixture();
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        fixture.reportCommits("f1", 10);
        fixture.loseLink("p", LinkLoss.NoListener);
        fixture.loseLink("b", LinkLoss.NoListener);
        assert.equal(fixture.decide(1_300), undefined);
        fixture.reportCommits("f1", 10, { questionId: "6/0" });
        assert.equal(fixture.decide(), undefined);
        fixture.reportCommits("f1", 11);
        assert.equal(fixture.decide(), undefined);
    });

    it("waits for an instance that is gone, and asks again after it has reattached", () => {
        const witnesses = attachedWitnesses({ f1: "i1", f2: "i2" });
        const fixture = new FencingFixture({}, witnesses);
        fixture.loseLink("p", LinkLoss.NoListener);
        fixture.loseLink("b", LinkLoss.NoListener);
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        fixture.decide(1_300);
        fixture.reportCommits("f1", 10);
        witnesses.detach("f2", fixture.nowMs);
        assert.equal(fixture.decide(600), undefined);
        witnesses.attach("f3", "i2", fixture.nowMs);
        fixture.decide(600);
        assert.deepEqual(fixture.questions, ["f1 7/0", "f2 7/0", "f3 7/0"]);
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        fixture.reportCommits("f3", 10);
        assert.equal(fixture.decide(), "a");
    });

    it("asks again after the primary and a replica came back and may have acknowledged more", () => {
        const fixture = new FencingFixture();
        fixture.loseLink("p", LinkLoss.NoListener);
        fixture.loseLink("b", LinkLoss.NoListener);
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        fixture.decide(1_300);
        fixture.reportCommits("f1", 11);
        fixture.decide(100);
        fixture.openLink("p", 3, 11);
        fixture.openLink("b", 3, 11);
        fixture.loseLink("b", LinkLoss.NoListener);
        fixture.loseLink("p", LinkLoss.NoListener);
        fixture.reportCommits("f1", 10);
        assert.equal(fixture.decide(100), undefined);
        assert.deepEqual(fixture.questions, ["f1 7/0", "f1 7/1"]);
        fixture.reportCommits("f1", 10, { questionId: "7/1" });
        assert.equal(fixture.decide(), "a");
    });

    it("waits for a lost replica if an instance has seen no commit since it started", () => {
        // Guards against the loss of commits that the instance acknowledged before it restarted.
        const fixture = new FencingFixture();
        fixture.loseLink("p", LinkLoss.NoListener);
        fixture.loseLink("b", LinkLoss.NoListener);
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        fixture.decide(1_300);
        fixture.reportCommits("f1", undefined);
        assert.equal(fixture.decide(10_000), undefined);
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        fixture.openLink("b", 3, 12);
        fixture.answer("b", false, 3, 12);
        assert.equal(fixture.decide(), "b");
    });

    it("accepts a commit sent after an instance started as proof that its earlier process saw no later one", () => {
        const fixture = new FencingFixture({}, attachedWitnesses({ f1: "i1", f2: "i2" }));
        fixture.loseLink("p", LinkLoss.NoListener);
        fixture.loseLink("b", LinkLoss.NoListener);
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        fixture.decide(1_300);
        fixture.nowMs += 200;
        fixture.reportCommits("f1", undefined, { watchedMs: 20_000 });
        fixture.reportCommits("f2", 10);
        assert.equal(fixture.decide(), undefined);
        // Counted from the question, the commit may be older than the process by the latency of the answer.
        fixture.reportCommits("f2", 10, { sentAgeMs: 19_900 });
        assert.equal(fixture.decide(), undefined);
        fixture.reportCommits("f2", 10, { sentAgeMs: 19_800 });
        assert.equal(fixture.decide(), "a");
    });

    it("never considers a process older than its attachment", () => {
        // Guards against the loss of commits after a clock step on an instance makes its process look old.
        const witnesses = attachedWitnesses({ f2: "i2" });
        witnesses.attach("f1", "i1", -1_000);
        const fixture = new FencingFixture({}, witnesses);
        fixture.loseLink("p", LinkLoss.NoListener);
        fixture.loseLink("b", LinkLoss.NoListener);
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        fixture.decide(1_300);
        fixture.reportCommits("f1", undefined, { watchedMs: 20_000 });
        fixture.reportCommits("f2", 10, { sentAgeMs: 5_000 });
        assert.equal(fixture.decide(), undefined);
        fixture.reportCommits("f2", 10, { sentAgeMs: 2_300 });
        assert.equal(fixture.decide(), "a");
    });

    it("takes no repetition of an earlier answer for the answer to a pause or a step down", () => {
        // Guards against a replica that goes on receiving because a status that was sent twice counted as its stop.
        const fixture = new FencingFixture({ planned: true });
        fixture.openLink("p", 3, 20);
        fixture.answer("p", false, 4, 20, 3);
        fixture.openLink("a", 3, 19);
        assert.equal(fixture.lastCommand("a"), LinkCommandKind.Status);
        fixture.answer("a", false, 3, 19);
        fixture.answer("a", true, 9, 19);
        assert.equal(fixture.decide(), undefined);
        fixture.loseLink("p", LinkLoss.Broken);
        fixture.decide(1_300);
        const { connections } = fixture;
        fixture.decide(1_300);
        fixture.answer("a", false, 3, 19, 3, 9);
        assert.notEqual(fixture.lastCommand("a"), LinkCommandKind.Pause);
        assert.ok(fixture.connections > connections);
        fixture.openLink("a", 3, 19);
        assert.equal(fixture.lastCommand("a"), LinkCommandKind.Pause);
        assert.match(fixture.fencing.describeDatabases(), /a:awaited/);
    });

    it("notices that a paused replica has started again behind a silent cut", () => {
        // Guards against a replica that confirms commits although its earlier process was paused.
        const fixture = new FencingFixture();
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        fixture.decide(400);
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 12, 3, 0);
        assert.match(fixture.fencing.describeDatabases(), /a:awaited@3.12/);
        fixture.decide(100);
        fixture.openLink("a", 3, 12);
        assert.equal(fixture.lastCommand("a"), LinkCommandKind.Pause);
    });

    it("does not count a replica that lost its log among those that hold what they confirmed", () => {
        // Guards against the loss of commits that the replica's earlier process alone had confirmed.
        const fixture = new FencingFixture();
        fixture.loseLink("p", LinkLoss.NoListener);
        fixture.openLink("a", 3, 12);
        fixture.answer("a", false, 3, 12);
        fixture.loseLink("a", LinkLoss.Broken);
        fixture.decide(100);
        fixture.openLink("a", 0, 0);
        fixture.answer("a", false, 3, 0, 0);
        fixture.openLink("b", 3, 9);
        fixture.answer("b", false, 3, 9);
        assert.equal(fixture.decide(), undefined);
    });

    it("does not choose a replica that lacks a commit which an instance had acknowledged when it stopped to", () => {
        // Guards against the loss of a commit that a database outside the list confirmed.
        const fixture = new FencingFixture();
        assert.deepEqual(fixture.closings, ["f1 7/close"]);
        fixture.reportCommits("f1", 13, { questionId: "7/close" });
        fixture.loseLink("p", LinkLoss.NoListener);
        ["a", "b"].forEach(databaseId => {
            fixture.openLink(databaseId, 3, 12);
            fixture.answer(databaseId, false, 3, 12);
        });
        assert.equal(fixture.decide(), undefined);
    });

    describe("if an answer told of commits that no replica has received", () => {
        let fixture: FencingFixture;

        function stopReplicas(): void {
            fixture.loseLink("p", LinkLoss.NoListener);
            ["a", "b"].forEach(databaseId => {
                fixture.openLink(databaseId, 3, 12);
                fixture.answer(databaseId, false, 3, 12);
            });
        }

        /** The replicas are asked again, on new connections. */
        function answerAgain(heldTerm?: number): void {
            assert.equal(fixture.decide(100), undefined);
            ["a", "b"].forEach(databaseId => {
                fixture.openLink(databaseId, 3, 12);
                fixture.answer(databaseId, false, 3, 12, 3, heldTerm);
            });
        }

        beforeEach(() => {
            fixture = new FencingFixture();
        });

        it("chooses one once both were shown to be still stopped", () => {
            // Guards against a choice that waits for ever for commits that nobody acknowledged.
            fixture.reportCommits("f1", 13, { questionId: "7/close" });
            stopReplicas();
            assert.equal(fixture.decide(), undefined);
            answerAgain();
            assert.equal(fixture.decide(), "a");
            fixture.fencing.beginOrder("a", fixture.nowMs);
            assert.ok(fixture.fencing.mayLead("a"));
        });

        it("chooses none if one of them has received again", () => {
            fixture.reportCommits("f1", 13, { questionId: "7/close" });
            stopReplicas();
            assert.equal(fixture.decide(), undefined);
            answerAgain(0);
            assert.equal(fixture.decide(), undefined);
        });

        it("chooses none if a commit beyond them was certainly acknowledged", () => {
            const reached = { term: 3, offset: 13 };
            fixture.reportCommits("f1", 13, { questionId: "7/close", reached });
            stopReplicas();
            assert.equal(fixture.decide(), undefined);
            answerAgain();
            assert.equal(fixture.decide(), undefined);
        });

        it("orders none if an instance answers so after the choice", () => {
            stopReplicas();
            assert.equal(fixture.decide(), "a");
            fixture.fencing.beginOrder("a", fixture.nowMs);
            fixture.reportCommits("f1", 13, { questionId: "7/close" });
            assert.ok(!fixture.fencing.mayLead("a"));
        });
    });

    it("asks no instance for its commits while the primary of an evacuated data centre steps down", () => {
        // Guards against acknowledgements that are withheld although the position of the primary tells of them.
        const fixture = new FencingFixture({ planned: true });
        fixture.members = [{ ...member("p"), isReady: false, isEvacuated: true }, member("a"), member("b")];
        fixture.openLink("p", 3, 12);
        fixture.openLink("a", 3, 9);
        fixture.answer("p", false, 3, 12);
        fixture.decide(61);
        fixture.answer("a", false, 3, 12);
        assert.equal(fixture.decide(), "a");
        assert.deepEqual([...fixture.questions, ...fixture.closings], []);
    });

    describe("beside a replica in an evacuated data centre that is ahead", () => {
        let fixture: FencingFixture;

        beforeEach(() => {
            fixture = new FencingFixture();
            const evacuated = { ...member("a"), isReady: false, isEvacuated: true };
            fixture.members = [member("p"), evacuated, member("b")];
            fixture.decide();
            fixture.reportCommits("f1", 10, { questionId: "7/close" });
            fixture.loseLink("p", LinkLoss.NoListener);
            [["a", 12] as const, ["b", 10] as const].forEach(([databaseId, offset]) => {
                fixture.openLink(databaseId, 3, offset);
                fixture.answer(databaseId, false, 3, offset);
            });
        });

        it("chooses the one elsewhere once every instance has told that it holds all acknowledged commits", () => {
            assert.equal(fixture.decide(), undefined);
            assert.ok(fixture.questions.includes("f1 7/0"), "the instances are asked at once");
            fixture.reportCommits("f1", 10);
            assert.equal(fixture.decide(), "b");
            fixture.fencing.beginOrder("b", fixture.nowMs);
            assert.ok(fixture.fencing.mayLead("b"));
        });

        it("chooses the one that is ahead if the other lacks an acknowledged commit", () => {
            assert.equal(fixture.decide(), undefined);
            fixture.reportCommits("f1", 11);
            assert.equal(fixture.decide(), "a");
        });

        it("chooses the one that is ahead if an instance does not answer in time", () => {
            assert.equal(fixture.decide(2_300), undefined);
            assert.equal(fixture.decide(200), "a");
        });
    });

    it("waits for a replica that holds what the last promotion kept", () => {
        // Guards against the loss of commits that databases confirmed which have left since.
        const fixture = new FencingFixture({ basePosition: { term: 2, offset: 11 } });
        fixture.loseLink("p", LinkLoss.NoListener);
        ["a", "b"].forEach(databaseId => {
            fixture.openLink(databaseId, 2, 9);
            fixture.answer(databaseId, false, 3, 9, 2);
        });
        assert.equal(fixture.decide(), undefined);
    });

    it("does not wait for what the last promotion kept once no database is missing", () => {
        // Guards against a wait without end for commits that an order rolled back which was executed without being seen.
        const fixture = new FencingFixture({ basePosition: { term: 2, offset: 11 }, preferredDatabaseId: "x" });
        ["p", "a", "b"].forEach(databaseId => fixture.openLink(databaseId, 2, 9));
        ["a", "b"].forEach(databaseId => fixture.answer(databaseId, false, 3, 9, 2));
        assert.equal(fixture.decide(), undefined);
        fixture.answer("p", false, 3, 9, 2);
        assert.notEqual(fixture.decide(), undefined);
    });

    it("waits if the primary has stepped down below what was acknowledged", () => {
        // Guards against a choice that is recorded and withdrawn again in each round trip, without an end.
        const fixture = new FencingFixture();
        fixture.reportCommits("f1", 12, { questionId: "7/close" });
        fixture.openLink("p", 3, 10);
        fixture.openLink("a", 3, 10);
        fixture.answer("p", false, 3, 10);
        fixture.answer("a", false, 3, 10);
        assert.equal(fixture.decide(), undefined);
        assert.equal(fixture.decide(100), undefined);
        fixture.answer("a", false, 3, 12);
        assert.equal(fixture.decide(), "a");
    });

    it("lets the primary step down in a planned change and waits until a replica has caught up", () => {
        const fixture = new FencingFixture({ planned: true });
        fixture.openLink("p", 3, 20);
        assert.equal(fixture.lastCommand("p"), LinkCommandKind.StepDown);
        fixture.openLink("a", 3, 19);
        assert.equal(fixture.lastCommand("a"), undefined);
        fixture.answer("p", false, 4, 20, 3);
        assert.equal(fixture.decide(70), undefined);
        assert.equal(fixture.lastCommand("a"), LinkCommandKind.Status);
        fixture.answer("a", false, 3, 20);
        assert.equal(fixture.decide(), "a");
    });

    it("pauses the replicas of a primary that stepped down while an order for another database is open", () => {
        // Guards against commits that the other database acknowledges before the next choice takes effect.
        const fixture = new FencingFixture({ preferredDatabaseId: "b" });
        fixture.openLink("p", 3, 20);
        fixture.answer("p", false, 4, 20, 3);
        fixture.openLink("a", 3, 20);
        assert.equal(fixture.lastCommand("a"), LinkCommandKind.Pause);
    });

    it("pauses the former primary while a database of an earlier order may lead", () => {
        // Guards against commits of that database which the former primary confirms after it was taken for stopped.
        const fixture = new FencingFixture({ preferredDatabaseId: "b" });
        fixture.loseLink("b", LinkLoss.Broken);
        fixture.openLink("a", 3, 20);
        fixture.answer("a", false, 4, 20, 3);
        fixture.openLink("p", 3, 20);
        assert.equal(fixture.lastCommand("p"), LinkCommandKind.Pause);
        fixture.answer("p", true, 3, 20);
        fixture.decide(60);
        fixture.openLink("p", 3, 20);
        assert.equal(fixture.lastCommand("p"), LinkCommandKind.StepDown);
        fixture.answer("p", false, 3, 20, 3, 0);
        assert.equal(fixture.decide(), undefined);
        fixture.decide(60);
        fixture.openLink("p", 3, 20);
        assert.equal(fixture.lastCommand("p"), LinkCommandKind.Pause);
        fixture.answer("p", false, 3, 20);
        assert.notEqual(fixture.decide(), undefined);
    });

    it("recognises that an earlier order was executed late", () => {
        const fixture = new FencingFixture();
        fixture.openLink("a", 3, 10);
        fixture.answer("a", true, 4, 10);
        const { chosenDatabaseId, alreadyLeads } = fixture.fencing.decide(10);
        assert.deepEqual([chosenDatabaseId, alreadyLeads], ["a", true]);
    });

    it("promotes the most advanced replica that answers if replication is asynchronous", () => {
        const fixture = new FencingFixture({ synchronousReplicas: 0 });
        fixture.openLink("a", 3, 10);
        fixture.answer("a", false, 3, 10);
        assert.equal(fixture.decide(100), "a");
    });
});
