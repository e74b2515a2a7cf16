import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Command, CommandKind, ProposalStatus } from "../../model/controlMessages.ts";
import { ResourceKind } from "../../model/lease.ts";
import { RepeatPolicy } from "../../model/workClass.ts";
import { applyCommand } from "../applyCommand.ts";
import { applyDelta, diffConfigurations } from "../configurationDelta.ts";
import {
    type ControlState,
    emptyControlState,
    fromSnapshotRecords,
    maximumRememberedOperations,
    toSnapshotRecords,
} from "../controlState.ts";

const seed = 20_261_204;
const sha = "0123456789abcdef0123456789abcdef01234567";

function workspace(expectedVersion: number, ratePerSecond = 10, burst = 10, name = "w"): Command {
    return {
        kind: CommandKind.SetWorkspace,
        expectedVersion,
        workspace: { name, ratePerSecond, burst, keyValidityMs: 1 },
    };
}

function key(expectedVersion: number, id = "k"): Command {
    return { kind: CommandKind.IssueKey, expectedVersion, key: { id, workspace: "w", doubleSha1Hex: sha } };
}

function shares(workspaceVersion: number, ...rates: number[]): Command {
    const list = rates.map((ratePerSecond, index) => ({
        workspace: "w",
        dataCentre: `d${index}`,
        ratePerSecond,
        burst: ratePerSecond,
    }));
    return { kind: CommandKind.SetRateShares, workspace: "w", workspaceVersion, shares: list };
}

function lease(epoch: number, resourceId = "db"): Command {
    const holder = { instanceId: "i", instanceAddress: "127.0.0.1:1" };
    return {
        kind: CommandKind.AssignLeases,
        assignments: [{ resource: ResourceKind.Database, resourceId, ...holder, epoch }],
    };
}

function group(expectedTerm: number, term: number, primaryId = "a"): Command {
    const body = { groupId: "g", service: "s", term, primaryId, memberIds: ["a", "b"] };
    return { kind: CommandKind.SetGroup, expectedTerm, group: body };
}

function run(...commands: readonly Command[]): { readonly state: ControlState; readonly statuses: readonly string[]; } {
    let state = emptyControlState;
    const statuses = commands.map((command, index) => {
        const applied = applyCommand(state, index + 1, "", command);
        state = applied.state;
        return applied.result.status;
    });
    return { state, statuses };
}

const { Applied, Conflict, Invalid } = ProposalStatus;

