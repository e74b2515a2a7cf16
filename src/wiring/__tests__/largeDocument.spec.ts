import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DocumentResult } from "../../model/document.ts";
import { decodeDocument } from "../../platform/documentCodec.ts";
import { ConfigurationFleet } from "./configurationFleet.ts";

/** A route with all fields that operators send, and an accent so that characters and bytes differ. */
function routeOf(index: number): object {
    const route = { name: `r-${index}é`, host: `h${index}`, path_prefix: "/", kind: "bounded", timeout_ms: 3_000 };
    return { ...route, target_latency_ms: 1_000, priority: 2, service: "s", max_attempts: 2, max_staleness_ms: 1_500 };
}

function resultOf(routes: number): DocumentResult | undefined {
    const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 1, seed: 3 });
    const body = { version: 9, routes: Array.from({ length: routes }, (_, index) => routeOf(index)), services: [] };
    const text = JSON.stringify({ ...body, services: [{ name: "s" }] });
    return fleet.putOnce(decodeDocument(text));
}

describe("large configuration documents", () => {
    it("are stored up to thousands of routes", () => {
        assert.equal(resultOf(6_000), DocumentResult.Accepted);
    });

    it("are refused for good if they cannot be stored", () => {
        // Guards against an operator who is told to send the same document again and again.
        assert.equal(resultOf(14_000), DocumentResult.TooLarge);
    });
});
