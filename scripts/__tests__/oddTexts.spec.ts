import "disposablestack/auto";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { StatementWorld } from "../statementWorld.ts";
import { playAndCheck } from "./playAndCheck.ts";

const minimumOdd = 50;

describe("texts and rows with blanks, line ends and any bytes, on real processes", { timeout: 120_000 }, () => {
    let world: StatementWorld;

    before(async () => {
        world = await StatementWorld.open({ members: 3, proxies: 2, sessions: 24, seed: 3, oddShare: 0.1 });
    });

    after(() => world[Symbol.asyncDispose]());

    it("pass unchanged, and are read as no message, statement or name of their own", async () => {
        // Guards against messages that end at a lone line feed, and names of prepared statements that hold blanks.
        await playAndCheck(world, {});
        assert.ok(world.oddCount > minimumOdd, `${world.oddCount} odd texts`);
    });
});
