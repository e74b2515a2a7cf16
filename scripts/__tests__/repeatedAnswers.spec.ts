import "disposablestack/auto";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { StatementWorld } from "../statementWorld.ts";
import { playAndCheck } from "./playAndCheck.ts";

describe(
    "statements on real processes keep their sessions, transactions, rows and commits",
    { timeout: 120_000 },
    () => {
        let world: StatementWorld;

        before(async () => {
            world = await StatementWorld.open({ members: 3, proxies: 2, sessions: 24, seed: 1 });
        });

        after(() => world[Symbol.asyncDispose]());

        it("while databases refuse some statements", async () => {
            await playAndCheck(world, { errorShare: 0.01 });
        });

        it("while databases refuse some commands that set up the session", async () => {
            // Guards against statements that run behind a refused command, with the values of another session.
            await playAndCheck(world, { setupErrorShare: 0.1 });
        });

        it("while databases send some answers twice, the second time late", async () => {
            // Guards against replies that are matched to statements by their order alone.
            await playAndCheck(world, { errorShare: 0.01, repeatedShare: 0.03 });
            assert.ok(world.faults.repeatedCount > 0);
        });
    },
);
