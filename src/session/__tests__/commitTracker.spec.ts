import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Attachments } from "../../fleet/attachments.ts";
import { CommitWitnesses } from "../../fleet/commitWitnesses.ts";
import { Fencing } from "../../fleet/fencing.ts";
import { type DatabaseReport, FleetKind, type FrameReceived, type SendFrame } from "../../model/fleetMessages.ts";
import { LinkKind, LinkLoss, type LinkOpen } from "../../model/linkMessages.ts";
import { Pace } from "../../model/pace.ts";
import type { Position } from "../../model/position.ts";
import { SessionStatementKind, TaskMode, TransactionState } from "../../model/sessionStatement.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { CommitTracker } from "../commitTracker.ts";
import { Links } from "../links.ts";
import { TaskKind } from "../taskMessages.ts";
import { statement } from "./sessionFixture.ts";

/** One process of an instance, with its fleet filters and its links. */
class TestInstance {
    private readonly fleet = new Pipe("fleet", [
        new Attachments({
            instanceId: "i1",
            dataCentre: "d",
            address: "i1:1",
            serves: true,
            followsConfiguration: true,
        }),
    ]);
    private readonly session = new Pipe("session", [new Links({ random: new SeededRandom(1), pace: Pace.Adaptive })]);

    constructor(startedMs: number) {
        this.push({ kind: FleetKind.Attached, attachmentId: "f1", address: "m1:1" } as Message, startedMs);
        ["p", "r1", "r2"].forEach(databaseId =>
            this.push({ kind: FleetKind.DatabaseChanged, report: report(databaseId) } as Message, startedMs)
        );
    }

    /** Acknowledges a commit that ran on a link of another instance to a caller of this one. */
    acknowledge(position: Position, nowMs: number): void {
        const task = {
            taskId: "t",
            sessionId: "c",
            service: "s",
            mode: TaskMode.Single,
            writes: true,
            statement: statement(SessionStatementKind.Write, "t"),
        };
        this.push(
            { kind: TaskKind.Ended, task, reply: { position }, fault: undefined, pinned: false } as unknown as Message,
            nowMs,
        );
    }

    removeDatabase(databaseId: string, nowMs: number): void {
        this.push({ kind: FleetKind.DatabaseRemoved, databaseId } as Message, nowMs);
    }

    /** Returns the frames with which the instance answers a frame of a control member. */
    answer(frame: SendFrame["frame"], nowMs: number): readonly SendFrame["frame"][] {
        const received: FrameReceived = { kind: FleetKind.FrameReceived, attachmentId: "f1", frame };
        return this.push(received, nowMs).filter(({ kind }) => kind === FleetKind.SendFrame)
            .map(sent => (sent as SendFrame).frame);
    }

    private push(message: Message, nowMs: number): readonly Message[] {
        const remaining = this.fleet.accepts.has(message.kind)
            ? this.fleet.process(message, nowMs).filter(output => output !== message)
            : [];
        return [message, ...remaining].flatMap(output =>
            this.session.accepts.has(output.kind) ? this.session.process(output, nowMs) : [output]
        );
    }
}

