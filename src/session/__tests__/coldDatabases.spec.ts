import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { SessionFleet, type SessionFleetOptions } from "./sessionFleet.ts";

const windowMs = 1_000;

/** What a database with 8 statements a second may get in a window. */
const limit = 17;

function buildFleet(options: Partial<SessionFleetOptions>): SessionFleet {
    return new SessionFleet({
        instances: 12,
        dataCentres: 3,
        services: 2,
        workspaces: 4,
        sessions: 400,
        transactionPauseMs: 10,
        coldPerSecond: 8,
        ...options,
    });
}

function mostWithin(times: readonly number[]): number {
    return Math.max(
        0,
        ...times.map(time => times.filter(other => other >= time && other - time <= windowMs).length),
    );
}

describe("cold databases of a fleet", () => {
    for (const seed of [1, 2, 3]) {
        it(`get no more than they bear, while others serve their reads (replicas, seed ${seed})`, () => {
            const coldDatabaseIds = ["db1", "db4"];
            const fleet = buildFleet({ coldDatabaseIds, seed });
            fleet.startCallers();
            fleet.advance(12_000);
            for (const databaseId of coldDatabaseIds) {
                const { arrivalsMs } = fleet.databases.get(databaseId)!;
                assert.ok(mostWithin(arrivalsMs) <= limit, `${mostWithin(arrivalsMs)} at ${databaseId}`);
                assert.ok(arrivalsMs.length > 20, `${arrivalsMs.length} at ${databaseId}`);
            }
            assert.deepEqual([...fleet.answers.keys()], ["served"]);
            assert.deepEqual([fleet.staleStatementIds, fleet.checker.violations], [[], []]);
        });

        it(`get no more than they bear, and refuse the rest as not run (primaries, seed ${seed})`, () => {
            const fleet = buildFleet({ coldDatabaseIds: ["db0"], seed });
            fleet.startCallers();
            fleet.advance(12_000);
            const { arrivalsMs } = fleet.databases.get("db0")!;
            assert.ok(mostWithin(arrivalsMs) <= limit, `${mostWithin(arrivalsMs)} statements`);
            assert.ok(arrivalsMs.length > 60, `${arrivalsMs.length} statements`);
            assert.deepEqual([fleet.staleStatementIds, fleet.checker.violations], [[], []]);
        });
    }

    it("get all again once they are warm", () => {
        const fleet = buildFleet({ coldDatabaseIds: ["db0"] });
        fleet.startCallers();
        fleet.advance(6_000);
        const report = { ...fleet.databases.get("db0")!.report, coldLeftMs: 0, sequence: 2 };
        fleet.nodes.forEach(node => node.post({ kind: FleetKind.DatabaseChanged, report } as Message));
        fleet.advance(1_500);
        fleet.resetCounts();
        fleet.advance(4_000);
        assert.deepEqual([...fleet.answers.keys()], ["served"]);
    });
});
