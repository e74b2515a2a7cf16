/** The one way to make gRPC clients of other instances. */
import { type ChannelCredentials, type Client, type ClientOptions, credentials } from "@grpc/grpc-js";
import type { PeerAuthentication } from "./peerAuthentication.ts";
import { peerClientOptions } from "./peerChannel.ts";

export interface PeerNetworkOptions {
    /** Signs every call. */
    readonly authentication: PeerAuthentication;
    /** Address to connect to, by announced address (both `host:port`); an address without an entry is used as it is. */
    readonly reachedAddresses?: ReadonlyMap<string, string>;
}

/** Whether clients of one address share a connection. */
export const ConnectionUse = {
    Shared: "shared",
    /**
     * For streams with large messages, which would delay the calls of others, and for clients that are replaced when
     * their connection is silent: a shared connection would be used again.
     */
    Own: "own",
} as const;
export type ConnectionUse = typeof ConnectionUse[keyof typeof ConnectionUse];

/** Constructor of a generated client. */
export type ClientType<PeerClient extends Client> = new(
    address: string,
    channelCredentials: ChannelCredentials,
    options?: Partial<ClientOptions>,
) => PeerClient;

export class PeerNetwork {
    private readonly options: PeerNetworkOptions;

    constructor(options: PeerNetworkOptions) {
        this.options = options;
    }

    /**
     * Makes a client whose calls are signed; the caller closes it.
     * @param announcedAddress `host:port` under which the peer is known in the cluster
     */
    createClient<PeerClient extends Client>(
        type: ClientType<PeerClient>,
        announcedAddress: string,
        use: ConnectionUse = ConnectionUse.Shared,
    ): PeerClient {
        const { authentication, reachedAddresses } = this.options;
        const address = reachedAddresses?.get(announcedAddress) ?? announcedAddress;
        return new type(address, credentials.createInsecure(), {
            ...peerClientOptions(authentication),
            "grpc.use_local_subchannel_pool": use === ConnectionUse.Own ? 1 : 0,
        });
    }
}
