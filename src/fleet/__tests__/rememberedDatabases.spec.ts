import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type DatabaseChanged,
    type DatabaseListChanged,
    type DatabaseReport,
    type FleetFrame,
    FleetKind,
    type FrameReceived,
    ReportedState,
    type SendFrame,
} from "../../model/fleetMessages.ts";
import { DeadlineKind, type DeadlineMessage, DeadlineQueue } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { decodeFrame, encodeFrame } from "../../rpc/fleetCodec.ts";
import { DatabaseRecall } from "../databaseRecall.ts";
import { FleetDatabaseDirectory } from "../fleetDatabaseDirectory.ts";
import { recallLimitMs, RememberedDatabases } from "../rememberedDatabases.ts";

const primary: DatabaseReport = {
    databaseId: "d1",
    service: "orders",
    address: "10.0.0.1:80",
    dataCentre: "dc",
    slots: 4,
    state: ReportedState.Ready,
    leads: true,
    sequence: 7,
    bornUnixMs: 1_000,
};
const replica: DatabaseReport = { ...primary, databaseId: "d2", address: "10.0.0.2:80", leads: false };

/** A control member that starts with what its disk lists, and proxies that start beside it. */
class Restart {
    nowMs = 0;
    readonly lists: (readonly DatabaseReport[])[] = [];
    private readonly member = new Pipe("member", [new FleetDatabaseDirectory(), new RememberedDatabases()]);
    private readonly deadlines = new DeadlineQueue();

    constructor(remembered: readonly DatabaseReport[]) {
        this.toMember({ kind: FleetKind.DatabasesRemembered, reports: remembered } as Message);
    }

    report(report: DatabaseReport): void {
        this.toMember({ kind: FleetKind.DatabaseReported, report } as Message);
    }

    leave(databaseId: string, bornUnixMs: number): void {
        this.toMember({ kind: FleetKind.DatabaseLeft, databaseId, bornUnixMs } as Message);
    }

    memberHears(frame: FleetFrame): void {
        this.toMember({ kind: FleetKind.FrameReceived, attachmentId: "in2", frame } as Message);
    }

    /** Returns the frame that the member answers to a proxy that has just started; undefined if it does not answer. */
    ask(): FleetFrame | undefined {
        const asked = { kind: FleetKind.FrameReceived, attachmentId: "in1", frame: { kind: "remembered_asked" } };
        const sent = this.toMember(asked as Message).find(({ kind }) => kind === FleetKind.SendFrame);
        // As it arrives on the other side.
        return sent === undefined ? undefined : decodeFrame(encodeFrame((sent as SendFrame).frame));
    }

    advance(durationMs: number): void {
        this.nowMs += durationMs;
        for (let due = this.deadlines.popDue(this.nowMs); due !== undefined; due = this.deadlines.popDue(this.nowMs)) {
            this.toMember(due);
        }
    }

    private toMember(message: Message): readonly Message[] {
        const outputs = this.member.process(message, this.nowMs);
        for (const output of outputs) {
            if (output.kind === DeadlineKind.Set) {
                this.deadlines.apply(output as DeadlineMessage);
            }
            if (output.kind === FleetKind.DatabaseListChanged) {
                this.lists.push((output as DatabaseListChanged).reports);
            }
        }
        return outputs;
    }
}

class Proxy {
    readonly pipe = new Pipe("proxy", [new DatabaseRecall(), new FleetDatabaseDirectory()]);

    receive(frame: FleetFrame, nowMs: number, attachmentId = "out0"): readonly Message[] {
        const received: FrameReceived = { kind: FleetKind.FrameReceived, attachmentId, frame };
        return this.pipe.process(received, nowMs);
    }
}

const status: FleetFrame = {
    kind: "status",
    instanceId: "c1",
    leading: false,
    term: 1,
    members: [],
    configurationVersion: 1,
    instanceCount: 0,
};

function changed(messages: readonly Message[]): readonly DatabaseReport[] {
    return messages.filter(({ kind }) => kind === FleetKind.DatabaseChanged)
        .map(message => (message as DatabaseChanged).report);
}

function sentFrames(messages: readonly Message[]): readonly string[] {
    return messages.filter(({ kind }) => kind === FleetKind.SendFrame).map(message =>
        (message as SendFrame).frame.kind
    );
}

