import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseChanged, type DatabaseReport, FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import type { LinkReply } from "../../model/linkMessages.ts";
import {
    type InstancesKnown,
    type PassedTask,
    type PeerAnswered,
    type PeerInstance,
    PeerKind,
    type PeerSend,
} from "../../model/peerMessages.ts";
import { emptySessionContext, StatementFault, TaskMode } from "../../model/sessionStatement.ts";
import type { Message } from "../../pipeline/message.ts";
import { Forwarding } from "../forwarding.ts";
import { type HolderChanged, type LinkTask, type TaskAttempted, TaskKind, type TaskPlaced } from "../taskMessages.ts";

const dataCentres = 6;

/** Creates lists of instances that count how often a property of an instance is read. */
class CountingInstances {
    readCount = 0;

    list(count: number): readonly PeerInstance[] {
        const countRead = (value: string): string => {
            this.readCount += 1;
            return value;
        };
        return Array.from({ length: count }, (_, index): PeerInstance => ({
            get instanceId() {
                return countRead(`front-${index}`);
            },
            address: `front-${index}:1`,
            get dataCentre() {
                return countRead(`dc${index % dataCentres}`);
            },
        }));
    }
}

function report(index: number): DatabaseReport {
    return {
        databaseId: `db${index}`,
        service: "s",
        address: `db${index}:1`,
        dataCentre: `dc${index % dataCentres}`,
        slots: 3,
        state: ReportedState.Ready,
        leads: index === 0,
        sequence: 1,
        bornUnixMs: 1,
    };
}

class ForwardingFixture {
    readonly instanceList = new CountingInstances();
    private readonly filter = new Forwarding({ instanceId: "front-1" });

    constructor(instanceCount: number, databaseCount: number) {
        this.setInstances(instanceCount);
        for (let index = 0; index < databaseCount; index++) {
            this.push(0, { kind: FleetKind.DatabaseChanged, report: report(index) } as Message);
        }
        this.place("first", "db0");
        this.instanceList.readCount = 0;
    }

    setInstances(instanceCount: number): void {
        this.push(0, { kind: PeerKind.InstancesKnown, instances: this.instanceList.list(instanceCount) } as Message);
    }

    push(nowMs: number, message: Message): readonly Message[] {
        return this.filter.process(message as never, nowMs);
    }

    /** Places a read, and returns the address of the holder that it is passed to. */
    place(taskId: string, databaseId: string, nowMs = 0): string | undefined {
        const messages = this.placeTask(taskId, databaseId, nowMs);
        return (messages.find(({ kind }) => kind === PeerKind.Send) as PeerSend | undefined)?.address;
    }

    placeTask(taskId: string, databaseId: string, nowMs: number): readonly Message[] {
        const task = {
            taskId,
            sessionId: "s1",
            service: "s",
            workspace: "w",
            mode: TaskMode.Single,
            statement: undefined,
            writes: false,
            needsPrimary: false,
            context: { values: new Map(), prepared: new Map() },
            deadlineMs: 10_000,
        };
        return this.push(
            nowMs,
            { kind: TaskKind.Placed, task, databaseId, floor: undefined, attemptDeadlineMs: 10_000 } as Message,
        );
    }
}

