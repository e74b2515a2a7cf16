/** How a database proves to an instance that it belongs to the cluster. */
import { Metadata } from "@grpc/grpc-js";

export interface PeerCredentials {
    /** Metadata for one call of a gRPC method, named by its path. */
    clientMetadata(method: string): Metadata;
}

/** Sends nothing; for instances that do not check peers. */
export class EmptyPeerCredentials implements PeerCredentials {
    clientMetadata(): Metadata {
        return new Metadata();
    }
}
