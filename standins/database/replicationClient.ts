/** Pulls log records from the primary while this database is a replica. */
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { DatabaseRole } from "../../src/model/database.ts";
import { parseAddress, replicationAddress } from "./address.ts";
import type { DatabaseNode } from "./databaseNode.ts";
import type { Faults } from "./faults.ts";
import { readJsonLines, writeJsonLine } from "./jsonLines.ts";
import { type PullResponse, PullResponseKind } from "./replicationProtocol.ts";

/** Pause before a reconnection, and the interval at which the client checks for a role change or a `cut` fault. */
const retryIntervalMs = 50;

export class ReplicationClient implements AsyncDisposable {
    private readonly node: DatabaseNode;
    private readonly faults: Faults;
    private readonly shutdown = new AbortController();
    private readonly loop: Promise<void>;

    constructor(node: DatabaseNode, faults: Faults) {
        this.node = node;
        this.faults = faults;
        this.loop = this.run();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.shutdown.abort();
        await this.loop;
    }

    private async run(): Promise<void> {
        while (!this.shutdown.signal.aborted) {
            if (this.node.role === DatabaseRole.Replica && !this.faults.replicationCut) {
                await this.followPrimary(this.node.roleChangeCount);
            }
            await this.pause(retryIntervalMs);
        }
    }

    private async followPrimary(roleChangeCount: number): Promise<void> {
        const socket = connect(replicationAddress(parseAddress(this.node.primaryAddress)));
        const roleCheckTimer = setInterval(() => {
            if (this.node.roleChangeCount !== roleChangeCount || this.faults.replicationCut) {
                socket.destroy();
            }
        }, retryIntervalMs);
        const closeSocket = () => socket.destroy();
        this.shutdown.signal.addEventListener("abort", closeSocket);
        socket.on("error", () => socket.destroy());
        socket.on("connect", () => this.sendRequest(socket));
        readJsonLines(socket, response => void this.receiveResponse(socket, response as PullResponse, roleChangeCount));
        try {
            // events.once would reject on the "error" event that precedes "close" when the primary is unreachable.
            await new Promise<void>(resolve => socket.on("close", () => resolve()));
        }
        finally {
            clearInterval(roleCheckTimer);
            this.shutdown.signal.removeEventListener("abort", closeSocket);
        }
    }

    private sendRequest(socket: Socket): void {
        if (!socket.destroyed) {
            writeJsonLine(socket, { term: this.node.term, after: this.node.position });
        }
    }

    private async receiveResponse(socket: Socket, response: PullResponse, roleChangeCount: number): Promise<void> {
        await this.pause(this.faults.lagMs);
        if (socket.destroyed || this.faults.replicationCut || this.node.roleChangeCount !== roleChangeCount) {
            return;
        }
        if (!applyPullResponse(this.node, response)) {
            socket.destroy();
            return;
        }
        this.sendRequest(socket);
    }

    private async pause(ms: number): Promise<void> {
        await delay(ms, undefined, { signal: this.shutdown.signal }).catch(() => undefined);
    }
}

/** Applies a pull response to this replica; returns false when the responding database is not the primary. */
export function applyPullResponse(node: DatabaseNode, response: PullResponse): boolean {
    switch (response.kind) {
        case PullResponseKind.Records:
            node.applyReplicated(response.records);
            return true;
        case PullResponseKind.Diverged:
            node.discardData();
            return true;
        case PullResponseKind.NotPrimary:
            return false;
    }
}
