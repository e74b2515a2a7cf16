/** What the gRPC services need of the authentication of peers. */
import type { Metadata } from "@grpc/grpc-js";

export interface PeerCredentials {
    /** Metadata that proves this process to a peer. */
    clientMetadata(method: string): Metadata;
    /** Undefined when the caller is a peer of this cluster, otherwise the text of the refusal. */
    check(metadata: Metadata, method: string): string | undefined;
}
