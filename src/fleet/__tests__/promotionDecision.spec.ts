import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    DatabaseEvidenceState,
    DecisionStage,
    DropReason,
    type PromotionDecided,
    PromotionRule,
} from "../../model/promotionDecision.ts";
import { PromotionWorld } from "./promotionWorld.ts";

function stages({ decisions }: PromotionWorld): readonly string[] {
    return decisions.map(({ stage, rule }) => `${stage} ${rule ?? "-"}`);
}

function choiceOf({ decisions }: PromotionWorld): PromotionDecided {
    return decisions.find(({ stage }) => stage === DecisionStage.Chosen)!;
}

describe("the decisions of a promotion", () => {
    it("tell that all confirmations are on databases that have stopped, with position and proof of each", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.crash(world.database(0));
        world.advance(4_000);
        assert.deepEqual(stages(world), [
            "begun -",
            `chosen ${PromotionRule.ConfirmationsStopped}`,
            `completed ${PromotionRule.ConfirmationsStopped}`,
        ]);
        const { databaseId, fence, formerPrimaryId, databases, instances, leases, dropped } = choiceOf(world);
        assert.equal(databaseId, world.promoted[0]);
        assert.equal(formerPrimaryId, "d0");
        assert.equal(`${databaseId}/${fence}`, world.orders[0]);
        const [primary, ...replicas] = databases;
        assert.equal(primary!.databaseId, "d0");
        assert.equal(primary!.state, DatabaseEvidenceState.NoListener);
        assert.equal(primary!.stopProofAgeMs, undefined);
        assert.equal(primary!.reportsLead, true);
        for (const replica of replicas) {
            assert.equal(replica.state, DatabaseEvidenceState.Stopped);
            assert.equal(replica.receivedPosition!.term, 1);
            assert.ok(replica.receivedPosition!.offset > 200, `${replica.receivedPosition!.offset}`);
            assert.ok(replica.stopProofAgeMs! > 0 && replica.stopProofAgeMs! < 500, `${replica.stopProofAgeMs}`);
            assert.ok(replica.reportAgeMs! >= 0 && replica.reportAgeMs! <= 1_300, `${replica.reportAgeMs}`);
            assert.equal(replica.reportsLead, false);
        }
        assert.deepEqual(instances.map(({ instanceId }) => instanceId).sort(), ["i0", "i1"]);
        assert.ok(
            instances.every(({ answerAgeMs, logEnd, reached }) =>
                answerAgeMs !== undefined && answerAgeMs < 500 && logEnd !== undefined && reached !== undefined
            ),
        );
        assert.deepEqual([leases, dropped], [[], []]);
        assert.equal(world.decisions.at(-1)!.stage, DecisionStage.Completed);
    });

    it("tell that the instances' answers allowed the choice while two databases are gone", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.crash(world.database(0));
        world.crash(world.database(1));
        world.advance(6_000);
        const { databaseId, rule, databases, instances } = choiceOf(world);
        assert.deepEqual([databaseId, rule], ["d2", PromotionRule.InstanceAnswers]);
        assert.deepEqual(databases.map(({ state }) => state), [
            DatabaseEvidenceState.NoListener,
            DatabaseEvidenceState.NoListener,
            DatabaseEvidenceState.Stopped,
        ]);
        const { receivedPosition } = databases[2]!;
        assert.ok(instances.every(({ reached }) => reached!.offset <= receivedPosition!.offset));
    });

    it("tell that a replica has caught up with a primary that shuts down", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.database(0).draining = true;
        world.advance(4_000);
        assert.equal(choiceOf(world).rule, PromotionRule.CaughtUp);
    });

    it("name a process that a new record no longer counts on", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.crash(world.database(2));
        world.advance(200);
        world.restart(world.database(2));
        world.advance(3_000);
        assert.deepEqual(
            world.dropped.map((
                { service, databaseId, reason, successorId, bornUnixMs },
            ) => [service, databaseId, reason, successorId, bornUnixMs]),
            [["s", "d2", DropReason.Replaced, "d2x", 1]],
        );
    });
});
