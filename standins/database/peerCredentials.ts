/** How a database proves to an instance that it belongs to the cluster. */
import type { Metadata } from "@grpc/grpc-js";
import { PeerAuthentication } from "../../src/rpc/peerAuthentication.ts";

export interface PeerCredentials {
    /** Metadata for one call of a gRPC method, named by its path. */
    createMetadata(method: string): Metadata;
}

/** Signs with the cluster secret. */
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
