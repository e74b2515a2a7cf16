import { type Server, type ServiceError, status } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { Message } from "../../pipeline/message.ts";
import { HeartbeatClient, HeartbeatRequest } from "../generated/health.ts";
import { HeartbeatRpcServer } from "../heartbeatRpcServer.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen } from "../peerChannel.ts";
import { ConnectionMode, PeerClientFactory } from "../peerClientFactory.ts";

const secret = "0123456789abcdef";
const announced = "203.0.113.7:4000";

let server: Server;
let reached: string;
let posted: Message[];

function clientFactoryWith(sentSecret: string): PeerClientFactory {
    const authentication = new PeerAuthentication({ cluster: "c", instanceId: "a", secret: sentSecret });
    return new PeerClientFactory({ authentication, translatedAddresses: new Map([[announced, reached]]) });
}

/** Sends a heartbeat that lacks its fields, which only a service that was reached can say. */
async function failureOf(
    clientFactory: PeerClientFactory,
    address: string,
    use?: ConnectionMode,
): Promise<ServiceError> {
    const client = clientFactory.createClient(HeartbeatClient, address, use);
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
        const source = new HeartbeatRpcServer({ post: message => posted.push(message) });
        server.addService(source.service, source.implementation);
        reached = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
    });

    afterEach(() => server.forceShutdown());

    it("connects to the translated address of a peer, so that no traffic passes beside the translation", async () => {
        for (const use of Object.values(ConnectionMode)) {
            assert.equal((await failureOf(clientFactoryWith(secret), announced, use)).code, status.INVALID_ARGUMENT);
        }
    });

    it("uses an address without a translation as it is", async () => {
        assert.equal((await failureOf(clientFactoryWith(secret), reached)).code, status.INVALID_ARGUMENT);
    });

    it("is refused with a wrong secret before a service sees the call", async () => {
        const error = await failureOf(clientFactoryWith("another cluster secret"), announced);
        assert.equal(error.code, status.UNAUTHENTICATED);
        assert.deepEqual(posted, []);
    });
});
