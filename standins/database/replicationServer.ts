/** Serves the log of a primary to its replicas. */
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { DatabaseRole } from "../../src/model/database.ts";
import type { Address } from "./address.ts";
import type { DatabaseNode } from "./databaseNode.ts";
import type { Faults } from "./faults.ts";
import { readJsonLines, writeJsonLine } from "./jsonLines.ts";
import { type PullAnswer, PullAnswerKind, type PullRequest } from "./replicationProtocol.ts";

/** Records per answer; bounds the size of a line. */
const recordsPerAnswer = 500;

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
        const opened = new ReplicationServer(node, faults);
        opened.server.listen(address.port, address.host);
        await once(opened.server, "listening");
        return opened;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private accept(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.sockets.delete(socket));
        readJsonLines(socket, value => this.answer(socket, value as PullRequest));
    }

    private answer(socket: Socket, request: PullRequest): void {
        if (this.faults.replicationCut || socket.destroyed) {
            // The replica asks again on a new connection; a request that was only dropped would wait for ever.
            socket.destroy();
            return;
        }
        const answer = answerPull(this.node, request);
        if (answer === undefined) {
            this.node.onceAppended(() => this.answer(socket, request));
            return;
        }
        writeJsonLine(socket, answer);
    }
}

/** Decides the answer to a replica; undefined when it has to wait for the next record. */
export function answerPull(node: DatabaseNode, request: PullRequest): PullAnswer | undefined {
    if (node.role !== DatabaseRole.Primary || node.term !== request.term) {
        return { kind: PullAnswerKind.NotPrimary, records: [] };
    }
    if (!node.log.contains(request.after)) {
        return { kind: PullAnswerKind.Diverged, records: [] };
    }
    const records = node.log.after(request.after.offset, recordsPerAnswer);
    return records.length === 0 ? undefined : { kind: PullAnswerKind.Records, records };
}
