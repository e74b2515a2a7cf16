import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ControlKind, type ControlLeaderChanged } from "../../model/controlMessages.ts";
import { LeadHandOver } from "../leadHandOver.ts";

function leaderChanged(leading: boolean): ControlLeaderChanged {
    return { kind: ControlKind.LeaderChanged, leading, term: 1, leaderId: undefined, leaderAddress: undefined };
}

describe("hand-over of the lead in a stop", () => {
    it("announces the stop, and ends at once if this member does not lead", async () => {
        const posted: string[] = [];
        const handOver = new LeadHandOver(({ kind }) => posted.push(kind));
        await handOver.complete();
        assert.deepEqual(posted, [ControlKind.StopAnnounced]);
    });

    it("ends when another member leads", async context => {
        context.mock.timers.enable({ apis: ["setTimeout"] });
        const handOver = new LeadHandOver(() => undefined);
        handOver.deliver(leaderChanged(true));
        const completed = handOver.complete();
        handOver.deliver(leaderChanged(false));
        await completed;
    });

    it("ends after its limit if no other member can lead", async context => {
        context.mock.timers.enable({ apis: ["setTimeout"] });
        const handOver = new LeadHandOver(() => undefined);
        handOver.deliver(leaderChanged(true));
        let isCompleted = false;
        const completed = handOver.complete().then(() => isCompleted = true);
        context.mock.timers.tick(699);
        await Promise.resolve();
        assert.equal(isCompleted, false);
        context.mock.timers.tick(1);
        await completed;
    });
});
