import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HmacSessionTokenCodec } from "../../frontend/sessionTokenCodec.ts";
import { type CallerAnswer, CallerKind } from "../../model/callerMessages.ts";
import { CommandKind, ControlKind } from "../../model/controlMessages.ts";
import { HealthKind } from "../../model/healthMessages.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import { type StorageAppend, StorageKind } from "../../model/storageMessages.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Message } from "../../pipeline/message.ts";
import type { Sink } from "../../pipeline/sink.ts";
import { replayTrace, type TraceLine, TraceLineKind, TraceRecorder } from "../../pipeline/trace.ts";
import { VirtualClock } from "../../pipeline/virtualClock.ts";
import { buildPipes, type PipeOptions } from "../buildPipes.ts";
import { replayRecordedRun } from "../replayRun.ts";

const clusterSecret = "a secret for the specs";
const digest = "0123456789012345678901234567890123456789";

const options: PipeOptions = {
    instanceId: "e1",
    incarnation: "a1",
    dataCentre: "north",
    rpcAddress: "127.0.0.1:4000",
    controlMembers: [{ instanceId: "e1", address: "127.0.0.1:4000" }],
    memberIncarnation: "b1",
    initialCommands: [
        {
            kind: CommandKind.SetWorkspace,
            expectedVersion: 0,
            workspace: { name: "shop", ratePerSecond: 10, burst: 10, keyValidityMs: 10_000 },
        },
        { kind: CommandKind.IssueKey, expectedVersion: 0, key: { id: "k1", workspace: "shop", doubleSha1Hex: digest } },
    ],
    seed: 7,
    maximumConnections: 10,
    maximumStatementBytes: 10_000,
    statementLimitMs: 30_000,
    confirmationLimitMs: 2_000,
};

/** Collects all messages that leave the pipes, and completes each write to the disk at once. */
class ExternalSink implements Sink {
    readonly accepts = [
        CallerKind.LoginResult,
        CallerKind.Answer,
        CallerKind.Disconnect,
        HealthKind.HeartbeatSend,
        StorageKind.Append,
        "log.send",
        "feed.send",
        ControlKind.ProposalEnded,
        ControlKind.LeaderChanged,
        "cluster.configuration_applied",
        "cluster.configuration_proved",
        "cluster.leases_renewed",
        "cluster.databases_changed",
    ];
    readonly delivered: Message[] = [];
    post: (message: Message) => void = () => undefined;

    deliver(message: Message): void {
        this.delivered.push(message);
        if (message.kind === StorageKind.Append) {
            this.post({ kind: StorageKind.AppendDone, writeId: (message as StorageAppend).writeId } as Message);
        }
    }
}

/** Records a run in which a key is issued, used, and withdrawn while its caller is connected. */
function recordRun(): { readonly lines: readonly TraceLine[]; readonly delivered: readonly Message[]; } {
    const lines: TraceLine[] = [];
    const clock = new VirtualClock();
    const externalSink = new ExternalSink();
    const secrets = { verifier: { verify: () => true }, tokens: new HmacSessionTokenCodec(clusterSecret) };
    const loop = new EventLoop({
        clock,
        pipes: buildPipes(options, secrets),
        sinks: [externalSink],
        observers: [new TraceRecorder(options, line => lines.push(line))],
    });
    externalSink.post = message => loop.post(message);
    const post = (message: Message & Record<string, unknown>, atMs: number): void => {
        clock.advanceTo(atMs);
        loop.post(message);
        clock.advanceTo(atMs + 1);
    };
    const recovered = { incarnation: "b1", term: 0, votedFor: undefined, snapshot: undefined, entries: [] };
    post({ kind: StorageKind.Recovered, ...recovered }, 0);
    clock.advanceTo(5_000);
    post({ kind: "cluster.configuration_proved", version: 0, provedAtMs: 5_000 }, 5_000);
    const caller = { connectionId: 1 };
    post({ kind: CallerKind.Connected, ...caller, remoteAddress: "" }, 5_001);
    const login = { keyId: "k1", service: "orders", challengeHex: "00", proofHex: "secret proof" };
    post({ kind: CallerKind.Login, ...caller, ...login }, 5_002);
    post({ kind: CallerKind.Statement, ...caller, sequence: 0, text: "SHOW JASMINELINE SESSION" }, 5_003);
    post({ kind: CallerKind.Statement, ...caller, sequence: 1, text: "SELECT 1" }, 5_004);
    const command = { kind: CommandKind.WithdrawKey, expectedVersion: 1, id: "k1" };
    post({ kind: ControlKind.Propose, proposalId: "p", operationId: "op", command }, 5_100);
    clock.advanceTo(9_000);
    return { lines, delivered: externalSink.delivered };
}

describe("replay of a recorded run", () => {
    const { lines, delivered } = recordRun();

    it("records a run in which a key works until it is withdrawn, and its caller is then disconnected", () => {
        const answers = delivered.filter(message => message.kind === CallerKind.Answer) as CallerAnswer[];
        assert.equal(answers[0]?.outcome.kind, OutcomeKind.Rows);
        assert.ok(delivered.some(message => message.kind === CallerKind.Disconnect));
    });

    it("makes the same decisions, so that a trace explains what happened", () => {
        const result = replayRecordedRun((lines[0] as { options: unknown; }).options, lines, clusterSecret);
        assert.equal(result.difference, undefined);
        assert.ok(result.outputs > 50);
    });

    it("reports the first decision that differs", () => {
        const index = lines.findIndex(line =>
            line.line === TraceLineKind.Output && line.message.includes("session_token")
        );
        const line = lines[index] as Extract<TraceLine, { readonly line: "output"; }>;
        const changed = lines.with(index, { ...line, message: line.message.replace("session_token", "token") });
        const result = replayRecordedRun((lines[0] as { options: unknown; }).options, changed, clusterSecret);
        assert.equal(result.difference?.lineNumber, index + 1);
        assert.deepEqual(replayTrace([], []), { events: 0, outputs: 0, difference: undefined });
    });

    it("contains no proof or digest of a key", () => {
        const text = JSON.stringify(lines);
        assert.ok(!text.includes(digest) && !text.includes("secret proof") && !text.includes(clusterSecret));
    });
});
