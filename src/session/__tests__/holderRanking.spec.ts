import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PeerInstance } from "../../model/peerMessages.ts";
import { HolderRanking } from "../holderRanking.ts";

/** Planned size of the fleet, from docs/CAPACITY.md. */
const plannedSize = { instances: 470, dataCentres: 7, databases: 660 };

const instances = Array.from({ length: plannedSize.instances }, (_, index): PeerInstance => ({
    instanceId: `front${index}`,
    address: `10.0.${index >> 8}.${index & 255}:9000`,
    dataCentre: `dc${index % plannedSize.dataCentres}`,
}));

const databases = Array.from({ length: plannedSize.databases }, (_, index) => ({
    databaseId: `db${index}`,
    dataCentre: `dc${index % plannedSize.dataCentres}`,
}));

function rankingOf(known: readonly PeerInstance[]): HolderRanking {
    const holderRanking = new HolderRanking();
    holderRanking.setInstances(known);
    return holderRanking;
}

function holderIds(holderRanking: HolderRanking): readonly (string | undefined)[] {
    return databases.map(({ databaseId, dataCentre }) => holderRanking.rank(databaseId, dataCentre)[0]?.instanceId);
}

describe("ranking of holders", () => {
    it("is the same for the same list of instances in any order", () => {
        const reordered = rankingOf(instances.slice(100));
        reordered.setInstances([...instances].reverse());
        assert.deepEqual(holderIds(reordered), holderIds(rankingOf(instances)));
    });

    it("contains only instances of the data centre of the database, and is empty without any", () => {
        const holderRanking = rankingOf(instances);
        const inOtherDataCentres = databases.filter(({ databaseId, dataCentre }) =>
            holderRanking.rank(databaseId, dataCentre).some(instance => instance.dataCentre !== dataCentre)
        );
        assert.deepEqual(inOtherDataCentres, []);
        assert.deepEqual(holderRanking.rank("db0", "dc9"), []);
    });

    it("moves only the databases of an instance that leaves, to the next one in their rankings", () => {
        const holderRanking = rankingOf(instances);
        const before = databases.map(({ databaseId, dataCentre }) => holderRanking.rank(databaseId, dataCentre));
        holderRanking.setInstances(instances.filter(({ instanceId }) => instanceId !== "front8"));
        const expected = before.map(ranking => ranking.find(({ instanceId }) => instanceId !== "front8")?.instanceId);
        assert.deepEqual(holderIds(holderRanking), expected);
    });

    it("is computed again only for the data centre that changed", () => {
        // Guards against work for all databases and instances whenever one instance changes.
        const holderRanking = rankingOf(instances);
        const before = databases.map(({ databaseId, dataCentre }) => holderRanking.rank(databaseId, dataCentre));
        holderRanking.setInstances(instances.filter(({ instanceId }) => instanceId !== "front8"));
        const ranked = databases.filter(({ databaseId, dataCentre }, index) =>
            holderRanking.rank(databaseId, dataCentre) !== before[index]
        );
        assert.deepEqual([...new Set(ranked.map(({ dataCentre }) => dataCentre))], ["dc1"]);
    });

    it("is cached while the instances stay the same", () => {
        const holderRanking = rankingOf(instances);
        assert.equal(holderRanking.rank("db0", "dc0"), holderRanking.rank("db0", "dc0"));
        holderRanking.setInstances([...instances]);
        const first = holderRanking.rank("db0", "dc0");
        holderRanking.setInstances([...instances].reverse());
        assert.equal(holderRanking.rank("db0", "dc0"), first);
    });

    it("contains the new address of an instance that has moved", () => {
        const holderRanking = rankingOf(instances);
        holderRanking.rank("db0", "dc0");
        const moved = { ...instances[0]!, address: "10.9.9.9:9000" };
        holderRanking.setInstances([moved, ...instances.slice(1)]);
        assert.equal(holderRanking.rank("db0", "dc0").find(({ instanceId }) => instanceId === "front0"), moved);
    });
});