describe("applyCommand", () => {
    it("accepts a change only from the current version, and continues versions after a removal", () => {
        const remove: Command = { kind: CommandKind.RemoveWorkspace, name: "w", expectedVersion: 2 };
        const { state, statuses } = run(workspace(0), workspace(0), workspace(1), remove, workspace(0), workspace(1));
        assert.deepEqual(statuses, [Applied, Conflict, Applied, Applied, Applied, Conflict]);
        assert.equal(state.configuration.workspaces[0]!.version, 3);
        assert.equal(state.configuration.version, 5);
    });

    it("never issues the id of a withdrawn key again, also not from a snapshot", () => {
        const withdraw: Command = { kind: CommandKind.WithdrawKey, id: "k", expectedVersion: 1 };
        const { state, statuses } = run(workspace(0), key(0), withdraw, key(0));
        assert.deepEqual(statuses, [Applied, Applied, Applied, Invalid]);
        const restored = fromSnapshotRecords(toSnapshotRecords(state), state.configuration.version);
        assert.equal(applyCommand(restored, 9, "", key(0)).result.status, Invalid);
    });

    it("keeps a workspace that keys still use", () => {
        const remove: Command = { kind: CommandKind.RemoveWorkspace, name: "w", expectedVersion: 1 };
        assert.deepEqual(run(workspace(0), key(0), remove).statuses, [Applied, Applied, Invalid]);
    });

    it("never lowers a term and changes a primary only with a new term", () => {
        const { statuses } = run(group(0, 3), group(0, 4), group(3, 2), group(3, 3, "b"), group(3, 4, "b"));
        assert.deepEqual(statuses, [Applied, Conflict, Invalid, Invalid, Applied]);
    });

    it("assigns a lease only in the next epoch, and all assignments of a command or none", () => {
        assert.deepEqual(run(lease(1), lease(1), lease(3), lease(2)).statuses, [Applied, Conflict, Conflict, Applied]);
        const both = {
            ...lease(1),
            assignments: [lease(1, "x"), lease(2, "y")].flatMap(one => "assignments" in one ? one.assignments : []),
        };
        const { state, statuses } = run(both as Command);
        assert.deepEqual([statuses, state.configuration.leases], [[Conflict], []]);
    });

    it("refuses shares above the rate or for another version of the workspace", () => {
        const { statuses } = run(workspace(0), shares(1, 5, 6), shares(2, 5), shares(1, 5, 5));
        assert.deepEqual(statuses, [Applied, Invalid, Conflict, Applied]);
    });

    it("keeps the sum of shares within rate and burst whatever changes follow", () => {
        const rate = fc.double({ min: 1, max: 1e6, noNaN: true });
        const step = fc.oneof(
            fc.tuple(rate, rate).map(([ratePerSecond, burst]) => ({ ratePerSecond, burst })),
            fc.array(rate, { maxLength: 5 }),
        );
        fc.assert(
            fc.property(fc.array(step, { maxLength: 12 }), steps => {
                let state = run(workspace(0)).state;
                steps.forEach((one, index) => {
                    const { version } = state.configuration.workspaces[0]!;
                    const command = Array.isArray(one)
                        ? shares(version, ...one)
                        : workspace(version, one.ratePerSecond, one.burst);
                    state = applyCommand(state, index + 2, "", command).state;
                    const { workspaces: [found], rateShares } = state.configuration;
                    const sum = (field: "ratePerSecond" | "burst") =>
                        rateShares.reduce((total, share) => total + share[field], 0);
                    assert.ok(sum("ratePerSecond") <= found!.ratePerSecond * (1 + 1e-8));
                    assert.ok(sum("burst") <= found!.burst * (1 + 1e-8));
                });
            }),
            { seed, numRuns: 500 },
        );
    });

    it("refuses malformed fields with a text that names the field, and survives commands of any form", () => {
        const bad: readonly [Command, RegExp][] = [
            [workspace(0, 0), /rate per second/],
            [workspace(0, Number.NaN), /rate per second/],
            [workspace(0, 1, Infinity), /burst/],
            [workspace(0, 1, 1, "a b"), /workspace name/],
            [workspace(0, 1, 1, "x".repeat(65)), /workspace name/],
            [key(0), /workspace "w" does not exist/],
            [lease(1, "a@b@c"), /resource id/],
            [group(0, 1.5), /term/],
            [{
                kind: CommandKind.SetWorkClass,
                expectedVersion: 0,
                workClass: {
                    name: "c",
                    maximumAgeMs: -1,
                    waitingMs: 0,
                    repeat: RepeatPolicy.Reads,
                    objectiveShare: 0.9,
                },
            }, /maximum age/],
        ];
        for (const [command, text] of bad) {
            const { result, state } = applyCommand(emptyControlState, 1, "", command);
            assert.equal(result.status, Invalid);
            assert.match(result.detail, text);
            assert.equal(state, emptyControlState);
        }
        const kind = fc.constantFrom(...Object.values(CommandKind), "other");
        const junk = fc.tuple(kind, fc.object()).map(([found, fields]) => ({ ...fields, kind: found }));
        fc.assert(
            fc.property(junk, command => {
                const { status } = applyCommand(emptyControlState, 1, "", command as unknown as Command).result;
                assert.notEqual(status, Applied);
            }),
            { seed, numRuns: 1_000 },
        );
    });

    it("returns the first result of an operation and remembers a bounded number of them", () => {
        const first = applyCommand(emptyControlState, 1, "o", workspace(0));
        const again = applyCommand(first.state, 2, "o", workspace(0));
        assert.deepEqual(again, { state: first.state, result: first.result });
        let state = first.state;
        for (let index = 0; index < maximumRememberedOperations; index++) {
            state = applyCommand(state, index + 3, `o${index}`, key(1, "none")).state;
        }
        assert.equal(state.operations.size, maximumRememberedOperations);
    });
});

describe("configuration delta", () => {
    const name = fc.constantFrom("a", "b", "c");
    const command = fc.oneof(
        fc.tuple(name, fc.nat(2)).map(([one, version]) => workspace(version, 5, 5, one)),
        fc.tuple(name, fc.nat(2)).map(([one, expectedVersion]): Command => ({
            kind: CommandKind.RemoveWorkspace,
            name: one,
            expectedVersion,
        })),
        fc.tuple(name, fc.nat(3)).map(([one, epoch]) => lease(epoch, one)),
    );

    it("leads from any version to any later one, and refuses every other start", () => {
        fc.assert(
            fc.property(fc.array(command, { maxLength: 30 }), fc.nat(), (commands, pick) => {
                const states = [emptyControlState];
                commands.forEach((one, index) => states.push(applyCommand(states.at(-1)!, index + 1, "", one).state));
                const before = states[pick % states.length]!.configuration;
                const after = states.at(-1)!.configuration;
                const delta = diffConfigurations(before, after);
                if (after.version > before.version) {
                    assert.deepEqual(applyDelta(before, delta), after);
                }
                for (const { configuration } of states) {
                    if (configuration.version !== before.version) {
                        assert.equal(applyDelta(configuration, delta), undefined);
                    }
                }
            }),
            { seed, numRuns: 500 },
        );
    });
});
