import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallerKind, type CallerLoginResult } from "../../model/callerMessages.ts";
import { ClusterKind } from "../../model/clusterMessages.ts";
import type { Configuration } from "../../model/configuration.ts";
import { RefusalCode } from "../../model/refusal.ts";
import type { Message } from "../../pipeline/message.ts";
import { AuthenticateFilter } from "../authenticate.ts";
import { RequestKind } from "../requestMessages.ts";
import { shopConfiguration } from "./shopFixture.ts";

const configurationWithoutKey: Configuration = { ...shopConfiguration, version: 6, keys: [] };

function createFilter(): AuthenticateFilter {
    const filter = new AuthenticateFilter({ verify: (_, proofHex, digest) => proofHex === digest });
    filter.process({ kind: ClusterKind.ConfigurationApplied, configuration: shopConfiguration }, 0);
    filter.process({ kind: ClusterKind.ConfigurationProved, version: 5, provedAtMs: 0 }, 0);
    return filter;
}

function login(
    filter: AuthenticateFilter,
    keyId: string,
    proofHex: string,
    service = "boards",
    nowMs = 0,
): string | undefined {
    const [result] = filter.process(
        { kind: CallerKind.Login, connectionId: 1, keyId, service, challengeHex: "", proofHex },
        nowMs,
    );
    return (result as CallerLoginResult).refusal?.code;
}

function sendStatement(filter: AuthenticateFilter, nowMs: number): string {
    const [result] = filter.process({ kind: CallerKind.Statement, connectionId: 1, sequence: 0, text: "x" }, nowMs);
    const message = result as Message & { refusal?: { code: string; }; workspace?: string; };
    return message.refusal?.code ?? message.workspace ?? "";
}

describe("authenticate", () => {
    it("accepts a key only with its proof and binds the connection to the key's workspace", () => {
        const filter = createFilter();
        assert.equal(login(filter, "key-1", "bad"), RefusalCode.AccessDenied);
        assert.equal(login(filter, "key-2", "good"), RefusalCode.AccessDenied);
        assert.equal(sendStatement(filter, 1), RefusalCode.AccessDenied);
        assert.equal(login(filter, "key-1", "good"), undefined);
        assert.equal(sendStatement(filter, 1), "shop");
    });

    it("refuses keys only temporarily until the configuration has been proved after a start", () => {
        const filter = new AuthenticateFilter({ verify: (_, proofHex, digest) => proofHex === digest });
        assert.equal(login(filter, "key-1", "good"), RefusalCode.ConfigurationStale);
        filter.process({ kind: ClusterKind.ConfigurationApplied, configuration: configurationWithoutKey }, 0);
        assert.equal(login(filter, "key-1", "good"), RefusalCode.ConfigurationStale);
        assert.equal(login(filter, "", "", "boards"), RefusalCode.ConfigurationStale);
        filter.process({ kind: ClusterKind.ConfigurationProved, version: 6, provedAtMs: 0 }, 0);
        assert.equal(login(filter, "key-1", "good"), RefusalCode.AccessDenied);
        assert.equal(login(filter, "", "", "boards"), RefusalCode.AccessDenied);
    });

    it("refuses unknown keys and routes only temporarily once the last proof is older than a new version may wait", () => {
        // Guards against an instance that was cut off and refuses for good what was added meanwhile.
        const filter = createFilter();
        assert.equal(login(filter, "key-2", "good", "boards", 10_000), RefusalCode.AccessDenied);
        assert.equal(login(filter, "key-2", "good", "boards", 10_001), RefusalCode.ConfigurationStale);
        assert.equal(login(filter, "", "", "boards", 10_001), RefusalCode.ConfigurationStale);
    });

    it("lets callers without a key use open routes only", () => {
        const filter = createFilter();
        assert.equal(login(filter, "", "", "boards"), RefusalCode.AccessDenied);
        assert.equal(login(filter, "", "", "catalogue"), undefined);
        assert.equal(sendStatement(filter, 60_000), "shop");
    });

    it("closes open connections of a withdrawn key, so that it stops working at once", () => {
        const filter = createFilter();
        login(filter, "key-1", "good");
        const messages = filter.process({
            kind: ClusterKind.ConfigurationApplied,
            configuration: configurationWithoutKey,
        }, 1);
        assert.deepEqual(
            messages.map(message => message.kind),
            [RequestKind.SessionEnded, CallerKind.Disconnect, ClusterKind.ConfigurationApplied],
        );
        assert.equal(sendStatement(filter, 2), RefusalCode.AccessDenied);
    });

    it("never reverts to an older configuration in which a key was still valid", () => {
        const filter = createFilter();
        filter.process({ kind: ClusterKind.ConfigurationApplied, configuration: configurationWithoutKey }, 1);
        filter.process({ kind: ClusterKind.ConfigurationApplied, configuration: shopConfiguration }, 2);
        assert.equal(login(filter, "key-1", "good"), RefusalCode.AccessDenied);
    });

    it("refuses keys when the last proof of the configuration is older than the key validity of the workspace", () => {
        const filter = createFilter();
        login(filter, "key-1", "good");
        assert.equal(sendStatement(filter, 10_000), "shop");
        assert.equal(sendStatement(filter, 10_001), RefusalCode.ConfigurationStale);
        // A proof of a version that is not applied yet must not count, because that version may withdraw the key.
        filter.process({ kind: ClusterKind.ConfigurationProved, version: 6, provedAtMs: 10_000 }, 10_002);
        assert.equal(sendStatement(filter, 10_003), RefusalCode.ConfigurationStale);
        filter.process(
            { kind: ClusterKind.ConfigurationApplied, configuration: { ...shopConfiguration, version: 6 } },
            10_004,
        );
        assert.equal(sendStatement(filter, 10_005), "shop");
    });
});
