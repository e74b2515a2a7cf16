/** Safety properties that must hold under every load shape. */
import assert from "node:assert/strict";
import type { ProxyFigures } from "./proxyFigures.ts";

export function assertSafe(figures: ProxyFigures): void {
    assert.equal(figures.staleReads, 0, "stale reads");
    assert.equal(figures.groupsWithLostWrites, 0, "groups that lost an acknowledged write");
    assert.equal(figures.startsBeyondSlots, 0, "statements beyond the slots of a database");
    assert.equal(figures.connectionsBeyondLimit, 0, "connections beyond the limit of a database");
}