describe("databases that control members remember over a restart", () => {
    it("make a primary known that does not report yet", () => {
        const restart = new Restart([primary, replica]);
        restart.advance(500);
        restart.report({ ...replica, sequence: 9 });
        const proxy = new Proxy();
        assert.deepEqual(sentFrames(proxy.receive(status, 700)), ["remembered_asked"]);
        assert.deepEqual(changed(proxy.receive(restart.ask()!, 724)), [primary]);
    });

    it("are no longer passed on once all have reported, or after the limit", () => {
        const confirmed = new Restart([primary]);
        confirmed.report({ ...primary, sequence: 8 });
        assert.equal(confirmed.ask(), undefined);
        const expired = new Restart([primary]);
        expired.advance(recallLimitMs);
        assert.equal(expired.ask(), undefined);
    });

    it("are forgotten when they leave, unless it is an earlier process that left", () => {
        const restart = new Restart([primary, replica]);
        restart.leave("d1", 1_000);
        restart.leave("d2", 500);
        assert.deepEqual(restart.ask(), { kind: "remembered", reports: [replica] });
    });

    it("give way to a database at the same address", () => {
        const restart = new Restart([primary]);
        restart.report({ ...primary, databaseId: "d9", bornUnixMs: 2_000 });
        assert.equal(restart.ask(), undefined);
    });

    it("do not replace a newer report, and are replaced by the first report of the same process", () => {
        const proxy = new Proxy();
        proxy.receive(status, 0);
        proxy.receive({ kind: "databases", reports: [{ ...primary, leads: false, sequence: 9 }] }, 1);
        assert.deepEqual(changed(proxy.receive({ kind: "remembered", reports: [primary, replica] }, 24)), [replica]);
        // A process that does not tell its start counts its reports anew.
        const reported = { ...replica, slots: 2, sequence: 1 };
        assert.deepEqual(changed(proxy.receive({ kind: "databases", reports: [reported] }, 30)), [reported]);
    });

    it("do not bring back a database that has left", () => {
        const proxy = new Proxy();
        proxy.receive({ kind: "database_left", databaseId: "d1", bornUnixMs: 1_000 }, 0);
        assert.deepEqual(changed(proxy.receive({ kind: "remembered", reports: [primary] }, 24)), []);
    });

    it("are forgotten by a proxy if they have not reported, and accepted if they report later", () => {
        const proxy = new Proxy();
        proxy.receive({ kind: "remembered", reports: [primary, replica] }, 0);
        proxy.receive({ kind: "databases", reports: [{ ...replica, sequence: 9 }] }, 900);
        const ended = proxy.pipe.process({ kind: FleetKind.RecallEnded }, recallLimitMs);
        assert.deepEqual(ended, [{ kind: FleetKind.DatabaseRemoved, databaseId: "d1" }]);
        assert.deepEqual(changed(proxy.receive({ kind: "databases", reports: [primary] }, 40_000)), [primary]);
    });

    it("are asked of one member after another until one of them names some", () => {
        const proxy = new Proxy();
        assert.deepEqual(sentFrames(proxy.receive(status, 0, "out0")), ["remembered_asked"]);
        assert.deepEqual(sentFrames(proxy.receive(status, 20, "out1")), []);
        assert.deepEqual(sentFrames(proxy.receive(status, 120, "out2")), ["remembered_asked"]);
        proxy.receive({ kind: "remembered", reports: [primary] }, 144, "out2");
        assert.deepEqual(sentFrames(proxy.receive(status, 300, "out3")), []);
    });

    it("are written a second after a change, with those that have not reported yet", () => {
        const restart = new Restart([primary, replica]);
        restart.report({ ...replica, sequence: 9 });
        restart.report({ ...replica, databaseId: "d3", address: "10.0.0.3:80" });
        assert.equal(restart.lists.length, 0);
        restart.advance(1_000);
        assert.deepEqual(restart.lists.map(reports => reports.map(({ databaseId }) => databaseId)), [
            ["d2", "d3", "d1"],
        ]);
    });

    it("are not written again after the limit, so that a further restart does not bring back one that is gone", () => {
        const restart = new Restart([primary, replica]);
        restart.report({ ...replica, sequence: 9 });
        restart.advance(recallLimitMs);
        assert.deepEqual(restart.lists.at(-1)!.map(({ databaseId }) => databaseId), ["d2"]);
        const silent = new Restart([primary]);
        silent.advance(recallLimitMs);
        assert.deepEqual(silent.lists, [[]]);
    });

    it("are not written again once they have left, also without another change", () => {
        const restart = new Restart([primary, replica]);
        restart.leave("d1", 1_000);
        restart.advance(1_000);
        assert.deepEqual(restart.lists, [[replica]]);
        restart.memberHears({ kind: "database_left", databaseId: "d2", bornUnixMs: 1_000 });
        restart.advance(1_000);
        assert.deepEqual(restart.lists.at(-1), []);
    });

    it("cause no write when a database leaves of which the list knows nothing", () => {
        const restart = new Restart([]);
        restart.leave("d1", 1_000);
        restart.advance(recallLimitMs);
        assert.deepEqual(restart.lists, []);
    });
});
