import * as fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Command, CommandKind, ProposalStatus } from "../../model/controlMessages.ts";
import { UpdateKind } from "../../model/feedMessages.ts";
import { ObjectList } from "../../model/replicatedLog.ts";
import { requireSnapshotRecord } from "../../model/replicatedLogSchema.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { decodeUpdate, encodeUpdate } from "../../rpc/configurationCodec.ts";
import { ConfigurationUpdate } from "../../rpc/generated/control.ts";
import { applyCommand } from "../applyCommand.ts";
import { applyDelta, diffConfigurations } from "../configurationDelta.ts";
import { type ControlState, emptyControlState, fromSnapshotRecords, toSnapshotRecords } from "../controlState.ts";
import { FakeCluster } from "./fakeCluster.ts";

const clusterRuns = Number(process.env["EVACUATION_CLUSTER_RUNS"] ?? 6);

function begin(dataCentre: string, orderedBy = "operator"): Command {
    return { kind: CommandKind.BeginEvacuation, evacuation: { dataCentre, orderedBy, orderedAtUnixMs: 5 } };
}

function end(dataCentre: string): Command {
    return { kind: CommandKind.EndEvacuation, dataCentre };
}

function apply(state: ControlState, index: number, command: Command): ControlState {
    return applyCommand(state, index, "", command).state;
}

function restored(state: ControlState): ControlState {
    const records = toSnapshotRecords(state).map(record => requireSnapshotRecord(JSON.parse(JSON.stringify(record))));
    return fromSnapshotRecords(records, state.configuration.version);
}

function dataCentresOf({ configuration }: Pick<ControlState, "configuration">): readonly string[] {
    return configuration.evacuations.map(({ dataCentre }) => dataCentre);
}

describe("evacuations in the replicated state", () => {
    it("keep who ordered them first, and change nothing when they are ordered again", () => {
        const begun = apply(emptyControlState, 1, begin("a", "first"));
        const again = applyCommand(begun, 2, "", begin("a", "second"));
        assert.equal(again.state, begun);
        assert.equal(again.result.status, ProposalStatus.Conflict);
        const [evacuation] = begun.configuration.evacuations;
        assert.deepEqual(evacuation, { dataCentre: "a", orderedBy: "first", orderedAtUnixMs: 5, version: 1 });
        const ended = apply(begun, 3, end("a"));
        const endedAgain = applyCommand(ended, 4, "", end("a"));
        assert.equal(endedAgain.state, ended);
        assert.equal(endedAgain.result.status, ProposalStatus.Conflict);
        assert.equal(apply(ended, 5, begin("a")).configuration.evacuations[0]!.version, 2);
    });

    it("refuse malformed commands", () => {
        const odd: readonly unknown[] = [
            begin(""),
            begin("x".repeat(257)),
            begin("a", ""),
            end(""),
            { kind: CommandKind.BeginEvacuation },
            { kind: CommandKind.EndEvacuation, dataCentre: 5 },
            {
                kind: CommandKind.BeginEvacuation,
                evacuation: { dataCentre: "a", orderedBy: "o", orderedAtUnixMs: NaN },
            },
        ];
        for (const command of odd) {
            const { state, result } = applyCommand(emptyControlState, 1, "", command as Command);
            assert.equal(result.status, ProposalStatus.Invalid, JSON.stringify(command));
            assert.equal(state, emptyControlState);
        }
    });

    it("are what the last order of each data centre says, with snapshots and the feed in between", () => {
        const order = fc.record({
            dataCentre: fc.constantFrom("a", "b", "é /", "__proto__"),
            begins: fc.boolean(),
            restores: fc.boolean(),
        });
        fc.assert(fc.property(fc.array(order, { maxLength: 30 }), orders => {
            let state = emptyControlState;
            let followed = state.configuration;
            const expected = new Set<string>();
            orders.forEach(({ dataCentre, begins, restores }, position) => {
                const before = state.configuration;
                state = apply(state, position + 1, begins ? begin(dataCentre) : end(dataCentre));
                if (begins) {
                    expected.add(dataCentre);
                }
                else {
                    expected.delete(dataCentre);
                }
                if (state.configuration !== before) {
                    const update = decodeUpdate(encodeUpdate(diffConfigurations(before, state.configuration)));
                    assert.equal(update.kind, UpdateKind.Delta);
                    followed = applyDelta(followed, update as never)!;
                }
                if (restores) {
                    const snapshot = { kind: UpdateKind.Snapshot, configuration: state.configuration };
                    assert.deepEqual(decodeUpdate(encodeUpdate(snapshot)), snapshot);
                    state = restored(state);
                }
                assert.deepEqual(new Set(dataCentresOf(state)), expected);
                assert.deepEqual(followed.evacuations, state.configuration.evacuations);
            });
        }));
    });

    it("travel in fields of the feed that earlier releases skip", () => {
        // They refuse an update that names a list which they do not know, and would follow no configuration any more.
        const begun = apply(emptyControlState, 1, begin("a"));
        const updates = [
            diffConfigurations(emptyControlState.configuration, begun.configuration),
            diffConfigurations(begun.configuration, apply(begun, 2, end("a")).configuration),
            { kind: UpdateKind.Snapshot, configuration: begun.configuration },
        ];
        for (const update of updates) {
            const bytes = Buffer.concat(encodeUpdate(update).map(({ content }) => content));
            const { delta, snapshot } = ConfigurationUpdate.decode(bytes);
            const lists = [...delta?.upserts ?? [], ...delta?.removals ?? [], ...snapshot?.objects ?? []];
            assert.deepEqual(lists, []);
        }
    });

    it("of lists that a later release adds are skipped in turn", () => {
        const later = [{ list: "of_a_later_release", body: Buffer.from("{}") }];
        const message = {
            snapshot: undefined,
            delta: {
                fromVersion: 1,
                toVersion: 2,
                upserts: [],
                removals: [],
                laterUpserts: later,
                laterRemovals: [{ list: "of_a_later_release", objectId: "x" }],
            },
        };
        const content = Buffer.from(ConfigurationUpdate.encode(message).finish());
        assert.deepEqual(decodeUpdate([{ content, last: true }]), {
            kind: UpdateKind.Delta,
            fromVersion: 1,
            toVersion: 2,
            upserts: [],
            removals: [],
        });
    });

    it("are read from snapshots of the release before, which have none", () => {
        const state = apply(emptyControlState, 1, {
            kind: CommandKind.SetWorkspace,
            expectedVersion: 0,
            workspace: { name: "w", ratePerSecond: 1, burst: 1, keyValidityMs: 0 },
        });
        const records = toSnapshotRecords(state);
        assert.ok(!JSON.stringify(records).includes(ObjectList.Evacuations));
        assert.deepEqual(dataCentresOf(fromSnapshotRecords(records, 1)), []);
    });
});

