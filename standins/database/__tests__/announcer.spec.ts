import { Metadata, Server, ServerCredentials } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type AnnouncementServer,
    AnnouncementService,
    type AnnounceRequest,
} from "../../../src/rpc/generated/announcement.ts";
import { DatabaseProcess } from "../databaseProcess.ts";
import type { PeerCredentials } from "../peerCredentials.ts";
import { readDatabaseSettings } from "../settings.ts";

class MethodCredentials implements PeerCredentials {
    createMetadata(method: string): Metadata {
        const metadata = new Metadata();
        metadata.set("x-method", method);
        return metadata;
    }
}

test("announces state with credentials, and departure before stopping", async () => {
    const received: (AnnounceRequest & { readonly method: string; })[] = [];
    const firstAnnouncement = createDeferred();
    const announcement: AnnouncementServer = {
        announce: (call, done) => {
            received.push({ ...call.request, method: String(call.metadata.get("x-method")[0]) });
            firstAnnouncement.resolve();
            done(undefined as never, {});
        },
    };
    const server = new Server();
    server.addService(AnnouncementService, announcement);
    const port = await new Promise<number>((resolve, reject) =>
        server.bindAsync(
            "127.0.0.1:0",
            ServerCredentials.createInsecure(),
            (error, bound) => error ? reject(error) : resolve(bound),
        )
    );
    const flags = "--database-id d1 --group-id g1 --service orders --data-centre flanders --listen 127.0.0.1:0 "
        + `--cluster demo --announce 127.0.0.1:${port}`;
    try {
        await using database = await DatabaseProcess.open(
            readDatabaseSettings(flags.split(" ")),
            new MethodCredentials(),
        );
        await firstAnnouncement.promise;
        await database.announcer.announceDeparture();
        const { cluster, role, position, departing, method } = received.at(-1)!;
        assert.deepEqual({ cluster, role, position, departing, method }, {
            cluster: "demo",
            role: "primary",
            position: { term: 1, offset: 1 },
            departing: true,
            method: "/jasmineline.v1.Announcement/Announce",
        });
        assert.equal(received[0]!.departing, false);
    }
    finally {
        server.forceShutdown();
    }
});

function createDeferred(): { readonly promise: Promise<void>; readonly resolve: () => void; } {
    let resolvePromise = () => {};
    const promise = new Promise<void>(resolve => resolvePromise = resolve);
    return { promise, resolve: () => resolvePromise() };
}
