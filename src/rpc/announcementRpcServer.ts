/** Server side of the announcement service, which databases call. */
import { type sendUnaryData, type ServerUnaryCall, status } from "@grpc/grpc-js";
import { ClusterKind, type DatabaseAnnounced } from "../model/clusterMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { decodeAnnouncement, validateAnnouncement } from "./announcementCodec.ts";
import {
    type AnnouncementServer,
    AnnouncementService,
    type AnnounceRequest,
    type AnnounceResponse,
} from "./generated/announcement.ts";
import { respond } from "./unaryResponse.ts";

export interface AnnouncementRpcServerOptions {
    /** Name of this cluster; announcements for another cluster are refused. */
    readonly cluster: string;
    post(message: Message): void;
}

/**
 * Posts `cluster.database_announced` for each valid announcement. Register it with
 * `server.addService(service, implementation)`.
 */
export class AnnouncementRpcServer {
    readonly service = AnnouncementService;
    readonly implementation: AnnouncementServer = { announce: (call, callback) => this.announce(call, callback) };
    private readonly options: AnnouncementRpcServerOptions;

    constructor(options: AnnouncementRpcServerOptions) {
        this.options = options;
    }

    private announce(
        call: ServerUnaryCall<AnnounceRequest, AnnounceResponse>,
        callback: sendUnaryData<AnnounceResponse>,
    ): void {
        const fault = this.validateCluster(call.request) ?? validateAnnouncement(call.request);
        if (fault !== undefined) {
            callback({ code: status.INVALID_ARGUMENT, details: fault });
            return;
        }
        const announcement = decodeAnnouncement(call.request);
        const message: DatabaseAnnounced = { kind: ClusterKind.DatabaseAnnounced, announcement };
        this.options.post(message);
        respond(callback, {});
    }

    private validateCluster({ cluster }: AnnounceRequest): string | undefined {
        const expected = this.options.cluster;
        return cluster === expected ? undefined : `cluster must be "${expected}", not "${cluster}"`;
    }
}
