/** Creates all gRPC clients of other instances, so that each of them is authenticated and uses address translation. */
import { type ChannelCredentials, type Client, type ClientOptions, credentials } from "@grpc/grpc-js";
import type { PeerAuthentication } from "./peerAuthentication.ts";
import { peerClientOptions } from "./peerChannel.ts";

export interface PeerClientFactoryOptions {
    /** Signs the calls of all clients. */
    readonly authentication: PeerAuthentication;
    /**
     * Address translation: the address to connect to, by announced address (both `host:port`). Addresses without an
     * entry are used unchanged.
     */
    readonly translatedAddresses?: ReadonlyMap<string, string>;
}

/** Whether the clients of one address share a connection. */
export const ConnectionMode = {
    Shared: "shared",
    /**
     * For streams with large messages, which would delay other calls on a shared connection, and for clients that are
     * replaced when their connection is unresponsive: with a shared connection, the new client would use it again.
     */
    Dedicated: "own",
} as const;
export type ConnectionMode = typeof ConnectionMode[keyof typeof ConnectionMode];

/** Constructor of a generated client. */
export type ClientConstructor<PeerClient extends Client> = new(
    address: string,
    channelCredentials: ChannelCredentials,
    options?: Partial<ClientOptions>,
) => PeerClient;

export class PeerClientFactory {
    private readonly options: PeerClientFactoryOptions;

    constructor(options: PeerClientFactoryOptions) {
        this.options = options;
    }

    /**
     * Creates a client whose calls are signed. The caller must close the client.
     * @param announcedAddress `host:port` under which the peer is known in the cluster
     */
    createClient<PeerClient extends Client>(
        type: ClientConstructor<PeerClient>,
        announcedAddress: string,
        connectionMode: ConnectionMode = ConnectionMode.Shared,
    ): PeerClient {
        const { authentication, translatedAddresses } = this.options;
        const address = translatedAddresses?.get(announcedAddress) ?? announcedAddress;
        return new type(address, credentials.createInsecure(), {
            ...peerClientOptions(authentication),
            "grpc.use_local_subchannel_pool": connectionMode === ConnectionMode.Dedicated ? 1 : 0,
        });
    }
}
