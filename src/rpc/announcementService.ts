/** Receives the announcements of databases. */
import { type sendUnaryData, type ServerUnaryCall, status } from "@grpc/grpc-js";
import { ClusterKind, type DatabaseAnnounced } from "../model/clusterMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { announcementFault, decodeAnnouncement } from "./announcementCodec.ts";
import {
    type AnnouncementServer,
    AnnouncementService,
    type AnnounceRequest,
    type AnnounceResponse,
} from "./generated/announcement.ts";
import { noError } from "./noError.ts";
import type { PeerCredentials } from "./peerCredentials.ts";

export interface AnnouncementSourceOptions {
    /** Name of the cluster; an announcement for another one is refused. */
    readonly cluster: string;
    readonly credentials: PeerCredentials;
    post(message: Message): void;
}

/** Source: posts `cluster.database_announced`. Register with `server.addService(AnnouncementService, implementation)`. */
export class AnnouncementSource {
    readonly service = AnnouncementService;
    readonly implementation: AnnouncementServer = { announce: (call, done) => this.announce(call, done) };
    private readonly options: AnnouncementSourceOptions;

    constructor(options: AnnouncementSourceOptions) {
        this.options = options;
    }

    private announce(
        call: ServerUnaryCall<AnnounceRequest, AnnounceResponse>,
        done: sendUnaryData<AnnounceResponse>,
    ): void {
        const refusal = this.options.credentials.check(call.metadata, AnnouncementService.announce.path);
        if (refusal !== undefined) {
            done({ code: status.UNAUTHENTICATED, details: refusal });
            return;
        }
        const fault = this.clusterFault(call.request) ?? announcementFault(call.request);
        if (fault !== undefined) {
            done({ code: status.INVALID_ARGUMENT, details: fault });
            return;
        }
        const announcement = decodeAnnouncement(call.request);
        const message: DatabaseAnnounced = { kind: ClusterKind.DatabaseAnnounced, announcement };
        this.options.post(message);
        done(noError, {});
    }

    private clusterFault({ cluster }: AnnounceRequest): string | undefined {
        const expected = this.options.cluster;
        return cluster === expected ? undefined : `cluster must be "${expected}", not "${cluster}"`;
    }
}
