import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PeerKind } from "../../model/peerMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { type FleetNode, SessionFleet } from "./sessionFleet.ts";

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

    for (const lagMs of [60, 2_000]) {
        it(`reads nothing too old while instances are frozen, killed and cut, with copies ${lagMs} ms behind`, () => {
            // Guards against a position that another instance passed on as younger than it was.
            const fleet = new SessionFleet({
                instances: 30,
                dataCentres: 3,
                services: 6,
                workspaces: 8,
                sessions: 1_000,
                lagMs,
            });
            fleet.startCallers();
            fleet.advance(8_000);
            assert.deepEqual([...fleet.answers.keys()], ["served"]);
            const disturbed = ["dc0", "dc1", "dc2"].map(name => fleet.bystanders(name).slice(0, 3));
            const peers = fleet.nodes.map(({ peer }) => peer);
            for (const [frozen, killed, cut] of disturbed as [FleetNode, FleetNode, FleetNode][]) {
                fleet.disturb(frozen, 2_500, () => frozen.frozen = true, () => frozen.thaw());
                fleet.advance(300);
                fleet.disturb(killed, 3_500, () => killed.kill(), () =>
                    fleet.nodes.forEach(node =>
                        node.post({
                            kind: PeerKind.InstancesKnown,
                            instances: peers.filter(peer => peer !== killed.peer),
                        } as Message)
                    ));
                fleet.disturb(cut, 3_000, () => cut.cut = true, () => cut.cut = false);
                fleet.advance(300);
            }
            fleet.advance(6_000);
            assert.deepEqual(fleet.staleStatements, []);
            assert.deepEqual([...fleet.answers.keys()], ["served"]);
        });
    }

    it("uses up no database's connections while messages between all instances are late", () => {
        // Guards against instances that take each other for silent, and open links of their own everywhere.
        const fleet = congestedFleet();
        assert.equal([...fleet.databases.values()].reduce((sum, { refused }) => sum + refused, 0), 0);
        assert.deepEqual(fleet.staleStatements, []);
    });

    it("serves while messages between all instances are late", () => {
        // Guards against reads that wait for more round trips than their time allows.
        assert.deepEqual([...congestedFleet().answers.keys()], ["served"]);
    });
});

/** Messages between instances take 250 ms more each way for a while. */
function congestedFleet(): SessionFleet {
    const fleet = new SessionFleet({ instances: 89, dataCentres: 6, services: 6, workspaces: 87, sessions: 2_780 });
    fleet.startCallers();
    fleet.advance(7_000);
    fleet.congestionMs = 250;
    fleet.advance(4_000);
    fleet.congestionMs = 0;
    fleet.advance(2_000);
    return fleet;
}
