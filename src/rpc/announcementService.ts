/** Source of announcements. */
import type { Server, UntypedServiceImplementation } from "@grpc/grpc-js";
import { ClusterKind } from "../model/clusterMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { AnnouncementService as Definition, type AnnounceRequest } from "./generated/announcement.ts";
import { respond } from "./unaryResponse.ts";

export function registerAnnouncements(server: Server, post: (message: Message) => void): void {
    server.addService(Definition, {
        announce: (call: { request: AnnounceRequest; }, done: never) => {
            const { cluster: ignored, ...announcement } = call.request;
            void ignored;
            post({ kind: ClusterKind.DatabaseAnnounced, announcement } as unknown as Message);
            respond(done, {});
        },
    } as unknown as UntypedServiceImplementation);
}
