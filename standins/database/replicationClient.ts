/** Pulls the log from the primary while this database is a replica. */
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { DatabaseRole } from "../../src/model/database.ts";
import { parseAddress, replicationAddress } from "./address.ts";
import type { DatabaseNode } from "./databaseNode.ts";
import type { Faults } from "./faults.ts";
import { readJsonLines, writeJsonLine } from "./jsonLines.ts";
import { type PullAnswer, PullAnswerKind } from "./replicationProtocol.ts";

/** Pause after a failed pull, and the interval at which a change of role is noticed. */
const retryMs = 50;

export class ReplicationClient implements AsyncDisposable {
    private readonly node: DatabaseNode;
    private readonly faults: Faults;
    private readonly stopping = new AbortController();
    private readonly loop: Promise<void>;

    constructor(node: DatabaseNode, faults: Faults) {
        this.node = node;
        this.faults = faults;
        this.loop = this.run();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopping.abort();
        await this.loop;
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            if (this.node.role === DatabaseRole.Replica && !this.faults.replicationCut) {
                await this.followPrimary(this.node.roleChanges);
            }
            await this.pause(retryMs);
        }
    }

    private async followPrimary(roleChanges: number): Promise<void> {
        const socket = connect(replicationAddress(parseAddress(this.node.primaryAddress)));
        const watch = setInterval(() => {
            if (this.node.roleChanges !== roleChanges || this.faults.replicationCut) {
                socket.destroy();
            }
        }, retryMs);
        const stop = () => socket.destroy();
        this.stopping.signal.addEventListener("abort", stop);
        socket.on("error", () => socket.destroy());
        socket.on("connect", () => this.request(socket));
        readJsonLines(socket, answer => void this.receive(socket, answer as PullAnswer, roleChanges));
        try {
            // Not events.once, which rejects on the "error" that precedes "close" when the primary is away.
            await new Promise<void>(resolve => socket.on("close", () => resolve()));
        }
        finally {
            clearInterval(watch);
            this.stopping.signal.removeEventListener("abort", stop);
        }
    }

    private request(socket: Socket): void {
        if (!socket.destroyed) {
            writeJsonLine(socket, { term: this.node.term, after: this.node.position });
        }
    }

    private async receive(socket: Socket, answer: PullAnswer, roleChanges: number): Promise<void> {
        await this.pause(this.faults.lagMs);
        if (socket.destroyed || this.faults.replicationCut || this.node.roleChanges !== roleChanges) {
            return;
        }
        if (!applyAnswer(this.node, answer)) {
            socket.destroy();
            return;
        }
        this.request(socket);
    }

    private async pause(ms: number): Promise<void> {
        await delay(ms, undefined, { signal: this.stopping.signal }).catch(() => undefined);
    }
}

/** Takes over what the primary sent; false when the database asked is not the primary. */
export function applyAnswer(node: DatabaseNode, answer: PullAnswer): boolean {
    switch (answer.kind) {
        case PullAnswerKind.Records:
            node.copy(answer.records);
            return true;
        case PullAnswerKind.Diverged:
            node.rebuild();
            return true;
        case PullAnswerKind.NotPrimary:
            return false;
    }
}
