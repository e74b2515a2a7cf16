import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Command, CommandKind } from "../../model/controlMessages.ts";
import { promotionOf } from "../../model/promotion.ts";
import { applyCommand } from "../applyCommand.ts";
import { emptyControlState } from "../controlState.ts";

describe("the completion of a promotion", () => {
    it("drops no database that was lost after it, when it was proposed twice", () => {
        // Guards against a choice that counts on commits which only the lost database had confirmed.
        const service = "s";
        const databases = ["p", "r"].map(databaseId => ({
            databaseId,
            address: `${databaseId}:1`,
            bornUnixMs: 1,
            isLost: databaseId === "r",
        }));
        const complete: Command = {
            kind: CommandKind.CompletePromotion,
            service,
            fence: 1,
            databaseId: "p",
            orderPending: false,
            departed: [],
            basePosition: undefined,
        };
        const commands: readonly Command[] = [
            { kind: CommandKind.ReservePromotion, service, expectedFence: 0 },
            complete,
            { kind: CommandKind.RecordDatabases, service, databases },
            complete,
        ];
        const state = commands.reduce(
            (before, command, index) => applyCommand(before, index + 1, "", command).state,
            emptyControlState,
        );
        assert.deepEqual(promotionOf(state.configuration.promotions, service).databases, databases);
    });
});