/** A fencing in which the primary and the first replica are gone; the second replica has received up to an offset. */
function fencingWithoutFirstReplica(offset: number): Fencing {
    let nextLink = 0;
    const members = ["p", "r1", "r2"].map(databaseId => ({
        databaseId,
        address: `${databaseId}:1`,
        bornUnixMs: 1,
        isLost: false,
        isReady: true,
    }));
    const witnesses = new CommitWitnesses();
    witnesses.attach("f1", "i1", 0);
    const fencing = new Fencing({
        service: "s",
        fence: 7,
        members: () => members,
        primaryId: "p",
        primaryLogAddress: undefined,
        otherLogAddresses: [],
        preferredDatabaseId: "",
        primaryKeepsLead: false,
        planned: false,
        synchronousReplicas: 1,
        basePosition: undefined,
        witnesses,
        reportIntervalMs: 1_000,
        nextLinkId: () => `m${nextLink++}`,
        startedAtMs: 10_000,
    });
    const links = new Map(
        fencing.open().map(message => [(message as LinkOpen).databaseId, (message as LinkOpen).linkId]),
    );
    for (const databaseId of ["p", "r1"]) {
        const linkId = links.get(databaseId)!;
        fencing.linkLost({ kind: LinkKind.Lost, linkId, loss: LinkLoss.NoListener, fault: undefined }, 10_010);
    }
    const linkId = links.get("r2")!;
    const received = { term: 1, offset };
    fencing.linkOpened({ kind: LinkKind.Opened, linkId, position: received }, 10_010);
    const reply = {
        rows: [],
        signature: "-",
        fault: undefined,
        detail: "",
        transaction: TransactionState.None,
        position: undefined,
        status: { leads: false, term: 1, receivedPosition: received, heldTerm: 2 },
    };
    fencing.linkReplied({ kind: LinkKind.Replied, linkId, reply }, 10_020);
    return fencing;
}

/** Lets the instance answer the questions of the fencing, and returns the database that is then chosen. */
function choiceAfterAnswers(fencing: Fencing, instance: TestInstance): string | undefined {
    const questions = fencing.decide(11_300).messages.filter(message => isSurvey(message));
    assert.equal(questions.length, 1);
    for (const frame of instance.answer((questions[0] as SendFrame).frame, 11_310)) {
        fencing.recordCommitsSeen("f1", frame as Parameters<Fencing["recordCommitsSeen"]>[1], 11_320);
    }
    return fencing.decide(11_330).chosenDatabaseId;
}

/** Whether a message asks for the acknowledged commits after all commits were blocked. */
function isSurvey(message: Message): boolean {
    const { frame } = message as SendFrame;
    return message.kind === FleetKind.SendFrame && frame.kind === "commits_asked" && frame.questionId === "7/0";
}

function report(databaseId: string): DatabaseReport {
    return {
        databaseId,
        service: "s",
        address: `${databaseId}:1`,
        dataCentre: "d",
        slots: 3,
        state: "ready",
        leads: databaseId === "p",
        sequence: 1,
        bornUnixMs: 1,
    };
}

describe("commits seen by an instance", () => {
    it("prevent the promotion of a replica that lacks a commit of a removed replica", () => {
        const instance = new TestInstance(0);
        instance.acknowledge({ term: 1, offset: 9 }, 9_000);
        instance.removeDatabase("r1", 9_500);
        assert.equal(choiceAfterAnswers(fencingWithoutFirstReplica(5), instance), undefined);
    });

    it("allow the promotion of a replica that has all commits, although the other replica was removed", () => {
        const instance = new TestInstance(0);
        instance.acknowledge({ term: 1, offset: 9 }, 9_000);
        instance.removeDatabase("r1", 9_500);
        assert.equal(choiceAfterAnswers(fencingWithoutFirstReplica(9), instance), "r2");
    });

    it("do not cover commits that an earlier process of the instance acknowledged", () => {
        const instance = new TestInstance(9_800);
        assert.equal(choiceAfterAnswers(fencingWithoutFirstReplica(5), instance), undefined);
    });

    it("reach beyond what the log was known to have when they were sent, and at most to where it ended at the answer", () => {
        const tracker = new CommitTracker();
        tracker.recordCommit("s", { term: 1, offset: 12 }, { sentMs: 0, knownPosition: { term: 1, offset: 8 } });
        tracker.recordCommit("s", { term: 1, offset: 13 }, undefined);
        const { highest, reached } = tracker.commitsSeenFrame("s", "7/close", 10);
        assert.deepEqual(highest, { term: 1, offset: 13 });
        assert.deepEqual(reached, { term: 1, offset: 9 });
    });
});
