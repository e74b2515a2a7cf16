import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseReport, FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import type { LinkReply } from "../../model/linkMessages.ts";
import { type PassedTask, type PeerInstance, PeerKind, type PeerSend } from "../../model/peerMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { Forwarding } from "../forwarding.ts";
import { type HolderChanged, type TaskAttempted, TaskKind, TaskMode } from "../taskMessages.ts";

const dataCentres = 6;

/** Instances that count how often one of them is looked at. */
class CountedInstances {
    looks = 0;

    list(count: number): readonly PeerInstance[] {
        const look = (value: string): string => {
            this.looks += 1;
            return value;
        };
        return Array.from({ length: count }, (_, index): PeerInstance => ({
            get instanceId() {
                return look(`front-${index}`);
            },
            address: `front-${index}:1`,
            get dataCentre() {
                return look(`dc${index % dataCentres}`);
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

class Fixture {
    readonly counted = new CountedInstances();
    private readonly filter = new Forwarding({ instanceId: "front-1" });

    constructor(instances: number, databases: number) {
        this.know(instances);
        for (let index = 0; index < databases; index++) {
            this.push(0, { kind: FleetKind.DatabaseChanged, report: report(index) } as Message);
        }
        this.place("first", "db0");
        this.counted.looks = 0;
    }

    know(instances: number): void {
        this.push(0, { kind: PeerKind.InstancesKnown, instances: this.counted.list(instances) } as Message);
    }

    push(nowMs: number, message: Message): readonly Message[] {
        return this.filter.process(message as never, nowMs);
    }

    /** Places a read, and returns the address that it is passed to. */
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
    it("looks at no more instances for a task in a large fleet than in a small one", () => {
        // Guards against work for each task that grows with the fleet.
        const looks = [12, 470].map(instances => {
            const fixture = new Fixture(instances, 18);
            for (let index = 0; index < 100; index++) {
                fixture.place(`t${index}`, "db0");
            }
            return fixture.counted.looks;
        });
        assert.equal(looks[1]! <= looks[0]!, true, `${looks[1]} looks against ${looks[0]}`);
    });

    it("ranks instances anew only for databases of a data centre whose instances changed", () => {
        const [instances, databases] = [469, 660];
        const fixture = new Fixture(instances, databases);
        fixture.know(instances);
        fixture.counted.looks = 0;
        fixture.know(instances + 1);
        // Each instance is read a few times, and ranked for the databases of one data centre of six.
        const near = Math.ceil(instances / dataCentres) * databases / dataCentres;
        assert.equal(fixture.counted.looks <= near + 4 * instances, true, `${fixture.counted.looks} looks`);
    });

    it("passes tasks to the next instance of the database's data centre while the first one is avoided", () => {
        const fixture = new Fixture(24, 1);
        const first = fixture.place("t1", "db0");
        fixture.push(10, { kind: PeerKind.Lost, address: first! } as Message);
        const second = fixture.place("t2", "db0", 20);
        assert.notEqual(second, first);
        assert.equal(Number(/front-(\d+)/.exec(second!)![1]) % dataCentres, 0);
        assert.equal(fixture.place("t3", "db0", 1_600), first);
    });

    it("does not take a late answer for the answer to a later attempt", () => {
        // Guards against a position that looks younger than it is, and thereby against stale reads.
        const fixture = new Fixture(24, 1);
        const [first, firstId] = passed(fixture.placeTask("t1", "db0", 0));
        const due = fixture.push(400, { kind: TaskKind.ForwardDue, id: "t1" } as Message);
        assert.equal(due.some(({ kind }) => kind === TaskKind.Attempted), true);
        const [second, secondId] = passed(fixture.placeTask("t1", "db0", 450));
        assert.notEqual(second, first);
        assert.deepEqual(attemptsOf(fixture.push(460, answered(first, firstId))), []);
        assert.deepEqual(attemptsOf(fixture.push(470, answered(second, secondId))), [450]);
    });

    it("uses a late success, with the time at which its own attempt was sent", () => {
        const fixture = new Fixture(24, 1);
        const [first, firstId] = passed(fixture.placeTask("t1", "db0", 0));
        fixture.push(400, { kind: TaskKind.ForwardDue, id: "t1" } as Message);
        fixture.placeTask("t1", "db0", 450);
        const late = answered(first, firstId, { fault: undefined } as LinkReply);
        assert.deepEqual(attemptsOf(fixture.push(460, late)), [0]);
        assert.deepEqual(attemptsOf(fixture.push(461, late)), []);
    });

    it("tells the links again that this instance is the holder when a database comes back under its id", () => {
        // Guards against a holder with the links of a guest.
        const fixture = new Fixture(2, 2);
        fixture.push(10, { kind: FleetKind.DatabaseRemoved, databaseId: "db1" } as Message);
        assert.deepEqual(holdsIn(fixture.placeTask("t1", "db1", 15)), []);
        const back = { kind: FleetKind.DatabaseChanged, report: report(1) } as Message;
        assert.deepEqual(holdsIn(fixture.push(20, back)), [true]);
    });

    it("forgets with a database who could not reach it", () => {
        const fixture = new Fixture(24, 1);
        const [first, taskId] = passed(fixture.placeTask("t1", "db0", 0));
        fixture.push(10, unreached(first, taskId));
        fixture.push(10, suspected(first, false));
        assert.notEqual(fixture.place("t2", "db0", 20), first);
        fixture.push(30, { kind: FleetKind.DatabaseRemoved, databaseId: "db0" } as Message);
        fixture.push(40, { kind: FleetKind.DatabaseChanged, report: report(0) } as Message);
        assert.equal(fixture.place("t3", "db0", 50), first);
    });

    it("passes over one holder for a database that many attempts together do not reach", () => {
        const fixture = new Fixture(24, 1);
        const [first, taskId] = passed(fixture.placeTask("t1", "db0", 0));
        fixture.push(10, unreached(first, taskId));
        fixture.push(10, suspected(first, false));
        const second = fixture.place("t2", "db0", 20)!;
        assert.notEqual(second, first);
        for (const address of [first, second, first, second, first]) {
            fixture.push(30, suspected(address, false));
        }
        assert.equal(fixture.place("t3", "db0", 40), second);
        assert.equal(fixture.place("t4", "db0", 1_600), first);
    });

    it("keeps the holder of a database that is slow to answer", () => {
        const fixture = new Fixture(24, 1);
        const first = fixture.place("t1", "db0")!;
        fixture.push(600, suspected(first, true));
        assert.equal(fixture.place("t2", "db0", 610), first);
    });

    it("does not become the holder of a database that keeps all its holders silent", () => {
        // Guards against every instance of the fleet as a full holder at once.
        const fixture = new Fixture(24, 1);
        const addresses: (string | undefined)[] = [];
        const holds: boolean[] = [];
        for (let index = 0; index < 4; index++) {
            const messages = fixture.placeTask(`t${index}`, "db0", index);
            addresses.push((messages.find(({ kind }) => kind === PeerKind.Send) as PeerSend | undefined)?.address);
            const due = fixture.push(400 + index, { kind: TaskKind.ForwardDue, id: `t${index}` } as Message);
            const suspicion = fixture.push(400 + index, suspected(addresses.at(-1)!, false));
            holds.push(...[messages, due, suspicion].flatMap(holdsIn));
        }
        assert.deepEqual(holds, []);
        assert.equal(new Set(addresses.slice(0, 3)).size, 3);
        assert.equal(addresses[3], addresses[0]);
    });

    it("stays a guest of a database while the holder that was passed over runs", () => {
        // Guards against two holders whose connections together are above the limit.
        const fixture = new Fixture(12, 20);
        const seconds = [1, 7, 13, 19].map(index => `db${index}`).filter(databaseId => {
            const address = fixture.place("first", databaseId);
            const due = { ...suspected(address ?? "", false), databaseId } as Message;
            return address !== undefined && holdsIn(fixture.push(10, due)).length === 0
                && fixture.place("second", databaseId, 20) === undefined;
        });
        assert.notEqual(seconds.length, 0);
    });

    it("uses a database as a guest while every instance near it is lost", () => {
        const fixture = new Fixture(24, 1);
        const messages = Array.from({ length: 4 }, (_, index) => [
            ...fixture.push(index, { kind: PeerKind.Lost, address: `front-${index * dataCentres}:1` } as Message),
            ...fixture.placeTask(`t${index}`, "db0", index),
        ]).flat();
        assert.deepEqual(holdsIn(messages), []);
        assert.equal(messages.at(-1)!.kind, TaskKind.Placed);
    });
});

function holdsIn(messages: readonly Message[]): readonly boolean[] {
    return messages.filter(({ kind }) => kind === TaskKind.HolderChanged)
        .map(message => (message as HolderChanged).isHolder);
}

function passed(messages: readonly Message[]): readonly [string, string] {
    const { address, question } = messages.find(({ kind }) => kind === PeerKind.Send) as PeerSend;
    return [address, (question as PassedTask).taskId];
}

function answered(address: string, taskId: string, reply?: LinkReply): Message {
    const parts = { reply, fault: undefined, sent: true, leads: true, pinned: false };
    return { kind: PeerKind.Answered, address, result: { kind: "task", taskId, ...parts } } as Message;
}

/** The holder got no link to the database. */
function unreached(address: string, taskId: string): Message {
    const parts = { reply: undefined, fault: undefined, sent: false, leads: false, pinned: false };
    return { kind: PeerKind.Answered, address, result: { kind: "task", taskId, ...parts } } as Message;
}

function suspected(address: string, sent: boolean): Message {
    return { kind: FleetKind.DatabaseSuspected, databaseId: "db0", address, sent } as Message;
}

/** When the attempts that ended were sent. */
function attemptsOf(messages: readonly Message[]): readonly (number | undefined)[] {
    return messages.filter(({ kind }) => kind === TaskKind.Attempted).map(message => (message as TaskAttempted).sentMs);
}
