/** The platform's promotion call: checks fencing tokens, and carries orders out late if it is told to. */
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { text } from "node:stream/consumers";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import type { DatabaseGroup } from "./databaseGroup.ts";
import type { RuleChecker } from "./ruleChecker.ts";

/** Time from a call that is answered to its effect. */
const usualDelayMs = 500;

const orderSchema = z.object({ service: z.string(), id: z.string() });

export class PromotionServer implements AsyncDisposable {
    /** Number of promotions that took effect. */
    promotionCount = 0;
    /** Ids of the databases in the calls so far. */
    readonly orderedIds: string[] = [];
    /** Returns the time until an order takes effect without an answer; undefined if orders are answered. */
    nextDelayMs: () => number | undefined = () => undefined;
    private readonly group: DatabaseGroup;
    private readonly checker: RuleChecker;
    private readonly server: Server;
    private readonly pending = new Set<Promise<void>>();
    private highestFence = 0;

    constructor(group: DatabaseGroup, checker: RuleChecker) {
        this.group = group;
        this.checker = checker;
        this.server = createServer((request, response) => void this.take(request, response));
    }

    async listen(host: string, port: number): Promise<void> {
        this.server.listen(port, host);
        await once(this.server, "listening");
    }

    /** Waits until no order is left that may still take effect. */
    async settle(): Promise<void> {
        while (this.pending.size > 0) {
            await Promise.all(this.pending);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const fence = Number(request.headers["jasmineline-fence-token"]);
        const { id } = orderSchema.parse(JSON.parse(await text(request)));
        this.checker.ordered(fence, String(request.headers["jasmineline-duty-holder"]));
        this.orderedIds.push(id);
        const lateMs = this.nextDelayMs();
        this.group.events.write("ordered", { database: id, fence, lateMs: lateMs ?? 0 });
        if (lateMs === undefined) {
            const isAccepted = this.accepts(fence) && this.group.running.some(member => member.id === id);
            response.writeHead(isAccepted ? 200 : 409, { "Content-Length": 0 }).end();
            if (!isAccepted) {
                return;
            }
        }
        const effect = delay(lateMs ?? usualDelayMs).then(() => this.promote(id, fence));
        this.pending.add(effect);
        await effect;
        this.pending.delete(effect);
    }

    private promote(id: string, fence: number): void {
        const promoted = this.accepts(fence) ? this.group.promote(id) : undefined;
        if (promoted !== undefined) {
            this.promotionCount += 1;
            this.checker.promoted(promoted);
        }
    }

    /** Whether no higher token has been seen. */
    private accepts(fence: number): boolean {
        this.highestFence = Math.max(this.highestFence, fence);
        return fence >= this.highestFence;
    }
}
