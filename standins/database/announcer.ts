/** Announces a database to the entry instances periodically. */
import { credentials } from "@grpc/grpc-js";
import { announceIntervalMs } from "../../src/model/database.ts";
import { AnnouncementClient, AnnouncementService, type AnnounceRequest } from "../../src/rpc/generated/announcement.ts";
import type { DatabaseNode } from "./databaseNode.ts";
import type { Faults } from "./faults.ts";
import type { PeerCredentials } from "./peerCredentials.ts";

// The default reconnect backoff grows to two minutes; a restarted instance would receive no announcements meanwhile.
const channelOptions = {
    "grpc.initial_reconnect_backoff_ms": announceIntervalMs / 2,
    "grpc.max_reconnect_backoff_ms": announceIntervalMs,
} as const;

/** Fields of an announcement that stay constant while the process runs. */
export interface AnnouncedIdentity {
    readonly cluster: string;
    readonly databaseId: string;
    readonly groupId: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly slots: number;
    readonly connectionLimit: number;
    readonly groupSize: number;
}

export interface AnnouncerOptions {
    readonly identity: AnnouncedIdentity;
    readonly node: DatabaseNode;
    readonly faults: Faults;
    readonly peerCredentials: PeerCredentials;
    /** Addresses (`host:port`) of the entry instances; every announcement goes to all of them. */
    readonly instanceAddresses: readonly string[];
}

export class Announcer implements AsyncDisposable {
    private readonly options: AnnouncerOptions;
    private readonly clients: readonly AnnouncementClient[];
    private readonly timer: NodeJS.Timeout;

    constructor(options: AnnouncerOptions) {
        this.options = options;
        this.clients = options.instanceAddresses.map(target =>
            new AnnouncementClient(target, credentials.createInsecure(), channelOptions)
        );
        this.timer = setInterval(() => void this.announce(false), announceIntervalMs);
        void this.announce(false);
    }

    /** Announces that the database is departing; resolves when every instance has responded or its call has failed. */
    async announceDeparture(): Promise<void> {
        clearInterval(this.timer);
        await this.announce(true);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        clearInterval(this.timer);
        this.clients.forEach(client => client.close());
    }

    private async announce(departing: boolean): Promise<void> {
        if (!this.options.faults.announcementsCut) {
            await Promise.all(this.clients.map(client => this.send(client, this.createRequest(departing))));
        }
    }

    private createRequest(departing: boolean): AnnounceRequest {
        const { identity, node } = this.options;
        return { ...identity, role: node.role, position: node.position, departing };
    }

    // A failed announcement is ignored because the next one follows in half a second.
    private async send(client: AnnouncementClient, createRequest: AnnounceRequest): Promise<void> {
        const metadata = this.options.peerCredentials.createMetadata(AnnouncementService.announce.path);
        const deadline = Date.now() + announceIntervalMs;
        await new Promise<void>(resolve => client.announce(createRequest, metadata, { deadline }, () => resolve()));
    }
}
