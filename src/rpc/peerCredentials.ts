/** How processes of one cluster prove to each other that they belong to it. */
import type { Metadata } from "@grpc/grpc-js";

export interface PeerCredentials {
    /**
     * Metadata that a caller attaches.
     * @param method full path of the gRPC method, for example `/jasmineline.v1.Holder/Work`
     */
    clientMetadata(method: string): Metadata;
    /** Text of the refusal; undefined when the peer is accepted. */
    check(metadata: Metadata, method: string): string | undefined;
}
