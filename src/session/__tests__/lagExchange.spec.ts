import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type FloorResult, PeerKind, type ReplicaPosition } from "../../model/peerMessages.ts";
import { StatementFault } from "../../model/sessionStatement.ts";
import { LagExchange } from "../lagExchange.ts";
import { type PositionsLearned, type TaskAttempted, TaskKind } from "../taskMessages.ts";
import { position } from "./sessionFixture.ts";

const service = "s";

function refusal(databaseId: string, offset: number): TaskAttempted {
    const reply = { fault: StatementFault.Lagging, position: position(1, offset) };
    return { task: { service }, databaseId, reply } as unknown as TaskAttempted;
}

/** An exchange that knows that the primary was at offset 9 at 1,000 ms. */
function newExchange(): LagExchange {
    const exchange = new LagExchange();
    exchange.addSample(service, { position: position(1, 9), atMs: 1_000 }, 1_000);
    return exchange;
}

describe("the exchange about databases that lag", () => {
    it("tells when a database begins to lag and when it ceases to, and nothing in between", () => {
        const exchange = newExchange();
        assert.equal(exchange.recordAttempt(refusal("r", 9), 1_100), false);
        assert.deepEqual(exchange.toTell(service, 1_100), []);
        assert.equal(exchange.recordAttempt(refusal("r", 8), 1_500), true);
        assert.equal(exchange.recordAttempt(refusal("r", 8), 1_600), false);
        assert.deepEqual(
            exchange.toTell(service, 1_700),
            [{ databaseId: "r", position: position(1, 8), ageMs: 100, lagMs: 600 }],
        );
        assert.equal(exchange.recordAttempt(refusal("r", 9), 1_800), true);
        assert.equal(exchange.toTell(service, 1_800)[0]!.lagMs, 0);
        assert.deepEqual(exchange.toTell(service, 8_000), []);
    });

    it("takes no database for lagging because the primary took long to answer", () => {
        // Guards against replicas that all count as lagging while writes wait for the primary or its holder.
        const exchange = new LagExchange();
        exchange.addSample(service, { position: position(1, 9), atMs: 1_000 }, 1_450);
        assert.equal(exchange.recordAttempt(refusal("r", 8), 1_460), false);
        assert.equal(exchange.recordAttempt(refusal("r", 8), 1_700), true);
    });

    it("passes on what is news to those that asked, and asks databases that lag for their position", () => {
        const exchange = newExchange();
        exchange.addListener(service, "w1", 1_000);
        exchange.addListener(service, "w2", 1_000);
        const told: ReplicaPosition = { databaseId: "r", position: position(1, 8), ageMs: 20, lagMs: 700 };
        const [learned, ...pushed] = exchange.learn(service, [told], 2_000);
        assert.equal(learned!.kind, TaskKind.PositionsLearned);
        assert.deepEqual(pushed.map(({ kind }) => kind), [PeerKind.Answer, PeerKind.Answer]);
        const { result } = pushed[0] as unknown as { result: FloorResult; };
        assert.equal(result.position, undefined);
        assert.deepEqual(result.replicas?.map(({ databaseId }) => databaseId), ["r"]);
        assert.deepEqual(exchange.learn(service, [told], 2_000), []);
        assert.deepEqual(exchange.probe({ service, workspace: "" }, 2_100), []);
        assert.equal(exchange.probe({ service, workspace: "" }, 2_700).length, 1);
        assert.deepEqual(exchange.probe({ service, workspace: "" }, 2_800), []);
    });

    it("forgets the streams of instances that asked long ago, also while no database lags", () => {
        const exchange = newExchange();
        for (let index = 0; index < 100; index++) {
            exchange.addListener(service, `w${index}`, 1_000 + 10_000 * index);
        }
        const { listeners } = exchange as unknown as { readonly listeners: ReadonlyMap<string, Map<string, number>>; };
        assert.deepEqual([...listeners.get(service)!.keys()], ["w93", "w94", "w95", "w96", "w97", "w98", "w99"]);
    });

    it("believes no report longer than the next observation", () => {
        const exchange = newExchange();
        const far = { databaseId: "r", position: position(99, 2 ** 53 - 1), ageMs: 0, lagMs: 0 };
        exchange.learn(service, [far, { ...far, databaseId: "q", position: position(0, 0), lagMs: 1e9 }], 2_000);
        exchange.recordAttempt(refusal("r", 8), 2_100);
        exchange.recordAttempt(refusal("q", 9), 2_100);
        assert.deepEqual(
            exchange.toTell(service, 2_100).map(({ databaseId, lagMs }) => [databaseId, lagMs]),
            [["r", 1_100], ["q", 0]],
        );
    });

    it("keeps a bounded number of databases, whatever it is told", () => {
        const exchange = newExchange();
        const told = Array.from({ length: 100 }, (_, index): ReplicaPosition => (
            { databaseId: `r${index}`, position: position(1, 8), ageMs: 0, lagMs: 500 }
        ));
        const [learned] = exchange.learn(service, told, 2_000);
        assert.equal((learned as PositionsLearned).positions.size, 32);
        assert.equal(exchange.toTell(service, 2_000).length, 32);
        const later: ReplicaPosition = { databaseId: "later", position: position(1, 8), ageMs: 0, lagMs: 500 };
        assert.equal(exchange.learn(service, [later], 50_000).length, 0);
        assert.equal(exchange.learn(service, [later], 70_000).length, 1);
    });
});
