import { credentials, type ServiceError, status } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AnnouncementClient, AnnouncementService, type AnnounceRequest } from "../generated/announcement.ts";
import { PeerAuthentication, protocolVersion } from "../peerAuthentication.ts";
import { createPeerServer, listen, peerClientOptions } from "../peerChannel.ts";

const secret = "0123456789abcdef";
const method = "/jasmineline.v1.Log/Vote";
const local = new PeerAuthentication({ cluster: "c1", instanceId: "a", secret });

function announcement(): AnnounceRequest {
    return {
        cluster: "c1",
        databaseId: "d",
        groupId: "g",
        service: "s",
        dataCentre: "z",
        address: "127.0.0.1:1",
        slots: 1,
        connectionLimit: 1,
        role: "replica",
        position: undefined,
        groupSize: 1,
        departing: false,
    };
}

describe("peer authentication", () => {
    it("accepts a call from the same cluster and returns the instance id of the caller", () => {
        assert.deepEqual(local.authenticate(local.createMetadata(method), method), { accepted: true, instanceId: "a" });
    });

    it("takes no name or nonce that holds the separator of the signed text, so that two calls never sign the same text", () => {
        for (const name of ["a|c1", "a|", "|", "a\n", "a b", ""]) {
            assert.throws(() => new PeerAuthentication({ cluster: name, instanceId: "a", secret }), /cluster/);
            assert.throws(() => new PeerAuthentication({ cluster: "c1", instanceId: name, secret }), /instance id/);
        }
        for (const name of ["a|c1", "a|", "|", "a b", ""]) {
            const metadata = local.createMetadata(method);
            metadata.set("x-jasmineline-instance", name);
            const result = local.authenticate(metadata, method);
            assert.match(result.accepted ? "accepted" : result.details, /malformed/, name);
        }
        const nonce = local.createMetadata(method);
        nonce.set("x-jasmineline-nonce", `${"0".repeat(30)}|a`);
        const result = local.authenticate(nonce, method);
        assert.match(result.accepted ? "accepted" : result.details, /malformed/);
    });

    it("refuses a call with another secret, cluster, version, method or instance, and counts it", () => {
        const server = new PeerAuthentication({ cluster: "c1", instanceId: "b", secret });
        const otherSecret = new PeerAuthentication({ cluster: "c1", instanceId: "a", secret: "x".repeat(16) });
        const otherCluster = new PeerAuthentication({ cluster: "c2", instanceId: "a", secret });
        const otherVersion = local.createMetadata(method);
        otherVersion.set("x-jasmineline-protocol", String(protocolVersion + 1));
        const otherInstance = local.createMetadata(method);
        otherInstance.set("x-jasmineline-instance", "admin");
        const checks = [
            server.authenticate(otherSecret.createMetadata(method), method),
            server.authenticate(otherCluster.createMetadata(method), method),
            server.authenticate(otherVersion, method),
            server.authenticate(local.createMetadata("/jasmineline.v1.Log/Append"), method),
            server.authenticate(otherInstance, method),
        ];
        assert.deepEqual(checks.map(check => check.accepted ? status.OK : check.code), [
            status.UNAUTHENTICATED,
            status.PERMISSION_DENIED,
            status.FAILED_PRECONDITION,
            status.UNAUTHENTICATED,
            status.UNAUTHENTICATED,
        ]);
        assert.equal(server.refusedCallCount, 5);
    });

    it("keeps calls with a wrong secret from reaching the handlers of a server", async () => {
        let handled = 0;
        const server = createPeerServer(local);
        server.addService(
            AnnouncementService,
            {
                announce: (_call, answer) => {
                    handled += 1;
                    answer(null, {}); // eslint-disable-line no-restricted-syntax -- the gRPC callback takes null
                },
            } as import("../generated/announcement.ts").AnnouncementServer,
        );
        const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
        const codes = [];
        for (const peerSecret of [secret, "x".repeat(16)]) {
            const peer = new PeerAuthentication({ cluster: "c1", instanceId: "b", secret: peerSecret });
            const client = new AnnouncementClient(address, credentials.createInsecure(), peerClientOptions(peer));
            codes.push(
                await new Promise(resolve =>
                    client.announce(announcement(), (error: ServiceError | null) => resolve(error?.code ?? status.OK))
                ),
            );
            client.close();
        }
        server.forceShutdown();
        assert.deepEqual(codes, [status.OK, status.UNAUTHENTICATED]);
        assert.equal(handled, 1);
    });
});
