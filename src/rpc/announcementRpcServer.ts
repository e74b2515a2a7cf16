/** Receives the announcements of databases. */
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
    /** Name of the cluster; an announcement for another one is refused. */
    readonly cluster: string;
    post(message: Message): void;
}

/** Source: posts `cluster.database_announced`. Register with `server.addService(AnnouncementService, implementation)`. */
export class AnnouncementRpcServer {
    readonly service = AnnouncementService;
    readonly implementation: AnnouncementServer = { announce: (call, done) => this.announce(call, done) };
    private readonly options: AnnouncementRpcServerOptions;

    constructor(options: AnnouncementRpcServerOptions) {
        this.options = options;
    }

    private announce(
        call: ServerUnaryCall<AnnounceRequest, AnnounceResponse>,
        done: sendUnaryData<AnnounceResponse>,
    ): void {
        const fault = this.clusterFault(call.request) ?? validateAnnouncement(call.request);
        if (fault !== undefined) {
            done({ code: status.INVALID_ARGUMENT, details: fault });
            return;
        }
        const announcement = decodeAnnouncement(call.request);
        const message: DatabaseAnnounced = { kind: ClusterKind.DatabaseAnnounced, announcement };
        this.options.post(message);
        respond(done, {});
    }

    private clusterFault({ cluster }: AnnounceRequest): string | undefined {
        const expected = this.options.cluster;
        return cluster === expected ? undefined : `cluster must be "${expected}", not "${cluster}"`;
    }
}
