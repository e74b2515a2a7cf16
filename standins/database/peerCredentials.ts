/** Credentials with which a database authenticates to the instances of its cluster. */
import type { Metadata } from "@grpc/grpc-js";
import { PeerAuthentication } from "../../src/rpc/peerAuthentication.ts";

export interface PeerCredentials {
    /**
     * Creates the metadata of one gRPC call.
     * @param method path of the gRPC method
     */
    createMetadata(method: string): Metadata;
}

/** Signs calls with the cluster secret. */
export class ClusterPeerCredentials implements PeerCredentials {
    private readonly authentication: PeerAuthentication;

    constructor(settings: { readonly cluster: string; readonly databaseId: string; readonly clusterSecret: string; }) {
        const { cluster, databaseId, clusterSecret } = settings;
        this.authentication = new PeerAuthentication({ cluster, instanceId: databaseId, secret: clusterSecret });
    }

    createMetadata(method: string): Metadata {
        return this.authentication.createMetadata(method);
    }
}
