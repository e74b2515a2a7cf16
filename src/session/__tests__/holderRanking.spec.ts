import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PeerInstance } from "../../model/peerMessages.ts";
import { HolderRanking } from "../holderRanking.ts";

/** The planned size, from docs/CAPACITY.md. */
const planned = { instances: 470, dataCentres: 7, databases: 660 };

const instances = Array.from({ length: planned.instances }, (_, index): PeerInstance => ({
    instanceId: `front${index}`,
    address: `10.0.${index >> 8}.${index & 255}:9000`,
    dataCentre: `dc${index % planned.dataCentres}`,
}));

const databases = Array.from({ length: planned.databases }, (_, index) => ({
    databaseId: `db${index}`,
    dataCentre: `dc${index % planned.dataCentres}`,
}));

function choiceOf(known: readonly PeerInstance[]): HolderRanking {
    const choice = new HolderRanking();
    choice.setInstances(known);
    return choice;
}

function holders(choice: HolderRanking): readonly (string | undefined)[] {
    return databases.map(({ databaseId, dataCentre }) => choice.rank(databaseId, dataCentre)[0]?.instanceId);
}

describe("choice of the holder", () => {
    it("is the same for all that know the same instances, in whatever order they learned of them", () => {
        const grown = choiceOf(instances.slice(100));
        grown.setInstances([...instances].reverse());
        assert.deepEqual(holders(grown), holders(choiceOf(instances)));
    });

    it("stays in the data centre of the database, and is none where nobody serves", () => {
        const choice = choiceOf(instances);
        const elsewhere = databases.filter(({ databaseId, dataCentre }) =>
            choice.rank(databaseId, dataCentre).some(instance => instance.dataCentre !== dataCentre)
        );
        assert.deepEqual(elsewhere, []);
        assert.deepEqual(choice.rank("db0", "dc9"), []);
    });

    it("moves only the databases of an instance that leaves, to the next in its ranking", () => {
        const choice = choiceOf(instances);
        const before = databases.map(({ databaseId, dataCentre }) => choice.rank(databaseId, dataCentre));
        choice.setInstances(instances.filter(({ instanceId }) => instanceId !== "front8"));
        const expected = before.map(ranking => ranking.find(({ instanceId }) => instanceId !== "front8")?.instanceId);
        assert.deepEqual(holders(choice), expected);
    });

    it("ranks anew only in the data centre that changed", () => {
        // Guards against work for all databases and instances at each change of one.
        const choice = choiceOf(instances);
        const before = databases.map(({ databaseId, dataCentre }) => choice.rank(databaseId, dataCentre));
        choice.setInstances(instances.filter(({ instanceId }) => instanceId !== "front8"));
        const ranked = databases.filter(({ databaseId, dataCentre }, index) =>
            choice.rank(databaseId, dataCentre) !== before[index]
        );
        assert.deepEqual([...new Set(ranked.map(({ dataCentre }) => dataCentre))], ["dc1"]);
    });

    it("answers a repeated question without ranking again", () => {
        const choice = choiceOf(instances);
        assert.equal(choice.rank("db0", "dc0"), choice.rank("db0", "dc0"));
        choice.setInstances([...instances]);
        const first = choice.rank("db0", "dc0");
        choice.setInstances([...instances].reverse());
        assert.equal(choice.rank("db0", "dc0"), first);
    });

    it("reaches an instance that came back at another address there", () => {
        const choice = choiceOf(instances);
        choice.rank("db0", "dc0");
        const moved = { ...instances[0]!, address: "10.9.9.9:9000" };
        choice.setInstances([moved, ...instances.slice(1)]);
        assert.equal(choice.rank("db0", "dc0").find(({ instanceId }) => instanceId === "front0"), moved);
    });
});
