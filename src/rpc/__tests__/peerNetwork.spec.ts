import { type Server, type ServiceError, status } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { Message } from "../../pipeline/message.ts";
import { HeartbeatClient, HeartbeatRequest } from "../generated/health.ts";
import { HeartbeatSource } from "../heartbeatService.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen } from "../peerChannel.ts";
import { ConnectionUse, PeerNetwork } from "../peerNetwork.ts";

const secret = "0123456789abcdef";
const announced = "203.0.113.7:4000";

let server: Server;
let reached: string;
let posted: Message[];

function networkWith(sentSecret: string): PeerNetwork {
    const authentication = new PeerAuthentication({ cluster: "c", instanceId: "a", secret: sentSecret });
    return new PeerNetwork({ authentication, reachedAddresses: new Map([[announced, reached]]) });
}

/** Sends a heartbeat that lacks its fields, which only a service that was reached can say. */
async function failureOf(network: PeerNetwork, address: string, use?: ConnectionUse): Promise<ServiceError> {
    const client = network.createClient(HeartbeatClient, address, use);
    try {
        return await new Promise((resolve, reject) =>
            client.beat(
                HeartbeatRequest.decode(new Uint8Array()),
                error => error ? resolve(error) : reject(new Error("accepted")),
            )
        );
    }
    finally {
        client.close();
    }
}

describe("peer network", () => {
    beforeEach(async () => {
        posted = [];
        server = createPeerServer(new PeerAuthentication({ cluster: "c", instanceId: "b", secret }));
        const source = new HeartbeatSource({ post: message => posted.push(message) });
        server.addService(source.service, source.implementation);
        reached = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
    });

    afterEach(() => server.forceShutdown());

    it("connects to the translated address of a peer, so that no traffic passes beside the translation", async () => {
        for (const use of Object.values(ConnectionUse)) {
            assert.equal((await failureOf(networkWith(secret), announced, use)).code, status.INVALID_ARGUMENT);
        }
    });

    it("uses an address without a translation as it is", async () => {
        assert.equal((await failureOf(networkWith(secret), reached)).code, status.INVALID_ARGUMENT);
    });

    it("is refused with a wrong secret before a service sees the call", async () => {
        const error = await failureOf(networkWith("another cluster secret"), announced);
        assert.equal(error.code, status.UNAUTHENTICATED);
        assert.deepEqual(posted, []);
    });
});
