import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { maximumWaiting } from "../../rpc/fleetService.ts";
import { FleetNetwork } from "./fleetNetwork.ts";

/** Databases at the planned size, from docs/CAPACITY.md. */
const plannedDatabases = 660;

/** What a node may spend on control, from docs/CAPACITY.md. */
const budgetBytesPerSecond = 3_000;

/** Time between the start of all machines and the first traffic, in the users' sites. */
const startMs = 16_000;

/** Time over which instances that start together reach the members. */
const spreadMs = 2_000;

const startBytes = budgetBytesPerSecond * startMs / 1_000;

const sizes = [
    { instances: 12, members: 6 },
    { instances: 95, members: 6 },
    { instances: 470, members: 7 },
];

describe("lists of instances", () => {
    for (const { instances, members } of sizes) {
        it(`fit the control budget of an instance when all ${instances} start and when one restarts`, () => {
            const network = startedNetwork(instances, members);
            const started = { start: mostBytes(network), complete: countComplete(network) };
            network.watch();
            network.stop("front3");
            network.advance(1_000);
            const left = network.node("front0").instances.length;
            network.startInstance("front3");
            network.advance(5_000);
            const others = mostBytes(network, "front3");
            const own = network.node("front3").receivedBytes;
            const seen = { ...started, left, others, own, completeAgain: countComplete(network) };
            const exceeded = [
                ...seen.start > startBytes ? ["start"] : [],
                ...others > budgetBytesPerSecond ? ["others"] : [],
                ...own > startBytes ? ["own"] : [],
            ];
            const complete = { complete: instances, left: instances - 1, completeAgain: instances };
            assert.deepEqual({ ...seen, exceeded }, { ...seen, ...complete, exceeded: [] });
        });
    }

    it("are not sent to control members", () => {
        const network = startedNetwork(12, 6);
        const kinds = network.memberNames.flatMap(name =>
            network.node(name).received.map(({ kind }) => kind as string)
        );
        assert.deepEqual(kinds.filter(kind => kind.startsWith("instances")), []);
    });

    it("leave the control budget of an instance alone while the configuration changes 20 times a second", () => {
        const network = startedNetwork(12, 6);
        network.watch();
        const seconds = 10;
        for (let version = 1; version <= 20 * seconds; version++) {
            network.applyConfiguration(version);
            network.advance(50);
        }
        const perSecond = mostBytes(network) / seconds;
        assert.deepEqual({ perSecond, within: perSecond <= budgetBytesPerSecond }, { perSecond, within: true });
    });

    it("greets an instance without being cut off when all planned databases report to one member", () => {
        const network = startedNetwork(2, 3);
        Array.from({ length: plannedDatabases }, (_, index) => network.reportDatabase("core1", `db${index}`));
        network.advance(1_000);
        network.stop("front1");
        network.startInstance("front1");
        network.advance(5_000);
        const { receivedFrames, databases } = network.node("front1");
        const cutOff = receivedFrames >= maximumWaiting;
        assert.deepEqual({ receivedFrames, cutOff, known: databases.size }, {
            receivedFrames,
            cutOff: false,
            known: plannedDatabases,
        });
    });
});

function startedNetwork(instances: number, members: number): FleetNetwork {
    const network = new FleetNetwork({ instances, members, spreadMs, seed: 20261204 });
    network.advance(300);
    network.lead("core0", 1);
    network.advance(startMs - 300);
    return network;
}

function mostBytes(network: FleetNetwork, except?: string): number {
    return Math.max(
        ...network.instanceNames.filter(name => name !== except).map(name => network.node(name).receivedBytes),
    );
}

/** Instances that know all others. */
function countComplete(network: FleetNetwork): number {
    const all = network.instanceNames.length;
    return network.instanceNames.filter(name => network.node(name).instances.length === all).length;
}
