import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { emptyTrafficPolicy, RouteConsistency, type RoutePolicy } from "../../model/trafficPolicy.ts";
import { homeShare } from "../homePreference.ts";

function routeOf(database: string, service: string, homeRegions: readonly string[]): RoutePolicy {
    return {
        name: database,
        database,
        service,
        consistency: RouteConsistency.Primary,
        maximumAgeMs: 0,
        statementLimitMs: 1_000,
        targetLatencyMs: 500,
        priority: 1,
        open: false,
        homeRegions,
    };
}

describe("the share of routes that a primary could serve", () => {
    it("counts the routes of the service that have home regions", () => {
        const routes = [
            routeOf("a", "s", ["r1"]),
            routeOf("b", "s", ["r1", "r2"]),
            routeOf("c", "s", []),
            routeOf("d", "other", ["r3"]),
        ];
        const policy = {
            ...emptyTrafficPolicy,
            routesByDatabase: new Map(routes.map(route => [route.database, route])),
        };
        assert.deepEqual(["r1", "r2", "r3", undefined].map(region => homeShare(policy, "s", region)), [1, 0.5, 0, 0]);
        assert.equal(homeShare(policy, "unknown", "r1"), 0);
        assert.equal(homeShare(emptyTrafficPolicy, "s", "r1"), 0);
    });
});