describe("forwarding", () => {
    it("reads no more instances per task in a large fleet than in a small one", () => {
        // Guards against work per task that grows with the fleet.
        const readCounts = [12, 470].map(instanceCount => {
            const fixture = new ForwardingFixture(instanceCount, 18);
            for (let index = 0; index < 100; index++) {
                fixture.place(`t${index}`, "db0");
            }
            return fixture.instanceList.readCount;
        });
        assert.equal(readCounts[1]! <= readCounts[0]!, true, `${readCounts[1]} reads against ${readCounts[0]}`);
    });

    it("ranks instances again only for databases of a data centre whose instances changed", () => {
        const [instanceCount, databaseCount] = [469, 660];
        const fixture = new ForwardingFixture(instanceCount, databaseCount);
        fixture.setInstances(instanceCount);
        fixture.instanceList.readCount = 0;
        fixture.setInstances(instanceCount + 1);
        // Each instance is read a few times; those of one data centre of six are also ranked for its databases.
        const expectedReads = Math.ceil(instanceCount / dataCentres) * databaseCount / dataCentres;
        assert.equal(
            fixture.instanceList.readCount <= expectedReads + 4 * instanceCount,
            true,
            `${fixture.instanceList.readCount} reads`,
        );
    });

    it("passes tasks to the next instance of the database's data centre while the first one is avoided", () => {
        const fixture = new ForwardingFixture(24, 1);
        const first = fixture.place("t1", "db0");
        fixture.push(10, { kind: PeerKind.Lost, address: first! } as Message);
        const second = fixture.place("t2", "db0", 20);
        assert.notEqual(second, first);
        assert.equal(Number(/front-(\d+)/.exec(second!)![1]) % dataCentres, 0);
        assert.equal(fixture.place("t3", "db0", 1_600), first);
    });

    it("does not mistake a late result for the result of a later attempt", () => {
        // Guards against stale reads after a position that is taken to be more recent than it is.
        const fixture = new ForwardingFixture(24, 1);
        const [first, firstId] = passedTask(fixture.placeTask("t1", "db0", 0));
        const dueMessages = fixture.push(400, { kind: TaskKind.ForwardDue, id: "t1" } as Message);
        assert.equal(dueMessages.some(({ kind }) => kind === TaskKind.Attempted), true);
        const [second, secondId] = passedTask(fixture.placeTask("t1", "db0", 450));
        assert.notEqual(second, first);
        assert.deepEqual(attemptTimesIn(fixture.push(460, resultOf(first, firstId))), []);
        assert.deepEqual(attemptTimesIn(fixture.push(470, resultOf(second, secondId))), [450]);
    });

    it("tells the holder the urgency of a task, and passes on the time to come back of a refusal", () => {
        const filter = new Forwarding({ instanceId: "front-1" });
        const instances = [{ instanceId: "front-0", address: "front-0:1", dataCentre: "dc0" }];
        filter.process({ kind: PeerKind.InstancesKnown, instances } as InstancesKnown, 0);
        filter.process({ kind: FleetKind.DatabaseChanged, report: report(0) } as DatabaseChanged, 0);
        const task: LinkTask = {
            taskId: "t",
            sessionId: "s",
            service: "s",
            workspace: "w",
            mode: TaskMode.Single,
            statement: undefined,
            writes: false,
            needsPrimary: false,
            context: emptySessionContext,
            deadlineMs: 3_000,
            urgency: { priority: 2, objectiveAtMs: 700 },
        };
        const placed: TaskPlaced = {
            kind: TaskKind.Placed,
            task,
            databaseId: "db0",
            floor: undefined,
            attemptDeadlineMs: 2_000,
        };
        const questionAt = (nowMs: number): PassedTask =>
            filter.process(placed, nowMs).flatMap(message =>
                message.kind === PeerKind.Send ? [(message as PeerSend).question as PassedTask] : []
            )[0]!;
        assert.deepEqual(questionAt(100).urgency, { priority: 2, objectiveMs: 600 });
        const question = questionAt(800);
        assert.deepEqual(question.urgency, { priority: 2, objectiveMs: 0 });
        const result = {
            kind: "task" as const,
            taskId: question.taskId,
            reply: undefined,
            fault: StatementFault.Busy,
            sent: false,
            leads: false,
            pinned: false,
            retryAfterMs: 300,
        };
        const outputs = filter.process({ kind: PeerKind.Answered, address: "front-0:1", result } as PeerAnswered, 810);
        const attempted = outputs.find(({ kind }) => kind === TaskKind.Attempted) as TaskAttempted;
        assert.equal(attempted.retryAfterMs, 300);
    });

    it("leaves a task to its holder while the holders of other databases are silent, too", () => {
        // Guards against second holders with few links in a fleet whose network delays all messages.
        const fixture = new ForwardingFixture(24, 6);
        const [first] = passedTask(fixture.placeTask("t1", "db0", 0));
        const [other, otherId] = passedTask(fixture.placeTask("t2", "db2", 50));
        assert.notEqual(other, first);
        const due = { kind: TaskKind.ForwardDue, id: "t1" } as Message;
        assert.deepEqual(attemptTimesIn(fixture.push(400, due)), []);
        assert.equal(fixture.place("t3", "db0", 410), first);
        fixture.push(440, resultOf(other, otherId));
        assert.deepEqual(attemptTimesIn(fixture.push(450, due)), [0]);
        assert.notEqual(fixture.place("t4", "db0", 460), first);
    });

    it("uses a late successful result, with the time at which its own attempt was sent", () => {
        const fixture = new ForwardingFixture(24, 1);
        const [first, firstId] = passedTask(fixture.placeTask("t1", "db0", 0));
        fixture.push(400, { kind: TaskKind.ForwardDue, id: "t1" } as Message);
        fixture.placeTask("t1", "db0", 450);
        const late = resultOf(first, firstId, { fault: undefined } as LinkReply);
        assert.deepEqual(attemptTimesIn(fixture.push(460, late)), [0]);
        assert.deepEqual(attemptTimesIn(fixture.push(461, late)), []);
    });

    it("publishes again that this instance is the holder when a removed database returns under its id", () => {
        // Guards against a holder that opens only the few links of an instance that is not the holder.
        const fixture = new ForwardingFixture(2, 2);
        fixture.push(10, { kind: FleetKind.DatabaseRemoved, databaseId: "db1" } as Message);
        assert.deepEqual(holderChangesIn(fixture.placeTask("t1", "db1", 15)), []);
        const back = { kind: FleetKind.DatabaseChanged, report: report(1) } as Message;
        assert.deepEqual(holderChangesIn(fixture.push(20, back)), [true]);
    });

    it("no longer skips the holder that could not reach a database after the database was removed", () => {
        const fixture = new ForwardingFixture(24, 1);
        const [first, taskId] = passedTask(fixture.placeTask("t1", "db0", 0));
        fixture.push(10, notSent(first, taskId));
        fixture.push(10, databaseSuspected(first, false));
        assert.notEqual(fixture.place("t2", "db0", 20), first);
        fixture.push(30, { kind: FleetKind.DatabaseRemoved, databaseId: "db0" } as Message);
        fixture.push(40, { kind: FleetKind.DatabaseChanged, report: report(0) } as Message);
        assert.equal(fixture.place("t3", "db0", 50), first);
    });

    it("skips only one holder for a database that many simultaneous attempts cannot reach", () => {
        const fixture = new ForwardingFixture(24, 1);
        const [first, taskId] = passedTask(fixture.placeTask("t1", "db0", 0));
        fixture.push(10, notSent(first, taskId));
        fixture.push(10, databaseSuspected(first, false));
        const second = fixture.place("t2", "db0", 20)!;
        assert.notEqual(second, first);
        for (const address of [first, second, first, second, first]) {
            fixture.push(30, databaseSuspected(address, false));
        }
        assert.equal(fixture.place("t3", "db0", 40), second);
        assert.equal(fixture.place("t4", "db0", 1_600), first);
    });

    it("does not skip the holder of a database that is slow to answer", () => {
        const fixture = new ForwardingFixture(24, 1);
        const first = fixture.place("t1", "db0")!;
        fixture.push(600, databaseSuspected(first, true));
        assert.equal(fixture.place("t2", "db0", 610), first);
    });

    it("does not become the holder of a database at which all its holders time out", () => {
        // Guards against all instances of the fleet becoming holders with full pools at once.
        const fixture = new ForwardingFixture(24, 1);
        const addresses: (string | undefined)[] = [];
        const holderChanges: boolean[] = [];
        for (let index = 0; index < 4; index++) {
            const messages = fixture.placeTask(`t${index}`, "db0", index);
            addresses.push((messages.find(({ kind }) => kind === PeerKind.Send) as PeerSend | undefined)?.address);
            const dueMessages = fixture.push(400 + index, { kind: TaskKind.ForwardDue, id: `t${index}` } as Message);
            const suspicion = fixture.push(400 + index, databaseSuspected(addresses.at(-1)!, false));
            holderChanges.push(...[messages, dueMessages, suspicion].flatMap(holderChangesIn));
        }
        assert.deepEqual(holderChanges, []);
        assert.equal(new Set(addresses.slice(0, 3)).size, 3);
        assert.equal(addresses[3], addresses[0]);
    });

    it("does not become the holder while the holder that it skips still runs", () => {
        // Guards against two holders whose connections together exceed the limit of the database.
        const fixture = new ForwardingFixture(12, 20);
        const secondChoices = [1, 7, 13, 19].map(index => `db${index}`).filter(databaseId => {
            const address = fixture.place("first", databaseId);
            const dueMessages = { ...databaseSuspected(address ?? "", false), databaseId } as Message;
            return address !== undefined && holderChangesIn(fixture.push(10, dueMessages)).length === 0
                && fixture.place("second", databaseId, 20) === undefined;
        });
        assert.notEqual(secondChoices.length, 0);
    });

    it("uses a database without being its holder while every instance of its data centre is disconnected", () => {
        const fixture = new ForwardingFixture(24, 1);
        const messages = Array.from({ length: 4 }, (_, index) => [
            ...fixture.push(index, { kind: PeerKind.Lost, address: `front-${index * dataCentres}:1` } as Message),
            ...fixture.placeTask(`t${index}`, "db0", index),
        ]).flat();
        assert.deepEqual(holderChangesIn(messages), []);
        assert.equal(messages.at(-1)!.kind, TaskKind.Placed);
    });
});

