import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { emptyConfiguration } from "../../model/configuration.ts";
import { type ConfigurationUpdate, FeedKind, type FeedReceived, UpdateKind } from "../../model/feedMessages.ts";
import { eventLogFormatters } from "../eventLogFormatters.ts";

function logFieldsOf(update: ConfigurationUpdate): unknown {
    const received: FeedReceived = { kind: FeedKind.Received, address: "10.0.0.1:7460", update };
    return eventLogFormatters.get(received.kind)!(received);
}

describe("event log formatters", () => {
    it("log the member from which a configuration was received, and its versions", () => {
        const from = "10.0.0.1:7460";
        const configuration = { ...emptyConfiguration, version: 64 };
        assert.deepEqual(
            logFieldsOf({ kind: UpdateKind.Snapshot, configuration }),
            { from, update: UpdateKind.Snapshot, configuration: 64 },
        );
        assert.deepEqual(
            logFieldsOf({ kind: UpdateKind.Delta, fromVersion: 64, toVersion: 90, upserts: [], removals: [] }),
            { from, update: UpdateKind.Delta, since: 64, configuration: 90 },
        );
    });
});
