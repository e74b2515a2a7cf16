import {
    array,
    assert as check,
    boolean,
    constant,
    constantFrom,
    integer,
    jsonValue,
    oneof,
    property,
    record,
    uint8Array,
} from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { controlFilters } from "../../control/controlPipe.ts";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { ControlKind } from "../../model/controlMessages.ts";
import { FeedKind } from "../../model/feedMessages.ts";
import { LogKind, type PeerMessage } from "../../model/logMessages.ts";
import { EntryKind, ObjectList, RecordKind } from "../../model/replicatedLog.ts";
import { type StorageAppend, StorageKind, type StorageRecovered } from "../../model/storageMessages.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { VirtualClock } from "../../pipeline/virtualClock.ts";
import type { AppendCall, SnapshotCall, VoteCall } from "../generated/log.ts";
import { decodeAppendCall, decodeSnapshotCall, decodeVoteCall, encodeJson } from "../logCodec.ts";

const seed = 20261207;
const numRuns = Number(process.env["MALFORMED_FRAME_RUNS"] ?? 3_000);

const members = ["a", "b", "c"].map(memberId => ({ memberId, incarnation: "1", address: `${memberId}:1` }));
const [self, leader] = members as [typeof members[number], typeof members[number]];

const heads = constantFrom(
    { from: leader, to: self, term: 2 },
    { from: leader, to: self, term: 3 },
    { from: { memberId: "", incarnation: "", address: "" }, to: self, term: 9 },
    { from: leader, to: undefined, term: 1 },
    undefined,
);
const small = oneof(integer({ min: 0, max: 6 }), constant(Number.MAX_SAFE_INTEGER));
const values = oneof(
    jsonValue(),
    constantFrom(
        { kind: EntryKind.NoOp },
        { kind: EntryKind.Members },
        { kind: EntryKind.Members, members: [undefined] },
        { kind: EntryKind.Members, members },
        { kind: EntryKind.Command, operationId: "o" },
        { kind: EntryKind.Command, operationId: "o", command: { kind: "set_group" } },
        { kind: "of a later release" },
        { kind: RecordKind.Object, object: { list: "of a later release", value: {} } },
        { kind: RecordKind.Retired, objectId: "keys/k", version: 1 },
        { kind: RecordKind.Operation, operationId: "o", result: undefined },
    ),
    record({
        kind: constant(RecordKind.Object),
        object: record({
            list: constantFrom(...Object.values(ObjectList)),
            value: oneof(jsonValue(), constant({ service: "s", databases: 5 }), constant({ groupId: "g" })),
        }),
    }),
);
const bodies = oneof({ arbitrary: values.map(encodeJson), weight: 4 }, uint8Array({ maxLength: 12 }).map(Buffer.from));

const calls = oneof(
    record({ head: heads, preVote: boolean(), lastIndex: small, lastTerm: small }).map(call =>
        decodeVoteCall.bind(undefined, call as VoteCall, "v")
    ),
    record({
        head: heads,
        previousIndex: small,
        previousTerm: small,
        commitIndex: small,
        entries: array(record({ index: small, term: small, body: bodies }), { maxLength: 3 }),
    }).map(call => decodeAppendCall.bind(undefined, call as AppendCall, "a")),
    record({
        head: heads,
        lastIndex: small,
        lastTerm: small,
        members: constantFrom(members, []),
        version: small,
        offset: integer({ min: 0, max: 2 }),
        records: array(bodies, { maxLength: 2 }),
        last: boolean(),
    }).map(call => decodeSnapshotCall.bind(undefined, call as SnapshotCall, "s")),
);

/** Control member "a", which has committed nothing. */
class Follower {
    private readonly clock = new VirtualClock();
    private readonly loop: EventLoop;

    constructor() {
        const effects = [
            ClusterKind.ConfigurationApplied,
            ControlKind.LeaderChanged,
            ControlKind.ProposalEnded,
            ControlKind.MembersAgreed,
            FeedKind.Send,
            LogKind.Send,
        ];
        const filters = controlFilters({ self, initialMembers: members, random: new SeededRandom(1) });
        this.loop = new EventLoop({
            clock: this.clock,
            pipes: [new Pipe("control", filters)],
            sinks: [
                { accepts: effects, deliver: () => undefined },
                {
                    accepts: [StorageKind.Append],
                    deliver: message => {
                        const { writeId } = message as StorageAppend;
                        this.loop.post({ kind: StorageKind.AppendDone, writeId } as Message);
                    },
                },
            ],
        });
        const recovered = { incarnation: "1", term: 2, votedFor: undefined, snapshot: undefined };
        const entries = [{ index: 1, term: 1, body: { kind: EntryKind.Members, members } }];
        this.post({ kind: StorageKind.Recovered, ...recovered, entries } as StorageRecovered);
    }

    /** @throws whatever a filter throws; in a process, this ends it */
    post(message: Message): void {
        this.loop.post(message);
        this.clock.advanceTo(this.clock.nowMs() + 1);
    }
}

/** Undefined if the call is refused. */
function decodeOrRefuse(decode: () => PeerMessage): PeerMessage | undefined {
    try {
        return decode();
    }
    catch {
        return undefined;
    }
}

describe("malformed calls between control members", () => {
    it("end no member: each is refused or passes through the control pipe", () => {
        check(
            property(array(calls, { minLength: 1, maxLength: 4 }), decoders => {
                const follower = new Follower();
                decoders.map(decodeOrRefuse).filter(message => message !== undefined).forEach(message =>
                    follower.post(message)
                );
            }),
            { seed, numRuns },
        );
    });

    it("are refused without a part of their content, which may hold the text of a caller", () => {
        const head = { from: leader, to: self, term: 2 };
        const body = Buffer.from("secret-of-a-caller");
        const call = {
            head,
            previousIndex: 0,
            previousTerm: 0,
            commitIndex: 0,
            entries: [{ index: 1, term: 2, body }],
        };
        assert.throws(() => decodeAppendCall(call, "a"), { message: "a body of 18 bytes is not valid JSON" });
    });
});
