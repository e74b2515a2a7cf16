/** Serves the log of the primary to its replicas. */
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { DatabaseRole } from "../../src/model/database.ts";
import type { Address } from "./address.ts";
import type { DatabaseNode } from "./databaseNode.ts";
import type { Faults } from "./faults.ts";
import { readJsonLines, writeJsonLine } from "./jsonLines.ts";
import { type PullRequest, type PullResponse, PullResponseKind } from "./replicationProtocol.ts";

/** Bounds the size of a response line. */
const maximumRecordsPerResponse = 500;

export class ReplicationServer implements AsyncDisposable {
    private readonly node: DatabaseNode;
    private readonly faults: Faults;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    private constructor(node: DatabaseNode, faults: Faults) {
        this.node = node;
        this.faults = faults;
        this.server = createServer(socket => this.accept(socket));
    }

    static async open(node: DatabaseNode, faults: Faults, address: Address): Promise<ReplicationServer> {
        const replicationServer = new ReplicationServer(node, faults);
        replicationServer.server.listen(address.port, address.host);
        await once(replicationServer.server, "listening");
        return replicationServer;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private accept(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.sockets.delete(socket));
        readJsonLines(socket, value => this.respond(socket, value as PullRequest));
    }

    private respond(socket: Socket, request: PullRequest): void {
        if (this.faults.replicationCut || socket.destroyed) {
            // The replica retries on a new connection; after a request dropped without closing it would wait forever.
            socket.destroy();
            return;
        }
        const response = createPullResponse(this.node, request);
        if (response === undefined) {
            this.node.onNextAppend(() => this.respond(socket, request));
            return;
        }
        writeJsonLine(socket, response);
    }
}

/** Creates the response to a pull request; undefined when the replica already has every record. */
export function createPullResponse(node: DatabaseNode, request: PullRequest): PullResponse | undefined {
    if (node.role !== DatabaseRole.Primary || node.term !== request.term) {
        return { kind: PullResponseKind.NotPrimary, records: [] };
    }
    if (!node.log.contains(request.after)) {
        return { kind: PullResponseKind.Diverged, records: [] };
    }
    const records = node.log.recordsAfter(request.after.offset, maximumRecordsPerResponse);
    return records.length === 0 ? undefined : { kind: PullResponseKind.Records, records };
}