function holderChangesIn(messages: readonly Message[]): readonly boolean[] {
    return messages.filter(({ kind }) => kind === TaskKind.HolderChanged)
        .map(message => (message as HolderChanged).isHolder);
}

function passedTask(messages: readonly Message[]): readonly [string, string] {
    const { address, question } = messages.find(({ kind }) => kind === PeerKind.Send) as PeerSend;
    return [address, (question as PassedTask).taskId];
}

function resultOf(address: string, taskId: string, reply?: LinkReply): Message {
    const parts = { reply, fault: undefined, sent: true, leads: true, pinned: false };
    return { kind: PeerKind.Answered, address, result: { kind: "task", taskId, ...parts } } as Message;
}

/** The result of a holder that got no link to the database. */
function notSent(address: string, taskId: string): Message {
    const parts = { reply: undefined, fault: undefined, sent: false, leads: false, pinned: false };
    return { kind: PeerKind.Answered, address, result: { kind: "task", taskId, ...parts } } as Message;
}

function databaseSuspected(address: string, sent: boolean): Message {
    return { kind: FleetKind.DatabaseSuspected, databaseId: "db0", address, sent } as Message;
}

/** Times at which the ended attempts were sent. */
function attemptTimesIn(messages: readonly Message[]): readonly (number | undefined)[] {
    return messages.filter(({ kind }) => kind === TaskKind.Attempted).map(message => (message as TaskAttempted).sentMs);
}