describe("an acknowledged evacuation", () => {
    for (let seed = 1; seed <= clusterRuns; seed++) {
        it(`survives all crashes, two lost disks and a turn of the members (seed ${seed})`, () => {
            const cluster = new FakeCluster(6, seed, { seedCount: 3, faultTolerance: 2, snapshotEntries: 16 });
            const random = new SeededRandom(seed);
            const propose = (name: string, command: Command): void => {
                let attempt = 0;
                cluster.runUntil(`acknowledgement of ${name}`, () => {
                    const results = cluster.results.get(`${name}${attempt}`);
                    const isDone = results?.some(({ status }) =>
                        status === ProposalStatus.Applied || status === ProposalStatus.Conflict
                    );
                    if (isDone === true) {
                        return true;
                    }
                    const leader = cluster.leader();
                    if (leader !== undefined && (attempt === 0 || results !== undefined)) {
                        cluster.propose(leader.memberId, `${name}${++attempt}`, "", command);
                    }
                    return false;
                });
            };
            cluster.runUntil("all members", () => cluster.allNodesAreMembers());
            propose("b", begin("b"));
            propose("begin", begin("a"));
            propose("end", end("b"));
            const ids = [...cluster.nodes.keys()];
            // Right after the acknowledgement; the answer promises that any two disks may be lost now.
            ids.forEach(id => cluster.losePower(id));
            const first = random.nextInteger(ids.length);
            const lost = [ids[first]!, ids[(first + 1 + random.nextInteger(ids.length - 1)) % ids.length]!];
            lost.forEach(id => cluster.eraseDisk(id));
            ids.forEach(id => cluster.start(id));
            cluster.runUntil("a leader after the loss", () => cluster.leader() !== undefined, 60_000);
            cluster.runUntil("all members after the loss", () => cluster.allNodesAreMembers(), 60_000);
            assert.deepEqual(dataCentresOf({ configuration: cluster.leader()!.configuration! }), ["a"]);
            for (const id of ids) {
                cluster.losePower(id);
                cluster.eraseDisk(id);
                cluster.start(id);
                cluster.runUntil(`${id} with an empty disk`, () => cluster.allNodesAreMembers(), 60_000);
                for (let change = 0; change < 20; change++) {
                    propose(`fill/${id}/${change}`, begin(`x${change}`));
                }
            }
            const configurations = [...cluster.nodes.values()].map(({ configuration }) => configuration!);
            configurations.forEach(configuration =>
                assert.ok(dataCentresOf({ configuration }).includes("a"), "a member does not know of it")
            );
        });
    }
});
