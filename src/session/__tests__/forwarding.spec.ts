import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseReport, FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import { type PeerInstance, PeerKind, type PeerSend } from "../../model/peerMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { Forwarding } from "../forwarding.ts";
import { TaskKind, TaskMode } from "../taskMessages.ts";

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
        const messages = this.push(
            nowMs,
            { kind: TaskKind.Placed, task, databaseId, after: undefined, untilMs: 10_000 } as Message,
        );
        return (messages.find(({ kind }) => kind === PeerKind.Send) as PeerSend | undefined)?.address;
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
});
