import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SessionFleet } from "./sessionFleet.ts";

/** Control traffic that a node may have, of which a holder of a primary spends it all at most once for each primary. */
const controlBytesPerSecond = 3_000;

describe("session pipes of a fleet", () => {
    it("keeps questions for positions inside the control traffic of a node, however many instances ask", () => {
        // Guards against every instance asking the holder of every primary.
        const fleet = new SessionFleet({
            instances: 89,
            dataCentres: 6,
            services: 6,
            workspaces: 87,
            sessions: 2_780,
        });
        fleet.startCallers();
        fleet.advance(5_000);
        fleet.resetCounts();
        fleet.advance(5_000);
        const over = fleet.nodes.map(node => ({
            instanceId: node.peer.instanceId,
            bytesPerSecond: node.count.floorBytes / 5,
            allowed: controlBytesPerSecond * Math.max(1, fleet.primariesHeldBy(node)),
        })).filter(({ bytesPerSecond, allowed }) => bytesPerSecond > allowed);
        assert.deepEqual(over, []);
        assert.equal([...fleet.answers.keys()].filter(answer => answer !== "served").length, 0);
    });
});
