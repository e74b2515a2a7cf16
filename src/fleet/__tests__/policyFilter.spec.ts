import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { applyCommand } from "../../control/applyCommand.ts";
import { emptyControlState } from "../../control/controlState.ts";
import { ClusterKind, type ConfigurationApplied } from "../../model/clusterMessages.ts";
import { type Command, CommandKind } from "../../model/controlMessages.ts";
import type { ConfigurationDocument, DocumentDecoder } from "../../model/document.ts";
import { FleetKind, type PolicyApplied } from "../../model/fleetMessages.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import { PolicyFilter } from "../policyFilter.ts";

const undecodableVersion = 13;

const decoder: DocumentDecoder = {
    decode: ({ documentVersion }: ConfigurationDocument) => {
        if (documentVersion === undecodableVersion) {
            throw new Error("of a later release");
        }
        return { policy: { ...emptyTrafficPolicy, version: documentVersion }, omittedEntries: [] };
    },
};

function begin(dataCentre: string): Command {
    return { kind: CommandKind.BeginEvacuation, evacuation: { dataCentre, orderedBy: "o", orderedAtUnixMs: 1 } };
}

function put(documentVersion: number, baseVersion: number): Command {
    const head = { documentVersion, sections: [] };
    return { kind: CommandKind.PutDocument, head, baseVersion, upserts: [], removals: [] };
}

describe("the policy", () => {
    it("names the evacuated data centres, whatever else changes meanwhile", () => {
        const filter = new PolicyFilter(decoder);
        let state = emptyControlState;
        let index = 0;
        const published = (command: Command): readonly [number, ...string[]] | undefined => {
            state = applyCommand(state, ++index, "", command).state;
            const { configuration } = state;
            const applied: ConfigurationApplied = { kind: ClusterKind.ConfigurationApplied, configuration };
            const policy = filter.process(applied).find(({ kind }) => kind === FleetKind.PolicyApplied);
            const { policy: { version }, evacuated } = (policy ?? { policy: {} }) as PolicyApplied;
            return policy === undefined ? undefined : [version, ...evacuated!];
        };
        assert.equal(published(begin("a")), undefined, "a policy without a document");
        assert.deepEqual(published(put(1, 0)), [1, "a"]);
        assert.equal(published(begin("a")), undefined);
        assert.deepEqual(published(begin("b")), [1, "a", "b"]);
        assert.equal(published({ kind: CommandKind.ReservePromotion, service: "s", expectedFence: 0 }), undefined);
        const order = { service: "s", fence: 1, databaseId: "d" };
        assert.deepEqual(published({ kind: CommandKind.RecordPromotionOrder, ...order }), [1, "a", "b"]);
        // A document that cannot be decoded leaves the last one in force, and does not withhold an order.
        assert.deepEqual(published(put(undecodableVersion, 1)), [1, "a", "b"]);
        assert.deepEqual(published({ kind: CommandKind.EndEvacuation, dataCentre: "a" }), [1, "b"]);
        assert.deepEqual(published(put(14, undecodableVersion)), [14, "b"]);
        assert.deepEqual(published({ kind: CommandKind.EndEvacuation, dataCentre: "b" }), [14]);
    });

    it("names the promotion of each order, also when the same database is ordered again", () => {
        // Guards against an instance that withholds the commits of a database because it knows an earlier order for it alone.
        const filter = new PolicyFilter(decoder);
        let state = emptyControlState;
        let index = 0;
        const published = (command: Command): number | undefined => {
            state = applyCommand(state, ++index, "", command).state;
            const { configuration } = state;
            const applied: ConfigurationApplied = { kind: ClusterKind.ConfigurationApplied, configuration };
            const policy = filter.process(applied).find(({ kind }) => kind === FleetKind.PolicyApplied);
            return (policy as PolicyApplied | undefined)?.orderedFences?.get("s");
        };
        const order = { kind: CommandKind.RecordPromotionOrder, service: "s", databaseId: "d" };
        published({ kind: CommandKind.ReservePromotion, service: "s", expectedFence: 0 });
        assert.equal(published({ ...order, fence: 1 }), 1);
        assert.equal(published({ kind: CommandKind.ReservePromotion, service: "s", expectedFence: 1 }), undefined);
        assert.equal(published({ ...order, fence: 2 }), 2);
    });
});
