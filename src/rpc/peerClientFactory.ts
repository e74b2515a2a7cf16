/** The one way to make gRPC clients of other instances. */
import { type ChannelCredentials, type Client, type ClientOptions, credentials } from "@grpc/grpc-js";
import type { PeerAuthentication } from "./peerAuthentication.ts";
import { peerClientOptions } from "./peerChannel.ts";

export interface PeerClientFactoryOptions {
    /** Signs every call. */
    readonly authentication: PeerAuthentication;
    /** Address to connect to, by announced address (both `host:port`); an address without an entry is used as it is. */
    readonly translatedAddresses?: ReadonlyMap<string, string>;
}

/** Whether clients of one address share a connection. */
export const ConnectionMode = {
    Shared: "shared",
    /**
     * For streams with large messages, which would delay the calls of others, and for clients that are replaced when
     * their connection is silent: a shared connection would be used again.
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
     * Makes a client whose calls are signed; the caller closes it.
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
